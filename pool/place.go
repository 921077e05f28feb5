package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// placeResult is the result of an attempt to place a waiting request.
type placeResult uint8

const (
	placed placeResult = iota
	// noRoom means that no runner has room for the request; it stays in the queue.
	noRoom
	// untimely means that the request would miss its objective, while others may
	// still meet theirs.
	untimely
	// tooLate means that the request was refused because its deadline would be
	// missed.
	tooLate
)

// feasibility describes which runners could serve a request at present and how
// soon.
type feasibility struct {
	// runners is the number of runners that pass the static filters. tooSmall is
	// set if a runner that is up was dropped because its memory is too small.
	runners  int
	tooSmall bool
	// hasRoomNow is set if a runner passes all filters now. wait is the shortest
	// time in seconds until a runner's predicted prefill wait is within its bound.
	hasRoomNow bool
	wait       float64
	// firstToken is the lowest predicted time to first token under the present
	// load, including the error margin, and idleFirstToken that on an idle runner,
	// in seconds.
	firstToken, idleFirstToken float64
}

// view sets up the input of the plugins for one decision. It is valid until the
// next call.
func (p *Pool) view(now time.Time, w *waitingRequest, stage Stage, floor bool) *View {
	p.sequence++
	p.currentView = View{
		Now: now, Request: &w.request, Stage: stage, Config: &p.cfg,
		Prompt: w.prompt, KV: w.kv, Sequence: p.sequence, UnderBatchFloor: floor,
		PrefillWait: p.waitBound(w, floor), BetweenTokens: p.betweenTokens,
	}
	return &p.currentView
}

// candidates collects the data of all runners into the scratch buffer, which the
// next call overwrites.
func (p *Pool) candidates(now time.Time, v *View) []Candidate {
	out := p.scratch[:0]
	sum, up := 0.0, 0
	for _, r := range p.runners {
		if r == nil {
			continue
		}
		out = append(out, Candidate{})
		c := &out[len(out)-1]
		r.candidate(now, &p.cfg, c)
		if v.Stage == StageWhole && r.info.Role == backend.RoleDecode {
			c.PrefillPerToken *= p.cfg.DecodePrefillFactor
		}
		if p.cfg.PrefixAffinity {
			c.Cached = min(v.Request.prefixTokens(p.prefixMatches[r.slot]), v.Prompt-1)
		}
		if c.Up {
			sum += c.Load()
			up++
		}
	}
	v.MeanLoad = sum / float64(max(up, 1))
	p.collected = out
	return out
}

// fit checks a new request against the runners, both with prefill and decode on
// one runner and with the two on separate runners.
func (p *Pool) fit(now time.Time, w *waitingRequest) feasibility {
	p.prefixes.match(w.request.Blocks, &p.prefixMatches)
	whole := p.fitStage(now, w, StageWhole)
	if w.request.Whole || !p.hasSplitRoles() {
		return whole
	}
	split := p.fitSplit(now, w)
	switch {
	case split.runners == 0:
		whole.tooSmall = whole.tooSmall || split.tooSmall
		return whole
	case whole.runners == 0:
		return split
	}
	return feasibility{
		runners:        max(whole.runners, split.runners),
		hasRoomNow:     whole.hasRoomNow || split.hasRoomNow,
		wait:           min(whole.wait, split.wait),
		firstToken:     min(whole.firstToken, split.firstToken),
		idleFirstToken: min(whole.idleFirstToken, split.idleFirstToken),
	}
}

// fitSplit checks a request with prefill and decode on separate runners.
func (p *Pool) fitSplit(now time.Time, w *waitingRequest) feasibility {
	prefill := p.fitStage(now, w, StagePrefill)
	decode := p.fitStage(now, w, StageDecode)
	if prefill.runners == 0 || decode.runners == 0 {
		return feasibility{tooSmall: prefill.tooSmall || decode.tooSmall}
	}
	transfer := p.transferTime(w.prompt)
	return feasibility{
		runners:        min(prefill.runners, decode.runners),
		hasRoomNow:     prefill.hasRoomNow && decode.hasRoomNow,
		wait:           prefill.wait,
		firstToken:     prefill.firstToken + transfer,
		idleFirstToken: prefill.idleFirstToken + transfer,
	}
}

