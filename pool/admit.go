package pool

import (
	"math"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// answerRatioGain is the weight of the newest answer in the moving average of a
	// customer's answer ratio.
	answerRatioGain = 0.05
	// errorMarginFactor is the number of mean absolute errors that are added to a
	// predicted time to first token before it is compared with a deadline.
	errorMarginFactor = 1.5
	// minRetryAfter is the lowest Retry-After of a refusal after which a retry may
	// succeed.
	minRetryAfter = 10 * time.Millisecond
	// maxSkippedBacklogs is the number of backlogs whose head finds no room after
	// which the dispatch of one priority stops.
	maxSkippedBacklogs = 4
	// maxSkippedVersions is the same for backlogs of requests of a required version. That
	// these find no room says little about the others.
	maxSkippedVersions = 16
)

// serviceRate estimates the rate, in tokens per second, at which requests are
// granted while others wait. It is an exponentially weighted average that
// starts from an initial estimate.
type serviceRate struct {
	// tokens and seconds are exponentially decayed sums.
	tokens, seconds float64
	// observed is the share of the initial estimate that has been replaced by
	// observations.
	observed float64
	last     time.Time
	// pending is the cost of the requests granted since last.
	pending float64
}

const (
	// rateTimeConstant is the time constant of the service rate average in seconds.
	rateTimeConstant = 5.0
	// initialEstimateWeight is the weight of the initial estimate, in seconds of
	// observation.
	initialEstimateWeight = 3.0
)

// recordGrant records the cost of a granted request.
func (s *serviceRate) recordGrant(cost float64) { s.pending += cost }

// advance adds the time and the grants since the last call. They are ignored if
// no request was waiting or if the interval is longer than 1 s.
func (s *serviceRate) advance(now time.Time, backlogged bool) {
	elapsed := now.Sub(s.last).Seconds()
	s.last = now
	if !backlogged || elapsed <= 0 || elapsed > 1 {
		s.pending = 0
		return
	}
	keep := math.Exp(-elapsed / rateTimeConstant)
	s.tokens = s.tokens*keep + s.pending
	s.seconds = s.seconds*keep + elapsed
	s.observed = 1 - (1-s.observed)*keep
	s.pending = 0
}

// perSecond returns the rate, at least 1 token per second. estimate is the
// initial estimate, whose weight falls as observations come in.
func (s *serviceRate) perSecond(estimate float64) float64 {
	prior := initialEstimateWeight * (1 - s.observed)
	return max((s.tokens+prior*estimate)/(s.seconds+prior+1e-9), 1)
}

// serviceTokenRate returns the pool's service rate in tokens per second. The
// initial estimate is the prefill rate of the runners.
func (p *Pool) serviceTokenRate(runners int) float64 {
	return p.rate.perSecond(float64(max(runners, 1)) / p.poolPredictor.firstToken.b)
}

// newWaiting creates the queue entry of a request: it clamps the token counts to
// [1, MaxTokens] and estimates the answer's length, the KV memory and the cost.
func (p *Pool) newWaiting(req *Request, c *customer) *waitingRequest {
	w := p.free
	if w == nil {
		w = &waitingRequest{}
	} else {
		p.free = w.next
	}
	*w = waitingRequest{request: *req}
	if w.request.Priority >= priorities {
		w.request.Priority = Batch
	}
	if !p.cfg.Priorities {
		w.request.Priority = Interactive
	}
	w.prompt = min(max(req.PromptTokens, 1), MaxTokens)
	w.limit = min(max(req.MaxTokens, 1), MaxTokens)
	w.expected = p.expectedAnswer(c, w.prompt, w.limit)
	w.kv = w.prompt + w.expected
	w.cost = float64(w.prompt + w.expected)
	return w
}

// recycle puts a queue entry on the free list.
func (p *Pool) recycle(w *waitingRequest) {
	*w = waitingRequest{next: p.free}
	p.free = w
}

