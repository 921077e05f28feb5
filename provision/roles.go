// Package provision decides, for an LLM service, how many servers of each class
// run in each failure domain and which of their engines do prefill or decode. It
// has no clock and no I/O: the caller passes the time and the listed engines and
// sends the orders.
package provision

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Engine is a listed engine of the service.
type Engine struct {
	// ID and Born identify the incarnation.
	ID            string
	Born          int64
	FailureDomain string
	// Version is the version of the engine's software.
	Version string
	Role    backend.Role
	Cheap   bool
	Leaving bool
	// Down is set if the engine has refused connections lately.
	Down bool
	// Evicted is set if the platform is evicting the engine's server.
	Evicted bool
}

// RoleConfig holds the planning parameters for role changes.
type RoleConfig struct {
	// DecodeShare is the share of engines with the decode role, MinDecode their
	// minimum number. Of two or more engines, at least one keeps another role.
	DecodeShare float64
	MinDecode   int
	// Settle is the time for which an order counts as carried out although the
	// engine's entry doesn't show it yet. It covers the running work, the
	// interruption of the change, and the lag of the entry.
	Settle time.Duration
	// MinStay is the minimum time between two orders to an engine.
	MinStay time.Duration
}

// DefaultRoleConfig returns the parameters for engines that are out of service
// for the given time during a role change.
func DefaultRoleConfig(away time.Duration) RoleConfig {
	return RoleConfig{
		DecodeShare: 0.25,
		MinDecode:   2,
		Settle:      away + 3*time.Second,
		MinStay:     2*away + 3*time.Second,
	}
}

// RoleOrder asks for a role change.
type RoleOrder struct {
	ID   string
	Born int64
	Role backend.Role
}

// Roles plans the roles of the engines of one pool. It is not safe for
// concurrent use.
//
// Roles are derived from the listed engines in each step because the mix of
// prompt and output tokens shifts within seconds and engines come and go. A fixed
// assignment would leave no decode engine when those with that role leave.
type Roles struct {
	cfg       RoleConfig
	lastOrder map[string]orderedRole
	// decodedAt is the last time at which a version had decode engines.
	decodedAt map[string]time.Time
	// listed holds the start of each engine that isn't leaving, by ID, and changedAt is
	// the last time at which it changed.
	listed    map[string]int64
	changedAt time.Time
}

// orderedRole is the last order to an engine and its time.
type orderedRole struct {
	born int64
	role backend.Role
	at   time.Time
}

// NewRoles returns a plan without orders.
func NewRoles(cfg RoleConfig) *Roles {
	return &Roles{cfg: cfg, lastOrder: map[string]orderedRole{}, decodedAt: map[string]time.Time{}}
}

// pending returns the last order to an engine, and whether it is still being
// carried out.
func (p *Roles) pending(now time.Time, e *Engine) (orderedRole, bool) {
	o, ok := p.lastOrder[e.ID]
	return o, ok && o.born == e.Born && o.role != e.Role && now.Sub(o.at) < p.cfg.Settle
}

// Changing returns the orders that are being carried out at present.
func (p *Roles) Changing(now time.Time, engines []Engine) []RoleOrder {
	var out []RoleOrder
	for i := range engines {
		if o, ok := p.pending(now, &engines[i]); ok {
			out = append(out, RoleOrder{ID: engines[i].ID, Born: o.born, Role: o.role})
		}
	}
	return out
}

// OrderFailed removes an order that certainly had no effect.
func (p *Roles) OrderFailed(o RoleOrder) {
	if have, ok := p.lastOrder[o.ID]; ok && have.born == o.Born && have.role == o.Role {
		delete(p.lastOrder, o.ID)
	}
}

// WantDecode returns how many of n engines should have the decode role.
func (c *RoleConfig) WantDecode(n int) int {
	if n <= 1 {
		return n
	}
	want := max(int(math.Round(c.DecodeShare*float64(n))), c.MinDecode)
	return min(want, n-1)
}

