package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// recoverLimit bounds the wait for recovery. It is not a requirement; it only ends
	// a run in which the traffic does not recover.
	recoverLimit = 15 * time.Second
	// inForceLimit is the time after which an edit that is not in force on all daemons
	// counts as a failure.
	inForceLimit = 20 * time.Second
	// faultLead is the time between the fault and the withdrawal of the key, so that
	// the withdrawal happens while the fault is in effect.
	faultLead = 500 * time.Millisecond
	// withdrawnKeyClients is the number of clients that use the key to be withdrawn.
	withdrawnKeyClients = 3
)

// round is one round of the test: one fault or two, a withdrawal of a key, and the
// recovery.
type round struct {
	number  int
	name    string
	victim  *member
	checker *checker
	// undo holds the functions that heal the faults.
	undo []func()
	// staleServerList states that some daemon could not read the server list during
	// the round. faultStart is the time before the first fault.
	staleServerList bool
	faultStart      time.Time
	// heldLeases are the failure domains whose lease the victim held at heldAt,
	// immediately before the fault.
	heldAt     time.Time
	heldLeases []string
}

// onHeal registers a function that is called when the round's faults are healed.
func (r *round) onHeal(f func()) { r.undo = append(r.undo, f) }

func pickSorted(rng *rand.Rand, ids []string) string {
	slices.Sort(ids)
	return ids[rng.IntN(len(ids))]
}

// recordHeldLeases records which leases the victim holds at the fault.
func (r *round) recordHeldLeases(b *testbed) {
	current := map[string]leaseTerm{}
	for _, t := range b.leaseTerms() {
		current[t.domain] = t
	}
	for domain, t := range current {
		if t.vm == r.victim.vm && !t.released {
			r.heldLeases = append(r.heldLeases, domain)
		}
	}
	slices.Sort(r.heldLeases)
	r.heldAt = time.Now()
}

// chooseVictim returns a random daemon or, in half of the calls, the holder of the
// latest lease term.
func (b *testbed) chooseVictim() *member {
	victim, holder := b.daemons[b.rng.IntN(len(b.daemons))], b.rng.IntN(2) == 0
	leaseTerms := b.leaseTerms()
	if !holder || len(leaseTerms) == 0 {
		return victim
	}
	last := leaseTerms[len(leaseTerms)-1]
	for _, m := range b.daemons {
		if m.vm == last.vm && !last.released {
			return m
		}
	}
	return victim
}

// timings collects measured durations by name.
type timings struct {
	mu    sync.Mutex
	times map[string][]time.Duration
}

func (m *timings) add(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.times == nil {
		m.times = map[string][]time.Duration{}
	}
	m.times[name] = append(m.times[name], d)
}

// table returns a Markdown table with the count, median and maximum of each name.
func (m *timings) table() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.times {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		times := slices.Sorted(slices.Values(m.times[name]))
		fmt.Fprintf(&out, "| %s | %d | %.2f | %.2f |\n", name, len(times),
			times[len(times)/2].Seconds(), times[len(times)-1].Seconds())
	}
	return out.String()
}

// testRun is the state of a test run over all rounds.
type testRun struct {
	t         *testing.T
	b         *testbed
	traffic   *traffic
	checker   *checker
	timings   *timings
	withdrawn []withdrawal
	// ignoreLeaving holds the IDs of servers whose notice some daemon could not read.
	ignoreLeaving map[string]bool
}

// round runs one round with the given faults, all at once.
func (x *testRun) round(number int, kinds ...faultKind) {
	r := &round{number: number, checker: x.checker, victim: x.b.chooseVictim()}
	hold, nonDisruptive, logUnavailable := time.Duration(0), true, false
	var names []string
	for _, k := range kinds {
		hold, nonDisruptive, logUnavailable = max(hold, k.hold), nonDisruptive && k.nonDisruptive, logUnavailable || k.logUnavailable
		r.staleServerList = r.staleServerList || k.staleServerList
		names = append(names, k.name)
	}
	r.name = strings.Join(names, "+")
	x.traffic.round.Store(int64(number))
	customer := fmt.Sprintf("doomed-%d", number)
	x.edit(r, "at rest", customer, "key-"+customer)
	stopKeyClients := x.startKeyClients(customer)
	if !nonDisruptive {
		x.traffic.faultTransitions.Add(1)
	}
	begin := time.Now()
	r.faultStart = begin
	for i, k := range kinds {
		if i > 0 {
			r.victim = x.b.chooseVictim()
		}
		k.apply(x.b, r)
	}
	time.Sleep(faultLead)
	if !logUnavailable {
		x.withdraw(r, r.name, customer)
	}
	time.Sleep(time.Until(begin.Add(hold)))
	x.b.heal(r)
	if logUnavailable {
		x.withdraw(r, "after "+r.name, customer)
	}
	x.recover(r)
	if !nonDisruptive {
		x.traffic.faultTransitions.Add(1)
	}
	time.Sleep(faultLead)
	stopKeyClients()
	x.checkRound(r)
}