// enqueueOrRefuse adds a new request to the queue or refuses it.
func (p *Pool) enqueueOrRefuse(now time.Time, req *Request) {
	c := p.customer(req)
	w := p.newWaiting(req, c)
	p.arrived.ArrivedPrefill += float64(w.prompt)
	p.arrived.ArrivedDecode += float64(w.expected)
	if w.request.Priority == Batch {
		p.arrived.ArrivedBatch += w.cost
	}
	if reason, retry := p.refusalReason(now, c, w); reason != "" {
		p.refuse(w, reason, retry)
		p.recycle(w)
		return
	}
	p.queue.catchUp = p.catchUpVirtualTime(c, w)
	p.queue.push(c, w)
}

// catchUpVirtualTime converts Config.CatchUp to virtual time at the current
// service rate.
func (p *Pool) catchUpVirtualTime(c *customer, w *waitingRequest) float64 {
	active := p.queue.weight[w.request.Priority] + c.weight
	return p.cfg.CatchUp.Seconds() * p.serviceTokenRate(len(p.slots)) / active
}

func (p *Pool) refuse(w *waitingRequest, reason Reason, retry time.Duration) {
	p.emit(Refused{Entry: w.request.Entry, Request: w.request.ID, Reason: reason, RetryAfter: retry, Queued: p.queue.count, Runners: len(p.slots)})
}

// refusalReason decides whether a new request has to be refused. It returns the
// reason, "" if the request is accepted, and the time after which a retry may
// succeed.
func (p *Pool) refusalReason(now time.Time, c *customer, w *waitingRequest) (Reason, time.Duration) {
	fit := p.fit(now, w)
	if fit.runners == 0 {
		switch {
		case fit.tooSmall:
			return ReasonImpossible, 0
		case !p.runnerExpected(now, &w.request):
			return ReasonNoRunner, p.noRunnerRetry(&w.request)
		case p.queueFull(c, w, 1):
			return ReasonOverloaded, p.noRunnerRetry(&w.request)
		}
		w.setUrgency(now, 0)
		return "", 0
	}
	w.setUrgency(now, fit.idleFirstToken)
	wait := p.queueWait(now, c, w, fit.runners)
	if !fit.hasRoomNow && p.queue.count == 0 {
		wait = max(wait, fit.wait)
	}
	if p.cfg.Refusal && !w.request.Deadline.IsZero() {
		budget := w.request.Deadline.Sub(now).Seconds()
		if fit.idleFirstToken > budget {
			return ReasonImpossible, 0
		}
		if late := wait + fit.firstToken - budget; late > 0 {
			return ReasonDeadline, retryAfter(late)
		}
	}
	if p.queueFull(c, w, fit.runners) {
		return ReasonOverloaded, retryAfter(max(wait, w.cost/p.serviceTokenRate(fit.runners)))
	}
	return "", 0
}

// retryAfterMargin is the factor on Retry-After that covers changes of the
// prediction until the retry.
const retryAfterMargin = 1.25

func retryAfter(seconds float64) time.Duration {
	return max(time.Duration(retryAfterMargin*seconds*float64(time.Second)), minRetryAfter)
}

// queueWait predicts the time in seconds until a new request of the customer is
// at the head of the queue: the time until virtual time reaches the finish time
// of the customer's last request, at most the time to serve all waiting
// requests. Without waiting requests it is 0.
func (p *Pool) queueWait(now time.Time, c *customer, w *waitingRequest, runners int) float64 {
	class := w.request.Priority
	q := &p.queue
	total := q.cost[class]
	rate := p.serviceTokenRate(runners)
	if p.cfg.Priorities && class == Batch && q.cost[Interactive] > 0 {
		total += q.cost[Interactive]
		rate = max(rate*p.cfg.BatchFloor, 1)
	}
	if total == 0 {
		return 0
	}
	if q.ordered(class) {
		return p.urgentWait(now, c, w, runners)
	}
	ahead := total
	if p.cfg.FairQueueing {
		weights := q.weight[class]
		b := &c.class[class]
		if b.head == nil {
			weights += c.weight
		}
		// The new request is next once virtual time reaches the finish time of
		// the customer's last request. Virtual time advances by 1/weights per
		// served token.
		ahead = min(total, max(b.virtualFinish-q.virtualTime[class], 0)*weights)
	}
	return ahead / rate
}

