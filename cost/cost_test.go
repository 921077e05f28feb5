package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

// Guards against a few requests that cost twenty times the usual and are lost in a mean,
// and against a learned cost that one garbled value moves.
func TestDistributionOfHeavyTails(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	kinds, k := NewKinds(12_000), Kind{Route: "r"}
	for i := range 2_000 {
		v := 0.05 * math.Exp(0.7*random.NormFloat64())
		if i%100 == 0 {
			v *= 20
		}
		kinds.Observe(k, v)
	}
	e := kinds.Expect(k)
	g.Expect(e.Typical).To(BeNumerically("~", 0.05, 0.01))
	g.Expect(e.Mean).To(BeNumerically("~", 0.05*math.Exp(0.245)*1.19, 0.025))
	d := &kinds.entries[k.key(false)].Distribution
	g.Expect(d.Quantile(0.5)).To(BeNumerically("~", 0.05, 0.015))
	kinds.Observe(k, 1e6)
	g.Expect(kinds.Expect(k).Mean).To(BeNumerically("<", 2*e.Mean))
	for _, bad := range []float64{-1, 0, math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		g.Expect(kinds.Observe(k, bad)).To(BeFalse())
	}
	g.Expect(kinds.Rejected()).To(BeNumerically("==", 6))
}

// Guards against a cost that stays the old one after a mix has shifted.
func TestCostsFollowAShift(t *testing.T) {
	g := NewWithT(t)
	kinds, k := NewKinds(12_000), Kind{Route: "r"}
	for range 1_000 {
		kinds.Observe(k, 0.05)
	}
	for range 200 {
		kinds.Observe(k, 0.5)
	}
	g.Expect(kinds.Expect(k).Mean).To(BeNumerically(">", 0.35))
}

// Guards against a customer whose requests cost ten times the others' and that is
// predicted from them, and against one observation that decides for a customer.
func TestCustomersCountOnceObserved(t *testing.T) {
	g := NewWithT(t)
	kinds := NewKinds(12_000)
	usual, large := Kind{Route: "r", Customer: "usual"}, Kind{Route: "r", Customer: "large"}
	for range 400 {
		kinds.Observe(usual, 0.05)
	}
	kinds.Observe(large, 0.5)
	g.Expect(kinds.Expect(large).Mean).To(BeNumerically("<", 0.15))
	for range 40 {
		kinds.Observe(large, 0.5)
	}
	g.Expect(kinds.Expect(large).Mean).To(BeNumerically(">", 0.35))
	g.Expect(kinds.Expect(Kind{Route: "r", Customer: "new"}).Known).To(BeTrue())
	g.Expect(kinds.Expect(Kind{Route: "other"})).To(Equal(Expectation{}))
}

