package metering

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(1, 300)
	os.Exit(m.Run())
}

const length = 5 * time.Second

var config = Config{Length: length, Grace: 2 * time.Second, Due: 10 * time.Second}

// Guards against requests that are counted in a neighbouring window.
func TestCounterKeepsWindowsApart(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(length)
	base := Window(1000).Start(length)
	c.CountRequest("acme", base)
	c.CountRequest("acme", base.Add(length-1))
	c.CountRequest("acme", base.Add(length))
	counts, changed := c.Take(1000)
	g.Expect(changed).To(BeTrue())
	g.Expect(counts).To(Equal(map[Window]Counts{1000: {"acme": 2}, 1001: {"acme": 1}}))
	_, changed = c.Take(1000)
	g.Expect(changed).To(BeFalse())
}

// Guards against windows that accumulate in a long-running daemon.
func TestCounterForgetsOldWindows(t *testing.T) {
	c := NewCounter(length)
	for w := Window(0); w < 100; w++ {
		c.CountRequest("acme", w.Start(length))
	}
	if counts, _ := c.Take(0); len(counts) > keptWindows+1 {
		t.Fatalf("%d windows kept, want at most keptWindows+1", len(counts))
	}
}

// Guards against requests that are counted in a wrong window because the wall
// clock of this VM, or of a minority of the others, has jumped.
func TestClockFollowsTheMajority(t *testing.T) {
	g := NewWithT(t)
	monotonic := time.Unix(1000, 0)
	wall := time.Unix(1_700_000_000, 0)
	c := NewClock(func() time.Time { return monotonic }, func() time.Time { return wall })
	truth := wall
	for _, peer := range []string{"a", "b", "c", "d"} {
		c.Observe(peer, truth)
	}
	g.Expect(c.Now()).To(Equal(truth))

	wall = wall.Add(2400 * time.Millisecond)
	c.Observe("a", truth.Add(-3*time.Second))
	g.Expect(c.Now()).To(Equal(truth))

	monotonic, truth = monotonic.Add(2*time.Second), truth.Add(2*time.Second)
	g.Expect(c.Now()).To(Equal(truth))
}

// Guards against clock offsets of stopped daemons that still count in the median.
func TestClockForgetsSilentPeers(t *testing.T) {
	g := NewWithT(t)
	monotonic := time.Unix(1000, 0)
	wall := time.Unix(1_700_000_000, 0)
	c := NewClock(func() time.Time { return monotonic }, func() time.Time { return wall })
	c.Observe("a", wall.Add(time.Hour))
	c.Observe("b", wall.Add(time.Hour))
	monotonic, wall = monotonic.Add(maxOffsetAge+time.Second), wall.Add(maxOffsetAge+time.Second)
	c.Observe("c", wall)
	g.Expect(c.Now()).To(Equal(wall))
}

// Guards against a successor that reports different counts for a window that was
// already closed.
func TestSuccessorKeepsCountsOfClosedWindows(t *testing.T) {
	g := NewWithT(t)
	first := NewLedger(config)
	base := Window(1000)
	first.Close(base.Start(length))
	first.Merge("p1", map[Window]Counts{base: {"acme": 3}})
	g.Expect(first.Close(base.End(length).Add(config.Grace))).To(BeTrue())

	second := NewLedger(config)
	second.Merge("p1", map[Window]Counts{base: {"acme": 5}})
	g.Expect(second.Load(first.Encode())).To(Succeed())
	second.Close(base.End(length).Add(config.Grace))
	g.Expect(second.Unreported()).To(Equal([]Closed{{Window: base, Counts: Counts{"acme": 3}}}))
	second.Confirm(base)
	g.Expect(second.Unreported()).To(BeEmpty())
}

// Guards against a successor that closes a window that its predecessor skipped because an
// earlier holder may have reported it.
func TestSkippedWindowsStaySkipped(t *testing.T) {
	g := NewWithT(t)
	first, second := NewLedger(config), NewLedger(config)
	base := Window(1000)
	now := base.End(length).Add(config.Grace)
	first.Reset()
	g.Expect(first.Restore(now, func(time.Duration) bool { return false })).To(BeNumerically(">", 0))
	first.Merge("p1", map[Window]Counts{base: {"acme": 3}})
	g.Expect(second.Load(first.Encode())).To(Succeed())
	second.Merge("p1", map[Window]Counts{base: {"acme": 3}})
	second.Close(now)
	g.Expect(second.Unreported()).To(BeEmpty())
}

