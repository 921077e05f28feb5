package provision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	simDay = 60 * time.Second
	// simKnown is the time by which the plan by demand has seen a full period and has
	// replaced on-demand servers.
	simKnown = 20 * time.Second
	simStep  = 50 * time.Millisecond
	simBoot  = 4 * time.Second
	simList  = time.Second
	simLeave = time.Second
	simPools = 2
	// simRate is the prompt tokens that an engine of speed 1 prefills per second.
	simRate = 56_000
)

var simObjective = 600 * time.Millisecond

// simEngine is an engine of the simulated platform.
type simEngine struct {
	Engine
	speed                   float64
	listed, ordered, leaves time.Time
	// busy is the time until which the engine has work.
	busy time.Time
}

// simulation replays a day on a plan with fake time. Engines of a pool prefill one
// prompt after the other; two of five only decode.
type simulation struct {
	random   *rand.Rand
	engines  []*simEngine
	next     int
	plan     *Servers
	need     *Need
	requests func(at time.Duration) (rate, tokens float64)
	// noCheap reports whether cheap servers are unavailable in a failure domain.
	noCheap func(at time.Duration, domain string) bool
	// reclaimAt is the time at which the cheap servers of domain a are reclaimed, 0 for
	// never. lostAnswers is the share of orders whose answer is lost.
	reclaimAt   time.Duration
	lostAnswers float64
	// rateError is the factor by which reports overestimate the engines' speed.
	rateError float64

	prompts, squares, count, late, total float64
	// seconds are the server seconds by price of the day, later those after simKnown.
	seconds, later float64
	arrived        [simPools]struct{ requests, tokens float64 }
}

var simPrices = map[string]float64{"a": 0.8, "b": 1, "c": 1.25}

func newSimulation(byDemand bool) *simulation {
	s := &simulation{
		rateError: 1,
		random:    rand.New(rand.NewPCG(1, 2)),
		requests:  swing,
		noCheap:   func(time.Duration, string) bool { return false },
	}
	cfg := ServerConfig{
		OnDemand: 13, Cheap: 108, Floor: 78, Min: 1, Max: 60, Prices: simPrices,
		Boot: simBoot + 2*time.Second, CheapBackoff: 5 * time.Second, HoldDown: 12 * time.Second,
	}
	if byDemand {
		cfg.HoldDown = 0
		s.need = NewNeed()
		s.need.Configure(simNeedConfig())
	}
	s.plan = NewServers(cfg)
	for i := range 60 {
		s.add(start.Add(-time.Minute), Group{string("abc"[i%3]), hosting.ClassOnDemand})
	}
	return s
}

func simNeedConfig() NeedConfig {
	lead := simBoot + 2*time.Second
	roles := DefaultRoleConfig(changeDuration)
	roles.DecodeShare = 0.4
	return NeedConfig{
		Max: 180, Domains: 3, OnDemandPrice: 1.017, CheapPrice: 0.224, LostCost: 2, Objective: simObjective, Roles: roles,
		DecodePrefillFactor: 2, Lead: lead, Period: 13 * time.Second, Hold: 12 * time.Second,
		ReportAge: 2500 * time.Millisecond, Outage: 5*time.Second + lead,
	}
}

func (s *simulation) add(ordered time.Time, g Group) {
	e := &simEngine{speed: []float64{0.6, 1, 1.6}[s.next%3], ordered: ordered, listed: ordered.Add(simBoot + simList)}
	e.ID, e.FailureDomain, e.Cheap = fmt.Sprintf("%05d", s.next*7919%100_000), g.FailureDomain, g.Class == hosting.ClassCheap
	e.Role = backend.RolePrefill
	if s.next%5 < 2 {
		e.Role = backend.RoleDecode
	}
	s.next++
	s.engines = append(s.engines, e)
}

// listedEngines returns the listed engines as the lease holder sees them.
func (s *simulation) listedEngines(now time.Time) []Engine {
	var out []Engine
	for _, e := range s.engines {
		if !now.Before(e.listed) {
			out = append(out, e.Engine)
		}
	}
	return out
}

