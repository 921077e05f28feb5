package edge

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/provision"
	"github.com/mimosakeel/mimosakeel/registry"
)

// capacityFake accepts all orders. It holds the number of servers of each group.
type capacityFake struct {
	mu     sync.Mutex
	counts map[provision.Group]int
	orders int
}

func (f *capacityFake) SetCount(_ context.Context, o hosting.CapacityOrder) (hosting.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	f.counts[provision.Group{FailureDomain: o.FailureDomain, Class: o.Class}] = o.Count
	return hosting.OutcomeDone, nil
}

// total returns the servers of a class.
func (f *capacityFake) total(class hosting.ServerClass) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for group, count := range f.counts {
		if group.Class == class {
			n += count
		}
	}
	return n
}

type engineOrdersFake struct{}

func (engineOrdersFake) SetRole(context.Context, *registry.Server, RoleOrder) (hosting.Outcome, error) {
	return hosting.OutcomeDone, nil
}

// newDemandControl returns the control state of a lease holder that orders servers by
// demand, in a deployment of 62 engines.
func newDemandControl(t *testing.T) (*scaleControl, *capacityFake) {
	c := newScaleControl(t, 4, 64, 1)
	orders := &capacityFake{counts: map[provision.Group]int{}}
	for _, s := range c.servers.Load().ofService("llm") {
		orders.counts[provision.Group{FailureDomain: s.FailureDomain, Class: hosting.ClassOnDemand}]++
	}
	c.fleet.capacity, c.fleet.engines = orders, engineOrdersFake{}
	c.fleet.settings.Plan = planDemand
	c.fleet.gained(c.now, 1, nil)
	c.fleet.tick(c.now, 1)
	return c, orders
}

// report passes the load of all pools of the service but one.
func (c *scaleControl) report(load provision.Report, except string) {
	for _, route := range c.view.Load().pools["llm"] {
		if route.name != except {
			c.handle(c.now, peerMessage{from: route.scheduler, message: &PoolDemand{Pool: route.name, Service: "llm", Load: load}})
		}
	}
}

// step advances the time by one decision.
func (c *scaleControl) step() {
	c.now = c.now.Add(fleetInterval)
	c.fleet.tick(c.now, 1)
}

// answerOrders handles the answers to all orders for servers.
func (c *scaleControl) answerOrders() {
	for c.fleet.services["llm"].unanswered > 0 {
		c.handle(c.now, <-c.inbox)
	}
}

// lightLoad is a load that a sixth of the engines can serve.
var lightLoad = provision.Report{Requests: 10, Prefill: 50_000, PrefillRate: 50_000, DecodeRate: 2000, Spread: 1}

// Guards against a holder that doesn't act on the reports of its schedulers, and
// against one that releases servers without them.
func TestHolderOrdersServersByDemand(t *testing.T) {
	g := NewWithT(t)
	c, orders := newDemandControl(t)
	silent := c.view.Load().pools["llm"][0].name
	listed := len(c.servers.Load().ofService("llm"))
	play := func(steps int, except string) {
		for range steps {
			c.step()
			c.answerOrders()
			c.report(lightLoad, except)
		}
	}
	play(40, silent)
	g.Expect(orders.orders).To(BeZero(), "a scheduler is silent")
	play(22, "")
	g.Expect(orders.total(hosting.ClassOnDemand)).To(Equal(listed), "the period has not passed")
	plan := c.fleet.services["llm"]
	for plan.unanswered == 0 {
		c.step()
		c.report(lightLoad, "")
	}
	unanswered := plan.unanswered
	for range 8 {
		c.step()
		c.report(lightLoad, "")
	}
	g.Expect(plan.unanswered).To(Equal(unanswered), "an order could overtake the one before it")
	c.answerOrders()
	play(40, "")
	g.Expect(orders.total(hosting.ClassOnDemand)).To(BeNumerically("<", 50))
	g.Expect(orders.total(hosting.ClassCheap)).To(BeNumerically(">", 0))
}