func (p *Pool) fitStage(now time.Time, w *waitingRequest, stage Stage) feasibility {
	v := p.view(now, w, stage, false)
	f := feasibility{firstToken: -1, idleFirstToken: -1, wait: -1}
	all := p.candidates(now, v)
	for i := range all {
		c := &all[i]
		if !p.cfg.Policy.passes(v, c, true) {
			f.tooSmall = f.tooSmall || FilterUp{}.Keep(v, c) && !FilterMemory{}.Keep(v, c)
			continue
		}
		f.runners++
		setMin(&f.firstToken, c.FirstToken(w.prompt)+p.errorMargin(w, c.Slot))
		setMin(&f.idleFirstToken, c.FixedTime+c.PrefillPerToken*float64(max(w.prompt-c.Cached, 0)))
		setMin(&f.wait, max(c.Wait-v.PrefillWait, c.LimitWait, 0))
		f.hasRoomNow = f.hasRoomNow || p.cfg.Policy.passes(v, c, false)
	}
	return f
}

// setMin sets value to other if other is lower or if value is negative, that is,
// not set yet.
func setMin(value *float64, other float64) {
	if *value < 0 || other < *value {
		*value = other
	}
}

// transferTime predicts the time of a KV transfer in seconds.
func (p *Pool) transferTime(tokens int) float64 {
	return p.cfg.TransferDelay.Seconds() + float64(tokens)/p.cfg.TransferRate
}

// plan is a candidate placement of a request.
type plan struct {
	// runner does the decode and prefill the prefill; they are the same unless
	// split is set.
	runner, prefill Candidate
	split           bool
	// firstToken is the predicted time to first token and cost the score, in
	// seconds.
	firstToken, cost float64
}

// place grants a waiting request if a runner has room. It refuses the request if
// its first token is predicted to miss the deadline.
func (p *Pool) place(now time.Time, c *customer, w *waitingRequest, floor bool) placeResult {
	p.prefixes.match(w.request.Blocks, &p.prefixMatches)
	best, ok := p.planWhole(now, w, floor)
	if (p.cfg.Transfer || !ok) && !w.request.Whole {
		if split, found := p.planSplit(now, w, floor); found && (!ok || split.cost < best.cost) {
			best, ok = split, true
		}
	}
	if !ok {
		return noRoom
	}
	if late := p.lateness(now, w, &best); late > 0 {
		p.refuse(w, ReasonDeadline, retryAfter(late))
		return tooLate
	}
	if p.queue.ordered(w.request.Priority) && w.isUntimely(now, &best) {
		return untimely
	}
	p.grant(now, c, w, &best)
	return placed
}

// noRoomForAny reports whether no runner has room even for a request that needs
// no memory. If so, no other waiting request of the priority needs to be tried.
func (p *Pool) noRoomForAny(now time.Time, class Priority, floor bool) bool {
	p.probeRequest.request.Priority = class
	if !p.hasSplitRoles() {
		// The failed attempt has just collected the candidates, and Policy.choose
		// leaves them unchanged if it keeps none.
		v := p.view(now, &p.probeRequest, StageWhole, floor)
		return !p.anyKept(v, p.collected)
	}
	return !p.hasRoom(now, StageWhole, floor) &&
		(!p.hasRoom(now, StagePrefill, floor) || !p.hasRoom(now, StageDecode, floor))
}

func (p *Pool) hasRoom(now time.Time, stage Stage, floor bool) bool {
	v := p.view(now, &p.probeRequest, stage, floor)
	return p.anyKept(v, p.candidates(now, v))
}

func (p *Pool) anyKept(v *View, all []Candidate) bool {
	for i := range all {
		if p.cfg.Policy.passes(v, &all[i], false) {
			return true
		}
	}
	return false
}

// errorMargin returns the seconds that are added to the predicted time to first token on
// a runner. Requests that continue a stream have no margin: a refusal ends the stream, since
// its client has little time left for another attempt.
func (p *Pool) errorMargin(w *waitingRequest, slot int) float64 {
	if w.request.Version != "" {
		return 0
	}
	return errorMarginFactor * p.runners[slot].predictor.firstToken.meanAbsError
}

// lateness returns by how many seconds the first token is predicted to miss the
// deadline, with the error margin; it is not positive if the deadline is met.
func (p *Pool) lateness(now time.Time, w *waitingRequest, best *plan) float64 {
	if !p.cfg.Refusal || w.request.Deadline.IsZero() {
		return 0
	}
	return best.firstToken + p.errorMargin(w, best.prefill.Slot) - w.request.Deadline.Sub(now).Seconds()
}

// planWhole chooses one runner for prefill and decode.
func (p *Pool) planWhole(now time.Time, w *waitingRequest, floor bool) (plan, bool) {
	v := p.view(now, w, StageWhole, floor)
	c, ok := p.cfg.Policy.choose(v, p.candidates(now, v))
	if !ok {
		return plan{}, false
	}
	return plan{runner: c, prefill: c, firstToken: c.FirstToken(w.prompt), cost: c.Score}, true
}

