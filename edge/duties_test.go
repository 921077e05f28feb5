package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
)

// usageFake keeps the reports.
type usageFake struct {
	mu      sync.Mutex
	reports []hosting.UsageReport
}

func (u *usageFake) Report(_ context.Context, r hosting.UsageReport) (hosting.Outcome, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports = append(u.reports, r)
	return hosting.OutcomeDone, nil
}

func (u *usageFake) requests(window int64) (n int, reported bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.reports {
		if r.Window != window {
			continue
		}
		reported = true
		for _, f := range r.Figures {
			n += int(f.Requests)
		}
	}
	return n, reported
}

// noFleet is a fleetDuty that does nothing.
type noFleet struct{}

func (noFleet) gained(time.Time, int64, []hosting.KeyedRecord) {}
func (noFleet) lost()                                          {}
func (noFleet) tick(time.Time, int64)                          {}

// dutyHarness runs the duties of one daemon without its control goroutine.
type dutyHarness struct {
	*duties
	inbox chan any
	usage *usageFake
}

func newDutyHarness(t *testing.T, topics hosting.Topics, lease time.Duration, u UsageSettings) *dutyHarness {
	h := &dutyHarness{duties: newDuties("vm-1", "vm-1.a", lease, u), inbox: make(chan any, 64), usage: &usageFake{}}
	events := event.NewRecorder(hlc.New(time.Now), "vm-1", nil, zerolog.Nop())
	t.Cleanup(events.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.topics, h.topic, h.ctx, h.events = topics, hosting.Topic{Name: "duties"}, ctx, events
	h.duties.usage, h.fleet = h.usage, noFleet{}
	h.emit = func(ev any) { h.inbox <- ev }
	h.clock, h.counter = metering.NewClock(bootNow, time.Now), metering.NewCounter(u.Window)
	h.send = func(string, *UsageCounts) {}
	one := member.NewSet([]member.Candidate{{ID: "vm-1"}})
	h.membership(one, one)
	return h
}

// run handles events until the condition holds or the time is over, and calls
// each on every tick.
func (h *dutyHarness) run(limit time.Duration, each func(), until func() bool) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(limit); time.Now().Before(end) && !until(); {
		select {
		case ev := <-h.inbox:
			h.handle(time.Now(), ev)
		case <-tick.C:
			h.tick(time.Now())
			each()
		}
	}
}

// Guards against a new holder that reports a window before the others could
// send it what they counted: one that had just started reported 0 of 325
// requests.
func TestNewHolderWaitsForTheCountsOfOthers(t *testing.T) {
	g := NewWithT(t)
	settings := UsageSettings{Window: time.Second, Grace: 100 * time.Millisecond, Due: 6 * time.Second}
	h := newDutyHarness(t, newMemoryTopics(), 300*time.Millisecond, settings)
	// The ledger of a successor starts at the windows that are not reported yet.
	ended := metering.WindowAt(time.Now().Add(-2*time.Second), time.Second)
	g.Expect(h.ledger.Load([]byte("[{\"window\":" + formatInt(int64(ended-1)) + ",\"counts\":{},\"reported\":true}]"))).To(Succeed())
	var gained time.Time
	delivered := false
	h.run(8*time.Second, func() {
		if gained.IsZero() && h.loaded != hosting.NoOffset {
			gained = time.Now()
		}
		// The others hear of the holder by the second heartbeat.
		if !gained.IsZero() && !delivered && time.Since(gained) > 2*member.HeartbeatInterval {
			delivered = true
			h.ledger.Merge("vm-2.a", map[metering.Window]metering.Counts{ended: {"acme": 325}})
		}
	}, func() bool {
		_, reported := h.usage.requests(ended.Start(time.Second).Unix())
		return reported
	})
	n, reported := h.usage.requests(ended.Start(time.Second).Unix())
	g.Expect(reported).To(BeTrue())
	g.Expect(n).To(Equal(325))
}
