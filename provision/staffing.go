package provision

import "math"

const (
	// placementEfficiency is the share of the engines' total speed that placement
	// can use at a time: speeds differ by a factor of up to 2.7, and prompts with a
	// cached prefix prefer the engine that has it.
	placementEfficiency = 0.8
	// waitShare is the share of the latency objective that a request may wait. The
	// rest is for its own prefill, the transfer of its KV cache and the network.
	waitShare = 0.25
	// meanUtilization is the utilization at which the mean load must be served after
	// the loss of the largest group of cheap servers.
	meanUtilization = 0.9
	// lateValue is the share of its value that a late answer keeps. Late answers are
	// worth 0.2 to 0.75 of timely ones.
	lateValue = 0.5
	// onDemandShare is the share of the mean load for which on-demand servers remain
	// if the cheap servers of all failure domains are reclaimed at once. Roles gives
	// them the decode role first, so that few streams break.
	onDemandShare = 0.25
	// maxMemoryFill is the share of the engines' KV memory that may be reserved.
	maxMemoryFill = 0.8
	// minPoolEngines is the least number of engines of a pool: one for prefill and
	// one for decode.
	minPoolEngines = 2
)

// poolLoad is the load of one pool at one time. prefill and decode are in engines
// that do only this work.
type poolLoad struct {
	prefill, decode float64
	// requests is the number of requests per second, and spread the squared
	// coefficient of variation of their prefill work.
	requests, spread float64
	// memory is the number of engines whose KV memory is reserved.
	memory float64
	// weight is the share of time for which the load is expected.
	weight float64
}

// lostShare returns the share of the requests' value that is lost on n engines
// because requests wait for longer than slack, in seconds, or are refused.
//
// The wait is that of a queue with several servers: Sakasegawa's approximation,
// with an exponential distribution for the requests that wait. It replaces a
// fixed utilization because a small pool needs more reserve than a large one, and
// a mix with long prompts more than one without.
func (l *poolLoad) lostShare(n, slack float64, cfg *NeedConfig) float64 {
	decode := min(max(cfg.Roles.DecodeShare*n, float64(cfg.Roles.MinDecode)), max(n-1, n/2))
	decodeServers := placementEfficiency * decode
	idleDecode := max(decode-l.decode/placementEfficiency, 0)
	prefillServers := placementEfficiency * (n - decode + idleDecode/cfg.DecodePrefillFactor)
	lost := max(
		waitLoss(l.prefill, prefillServers, l.requests, l.spread, slack),
		waitLoss(l.decode, decodeServers, l.requests, 1, slack),
	)
	if full := l.memory / (maxMemoryFill * n); full > 1 {
		lost = max(lost, 1-lateValue/full)
	}
	return lost
}

// waitLoss returns the share of value that is lost if requests arrive at the given
// rate and keep load of the servers busy. Above capacity, the part that the servers
// can do is late and the rest is refused.
func waitLoss(load, servers, requests, spread, slack float64) float64 {
	if load <= 0 || requests <= 0 {
		return 0
	}
	utilization := load / max(servers, 1e-6)
	if utilization >= 1 {
		return 1 - lateValue/utilization
	}
	waits := math.Pow(utilization, math.Sqrt(2*(servers+1))-1)
	meanWait := (1 + spread) / 2 * (load / requests) / (servers * (1 - utilization))
	return (1 - lateValue) * min(waits, 1) * math.Exp(-slack/meanWait)
}

// lossCurve is the number of requests per second whose value is lost, by the number
// of engines. It is tabulated because it is evaluated for many combinations of classes.
type lossCurve struct {
	low, step float64
	values    []float64
}

// curvePoints is the number of tabulated points. The work of one decision is
// bounded by it, times the number of pools and the samples of a period.
const curvePoints = 40

// newLossCurve tabulates the loss of pools that share low to high engines evenly.
func newLossCurve(pools [][]poolLoad, low, high int, slack float64, cfg *NeedConfig) lossCurve {
	c := lossCurve{low: float64(low), step: max(float64(high-low)/(curvePoints-1), 1)}
	for i := range curvePoints {
		n := (c.low + float64(i)*c.step) / float64(max(len(pools), 1))
		sum := 0.0
		for _, loads := range pools {
			sum += poolLoss(loads, n, slack, cfg)
		}
		c.values = append(c.values, sum)
	}
	return c
}

