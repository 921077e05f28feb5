package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

type placement uint8

const (
	placed placement = iota
	noRoom
	tooLate
)

// fitness says how a request fits the pool's runners at present.
type fitness struct {
	// runners passes the static filters; tooSmall is set if only the memory of
	// the runners is too small.
	runners  int
	tooSmall bool
	// room is set if a runner has room now; otherwise wait is the shortest
	// predicted wait behind prompts until one has.
	room bool
	wait float64
	// first is the lowest predicted time to first token, idle the same on an
	// idle runner, in seconds.
	first, idle float64
}

func (p *Pool) view(now time.Time, w *waiting, stage Stage, floor bool) *View {
	p.sequence++
	p.viewing = View{
		Now: now, Request: &w.request, Stage: stage, Config: &p.cfg,
		Prompt: w.prompt, KV: w.kv, Sequence: p.sequence, Floor: floor,
		PrefillWait: p.prefillWait, BetweenTokens: p.betweenTokens,
	}
	return &p.viewing
}

// candidates collects the data of all runners into the scratch space.
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
			c.PerToken *= p.cfg.DecodeReadFactor
		}
		if p.cfg.PrefixAffinity {
			c.Cached = min(v.Request.prefixTokens(p.matches[r.slot]), v.Prompt-1)
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

// fit checks a new request against the runners, as a whole and split into
// prefill and decode.
func (p *Pool) fit(now time.Time, w *waiting) fitness {
	p.prefixes.match(w.request.Blocks, &p.matches)
	whole := p.fitStage(now, w, StageWhole)
	if w.request.Whole || !p.splits() {
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
	return fitness{
		runners: max(whole.runners, split.runners),
		room:    whole.room || split.room,
		wait:    min(whole.wait, split.wait),
		first:   min(whole.first, split.first),
		idle:    min(whole.idle, split.idle),
	}
}

func (p *Pool) fitSplit(now time.Time, w *waiting) fitness {
	prefill := p.fitStage(now, w, StagePrefill)
	decode := p.fitStage(now, w, StageDecode)
	if prefill.runners == 0 || decode.runners == 0 {
		return fitness{tooSmall: prefill.tooSmall || decode.tooSmall}
	}
	transfer := p.transferTime(w.prompt)
	return fitness{
		runners: min(prefill.runners, decode.runners),
		room:    prefill.room && decode.room,
		wait:    prefill.wait,
		first:   prefill.first + transfer,
		idle:    prefill.idle + transfer,
	}
}

func (p *Pool) fitStage(now time.Time, w *waiting, stage Stage) fitness {
	v := p.view(now, w, stage, false)
	f := fitness{first: -1, idle: -1, wait: -1}
	all := p.candidates(now, v)
	for i := range all {
		c := &all[i]
		if !p.cfg.Policy.keeps(v, c, true) {
			f.tooSmall = f.tooSmall || FilterUp{}.Keep(v, c) && !FilterMemory{}.Keep(v, c)
			continue
		}
		f.runners++
		spread := spreadFactor * p.runners[c.Slot].predict.first.spread
		lower(&f.first, c.FirstToken(w.prompt)+spread)
		lower(&f.idle, c.Fixed+c.PerToken*float64(max(w.prompt-c.Cached, 0)))
		lower(&f.wait, max(c.Wait-v.PrefillWait, 0))
		f.room = f.room || p.cfg.Policy.keeps(v, c, false)
	}
	return f
}

func lower(value *float64, other float64) {
	if *value < 0 || other < *value {
		*value = other
	}
}

func (p *Pool) transferTime(tokens int) float64 {
	return p.cfg.TransferDelay.Seconds() + float64(tokens)/p.cfg.TransferRate
}

// plan is a chosen place for a request.
type plan struct {
	runner, prefill Candidate
	split           bool
	first, cost     float64
}

// place grants a waiting request if a runner has room.
func (p *Pool) place(now time.Time, c *customer, w *waiting, floor bool) placement {
	p.prefixes.match(w.request.Blocks, &p.matches)
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
	p.grant(now, c, w, &best)
	return placed
}

// exhausted says whether no runner has room even for a request that needs no
// memory. Then no other waiting request has to be tried.
func (p *Pool) exhausted(now time.Time, class Priority, floor bool) bool {
	p.probe.request.Priority = class
	if !p.splits() {
		// The failed attempt has just collected the candidates, and a choice
		// without result leaves them as they are.
		v := p.view(now, &p.probe, StageWhole, floor)
		return !p.anyKept(v, p.collected)
	}
	return !p.hasRoom(now, StageWhole, floor) &&
		(!p.hasRoom(now, StagePrefill, floor) || !p.hasRoom(now, StageDecode, floor))
}

func (p *Pool) hasRoom(now time.Time, stage Stage, floor bool) bool {
	v := p.view(now, &p.probe, stage, floor)
	return p.anyKept(v, p.candidates(now, v))
}

func (p *Pool) anyKept(v *View, all []Candidate) bool {
	for i := range all {
		if p.cfg.Policy.keeps(v, &all[i], false) {
			return true
		}
	}
	return false
}

// lateness is the predicted delay of the first token past the deadline in
// seconds.
func (p *Pool) lateness(now time.Time, w *waiting, best *plan) float64 {
	if !p.cfg.Refusal || w.request.Deadline.IsZero() {
		return 0
	}
	spread := p.runners[best.prefill.Slot].predict.first.spread
	return best.first + spreadFactor*spread - w.request.Deadline.Sub(now).Seconds()
}

func (p *Pool) planWhole(now time.Time, w *waiting, floor bool) (plan, bool) {
	v := p.view(now, w, StageWhole, floor)
	c, ok := p.cfg.Policy.choose(v, p.candidates(now, v))
	if !ok {
		return plan{}, false
	}
	return plan{runner: c, prefill: c, first: c.FirstToken(w.prompt), cost: c.Score}, true
}

func (p *Pool) planSplit(now time.Time, w *waiting, floor bool) (plan, bool) {
	if !p.splits() {
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
		first: prefill.FirstToken(w.prompt) + transfer,
		cost:  prefill.Score + decode.Score + transfer,
	}, true
}

// splits says whether the pool has a runner that isn't mixed.
func (p *Pool) splits() bool {
	for _, r := range p.runners {
		if r != nil && r.info.Role != backend.RoleMixed {
			return true
		}
	}
	return false
}

// source returns the runner with the longest cached prefix if importing it
// saves time over reading the prompt, and the cached tokens after the import.
func (p *Pool) source(now time.Time, w *waiting, target *Candidate) (*runner, int) {
	if !p.cfg.Transfer || !p.cfg.PrefixAffinity {
		return nil, target.Cached
	}
	var best *runner
	cached := target.Cached
	for _, r := range p.runners {
		if r == nil || r.slot == target.Slot || !r.up(now, &p.cfg) {
			continue
		}
		have := min(w.request.prefixTokens(p.matches[r.slot]), w.prompt-1)
		saved := target.PerToken * float64(have-target.Cached)
		if have > cached && p.transferTime(have) < saved {
			best, cached = r, have
		}
	}
	return best, cached
}

// grant opens the ticket.
func (p *Pool) grant(now time.Time, c *customer, w *waiting, best *plan) {
	t := p.newTicket()
	source, cached := p.source(now, w, &best.prefill)
	t.entry, t.request = w.request.Entry, w.request.ID
	t.customer = c
	t.priority = w.request.Priority
	t.runner = p.runners[best.runner.Slot]
	t.prefiller = p.runners[best.prefill.Slot]
	t.prompt, t.limit = w.prompt, w.limit
	t.prefill = max(w.prompt-cached, 1)
	t.decode = w.expected
	t.kv = w.kv
	t.charged = w.cost
	t.aheadAt = t.prefiller.ahead(now) + float64(t.prefill)
	p.open(now, t)
	p.storeBlocks(t.prefiller, w.request.Blocks)
	t.blocks = w.request.Blocks
	p.act(p.granted(now, t, source, best))
}

func (p *Pool) granted(now time.Time, t *ticket, source *runner, best *plan) Granted {
	g := Granted{
		Entry: t.entry, Request: t.request, Ticket: t.id,
		Runner:        t.runner.info.ID,
		Expires:       now.Add(p.cfg.GrantTTL),
		FirstToken:    time.Duration(best.first * float64(time.Second)),
		BetweenTokens: time.Duration(best.runner.Between * float64(time.Second)),
	}
	if best.split {
		g.Prefill = t.prefiller.info.ID
	}
	if source != nil {
		g.KVSource = source.info.ID
	}
	return g
}

// adopt books a stream that is already running.
func (p *Pool) adopt(now time.Time, ev *Adopted) {
	r := p.runnerByID(ev.Runner)
	if r == nil {
		return
	}
	c := p.customer(ev.Request.Customer, ev.Request.Weight)
	w := p.prepare(&ev.Request, c)
	best := plan{}
	r.candidate(now, &p.cfg, &best.runner)
	best.prefill = best.runner
	best.first = best.runner.FirstToken(w.prompt)
	p.matches = [MaxRunners]int{}
	p.grant(now, c, w, &best)
	t := p.newest
	b := &c.class[t.priority]
	b.finish = max(b.finish, p.queue.virtual[t.priority]) + t.charged/c.weight
	if ev.Tokens > 0 {
		p.start(now, t)
		p.produce(t, ev.Tokens)
	}
	p.recycle(w)
}
