package edge

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
)

// Guards against changes of servers that reach the daemons late or cost each of them
// more messages than it has records to pass on. 40 records a second are what the
// replacement of 230 servers brings.
func TestRecordsReachAllDaemonsAtABoundedCost(t *testing.T) {
	const (
		daemons  = 300
		servers  = 20
		rate     = 40
		duration = 5 * time.Second
		linkTime = 2 * time.Millisecond
		// messagesPerSecond leaves a daemon half of its 12 KB/s for control with
		// messages of 100 bytes.
		messagesPerSecond = 60
		// within is a quarter of the time in which a leaving server may still get
		// requests.
		within = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var sent atomic.Int64
		all := make(map[string]*scaleControl, daemons)
		var order []*scaleControl
		for i := range daemons {
			vm := fmt.Sprint("vm-", i)
			c := newScaleControlOf(t, vm, daemons, servers, 5)
			c.send = func(to string, m peer.Message) {
				sent.Add(1)
				running.Go(func() {
					time.Sleep(linkTime)
					all[to].emit(peerMessage{from: vm, message: m, at: time.Now()})
				})
			}
			all[vm] = c
			order = append(order, c)
		}
		for _, c := range order {
			running.Go(func() { c.run(ctx) })
		}
		time.Sleep(2 * time.Second)
		before := sent.Load()
		offset := order[0].offsets[feedServers]
		for n := range int64(rate * duration / time.Second) {
			record := serverOf(t, int(n)%servers, n+2, false)
			record.Offset = offset + n
			order[0].emit(feedPage{feed: feedServers, page: hosting.KeyedPage{Records: []hosting.KeyedRecord{record}, End: record.Offset + 1}})
			time.Sleep(time.Second / rate)
		}
		last := offset + int64(rate*duration/time.Second) - 1
		messages := float64(sent.Load()-before) / daemons / duration.Seconds()
		time.Sleep(within)
		behind := 0
		for _, c := range order {
			if c.serversReplica.end.Load() <= last {
				behind++
			}
		}
		cancel()
		running.Wait()
		t.Logf("%.0f messages a second for each daemon, %d daemons behind", messages, behind)
		g.Expect(behind).To(BeZero())
		g.Expect(messages).To(BeNumerically("<", messagesPerSecond))
	})
}
