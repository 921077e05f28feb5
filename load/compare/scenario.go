package compare

import (
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/load"
	"github.com/mimosakeel/mimosakeel/standin/engine"
)

// Domain holds the numbers of engines in a failure domain at the start.
type Domain struct {
	OnDemand int
	Cheap    int
}

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultEvict evicts all cheap engines of the domain, with evictNotice.
	FaultEvict FaultKind = "evict"
	// FaultCrash stops the first engine of the domain without notice.
	FaultCrash FaultKind = "crash"
	// FaultMove stops all schedulers; their successors start with empty pools.
	FaultMove FaultKind = "move"
	// FaultRole changes the role of the first engine of the domain to decode and
	// then to mixed.
	FaultRole FaultKind = "role"
)

// Fault is a fault to inject at a time after the start.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Domain int
}

// Scenario describes a fleet, its load and the faults. A scenario and a seed give
// the same arrivals for every policy.
type Scenario struct {
	Name string
	// Domains are the failure domains.
	Domains  []Domain
	Phases   []load.Phase
	Duration time.Duration
	// BatchShare is the fraction of the requests with batch priority.
	BatchShare float64
	// Flood multiplies the load of the customer floodCustomer; 0 means 1.
	Flood  float64
	Faults []Fault
}

const (
	modelName = "model"
	// utilization is the load relative to the computed capacity of the engines
	// in the role mixed with all shared prefixes cached.
	utilization = 0.85
	// overloadUtilization is the utilization in scenarios in which some requests
	// must be refused.
	overloadUtilization = 1.2
	// firstTokenLimit and betweenLimit are the latency limits of a good request;
	// section 1.7 of the design sets them.
	firstTokenLimit = 1200 * time.Millisecond
	betweenLimit    = 35 * time.Millisecond
	// warmup is the time from the start within which arrivals are not counted.
	warmup = 10 * time.Second
	// floodCustomer is the index of the customer that floods.
	floodCustomer = 2

	prefixes     = 20
	prefixTokens = 512
	prefixShare  = 0.6
	lengthSigma  = 0.8
	maxPrompt    = 16_000
	maxOutput    = 2_000
)

// weights are the weights of the customers, a few of them large. The load of each
// customer is proportional to its weight.
var weights = []float64{6, 4, 3, 1, 1, 1, 1, 1}

// mix holds the median lengths of prompts and answers in tokens.
type mix struct{ prompt, output float64 }

var (
	promptHeavy = mix{1500, 30}
	balanced    = mix{500, 100}
	outputHeavy = mix{200, 300}
)

// currentFleet is the fleet of section 1.1 of the design: ten engines in four
// failure domains, half of them cheap.
var currentFleet = []Domain{{1, 2}, {2, 1}, {1, 1}, {1, 1}}

func engineCount(domains []Domain) int {
	n := 0
	for _, d := range domains {
		n += d.OnDemand + d.Cheap
	}
	return n
}

// phase returns a phase whose rate is the given share of the capacity of the
// engines.
func phase(from time.Duration, m mix, engines int, share float64) load.Phase {
	return load.Phase{
		From:       from,
		Prompt:     load.Lengths{Median: m.prompt, Sigma: lengthSigma, Max: maxPrompt},
		Output:     load.Lengths{Median: m.output, Sigma: lengthSigma, Max: maxOutput},
		RateFactor: share * float64(engines) / serviceTime(m),
	}
}

// serviceTime returns the computed mean time of an engine per request, in seconds.
// It assumes full steps, in which prefill and decode share the fixed time.
func serviceTime(m mix) float64 {
	cfg := engine.Default("", modelName)
	meanFactor := math.Exp(lengthSigma * lengthSigma / 2)
	prompt, output := m.prompt*meanFactor, m.output*meanFactor
	context := prompt + prefixShare*prefixTokens + output/2
	steps := max(output/float64(cfg.MaxBatch), prompt/float64(cfg.StepTokens-cfg.MaxBatch))
	perOutput := cfg.PerSequence.Seconds() + context*cfg.PerContextToken.Seconds()
	return steps*cfg.StepBase.Seconds() + prompt*cfg.PerPrefillToken.Seconds() + output*perOutput
}

// shiftTime is the time in which the mix changes from one extreme to the other.
const shiftTime = 45 * time.Second

