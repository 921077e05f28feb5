package compare

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/load"
	"github.com/mimosakeel/mimosakeel/pool"
)

const (
	// entryCount is the number of entry daemons.
	entryCount = 7
	// maxResumes bounds the resumptions of one request.
	maxResumes = 3
	// batchDeadline is the gateway's deadline for batch requests.
	batchDeadline = 10 * time.Minute
	// drainTime is the time from the end of the arrivals to the end of the run.
	drainTime = 15 * time.Second
	// evictNotice is the time from the notice of an eviction to the stop of the
	// engine, roleDrain the time that streams get to end before a role change.
	evictNotice = 3 * time.Second
	roleDrain   = 3 * time.Second
	// replaceTime is the time from the crash or the eviction notice of an engine
	// to the start of its replacement.
	replaceTime = 30 * time.Second
)

// cluster simulates entry daemons, schedulers and engines in virtual time for one
// run.
type cluster struct {
	eventQueue
	start      time.Time
	scenario   Scenario
	policy     Policy
	profile    load.Profile
	random     *rand.Rand
	engines    []*simEngine
	byID       map[string]*simEngine
	schedulers []*scheduler
	// calls holds the open requests by call.id, allCalls all requests.
	calls       map[string]*call
	allCalls    []*call
	lastKey     int
	roleChanges int
	samples     []sample
	replaced    int
}

// sortedKeys returns the keys, shorter ones first, so that decimal numbers are in
// numeric order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
}

// newCluster starts the engines and schedulers of a scenario. roles is the number
// of prefill engines of a static layout; 0 means that all engines are mixed.
func newCluster(s Scenario, p Policy, profile load.Profile, seed uint64, roles int) *cluster {
	if p.Oracle {
		profile.BetweenDomains = 0
	}
	start := time.Unix(1_700_000_000, 0)
	c := &cluster{
		eventQueue: eventQueue{now: start}, start: start, scenario: s, policy: p, profile: profile,
		random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simEngine{}, calls: map[string]*call{},
	}
	for domain, size := range s.Domains {
		for i := range size.OnDemand {
			c.addEngine(domain, fmt.Sprintf("d%d-ondemand-%d", domain, i), hosting.ClassOnDemand)
		}
		for i := range size.Cheap {
			c.addEngine(domain, fmt.Sprintf("d%d-cheap-%d", domain, i), hosting.ClassCheap)
		}
		if !p.OnePool {
			c.addScheduler(domain, p.Config)
		}
	}
	if p.OnePool {
		c.addScheduler(-1, p.Config)
	}
	for i, e := range c.engines {
		e.start(staticRole(i, roles))
	}
	c.listRunnersNow()
	c.recordSample()
	c.every(pointWidth, c.recordSample)
	c.every(pollInterval, c.poll)
	c.every(progressInterval, c.reportProgress)
	return c
}

// applyLayout changes the roles of the engines to a layout with the given number
// of prefill engines.
func (c *cluster) applyLayout(prefill int) {
	for i, e := range c.engines {
		role := staticRole(i, prefill)
		if role == e.info.Role {
			continue
		}
		e.setRole(role, c.listRunnersNow)
	}
}

// listRunnersNow sends all schedulers their runners without delay.
func (c *cluster) listRunnersNow() {
	for _, s := range c.schedulers {
		s.listRunners()
	}
}

// sample holds the running engines at the start of a Point: the number in the
// roles prefill and decode, and the numbers of on-demand and cheap ones.
type sample struct{ split, onDemand, cheap float64 }

func (c *cluster) recordSample() {
	var s sample
	for _, e := range c.engines {
		switch {
		case e.gone:
			continue
		case e.info.Class == hosting.ClassCheap:
			s.cheap++
		default:
			s.onDemand++
		}
		if e.info.Role != backend.RoleMixed {
			s.split++
		}
	}
	c.samples = append(c.samples, s)
}

func (c *cluster) poll() {
	for _, e := range c.engines {
		e.poll(c.schedulerOf(e))
	}
}

func (c *cluster) schedulerOf(e *simEngine) *scheduler {
	if c.policy.OnePool {
		return c.schedulers[0]
	}
	return c.schedulers[e.domain]
}

// routes returns the schedulers in the order in which an entry daemon tries them.
func (c *cluster) routes() []*scheduler {
	sizes := make([]int, len(c.schedulers))
	for i, s := range c.schedulers {
		sizes[i] = s.usable
	}
	out := make([]*scheduler, len(sizes))
	for i, at := range pool.WeightedOrder(sizes, c.random.ExpFloat64) {
		out[i] = c.schedulers[at]
	}
	return out
}

// run simulates the arrivals and faults until drainTime after the scenario.
func (c *cluster) run(arrivals []load.Arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		c.at(c.start.Add(a.At+c.profile.ToClients), func() { c.startCall(a) })
	}
	for _, f := range c.scenario.Faults {
		c.at(c.start.Add(f.At), func() { c.injectFault(f) })
	}
	c.runUntil(c.start.Add(c.scenario.Duration + drainTime))
}

func (c *cluster) injectFault(f Fault) {
	switch f.Kind {
	case FaultMove:
		for _, s := range c.schedulers {
			s.restart()
		}
	case FaultEvict:
		for _, e := range c.engines {
			if e.domain == f.Domain && e.info.Class == hosting.ClassCheap {
				c.evict(e)
			}
		}
		c.listRunnersLater()
	case FaultCrash:
		e := c.firstEngine(f.Domain)
		e.stop()
		c.replace(e)
		c.listRunnersLater()
	case FaultRole:
		c.changeRole(c.firstEngine(f.Domain), backend.RoleDecode, func(e *simEngine) {
			c.changeRole(e, backend.RoleMixed, func(*simEngine) {})
		})
	}
}

func (c *cluster) firstEngine(domain int) *simEngine {
	for _, e := range c.engines {
		if e.domain == domain && !e.gone {
			return e
		}
	}
	return nil
}

func (c *cluster) evict(e *simEngine) {
	e.info.State = hosting.ServerLeaving
	e.info.LeaveAt = c.now.Add(evictNotice)
	c.after(evictNotice, func() {
		e.stop()
		c.listRunnersLater()
	})
	c.replace(e)
}

// replace adds an engine of the same class and role after replaceTime.
func (c *cluster) replace(e *simEngine) {
	c.after(replaceTime, func() {
		c.replaced++
		replacement := c.addEngine(e.domain, fmt.Sprintf("%s-replacement-%d", e.info.ID, c.replaced), e.info.Class)
		replacement.start(e.info.Role)
		c.listRunnersLater()
	})
}

// changeRole drains an engine, changes its role and returns it to the runner
// lists.
func (c *cluster) changeRole(e *simEngine, role backend.Role, done func(*simEngine)) {
	e.info.Changing = true
	c.roleChanges++
	c.listRunnersNow()
	c.after(roleDrain, func() {
		for _, id := range sortedKeys(c.calls) {
			if r := c.calls[id]; r.state == running && r.runner == e.info.ID {
				r.vacate()
			}
		}
		e.setRole(role, func() {
			e.info.Changing = false
			c.listRunnersNow()
			done(e)
		})
	})
}