// order carries out an order and returns its outcome.
func (s *simulation) order(now time.Time, o ServerOrder) hosting.Outcome {
	group := Group{o.FailureDomain, o.Class}
	var have []*simEngine
	for _, e := range s.engines {
		if !e.Leaving && e.FailureDomain == o.FailureDomain && e.Cheap == (o.Class == hosting.ClassCheap) {
			have = append(have, e)
		}
	}
	if o.Count > len(have) && group.Class == hosting.ClassCheap && s.noCheap(now.Sub(start), o.FailureDomain) {
		return hosting.OutcomeRefused
	}
	for range o.Count - len(have) {
		s.add(now, group)
	}
	for i := range len(have) - o.Count {
		have[i].Leaving, have[i].leaves = true, now.Add(simLeave)
	}
	if s.random.Float64() < s.lostAnswers {
		return hosting.OutcomeUnknown
	}
	return hosting.OutcomeDone
}

// run replays the day.
func (s *simulation) run() {
	reported, planned := start, start
	for now := start; now.Before(start.Add(simDay)); now = now.Add(simStep) {
		at := now.Sub(start)
		s.engines = slices.DeleteFunc(s.engines, func(e *simEngine) bool { return e.Leaving && !now.Before(e.leaves) })
		for _, e := range s.engines {
			if s.reclaimAt > 0 && at == s.reclaimAt && e.Cheap && e.FailureDomain == "a" {
				e.Leaving, e.Evicted, e.leaves = true, true, now.Add(2*time.Second)
			}
			price := simPrices[e.FailureDomain]
			if e.Cheap {
				price *= 0.22
			}
			s.seconds += price * simStep.Seconds()
			if at >= simKnown {
				s.later += price * simStep.Seconds()
			}
		}
		s.arrivals(now)
		if s.need != nil && now.Sub(reported) >= 500*time.Millisecond {
			s.report(now, now.Sub(reported).Seconds())
			reported = now
		}
		if now.Sub(planned) >= 500*time.Millisecond {
			planned = now
			s.step(now)
		}
	}
}

func (s *simulation) step(now time.Time) {
	listed := s.listedEngines(now)
	var orders []ServerOrder
	if s.need == nil {
		orders = s.plan.Step(now, listed)
	} else if d := s.need.Step(now, simPoolNames(), listed, true); d.Act {
		orders = s.plan.StepTo(now, listed, d.Wanted)
	}
	for _, o := range orders {
		switch s.order(now, o) {
		case hosting.OutcomeRefused:
			s.plan.OrderRefused(now, o)
		case hosting.OutcomeUnknown:
			s.plan.OrderOutcomeUnknown(o)
		}
	}
}

func simPoolNames() (out []string) {
	for i := range simPools {
		out = append(out, fmt.Sprint("pool", i))
	}
	return out
}

// prefillers returns the engines of a pool that prefill.
func (s *simulation) prefillers(now time.Time, pool int) (out []*simEngine) {
	for i, e := range s.engines {
		if !now.Before(e.listed) && !e.Leaving && e.Role == backend.RolePrefill && i/5%simPools == pool {
			out = append(out, e)
		}
	}
	return out
}

// arrivals places the requests of one step on the engine with the shortest wait.
func (s *simulation) arrivals(now time.Time) {
	rate, mean := s.requests(now.Sub(start))
	const sigma = 1.0
	for expected := rate * simStep.Seconds(); expected > 0; expected-- {
		if expected < 1 && s.random.Float64() >= expected {
			break
		}
		tokens := mean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
		s.total++
		s.count, s.prompts, s.squares = s.count+1, s.prompts+tokens, s.squares+tokens*tokens
		pool := s.random.IntN(simPools)
		s.arrived[pool].requests++
		s.arrived[pool].tokens += tokens
		var best *simEngine
		for _, e := range s.prefillers(now, pool) {
			if best == nil || e.busy.Before(best.busy) {
				best = e
			}
		}
		if best == nil || best.busy.Sub(now) > 5*time.Second {
			s.late++
			continue
		}
		begin := best.busy
		if begin.Before(now) {
			begin = now
		}
		if begin.Sub(now) > simObjective/2 {
			s.late++
		}
		best.busy = begin.Add(time.Duration(tokens / simRate / best.speed * float64(time.Second)))
	}
}

