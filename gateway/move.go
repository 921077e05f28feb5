package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// moveRetryInterval is the time between grant requests while no other engine
// can take the stream.
const moveRetryInterval = 250 * time.Millisecond

// move resumes an attempt on another engine before its own engine stops. The
// attempt continues until another engine is granted, so that a refused grant
// does not end a stream whose engine still runs.
//
// Invariant: a placement in next is either taken by the request's goroutine or
// released by end.
type move struct {
	q            *request
	grantRequest GrantRequest

	mu        sync.Mutex
	requested bool
	ended     bool
	source    *backend.Stream
	next      *placement
}

// engineStopping implements GrantRequest.OnEngineStopping.
func (v *move) engineStopping() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.requested || v.ended || v.q.ctx.Err() != nil {
		return
	}
	v.requested = true
	go v.awaitGrant()
}

// awaitGrant requests a grant on another engine until it gets one or the
// attempt ends.
func (v *move) awaitGrant() {
	for !v.hasEnded() {
		next, err := v.q.requestGrant(v.nextGrantRequest())
		if err == nil {
			v.deliver(next)
			return
		}
		select {
		case <-v.q.ctx.Done():
			return
		case <-time.After(moveRetryInterval):
		}
	}
}

// nextGrantRequest returns the request for another engine. It has no deadline,
// because the attempt continues meanwhile.
func (v *move) nextGrantRequest() GrantRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.grantRequest
	next.Deadline = time.Time{}
	return next
}

func (v *move) hasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// deliver passes the placement to the request's goroutine and interrupts its
// stream, or releases the placement if the attempt has ended.
func (v *move) deliver(next *placement) {
	if !v.setNext(next) {
		next.release(v.q)
	}
}

// setNext returns false if the attempt has ended.
func (v *move) setNext(next *placement) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return false
	}
	v.next = next
	if v.source != nil {
		v.source.Interrupt()
	}
	return true
}

// setSource sets the stream to interrupt when another engine is granted.
func (v *move) setSource(source *backend.Stream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.source = source
	if v.next != nil {
		source.Interrupt()
	}
}

// takeNext removes and returns the next placement, or returns nil if there is
// none.
func (v *move) takeNext() *placement {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.next
	v.next = nil
	return next
}

// end ends the attempt and releases a grant that was not used. It calls the
// scheduler without holding the lock, because the scheduler may be calling
// engineStopping at the same time.
func (v *move) end() {
	v.mu.Lock()
	unused := v.next
	v.ended, v.source, v.next = true, nil, nil
	v.mu.Unlock()
	if unused != nil {
		unused.release(v.q)
	}
}

// placement is a grant together with the state for a move to another engine.
type placement struct {
	grant Grant
	move  *move
}

// release returns a grant that was not used.
func (p *placement) release(q *request) {
	q.g.Scheduler.Release(p.grant.Ticket, GrantResult{Failure: ReasonAbandoned})
}

// requestGrant requests an engine from the scheduler.
func (q *request) requestGrant(r GrantRequest) (*placement, error) {
	v := &move{q: q, grantRequest: r}
	r.OnEngineStopping = v.engineStopping
	grant, err := q.g.Scheduler.Grant(q.ctx, r)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.grantRequest.Exclude = append(slices.Clone(r.Exclude), grant.Engine)
	return &placement{grant: grant, move: v}, nil
}

// setPlacement makes p the current attempt's placement.
func (q *request) setPlacement(p *placement) {
	m := q.model
	m.grant, m.hasGrant, m.attemptStart, m.move = p.grant, true, m.validator.nextPosition, p.move
}

// moveTo ends the current attempt as moved, not as failed, and makes next the
// current one.
func (q *request) moveTo(next *placement) *Error {
	m := q.model
	q.mayHaveRun = true
	q.recordEvent(EventMoved, m.grant.Engine, next.grant.Engine)
	q.g.metrics.moves.Inc()
	q.exclude = append(q.exclude, m.grant.Engine)
	q.releaseGrant(ReasonMoved)
	if ended := q.contextError(); ended != nil {
		next.release(q)
		return ended
	}
	q.setPlacement(next)
	return nil
}

// nextPlacement returns the placement to continue with if the attempt was
// interrupted for a move, otherwise nil.
func (q *request) nextPlacement(d RetryDecision) *placement {
	if q.model == nil || q.model.move == nil || d.Reason == ReasonClientFault {
		return nil
	}
	return q.model.move.takeNext()
}
