package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// ratioGain is the weight of the newest answer in a customer's ratio.
	ratioGain = 0.05
	// spreadFactor is the number of mean absolute errors that are added to a
	// predicted time before it is compared with a deadline.
	spreadFactor = 1.5
	// minRetry is the lowest Retry-After of a refusal that a retry can help.
	minRetry = 10 * time.Millisecond
	// dispatchSkips bounds the heads per step that are passed over because no
	// runner has room for them.
	dispatchSkips = 4
)

// serviceRate is the rate in tokens per second at which requests are granted
// while others wait.
type serviceRate struct {
	tokens, seconds float64
	// observed is the share of the initial estimate that has been replaced by
	// observations.
	observed float64
	last     time.Time
	pending  float64
}

const (
	// rateMemory is the time over which the service rate is averaged, in
	// seconds.
	rateMemory = 5.0
	// priorTime is the time of observation that the initial estimate counts as,
	// in seconds.
	priorTime = 3.0
)

func (s *serviceRate) served(cost float64) { s.pending += cost }

// pass adds the time since the last call if requests were waiting.
func (s *serviceRate) pass(now time.Time, backlogged bool) {
	elapsed := now.Sub(s.last).Seconds()
	s.last = now
	if !backlogged || elapsed <= 0 || elapsed > 1 {
		s.pending = 0
		return
	}
	keep := math.Exp(-elapsed / rateMemory)
	s.tokens = s.tokens*keep + s.pending
	s.seconds = s.seconds*keep + elapsed
	s.observed = 1 - (1-s.observed)*keep
	s.pending = 0
}

// perSecond returns the rate; estimate is the rate to start from.
func (s *serviceRate) perSecond(estimate float64) float64 {
	prior := priorTime * (1 - s.observed)
	return max((s.tokens+prior*estimate)/(s.seconds+prior+1e-9), 1)
}

// tokenRate is the pool's service rate. It starts from the rate at which the
// runners read prompts.
func (p *Pool) tokenRate(runners int) float64 {
	return p.rate.perSecond(float64(max(runners, 1)) / p.learned.first.b)
}

// prepare cuts the counts of a request and estimates its cost.
func (p *Pool) prepare(req *Request, c *customer) *waiting {
	w := p.free
	if w == nil {
		w = &waiting{}
	} else {
		p.free = w.next
	}
	*w = waiting{request: *req}
	if w.request.Priority >= priorities {
		w.request.Priority = Batch
	}
	if !p.cfg.Priorities {
		w.request.Priority = Interactive
	}
	w.prompt = min(max(req.PromptTokens, 1), MaxTokens)
	w.limit = min(max(req.MaxTokens, 1), MaxTokens)
	w.expected = max(int(c.ratio*float64(w.limit)), 1)
	w.kv = w.prompt + w.expected
	w.cost = float64(w.prompt + w.expected)
	return w
}

func (p *Pool) recycle(w *waiting) {
	*w = waiting{next: p.free}
	p.free = w
}

// request admits, queues or refuses a new request.
func (p *Pool) request(now time.Time, req *Request) {
	c := p.customer(req.Customer, req.Weight)
	w := p.prepare(req, c)
	p.arrived.ArrivedPrefill += float64(w.prompt)
	p.arrived.ArrivedDecode += float64(w.expected)
	if w.request.Priority == Batch {
		p.arrived.ArrivedBatch += w.cost
	}
	if reason, retry := p.reject(now, c, w); reason != "" {
		p.refuse(w, reason, retry)
		p.recycle(w)
		return
	}
	p.queue.catchUp = p.catchUp(c, w)
	p.queue.push(c, w)
}

// catchUp converts Config.CatchUp to virtual time at the present rate.
func (p *Pool) catchUp(c *customer, w *waiting) float64 {
	active := p.queue.weight[w.request.Priority] + c.weight
	return p.cfg.CatchUp.Seconds() * p.tokenRate(len(p.slots)) / active
}

func (p *Pool) refuse(w *waiting, reason Reason, retry time.Duration) {
	p.act(Refused{Entry: w.request.Entry, Request: w.request.ID, Reason: reason, RetryAfter: retry, Queued: p.queue.count, Runners: len(p.slots)})
}

// reject decides whether a new request has to be refused.
func (p *Pool) reject(now time.Time, c *customer, w *waiting) (Reason, time.Duration) {
	fit := p.fit(now, w)
	if fit.runners == 0 {
		if fit.tooSmall {
			return ReasonImpossible, 0
		}
		return ReasonNoRunner, p.cfg.NoRunnerRetry
	}
	wait := p.queueWait(c, w, fit.runners)
	if !fit.room && p.queue.count == 0 {
		wait = max(wait, fit.wait)
	}
	if p.cfg.Refusal && !w.request.Deadline.IsZero() {
		budget := w.request.Deadline.Sub(now).Seconds()
		if fit.idle > budget {
			return ReasonImpossible, 0
		}
		if late := wait + fit.first - budget; late > 0 {
			return ReasonDeadline, retryAfter(late)
		}
	}
	if p.full(c, w, fit.runners) {
		return ReasonOverloaded, retryAfter(max(wait, w.cost/p.tokenRate(fit.runners)))
	}
	return "", 0
}

// retryMargin covers the change of the prediction until the retry.
const retryMargin = 1.25

