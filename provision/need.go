package provision

import (
	"math"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/fleet"
)

// NeedConfig holds the parameters of Need.
type NeedConfig struct {
	// Max bounds the number of servers of all failure domains and classes.
	Max int
	// Domains is the number of failure domains.
	Domains int
	// OnDemandPrice and CheapPrice are the prices of a server.
	OnDemandPrice, CheapPrice float64
	// LostCost is the cost of a refused request, in seconds of a server of price 1. A
	// late one costs half of it.
	LostCost float64
	// Objective is the shortest latency objective of the requests.
	Objective time.Duration
	// Roles decides how many engines of a pool decode. Decode engines do prefill
	// DecodePrefillFactor times slower than the others.
	Roles               RoleConfig
	DecodePrefillFactor float64
	// Lead is the time from an order until the new server is listed.
	Lead time.Duration
	// Period is the time over which loads are remembered. It covers a full swing of
	// the load, because a server that is released at its low is missing at its peak.
	Period time.Duration
	// Hold is the time after the first reports for which nothing is released.
	Hold time.Duration
	// ReportAge is the time after which a report is outdated.
	ReportAge time.Duration
	// Outage is the time for which the servers of a failure domain are missing
	// after a reclaim.
	Outage time.Duration
}

const (
	// smoothingTime and trendTime are the time constants of the loads. They are
	// well below the 13 s within which load swings, and above the second or so in
	// which a few long prompts look like a change.
	smoothingTime = 1500 * time.Millisecond
	trendTime     = 6 * time.Second
	// sampleInterval is the time between two remembered loads. It is shorter than
	// smoothingTime, and bounds the work of a decision.
	sampleInterval = time.Second
	// trendWeight is the weight of the extrapolated load relative to the loads of a
	// period. It is low because a swing returns while a server boots.
	trendWeight = 0.1
	// drainTime is the time within which waiting work is to be served.
	drainTime = 2 * time.Second
	// releaseShare is the share of the servers that are released in one step, so that
	// the remaining ones fill their caches and take over roles meanwhile.
	releaseShare = 0.05
	// maxUnsettled is the time after which servers are released although a pool is
	// short of a role: a change of roles takes about 4 s, and engines that refuse it
	// must not keep all servers.
	maxUnsettled = 6 * time.Second
	// reclaimPrior is the time in which one reclaim of a failure domain is expected
	// until reclaims have been observed, allReclaimed the share of reclaims that
	// affect all failure domains.
	reclaimPrior = time.Minute
	allReclaimed = 0.2
	// maxOutageShare bounds the share of time for which servers are expected to be
	// missing.
	maxOutageShare = 0.5
	// maxRateChange bounds the factor by which a learned rate of engines changes from
	// one report to the next.
	maxRateChange = 1.1
	// maxUnderestimate bounds the factor by which the load of a saturated pool exceeds
	// the measured one, so that refusals for other reasons don't add servers without
	// end. Learned rates include slow periods and are rarely off by more.
	maxUnderestimate = 1.5
	// refusedShare is the share of refused requests from which on a pool counts as
	// saturated.
	refusedShare = 0.02
)

// Need decides how many servers of each class a service needs. It is not safe for
// concurrent use.
//
// It addresses load that swings within seconds around a mean far below what all
// servers could do, and bursts that end before a new server has booted. It
// compares the price of servers with the cost of the requests that would be late
// without them, over the loads of the last period, so that a burst counts for as
// long as it lasts. Releases are slower than orders.
type Need struct {
	cfg   NeedConfig
	pools map[string]*poolNeed
	// started is the time of the first step, complete the time since which all pools
	// have reported, zero if they have not.
	started, complete time.Time
	wanted            Counts
	// reclaims counts the reclaims of cheap servers, reclaimed holds the time of the
	// last one by failure domain.
	reclaims  int
	reclaimed map[string]time.Time
	// released is the time of the last step that released servers or was not allowed
	// to.
	released time.Time
}

