package provision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// ServerConfig holds the planning parameters for server orders.
type ServerConfig struct {
	// OnDemand and Cheap are the number of servers of each class over all failure
	// domains. Cheap servers may be evicted.
	OnDemand, Cheap int
	// Floor is the total number of servers below which on-demand servers replace
	// cheap servers that are unavailable.
	Floor int
	// Min and Max bound the number of servers of both classes in a failure
	// domain.
	Min, Max int
	// Prices is the price of a server by failure domain.
	Prices map[string]float64
	// Boot is the time from an order until the new server is listed.
	Boot time.Duration
	// CheapBackoff is the time for which no further cheap servers are ordered in a
	// failure domain after an order was refused or a cheap server was evicted.
	CheapBackoff time.Duration
	// HoldDown is the time for which fewer servers must suffice before the order is
	// lowered, because a replacement would have to boot first.
	HoldDown time.Duration
}

// ServerOrder sets the number of servers of a class in a failure domain.
type ServerOrder struct {
	FailureDomain string
	Class         hosting.ServerClass
	Count         int
}

// Servers plans the number of servers by class and failure domain. It is not
// safe for concurrent use.
//
// At low load, running servers are the largest cost. Cheap servers cost a fifth
// of on-demand servers but are evicted by failure domain, sometimes in all of
// them at once. They are therefore spread over the failure domains and
// complemented by on-demand servers where the price is lowest.
type Servers struct {
	cfg ServerConfig
	// domains lists the failure domains by ascending price.
	domains []string
	// target is the planned number of servers.
	target    map[Group]int
	lastOrder map[Group]orderedCount
	// deniedAt is the last time at which a cheap order of the failure domain was
	// refused or a cheap server of it was evicted.
	deniedAt map[string]time.Time
	// surplusSince is the time since which a class has had more servers than
	// needed.
	surplusSince map[hosting.ServerClass]time.Time
	// work is the outstanding work of each group and have its running servers in the
	// present step.
	work map[Group]float64
	have map[Group]int
}

// orderedCount is the last order for a group and its time.
type orderedCount struct {
	count int
	at    time.Time
}