// report passes the loads since the last report to the plan.
func (s *simulation) report(now time.Time, seconds float64) {
	for i, name := range simPoolNames() {
		engines := s.prefillers(now, i)
		wait := 0.0
		for _, e := range engines {
			wait += max(e.busy.Sub(now).Seconds(), 0)
		}
		s.need.Report(now, name, Report{
			Requests: s.arrived[i].requests / seconds, Prefill: s.arrived[i].tokens / seconds, Decode: 1500,
			PrefillRate: simRate * s.rateError, DecodeRate: 2000, Spread: s.squares*s.count/(s.prompts*s.prompts) - 1,
			Wait: wait / float64(max(len(engines), 1)),
		})
		s.arrived[i].requests, s.arrived[i].tokens = 0, 0
	}
}

// swing is a load that swings by half around 175 requests per second within 13 s.
func swing(at time.Duration) (rate, tokens float64) {
	return 175 * (1 + 0.33*math.Sin(2*math.Pi*at.Seconds()/13)), 5000
}

// Guards against a plan that saves servers at the cost of late answers, or that
// saves none.
func TestPlanByDemandCostsLessThanTheRatio(t *testing.T) {
	from, to := 30*time.Second, 33*time.Second
	cases := map[string]func(*simulation){
		"steady": func(s *simulation) { s.requests = func(time.Duration) (float64, float64) { return 175, 5000 } },
		"swing":  func(*simulation) {},
		"mix shift": func(s *simulation) {
			s.requests = func(at time.Duration) (float64, float64) {
				rate, tokens := swing(at)
				return rate, tokens * (1 + 0.6*min(max((at-from).Seconds()/3, 0), 1))
			}
		},
		"burst": func(s *simulation) {
			s.requests = func(at time.Duration) (float64, float64) {
				rate, tokens := swing(at)
				if at > from && at < to {
					rate *= 1.7
				}
				return rate, tokens
			}
		},
		"reclaim": func(s *simulation) {
			s.reclaimAt = from
			s.noCheap = func(at time.Duration, d string) bool { return d == "a" && at >= from && at < from+8*time.Second }
		},
		"no cheap servers": func(s *simulation) {
			s.noCheap = func(at time.Duration, _ string) bool { return at < 40*time.Second }
		},
		"overestimated engines": func(s *simulation) { s.rateError = 1.4 },
		"lost answers":          func(s *simulation) { s.lostAnswers = 0.3 },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ratio, demand := newSimulation(false), newSimulation(true)
			prepare(ratio)
			prepare(demand)
			ratio.run()
			demand.run()
			t.Logf("late: ratio %.4f demand %.4f; price: ratio %.0f demand %.0f, later ratio %.0f demand %.0f",
				ratio.late/ratio.total, demand.late/demand.total, ratio.seconds, demand.seconds, ratio.later, demand.later)
			g.Expect(demand.late / demand.total).To(BeNumerically("<=", ratio.late/ratio.total+0.01))
			g.Expect(demand.late / demand.total).To(BeNumerically("<=", 0.01))
			g.Expect(demand.later).To(BeNumerically("<=", ratio.later*2/3))
			g.Expect(demand.seconds).To(BeNumerically("<", ratio.seconds))
		})
	}
}

// simulatedNeed returns a decision maker that has seen the given time of reports of a
// steady load, and the engines and time of its last step.
func simulatedNeed(seen time.Duration) (*Need, []Engine, time.Time) {
	need := NewNeed()
	need.Configure(simNeedConfig())
	var engines []Engine
	for _, e := range newSimulation(true).engines {
		engines = append(engines, e.Engine)
	}
	now := start
	for ; now.Before(start.Add(seen)); now = now.Add(500 * time.Millisecond) {
		reportAll(need, now)
		need.Step(now, simPoolNames(), engines, true)
	}
	return need, engines, now
}

func reportAll(need *Need, now time.Time) {
	for _, name := range simPoolNames() {
		need.Report(now, name, Report{Requests: 50, Prefill: 250_000, PrefillRate: simRate, Spread: 2})
	}
}