// poolNeed is what is known about the load of one pool.
type poolNeed struct {
	last                    Report
	at                      time.Time
	prefillRate, decodeRate float64
	prefill, decode         fleet.Forecast
	requests, spread        fleet.Forecast
	refused                 fleet.Forecast
	samples                 []sample
}

// sample is the load of a pool at a time.
type sample struct {
	at time.Time
	poolLoad
}

// Decision is the result of a step.
type Decision struct {
	Wanted
	// Act is false while the number of servers is not known well enough for orders.
	Act bool
	// Holding is set while nothing is released.
	Holding bool
	// Mean and Peak are the engines that are busy on average and at most, AfterLoss
	// the number that must remain after the loss of a group of cheap servers.
	Mean, Peak float64
	AfterLoss  int
}

// NewNeed returns a decision maker without reports. It needs a configuration
// before its first step.
func NewNeed() *Need {
	return &Need{pools: map[string]*poolNeed{}, reclaimed: map[string]time.Time{}}
}

// Configure sets the parameters, which may change between steps.
func (d *Need) Configure(cfg NeedConfig) { d.cfg = cfg }

// Report adds the report of a pool. The caller has checked it with
// Report.Problem.
func (d *Need) Report(now time.Time, pool string, r Report) {
	p := d.pools[pool]
	if p == nil {
		p = &poolNeed{}
		for _, f := range []*fleet.Forecast{&p.prefill, &p.decode, &p.requests, &p.spread, &p.refused} {
			*f = fleet.NewForecast(smoothingTime, trendTime)
		}
		d.pools[pool] = p
	}
	p.last, p.at = r, now
	p.prefillRate = boundedRate(r.PrefillRate, p.prefillRate)
	p.decodeRate = boundedRate(r.DecodeRate, p.decodeRate)
	p.requests.Observe(now, r.Requests)
	p.refused.Observe(now, r.Refused)
	p.spread.Observe(now, min(r.Spread, maxSpread))
	if p.prefillRate > 0 {
		p.prefill.Observe(now, (r.Prefill+r.Waiting/drainTime.Seconds())/p.prefillRate)
	}
	if p.decodeRate > 0 {
		p.decode.Observe(now, r.Decode/p.decodeRate)
	}
}

// boundedRate limits the change of a learned rate per report. A rate of 0 is
// unknown and leaves the last one in force.
func boundedRate(measured, known float64) float64 {
	switch {
	case measured < minEngineRate:
		return known
	case known == 0:
		return measured
	}
	return min(max(measured, known/maxRateChange), known*maxRateChange)
}

// Step returns the wanted servers. pools are the names of the service's pools and
// engines its listed engines. settled is false while a pool is short of engines of
// a role; see Roles.Settled.
func (d *Need) Step(now time.Time, pools []string, engines []Engine, settled bool) Decision {
	if d.started.IsZero() {
		d.started = now
	}
	have := d.count(now, engines)
	reported := d.update(now, pools, have)
	switch {
	case reported && d.complete.IsZero():
		d.complete = now
	case !reported && now.Sub(d.started) < d.cfg.Hold:
		d.complete = time.Time{}
	}
	out := Decision{Act: now.Sub(d.started) >= d.cfg.Lead}
	if d.complete.IsZero() || !out.Act {
		// Servers that an earlier holder has ordered may not be listed yet; an order
		// for the listed ones would cancel them.
		d.wanted = d.wanted.atLeast(have)
		out.Wanted, out.Holding = Wanted{Counts: d.wanted}, true
		return out
	}
	best, enough := d.choose(now, pools, have, &out)
	seen := now.Sub(d.complete)
	out.Holding = !reported || seen < d.cfg.Hold
	if out.Holding {
		d.wanted = d.hold(have, best, reported && seen >= d.cfg.Hold-d.cfg.Lead)
		d.released = now
	} else {
		d.wanted = d.approach(now, have, best, enough, settled)
	}
	out.Wanted = Wanted{Counts: d.wanted, Floor: min(out.AfterLoss, best.total()), Work: d.work(pools)}
	return out
}

