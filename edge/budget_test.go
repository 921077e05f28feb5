package edge

import (
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

var start = time.Unix(1_700_000_000, 0)

func newTestBudget(ratio, extra float64, shares int) (*retryBudget, *time.Time) {
	now := start
	b := newRetryBudget(RetrySettings{Ratio: ratio, Extra: extra, Window: 10 * time.Second}, func() int { return shares })
	b.now = func() time.Time { return now }
	return b, &now
}

// Guards against daemons that together make more retries in a window than the
// limit allows, for any traffic and any distribution over the daemons.
func TestBudgetHoldsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra, daemons = 0.2, 56.0, 8
		now := start
		var budgets []*retryBudget
		for range daemons {
			b := newRetryBudget(RetrySettings{Ratio: ratio, Extra: extra, Window: 10 * time.Second}, func() int { return daemons })
			b.now = func() time.Time { return now }
			budgets = append(budgets, b)
		}
		type entry struct {
			at    time.Time
			retry bool
		}
		var log []entry
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				b.Arrived("s")
				log = append(log, entry{at: now})
			}
			for range rapid.IntRange(0, 20).Draw(t, "repeats") {
				if b.Take("s") {
					log = append(log, entry{at: now, retry: true})
				}
			}
		}
		for i := range log {
			requests, before, retries := 0, 0, 0
			for _, e := range log {
				switch age := log[i].at.Sub(e.at); {
				case age < 0 || age >= 20*time.Second:
				case age >= 10*time.Second && !e.retry:
					before++
				case age < 10*time.Second && e.retry:
					retries++
				case age < 10*time.Second:
					requests++
				}
			}
			// The limit counts the requests of this window or of the one before,
			// whichever has more.
			if allowed := ratio*float64(max(requests, before)) + extra; float64(retries) > allowed+0.001 {
				t.Fatalf("%d retries in a window, %.1f allowed", retries, allowed)
			}
		}
	})
}

// Guards against charged retries that are not counted, and against a budget that
// does not recover once the window has passed.
func TestBudgetChargesAndRecovers(t *testing.T) {
	g := NewWithT(t)
	b, now := newTestBudget(0, 4, 2)
	g.Expect(b.Take("s")).To(BeTrue())
	b.Charge("s")
	g.Expect(b.Has("s")).To(BeFalse())
	g.Expect(b.Take("s")).To(BeFalse())
	g.Expect(b.Take("other")).To(BeTrue())
	*now = now.Add(11 * time.Second)
	g.Expect(b.Has("s")).To(BeTrue())
}

// Guards against a reload of the settings that resets the counts and so grants
// the budget a second time.
func TestBudgetKeepsCountsOnReload(t *testing.T) {
	g := NewWithT(t)
	b, _ := newTestBudget(0, 2, 1)
	g.Expect(b.Take("s")).To(BeTrue())
	b.set(RetrySettings{Ratio: 0, Extra: 1, Window: 10 * time.Second})
	g.Expect(b.Take("s")).To(BeFalse())
}
