package compare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/load"
)

// Result holds the measurements of one run. Requests that arrive during warmup
// are not counted.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Layouts is the number of prefill engines per phase; 0 means that all are
	// mixed.
	Layouts []int `json:"prefill_engines"`
	// Offered, Good and the counts below are of interactive requests. Good
	// requests are whole and within firstTokenLimit and betweenLimit.
	Offered int `json:"offered"`
	Good    int `json:"good"`
	Refused int `json:"refused"`
	// Late requests were admitted, but the first token exceeded firstTokenLimit
	// or the client left before it. Slow ones had a timely first token, but
	// exceeded betweenLimit.
	Late     int `json:"late"`
	Slow     int `json:"slow"`
	Admitted int `json:"admitted"`
	// Waited requests were queued until the client left, neither admitted nor
	// refused.
	Waited int `json:"waited"`
	// Failed requests had a timely first token, but no whole answer.
	Failed  int `json:"failed"`
	Resumed int `json:"resumed"`
	// Batch requests have no latency limits.
	BatchOffered int `json:"batch_offered,omitempty"`
	BatchWhole   int `json:"batch_whole,omitempty"`
	// Goodput is the number of good requests per second, GoodShare their share of
	// the offered requests.
	Goodput   float64 `json:"goodput"`
	GoodShare float64 `json:"good_share"`
	// LateShare is the share of late and waited requests among those that were
	// not refused.
	LateShare float64 `json:"late_share"`
	// FirstP50 and FirstP95 are percentiles of the time to first token in ms.
	// BetweenP95 is the 95th percentile, over requests, of each request's 95th
	// percentile of the time between tokens, in ms.
	FirstP50   float64 `json:"first_p50_ms"`
	FirstP95   float64 `json:"first_p95_ms"`
	BetweenP95 float64 `json:"between_p95_ms"`
	// QuickRefusals is the share of refusals decided within quickRefusal (5 ms),
	// measured at the entry daemon.
	QuickRefusals float64 `json:"quick_refusals"`
	// Worst is the lowest ratio, over customers, of the served work to the
	// weighted fair share. Others is the good work of all customers except
	// floodCustomer, in tokens.
	Worst  float64 `json:"worst"`
	Others float64 `json:"others_tokens"`
	// OthersLost counts the requests of those customers that were not good:
	// refused ones, ones without a timely first token, and the rest.
	OthersLost [3]int    `json:"others_lost"`
	Customers  []float64 `json:"customer_good_share"`
	// CheapWork is the share of the tokens of cheap servers in the delivered work.
	CheapWork float64 `json:"cheap_work"`
	// OnDemandSeconds and CheapSeconds are server-seconds. Spend is their cost in
	// seconds of an on-demand server.
	OnDemandSeconds float64 `json:"on_demand_seconds"`
	CheapSeconds    float64 `json:"cheap_seconds"`
	Spend           float64 `json:"spend"`
	RoleChanges     int     `json:"role_changes"`
	Series          []Point `json:"series,omitempty"`
}

// Point holds the measurements of one interval of pointWidth, by time of arrival.
type Point struct {
	Second  float64 `json:"second"`
	Goodput float64 `json:"goodput"`
	Offered float64 `json:"offered"`
	// Worst is the lowest share of good requests of a customer.
	Worst float64 `json:"worst"`
	// Split is the number of engines in the role prefill or decode. Spend is the
	// cost of the running servers in on-demand servers.
	Split float64 `json:"split"`
	Spend float64 `json:"spend"`

	good, offered []int
}

// pointWidth is the time that a Point covers.
const pointWidth = 5 * time.Second

// quickRefusal is the time limit for a refusal that counts as quick.
const quickRefusal = 5 * time.Millisecond

// good reports whether an interactive request counts for goodput.
func (r *call) good() bool {
	return r.outcome == load.OutcomeWhole && r.timely() && r.betweenP95() <= betweenLimit
}

func (r *call) timely() bool {
	return !r.firstToken.IsZero() && r.firstToken.Sub(r.cluster.start.Add(r.arrival.At)) <= firstTokenLimit
}

func (r *call) betweenP95() time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	slices.Sort(r.gaps)
	return r.gaps[min(int(math.Ceil(0.95*float64(len(r.gaps))))-1, len(r.gaps)-1)]
}

