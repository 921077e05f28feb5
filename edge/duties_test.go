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
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/provision"
)

// usageFake accepts and stores all usage reports.
type usageFake struct {
	mu      sync.Mutex
	reports []UsageReport
}

func (u *usageFake) Report(_ context.Context, r UsageReport) (hosting.Outcome, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports = append(u.reports, r)
	return hosting.OutcomeDone, nil
}

func (u *usageFake) requests(window metering.Window) (n int, reported bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.reports {
		if r.Window != window {
			continue
		}
		reported = true
		for _, count := range r.Counts {
			n += int(count)
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
	return newDutyHarnessOf(t, "vm-1", topics, lease, u)
}

// newDutyHarnessOf is newDutyHarness for the daemon of a VM.
func newDutyHarnessOf(t *testing.T, vm string, topics hosting.Topics, lease time.Duration, u UsageSettings) *dutyHarness {
	h := &dutyHarness{duties: newDuties(vm, vm+".a", lease, u), inbox: make(chan any, 64), usage: &usageFake{}}
	events := event.NewRecorder(hlc.New(time.Now), vm, nil, zerolog.Nop())
	t.Cleanup(events.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.topics, h.topic, h.ctx, h.events = topics, hosting.Topic{Name: "duties"}, ctx, events
	h.duties.usage, h.fleet = h.usage, noFleet{}
	h.emit = func(ev any) { h.inbox <- ev }
	h.clock, h.counter = metering.NewClock(bootNow, time.Now), metering.NewCounter(u.Window)
	h.send = func(string, peer.Message) {}
	one := member.NewSet([]member.Candidate{{ID: vm}})
	h.updateRank(one, one, one)
	return h
}

// run handles events until the condition holds or the limit has passed. It calls
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

// Guards against a new lease holder that reports a window before the other
// daemons could send it their counts. A holder that had just started reported 0
// of 325 requests.
func TestNewHolderWaitsForUsageCountsOfOthers(t *testing.T) {
	g := NewWithT(t)
	settings := UsageSettings{Window: time.Second, Grace: 100 * time.Millisecond, Due: 6 * time.Second}
	topics := newMemoryTopics()
	h := newDutyHarness(t, topics, 300*time.Millisecond, settings)
	// The ledger of a successor starts at the windows that are not reported yet.
	ended := metering.WindowAt(time.Now().Add(-2*time.Second), time.Second)
	stored := usageRecord([]byte("{\"closed\":[{\"window\":"+formatInt(int64(ended-1))+",\"counts\":{},\"reported\":true}]}"), 0)
	topics.set(func() { topics.records = []hosting.KeyedRecord{stored} })
	var gained time.Time
	delivered := false
	h.run(8*time.Second, func() {
		if gained.IsZero() && h.loadedTerm != hosting.NoOffset {
			gained = time.Now()
		}
		// The other daemons learn of the holder by the second heartbeat.
		if !gained.IsZero() && !delivered && time.Since(gained) > 2*member.HeartbeatInterval {
			delivered = true
			h.ledger.Merge("vm-2.a", map[metering.Window]metering.Counts{ended: {"acme": 325}})
		}
	}, func() bool {
		_, reported := h.usage.requests(ended)
		return reported
	})
	n, reported := h.usage.requests(ended)
	g.Expect(reported).To(BeTrue())
	g.Expect(n).To(Equal(325))
}

// Guards against a window that is reported when an earlier record, instead of
// its own, has been stored: a successor could report other figures.
func TestWindowIsReportableOnceItsOwnRecordIsWritten(t *testing.T) {
	g := NewWithT(t)
	settings := UsageSettings{Window: time.Second, Grace: 0, Due: 10 * time.Second}
	h := newDutyHarness(t, newMemoryTopics(), time.Second, settings)
	first := metering.Window(1000)
	h.ledger.Begin(first.Start(time.Second))
	h.ledger.Close(first.End(time.Second))
	h.submit()
	h.ledger.Close((first + 1).End(time.Second))
	h.submit()
	h.recordAppended(usageKey)
	g.Expect(h.reportable).To(Equal(map[metering.Window]bool{first: true}))
	h.recordAppended(usageKey)
	g.Expect(h.reportable).To(HaveKey(first + 1))
}

// Guards against losing the counts of ended processes that only the previous
// lease holder has. After a restart of five daemons during an outage of the
// store, the next holder reported 100 of 374 requests too few.
func TestNewCollectorGetsCollectedCounts(t *testing.T) {
	g := NewWithT(t)
	settings := UsageSettings{Window: time.Second, Grace: time.Second, Due: 10 * time.Second}
	h := newDutyHarness(t, newMemoryTopics(), time.Second, settings)
	sent := map[string]map[string]metering.Counts{}
	window := metering.WindowAt(time.Now(), time.Second)
	h.send = func(vm string, message peer.Message) {
		if sent[vm] == nil {
			sent[vm] = map[string]metering.Counts{}
		}
		m := message.(*UsageCounts)
		sent[vm][m.Incarnation] = m.Windows[window]
	}
	h.ledger.Merge("vm-3.gone", map[metering.Window]metering.Counts{window: {"acme": 9}})
	two := member.NewSet([]member.Candidate{{ID: "vm-1"}, {ID: "vm-2"}})
	h.updateRank(two, two, two)
	h.deliverCounts(time.Now())
	g.Expect(sent["vm-2"]).To(HaveKeyWithValue("vm-3.gone", metering.Counts{"acme": 9}))
	sent = map[string]map[string]metering.Counts{}
	h.deliverCounts(time.Now().Add(time.Second))
	g.Expect(sent["vm-2"]).NotTo(HaveKey("vm-3.gone"), "collected counts are sent once to each new collector")
}

// Guards against a daemon that ends because the answer to a role order arrives in a
// later term that has not planned the engine's pool.
func TestRoleOrderOfEarlierTermIsIgnored(t *testing.T) {
	events := event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop())
	defer events.Close()
	f := &fleetControl{events: events, services: map[string]*serviceFleet{"llm": {roles: map[string]*provision.Roles{}}}}
	f.handle(time.Now(), roleOrdered{service: "llm", pool: "pool//llm/1", outcome: hosting.OutcomeRefused})
}
