package fleet

import (
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// serverPlan is the state of the decision about the number of servers.
type serverPlan struct {
	ordered WantServers
	sent    bool
	seeded  bool
	// surplusSince is the time since which fewer servers have sufficed, or zero
	// if they don't.
	surplusSince time.Time
	// cheapMissingSince is the time since which ordered cheap servers have been
	// missing, or zero. No cheap servers are ordered before cheapBackoffUntil.
	cheapMissingSince, cheapBackoffUntil time.Time
}

// seed takes the servers that are running at the start as the current order. A
// new lease holder must not withdraw its predecessor's servers before it knows
// the demand.
func (s *serverPlan) seed(onDemand, cheap int) {
	if s.seeded || onDemand+cheap == 0 {
		return
	}
	s.seeded, s.sent = true, true
	s.ordered = WantServers{OnDemand: onDemand, Cheap: cheap}
}

// recordEvictions starts the backoff when two or more cheap servers are evicted:
// the platform evicts those of a whole failure domain at once.
func (s *serverPlan) recordEvictions(now time.Time, count int, cfg *Config) {
	if count >= 2 {
		s.cheapBackoffUntil = now.Add(cfg.CheapBackoff)
	}
}

// requiredCapacity returns the predicted work of all models in mixed engines,
// and the part of it that must be served even after an eviction.
func (f *Fleet) requiredCapacity(lead time.Duration) (all, nonBatch float64) {
	for _, name := range f.modelNames {
		m := f.models[name]
		units := m.units(lead, f.cfg.MixedEfficiency)
		all += units
		nonBatch += units * (1 - m.batchShare)
	}
	return all, nonBatch
}

// targetServers returns the wanted number of servers. After an eviction of all
// cheap servers, the on-demand servers at full load and the other failure
// domains must be able to serve the non-batch work.
func (f *Fleet) targetServers(now time.Time, lead time.Duration) WantServers {
	all, nonBatch := f.requiredCapacity(lead)
	total := max(int(math.Ceil(all/f.cfg.Utilization)), f.cfg.MinServers, f.modelCount())
	want := WantServers{OnDemand: max(int(math.Ceil(nonBatch-f.spareEngines)), f.cfg.MinServers)}
	want.OnDemand = min(want.OnDemand, total)
	want.Cheap = total - want.OnDemand
	if now.Before(f.servers.cheapBackoffUntil) {
		want.Cheap = 0
	}
	want.Cheap = min(want.Cheap, max(f.limits.CheapMax, 0))
	want.OnDemand = min(total-want.Cheap, max(f.limits.OnDemandMax, 0))
	return f.capCheap(want, all, nonBatch)
}

// capCheap lowers the number of cheap servers if the limit of on-demand servers
// leaves too little capacity to take over their work.
func (f *Fleet) capCheap(want WantServers, all, nonBatch float64) WantServers {
	if nonBatch <= 0 {
		return want
	}
	absorbed := float64(want.OnDemand) + f.spareEngines
	if nonBatch > absorbed && want.OnDemand >= f.limits.OnDemandMax {
		// After an eviction, the work beyond this capacity is refused anyway. If
		// cheap servers carried it, the eviction would also break its streams.
		most := int(math.Floor(absorbed*all/nonBatch/f.cfg.Utilization)) - want.OnDemand
		want.Cheap = max(min(want.Cheap, most), 0)
	}
	return want
}

// modelCount returns the number of models with demand. Each needs at least one
// engine.
func (f *Fleet) modelCount() int {
	count := 0
	for _, name := range f.modelNames {
		if f.models[name].units(0, 1) > 0 {
			count++
		}
	}
	return count
}

// planServers orders additional servers immediately. It lowers the order only
// after HoldDown and after draining the servers.
func (f *Fleet) planServers(now time.Time) {
	f.detectMissingCheap(now)
	want := f.targetServers(now, f.cfg.LeadTime)
	present := f.targetServers(now, 0)
	want.OnDemand = max(want.OnDemand, min(present.OnDemand, f.limits.OnDemandMax))
	s := &f.servers
	fewer := want.OnDemand < s.ordered.OnDemand || want.Cheap < s.ordered.Cheap
	if !fewer {
		s.surplusSince = time.Time{}
		f.cancelWithdrawals(now)
	} else if s.surplusSince.IsZero() {
		s.surplusSince = now
	}
	next := WantServers{max(want.OnDemand, s.ordered.OnDemand), max(want.Cheap, s.ordered.Cheap)}
	if fewer && now.Sub(s.surplusSince) >= f.cfg.HoldDown {
		next.OnDemand -= f.withdraw(now, hosting.ClassOnDemand, next.OnDemand-want.OnDemand)
		next.Cheap -= f.withdraw(now, hosting.ClassCheap, next.Cheap-want.Cheap)
	}
	next.OnDemand = min(next.OnDemand, max(f.limits.OnDemandMax, 0))
	next.Cheap = min(next.Cheap, max(f.limits.CheapMax, 0))
	if next != s.ordered || !s.sent {
		s.ordered, s.sent = next, true
		f.emit(next)
	}
}

// detectMissingCheap starts the backoff for cheap servers if ordered ones have
// been missing for twice the lead time.
func (f *Fleet) detectMissingCheap(now time.Time) {
	s := &f.servers
	have := f.countServers(hosting.ClassCheap)
	if have >= s.ordered.Cheap {
		s.cheapMissingSince = time.Time{}
		return
	}
	if s.cheapMissingSince.IsZero() {
		s.cheapMissingSince = now
	}
	if now.Sub(s.cheapMissingSince) >= 2*f.cfg.LeadTime {
		s.cheapBackoffUntil = now.Add(f.cfg.CheapBackoff)
		s.ordered.Cheap = have
		s.sent = false
		s.cheapMissingSince = time.Time{}
	}
}

// countServers returns the number of live and starting servers of a class.
func (f *Fleet) countServers(class hosting.ServerClass) int {
	count := 0
	for _, e := range f.engines {
		if e.Class == class && e.State != hosting.ServerLeaving {
			count++
		}
	}
	return count
}

// withdraw drains the servers of a class one at a time. It returns by how many
// the order can be lowered now, at most surplus.
func (f *Fleet) withdraw(now time.Time, class hosting.ServerClass, surplus int) int {
	excess := f.countServers(class) - (f.orderedServers(class) - surplus)
	drained, draining := 0, 0
	var leastLoaded *engine
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.Class != class || e.State != hosting.ServerLive {
			continue
		}
		switch {
		case e.change != nil && e.change.phase == phaseDrained:
			drained++
		case e.change != nil && e.change.kind == changeWithdraw:
			draining++
		case e.change == nil && f.removable(e) && (leastLoaded == nil || e.Streams < leastLoaded.Streams):
			leastLoaded = e
		}
	}
	if surplus > 0 && draining == 0 && drained < excess && leastLoaded != nil {
		f.beginChange(now, leastLoaded, &change{kind: changeWithdraw})
	}
	// Ordered servers that don't exist need no drain. Servers drained for an
	// earlier, already lowered order are excluded.
	missing := f.orderedServers(class) - f.countServers(class)
	return min(max(surplus, 0), max(drained+missing, 0))
}

func (f *Fleet) orderedServers(class hosting.ServerClass) int {
	if class == hosting.ClassCheap {
		return f.servers.ordered.Cheap
	}
	return f.servers.ordered.OnDemand
}

// removable reports whether the engine's model can be served without it.
func (f *Fleet) removable(e *engine) bool {
	m := f.models[e.Model]
	if m == nil {
		return true
	}
	remaining := f.countRoles(e.Model)
	*remaining.count(e.Role)--
	return remaining.servesBothPhases() && !f.poolChanging(e.Model)
}

// cancelWithdrawals returns engines to service whose withdrawal is not yet part
// of an order. A drained engine that the order already excludes stays drained.
func (f *Fleet) cancelWithdrawals(now time.Time) {
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.change == nil || e.change.kind != changeWithdraw || e.State != hosting.ServerLive {
			continue
		}
		if e.change.phase != phaseDrained || f.countServers(e.Class) <= f.orderedServers(e.Class) {
			e.change.kind = changeUndrain
			f.enterPhase(now, e, phaseUndrain)
		}
	}
}
