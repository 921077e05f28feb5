package edge

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
)

// connect lets daemons exchange messages about usage windows. It returns a function that
// cuts a daemon off.
func connect(daemons ...*dutyHarness) (cutOff func(vm string)) {
	cut := map[string]bool{}
	var candidates []member.Candidate
	for _, h := range daemons {
		candidates = append(candidates, member.Candidate{ID: h.vm})
	}
	all := member.NewSet(candidates)
	byVM := map[string]*dutyHarness{}
	for _, h := range daemons {
		byVM[h.vm] = h
		h.updateRank(all, all, all)
		h.watch.tick(bootNow(), "", all.IDs())
		h.send = func(vm string, m peer.Message) {
			to := byVM[vm]
			if to == nil || cut[vm] || cut[h.vm] {
				return
			}
			switch m := m.(type) {
			case *UsageCounts:
				to.ledger.Merge(m.Incarnation, m.Windows)
				to.ledger.NoteClosed(m.Closed)
			case *ClosedInquiry:
				to.answerClosed(h.vm, m)
			case *ClosedWindows:
				to.closedAnswered(h.vm, m)
			}
		}
	}
	return func(vm string) { cut[vm] = true }
}

// watchedSince lets a daemon be started, or uninterrupted, for a longer time.
func (h *dutyHarness) watchedSince(running, watched time.Duration) {
	h.watch.started, h.watch.since = bootNow().Add(-running), bootNow().Add(-watched)
}

// closeWindow lets a daemon close and store the windows up to w as lease holder.
func (h *dutyHarness) closeWindow(w metering.Window) {
	for _, other := range h.live.IDs() {
		h.watch.holders[other] = h.watch.started.Add(-time.Hour)
	}
	h.watch.holders[h.vm] = bootNow()
	h.ledger.Begin(w.Start(h.settings.Window))
	h.ledger.Close(w.End(h.settings.Window))
	h.submit()
	h.recordAppended(usageKey)
}

// usageRecord returns the first record of a history, which holds a ledger that was written
// in history 0.
func usageRecord(ledger []byte, history int64) hosting.KeyedRecord {
	value, err := json.Marshal(authority.Envelope{Body: json.RawMessage(ledger)})
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	return hosting.KeyedRecord{Key: usageKey, Value: value, Offset: hosting.Position(history, 0)}
}

// takeOver loads a ledger of an older copy of the store and returns the counts of the
// windows that the daemon then reports.
func (h *dutyHarness) takeOver(now time.Time, older []byte) map[metering.Window]metering.Counts {
	clock := func() time.Time { return now }
	h.clock = metering.NewClock(clock, clock)
	if !h.loadLedger([]hosting.KeyedRecord{usageRecord(older, 1)}) {
		h.askClosed(1)
		h.restoreClosed()
	}
	h.ledger.Close(now)
	closed := map[metering.Window]metering.Counts{}
	for _, c := range h.ledger.Unreported() {
		closed[c.Window] = c.Counts
	}
	return closed
}