// queueFull reports whether too many requests wait to accept one more. Up to
// twice the bound, a customer with fewer waiting requests than its weighted
// share of the bound is still accepted, so that a flood by one customer doesn't
// exclude the others.
func (p *Pool) queueFull(c *customer, w *waitingRequest, runners int) bool {
	bound := p.cfg.MaxQueued * runners
	if p.queue.count < bound {
		return false
	}
	if p.queue.count >= 2*bound || !p.cfg.FairQueueing {
		return true
	}
	class := w.request.Priority
	share := float64(bound) * c.weight / (p.queue.weight[class] + c.weight)
	return float64(c.class[class].count) >= max(share, 1)
}

// dispatch grants waiting requests while runners have room. Batch requests go
// first as long as the batch floor has credit.
func (p *Pool) dispatch(now time.Time) {
	q := &p.queue
	p.rate.advance(now, q.count > 0)
	if q.count == 0 {
		return
	}
	batchFirst := p.cfg.Priorities && q.batchCredit > 0 && len(q.heap[Interactive]) > 0
	if batchFirst {
		p.dispatchClass(now, Batch, true)
	}
	p.dispatchClass(now, Interactive, false)
	p.dispatchClass(now, Batch, false)
}

// dispatchClass grants waiting requests of one priority. With floor set it stops
// when the credit of the batch floor is used up.
func (p *Pool) dispatchClass(now time.Time, class Priority, floor bool) {
	q := &p.queue
	if q.ordered(class) {
		p.dispatchUrgent(now)
		return
	}
	var skipped skippedBacklogs
	for len(q.heap[class]) > 0 && !skipped.tooMany() {
		if floor && q.batchCredit <= 0 {
			break
		}
		b := q.heap[class][0]
		w := b.head
		switch p.place(now, b.owner, w, floor) {
		case placed:
			q.take(class, w)
			p.rate.recordGrant(w.cost)
			q.recordServed(w, p.cfg.BatchFloor)
			p.recycle(w)
			if class == Interactive && p.cfg.Priorities && q.batchCredit > 0 && len(q.heap[Batch]) > 0 {
				p.restoreSkipped(class)
				skipped = skippedBacklogs{}
				p.dispatchClass(now, Batch, true)
			}
		case tooLate:
			p.drop(class, w)
		case noRoom:
			if p.noRoomForAny(now, class, floor) {
				p.restoreSkipped(class)
				return
			}
			q.remove(class, b)
			q.skipped = append(q.skipped, b)
			skipped.count(b.owner)
		}
	}
	p.restoreSkipped(class)
}

// skippedBacklogs counts the backlogs whose head found no room in a dispatch.
type skippedBacklogs struct{ any, ofVersion int }

func (s *skippedBacklogs) count(c *customer) {
	if c.version == "" {
		s.any++
	} else {
		s.ofVersion++
	}
}

func (s *skippedBacklogs) tooMany() bool {
	return s.any >= maxSkippedBacklogs || s.ofVersion >= maxSkippedVersions
}

// restoreSkipped puts the skipped backlogs of a priority back into the heap.
func (p *Pool) restoreSkipped(class Priority) {
	for _, b := range p.queue.skipped {
		p.queue.insert(class, b)
	}
	p.queue.skipped = p.queue.skipped[:0]
}

// drop drops a waiting request and subtracts its cost from the customer's virtual
// finish time, because it was not served.
func (p *Pool) drop(class Priority, w *waitingRequest) {
	b := w.owner
	p.queue.take(class, w)
	b.virtualFinish = max(b.virtualFinish-w.cost/b.owner.weight, 0)
	if p.queue.ordered(class) {
		p.queue.updateStart(class, b)
	}
	p.recycle(w)
}