// count returns the running servers and records reclaims.
func (d *Need) count(now time.Time, engines []Engine) Counts {
	var have Counts
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Leaving && e.Cheap && e.Evicted:
			if last, ok := d.reclaimed[e.FailureDomain]; !ok || now.Sub(last) > d.cfg.Outage {
				d.reclaims++
			}
			d.reclaimed[e.FailureDomain] = now
		case e.Leaving:
		case e.Cheap:
			have.Cheap++
		default:
			have.OnDemand++
		}
	}
	return have
}

// update records the present loads and reports whether all pools have reported
// lately.
func (d *Need) update(now time.Time, pools []string, have Counts) bool {
	for name := range d.pools {
		if !slices.Contains(pools, name) {
			delete(d.pools, name)
		}
	}
	all := len(pools) > 0
	for _, name := range pools {
		p := d.pools[name]
		if p == nil || now.Sub(p.at) > d.cfg.ReportAge {
			all = false
			continue
		}
		load := p.load(p.prefill.Average(), p.decode.Average())
		load.prefill = max(load.prefill, d.saturated(p, have.total(), len(pools)))
		if n := len(p.samples); n == 0 || now.Sub(p.samples[n-1].at) >= sampleInterval {
			p.samples = append(p.samples, sample{at: now, poolLoad: load})
		}
		for now.Sub(p.samples[0].at) > d.cfg.Period {
			p.samples = p.samples[1:]
		}
	}
	return all
}

func (p *poolNeed) load(prefill, decode float64) poolLoad {
	return poolLoad{
		prefill: prefill, decode: decode, requests: p.requests.Average(),
		spread: p.spread.Average(), memory: p.last.Memory, weight: 1,
	}
}

// saturated returns the prefill load that the engines of a pool evidently have: as
// much as they can do if requests are refused for lack of capacity or wait for
// longer than the objective permits. It corrects loads that the learned rates
// underestimate.
func (d *Need) saturated(p *poolNeed, engines, pools int) float64 {
	slack := waitShare * d.cfg.Objective.Seconds()
	if p.last.Wait <= slack && p.refused.Average() <= refusedShare*p.requests.Average() {
		return 0
	}
	n := float64(engines) / float64(pools)
	return min(placementEfficiency*n*(1-d.cfg.Roles.DecodeShare), maxUnderestimate*p.prefill.Average())
}

// loads returns the loads of each pool that are expected during the next period:
// those of the last one, and last the extrapolated present one.
func (d *Need) loads(pools []string) [][]poolLoad {
	out := make([][]poolLoad, 0, len(pools))
	for _, name := range pools {
		p := d.pools[name]
		if p == nil || len(p.samples) == 0 {
			continue
		}
		loads := make([]poolLoad, 0, len(p.samples)+1)
		for i := range p.samples {
			loads = append(loads, p.samples[i].poolLoad)
		}
		next := p.load(p.prefill.Predict(d.cfg.Lead), p.decode.Predict(d.cfg.Lead))
		next.weight = float64(len(loads)) * trendWeight
		out = append(out, append(loads, next))
	}
	return out
}

