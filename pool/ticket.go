package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// ticket is an open grant. Open tickets form a list in the order of their last
// progress, so that expiry only has to check the oldest.
type ticket struct {
	id       Ticket
	entry    string
	request  string
	customer *customer
	priority Priority
	runner   *runner
	// prefillRunner does the prefill; from the first token on it equals runner.
	prefillRunner *runner
	// prefill and decode are the outstanding work in tokens.
	prefill int
	decode  int
	// kv and prefillKV are the KV memory in tokens that is reserved on runner and
	// on a separate prefillRunner.
	kv        int
	prefillKV int
	// prompt is the length of the prompt, limit the maximum length of the answer
	// and produced its length so far, in tokens.
	prompt   int
	limit    int
	produced int
	// chargedCost is the cost that the customer was charged at the grant, in tokens.
	chargedCost float64
	// started is set once the first token was reported.
	started bool
	// blocks are the prefix blocks of the prompt, which the runner caches once the
	// ticket has started.
	blocks  []uint64
	granted time.Time
	// lastProgress is the time of the grant or of the last progress report.
	lastProgress time.Time
	// backlogAtGrant is the prefill work of prefillRunner at the grant, including
	// this ticket's, in tokens.
	backlogAtGrant float64
	prev, next     *ticket
}

// openTicket numbers a ticket and adds it to the counts of its runners and its
// customer.
func (p *Pool) openTicket(now time.Time, t *ticket) {
	p.lastTicket++
	t.id = p.lastTicket
	t.granted = now
	t.customer.open++
	p.tickets[t.id] = t
	p.arrived.recordGrant(t)
	if t.prefillRunner.prefill == 0 {
		t.prefillRunner.prefillStart = now
	}
	t.prefillRunner.prefill += t.prefill
	t.runner.decode += t.decode
	t.runner.kv += t.kv
	t.runner.open++
	if t.prefillRunner != t.runner {
		t.prefillKV = t.prompt
		t.prefillRunner.kv += t.prefillKV
		t.prefillRunner.open++
	}
	p.touch(now, t)
}

// prefilled records the end of the prefill on a separate prefill runner. The KV
// memory there stays reserved until the first token, that is, until the transfer
// has ended.
func (p *Pool) prefilled(now time.Time, ev *Prefilled) {
	t := p.tickets[ev.Ticket]
	if t == nil || t.started || t.prefill == 0 || t.prefillRunner == t.runner {
		return
	}
	p.touch(now, t)
	t.prefillRunner.lastHeard = now
	p.learnPrefill(now, t, ev.Took)
	p.endPrefill(now, t)
}

// endPrefill removes the ticket's prefill work from its prefill runner.
func (p *Pool) endPrefill(now time.Time, t *ticket) {
	t.prefillRunner.prefill -= t.prefill
	t.prefillRunner.prefillStart = now
	t.prefill = 0
}

// startDecode records the first token: it releases the prefill work and the KV
// memory on a separate prefill runner.
func (p *Pool) startDecode(now time.Time, t *ticket) {
	if t.started {
		return
	}
	t.started = true
	p.endPrefill(now, t)
	t.runner.streams++
	if t.prefillRunner != t.runner {
		t.prefillRunner.kv -= t.prefillKV
		t.prefillRunner.open--
		t.prefillKV = 0
		p.freeUnusedSlot(t.prefillRunner)
		t.prefillRunner = t.runner
	}
}

// recordTokens records the number of produced tokens. A count that decreases is
// ignored and a count above the request's limit is clamped. Tokens beyond the
// expected length reserve further KV memory.
func (p *Pool) recordTokens(t *ticket, tokens int) {
	tokens = min(tokens, t.limit)
	if tokens <= t.produced {
		return
	}
	grown := tokens - t.produced
	t.produced = tokens
	done := min(grown, t.decode)
	t.decode -= done
	t.runner.decode -= done
	t.kv += grown - done
	t.runner.kv += grown - done
}

// closeTicket removes a ticket from all counts and puts it on the free list.
func (p *Pool) closeTicket(now time.Time, t *ticket) {
	p.startDecode(now, t)
	t.runner.decode -= t.decode
	t.runner.kv -= t.kv
	t.runner.open--
	t.runner.streams--
	t.customer.open--
	p.unlink(t)
	delete(p.tickets, t.id)
	p.freeUnusedSlot(t.runner)
	*t = ticket{next: p.freeTickets}
	p.freeTickets = t
}

// freeUnusedSlot frees the slot of a runner that has left the list and has no
// open tickets.
func (p *Pool) freeUnusedSlot(r *runner) {
	if !r.listed && r.open == 0 {
		p.dropRunner(r)
	}
}

func (p *Pool) newTicket() *ticket {
	t := p.freeTickets
	if t == nil {
		return &ticket{}
	}
	p.freeTickets = t.next
	t.next = nil
	return t
}

