package provision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

const (
	// minVersionDecode is the number of decode engines of a software version that has
	// any, so that its streams can go on after the loss of one.
	minVersionDecode = 2
	// minPrefillPart is the part of the engines that do prefill, 1/minPrefillPart, while
	// engines come and go: a change of the role takes an engine out of service.
	minPrefillPart = 3
	// versionHold is the time for which a version keeps its decode engines after its last
	// one was lost, or after engines came and went. It covers the streams that have begun
	// there and their clients' further attempts.
	versionHold = 10 * time.Second
)

// versionGroup holds the engines of one software version that aren't leaving. A stream goes
// on only at the version that began it.
type versionGroup struct {
	version         string
	decode, prefill []Engine
	// onDemand is the number of engines that aren't cheap.
	onDemand int
	// held is set if streams of the version may be running.
	held bool
	// target is the number of engines that should have the decode role.
	target int
}

func (g *versionGroup) size() int { return len(g.decode) + len(g.prefill) }

// up returns the engines that aren't down.
func up(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Down })
}

// versionGroups groups the engines by version. Ordered roles count as carried out.
func (p *Roles) versionGroups(now time.Time, engines []Engine) (groups []*versionGroup) {
	byVersion := map[string]*versionGroup{}
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		g := byVersion[e.Version]
		if g == nil {
			g = &versionGroup{version: e.Version}
			byVersion[e.Version] = g
			groups = append(groups, g)
		}
		role := e.Role
		if o, ok := p.pending(now, &e); ok {
			role = o.role
		}
		if role == backend.RoleDecode {
			g.decode = append(g.decode, e)
		} else {
			g.prefill = append(g.prefill, e)
		}
		if !e.Cheap {
			g.onDemand++
		}
	}
	for _, g := range groups {
		if len(g.decode) > 0 {
			p.decodedAt[g.version] = now
		}
		at, ok := p.decodedAt[g.version]
		g.held = ok && now.Sub(at) < versionHold
	}
	slices.SortFunc(groups, func(a, b *versionGroup) int {
		return cmp.Or(
			cmp.Compare(len(b.decode), len(a.decode)),
			cmp.Compare(b.onDemand, a.onDemand),
			cmp.Compare(b.size(), a.size()),
			cmp.Compare(a.version, b.version),
		)
	})
	return groups
}

// setTargets divides the decode role among the versions, given in the order of preference.
//
// Streams should begin at few versions, each with minVersionDecode engines or more: a
// version without decode engines has no streams to lose, and its engines do prefill for
// the others. While engines come and go, every version that has streams keeps its decode
// engines: one version may be replacing another, and several engines may end at a time.
func (c *RoleConfig) setTargets(groups []*versionGroup, settled bool) {
	n, sum := 0, 0
	for _, g := range groups {
		g.target = len(g.decode)
		n += g.size()
		sum += g.target
	}
	want := c.WantDecode(n)
	limit := min(max(want+1, n-n/minPrefillPart), n-1)
	kept := 0
	for each := 1; each <= minVersionDecode; each++ {
		for i, g := range groups {
			decode, prefill := len(up(g.decode)), len(up(g.prefill))
			if !g.held || settled && i > 0 || each > decode+prefill || kept == limit {
				continue
			}
			kept++
			if each > decode {
				g.target++
				sum++
			}
		}
	}
	for sum < want {
		g := slices.MaxFunc(groups, func(a, b *versionGroup) int { return cmp.Compare(a.size()-a.target, b.size()-b.target) })
		add := 1
		if g.target == 0 {
			add = min(minVersionDecode, g.size())
		}
		g.target += add
		sum += add
	}
	if settled {
		limit = want
		for _, g := range slices.Backward(groups) {
			if g.target > 0 && g.target <= sum-want {
				sum -= g.target
				g.target = 0
			}
		}
	}
	for sum > limit {
		g := slices.MaxFunc(groups, func(a, b *versionGroup) int { return cmp.Compare(a.target, b.target) })
		if g.target <= minVersionDecode {
			return
		}
		g.target--
		sum--
	}
}

// orderTargets returns the orders that bring the versions to their targets. Engines leave
// the decode role only once those that take it over have it, and one at a time, since a
// change takes an engine out of service.
func (p *Roles) orderTargets(now time.Time, groups []*versionGroup) []RoleOrder {
	var out []RoleOrder
	short, pending := false, false
	for _, g := range groups {
		if missing := g.target - len(g.decode); missing > 0 {
			short = true
			out = append(out, p.orderChanges(now, up(g.prefill), backend.RoleDecode, missing)...)
		}
		for _, e := range slices.Concat(g.decode, g.prefill) {
			if _, ok := p.pending(now, &e); ok {
				pending = true
			}
		}
	}
	if short || pending {
		return out
	}
	for _, g := range groups {
		if len(g.decode) > g.target {
			return p.orderChanges(now, up(g.decode), backend.RolePrefill, 1)
		}
	}
	return nil
}

// settled reports whether no engine has come, left or begun to leave within versionHold.
func (p *Roles) settled(now time.Time, engines []Engine) bool {
	listed := map[string]int64{}
	leaving := false
	for i := range engines {
		if engines[i].Leaving || engines[i].Down {
			leaving = leaving || engines[i].Leaving
			continue
		}
		listed[engines[i].ID] = engines[i].Born
	}
	if !maps.Equal(listed, p.listed) {
		p.listed, p.changedAt = listed, now
	}
	return !leaving && now.Sub(p.changedAt) >= versionHold
}
