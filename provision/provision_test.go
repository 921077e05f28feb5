package provision

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(1, 300)
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// changeDuration is the time for which a role change takes an engine out of
// service.
const changeDuration = 3 * time.Second

func engines(role backend.Role, n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{ID: fmt.Sprint(role, i), FailureDomain: fmt.Sprint("fd", i%4), Role: role})
	}
	return out
}

func applyRoles(all []Engine, orders []RoleOrder) {
	for _, o := range orders {
		for i := range all {
			if all[i].ID == o.ID {
				all[i].Role = o.Role
			}
		}
	}
}

func countDecode(all []Engine) int {
	n := 0
	for _, e := range all {
		if !e.Leaving && e.Role == backend.RoleDecode {
			n++
		}
	}
	return n
}

// Guards against repeated orders while the engines' entries lag, which would
// change too many engines.
func TestPendingOrdersCountWhileEntriesLag(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := engines(backend.RoleDecode, 9)
	sent := 0
	for now := start; now.Before(start.Add(changeDuration + 2*time.Second)); now = now.Add(500 * time.Millisecond) {
		sent += len(p.Step(now, all))
	}
	g.Expect(sent).To(Equal(7))
}

// Guards against a pool without decode engines after those it had are leaving: no
// request could be served.
func TestDecodeEnginesAreReplaced(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := append(engines(backend.RolePrefill, 7), engines(backend.RoleDecode, 2)...)
	g.Expect(p.Step(start, all)).To(BeEmpty())
	for i := range all {
		all[i].Leaving = all[i].Role == backend.RoleDecode
	}
	orders := p.Step(start.Add(time.Second), all)
	g.Expect(orders).To(HaveLen(2))
	g.Expect(orders[0].Role).To(Equal(backend.RoleDecode))
}

// Guards against decode on engines that may be evicted while on-demand engines
// could do it.
func TestCheapEnginesGetPrefillRole(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := engines(backend.RoleDecode, 8)
	for i := range all {
		all[i].Cheap = i < 6
	}
	for i := range 5 {
		applyRoles(all, p.Step(start.Add(time.Duration(i)*20*time.Second), all))
	}
	for _, e := range all {
		g.Expect(e.Role == backend.RoleDecode).To(Equal(!e.Cheap), e.ID)
	}
}

// Guards against counting an order to an earlier incarnation for a restarted
// engine, which never received it.
func TestOrderAppliesToOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	p := NewRoles(DefaultRoleConfig(changeDuration))
	all := engines(backend.RoleDecode, 4)
	orders := p.Step(start, all)
	g.Expect(orders).NotTo(BeEmpty())
	for i := range all {
		all[i].Born = 7
	}
	g.Expect(p.Changing(start.Add(time.Second), all)).To(BeEmpty())
}

// Guards against roles that flap, and against a pool without a prefill or decode
// engine after the engines had time to change.
func TestRolesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewRoles(DefaultRoleConfig(changeDuration))
		n := rapid.IntRange(2, 20).Draw(t, "engines")
		all := engines(backend.RoleDecode, n)
		for i := range all {
			all[i].Cheap = rapid.Bool().Draw(t, "cheap")
			if rapid.Bool().Draw(t, "prefill") {
				all[i].Role = backend.RolePrefill
			}
		}
		type change struct {
			at     time.Time
			orders []RoleOrder
		}
		var pending []change
		changes := map[string]int{}
		for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(500 * time.Millisecond) {
			for len(pending) > 0 && !now.Before(pending[0].at) {
				applyRoles(all, pending[0].orders)
				pending = pending[1:]
			}
			orders := p.Step(now, all)
			for _, o := range orders {
				if changes[o.ID]++; changes[o.ID] > 1 {
					t.Fatalf("engine %s changes its role twice although no engine came or left", o.ID)
				}
			}
			pending = append(pending, change{now.Add(changeDuration + time.Second), orders})
		}
		cfg := DefaultRoleConfig(changeDuration)
		if got, want := countDecode(all), cfg.WantDecode(n); got != want {
			t.Fatalf("%d of %d engines have the decode role, want %d", got, n, want)
		}
	})
}

func serverConfig() ServerConfig {
	return ServerConfig{
		OnDemand: 2, Cheap: 8, Floor: 6, Min: 1, Max: 6,
		Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		Boot:   6 * time.Second, CheapBackoff: 5 * time.Second, HoldDown: 12 * time.Second,
	}
}

