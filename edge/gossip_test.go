package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
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
		// messagesPerSecond leaves a daemon half of its 12 KB/s for control with
		// messages of 100 bytes.
		messagesPerSecond = 60
		// within is a quarter of the time in which a leaving server may still get
		// requests.
		within = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startGossip(t, daemons, servers)
		defer n.stop()
		order := n.daemons
		time.Sleep(2 * time.Second)
		before := n.sent.Load()
		offset := order[0].offsets[feedServers]
		for n := range int64(rate * duration / time.Second) {
			record := serverOf(t, int(n)%servers, n+2, false)
			record.Offset = offset + n
			order[0].emit(feedPage{feed: feedServers, page: hosting.KeyedPage{Records: []hosting.KeyedRecord{record}, End: record.Offset + 1}})
			time.Sleep(time.Second / rate)
		}
		last := offset + int64(rate*duration/time.Second) - 1
		messages := float64(n.sent.Load()-before) / daemons / duration.Seconds()
		time.Sleep(within)
		behind := 0
		for _, c := range order {
			if c.serversReplica.end.Load() <= last {
				behind++
			}
		}
		t.Logf("%.0f messages a second for each daemon, %d daemons behind", messages, behind)
		g.Expect(behind).To(BeZero())
		g.Expect(messages).To(BeNumerically("<", messagesPerSecond))
	})
}

// gossipNetwork runs the control goroutines of many daemons in one process. It
// carries their messages, but no daemon reads the store.
type gossipNetwork struct {
	daemons []*scaleControl
	sent    atomic.Int64
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// gossipLinkTime is the time that a message takes.
const gossipLinkTime = 2 * time.Millisecond

func startGossip(t *testing.T, daemons, servers int) *gossipNetwork {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	n := &gossipNetwork{cancel: cancel}
	byVM := make(map[string]*scaleControl, daemons)
	for i := range daemons {
		vm := fmt.Sprint("vm-", i)
		c := newScaleControlOf(t, vm, daemons, servers, 5)
		c.send = func(to string, m peer.Message) {
			n.sent.Add(1)
			n.running.Go(func() {
				time.Sleep(gossipLinkTime)
				byVM[to].emit(peerMessage{from: vm, message: m, at: time.Now()})
			})
		}
		byVM[vm] = c
		n.daemons = append(n.daemons, c)
	}
	for _, c := range n.daemons {
		n.running.Go(func() { c.run(ctx) })
	}
	return n
}

func (n *gossipNetwork) stop() {
	n.cancel()
	n.running.Wait()
}

// Guards against daemons that read a topic from the store although their peers keep
// its replica fresh: with each of 300 daemons they would read it 400 times a second.
func TestOnlyReadersReadTheStore(t *testing.T) {
	for _, daemons := range []int{8, 12, 62, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startGossip(t, daemons, 5)
				defer n.stop()
				unneeded, oldest := 0, time.Duration(0)
				begin := time.Now()
				for time.Since(begin) < 12*time.Second {
					for id, f := range n.daemons[0].feeds {
						readers := n.daemons[0].highCapacity.Ranks("read/"+f.topic.String(), readersPerTopic)
						for _, c := range n.daemons {
							enabled := c.feeds[id].follower.enabled.Load()
							if slices.Contains(readers, c.vm) {
								c.emit(feedPage{feed: feedID(id), page: hosting.KeyedPage{End: c.offsets[id]}})
							} else if enabled && time.Since(begin) > 5*time.Second {
								unneeded++
							}
							if id == int(feedServers) && time.Since(begin) > 5*time.Second {
								oldest = max(oldest, time.Since(time.Unix(0, c.serversReplica.fresh.Load())))
							}
						}
					}
					time.Sleep(followWait)
				}
				t.Logf("replicas are up to %v old, the threshold is %v", oldest, readThreshold(feedServers, daemons))
				if oldest+member.HeartbeatInterval > readThreshold(feedServers, daemons) {
					t.Error("a single lost heartbeat makes daemons read the store")
				}
				if unneeded > 0 {
					t.Errorf("%d reads of daemons whose peers have fresh replicas", unneeded)
				}
			})
		})
	}
}

// Guards against withdrawn keys and removed servers that stay in use because both
// readers of a topic get no answers: every other daemon must read it in time, whatever
// the number of daemons.
func TestDaemonsReadTheStoreSoonAfterTheReadersFail(t *testing.T) {
	const (
		// bound is the time within which a record takes effect in a small deployment, and
		// readTime the part of it for one read and its effect.
		bound    = 2 * time.Second
		readTime = 300 * time.Millisecond
	)
	for _, daemons := range []int{3, 9, 10, 12, 64, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startGossip(t, daemons, 5)
				defer n.stop()
				for range 6 {
					n.readersRead(feedConfig, feedServers)
					time.Sleep(followWait)
				}
				// The next record is written just after the readers' last answer.
				n.readersRead(feedConfig, feedServers)
				time.Sleep(bound - readTime)
				for _, id := range []feedID{feedConfig, feedServers} {
					readers := n.readers(id)
					for _, c := range n.daemons {
						if !slices.Contains(readers, c.vm) && !c.feeds[id].follower.enabled.Load() {
							t.Errorf("%s doesn't read %d after %v", c.vm, id, bound-readTime)
						}
					}
				}
			})
		})
	}
}

// readers returns the daemons that read a topic for the others.
func (n *gossipNetwork) readers(id feedID) []string {
	c := n.daemons[0]
	return c.highCapacity.Ranks("read/"+c.feeds[id].topic.String(), readersPerTopic)
}

// readersRead lets the readers of topics get an answer without new records.
func (n *gossipNetwork) readersRead(ids ...feedID) {
	for _, id := range ids {
		readers := n.readers(id)
		for _, c := range n.daemons {
			if slices.Contains(readers, c.vm) {
				c.emit(feedPage{feed: id, page: hosting.KeyedPage{End: c.offsets[id]}})
			}
		}
	}
}
