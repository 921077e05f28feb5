package fault_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosakeel/mimosakeel/standin/fault"
	"github.com/onsi/gomega"
)

// Guards against faults that affect calls outside their target, skip, count or
// time limits.
func TestTakeHonoursTargetSkipCountAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var set fault.Set
		hits := func(kind, target string, calls int) int {
			count := 0
			for range calls {
				if _, hit := set.Take(kind, target); hit {
					count++
				}
			}
			return count
		}
		set.Add(fault.Fault{Kind: "a", Target: "x", Skip: 2, Count: 3})
		g.Expect(hits("a", "y", 9)).To(gomega.Equal(0))
		g.Expect(hits("b", "x", 9)).To(gomega.Equal(0))
		g.Expect(hits("a", "x", 2)).To(gomega.Equal(0))
		g.Expect(hits("a", "x", 9)).To(gomega.Equal(3))
		set.Add(fault.Fault{Kind: "a", ForMs: 10})
		g.Expect(hits("a", "y", 9)).To(gomega.Equal(9))
		time.Sleep(10 * time.Millisecond)
		g.Expect(hits("a", "y", 9)).To(gomega.Equal(0))
		set.Add(fault.Fault{Kind: "a"})
		set.Add(fault.Fault{Kind: fault.KindClear})
		g.Expect(set.List()).To(gomega.BeEmpty())
	})
}