// Guards against a window that is reported twice with different counts because the store
// has lost the record that it was closed: by the holder, by a daemon that was told, by one
// that has just started, and by one that was suspended, or cut off, while the others were
// told.
func TestLostUsageRecordDoesNotCloseAWindowAgain(t *testing.T) {
	const long = time.Hour
	for name, test := range map[string]struct {
		by               string
		running, watched time.Duration
		cut              []string
		wantFirst        bool
		wantSecond       bool
	}{
		"holder":                           {by: "vm-1", running: long, watched: long, wantFirst: true, wantSecond: true},
		"told":                             {by: "vm-2", running: long, watched: long, wantFirst: true, wantSecond: true},
		"started later":                    {by: "vm-3", wantFirst: true, wantSecond: true},
		"suspended meanwhile":              {by: "vm-4", running: long, wantFirst: true, wantSecond: true},
		"told, holder gone":                {by: "vm-2", running: long, watched: long, cut: []string{"vm-1"}, wantFirst: true},
		"suspended meanwhile, holder gone": {by: "vm-4", running: long, cut: []string{"vm-1"}, wantFirst: true},
		"suspended meanwhile, alone":       {by: "vm-4", running: long, cut: []string{"vm-1", "vm-2", "vm-3"}},
		"started later, alone":             {by: "vm-3", cut: []string{"vm-1", "vm-2", "vm-4"}},
		"never told, holder and told gone": {by: "vm-4", running: long, watched: long, cut: []string{"vm-1", "vm-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			settings := UsageSettings{Window: 5 * time.Second, Due: 20 * time.Second}
			var all []*dutyHarness
			for _, vm := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
				h := newDutyHarnessOf(t, vm, newMemoryTopics(), time.Second, settings)
				h.watchedSince(long, long)
				all = append(all, h)
			}
			cutOff := connect(all...)
			holder, told := all[0], all[1]
			first := metering.Window(1000)
			now := (first + 2).Start(settings.Window).Add(time.Second)
			holder.closeWindow(first - 1)
			holder.ledger.Confirm(first - 1)
			older := holder.ledger.Encode()
			holder.ledger.Merge("vm-3.a", map[metering.Window]metering.Counts{first: {"acme": 7}})
			// Only vm-2 is reached when the window is closed.
			send := holder.send
			holder.send = func(vm string, m peer.Message) {
				if vm == told.vm {
					send(vm, m)
				}
			}
			holder.closeWindow(first)
			holder.send = send
			for _, h := range all[1:] {
				h.watch.holders[holder.vm] = bootNow()
			}
			var next *dutyHarness
			for _, h := range all {
				if h.vm == test.by {
					next = h
				}
			}
			next.watchedSince(test.running, test.watched)
			for _, vm := range test.cut {
				cutOff(vm)
			}
			next.ledger.Merge("vm-3.a", map[metering.Window]metering.Counts{first: {"acme": 9}, first + 1: {"acme": 1}})
			want := map[metering.Window]metering.Counts{}
			if test.wantFirst {
				want[first] = metering.Counts{"acme": 7}
			}
			if test.wantSecond {
				want[first+1] = metering.Counts{"acme": 1}
			}
			got := next.takeOver(now, older)
			g.Expect(got).To(Equal(want))
		})
	}
}

// Guards against a window that is closed again, with other counts, by a daemon that was
// suspended while another one closed and reported it, after the store came back from an
// older copy.
func TestReturnedHolderReportsTheWindowsThatOthersClosed(t *testing.T) {
	g := NewWithT(t)
	settings := UsageSettings{Window: time.Second, Due: 10 * time.Second}
	topics := newMemoryTopics()
	returned := newDutyHarness(t, topics, 300*time.Millisecond, settings)
	other := newDutyHarnessOf(t, "vm-2", newMemoryTopics(), 300*time.Millisecond, settings)
	other.watchedSince(time.Hour, time.Hour)
	connect(returned, other)
	closed := metering.WindowAt(time.Now(), settings.Window) - 2
	other.closeWindow(closed - 1)
	older := other.ledger.Encode()
	// The returned daemon was told of the window before, and has counts that the holder did
	// not get.
	returned.ledger.NoteClosed([]metering.Closed{{Window: closed - 1}})
	returned.ledger.Merge("vm-3.a", map[metering.Window]metering.Counts{closed: {"acme": 9}, closed + 6: {"acme": 1}})
	other.ledger.Merge("vm-3.a", map[metering.Window]metering.Counts{closed: {"acme": 7}})
	other.send = func(string, peer.Message) {}
	other.closeWindow(closed)
	connect(returned, other)
	topics.set(func() { topics.history, topics.records = 1, []hosting.KeyedRecord{usageRecord(older, 1)} })
	returned.run(10*time.Second, func() {}, func() bool {
		_, reported := returned.usage.requests(closed + 6)
		return reported
	})
	n, reported := returned.usage.requests(closed)
	g.Expect(reported).To(BeTrue())
	g.Expect(n).To(Equal(7))
	n, _ = returned.usage.requests(closed + 6)
	g.Expect(n).To(Equal(1), "windows that end later are reported")
}