// Guards against a new lease holder that releases servers, or cancels those that its
// predecessor ordered, before it knows the demand.
func TestNewHolderReleasesNothing(t *testing.T) {
	g := NewWithT(t)
	need, engines, _ := simulatedNeed(0)
	for at := time.Duration(0); at < 12*time.Second; at += 500 * time.Millisecond {
		if at > 2*time.Second {
			reportAll(need, start.Add(at))
		}
		d := need.Step(start.Add(at), simPoolNames(), engines, true)
		g.Expect(d.Act).To(Equal(at >= 6*time.Second), at.String())
		g.Expect(d.OnDemand).To(BeNumerically(">=", 60), at.String())
	}
	need, engines, now := simulatedNeed(14 * time.Second)
	g.Expect(need.Step(now, simPoolNames(), engines, true).Holding).To(BeFalse())
}

// Guards against servers that are released while the load of some pool is not known.
func TestSilentSchedulerKeepsTheServers(t *testing.T) {
	g := NewWithT(t)
	need, engines, now := simulatedNeed(15 * time.Second)
	var kept *Counts
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		need.Report(now, "pool0", Report{PrefillRate: simRate})
		need.Report(now, "other", Report{PrefillRate: simRate})
		d := need.Step(now, simPoolNames(), engines, true)
		if now.Sub(need.pools["pool1"].at) <= simNeedConfig().ReportAge {
			continue
		}
		if kept == nil {
			kept = &d.Counts
		}
		g.Expect(d.Holding).To(BeTrue())
		g.Expect(d.OnDemand).To(BeNumerically(">=", kept.OnDemand))
		g.Expect(d.Cheap).To(BeNumerically(">=", kept.Cheap))
	}
	g.Expect(need.pools).NotTo(HaveKey("other"))
}

// Guards against figures from other processes that would order servers without end or
// make every comparison false.
func TestImpossibleReportsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, x := range []float64{-1, math.NaN(), math.Inf(1), 1e30} {
		g.Expect((&Report{Requests: x}).Problem()).To(Equal("requests"))
		g.Expect((&Report{PrefillRate: x}).Problem()).To(Equal("prefill_rate"))
		g.Expect((&Report{Groups: []GroupWork{{Work: x}}}).Problem()).To(Equal("work"))
	}
	g.Expect((&Report{}).Problem()).To(BeEmpty())
	need, _, now := simulatedNeed(time.Second)
	need.Report(now, "pool0", Report{Requests: 50, Prefill: 1e5})
	g.Expect(need.pools["pool0"].prefillRate).To(BeEquivalentTo(simRate))
	need.Report(now, "pool0", Report{Requests: 50, Prefill: 1e5, PrefillRate: 2})
	g.Expect(need.pools["pool0"].prefillRate).To(BeNumerically(">", simRate/1.2))
}

// Guards against decisions that the loss of the largest group of cheap servers, or of
// all, leaves with too little, and against counts beyond the bounds.
func TestDecisionsMeetTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := simNeedConfig()
		cfg.Max = rapid.IntRange(1, 3000).Draw(t, "max")
		cfg.Domains = rapid.IntRange(1, 6).Draw(t, "domains")
		need := NewNeed()
		need.Configure(cfg)
		size := rapid.Float64Range(0, 1e7)
		now := start
		var d Decision
		for range 18 {
			now = now.Add(time.Second)
			for _, name := range simPoolNames() {
				r := Report{
					Requests: size.Draw(t, "requests") / 1e4, Prefill: size.Draw(t, "prefill"), Decode: size.Draw(t, "decode") / 100,
					PrefillRate: size.Draw(t, "rate"), DecodeRate: size.Draw(t, "decode rate"), Spread: size.Draw(t, "spread"),
					Wait: size.Draw(t, "wait") / 1e4, Memory: size.Draw(t, "memory") / 1e5,
				}
				if problem := r.Problem(); problem != "" {
					t.Fatal(problem)
				}
				need.Report(now, name, r)
			}
			d = need.Step(now, simPoolNames(), nil, true)
			if d.OnDemand < 0 || d.Cheap < 0 || d.Floor < 0 || d.Counts.total() > 2*cfg.Max {
				t.Fatalf("%+v", d)
			}
		}
		best := d.Counts
		group := (best.Cheap + cfg.Domains - 1) / cfg.Domains
		if best.total() < cfg.Max && best.total()-group < d.AfterLoss {
			t.Fatalf("%+v leaves too little", d)
		}
	})
}