// edit sets a customer's only key and measures the time until the edit is in force.
// under names the condition of the measurement in the report. edit returns
// the time at which the wait ended and whether the edit was then in force.
func (x *testRun) edit(r *round, under, customer, key string) (time.Time, bool) {
	id := fmt.Sprintf("edit-%d-%s", time.Now().UnixNano(), customer)
	version, logged, err := x.b.publish(table.Edit{Set: table.Table{Customers: []table.Customer{customerRow(customer, key)}}}, "operator", id)
	if err != nil {
		x.checker.fail("P12", "round %d (%s): %v", r.number, r.name, err)
		return time.Time{}, false
	}
	took, ok := x.b.awaitInForce(version, logged, inForceLimit)
	if !ok {
		x.checker.fail("P12", "round %d (%s): version %d is not in force on all daemons after %s", r.number, r.name, version, took)
	}
	x.timings.add("edit in force, "+under, took)
	return time.Now(), ok
}

// withdraw withdraws a customer's key by replacing it with one that no client uses.
func (x *testRun) withdraw(r *round, under, customer string) {
	if at, ok := x.edit(r, under, customer, "nobody-"+customer); ok {
		x.withdrawn = append(x.withdrawn, withdrawal{customer: customer, inForce: at})
	}
}

// startKeyClients starts clients that use a customer's key on all daemons, ready or
// not, until stop is called.
func (x *testRun) startKeyClients(customer string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range withdrawnKeyClients {
		done.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				m := x.b.daemons[n%len(x.b.daemons)]
				c := &call{kind: kindStatus, customer: customer, key: "key-" + customer, marker: x.traffic.marker(), vm: m.vm, url: m.url()}
				if n%4 == 0 {
					c.kind, c.tokens, c.batch = kindStream, 300, true
				}
				c.cancelAfter = 3 * time.Second
				x.traffic.perform(c)
				time.Sleep(thinkTime)
			}
		})
	}
	return func() {
		cancel()
		done.Wait()
	}
}

// recover waits until each daemon serves a model request and a stamp with an
// idempotency key, and measures the time.
func (x *testRun) recover(r *round) {
	begin := time.Now()
	for _, m := range x.b.daemons {
		for _, k := range []kind{kindStream, kindKeyed} {
			x.await(r, m, k, begin)
		}
	}
	x.timings.add("recovery of all daemons, "+r.name, time.Since(begin))
}

// await repeats a call to a daemon until it succeeds or recoverLimit has passed.
func (x *testRun) await(r *round, m *member, k kind, begin time.Time) {
	for {
		c := &call{kind: k, customer: "depot", key: "key-depot-1", tokens: 5, marker: x.traffic.marker(), vm: m.vm, url: m.url()}
		if k == kindKeyed {
			c.idemKey = "recovery-" + c.marker[:len(c.marker)-1]
		}
		x.traffic.perform(c)
		if c.outcome == outcomeComplete {
			return
		}
		if time.Since(begin) > recoverLimit {
			x.checker.fail("recovery", "%s after round %d (%s): %s %d %s %s", m.vm, r.number, r.name, c.outcome, c.status, c.code, c.detail)
			return
		}
		time.Sleep(thinkTime)
	}
}

// checkRound restarts crashed daemons, checks everything recorded so far and reports
// the new violations.
func (x *testRun) checkRound(r *round) {
	for _, m := range x.b.daemons {
		if p := m.process(); !p.running() && !p.endExpected.Load() {
			x.checker.fail("crash", "%s ended unexpectedly, see %s", m.vm, p.output)
			x.b.startDaemon(m)
		}
	}
	e := x.b.observe(x.traffic)
	e.withdrawn, e.ignoreLeaving = x.withdrawn, x.ignoreLeaving
	if r.staleServerList {
		for _, s := range e.engines {
			x.ignoreLeaving[s.server.ID] = x.ignoreLeaving[s.server.ID] || s.leaving >= r.faultStart.Add(-drainLimit).UnixMilli()
		}
	}
	x.checker.check(e)
	x.takeovers(r, e.leaseTerms)
	for _, failure := range x.checker.takeNew() {
		x.t.Errorf("round %d (%s, victim %s): %s", r.number, r.name, r.victim.vm, failure)
	}
}

// takeovers measures the time from the fault until each lease of the victim has a
// new term.
func (x *testRun) takeovers(r *round, terms []leaseTerm) {
	for _, domain := range r.heldLeases {
		for _, t := range terms {
			if t.domain == domain && t.atMs >= r.heldAt.UnixMilli() {
				x.timings.add("lease taken over, "+r.name, time.UnixMilli(t.atMs).Sub(r.heldAt))
				break
			}
		}
	}
}
