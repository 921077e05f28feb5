package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	daemonCount  = 4
	restInterval = 3 * time.Second
	// deadlineReserve is the time before the test binary's timeout at which the child
	// processes are killed. The timeout itself would leave them running.
	deadlineReserve = 3 * time.Second
	// roundReserve is the time that a round and the final report may need. No round
	// starts with less time left.
	roundReserve = 45 * time.Second
)

// smallSet holds the faults of a test run without -rounds: one for each kind of
// process and of link.
var smallSet = []string{"kill", "trim", "cut_log", "engine_crash", "planned_stop"}

func customerRow(name string, keys ...string) table.Customer {
	c := table.Customer{
		Name: name, Weight: 1, RequestsPerSecond: 1000, Burst: 1000, Concurrency: 1000, TokensPerMinute: 1e9,
		Models: []string{model}, Services: []string{service},
	}
	for _, key := range keys {
		c.Keys = append(c.Keys, table.HashKey(key))
	}
	return c
}

// firstTable returns the configuration with which a run starts.
func firstTable() table.Table {
	t := table.Table{
		Models: []table.Model{{Name: model, Version: "1", WeightBytes: 1}},
		Services: []table.Service{
			{Name: service, Backends: []string{service}, MethodsIdempotent: []string{"GET"}},
			{Name: openService, Backends: []string{openService}, Open: true, MethodsIdempotent: []string{"GET"}},
		},
	}
	for _, name := range customerNames {
		t.Customers = append(t.Customers, customerRow(name, customers[name]...))
	}
	for _, domain := range domains {
		t.Limits = append(t.Limits, table.Limit{FailureDomain: domain, OnDemandMax: 4, CheapMax: 4})
	}
	return t
}

// raceEdits lets two operators change the same row concurrently. At least one edit
// must be accepted, and both must not get the same version.
func (b *testbed) raceEdits(r *round) {
	var both sync.WaitGroup
	versions := make([]int64, 2)
	for i := range versions {
		both.Go(func() {
			row := customerRow("raced", fmt.Sprintf("key-raced-%d-%d", r.number, i))
			edit := table.Edit{Set: table.Table{Customers: []table.Customer{row}}}
			versions[i], _, _ = b.publish(edit, fmt.Sprintf("operator-%d", i), fmt.Sprintf("race-%d-%d", r.number, i))
		})
	}
	both.Wait()
	if versions[0] == 0 && versions[1] == 0 {
		r.checker.fail("P12", "round %d: neither of two edits was accepted", r.number)
	}
	if versions[0] == versions[1] {
		r.checker.fail("P12", "round %d: two edits were published as version %d", r.number, versions[0])
	}
}

// Guards against violations of the guarantees P1 to P12 when processes or links
// fail while clients send requests and operators publish edits.
func TestFaultRounds(t *testing.T) {
	x := startRun(t)
	begin, before := time.Now(), x.b.appends()
	done := 0
	for number, kinds := range plan(x) {
		if deadline, ok := t.Deadline(); ok && time.Until(deadline) < roundReserve {
			t.Errorf("no time left for round %d and later rounds", number+1)
			break
		}
		x.round(number+1, kinds...)
		done++
	}
	t.Logf("%d rounds in %s", done, time.Since(begin).Round(time.Second))
	x.t.Logf("appends per second under load: %.1f", float64(x.b.appends()-before)/time.Since(begin).Seconds())
	x.traffic.finish()
	x.report()
}

// plan returns the faults of each round, which the seed determines. With
// -rounds it alternates between all faults in random order and five rounds with two
// faults at once.
func plan(x *testRun) [][]faultKind {
	var rounds [][]faultKind
	if *roundsFlag == 0 {
		for _, name := range smallSet {
			rounds = append(rounds, []faultKind{faultKindNamed(name)})
		}
		return rounds
	}
	for len(rounds) < *roundsFlag {
		if *onlyFlag != "" {
			rounds = append(rounds, []faultKind{faultKindNamed(*onlyFlag)})
			continue
		}
		for _, i := range x.b.rng.Perm(len(faultKinds)) {
			rounds = append(rounds, []faultKind{faultKinds[i]})
		}
		for range 5 {
			rounds = append(rounds, x.pair())
		}
	}
	return rounds[:*roundsFlag]
}