// NewServers returns a plan without orders.
func NewServers(cfg ServerConfig) *Servers {
	domains := slices.SortedFunc(maps.Keys(cfg.Prices), func(a, b string) int {
		if c := cmp.Compare(cfg.Prices[a], cfg.Prices[b]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return &Servers{
		cfg:          cfg,
		domains:      domains,
		target:       map[Group]int{},
		lastOrder:    map[Group]orderedCount{},
		deniedAt:     map[string]time.Time{},
		surplusSince: map[hosting.ServerClass]time.Time{},
	}
}

// OrderRefused records that an order certainly had no effect.
func (p *Servers) OrderRefused(now time.Time, o ServerOrder) {
	delete(p.lastOrder, Group{o.FailureDomain, o.Class})
	if o.Class == hosting.ClassCheap {
		p.deniedAt[o.FailureDomain] = now
	}
}

// OrderOutcomeUnknown records that the outcome of an order is unknown, so that
// the order is sent again.
func (p *Servers) OrderOutcomeUnknown(o ServerOrder) {
	delete(p.lastOrder, Group{o.FailureDomain, o.Class})
}

// Wanted is the number of servers that a step aims for.
type Wanted struct {
	Counts
	// Floor replaces ServerConfig.Floor.
	Floor int
	// Work is the outstanding work of each group of servers. A group with less work
	// per server is reduced first, because fewer requests and cached prompts move. It
	// may be nil.
	Work map[Group]float64
	// Restate orders the present number of servers of a group without an earlier
	// order. Otherwise such a group gets its first order when the number changes, so
	// that servers which are not listed yet are not cancelled.
	Restate bool
}

// Group identifies the servers of one class in one failure domain.
type Group struct {
	FailureDomain string
	Class         hosting.ServerClass
}

// Step returns the orders to send now for the configured counts.
func (p *Servers) Step(now time.Time, engines []Engine) []ServerOrder {
	return p.StepTo(now, engines, Wanted{Counts: Counts{OnDemand: p.cfg.OnDemand, Cheap: p.cfg.Cheap}, Floor: p.cfg.Floor, Restate: true})
}

// StepTo returns the orders to send now for the given counts.
func (p *Servers) StepTo(now time.Time, engines []Engine, want Wanted) []ServerOrder {
	have := map[Group]int{}
	for i := range engines {
		e := &engines[i]
		switch {
		case !e.Leaving:
			have[Group{e.FailureDomain, classOf(e)}]++
		case e.Cheap && e.Evicted:
			p.deniedAt[e.FailureDomain] = now
		}
	}
	expected := p.expectedCounts(now, have)
	p.work, p.have = want.Work, have
	cheap := p.planClass(now, expected, hosting.ClassCheap, want.Cheap)
	p.planClass(now, expected, hosting.ClassOnDemand, max(want.OnDemand, want.Floor-cheap))
	p.enforceMin()
	return p.newOrders(now, have, want.Restate)
}

func classOf(e *Engine) hosting.ServerClass {
	if e.Cheap {
		return hosting.ClassCheap
	}
	return hosting.ClassOnDemand
}

// expectedCounts returns the servers that are running or expected to start.
func (p *Servers) expectedCounts(now time.Time, have map[Group]int) map[Group]int {
	out := maps.Clone(have)
	for group, o := range p.lastOrder {
		coming := now.Sub(o.at) < p.cfg.Boot && !p.backingOff(now, group)
		if coming || o.count < out[group] {
			out[group] = o.count
		}
	}
	return out
}

// backingOff reports whether the group gets no further servers for now, which
// happens to cheap servers only.
func (p *Servers) backingOff(now time.Time, group Group) bool {
	denied, ok := p.deniedAt[group.FailureDomain]
	return ok && group.Class == hosting.ClassCheap && now.Sub(denied) < p.cfg.CheapBackoff
}

// planClass sets the targets of a class so that they add up to count, if
// possible, and returns their sum. Existing servers stay in their failure domain,
// missing ones are added where the class has the fewest, and surplus ones are
// removed after HoldDown, or immediately before the first order.
func (p *Servers) planClass(now time.Time, expected map[Group]int, class hosting.ServerClass, count int) int {
	total := 0
	for _, d := range p.domains {
		p.target[Group{d, class}] = expected[Group{d, class}]
		total += expected[Group{d, class}]
	}
	for ; total < count; total++ {
		group, ok := p.smallestGroup(now, class)
		if !ok {
			break
		}
		p.target[group]++
	}
	if total <= count {
		delete(p.surplusSince, class)
		return total
	}
	if _, ok := p.surplusSince[class]; !ok {
		p.surplusSince[class] = now
	}
	first := len(p.lastOrder) == 0
	for ; total > count && (first || now.Sub(p.surplusSince[class]) >= p.cfg.HoldDown); total-- {
		p.target[p.largestGroup(class)]--
	}
	return total
}

// smallestGroup returns the group of a class with the fewest servers that may get
// another one. Among equals it returns the one with the lowest price.
func (p *Servers) smallestGroup(now time.Time, class hosting.ServerClass) (Group, bool) {
	var best Group
	found := false
	for _, d := range p.domains {
		group := Group{d, class}
		both := p.target[Group{d, hosting.ClassOnDemand}] + p.target[Group{d, hosting.ClassCheap}]
		if both >= p.cfg.Max || p.backingOff(now, group) {
			continue
		}
		if !found || p.target[group] < p.target[best] {
			best, found = group, true
		}
	}
	return best, found
}

// largestGroup returns the group of a class with the most servers. Among equals
// it returns the one with the least work per server, or without known work the one
// with the highest price.
func (p *Servers) largestGroup(class hosting.ServerClass) Group {
	best := Group{p.domains[0], class}
	for _, d := range p.domains {
		group := Group{d, class}
		switch {
		case p.target[group] < p.target[best]:
		case p.target[group] > p.target[best] || p.workPerServer(group) <= p.workPerServer(best):
			best = group
		}
	}
	return best
}

// workPerServer returns the outstanding work of a group per server, 0 if the work
// is not known.
func (p *Servers) workPerServer(group Group) float64 {
	return p.work[group] / float64(max(p.have[group], 1))
}

// enforceMin adds on-demand servers to failure domains with fewer than Min
// servers.
func (p *Servers) enforceMin() {
	for _, d := range p.domains {
		onDemand := Group{d, hosting.ClassOnDemand}
		if missing := p.cfg.Min - p.target[onDemand] - p.target[Group{d, hosting.ClassCheap}]; missing > 0 {
			p.target[onDemand] += missing
		}
	}
}

// newOrders returns the orders to send: the first order of each group, changed
// targets, and orders whose servers have not started within Boot.
func (p *Servers) newOrders(now time.Time, have map[Group]int, restate bool) []ServerOrder {
	var out []ServerOrder
	for _, group := range slices.SortedFunc(maps.Keys(p.target), compareGroups) {
		target := p.target[group]
		o, ok := p.lastOrder[group]
		late := target > have[group] && now.Sub(o.at) >= p.cfg.Boot
		if ok && o.count == target && !late || !ok && target == have[group] && (target == 0 || !restate) {
			continue
		}
		if ok && target < o.count && p.backingOff(now, group) {
			// The platform starts the missing servers as soon as it has capacity;
			// a lower order would cancel them.
			continue
		}
		p.lastOrder[group] = orderedCount{count: target, at: now}
		out = append(out, ServerOrder{FailureDomain: group.FailureDomain, Class: group.Class, Count: target})
	}
	return out
}

func compareGroups(a, b Group) int {
	if c := cmp.Compare(a.FailureDomain, b.FailureDomain); c != 0 {
		return c
	}
	return cmp.Compare(a.Class, b.Class)
}
