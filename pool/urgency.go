package pool

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// The order by urgency addresses loads above the capacity of the runners: then
// the requests that are served first decide which kinds meet their objective.
// Each customer's waiting requests are in two lanes. The fresh lane holds those
// that can still meet their objective, the late lane the others. In both, the
// request with the earliest key is next; keys are times that don't change while
// a request waits in its lane, so that requests that arrive later overtake it
// for a bounded time only. The customers whose share is used up wait, as in fair
// queueing by arrival.

const (
	// maxRank is the highest rank that is told apart, as engines do.
	maxRank = 9
	// rankStep and lateRankStep are the times by which a request goes before one of
	// the next rank with otherwise equal times. rankStep is above the differences
	// between the latest starts of kinds whose ranks contradict them (300 ms with
	// the kinds of D1 in docs/design/hard-load.md).
	rankStep     = 500 * time.Millisecond
	lateRankStep = time.Second
	// minSlackShare is the least share of the time until the objective for which a
	// request stays in the fresh lane. Long prompts may have no chance to meet the
	// objective. With a quarter, the longest tenth of a kind is served less than half
	// as often as the kind at twice the capacity.
	minSlackShare = 0.4
	// maxSlack bounds the time from the arrival to the latest start in the order,
	// so that an objective far in the future doesn't make a request wait endlessly.
	// A request without an objective gets half of it.
	maxSlack = 4 * time.Second
	// lateWaitShare is the place of a late request between its latest start and its
	// deadline.
	lateWaitShare = 0.5
	// lateFloor is the share of the granted tokens that late requests get while both
	// lanes wait. Each kind is to be served at least a quarter as often as all. A
	// larger share takes timely answers from other requests: 0.3 for rank 0 lowers the
	// value of D2 at 1.5 times the capacity from 0.756 to 0.689.
	lateFloor = 0.2
	// urgencyLead is the time, in work at the service rate, by which customers may
	// be ahead of their fair share because their requests are more urgent.
	urgencyLead = 500 * time.Millisecond
	// urgentWaitShare and relaxedWaitShare are the shares of Config.PrefillWait up to
	// which fresh requests of rank 0 and all others are placed while few wait, and
	// urgentFullShare and relaxedFullShare those while a request per runner waits.
	// Prompts on a runner are processed in the order of their arrival there, so under
	// overload the order among waiting requests matters only if little work waits on
	// the runners. Below it, a request that waits here loses time: with the shares for
	// a full queue alone, a day with short peaks lost 3 in 100 of what callers got.
	urgentWaitShare  = 1.0
	relaxedWaitShare = 0.6
	urgentFullShare  = 0.4
	relaxedFullShare = 0.25
	// maxCompared bounds the customers whose requests are compared for one grant, and
	// maxSampled the requests of one customer from which the work ahead of a new one
	// is estimated, so that the cost of a step doesn't grow with their number.
	maxCompared = 256
	maxSampled  = 64
)

// Lanes of waiting requests.
const (
	laneFresh = iota
	laneLate
	lanes
)

// urgency is the place of a waiting request in the order by urgency. Times are
// Unix times in nanoseconds.
type urgency struct {
	owner *backlog
	rank  int
	// latestStart is the time after which a request of the fresh lane is late.
	latestStart int64
	key         int64
	// arrival is the number of the arrival. It orders requests with equal keys.
	arrival float64
	lane    int
	index   int
	// underFloor is set while the request is placed under the floor of its lane.
	underFloor bool
	// attainable is set if an idle runner would meet the objective.
	attainable bool
}

// before reports whether a request goes before another one of the same lane.
func (u *urgency) before(other *waitingRequest) bool {
	if u.key != other.key {
		return u.key < other.key
	}
	return u.arrival < other.arrival
}

// laneHeap is a heap of waiting requests by key. It implements heap.Interface.
type laneHeap []*waitingRequest

// Len implements heap.Interface.
func (h laneHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	w := x.(*waitingRequest)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}

// urgencyOrder holds the sums over the interactive requests that wait in the
// order by urgency.
type urgencyOrder struct {
	enabled bool
	count   [lanes]int
	// cost is the work in each lane by rank.
	cost [lanes][maxRank + 1]float64
	// lateCredit is the work in tokens that late requests may get before fresh ones.
	lateCredit float64
	// attempt numbers the dispatches, see backlog.skippedAt.
	attempt uint64
}

// ordered reports whether the requests of a class are ordered by urgency.
func (q *fairQueue) ordered(class Priority) bool {
	return q.urgency.enabled && class == Interactive
}

// setUrgency sets the place of a new request in the order. firstToken is the time
// to first token of the best runner if it were idle, in seconds.
func (w *waitingRequest) setUrgency(now time.Time, firstToken float64) {
	at := now.UnixNano()
	w.rank = min(max(w.request.Rank, 0), maxRank)
	slack := maxSlack / 2
	w.attainable = true
	if !w.request.Objective.IsZero() {
		left := min(max(w.request.Objective.Sub(now), 0), maxSlack)
		slack = left - time.Duration(min(firstToken, maxSlack.Seconds())*float64(time.Second))
		least := time.Duration(minSlackShare * float64(left))
		w.attainable = slack >= 0
		slack = max(slack, least)
	}
	w.latestStart = at + int64(slack)
	w.key = w.latestStart + int64(w.rank)*int64(rankStep)
	w.lane = laneFresh
	if w.request.Objective.IsZero() {
		w.latestStart = math.MaxInt64
	}
}