// pair returns two different random faults for one round. Non-disruptive ones are
// left out.
func (x *testRun) pair() []faultKind {
	for {
		first, second := x.b.rng.IntN(len(faultKinds)), x.b.rng.IntN(len(faultKinds))
		if first != second && !faultKinds[first].nonDisruptive && !faultKinds[second].nonDisruptive {
			return []faultKind{faultKinds[first], faultKinds[second]}
		}
	}
}

// faultKindNamed returns the fault kind with a name and panics if there is none.
func faultKindNamed(name string) faultKind {
	i := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == name })
	if i < 0 {
		panic("unknown fault " + name)
	}
	return faultKinds[i]
}

// startRun starts the testbed and the traffic, publishes the first configuration and
// waits until all daemons serve requests.
func startRun(t *testing.T) *testRun {
	if deadline, ok := t.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)-deadlineReserve, func() {
			endChildren()
			panic("the test has reached its deadline")
		})
		t.Cleanup(func() { timer.Stop() })
	}
	b := startTestbed(t, *seedFlag, daemonCount)
	x := &testRun{t: t, b: b, checker: newChecker(), timings: &timings{}, ignoreLeaving: map[string]bool{}}
	_, _, err := b.publish(table.Edit{Set: firstTable()}, "operator", "first")
	must(t, err)
	for _, m := range b.daemons {
		go b.monitor(m, x.checker)
	}
	x.traffic = startTraffic(b, *seedFlag)
	for _, m := range b.daemons {
		b.awaitUp(m)
	}
	t.Cleanup(func() {
		if !x.traffic.stopped() {
			x.traffic.finish()
		}
	})
	x.traffic.faultTransitions.Add(1)
	x.recover(&round{name: "start"})
	x.traffic.faultTransitions.Add(1)
	return x
}

// appends returns the number of appends to the log so far.
func (b *testbed) appends() int64 {
	sum := int64(0)
	for _, n := range b.platformAudit().Appends {
		sum += n
	}
	return sum
}

// report logs the numbers of calls by outcome, the append rate at rest and the
// measured times.
func (x *testRun) report() {
	counts := map[string]int{}
	calls, _ := x.traffic.all()
	for _, c := range calls {
		counts[string(c.kind)+" "+string(c.outcome)]++
		if c.outcome == outcomeRefused {
			counts["refused "+c.code]++
		}
	}
	e := x.b.observe(x.traffic)
	x.logOrders(e)
	requests := 0
	for _, record := range e.engines {
		requests += len(record.audit.Requests)
	}
	x.t.Logf("seed %d: %d calls, %d engine requests, %d service runs, %d orders, %d terms, %d reports",
		*seedFlag, len(e.calls), requests, len(e.runs), len(e.orders()), len(e.leaseTerms), len(e.platform.Reports))
	x.t.Logf("outcomes: %v", counts)
	before := x.b.appends()
	time.Sleep(restInterval)
	x.t.Logf("appends per second at rest: %.1f", float64(x.b.appends()-before)/restInterval.Seconds())
	x.t.Logf("times:\n| time | n | median s | maximum s |\n|---|---|---|---|\n%s", x.timings.table())
}

// logOrders logs the orders and aborted requests of the engines on which an order
// interrupted requests.
func (x *testRun) logOrders(e *observations) {
	for _, record := range e.engines {
		interrupted := slices.ContainsFunc(record.audit.Orders, func(o engine.OrderEntry) bool { return o.Aborted > 0 })
		for _, o := range record.audit.Orders {
			if interrupted {
				x.t.Logf("%s: %d %+v, %s, interrupted %d", record.server.ID, o.AtMs, o.Order, o.Result, o.Aborted)
			}
		}
		for _, r := range record.audit.Requests {
			if interrupted && r.Outcome == engine.OutcomeAborted {
				x.t.Logf("%s: %d aborted %+v", record.server.ID, r.AtMs, r)
			}
		}
	}
}
