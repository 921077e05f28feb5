package claim

import (
	"strconv"
	"time"
)

func (m *Machine) handleAsked(now time.Time, e Asked) []Action {
	w := &waiter{ticket: e.Ticket, request: e.Request, deadline: e.Deadline}
	if limit := now.Add(m.config.MaxWait); limit.Before(w.deadline) {
		w.deadline = limit
	}
	holder := m.fold.holder(e.Request.Key)
	if holder != nil {
		if d, ok := m.decideHeldKey(w, holder); ok {
			return []Action{Decide{e.Ticket, d}}
		}
	}
	if m.fold.stopped || !m.logUp || len(m.waiters) >= m.config.MaxPending {
		return []Action{Decide{e.Ticket, refusal(holder)}}
	}
	m.addWaiter(w)
	if holder == nil {
		m.queueClaim(w)
	}
	return nil
}

// refusal returns the decision for a request that must not wait any longer. If
// another request holds the key, whether that one ran is unknown.
func refusal(holder *entry) Decision {
	if holder != nil {
		return Decision{State: Unknown}
	}
	return Decision{State: Refused}
}

// decideHeldKey decides a request whose key is held by another claim. It returns
// false while the request has to wait.
func (m *Machine) decideHeldKey(w *waiter, holder *entry) (d Decision, ok bool) {
	_, gone := m.goneOwners[holder.Owner]
	_, own := m.running[holder.ID]
	switch {
	case holder.BodyHash != w.request.BodyHash:
		return Decision{State: Mismatch}, true
	case holder.outcome != nil && holder.outcome.Unknown:
		return Decision{State: Unknown}, true
	case holder.outcome != nil:
		return Decision{State: Replay, Outcome: *holder.outcome}, true
	case gone && !own:
		return Decision{State: Unknown}, true
	}
	return Decision{}, false
}

// queueClaim queues a new claim for the waiter.
func (m *Machine) queueClaim(w *waiter) {
	m.sequence++
	w.claim = m.owner + "/" + strconv.FormatUint(m.sequence, 10)
	m.byClaim[w.claim] = w
	m.queuedClaims = append(m.queuedClaims, m.claimBody(w))
}

func (m *Machine) claimBody(w *waiter) claimBody {
	return claimBody{
		ID:       w.claim,
		Customer: w.request.Customer,
		KeyHash:  w.request.Hash,
		BodyHash: w.request.BodyHash,
		Owner:    m.owner,
	}
}

func (m *Machine) addWaiter(w *waiter) {
	m.waiters[w.ticket] = w
	key := w.request.Key
	if m.byKey[key] == nil {
		m.byKey[key] = map[uint64]*waiter{}
	}
	m.byKey[key][w.ticket] = w
}

// removeWaiter removes a waiter and releases its claim. A claim that was sent but
// not read back yet is released when handleRecord reads it back.
func (m *Machine) removeWaiter(w *waiter) {
	delete(m.waiters, w.ticket)
	key := w.request.Key
	delete(m.byKey[key], w.ticket)
	if len(m.byKey[key]) == 0 {
		delete(m.byKey, key)
	}
	if w.claim == "" {
		return
	}
	delete(m.byClaim, w.claim)
	if e := m.fold.find(key, w.claim); e != nil {
		m.queueRelease(e)
		return
	}
	if w.sent {
		m.abandoned[w.claim] = time.Time{}
	}
}

// queueRelease queues the outcome that the request of a claim was not run, unless
// the claim has an outcome.
func (m *Machine) queueRelease(e *entry) {
	if e.outcome == nil {
		m.queueOutcome(e.claimBody, Outcome{NotRun: true})
	}
}

func (m *Machine) handleFinished(e Finished) {
	body, ok := m.running[e.Token]
	if !ok {
		return
	}
	delete(m.running, e.Token)
	m.queueOutcome(body, e.Outcome)
}

func (m *Machine) handleRecord(now time.Time, e RecordRead) []Action {
	var actions []Action
	for _, t := range m.fold.apply(e.Offset, e.Data) {
		if t.entry.Owner == m.owner {
			m.handleOwnRecord(t)
		}
		actions = append(actions, m.decideKey(now, t.entry.key())...)
	}
	if m.fold.stopped {
		actions = append(actions, m.refuseAll()...)
	}
	return actions
}

