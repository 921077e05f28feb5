package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// ticket is an open grant. Open tickets form a list in the order of their last
// progress, so that expiry looks at the oldest only.
type ticket struct {
	id       Ticket
	entry    string
	request  string
	customer *customer
	priority Priority
	runner   *runner
	// prefiller reads the prompt; from the first token on it equals runner.
	prefiller *runner
	prefill   int
	decode    int
	kv        int
	kvPrefill int
	prompt    int
	limit     int
	produced  int
	charged   float64
	started   bool
	// blocks are the prefix blocks of the prompt, which the runner holds once it
	// has started.
	blocks     []uint64
	granted    time.Time
	touched    time.Time
	aheadAt    float64
	prev, next *ticket
}

// open books a ticket on its runners.
func (p *Pool) open(now time.Time, t *ticket) {
	p.lastTicket++
	t.id = p.lastTicket
	t.granted = now
	t.customer.open++
	p.tickets[t.id] = t
	if t.prefiller.prefill == 0 {
		t.prefiller.mark = now
	}
	t.prefiller.prefill += t.prefill
	t.runner.decode += t.decode
	t.runner.kv += t.kv
	t.runner.open++
	if t.prefiller != t.runner {
		t.kvPrefill = t.prompt
		t.prefiller.kv += t.kvPrefill
		t.prefiller.open++
	}
	p.touch(now, t)
}

// prefilled books the end of the prompt on a separate prefill runner, whose
// memory stays in use until the transfer.
func (p *Pool) prefilled(now time.Time, ev *Prefilled) {
	t := p.tickets[ev.Ticket]
	if t == nil || t.started || t.prefill == 0 || t.prefiller == t.runner {
		return
	}
	p.touch(now, t)
	t.prefiller.heard = now
	p.learnRead(now, t, ev.Took)
	p.read(now, t)
}

// read books that the prompt is read.
func (p *Pool) read(now time.Time, t *ticket) {
	t.prefiller.prefill -= t.prefill
	t.prefiller.mark = now
	t.prefill = 0
}

// start books the first token: the work of the prompt and the memory on a
// separate prefill runner are released.
func (p *Pool) start(now time.Time, t *ticket) {
	if t.started {
		return
	}
	t.started = true
	p.read(now, t)
	t.runner.streams++
	if t.prefiller != t.runner {
		t.prefiller.kv -= t.kvPrefill
		t.prefiller.open--
		t.kvPrefill = 0
		p.reap(t.prefiller)
		t.prefiller = t.runner
	}
}

// produce books produced tokens. Counts that go back are ignored and counts
// beyond the request's limit are cut. An answer that grows past its
// expectation books what it uses.
func (p *Pool) produce(t *ticket, tokens int) {
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

// close removes a ticket from all counts.
func (p *Pool) close(now time.Time, t *ticket) {
	p.start(now, t)
	t.runner.decode -= t.decode
	t.runner.kv -= t.kv
	t.runner.open--
	t.runner.streams--
	t.customer.open--
	p.unlink(t)
	delete(p.tickets, t.id)
	p.reap(t.runner)
	*t = ticket{next: p.freeTickets}
	p.freeTickets = t
}

// reap frees the slot of a runner that has left the list.
func (p *Pool) reap(r *runner) {
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

func (p *Pool) touch(now time.Time, t *ticket) {
	t.touched = now
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
		// Tokens may have been produced before RunnerDown; only the runner's own
		// reports lift it.
		t.runner.heard = now
		t.prefiller.heard = now
	}
	if !t.started {
		p.learnFirst(now, t, ev.FirstToken)
		p.storeBlocks(t.runner, t.blocks)
	}
	p.start(now, t)
	if ev.BetweenTokens > 0 && ev.Tokens > t.produced {
		p.learnBetween(t, ev.BetweenTokens)
	}
	p.produce(t, ev.Tokens)
}

// learnFirst learns from the time to first token of a request whose prompt the
// producing runner read at full speed.
func (p *Pool) learnFirst(now time.Time, t *ticket, took time.Duration) {
	if t.prefiller == t.runner && t.runner.info.Role != backend.RoleDecode {
		p.learnRead(now, t, took)
	}
}

// learnRead learns the time from grant to the end of the prompt.
func (p *Pool) learnRead(now time.Time, t *ticket, took time.Duration) {
	if since := now.Sub(t.granted); took <= 0 || took > since {
		took = since
	}
	if !p.cfg.Learning {
		return
	}
	t.prefiller.predict.first.observe(t.aheadAt, took.Seconds())
	p.learned.first.observe(t.aheadAt, took.Seconds())
}

func (p *Pool) learnBetween(t *ticket, between time.Duration) {
	if !p.cfg.Learning {
		return
	}
	streams := float64(t.runner.streams)
	t.runner.predict.between.observe(streams, between.Seconds())
	p.learned.between.observe(streams, between.Seconds())
}

// release ends a ticket and settles the customer's account: the charge at the
// grant was an estimate.
func (p *Pool) release(now time.Time, ev *Released) {
	t := p.tickets[ev.Ticket]
	if t == nil {
		return
	}
	if ev.Tokens > t.produced {
		t.runner.heard = now
	}
	p.produce(t, ev.Tokens)
	p.settle(t)
	p.close(now, t)
}

// expire ends tickets without progress for Config.GrantTTL.
func (p *Pool) expire(now time.Time) {
	for p.oldest != nil && now.Sub(p.oldest.touched) >= p.cfg.GrantTTL {
		p.abandon(now, p.oldest)
	}
}

func (p *Pool) abandon(now time.Time, t *ticket) {
	p.act(Expired{Entry: t.entry, Request: t.request, Ticket: t.id})
	p.settle(t)
	p.close(now, t)
}

// entryGone ends all waiting requests and tickets of an entry daemon. Its
// streams broke with it.
func (p *Pool) entryGone(now time.Time, entry string) {
	for t := p.oldest; t != nil; {
		next := t.next
		if t.entry == entry {
			p.settle(t)
			p.close(now, t)
		}
		t = next
	}
	p.queue.removeIf(func(w *waiting) bool { return w.request.Entry == entry }, p.recycle)
}

func leaving(info *RunnerInfo) bool {
	return info.State == hosting.ServerLeaving && !info.LeaveAt.IsZero()
}

// vacate asks for the streams of a runner that stops at a known time.
func (p *Pool) vacate(r *runner) {
	for t := p.oldest; t != nil; t = t.next {
		if t.runner == r || t.prefiller == r && !t.started {
			p.act(Vacate{Entry: t.entry, Request: t.request, Ticket: t.id, Runner: r.info.ID, LeaveAt: r.info.LeaveAt})
		}
	}
}