// refuseExpired refuses waiting requests whose deadline has passed, or all
// waiting requests if no runner takes new work.
func (p *Pool) refuseExpired(now time.Time) {
	if p.queue.count == 0 {
		return
	}
	if !p.anyRunnerAvailable(now) {
		p.queue.removeIf(func(w *waitingRequest) bool {
			p.refuse(w, ReasonNoRunner, p.cfg.NoRunnerRetry)
			return true
		}, p.recycle)
		return
	}
	p.refuseWithoutVersion(now)
	if !p.cfg.Refusal {
		return
	}
	p.queue.removeIf(func(w *waitingRequest) bool {
		late := !w.request.Deadline.IsZero() && !now.Before(w.request.Deadline)
		if late {
			p.refuse(w, ReasonDeadline, retryAfter(p.queue.cost[w.request.Priority]/p.serviceTokenRate(len(p.slots))))
		}
		return late
	}, p.recycle)
}

// refuseWithoutVersion refuses waiting requests whose version no runner has any longer.
func (p *Pool) refuseWithoutVersion(now time.Time) {
	p.queue.removeIf(func(w *waitingRequest) bool {
		if w.request.Version == "" || p.anyRunnerOfVersion(now, &w.request) || p.runnerExpected(now, &w.request) {
			return false
		}
		p.refuse(w, ReasonNoRunner, p.noRunnerRetry(&w.request))
		return true
	}, p.recycle)
}

// anyRunnerOfVersion reports whether a runner of the request's version takes new work.
func (p *Pool) anyRunnerOfVersion(now time.Time, req *Request) bool {
	return slices.ContainsFunc(p.runners[:], func(r *runner) bool {
		return r != nil && r.info.Version == req.Version && r.up(now, &p.cfg) && !r.info.Changing &&
			r.info.State == hosting.ServerLive && StageDecode.allowsRole(r.info.Role, &p.cfg) && !slices.Contains(req.Avoid, r.info.ID)
	})
}

// runnerExpected reports whether a runner of a required version changes its role and is
// expected to take the request before its deadline. A client that takes up a stream seldom
// comes back after a refusal.
func (p *Pool) runnerExpected(now time.Time, req *Request) bool {
	return req.Version != "" && p.cfg.DecodePrefills && slices.ContainsFunc(p.runners[:], func(r *runner) bool {
		return r != nil && r.info.Version == req.Version && r.info.Changing && !r.info.DecodesAt.IsZero() &&
			(req.Deadline.IsZero() || r.info.DecodesAt.Before(req.Deadline)) && r.up(now, &p.cfg) &&
			r.info.State == hosting.ServerLive && !slices.Contains(req.Avoid, r.info.ID)
	})
}

// noRunnerRetry returns the Retry-After value of a request that no runner can take. A
// runner of a required version is not replaced, but one that is down may come back.
func (p *Pool) noRunnerRetry(req *Request) time.Duration {
	if req.Version != "" && p.cfg.DownFor > 0 {
		return min(p.cfg.DownFor, p.cfg.NoRunnerRetry)
	}
	return p.cfg.NoRunnerRetry
}

// anyRunnerAvailable reports whether any runner takes new work.
func (p *Pool) anyRunnerAvailable(now time.Time) bool {
	v := p.view(now, &p.probeRequest, StageWhole, false)
	all := p.candidates(now, v)
	return slices.ContainsFunc(all, func(c Candidate) bool { return FilterUp{}.Keep(v, &c) })
}

// cancel removes a waiting request that its entry daemon withdrew.
func (p *Pool) cancel(ev *Cancelled) {
	p.queue.removeIf(func(w *waitingRequest) bool {
		return w.request.ID == ev.Request && w.request.Entry == ev.Entry
	}, p.recycle)
}

// settleCharge corrects the customer's virtual finish time by the difference
// between the tokens charged at the grant and the tokens used, and updates the
// customer's answer ratio.
func (p *Pool) settleCharge(t *ticket) {
	c := t.customer
	used := float64(t.prompt + t.produced)
	b := &c.class[t.priority]
	b.virtualFinish = max(b.virtualFinish+(used-t.chargedCost)/c.weight, 0)
	c.answerRatio += answerRatioGain * (float64(t.produced)/float64(t.limit) - c.answerRatio)
	p.learnAnswer(t)
}
