package compare

import (
	"fmt"
	"time"

	"github.com/mimosakeel/mimosakeel/load"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/standin/engine"
)

// callState is the state of a call. A call that is requesting waits for a grant;
// one that is running has been sent to a runner.
type callState uint8

const (
	requesting callState = iota
	running
	ended
)

// call is one request of a client, as its entry daemon handles it.
type call struct {
	cluster *cluster
	arrival *load.Arrival
	blocks  []uint64
	entry   int
	state   callState
	// id identifies the current grant request and its grant. attempt counts grant
	// requests, so that callbacks of an earlier one are ignored.
	id          string
	attempt     int
	requestedAt time.Time
	deadline    time.Time
	avoid       string
	// routes are the schedulers in the order of pool.WeightedOrder; route is the
	// index of the current one.
	routes []*scheduler
	route  int
	// acknowledged is set when the scheduler has received the grant request.
	acknowledged bool

	scheduler *scheduler
	pool      *pool.Pool
	ticket    pool.Ticket
	placement *pool.Placement
	runner    string
	engine    *simEngine
	key       string
	grantedAt time.Time
	// firstAfterGrant is the time from the grant to the first token after it; 0
	// until that token arrives.
	firstAfterGrant time.Duration
	// position is the number of tokens received, basePosition its value when the
	// current grant was requested.
	position, basePosition int
	// reported and reportedAt are position and lastToken at the last progress
	// report.
	reported   int
	reportedAt time.Time
	// firstToken and lastToken are arrival times at the client.
	firstToken, lastToken time.Time
	gaps                  []time.Duration
	admitted              bool
	resumes               int
	outcome               load.Outcome
	reason                pool.Reason
	decision              time.Duration
}

// startCall handles a new request at its entry daemon.
func (c *cluster) startCall(a *load.Arrival) {
	r := &call{cluster: c, arrival: a, blocks: blocks(a), entry: a.Number % entryCount}
	c.allCalls = append(c.allCalls, r)
	r.routes = c.routes()
	r.setDeadline()
	r.requestedAt = c.now
	r.requestGrant()
	if a.Patience > 0 {
		c.at(c.start.Add(a.At+a.Patience+c.profile.ToClients), r.leaveIfWaiting)
	}
}

func (r *call) setDeadline() {
	limit := firstTokenLimit
	if r.arrival.Kind == load.KindBatch {
		limit = batchDeadline
	}
	r.deadline = r.cluster.now.Add(limit)
}

func (r *call) leaveIfWaiting() {
	if r.firstToken.IsZero() && r.state != ended {
		r.abandon()
		r.end(load.OutcomeLeftWaiting)
	}
}

func (r *call) grantRequest() pool.Request {
	limit := maxTokens(r.arrival.OutputTokens)
	if r.cluster.policy.Oracle {
		limit = r.arrival.OutputTokens
	}
	req := pool.Request{
		ID: r.id, Entry: fmt.Sprintf("entry-%d", r.entry),
		Customer: customerName(r.arrival.Customer), Weight: weights[r.arrival.Customer],
		PromptTokens: r.arrival.PromptTokens + r.basePosition, MaxTokens: limit - r.basePosition,
		Blocks: r.blocks, Deadline: r.deadline, Avoid: avoidList(r.avoid),
	}
	if r.arrival.Kind == load.KindBatch {
		req.Priority = pool.Batch
	}
	return req
}

// requestGrant requests a grant from the scheduler of the current route. If the
// scheduler doesn't receive the request within schedulerTimeout, the request is
// placed without it.
func (r *call) requestGrant() {
	c := r.cluster
	delete(c.calls, r.id)
	r.attempt++
	r.id = c.nextKey()
	c.calls[r.id] = r
	r.state, r.acknowledged, r.basePosition = requesting, false, r.position
	r.scheduler = r.routes[r.route]
	s, id, req := r.scheduler, r.id, r.grantRequest()
	c.after(c.profile.BetweenDomains, func() {
		if !s.down {
			r.acknowledged = r.acknowledged || r.id == id
			s.step(pool.GrantRequested{Request: req})
		}
	})
	c.after(schedulerTimeout, func() {
		if r.id == id && r.state == requesting && !r.acknowledged {
			r.placeWithoutScheduler()
		}
	})
}

// placeWithoutScheduler places the request by the last summary of the scheduler.
func (r *call) placeWithoutScheduler() {
	req := r.grantRequest()
	placement, ok := r.scheduler.fallbacks[r.entry].Choose(&req, r.cluster.random.Uint64())
	if !ok {
		r.handleRefusal(pool.ReasonNoRunner)
		return
	}
	r.placement, r.ticket, r.pool = &placement, 0, nil
	r.dispatch(placement.Runner, "", "")
}

func (r *call) handleGrant(s *scheduler, g *pool.Granted) {
	if r.state == running && r.ticket == 0 && r.runner == g.Runner {
		r.ticket = g.Ticket
		return
	}
	if r.state != requesting {
		return
	}
	r.ticket, r.pool = g.Ticket, s.pool
	r.dispatch(g.Runner, g.Prefill, g.KVSource)
}

// handleRefusal tries the next pool, or ends the request after the last one.
func (r *call) handleRefusal(reason pool.Reason) {
	r.route++
	if r.route < len(r.routes) {
		r.requestGrant()
		return
	}
	r.reason = reason
	r.decision = r.cluster.now.Sub(r.requestedAt)
	if r.position > 0 || r.resumes > 0 {
		r.end(load.OutcomeCut)
		return
	}
	r.end(load.OutcomeRefused)
}