// platform simulates a platform that carries out orders immediately.
type platform struct{ count map[Group]int }

func (p *platform) apply(orders []ServerOrder) {
	for _, o := range orders {
		p.count[Group{o.FailureDomain, o.Class}] = o.Count
	}
}

func (p *platform) engines() []Engine {
	var out []Engine
	for group, n := range p.count {
		for i := range n {
			out = append(out, Engine{ID: fmt.Sprint(group, i), FailureDomain: group.FailureDomain, Cheap: group.Class == hosting.ClassCheap})
		}
	}
	return out
}

func (p *platform) total(class hosting.ServerClass) int {
	n := 0
	for group, count := range p.count {
		if group.Class == class {
			n += count
		}
	}
	return n
}

// Guards against a number of servers that stays above or below the configured
// one.
func TestServersReachConfiguredCounts(t *testing.T) {
	g := NewWithT(t)
	p := NewServers(serverConfig())
	sim := &platform{count: map[Group]int{{"a", hosting.ClassOnDemand}: 3, {"c", hosting.ClassOnDemand}: 6}}
	for i := range 60 {
		sim.apply(p.Step(start.Add(time.Duration(i)*500*time.Millisecond), sim.engines()))
	}
	g.Expect(sim.total(hosting.ClassCheap)).To(Equal(8))
	g.Expect(sim.total(hosting.ClassOnDemand)).To(Equal(2))
}

// Guards against a lower order after a refusal, which would stop running servers.
func TestRefusedOrderKeepsRunningServers(t *testing.T) {
	g := NewWithT(t)
	p := NewServers(serverConfig())
	sim := &platform{count: map[Group]int{}}
	sim.apply(p.Step(start, sim.engines()))
	running := sim.count[Group{"a", hosting.ClassCheap}]
	sim.count[Group{"b", hosting.ClassCheap}] = 0
	now := start.Add(10 * time.Second)
	for _, o := range p.Step(now, sim.engines()) {
		p.OrderRefused(now, o)
	}
	for i := range 10 {
		for _, o := range p.Step(now.Add(time.Duration(i)*500*time.Millisecond), sim.engines()) {
			if o.FailureDomain == "a" && o.Class == hosting.ClassCheap && o.Count < running {
				t.Fatalf("order for %d servers in failure domain a while %d are running", o.Count, running)
			}
		}
	}
	g.Expect(running).To(BeNumerically(">", 0))
}

// Guards against a service that keeps only its configured on-demand servers while
// no failure domain has cheap servers.
func TestOnDemandServersReplaceMissingCheapUpToFloor(t *testing.T) {
	g := NewWithT(t)
	p := NewServers(serverConfig())
	sim := &platform{count: map[Group]int{}}
	sim.apply(p.Step(start, sim.engines()))
	for group := range sim.count {
		if group.Class == hosting.ClassCheap {
			sim.count[group] = 0
		}
	}
	for i := range 40 {
		now := start.Add(10*time.Second + time.Duration(i)*500*time.Millisecond)
		for _, o := range p.Step(now, sim.engines()) {
			if o.Class == hosting.ClassCheap && o.Count > 0 {
				p.OrderRefused(now, o)
				continue
			}
			sim.apply([]ServerOrder{o})
		}
	}
	g.Expect(sim.total(hosting.ClassOnDemand)).To(BeNumerically(">=", 6))
}

// Guards against servers that move between failure domains when the backoff of
// one ends.
func TestServersStayInTheirFailureDomain(t *testing.T) {
	g := NewWithT(t)
	p := NewServers(serverConfig())
	sim := &platform{count: map[Group]int{}}
	sim.apply(p.Step(start, sim.engines()))
	evictedGroup := Group{"b", hosting.ClassCheap}
	sim.count[evictedGroup] = 0
	evicted := Engine{ID: "x", FailureDomain: "b", Cheap: true, Leaving: true, Evicted: true}
	now := start.Add(10 * time.Second)
	sim.apply(p.Step(now, append(sim.engines(), evicted)))
	g.Expect(sim.total(hosting.ClassCheap)).To(Equal(8))
	for i := range 60 {
		orders := p.Step(now.Add(time.Duration(i+1)*500*time.Millisecond), sim.engines())
		sim.apply(orders)
		g.Expect(sim.total(hosting.ClassCheap)).To(BeNumerically(">=", 8))
		g.Expect(sim.total(hosting.ClassCheap)).To(BeNumerically("<=", 9))
	}
}
