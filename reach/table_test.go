package reach

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var begin = time.Unix(1000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Guards against paths that are taken to be broken because a server is down.
func TestFailedAttemptAloneBreaksNoPath(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for i, addr := range []string{"a", "b", "c"} {
		table.Choose(at(i), addr)
		table.Failed(at(i), addr)
	}
	g.Expect(table.Cut()).To(BeFalse())
	g.Expect(table.Choose(at(10), "a")).To(Equal(Way{Direct: true}))
}

// Guards against broken paths that are never tried again, or so often that it costs
// connections.
func TestBrokenPathIsProbedAndHeals(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Choose(at(0), "a")
	table.Choose(at(0), "b")
	g.Expect(table.Broken(at(1), "a")).To(BeTrue())
	g.Expect(table.Broken(at(2), "a")).To(BeFalse())
	direct := 0
	for ms := 2; ms < 1002; ms += 10 {
		way := table.Choose(at(ms), "a")
		g.Expect(way.Relay).To(BeTrue())
		if way.Direct {
			direct++
		}
	}
	g.Expect(direct).To(BeNumerically("~", 4, 1))
	g.Expect(table.Opened(at(1100), "a", time.Millisecond)).To(BeTrue())
	g.Expect(table.Choose(at(1101), "a")).To(Equal(Way{Direct: true, Usual: time.Millisecond}))
}

// Guards against daemons that wait for each server although they reach none, and against
// those that stay away after their paths have healed.
func TestDaemonThatReachesNoServerIsCutUntilAPathHeals(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for _, addr := range []string{"a", "b", "c"} {
		table.Choose(at(0), addr)
		table.Opened(at(1), addr, time.Millisecond)
	}
	table.Broken(at(100), "a")
	g.Expect(table.Cut()).To(BeFalse())
	g.Expect(table.Reaches()).To(BeTrue())
	table.Broken(at(101), "b")
	g.Expect(table.Cut()).To(BeTrue())
	g.Expect(table.Reaches()).To(BeFalse())
	g.Expect(table.Choose(at(102), "c")).To(Equal(Way{Direct: true, Relay: true, Usual: time.Millisecond}))
	table.Opened(at(500), "c", time.Millisecond)
	g.Expect(table.Cut()).To(BeFalse())
	g.Expect(table.Reaches()).To(BeTrue())
	g.Expect(table.Choose(at(501), "a")).To(Equal(Way{Direct: true, Relay: true, Usual: time.Millisecond}), "another path has healed")
}

// Guards against closing connections that still deliver while new ones are refused.
func TestBytesOverAnOwnPathShowThatTheDaemonIsNotCut(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	servers := []string{"a", "b", "c", "d"}
	for _, addr := range servers {
		table.Choose(at(0), addr)
	}
	for ms, addr := range servers {
		table.Heard(at(2*ms + 1))
		table.Broken(at(2*ms+2), addr)
		g.Expect(table.Cut()).To(BeFalse())
	}
}