// ramp returns phases that change the mix from a to b in geometric steps.
func ramp(from, length time.Duration, a, b mix, engines int, share float64) []load.Phase {
	const steps = 6
	var phases []load.Phase
	for i := 1; i <= steps; i++ {
		part := float64(i) / steps
		between := func(x, y float64) float64 { return math.Exp((1-part)*math.Log(x) + part*math.Log(y)) }
		at := from + length*time.Duration(i-1)/steps
		phases = append(phases, phase(at, mix{between(a.prompt, b.prompt), between(a.output, b.output)}, engines, share))
	}
	return phases
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	n := engineCount(currentFleet)
	flat := func(m mix) []load.Phase { return []load.Phase{phase(0, m, n, utilization)} }
	shift := flat(promptHeavy)
	shift = append(shift, ramp(40*time.Second, shiftTime, promptHeavy, outputHeavy, n, utilization)...)
	shift = append(shift, ramp(115*time.Second, shiftTime, outputHeavy, promptHeavy, n, utilization)...)
	shiftOverload := []load.Phase{phase(0, promptHeavy, n, overloadUtilization)}
	shiftOverload = append(shiftOverload, ramp(40*time.Second, shiftTime, promptHeavy, outputHeavy, n, overloadUtilization)...)
	shiftOverload = append(shiftOverload, ramp(115*time.Second, shiftTime, outputHeavy, promptHeavy, n, overloadUtilization)...)
	large := []Domain{{4, 4}, {4, 4}, {4, 4}, {4, 4}}
	onDemandOnly := []Domain{{1, 0}, {2, 0}, {1, 0}, {1, 0}}
	minute := time.Minute
	return []Scenario{
		{Name: "steady", Domains: currentFleet, Phases: flat(balanced), Duration: minute},
		{Name: "mix_shift", Domains: currentFleet, Phases: shift, Duration: 200 * time.Second},
		{Name: "overload", Domains: currentFleet, Phases: []load.Phase{phase(0, balanced, n, overloadUtilization)}, Duration: minute},
		{Name: "mix_shift_overload", Domains: currentFleet, Phases: shiftOverload, Duration: 200 * time.Second},
		{Name: "no_flood", Domains: currentFleet, Phases: flat(balanced), Duration: minute},
		{Name: "flood", Domains: currentFleet, Phases: flat(balanced), Duration: minute, Flood: 10},
		{Name: "eviction", Domains: currentFleet, Phases: flat(balanced), Duration: 90 * time.Second,
			Faults: []Fault{{At: 30 * time.Second, Kind: FaultEvict, Domain: 0}}},
		{Name: "no_cheap", Domains: onDemandOnly, Phases: flat(balanced), Duration: minute},
		{Name: "crash", Domains: currentFleet, Phases: flat(balanced), Duration: 90 * time.Second,
			Faults: []Fault{{At: 30 * time.Second, Kind: FaultCrash, Domain: 1}}},
		{Name: "scheduler_move", Domains: currentFleet, Phases: flat(balanced), Duration: minute,
			Faults: []Fault{{At: 30 * time.Second, Kind: FaultMove}}},
		{Name: "role_change", Domains: currentFleet, Phases: flat(balanced), Duration: minute,
			Faults: []Fault{{At: 30 * time.Second, Kind: FaultRole, Domain: 1}}},
		{Name: "batch", Domains: currentFleet, Phases: []load.Phase{phase(0, balanced, n, overloadUtilization)}, Duration: minute, BatchShare: 0.4},
		{Name: "large", Domains: large, Phases: []load.Phase{phase(0, balanced, engineCount(large), utilization)}, Duration: minute},
	}
}

// workload returns the load of a scenario without its flood.
func (s Scenario) workload(seed uint64) load.Workload {
	w := load.Workload{
		Seed: seed, Rate: 1, Duration: s.Duration, Model: modelName, Phases: s.Phases,
		Prefixes: prefixes, PrefixTokens: prefixTokens, PrefixShare: prefixShare,
		BatchShare: s.BatchShare, Patience: firstTokenLimit,
	}
	for i, weight := range weights {
		w.Customers = append(w.Customers, load.Customer{Name: customerName(i), Share: weight})
	}
	return w
}

// arrivals returns the requests in time order. The flood is added to an unchanged
// base load, so that the other customers send the same requests with and without
// it.
func (s Scenario) arrivals(seed uint64) ([]load.Arrival, error) {
	base, err := s.workload(seed).Arrivals()
	if err != nil || s.Flood <= 1 {
		return base, err
	}
	w := s.workload(seed + floodSeed)
	w.Rate = (s.Flood - 1) * weights[floodCustomer] / sum(weights)
	flood, err := w.Arrivals()
	for i := range flood {
		flood[i].Customer = floodCustomer
	}
	return merge(base, flood), err
}

// floodSeed is added to the seed for the flood, so that its arrivals are
// independent of the base load.
const floodSeed = 1 << 32