// Step returns the orders to send now.
func (p *Roles) Step(now time.Time, engines []Engine) []RoleOrder {
	p.pruneOrders(now, engines)
	settled := p.settled(now, engines)
	groups := p.versionGroups(now, engines)
	if len(groups) > 1 {
		p.cfg.setTargets(groups, settled)
		return p.orderTargets(now, groups)
	}
	for _, g := range groups {
		want := p.cfg.WantDecode(g.size())
		switch {
		case len(g.decode) > want:
			return p.orderChanges(now, g.decode, backend.RolePrefill, len(g.decode)-want)
		case len(g.decode) < want:
			return p.orderChanges(now, g.prefill, backend.RoleDecode, want-len(g.decode))
		}
	}
	return nil
}

// Settled reports whether at least half of the wanted engines of each role are in
// service. Until then, no further engines should be released: those that leave may
// be the last ones of a role, and a change of another one takes several seconds.
func (p *Roles) Settled(now time.Time, engines []Engine) bool {
	listed, decode, prefill := 0, 0, 0
	for i := range engines {
		if engines[i].Leaving {
			continue
		}
		listed++
		if _, ok := p.pending(now, &engines[i]); ok {
			continue
		}
		switch engines[i].Role {
		case backend.RoleDecode:
			decode++
		case backend.RolePrefill:
			prefill++
		default:
			decode, prefill = decode+1, prefill+1
		}
	}
	want := p.cfg.WantDecode(listed)
	return 2*decode >= want && 2*prefill >= listed-want
}

// orderChanges orders the role for up to count of the engines.
func (p *Roles) orderChanges(now time.Time, engines []Engine, role backend.Role, count int) []RoleOrder {
	var out []RoleOrder
	remaining := slices.Clone(engines)
	for len(out) < count {
		next := p.pickEngine(now, remaining, role)
		if next < 0 {
			return out
		}
		e := remaining[next]
		remaining = slices.Delete(remaining, next, next+1)
		p.lastOrder[e.ID] = orderedRole{born: e.Born, role: role, at: now}
		out = append(out, RoleOrder{ID: e.ID, Born: e.Born, Role: role})
	}
	return out
}

// pickEngine returns the index of the engine to change first, or -1 if none may
// change.
func (p *Roles) pickEngine(now time.Time, engines []Engine, role backend.Role) int {
	perDomain := map[string]int{}
	for i := range engines {
		perDomain[engines[i].FailureDomain]++
	}
	best := -1
	for i := range engines {
		if o, ok := p.lastOrder[engines[i].ID]; ok && o.born == engines[i].Born && now.Sub(o.at) < p.cfg.MinStay {
			continue
		}
		if best < 0 || p.preferred(&engines[i], &engines[best], role, perDomain) {
			best = i
		}
	}
	return best
}

// preferred reports whether a should change to the role before b. Cheap engines
// preferably do prefill: the eviction of a decode engine breaks its streams,
// while a prompt is simply processed again. Otherwise an engine is taken from the
// failure domain with the most candidates, to spread each role over the domains.
func (p *Roles) preferred(a, b *Engine, role backend.Role, perDomain map[string]int) bool {
	if a.Cheap != b.Cheap {
		return a.Cheap == (role == backend.RolePrefill)
	}
	if c := cmp.Compare(perDomain[a.FailureDomain], perDomain[b.FailureDomain]); c != 0 {
		return c > 0
	}
	return a.ID < b.ID
}

// pruneOrders removes the orders to incarnations that are no longer listed.
func (p *Roles) pruneOrders(now time.Time, engines []Engine) {
	listed := map[string]int64{}
	for i := range engines {
		listed[engines[i].ID] = engines[i].Born
	}
	for id, o := range p.lastOrder {
		if born, ok := listed[id]; (!ok || born != o.born) && now.Sub(o.at) > p.cfg.MinStay {
			delete(p.lastOrder, id)
		}
	}
	maps.DeleteFunc(p.decodedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= versionHold })
}
