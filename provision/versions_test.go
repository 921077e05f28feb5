package provision

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/backend"
)

// versioned returns engines with one role, of which counts[v] have the version v.
func versioned(role backend.Role, counts ...int) []Engine {
	var out []Engine
	for version, n := range counts {
		for i := range n {
			out = append(out, Engine{ID: fmt.Sprintf("%d-%d", i, version), FailureDomain: fmt.Sprint("fd", i%4), Version: fmt.Sprint("v", version), Role: role})
		}
	}
	return out
}

// settle steps a plan for a minute, with entries that show a change after its duration. It
// calls each after every step.
func settle(p *Roles, from time.Time, all []Engine, each func(now time.Time, orders []RoleOrder)) (end time.Time) {
	type change struct {
		at     time.Time
		orders []RoleOrder
	}
	var pending []change
	now := from
	for ; now.Before(from.Add(time.Minute)); now = now.Add(500 * time.Millisecond) {
		for len(pending) > 0 && !now.Before(pending[0].at) {
			applyRoles(all, pending[0].orders)
			pending = pending[1:]
		}
		orders := p.Step(now, all)
		pending = append(pending, change{now.Add(changeDuration + time.Second), orders})
		each(now, orders)
	}
	return now
}

// decodeByVersion counts the engines with the decode role, and all that aren't leaving.
func decodeByVersion(all []Engine) (decode, size map[string]int) {
	decode, size = map[string]int{}, map[string]int{}
	for _, e := range all {
		if e.Leaving {
			continue
		}
		size[e.Version]++
		if e.Role == backend.RoleDecode {
			decode[e.Version]++
		}
	}
	return decode, size
}

// Guards against streams that can't go on after the loss of one engine, although others of
// their software version serve: the version had a single decode engine.
func TestVersionWithStreamsHasTwoDecodeEngines(t *testing.T) {
	for name, test := range map[string]struct {
		all []Engine
		// changes is the largest number of changes of one engine's role.
		changes int
	}{
		"all prefill":            {versioned(backend.RolePrefill, 3, 2), 1},
		"all decode":             {versioned(backend.RoleDecode, 5, 4), 1},
		"three versions":         {versioned(backend.RolePrefill, 3, 3, 3), 1},
		"one engine of its own":  {append(versioned(backend.RolePrefill, 5), Engine{ID: "a", Version: "v1", Role: backend.RoleDecode}), 1},
		"two engines each":       {versioned(backend.RoleDecode, 2, 2), 1},
		"thirty of two versions": {versioned(backend.RolePrefill, 16, 14), 1},
		// The second version gets a second engine until its streams have ended.
		"one of each decodes": {append(versioned(backend.RolePrefill, 4, 3), Engine{ID: "a", Version: "v0", Role: backend.RoleDecode}, Engine{ID: "b", Version: "v1", Role: backend.RoleDecode}), 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := NewRoles(DefaultRoleConfig(changeDuration))
			changes := map[string]int{}
			settle(p, start, test.all, func(_ time.Time, orders []RoleOrder) {
				for _, o := range orders {
					changes[o.ID]++
					g.Expect(changes[o.ID]).To(BeNumerically("<=", test.changes), o.ID)
				}
			})
			decode, _ := decodeByVersion(test.all)
			for version, n := range decode {
				g.Expect(n).To(BeNumerically(">=", 2), version)
			}
			cfg := DefaultRoleConfig(changeDuration)
			g.Expect(countDecode(test.all)).To(Equal(cfg.WantDecode(len(test.all))), "prefill engines are not given up for it")
		})
	}
}

// Guards against a version whose last decode engine ends before it gets a second one,
// because the others that are down still count until their entries expire.
func TestVersionGetsADecodeEngineForOneThatIsDown(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := versioned(backend.RolePrefill, 5, 4)
	now := settle(p, start, all, func(time.Time, []RoleOrder) {})
	down := ""
	for i := range all {
		if down == "" && all[i].Role == backend.RoleDecode {
			all[i].Down, down = true, all[i].ID
		}
	}
	orders := p.Step(now, all)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Role).To(Equal(backend.RoleDecode))
	for _, e := range all {
		if e.ID == orders[0].ID {
			g.Expect(e.Version).To(Equal("v0"))
		}
	}
}

// Guards against changed roles in a pool of one version while an engine is down for a
// moment.
func TestDownEngineChangesNothingInAPoolOfOneVersion(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := versioned(backend.RolePrefill, 9)
	now := settle(p, start, all, func(time.Time, []RoleOrder) {})
	for i := range all {
		all[i].Down = true
		g.Expect(p.Step(now, all)).To(BeEmpty())
	}
}

// Guards against a version that loses its streams with the second engine that ends.
func TestLostDecodeEngineIsReplacedByItsVersion(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := versioned(backend.RolePrefill, 5, 4)
	now := settle(p, start, all, func(time.Time, []RoleOrder) {})
	for range 3 {
		for i := range all {
			if all[i].Role == backend.RoleDecode {
				all = append(all[:i], all[i+1:]...)
				break
			}
		}
		now = settle(p, now, all, func(time.Time, []RoleOrder) {})
		decode, _ := decodeByVersion(all)
		g.Expect(decode).To(Equal(map[string]int{"v0": 2}))
	}
}

// Guards against a version without a second decode engine while the engines of a service
// are replaced by those of another version, one after the other.
func TestReplacedVersionKeepsTwoDecodeEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const away, interval = time.Second, 500 * time.Millisecond
		p := NewRoles(DefaultRoleConfig(away))
		n := rapid.IntRange(4, 12).Draw(t, "engines")
		all := versioned(backend.RolePrefill, n)
		now := settle(p, start, all, func(time.Time, []RoleOrder) {})
		order := rapid.Permutation(all).Draw(t, "order")
		replaced := rapid.IntRange(1, n).Draw(t, "replaced")
		gap := time.Duration(rapid.IntRange(4, 12).Draw(t, "gap")) * time.Second
		changeAt := map[string]time.Time{}
		role := map[string]backend.Role{}
		alone := map[string]time.Duration{}
		for i := range replaced {
			all = append(all, Engine{ID: fmt.Sprint("new", i), FailureDomain: order[i].FailureDomain, Version: "new", Role: backend.RolePrefill})
			for j := range all {
				all[j].Leaving = all[j].Leaving || all[j].ID == order[i].ID
			}
			for end := now.Add(gap); now.Before(end); now = now.Add(interval) {
				for _, o := range p.Step(now, all) {
					changeAt[o.ID], role[o.ID] = now.Add(away), o.Role
				}
				for j := range all {
					if at, ok := changeAt[all[j].ID]; ok && !now.Before(at) {
						all[j].Role = role[all[j].ID]
					}
				}
				decode, size := decodeByVersion(all)
				for version, have := range decode {
					if alone[version] += interval; have != 1 || size[version] < 2 {
						alone[version] = 0
					}
					// A change is ordered at the next step and takes away.
					if alone[version] > away+2*interval {
						t.Fatalf("version %s has %d engines, of which one decodes, for %v", version, size[version], alone[version])
					}
				}
			}
		}
	})
}