// touch moves a ticket to the end of the expiry list.
func (p *Pool) touch(now time.Time, t *ticket) {
	t.lastProgress = now
	if p.newest == t {
		return
	}
	p.unlink(t)
	t.prev = p.newest
	if p.newest != nil {
		p.newest.next = t
	}
	p.newest = t
	if p.oldest == nil {
		p.oldest = t
	}
}

func (p *Pool) unlink(t *ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if p.oldest == t {
		p.oldest = t.next
	}
	if p.newest == t {
		p.newest = t.prev
	}
	t.prev, t.next = nil, nil
}

// progress applies a progress report.
func (p *Pool) progress(now time.Time, ev *Progressed) {
	t := p.tickets[ev.Ticket]
	if t == nil {
		return
	}
	p.touch(now, t)
	if ev.FirstToken <= 0 && ev.Tokens <= 0 {
		return
	}
	if ev.Tokens > t.produced || !t.started {
		// This doesn't clear down, because the tokens may have been produced before
		// RunnerDown. Only the runner's own reports clear it.
		t.runner.lastHeard = now
		t.prefillRunner.lastHeard = now
	}
	if !t.started {
		p.learnFirstToken(now, t, ev.FirstToken)
		p.storeBlocks(t.runner, t.blocks)
	}
	p.startDecode(now, t)
	if ev.BetweenTokens > 0 && ev.Tokens > t.produced {
		p.learnBetweenTokens(t, ev.BetweenTokens)
	}
	p.recordTokens(t, ev.Tokens)
}

// learnFirstToken updates the prediction of the time to first token, unless the
// prefill ran on a separate runner or at the reduced rate of a decode runner.
func (p *Pool) learnFirstToken(now time.Time, t *ticket, took time.Duration) {
	if t.prefillRunner == t.runner && t.runner.info.Role != backend.RoleDecode {
		p.learnPrefill(now, t, took)
	}
}

// learnPrefill updates the prediction with the time from the grant to the end
// of the prefill. A missing or implausible time is replaced by the time since
// the grant.
func (p *Pool) learnPrefill(now time.Time, t *ticket, took time.Duration) {
	if since := now.Sub(t.granted); took <= 0 || took > since {
		took = since
	}
	if !p.cfg.Learning {
		return
	}
	t.prefillRunner.predictor.firstToken.observe(t.backlogAtGrant, took.Seconds())
	p.poolPredictor.firstToken.observe(t.backlogAtGrant, took.Seconds())
}

// learnBetweenTokens updates the prediction of the time between tokens.
func (p *Pool) learnBetweenTokens(t *ticket, between time.Duration) {
	if !p.cfg.Learning {
		return
	}
	streams := float64(t.runner.streams)
	t.runner.predictor.betweenTokens.observe(streams, between.Seconds())
	p.poolPredictor.betweenTokens.observe(streams, between.Seconds())
}

// release closes a ticket and corrects the charge to the customer, which was an
// estimate at the grant.
func (p *Pool) release(now time.Time, ev *Released) {
	t := p.tickets[ev.Ticket]
	if t == nil {
		return
	}
	if ev.Tokens > t.produced {
		t.runner.lastHeard = now
	}
	p.recordTokens(t, ev.Tokens)
	p.settleCharge(t)
	p.closeTicket(now, t)
}

// expireTickets closes tickets without progress for Config.GrantTTL.
func (p *Pool) expireTickets(now time.Time) {
	for p.oldest != nil && now.Sub(p.oldest.lastProgress) >= p.cfg.GrantTTL {
		p.expireTicket(now, p.oldest)
	}
}

func (p *Pool) expireTicket(now time.Time, t *ticket) {
	p.emit(Expired{Entry: t.entry, Request: t.request, Ticket: t.id})
	p.settleCharge(t)
	p.closeTicket(now, t)
}

// entryGone removes all waiting requests and tickets of an entry daemon that
// died. Its streams ended with it.
func (p *Pool) entryGone(now time.Time, entry string) {
	for t := p.oldest; t != nil; {
		next := t.next
		if t.entry == entry {
			p.settleCharge(t)
			p.closeTicket(now, t)
		}
		t = next
	}
	p.queue.removeIf(func(w *waitingRequest) bool { return w.request.Entry == entry }, p.recycle)
}

// leaving reports whether a runner stops at a known time.
func leaving(info *RunnerInfo) bool {
	return info.State == hosting.ServerLeaving && !info.LeaveAt.IsZero()
}

// requestMoves asks the entry daemons to move the streams away from a runner
// that stops at a known time.
func (p *Pool) requestMoves(r *runner) {
	for t := p.oldest; t != nil; t = t.next {
		if t.runner == r || t.prefillRunner == r && !t.started {
			p.emit(Vacate{Entry: t.entry, Request: t.request, Ticket: t.id, Runner: r.info.ID, LeaveAt: r.info.LeaveAt})
		}
	}
}