// Guards against the release of servers that have more work than others.
func TestGroupWithLeastWorkIsReducedFirst(t *testing.T) {
	g := NewWithT(t)
	cfg := serverConfig()
	cfg.HoldDown = 0
	p := NewServers(cfg)
	sim := &platform{count: map[Group]int{{"a", hosting.ClassCheap}: 2, {"b", hosting.ClassCheap}: 2, {"c", hosting.ClassCheap}: 2, {"d", hosting.ClassCheap}: 2}}
	want := Wanted{Counts: Counts{Cheap: 7}, Work: map[Group]float64{{"b", hosting.ClassCheap}: 1, {"a", hosting.ClassCheap}: 9, {"c", hosting.ClassCheap}: 8, {"d", hosting.ClassCheap}: 7}}
	sim.apply(p.StepTo(start, sim.engines(), want))
	g.Expect(sim.count).To(HaveKeyWithValue(Group{"b", hosting.ClassCheap}, 1))
}

// BenchmarkNeed measures a decision about 2,900 engines in 91 pools.
func BenchmarkNeed(b *testing.B) {
	need, cfg := NewNeed(), simNeedConfig()
	cfg.Max, cfg.Domains = 5000, 6
	need.Configure(cfg)
	var pools []string
	for i := range 91 {
		pools = append(pools, fmt.Sprint("pool", i))
	}
	all, now := engines(backend.RolePrefill, 2900), start
	for i := range 40 + b.N {
		if i == 40 {
			b.ResetTimer()
		}
		now = now.Add(500 * time.Millisecond)
		for _, name := range pools {
			need.Report(now, name, Report{Requests: 100, Prefill: 500_000, PrefillRate: simRate, Spread: 2})
		}
		need.Step(now, pools, all, true)
	}
}

// Guards against many servers that are released at once, whose cached prompts and
// streams all move to the others in the same second.
func TestReleasesAreGradual(t *testing.T) {
	g := NewWithT(t)
	need, engines, now := simulatedNeed(11 * time.Second)
	before := need.wanted
	for range 20 {
		reportAll(need, now)
		d := need.Step(now, simPoolNames(), engines, true)
		g.Expect(before.OnDemand - d.OnDemand).To(BeNumerically("<=", 3))
		g.Expect(before.Cheap - d.Cheap).To(BeNumerically("<=", 3))
		before, now = d.Counts, now.Add(500*time.Millisecond)
		engines = engines[:min(len(engines), d.Counts.total())]
	}
	g.Expect(before.OnDemand).To(BeNumerically("<", 50))
}

// Guards against releases that leave a pool without engines of a role, which can't
// serve anything, and against engines that keep all servers by refusing a role.
func TestReleasesWaitForRoles(t *testing.T) {
	g := NewWithT(t)
	roles := NewRoles(simNeedConfig().Roles)
	members := append(engines(backend.RolePrefill, 8), engines(backend.RoleDecode, 2)...)
	g.Expect(roles.Settled(start, members)).To(BeTrue())
	members[9].Leaving = true
	g.Expect(roles.Settled(start, members)).To(BeFalse())
	g.Expect(roles.Step(start, members)).NotTo(BeEmpty())
	g.Expect(roles.Settled(start, members)).To(BeFalse(), "the changes take some time")
	g.Expect(roles.Settled(start, engines(backend.RoleMixed, 3))).To(BeTrue())

	need, listed, now := simulatedNeed(13 * time.Second)
	before, since := need.wanted, now
	for ; now.Sub(since) < 5*time.Second; now = now.Add(500 * time.Millisecond) {
		reportAll(need, now)
		g.Expect(need.Step(now, simPoolNames(), listed, false).OnDemand).To(BeNumerically(">=", before.OnDemand))
	}
	now = now.Add(maxUnsettled)
	reportAll(need, now)
	g.Expect(need.Step(now, simPoolNames(), listed, false).OnDemand).To(BeNumerically("<", before.OnDemand))
}