// planSplit chooses separate runners for prefill and decode.
func (p *Pool) planSplit(now time.Time, w *waitingRequest, floor bool) (plan, bool) {
	if !p.hasSplitRoles() {
		return plan{}, false
	}
	v := p.view(now, w, StagePrefill, floor)
	prefill, ok := p.cfg.Policy.choose(v, p.candidates(now, v))
	if !ok {
		return plan{}, false
	}
	v = p.view(now, w, StageDecode, floor)
	decode, ok := p.cfg.Policy.choose(v, p.candidates(now, v))
	if !ok || decode.Slot == prefill.Slot {
		return plan{}, false
	}
	transfer := p.transferTime(w.prompt)
	return plan{
		runner: decode, prefill: prefill, split: true,
		firstToken: prefill.FirstToken(w.prompt) + transfer,
		cost:       prefill.Score + decode.Score + transfer,
	}, true
}

// hasSplitRoles reports whether the pool has a runner for prefill only or
// decode only.
func (p *Pool) hasSplitRoles() bool {
	for _, r := range p.runners {
		if r != nil && r.info.Role != backend.RoleMixed {
			return true
		}
	}
	return false
}

// kvSource returns the runner of the target's version with the longest cached prefix
// whose import is faster than its prefill on the target, nil if there is none, and the number
// of cached prompt tokens after the import.
func (p *Pool) kvSource(now time.Time, w *waitingRequest, target *Candidate) (*runner, int) {
	if !p.cfg.Transfer || !p.cfg.PrefixAffinity {
		return nil, target.Cached
	}
	var best *runner
	cached := target.Cached
	for _, r := range p.runners {
		if r == nil || r.slot == target.Slot || r.info.Version != target.Info.Version || !r.up(now, &p.cfg) {
			continue
		}
		have := min(w.request.prefixTokens(p.prefixMatches[r.slot]), w.prompt-1)
		saved := target.PrefillPerToken * float64(have-target.Cached)
		if have > cached && p.transferTime(have) < saved {
			best, cached = r, have
		}
	}
	return best, cached
}

// grant opens a ticket for a planned request and emits Granted.
func (p *Pool) grant(now time.Time, c *customer, w *waitingRequest, best *plan) {
	t := p.newTicket()
	source, cached := p.kvSource(now, w, &best.prefill)
	t.entry, t.request = w.request.Entry, w.request.ID
	t.customer = c
	t.priority = w.request.Priority
	t.runner = p.runners[best.runner.Slot]
	t.prefillRunner = p.runners[best.prefill.Slot]
	t.prompt, t.limit = w.prompt, w.limit
	t.prefill = max(w.prompt-cached, 1)
	t.decode = w.expected
	t.kv = w.kv
	t.chargedCost = w.cost
	t.backlogAtGrant = t.prefillRunner.prefillBacklog(now) + float64(t.prefill)
	t.runner.limit.Take(now)
	if t.prefillRunner != t.runner {
		t.prefillRunner.limit.Take(now)
	}
	p.openTicket(now, t)
	p.storeBlocks(t.prefillRunner, w.request.Blocks)
	t.blocks = w.request.Blocks
	granted := p.grantedAction(now, t, source, best)
	granted.Late = w.lane == laneLate
	p.emit(granted)
}

func (p *Pool) grantedAction(now time.Time, t *ticket, source *runner, best *plan) Granted {
	g := Granted{
		Entry: t.entry, Request: t.request, Ticket: t.id,
		Runner:        t.runner.info.ID,
		Expires:       now.Add(p.cfg.GrantTTL),
		FirstToken:    time.Duration(best.firstToken * float64(time.Second)),
		BetweenTokens: time.Duration(best.runner.BetweenTokens * float64(time.Second)),
	}
	if best.split {
		g.Prefill = t.prefillRunner.info.ID
	}
	if source != nil {
		g.KVSource = source.info.ID
	}
	return g
}

// adopt opens a ticket for a stream that is already running.
func (p *Pool) adopt(now time.Time, ev *Adopted) {
	r := p.runnerByID(ev.Runner)
	if r == nil {
		return
	}
	c := p.customer(&ev.Request)
	w := p.newWaiting(&ev.Request, c)
	best := plan{}
	r.candidate(now, &p.cfg, &best.runner)
	best.prefill = best.runner
	best.firstToken = best.runner.FirstToken(w.prompt)
	p.prefixMatches = [MaxRunners]int{}
	p.grant(now, c, w, &best)
	t := p.newest
	b := &c.class[t.priority]
	b.virtualFinish = max(b.virtualFinish, p.queue.virtualTime[t.priority]) + t.chargedCost/c.weight
	if ev.Tokens > 0 {
		p.startDecode(now, t)
		p.recordTokens(t, ev.Tokens)
	}
	p.recycle(w)
}