// Guards against releases from pools that have engines of one role only.
func TestReleasesWaitForEngineRoles(t *testing.T) {
	g := NewWithT(t)
	c, orders := newDemandControl(t)
	var list []hosting.KeyedRecord
	for i := range 64 {
		if i%plainShare == 0 {
			continue
		}
		s := registry.Server{ID: fmt.Sprint("i-", i), StartedMs: 2, Service: "llm", FailureDomain: fmt.Sprint("fd-", i%scaleDomains), Role: backend.RoleDecode}
		list = append(list, hosting.KeyedRecord{Key: s.ID, Value: encodeJSON(t, s)})
	}
	c.apply(feedServers, list...)
	plan := c.fleet.services["llm"]
	for plan.last.Holding || !plan.last.Act {
		c.step()
		c.answerOrders()
		c.report(lightLoad, "")
	}
	for range 8 {
		c.step()
		c.answerOrders()
		c.report(lightLoad, "")
	}
	g.Expect(orders.total(hosting.ClassOnDemand)).To(Equal(len(list)))
}

// Guards against reports that a daemon sends for pools that it doesn't schedule, or
// that can't be right, and against a log line for each of them.
func TestInvalidDemandReportsAreCounted(t *testing.T) {
	g := NewWithT(t)
	c, _ := newDemandControl(t)
	route := c.view.Load().pools["llm"][0]
	other := "vm-3"
	if route.scheduler == other {
		other = "vm-2"
	}
	before := demandInvalid.Get()
	bad := lightLoad
	bad.Prefill = math.NaN()
	for _, m := range []peerMessage{
		{from: route.scheduler, message: &PoolDemand{Pool: route.name, Service: "llm", Load: bad}},
		{from: other, message: &PoolDemand{Pool: route.name, Service: "llm", Load: lightLoad}},
		{from: other, message: &PoolDemand{Pool: "unknown", Service: "llm", Load: lightLoad}},
		{from: other, message: &PoolDemand{Pool: route.name, Service: "unknown", Load: lightLoad}},
	} {
		c.handle(c.now, m)
	}
	g.Expect(demandInvalid.Get() - before).To(BeEquivalentTo(3))
	g.Expect(c.fleet.badDemand).To(Equal(map[string]string{route.name: "scheduler", "unknown": "scheduler"}))
	for i := range 2 * maxBadDemand {
		c.handle(c.now, peerMessage{from: other, message: &PoolDemand{Pool: formatInt(int64(i)), Service: "llm"}})
	}
	g.Expect(len(c.fleet.badDemand)).To(BeNumerically("<=", maxBadDemand))
}

// Guards against reports that nobody needs, and against several in one interval.
func TestDemandIsReportedToTheHolder(t *testing.T) {
	g := NewWithT(t)
	c := newScaleControl(t, 1, 64, 1)
	sent := map[string]int{}
	c.send = func(vm string, m peer.Message) {
		if demand, ok := m.(*PoolDemand); ok {
			sent[vm]++
			g.Expect(demand.Load.Problem()).To(BeEmpty())
		}
	}
	c.now = c.now.Add(time.Second)
	c.reportDemand(c.now)
	g.Expect(sent).To(BeEmpty(), "the plan is the ratio")
	c.fleet.settings.Plan = planDemand
	c.reportDemand(c.now)
	g.Expect(sent).To(BeEmpty(), "no holder is known")
	c.duties.observeLease(&leaseObservation{End: 5, VM: "vm-7", Term: 4})
	pools := len(c.view.Load().pools["llm"])
	for range 20 {
		c.now = c.now.Add(tickInterval)
		c.reportDemand(c.now)
	}
	g.Expect(sent).To(Equal(map[string]int{"vm-7": 2 * pools}))
	g.Expect(demandIntervalOf(200)).To(Equal(10 * demandInterval))
}