// Guards against memory that grows with customers and servers: 9,300 customers and 2,900
// servers take less than 4 MB, and more of them displace those used longest ago.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kinds, servers := NewKinds(12_000), NewServers()
	for i := range 30_000 {
		kinds.Observe(Kind{Route: "r", Customer: fmt.Sprint("customer-", i)}, 0.05)
	}
	for i := range 10_000 {
		servers.Observe(start, IDOf(fmt.Sprint("server-", i), 1), 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d kinds and %d servers take %d bytes", len(kinds.entries), servers.Len(), after.HeapAlloc-before.HeapAlloc)
	g.Expect(after.HeapAlloc - before.HeapAlloc).To(BeNumerically("<", 4<<20))
	g.Expect(kinds.Expect(Kind{Route: "r", Customer: "customer-29999"}).Known).To(BeTrue())
	g.Expect(servers.Len()).To(BeNumerically("<=", maxServers))
	servers.Forget(start.Add(2 * forgetAfter))
	g.Expect(servers.Len()).To(BeZero())
	runtime.KeepAlive(kinds)
}

// daemons are tables that exchange reports every 100 ms with a random other one.
type daemons struct {
	all    []*Servers
	now    time.Time
	random *rand.Rand
}

func newDaemons(n int) *daemons {
	d := &daemons{now: start, random: rand.New(rand.NewPCG(1, 1))}
	for range n {
		s := NewServers()
		s.SetDaemons(n)
		d.all = append(d.all, s)
	}
	return d
}

func (d *daemons) round() {
	d.now = d.now.Add(100 * time.Millisecond)
	for _, s := range d.all {
		if report := s.Report(d.now); report != nil {
			d.all[d.random.IntN(len(d.all))].Merge(d.now, report)
		}
	}
}

// Guards against daemons that don't learn what the others have on a server, and against
// knowledge that outlives it: a lost daemon's part fades within about a second.
func TestOutstandingWorkIsShared(t *testing.T) {
	g := NewWithT(t)
	d, server := newDaemons(89), IDOf("s", 1)
	for _, s := range d.all[:20] {
		s.Begin(d.now, server, 0.5)
	}
	mean := func() (open, seconds float64) {
		for _, s := range d.all[20:] {
			l := s.Load(d.now, server)
			open, seconds = open+l.Open/69, seconds+l.Seconds/69
		}
		return open, seconds
	}
	for range 20 {
		d.round()
	}
	open, seconds := mean()
	g.Expect(open).To(BeNumerically("~", 20, 6))
	g.Expect(seconds).To(BeNumerically("~", 10, 3))
	d.all = append([]*Servers{}, d.all[20:]...)
	for i := range 20 {
		d.all = append(d.all, NewServers())
		d.all[69+i].SetDaemons(89)
	}
	for range 15 {
		d.round()
	}
	left := 0.0
	for _, s := range d.all {
		left += s.Load(d.now, server).Open / 89
	}
	g.Expect(left).To(BeNumerically("<", 2))
}

// Guards against a slow server that each daemon has to find by itself, and against a speed
// that is learned for the server that replaces it.
func TestSpeedsAreShared(t *testing.T) {
	g := NewWithT(t)
	d, slow := newDaemons(89), IDOf("s", 1)
	for i := range 20 {
		d.all[i%20].Observe(d.now, slow, 5)
		d.round()
	}
	sum := 0.0
	for _, s := range d.all[20:] {
		slowness := s.Load(d.now, slow).Slowness
		g.Expect(slowness).To(BeNumerically(">", 1.4))
		sum += slowness
	}
	g.Expect(sum / 69).To(BeNumerically(">", 3))
	g.Expect(d.all[50].Load(d.now, IDOf("s", 2)).Slowness).To(Equal(1.0))
	// 24 observations of all daemons displace earlier ones.
	for i := range 40 {
		d.all[i].Observe(d.now, slow, 1)
		d.round()
	}
	g.Expect(d.all[80].Load(d.now, slow).Slowness).To(BeNumerically("<", 2))
}

// Guards against a speed that outliers or impossible values decide, and against a server
// that is never tried again after it was slow.
func TestSpeedsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s, server := NewServers(), IDOf("s", 1)
	for range 20 {
		s.Observe(start, server, 1)
	}
	s.Observe(start, server, 1e9)
	g.Expect(s.Load(start, server).Slowness).To(BeNumerically("<", 1.3))
	for _, bad := range []float64{-1, 0, math.NaN(), math.Inf(1)} {
		s.Observe(start, server, bad)
	}
	g.Expect(s.Rejected()).To(BeNumerically("==", 4))
	for range 50 {
		s.Observe(start, server, 10)
	}
	g.Expect(s.Load(start, server).Slowness).To(BeNumerically(">", 5))
	g.Expect(s.Load(start.Add(30*time.Second), server).Slowness).To(BeNumerically("<", 4))
}

// Guards against outstanding work that doesn't return to zero.
func TestEndedWorkIsNotOutstanding(t *testing.T) {
	g := NewWithT(t)
	s, server := NewServers(), IDOf("s", 1)
	for range 10 {
		s.Begin(start, server, 0.1)
	}
	g.Expect(s.Load(start, server).Seconds).To(BeNumerically("~", 1, 0.01))
	for range 12 {
		s.End(start.Add(time.Second), server, 0.1)
	}
	l := s.Load(start.Add(time.Second), server)
	g.Expect(l.Open).To(BeZero())
	g.Expect(l.Seconds).To(BeZero())
}

// Guards against reports of other processes that make the estimates invalid or use up
// memory.
func TestReportsAreChecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewServers()
		s.SetDaemons(rapid.IntRange(-1, 400).Draw(t, "daemons"))
		s.Observe(start, 1, 1)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			report := rapid.SliceOfN(rapid.Byte(), 0, 5*entryBytes).Draw(t, "report")
			if rapid.Bool().Draw(t, "whole") {
				report = report[:len(report)/entryBytes*entryBytes]
			}
			s.Merge(start, report)
		}
		for id := range s.entries {
			l := s.Load(start.Add(time.Second), id)
			for _, v := range []float64{l.Slowness, l.Open, l.Seconds, l.FaultRate} {
				if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
					t.Fatalf("invalid estimate %+v", l)
				}
			}
			if l.Slowness > maxSlowness*1.001 || l.FaultRate > 1 {
				t.Fatalf("estimate out of bounds %+v", l)
			}
		}
	})
}

// Guards against one daemon whose report outweighs what all others have observed.
func TestReportsHaveBoundedWeight(t *testing.T) {
	g := NewWithT(t)
	a, b, server := NewServers(), NewServers(), IDOf("s", 1)
	b.SetDaemons(89)
	for range 20 {
		a.Observe(start, server, 30)
	}
	b.Observe(start, server, 1)
	b.Merge(start, a.Report(start))
	g.Expect(b.Load(start, server).Slowness).To(BeNumerically("<", 5))
}

// Guards against reports that leave out servers, and against one that is larger than its
// bound.
func TestServersAreReportedInTurn(t *testing.T) {
	g := NewWithT(t)
	a, b := NewServers(), NewServers()
	for i := range 40 {
		a.Observe(start, ServerID(i), 2)
	}
	for range 5 {
		report := a.Report(start)
		g.Expect(len(report)).To(BeNumerically("<=", MaxReportServers*entryBytes))
		g.Expect(b.Merge(start, report)).To(BeZero())
	}
	g.Expect(b.Len()).To(Equal(40))
}