// Guards against a window that is closed again by a daemon that has reported it from the
// record of its predecessor, after the store has lost that record.
func TestLoadedWindowsStayClosed(t *testing.T) {
	g := NewWithT(t)
	first, second := NewLedger(config), NewLedger(config)
	base := Window(1000)
	now := base.End(length).Add(config.Grace)
	first.Begin(base.Start(length))
	older := first.Encode()
	first.Merge("p1", map[Window]Counts{base: {"acme": 3}})
	first.Close(now)
	g.Expect(second.Load(first.Encode())).To(Succeed())
	second.Confirm(base)
	second.Merge("p1", map[Window]Counts{base: {"acme": 5}})
	g.Expect(second.Load(older)).To(Succeed())
	second.Restore(now, func(time.Duration) bool { return true })
	second.Close(now)
	g.Expect(second.Unreported()).To(Equal([]Closed{{Window: base, Counts: Counts{"acme": 3}}}))
}

// Guards against losing all counts of a window that has ended if all daemons are
// killed before it is closed.
func TestDraftedCountsSurviveLossOfAllDaemons(t *testing.T) {
	g := NewWithT(t)
	first := NewLedger(config)
	base := Window(1000)
	first.Begin(base.Start(length))
	first.Merge("p1", map[Window]Counts{base: {"acme": 3}})
	first.Merge("p2", map[Window]Counts{base: {"acme": 4}})
	g.Expect(first.NeedsDraft(base.End(length))).To(BeFalse(), "other daemons still deliver before draftDelay")
	g.Expect(first.NeedsDraft(base.End(length).Add(draftDelay))).To(BeTrue())
	g.Expect(first.NeedsDraft(base.End(length).Add(draftDelay))).To(BeFalse(), "only one draft per window")

	second := NewLedger(config)
	g.Expect(second.Load(first.Encode())).To(Succeed())
	second.Begin(base.Start(length))
	// A process that is still running delivers its counts again.
	second.Merge("p2", map[Window]Counts{base: {"acme": 5}})
	second.Close(base.End(length).Add(config.Grace))
	g.Expect(second.Unreported()).To(Equal([]Closed{{Window: base, Counts: Counts{"acme": 8}}}))
}

// Guards against a ledger that is too large for the store, so that no window could
// be closed.
func TestLargeLedgerIsStoredWithoutOpenCounts(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger(config)
	l.Begin(Window(1000).Start(length))
	counts := Counts{}
	for i := range 2000 {
		counts[fmt.Sprint("customer-", i)] = 1
	}
	for i := range 20 {
		l.Merge(fmt.Sprint("process-", i), map[Window]Counts{1000: counts})
	}
	g.Expect(len(l.Encode())).To(BeNumerically("<=", maxStored))
}

// Guards against windows that are skipped or closed before their grace period ends.
func TestEveryWindowIsClosedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(config)
		now := Window(1000).Start(length)
		l.Close(now)
		seen := map[Window]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			l.Close(now)
			for _, c := range l.Unreported() {
				if now.Before(c.Window.End(length).Add(config.Grace)) {
					t.Fatalf("window %d closed before the end of its grace period", c.Window)
				}
				seen[c.Window] = true
				l.Confirm(c.Window)
			}
		}
		last := WindowAt(now.Add(-config.Grace), length) - 1
		for w := Window(1000); w <= last; w++ {
			if !seen[w] {
				t.Fatalf("window %d was not closed", w)
			}
		}
	})
}

// Guards against repeated or reordered deliveries that change the counts, and
// against processes whose counts overwrite each other.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(config)
		base := Window(1000)
		l.Close(base.Start(length))
		want := int64(0)
		for p := range rapid.IntRange(1, 4).Draw(t, "processes") {
			final := int64(rapid.IntRange(0, 50).Draw(t, "final"))
			want += final
			for range rapid.IntRange(1, 5).Draw(t, "deliveries") {
				n := int64(rapid.IntRange(0, int(final)).Draw(t, "n"))
				l.Merge(fmt.Sprint("p", p), map[Window]Counts{base: {"acme": n}})
			}
			l.Merge(fmt.Sprint("p", p), map[Window]Counts{base: {"acme": final}})
		}
		l.Close(base.End(length).Add(config.Grace))
		if got := l.Unreported()[0].Counts["acme"]; got != want {
			t.Fatalf("count is %d, want %d", got, want)
		}
	})
}