// score returns the measurements of a run. cheapCost is the cost of a cheap server
// relative to an on-demand one.
func (c *cluster) score(cheapCost float64) Result {
	res := Result{Scenario: c.scenario.Name, Policy: c.policy.Name, RoleChanges: c.roleChanges}
	served := make([]float64, len(weights))
	demand := make([]float64, len(weights))
	counts := make([][2]int, len(weights))
	res.Series = make([]Point, int(math.Ceil(float64(c.scenario.Duration)/float64(pointWidth))))
	for i := range res.Series {
		res.Series[i].Second = (time.Duration(i) * pointWidth).Seconds()
		res.Series[i].good, res.Series[i].offered = make([]int, len(weights)), make([]int, len(weights))
	}
	var first, between []float64
	quick := 0
	for _, r := range c.allCalls {
		customer := r.arrival.Customer
		point := &res.Series[int(r.arrival.At/pointWidth)]
		good := r.good()
		if r.arrival.Kind == load.KindInteractive {
			point.offered[customer]++
			if good {
				point.good[customer]++
			}
		}
		if r.arrival.At < warmup {
			continue
		}
		if r.arrival.Kind == load.KindBatch {
			res.BatchOffered++
			if r.outcome == load.OutcomeWhole {
				res.BatchWhole++
			}
			continue
		}
		work := float64(r.arrival.PromptTokens + r.arrival.OutputTokens)
		demand[customer] += work
		counts[customer][1]++
		if good {
			served[customer] += work
			counts[customer][0]++
			if customer != floodCustomer {
				res.Others += work
			}
		}
		res.add(r, good)
		if customer != floodCustomer && !good {
			res.OthersLost[lossKind(r)]++
		}
		if r.outcome == load.OutcomeRefused && r.decision <= quickRefusal {
			quick++
		}
		if !r.firstToken.IsZero() {
			first = append(first, ms(r.firstToken.Sub(c.start.Add(r.arrival.At))))
			between = append(between, ms(r.betweenP95()))
		}
	}
	seconds := (c.scenario.Duration - warmup).Seconds()
	res.Goodput = float64(res.Good) / seconds
	res.GoodShare = ratio(res.Good, res.Offered)
	res.LateShare = ratio(res.Late+res.Waited, res.Offered-res.Refused)
	res.FirstP50, res.FirstP95 = quantile(first, 0.5), quantile(first, 0.95)
	res.BetweenP95 = quantile(between, 0.95)
	res.QuickRefusals = ratio(quick, res.Refused)
	res.Worst = worstShare(served, demand, weights)
	for _, n := range counts {
		res.Customers = append(res.Customers, ratio(n[0], n[1]))
	}
	for i := range res.Series {
		res.Series[i].finish()
		if i < len(c.samples) {
			res.Series[i].Split = c.samples[i].split
			res.Series[i].Spend = c.samples[i].onDemand + cheapCost*c.samples[i].cheap
		}
	}
	c.addCosts(&res, cheapCost)
	return res
}

// lossKind returns the index of a request in Result.OthersLost.
func lossKind(r *call) int {
	switch {
	case r.outcome == load.OutcomeRefused:
		return 0
	case !r.timely():
		return 1
	default:
		return 2
	}
}

func (res *Result) add(r *call, good bool) {
	res.Offered++
	if r.admitted {
		res.Admitted++
	}
	if r.resumes > 0 {
		res.Resumed++
	}
	switch {
	case good:
		res.Good++
	case r.outcome == load.OutcomeRefused:
		res.Refused++
	case r.admitted && !r.timely():
		res.Late++
	case !r.admitted:
		res.Waited++
	case r.outcome == load.OutcomeWhole:
		res.Slow++
	default:
		res.Failed++
	}
}

func (p *Point) finish() {
	p.Worst = 1
	good, offered := 0, 0
	for i := range p.offered {
		good += p.good[i]
		offered += p.offered[i]
		if p.offered[i] > 0 {
			p.Worst = min(p.Worst, ratio(p.good[i], p.offered[i]))
		}
	}
	p.Goodput = float64(good) / pointWidth.Seconds()
	p.Offered = float64(offered) / pointWidth.Seconds()
}

// addCosts sets the server-seconds, the spend and the share of the work on cheap
// servers.
func (c *cluster) addCosts(res *Result, cheapCost float64) {
	end := c.start.Add(c.scenario.Duration)
	all, cheap := 0.0, 0.0
	for _, e := range c.engines {
		until := end
		if e.gone && e.ended.Before(end) {
			until = e.ended
		}
		seconds := max(until.Sub(e.started).Seconds(), 0)
		all += e.deliveredTokens
		if e.info.Class == hosting.ClassCheap {
			cheap += e.deliveredTokens
			res.CheapSeconds += seconds
		} else {
			res.OnDemandSeconds += seconds
		}
	}
	res.CheapWork = cheap / max(all, 1)
	res.Spend = res.OnDemandSeconds + cheapCost*res.CheapSeconds
}

// worstShare returns the lowest ratio, over customers, of the served work to the
// weighted max-min fair share of all served work; at most 1.
func worstShare(served, demand, weights []float64) float64 {
	share := fairShares(sum(served), demand, weights)
	lowest := 1.0
	for i := range served {
		if share[i] > 0 {
			lowest = min(lowest, served[i]/share[i])
		}
	}
	return lowest
}

// fairShares divides a capacity by weighted max-min fairness: a share never
// exceeds the demand, and what is left is divided among the others by weight.
func fairShares(capacity float64, demand, weights []float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demand[a]/weights[a], demand[b]/weights[b]) })
	share := make([]float64, len(demand))
	left := sum(weights)
	for _, i := range order {
		share[i] = min(demand[i], capacity*weights[i]/left)
		capacity -= share[i]
		left -= weights[i]
	}
	return share
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
