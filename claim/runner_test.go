package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// memoryLog is an in-memory platform log. All calls fail while down is set.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]hosting.Record
	down    bool
}

var errDown = eris.New("log is down")

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (int64, hosting.Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, hosting.OutcomeUnknown, errDown
	}
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], hosting.Record{Offset: offset, Data: data})
	return offset, hosting.OutcomeDone, nil
}

func (l *memoryLog) Read(_ context.Context, stream string, from int64, _ int, wait time.Duration) (hosting.Page, error) {
	l.mu.Lock()
	if l.down || from < int64(len(l.streams[stream])) {
		defer l.mu.Unlock()
		if l.down {
			return hosting.Page{}, errDown
		}
		records := l.streams[stream]
		return hosting.Page{Next: int64(len(records)), Records: records[from:]}, nil
	}
	l.mu.Unlock()
	time.Sleep(min(wait, 20*time.Millisecond))
	return hosting.Page{Next: from}, nil
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Guards against a Runner that grants one key twice, loses an outcome, or leaves
// requests waiting while the log is unreachable.
func TestRunnersShareClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &memoryLog{streams: map[string][]hosting.Record{}}
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		runners := []*Runner{NewRunner(Config{}, "a", log), NewRunner(Config{}, "b", log)}
		for _, r := range runners {
			group.Go(func() { _ = r.Run(ctx) })
		}
		defer group.Wait()
		defer stop()
		time.Sleep(time.Second)
		deadline := func() time.Time { return time.Now().Add(10 * time.Second) }
		var mu sync.Mutex
		states := map[State]int{}
		var askers sync.WaitGroup
		for i := range 6 {
			askers.Go(func() {
				r := runners[i%2]
				d := r.Claim(ctx, Request{}, deadline())
				if d.State == Granted {
					time.Sleep(time.Second)
					r.Finish(d.Token, Outcome{Status: 201})
				} else {
					g.Expect(d.Outcome.Status).To(Equal(201))
				}
				mu.Lock()
				defer mu.Unlock()
				states[d.State]++
			})
		}
		askers.Wait()
		g.Expect(states).To(Equal(map[State]int{Granted: 1, Replay: 5}))

		log.setDown(true)
		time.Sleep(3 * time.Second)
		other := Request{BodyHash: [32]byte{1}, Key: Key{Customer: "other"}}
		g.Expect(runners[0].Claim(ctx, other, deadline()).State).To(Equal(Refused))
		log.setDown(false)
		time.Sleep(time.Second)
		gone, leave := context.WithCancel(ctx)
		leave()
		g.Expect(runners[0].Claim(gone, other, deadline()).State).To(Equal(Refused))
		time.Sleep(time.Second)
		g.Expect(runners[1].Claim(ctx, other, deadline()).State).To(Equal(Granted))
	})
}
