package compare

import (
	"context"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mimosakeel/mimosakeel/load"
)

// Options configures a comparison.
type Options struct {
	Scenarios []Scenario
	Policies  []Policy
	Profile   load.Profile
	// Seeds are the seeds of the arrivals; each is one repetition.
	Seeds []uint64
	// CheapCost is the cost of a cheap server relative to an on-demand one.
	CheapCost float64
	// Workers is the number of concurrent runs; 0 means one per processor.
	Workers int
}

// searchSeed is the seed of the runs that search for the best layout. It differs
// from the seeds of the comparison, so that no layout is fitted to the arrivals of
// a compared run.
const searchSeed = 1000

// searchDuration is the duration of the scenario in these runs.
const searchDuration = 20 * time.Second

// Run simulates every scenario with every policy and seed and returns the results
// in this order.
func Run(ctx context.Context, o Options) ([]Result, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.workers())
	results := make([]Result, len(o.Scenarios)*len(o.Policies)*len(o.Seeds))
	at := 0
	for _, s := range o.Scenarios {
		for _, p := range o.Policies {
			layouts, err := o.layouts(ctx, s, p)
			if err != nil {
				return nil, err
			}
			for _, seed := range o.Seeds {
				out := &results[at]
				at++
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					var err error
					*out, err = o.runOne(s, p, seed, layouts)
					return err
				})
			}
		}
	}
	return results, group.Wait()
}

func (o Options) workers() int {
	if o.Workers > 0 {
		return o.Workers
	}
	return runtime.GOMAXPROCS(0)
}

// runOne simulates one run. layouts holds the number of prefill engines per phase.
func (o Options) runOne(s Scenario, p Policy, seed uint64, layouts []int) (Result, error) {
	arrivals, err := s.arrivals(seed)
	if err != nil {
		return Result{}, eris.Wrapf(err, "scenario %s", s.Name)
	}
	c := newCluster(s, p, o.Profile, seed, layouts[0])
	for i := 1; i < len(layouts); i++ {
		if layouts[i] != layouts[i-1] {
			c.at(c.start.Add(s.Phases[i].From), func() { c.applyLayout(layouts[i]) })
		}
	}
	c.run(arrivals)
	result := c.score(o.CheapCost)
	result.Seed = seed
	result.Layouts = layouts
	return result, nil
}

// layouts returns the number of prefill engines per phase. For static roles it is
// one value, the best for the first phase; for the oracle it is the best of each
// phase if there are several; otherwise it is 0, which means mixed engines.
func (o Options) layouts(ctx context.Context, s Scenario, p Policy) ([]int, error) {
	switch {
	case p.StaticRoles:
		best, err := o.bestLayout(ctx, s, p, s.Phases[0], 1)
		return []int{best}, err
	case p.Oracle && len(s.Phases) > 1:
		out := make([]int, len(s.Phases))
		found := map[load.Phase]int{}
		for i, ph := range s.Phases {
			ph.From = 0
			if _, ok := found[ph]; !ok {
				best, err := o.bestLayout(ctx, s, p, ph, 0)
				if err != nil {
					return nil, err
				}
				found[ph] = best
			}
			out[i] = found[ph]
		}
		return out, nil
	}
	return []int{0}, nil
}

// bestLayout returns the number of prefill engines, at least lowest, with the
// highest goodput in a run that consists of one phase without faults.
func (o Options) bestLayout(ctx context.Context, s Scenario, p Policy, ph load.Phase, lowest int) (int, error) {
	s.Phases, s.Faults, s.Duration, s.Flood = []load.Phase{ph}, nil, searchDuration, 0
	goodput := make([]float64, engineCount(s.Domains))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(o.workers())
	for prefill := lowest; prefill < len(goodput); prefill += searchStep(len(goodput)) {
		group.Go(func() error {
			result, err := o.runOne(s, p, searchSeed, []int{prefill})
			goodput[prefill] = result.Goodput
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	best := lowest
	for prefill, g := range goodput {
		if g > minSearchGain*goodput[best] {
			best = prefill
		}
	}
	return best, nil
}

// minSearchGain is the factor by which the goodput of a layout must exceed the
// best one before it. It keeps the oracle from changing roles for a difference
// within the noise of one run.
const minSearchGain = 1.005

// searchStep returns the difference in prefill engines between tried layouts.
func searchStep(engines int) int { return max(engines/5, 1) }