// poolLoss returns the lost requests per second of one pool with n engines.
func poolLoss(loads []poolLoad, n, slack float64, cfg *NeedConfig) float64 {
	sum, weight := 0.0, 0.0
	for i := range loads {
		sum += loads[i].weight * loads[i].requests * loads[i].lostShare(n, slack, cfg)
		weight += loads[i].weight
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// at returns the loss with n engines. Below the table it extends the first
// segment, so that a lower number is never cheaper.
func (c *lossCurve) at(n float64) float64 {
	x := (n - c.low) / c.step
	i := min(max(int(x), 0), len(c.values)-2)
	return max(c.values[i]+(x-float64(i))*(c.values[i+1]-c.values[i]), 0)
}

// Counts are numbers of servers by class.
type Counts struct{ OnDemand, Cheap int }

func (c Counts) total() int { return c.OnDemand + c.Cheap }

// atLeast returns the larger count of each class.
func (c Counts) atLeast(o Counts) Counts {
	return Counts{OnDemand: max(c.OnDemand, o.OnDemand), Cheap: max(c.Cheap, o.Cheap)}
}

// offer is what is known about the servers that can be ordered.
type offer struct {
	// onDemand and cheap are the prices.
	onDemand, cheap float64
	domains         int
	// have are the servers that are running. Further ones cost startup times their
	// price in addition: they are paid for while they boot.
	have    Counts
	startup float64
	// groupLost and allLost are the shares of time for which the largest group of
	// cheap servers, or all of them, are expected to be missing.
	groupLost, allLost float64
	// low and high bound the number of servers. afterLoss servers must remain after
	// the loss of the largest group of cheap servers, afterAll after the loss of all.
	low, high, afterLoss, afterAll int
}

// largestGroup returns the size of the largest group of cheap servers.
func (o *offer) largestGroup(cheap int) int { return (cheap + o.domains - 1) / max(o.domains, 1) }

// cost returns the cost per second of servers and of the requests that are lost
// with them.
func (o *offer) cost(n Counts, loss *lossCurve, lostCost float64) float64 {
	servers := o.onDemand*(float64(n.OnDemand)+o.startup*float64(max(n.OnDemand-o.have.OnDemand, 0))) +
		o.cheap*(float64(n.Cheap)+o.startup*float64(max(n.Cheap-o.have.Cheap, 0)))
	lost := (1-o.groupLost-o.allLost)*loss.at(float64(n.total())) +
		o.groupLost*loss.at(float64(n.total()-o.largestGroup(n.Cheap))) +
		o.allLost*loss.at(float64(n.OnDemand))
	return servers + lostCost*lost
}

// choiceSteps bounds the counts of one class that are compared.
const choiceSteps = 96

// cheapest returns the counts with the lowest cost. If no counts meet the bounds,
// it returns as many servers as possible.
func (o *offer) cheapest(loss *lossCurve, lostCost float64) Counts {
	best, bestCost := Counts{OnDemand: o.high}, math.Inf(1)
	step := o.high/choiceSteps + 1
	for onDemand := o.afterAll; onDemand <= o.high; onDemand += step {
		for total := max(o.low, onDemand); total <= o.high; total += step {
			n := Counts{OnDemand: onDemand, Cheap: total - onDemand}
			if total-o.largestGroup(n.Cheap) < o.afterLoss {
				continue
			}
			if cost := o.cost(n, loss, lostCost); cost < bestCost {
				best, bestCost = n, cost
			}
		}
	}
	return best
}

// onDemandOnly returns the number of on-demand servers that is kept while there
// are no cheap servers. It is lower than the total of both classes, because the
// reserve for reclaims is not needed.
func (o *offer) onDemandOnly(loss *lossCurve, lostCost float64) int {
	best, bestCost := o.high, math.Inf(1)
	for n := o.low; n <= o.high; n++ {
		if cost := o.onDemand*float64(n) + lostCost*loss.at(float64(n)); cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}