func retryAfter(seconds float64) time.Duration {
	return max(time.Duration(retryMargin*seconds*float64(time.Second)), minRetry)
}

// queueWait predicts the time in seconds until the request is at the head: the
// time until virtual time reaches the customer's last finish time, which
// contains its own backlog, but never later than the whole backlog. Without a
// backlog there is no wait.
func (p *Pool) queueWait(c *customer, w *waiting, runners int) float64 {
	class := w.request.Priority
	q := &p.queue
	total := q.cost[class]
	rate := p.tokenRate(runners)
	if p.cfg.Priorities && class == Batch && q.cost[Interactive] > 0 {
		total += q.cost[Interactive]
		rate = max(rate*p.cfg.BatchFloor, 1)
	}
	if total == 0 {
		return 0
	}
	ahead := total
	if p.cfg.FairQueueing {
		weights := q.weight[class]
		b := &c.class[class]
		if b.head == nil {
			weights += c.weight
		}
		// Virtual time passes the finish of the customer's last request when its
		// turn comes; it advances by one per weight and token.
		ahead = min(total, max(b.finish-q.virtual[class], 0)*weights)
	}
	return ahead / rate
}

// full says whether too many requests wait. Up to twice the bound a customer
// below its share of the bound is still accepted, so that a flood by one
// customer doesn't shut out the others.
func (p *Pool) full(c *customer, w *waiting, runners int) bool {
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

// dispatch grants waiting requests while runners have room.
func (p *Pool) dispatch(now time.Time) {
	q := &p.queue
	p.rate.pass(now, q.count > 0)
	if q.count == 0 {
		return
	}
	batchFirst := p.cfg.Priorities && q.credit > 0 && len(q.heap[Interactive]) > 0
	if batchFirst {
		p.dispatchClass(now, Batch, true)
	}
	p.dispatchClass(now, Interactive, false)
	p.dispatchClass(now, Batch, false)
}

// dispatchClass serves one priority. With floor set it stops when the credit of
// the batch floor is used up.
func (p *Pool) dispatchClass(now time.Time, class Priority, floor bool) {
	q := &p.queue
	for len(q.heap[class]) > 0 && len(q.skipped) < dispatchSkips {
		if floor && q.credit <= 0 {
			break
		}
		b := q.heap[class][0]
		switch p.place(now, b.owner, b.head, floor) {
		case placed:
			w := q.pop(class, b)
			p.rate.served(w.cost)
			q.serve(w, p.cfg.BatchFloor)
			p.recycle(w)
			if class == Interactive && p.cfg.Priorities && q.credit > 0 && len(q.heap[Batch]) > 0 {
				p.restore(class)
				p.dispatchClass(now, Batch, true)
			}
		case tooLate:
			p.unserved(class, b)
		case noRoom:
			if p.exhausted(now, class, floor) {
				p.restore(class)
				return
			}
			q.remove(class, b)
			q.skipped = append(q.skipped, b)
		}
	}
	p.restore(class)
}

// restore puts the skipped backlogs of a class back.
func (p *Pool) restore(class Priority) {
	for _, b := range p.queue.skipped {
		p.queue.insert(class, b)
	}
	p.queue.skipped = p.queue.skipped[:0]
}

// unserved drops the head of a backlog and takes its cost off the customer's
// account.
func (p *Pool) unserved(class Priority, b *backlog) {
	w := p.queue.pop(class, b)
	b.finish = max(b.finish-w.cost/b.owner.weight, 0)
	p.recycle(w)
}

// sweep refuses waiting requests whose deadline has passed, and all of them
// while the pool has no runner.
func (p *Pool) sweep(now time.Time) {
	if p.queue.count == 0 {
		return
	}
	if !p.anyUp(now) {
		p.queue.removeIf(func(w *waiting) bool {
			p.refuse(w, ReasonNoRunner, p.cfg.NoRunnerRetry)
			return true
		}, p.recycle)
		return
	}
	if !p.cfg.Refusal {
		return
	}
	p.queue.removeIf(func(w *waiting) bool {
		late := !w.request.Deadline.IsZero() && !now.Before(w.request.Deadline)
		if late {
			p.refuse(w, ReasonDeadline, retryAfter(p.queue.cost[w.request.Priority]/p.tokenRate(len(p.slots))))
		}
		return late
	}, p.recycle)
}

// anyUp says whether a runner takes new work.
func (p *Pool) anyUp(now time.Time) bool {
	v := p.view(now, &p.probe, StageWhole, false)
	all := p.candidates(now, v)
	return slices.ContainsFunc(all, func(c Candidate) bool { return FilterUp{}.Keep(v, &c) })
}

func (p *Pool) cancel(ev *Cancelled) {
	p.queue.removeIf(func(w *waiting) bool {
		return w.request.ID == ev.Request && w.request.Entry == ev.Entry
	}, p.recycle)
}

// settle corrects the customer's account by the difference between charge and
// use, and learns the length of its answers.
func (p *Pool) settle(t *ticket) {
	c := t.customer
	used := float64(t.prompt + t.produced)
	b := &c.class[t.priority]
	b.finish = max(b.finish+(used-t.charged)/c.weight, 0)
	c.ratio += ratioGain * (float64(t.produced)/float64(t.limit) - c.ratio)
}