// lateKey returns the key of a request in the late lane: halfway between its
// latest start and its deadline.
func (w *waitingRequest) lateKey() int64 {
	wait := int64(maxSlack)
	if !w.request.Deadline.IsZero() {
		wait = max(w.request.Deadline.UnixNano()-w.latestStart, 0)
	}
	return w.latestStart + int64(lateWaitShare*float64(wait)) + int64(w.rank)*int64(lateRankStep)
}

// enterLane adds a request to its lane.
func (q *fairQueue) enterLane(w *waitingRequest) {
	o := &q.urgency
	heap.Push(&w.owner.lanes[w.lane], w)
	o.count[w.lane]++
	o.cost[w.lane][w.rank] += w.cost
}

// leaveLane removes a request from its lane. Sums of empty lanes are set to zero,
// so that rounding errors don't accumulate.
func (q *fairQueue) leaveLane(w *waitingRequest) {
	o := &q.urgency
	heap.Remove(&w.owner.lanes[w.lane], w.index)
	o.count[w.lane]--
	o.cost[w.lane][w.rank] -= w.cost
	if o.count[w.lane] == 0 {
		o.cost[w.lane] = [maxRank + 1]float64{}
	}
}

// makeLate moves a request from the fresh to the late lane.
func (q *fairQueue) makeLate(w *waitingRequest) {
	q.leaveLane(w)
	w.lane, w.key = laneLate, w.lateKey()
	q.enterLane(w)
}

// updateStart sets the virtual start time of a customer's next request and
// restores the order of the heap.
func (q *fairQueue) updateStart(class Priority, b *backlog) {
	b.start = b.virtualFinish - b.cost/b.owner.weight
	if b.heapIndex >= 0 {
		q.siftUp(class, b.heapIndex)
		q.siftDown(class, b.heapIndex)
	}
}

// nextUrgent returns the next request: the one with the earliest key in the given
// lane, or in the other one if it is empty, of the customers that are at most lead
// ahead of their fair share, in tokens per weight. If these have none in the lane,
// it is that of the customer that is the least ahead. nextUrgent advances virtual
// time to the customer that is furthest behind and moves the late requests that it
// finds.
func (q *fairQueue) nextUrgent(now int64, lane int, lead float64) *waitingRequest {
	h := q.heap[Interactive]
	if len(h) == 0 {
		return nil
	}
	q.virtualTime[Interactive] = max(q.virtualTime[Interactive], h[0].start)
	limit := q.virtualTime[Interactive] + lead
	// best are the next requests of the customers within their share, ahead those of
	// the customers that are the least ahead of it.
	var best, ahead [lanes]*waitingRequest
	for _, b := range h[:min(len(h), maxCompared)] {
		if b.skippedAt == q.urgency.attempt {
			continue
		}
		for len(b.lanes[laneFresh]) > 0 && b.lanes[laneFresh][0].latestStart <= now {
			q.makeLate(b.lanes[laneFresh][0])
		}
		for l := range best {
			if len(b.lanes[l]) == 0 {
				continue
			}
			w := b.lanes[l][0]
			switch {
			case b.start > limit:
				if ahead[l] == nil || b.start < ahead[l].owner.start {
					ahead[l] = w
				}
			case best[l] == nil || w.before(best[l]):
				best[l] = w
			}
		}
	}
	return cmp.Or(best[lane], ahead[lane], best[lanes-1-lane], ahead[lanes-1-lane])
}

// recordUrgent updates the credit of the late lane for a served request.
func (q *fairQueue) recordUrgent(w *waitingRequest) {
	o := &q.urgency
	switch {
	case w.lane == laneFresh && o.count[laneLate] > 0:
		o.lateCredit += lateFloor * w.cost
	case w.lane == laneFresh:
		// No credit accumulates while no late request waits.
		o.lateCredit = min(o.lateCredit, 0)
	case o.count[laneFresh] > 0:
		o.lateCredit -= (1 - lateFloor) * w.cost
	}
}