// dispatch sends the request to its runner. If the grant names them, a separate
// runner does the prefill or cached blocks are imported from a source first.
func (r *call) dispatch(runner, prefill, source string) {
	c := r.cluster
	r.state, r.runner, r.key = running, runner, ""
	r.admitted = true
	r.grantedAt, r.firstAfterGrant = c.now, 0
	r.reported, r.reportedAt = r.basePosition, c.now
	attempt := r.attempt
	target := c.byID[runner]
	c.after(c.profile.BetweenDomains, func() {
		if r.attempt != attempt || r.state != running {
			return
		}
		switch {
		case prefill != "":
			r.prefill(c.byID[prefill], target)
		case source != "":
			c.transferKV(c.byID[source], target, r.blocks, func() { r.submit(attempt, target) })
		default:
			r.submit(attempt, target)
		}
	})
}

// prefill runs the prompt and the first token on one engine, then transfers the
// KV cache to the engine that generates the rest.
func (r *call) prefill(from, to *simEngine) {
	attempt := r.attempt
	r.run(from, r.position+1, func() {
		if r.attempt != attempt || r.state != running {
			return
		}
		if r.position >= r.arrival.OutputTokens {
			r.finish()
			return
		}
		r.key = ""
		r.cluster.transferKV(from, to, r.blocks, func() { r.submit(attempt, to) })
	})
}

func (r *call) submit(attempt int, e *simEngine) {
	if r.attempt == attempt && r.state == running {
		r.run(e, r.arrival.OutputTokens, r.finish)
	}
}

// run submits the request to an engine, which generates the tokens up to a
// position, and calls done at the end.
func (r *call) run(e *simEngine, until int, done func()) {
	c := r.cluster
	attempt := r.attempt
	t := &task{call: r}
	current := func() bool { return r.attempt == attempt && r.state == running }
	t.onToken = func(at time.Time, position int) {
		if current() {
			r.recordToken(e, at.Add(c.profile.BetweenDomains+c.profile.ToClients), position)
		}
	}
	t.onDone = func() {
		if current() {
			done()
		}
	}
	t.onRefused = func() {
		if current() {
			r.avoid = r.runner
			r.release("")
			r.resume()
		}
	}
	t.onFailed = func() {
		if current() {
			r.handleFailure()
		}
	}
	e.submit(engine.Request{
		PromptTokens: r.arrival.PromptTokens, OutputTokens: until, ResumeFrom: r.position,
		Blocks: r.blocks, Priority: enginePriority(r.arrival.Kind),
	}, t)
	r.engine = e
}

func enginePriority(kind load.Kind) engine.Priority {
	if kind == load.KindBatch {
		return engine.PriorityBatch
	}
	return engine.PriorityInteractive
}

// recordToken records a token that reaches the client at a time. It ignores a
// token that isn't the next one.
func (r *call) recordToken(e *simEngine, at time.Time, position int) {
	if position != r.position {
		return
	}
	if r.firstToken.IsZero() {
		r.firstToken = at
	} else {
		r.gaps = append(r.gaps, at.Sub(r.lastToken))
	}
	if r.firstAfterGrant == 0 {
		r.firstAfterGrant = at.Sub(r.grantedAt) - r.cluster.profile.ToClients
	}
	r.lastToken = at
	r.position++
	e.deliveredTokens++
	if r.position == 1 {
		e.deliveredTokens += float64(r.arrival.PromptTokens)
	}
}

// abandon cancels the pending grant request or the work of the current grant.
func (r *call) abandon() {
	c := r.cluster
	s, id, entry := r.scheduler, r.id, fmt.Sprintf("entry-%d", r.entry)
	if r.state == requesting {
		c.after(c.profile.BetweenDomains, func() { s.step(pool.Cancelled{Entry: entry, Request: id}) })
		return
	}
	if e := r.engine; e != nil && r.key != "" {
		e.cancel(r.key)
	}
	r.release("")
}

// release returns the ticket to the scheduler. down is a runner to report as
// failed, or empty.
func (r *call) release(down string) {
	c := r.cluster
	if r.placement != nil {
		r.placement.Done()
		r.placement = nil
	}
	s, ticket, tokens := r.scheduler, r.ticket, r.position-r.basePosition
	c.after(c.profile.BetweenDomains, func() {
		if down != "" {
			s.step(pool.RunnerDown{Runner: down})
		}
		s.step(pool.Released{Ticket: ticket, Tokens: tokens})
	})
}

// handleFailure resumes the request on another runner after its runner failed.
func (r *call) handleFailure() {
	r.avoid = r.runner
	r.release(r.runner)
	r.resume()
}

// vacate moves the request away from a runner that is about to stop.
func (r *call) vacate() {
	r.avoid = r.runner
	r.abandon()
	r.resume()
}

func (r *call) resume() {
	r.resumes++
	r.route = 0
	if r.position > 0 {
		r.setDeadline()
	}
	if r.resumes > maxResumes {
		r.end(load.OutcomeCut)
		return
	}
	r.requestGrant()
}

func (r *call) finish() {
	r.release("")
	r.end(load.OutcomeWhole)
}

func (r *call) end(outcome load.Outcome) {
	r.state, r.outcome = ended, outcome
	r.attempt++
	delete(r.cluster.calls, r.id)
}

// avoidList returns the runners to avoid: the last one that failed, refused or was
// vacated, if any.
func avoidList(runner string) []string {
	if runner == "" {
		return nil
	}
	return []string{runner}
}