// choose returns the counts with the lowest cost, and the number of on-demand
// servers that is enough without cheap ones.
func (d *Need) choose(now time.Time, pools []string, have Counts, out *Decision) (best Counts, enough int) {
	loads := d.loads(pools)
	out.Mean, out.Peak = d.summarize(loads, len(pools))
	low := min(minPoolEngines*len(pools), d.cfg.Max)
	out.AfterLoss = min(max(int(math.Ceil(out.Mean/meanUtilization)), low), d.cfg.Max)
	// Beyond three times the peak, a further server changes nothing.
	high := min(max(int(3*out.Peak)+low, out.AfterLoss*2), d.cfg.Max)
	curve := newLossCurve(loads, len(pools), high, waitShare*d.cfg.Objective.Seconds(), &d.cfg)
	missing := d.outageShare(now)
	o := offer{
		onDemand: d.cfg.OnDemandPrice, cheap: d.cfg.CheapPrice, domains: d.cfg.Domains,
		have:      d.wanted.atLeast(have),
		startup:   d.cfg.Lead.Seconds() / d.cfg.Period.Seconds(),
		groupLost: (1 - allReclaimed) * missing, allLost: allReclaimed * missing,
		low: low, high: high, afterLoss: out.AfterLoss,
		afterAll: int(math.Ceil(onDemandShare * out.Mean)),
	}
	return o.cheapest(&curve, d.cfg.LostCost), o.onDemandOnly(&curve, d.cfg.LostCost)
}

// outageShare returns the share of time for which a group of cheap servers is
// expected to be missing.
func (d *Need) outageShare(now time.Time) float64 {
	rate := float64(d.reclaims+1) / (now.Sub(d.started) + reclaimPrior).Seconds()
	return min(rate*d.cfg.Outage.Seconds(), maxOutageShare)
}

// summarize returns the number of engines that are busy on average and in the
// sample with the highest load, without the extrapolated loads. Pools share the engines evenly, so the one with
// the highest load counts for all.
func (d *Need) summarize(loads [][]poolLoad, pools int) (mean, peak float64) {
	perEngine := placementEfficiency * (1 - d.cfg.Roles.DecodeShare*(1-1/d.cfg.DecodePrefillFactor))
	for _, samples := range loads {
		sum, weight, most := 0.0, 0.0, 0.0
		for i := range samples[:len(samples)-1] {
			l := &samples[i]
			engines := max(
				(l.prefill+l.decode/d.cfg.DecodePrefillFactor)/perEngine,
				l.decode/(placementEfficiency*d.cfg.Roles.DecodeShare),
				l.memory/maxMemoryFill,
			)
			sum, weight, most = sum+engines*l.weight, weight+l.weight, max(most, engines)
		}
		mean, peak = max(mean, sum/max(weight, 1)), max(peak, most)
	}
	return mean * float64(pools), peak * float64(pools)
}

// hold returns the counts to aim for while nothing is released. Cheap servers that
// are to replace on-demand servers are ordered if replace is set, so that they are
// listed when the hold ends; ordered earlier, both would be paid for.
func (d *Need) hold(have, best Counts, replace bool) Counts {
	next := d.wanted.atLeast(have)
	if replace {
		return next.atLeast(best)
	}
	next.Cheap = max(next.Cheap, best.total()-next.OnDemand)
	return next
}

// approach returns the counts to aim for on the way to best. Releases are gradual.
// On-demand servers stay until the cheap servers that replace them are listed.
func (d *Need) approach(now time.Time, have, best Counts, enough int, settled bool) Counts {
	step := max(int(math.Ceil(releaseShare*float64(have.total()))), 1)
	if !settled && now.Sub(d.released) < maxUnsettled {
		step = 0
	}
	stay := min(have.OnDemand, min(enough, best.total())-have.Cheap)
	next := Counts{
		OnDemand: max(best.OnDemand, stay, min(d.wanted.OnDemand, have.OnDemand)-step),
		Cheap:    max(best.Cheap, d.wanted.Cheap-step),
	}
	if next.OnDemand < d.wanted.OnDemand || next.Cheap < d.wanted.Cheap {
		d.released = now
	}
	return next
}

// work returns the outstanding work of each group of servers, or nil if a pool has
// not reported.
func (d *Need) work(pools []string) map[Group]float64 {
	out := map[Group]float64{}
	for _, name := range pools {
		p := d.pools[name]
		if p == nil {
			return nil
		}
		for i := range p.last.Groups {
			out[p.last.Groups[i].group()] += p.last.Groups[i].Work
		}
	}
	return out
}