// dispatchUrgent grants waiting interactive requests in the order of urgency. Late
// requests go first as long as their floor has credit.
func (p *Pool) dispatchUrgent(now time.Time) {
	q := &p.queue
	o := &q.urgency
	o.attempt++
	at := now.UnixNano()
	p.lateRate.advance(now, o.count[laneLate] > 0)
	var skipped skippedBacklogs
	for !skipped.tooMany() {
		lane := laneFresh
		if o.lateCredit > 0 {
			lane = laneLate
		}
		w := q.nextUrgent(at, lane, p.leadVirtualTime())
		if w == nil {
			return
		}
		w.underFloor = w.lane == laneLate && o.lateCredit > 0
		switch p.place(now, w.owner.owner, w, false) {
		case placed:
			q.take(Interactive, w)
			p.rate.recordGrant(w.cost)
			if w.lane == laneLate {
				p.lateRate.recordGrant(w.cost)
			}
			q.recordServed(w, p.cfg.BatchFloor)
			q.recordUrgent(w)
			p.recycle(w)
			if p.cfg.Priorities && q.batchCredit > 0 && len(q.heap[Batch]) > 0 {
				p.dispatchClass(now, Batch, true)
			}
		case untimely:
			q.makeLate(w)
		case tooLate:
			p.drop(Interactive, w)
		case noRoom:
			p.probeRequest.urgency = urgency{rank: w.rank, lane: w.lane, underFloor: w.underFloor}
			if p.noRoomForAny(now, Interactive, false) {
				// The bounds of the requests that are next are no larger.
				return
			}
			w.owner.skippedAt = o.attempt
			skipped.count(w.owner.owner)
		}
	}
}

// leadVirtualTime converts urgencyLead to virtual time at the current service
// rate.
func (p *Pool) leadVirtualTime() float64 {
	return urgencyLead.Seconds() * p.serviceTokenRate(len(p.slots)) / max(p.queue.weight[Interactive], 1e-9)
}

// waitShare returns the share of Config.PrefillWait up to which a request is placed. It
// falls from wide to full as the queue fills to a request per runner.
func (p *Pool) waitShare(wide, full float64) float64 {
	filled := min(float64(p.queue.count)/float64(max(len(p.slots), 1)), 1)
	return wide - (wide-full)*filled
}

// waitBound returns the predicted prefill wait, in seconds, up to which a request
// is placed on a runner. Without the order by urgency it is the same for all. Work
// under a floor has the bound of the work that would otherwise exclude it.
func (p *Pool) waitBound(w *waitingRequest, batchFloor bool) float64 {
	if !p.cfg.Urgency {
		return p.prefillWait
	}
	urgent := w.lane == laneFresh && w.rank == 0 || w.underFloor
	if w.request.Priority == Interactive && urgent || batchFloor {
		return p.waitShare(urgentWaitShare, urgentFullShare) * p.prefillWait
	}
	return p.waitShare(relaxedWaitShare, relaxedFullShare) * p.prefillWait
}

// isUntimely reports whether a planned request of the fresh lane would miss its
// objective although an idle runner would have met it.
func (w *waitingRequest) isUntimely(now time.Time, best *plan) bool {
	return w.lane == laneFresh && w.attainable && !w.request.Objective.IsZero() &&
		best.firstToken > w.request.Objective.Sub(now).Seconds()
}

// urgentWait predicts the time in seconds until a new request is placed in the
// order by urgency: the time until the work ahead of it in its lane is done and
// its customer's share has reached it. If that takes until the latest start, the
// request will be late, and the work ahead is that of the late lane at its
// service rate.
func (p *Pool) urgentWait(now time.Time, c *customer, w *waitingRequest, runners int) float64 {
	q := &p.queue
	b := &c.class[Interactive]
	rate := p.serviceTokenRate(runners)
	weights := q.weight[Interactive]
	if b.head == nil {
		weights += c.weight
	}
	// The customer's share has reached its own work after between lead less and lead
	// more than its distance from virtual time.
	start := b.virtualFinish - b.cost/c.weight - q.virtualTime[Interactive]
	shareWait := func(own float64) (earliest, latest float64) {
		distance, lead := (start+own/c.weight)*weights/rate, urgencyLead.Seconds()
		return min(max(distance-lead, 0), q.cost[Interactive]/rate), max(distance, 0) + lead
	}
	fresh := sum(q.urgency.cost[laneFresh][:w.rank+1]) / rate
	slack := float64(w.latestStart-now.UnixNano()) / float64(time.Second)
	earliest, latest := shareWait(b.ahead(laneFresh, w.key))
	if wait := max(min(fresh, latest), earliest); wait <= slack {
		return wait
	}
	late := sum(q.urgency.cost[laneLate][:w.rank+1]) + max(fresh-slack, 0)*rate
	key := w.lateKey()
	earliest, _ = shareWait(b.ahead(laneFresh, key) + b.ahead(laneLate, key))
	return max(slack+late/p.lateTokenRate(rate), earliest)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// ahead estimates the customer's work in a lane with keys up to the given one.
func (b *backlog) ahead(lane int, key int64) float64 {
	h := b.lanes[lane]
	sampled := h[:min(len(h), maxSampled)]
	total := 0.0
	for _, w := range sampled {
		if w.key <= key {
			total += w.cost
		}
	}
	return total * float64(len(h)) / float64(max(len(sampled), 1))
}

// lateTokenRate returns the service rate of the late lane in tokens per second,
// which is at least lateFloor of the pool's rate.
func (p *Pool) lateTokenRate(rate float64) float64 {
	return max(p.lateRate.perSecond(lateFloor*rate), lateFloor*rate)
}