// Guards against a daemon that takes a window for open although it, or a holder that it
// knows of, may have missed that the window was closed.
func TestWindowIsOpenOnlyIfEveryHolderIsKnown(t *testing.T) {
	const sinceEnd = 5 * time.Second
	watched := func(d time.Duration, holders map[string]time.Duration) *ClosedWindows {
		return &ClosedWindows{Running: time.Hour, Watched: d, Holders: holders}
	}
	seen := func(vm string, ago time.Duration) map[string]time.Duration { return map[string]time.Duration{vm: ago} }
	restarted := &ClosedWindows{Running: time.Second, Watched: time.Second}
	for name, test := range map[string]struct {
		daemons int
		answers map[string]*ClosedWindows
		open    bool
	}{
		"all have watched":            {3, map[string]*ClosedWindows{"a": watched(time.Minute, seen("b", 0)), "b": watched(time.Minute, nil), "c": watched(time.Minute, nil)}, true},
		"half have watched":           {4, map[string]*ClosedWindows{"a": watched(time.Minute, nil), "b": watched(sinceEnd, nil), "c": watched(0, nil)}, true},
		"fewer have watched":          {4, map[string]*ClosedWindows{"a": watched(time.Minute, nil), "b": watched(sinceEnd-1, nil), "c": watched(0, nil)}, false},
		"nobody has watched":          {1, map[string]*ClosedWindows{"a": restarted}, false},
		"holder does not answer":      {3, map[string]*ClosedWindows{"a": watched(time.Minute, seen("b", 0)), "c": watched(time.Minute, nil)}, false},
		"earlier holder":              {3, map[string]*ClosedWindows{"a": watched(time.Minute, seen("b", sinceEnd+1)), "c": watched(time.Minute, nil)}, true},
		"holder has restarted":        {3, map[string]*ClosedWindows{"a": watched(time.Minute, seen("b", 0)), "b": restarted, "c": watched(time.Minute, nil)}, false},
		"holder was suspended":        {3, map[string]*ClosedWindows{"a": watched(time.Minute, nil), "b": watched(0, seen("b", 0)), "c": watched(time.Minute, nil)}, true},
		"seen by one that was paused": {3, map[string]*ClosedWindows{"a": watched(0, seen("d", time.Second)), "b": watched(time.Minute, nil), "c": watched(time.Minute, nil)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := &closedSurvey{daemons: test.daemons, answers: test.answers}
			g.Expect(s.open(sinceEnd)).To(Equal(test.open))
		})
	}
}

// Guards against a daemon that vouches for a time in which it stood still or heard of too
// few others.
func TestLeaseWatchEndsWithAnInterruption(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	w := newLeaseWatch(start, 30*time.Second)
	at := start
	all := []string{"a", "b", "c", "d"}
	tick := func(pause time.Duration, live []string) time.Duration {
		at = at.Add(pause)
		w.tick(at, "b", live)
		return w.answer(at, 1).Watched
	}
	for range 100 {
		tick(50*time.Millisecond, all)
	}
	g.Expect(tick(0, all)).To(Equal(5 * time.Second))
	g.Expect(tick(50*time.Millisecond, all[:2])).To(Equal(5050*time.Millisecond), "half of the daemons are live")
	g.Expect(tick(50*time.Millisecond, all[:1])).To(BeZero(), "this daemon may be cut off")
	g.Expect(tick(time.Second, all)).To(Equal(time.Second))
	g.Expect(tick(time.Second+1, all)).To(BeZero(), "the process stood still")
	g.Expect(w.answer(at, 1).Holders).To(HaveKeyWithValue("b", time.Duration(0)))
	w.tick(at.Add(31*time.Second), "", all[:1])
	g.Expect(w.answer(at, 1).Holders).To(BeEmpty())
	g.Expect(w.peers).To(HaveLen(1))
}