// handleOwnRecord handles a claim or outcome that this daemon wrote. A claim whose
// request no longer waits is released. A claim that is duplicated in the log gets
// its outcome again, for readers that see only the duplicate; if the outcome was
// trimmed, the duplicate gets an unknown outcome.
func (m *Machine) handleOwnRecord(t affectedClaim) {
	e := t.entry
	if !t.isClaim {
		m.confirm(e.ID)
		return
	}
	_, running := m.running[e.ID]
	_, abandoned := m.abandoned[e.ID]
	delete(m.abandoned, e.ID)
	switch {
	case running || m.byClaim[e.ID] != nil || m.outcomes[e.ID] != nil:
	case abandoned:
		m.queueRelease(e)
	case e.outcome != nil:
		m.queueOutcome(e.claimBody, *e.outcome)
	default:
		m.queueOutcome(e.claimBody, Outcome{Unknown: true})
	}
}

// decideKey decides the requests that wait for a key.
func (m *Machine) decideKey(now time.Time, key Key) []Action {
	var actions []Action
	for {
		w, d, ok := m.nextDecision(key)
		if !ok {
			return actions
		}
		if !now.Before(w.deadline) {
			actions = append(actions, m.refuse(w))
			continue
		}
		if d.State == Granted {
			m.running[w.claim] = m.fold.find(key, w.claim).claimBody
			// The request runs now, so removeWaiter must not release the claim.
			delete(m.byClaim, w.claim)
			d.Token, w.claim = w.claim, ""
		}
		m.removeWaiter(w)
		actions = append(actions, Decide{w.ticket, d})
	}
}

// nextDecision returns the waiter with the lowest ticket among those of the key
// that can be decided. If no claim holds the key and no waiter has claimed it, the
// first waiter claims it.
func (m *Machine) nextDecision(key Key) (*waiter, Decision, bool) {
	holder := m.fold.holder(key)
	var found *waiter
	var decision Decision
	for _, w := range m.byKey[key] {
		if found != nil && found.ticket < w.ticket {
			continue
		}
		d, ok := Decision{}, false
		switch {
		case holder == nil:
		case holder.ID == w.claim:
			d, ok = Decision{State: Granted}, true
			// The request has not run here yet, so the outcome is not this daemon's.
			if holder.outcome != nil {
				d = Decision{State: Unknown}
			}
		default:
			d, ok = m.decideHeldKey(w, holder)
		}
		if ok {
			found, decision = w, d
		}
	}
	if found == nil && holder == nil {
		m.claimForFirstWaiter(key)
	}
	return found, decision, found != nil
}

func (m *Machine) claimForFirstWaiter(key Key) {
	var first *waiter
	for _, w := range m.byKey[key] {
		if w.claim != "" {
			return
		}
		if first == nil || w.ticket < first.ticket {
			first = w
		}
	}
	if first != nil {
		m.queueClaim(first)
	}
}

func (m *Machine) decideAll(now time.Time) []Action {
	var actions []Action
	for _, key := range m.sortedKeys() {
		actions = append(actions, m.decideKey(now, key)...)
	}
	return actions
}

// handleLogState refuses all waiting requests when the log becomes unreachable. A
// claim that is in the log nevertheless is released when it is read back.
func (m *Machine) handleLogState(e LogState) []Action {
	m.logUp = e.Up
	if e.Up {
		return nil
	}
	return m.refuseAll()
}

func (m *Machine) refuseAll() []Action {
	var actions []Action
	for _, w := range m.sortedWaiters() {
		actions = append(actions, m.refuse(w))
	}
	return actions
}

func (m *Machine) refuse(w *waiter) Action {
	holder := m.fold.holder(w.request.Key)
	if holder != nil && holder.ID == w.claim {
		holder = nil
	}
	m.removeWaiter(w)
	return Decide{w.ticket, refusal(holder)}
}

// abandonedTTL is the time for which the machine remembers a claim whose request
// has ended. The outcome of a claim that is read back later is unknown, like that
// of a claim of another process.
const abandonedTTL = time.Minute

// handleTick refuses the requests whose deadline has passed, queues claims again
// that were not read back in time, and forgets old abandoned claims.
func (m *Machine) handleTick(now time.Time) []Action {
	var actions []Action
	for id, since := range m.abandoned {
		switch {
		case since.IsZero():
			m.abandoned[id] = now
		case now.Sub(since) >= abandonedTTL:
			delete(m.abandoned, id)
		}
	}
	for _, w := range m.sortedWaiters() {
		switch {
		case !now.Before(w.deadline):
			actions = append(actions, m.refuse(w))
		case !w.resendAt.IsZero() && !now.Before(w.resendAt):
			w.resendAt = time.Time{}
			if m.fold.find(w.request.Key, w.claim) == nil {
				m.queuedClaims = append(m.queuedClaims, m.claimBody(w))
			}
		}
	}
	return actions
}
