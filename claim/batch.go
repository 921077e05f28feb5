package claim

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

const (
	// claimBytes is an upper bound for the encoded size of one claim without its
	// customer, owner and ID.
	claimBytes = 128
	// maxBatchEntries is the maximum number of claims, and of outcomes, in one
	// record.
	maxBatchEntries = 2000
)

// queueOutcome queues an outcome, which is appended to the log repeatedly until it
// was read back. The body is dropped if the queued bodies would exceed
// Config.MaxOutcomeBytes.
func (m *Machine) queueOutcome(body claimBody, o Outcome) {
	if m.outcomes[body.ID] != nil {
		return
	}
	if m.outcomeBytes+len(o.Body) > m.config.MaxOutcomeBytes {
		o.Body = nil
	}
	m.outcomeBytes += len(o.Body)
	m.outcomes[body.ID] = &pendingOutcome{body: outcomeBody{Claim: body, Outcome: o}}
	m.outcomeOrder = append(m.outcomeOrder, body.ID)
}

// confirm removes an outcome that was read back from the queue.
func (m *Machine) confirm(id string) {
	o := m.outcomes[id]
	if o == nil {
		return
	}
	m.outcomeBytes -= len(o.body.Outcome.Body)
	delete(m.outcomes, id)
	m.outcomeOrder = slices.DeleteFunc(m.outcomeOrder, func(other string) bool { return other == id })
}

// send returns the next append if one may start and there is something to write.
func (m *Machine) send(now time.Time) []Action {
	if m.inFlight != nil || !m.logUp || m.fold.stopped || now.Before(m.appendAt) {
		return nil
	}
	f := &pendingAppend{}
	body := batchBody{Outcomes: m.dueOutcomes(now, f), Claims: m.dueClaims(f)}
	if len(body.Outcomes)+len(body.Claims) == 0 {
		return nil
	}
	return m.append(now, record.EncodeBody(body), f)
}

func (m *Machine) dueOutcomes(now time.Time, f *pendingAppend) []outcomeBody {
	var bodies []outcomeBody
	size := 0
	for _, id := range m.outcomeOrder {
		o := m.outcomes[id]
		if now.Before(o.resendAt) {
			continue
		}
		size += o.body.bytes()
		if len(bodies) > 0 && (size > maxSectionBytes || len(bodies) >= maxBatchEntries) {
			break
		}
		bodies = append(bodies, o.body)
		f.outcomes = append(f.outcomes, id)
	}
	return bodies
}

func (o *outcomeBody) bytes() int {
	n := 2*claimBytes + len(o.Claim.Customer) + len(o.Claim.Owner) + len(o.Claim.ID) + len(o.Outcome.Body)
	for name, value := range o.Outcome.Header {
		n += len(name) + len(value) + 8
	}
	return n
}

// dueClaims takes queued claims for the next record. It drops claims whose
// requests no longer wait for a decision.
func (m *Machine) dueClaims(f *pendingAppend) []claimBody {
	size := 0
	for len(m.queuedClaims) > 0 && len(f.claims) < maxBatchEntries {
		c := m.queuedClaims[0]
		size += claimBytes + len(c.Customer) + len(c.Owner) + len(c.ID)
		if len(f.claims) > 0 && size > maxSectionBytes {
			break
		}
		m.queuedClaims = m.queuedClaims[1:]
		if m.byClaim[c.ID] != nil {
			f.claims = append(f.claims, c)
			m.byClaim[c.ID].sent = true
		}
	}
	return f.claims
}

func (m *Machine) append(now time.Time, body []byte, f *pendingAppend) []Action {
	m.sequence++
	f.id = m.owner + "#" + strconv.FormatUint(m.sequence, 10)
	m.inFlight = f
	m.appendAt = now.Add(m.config.Spacing)
	data := record.Encode(record.Envelope{
		Format:  record.Format,
		ID:      f.id,
		Kind:    KindBatch,
		Subject: m.stream,
		Prev:    record.NoOffset,
		Seen:    m.fold.next - 1,
		Author:  m.owner,
		Body:    body,
	})
	return []Action{Append{ID: f.id, Data: data}}
}

// handleAppendEnded handles the result of an append. Only reading a record back
// shows that it is in the log. Claims and outcomes that are not read back in time
// are written again. Readers recognize the repetition by the ID of the claim and
// ignore it.
func (m *Machine) handleAppendEnded(now time.Time, e AppendEnded) {
	if m.inFlight == nil || m.inFlight.id != e.ID {
		return
	}
	f := m.inFlight
	m.inFlight = nil
	resendAt := now.Add(m.config.ReadBack)
	if e.Result == AppendRefused {
		m.queuedClaims = append(f.claims, m.queuedClaims...)
		resendAt = time.Time{}
	}
	for i := range f.claims {
		if w := m.byClaim[f.claims[i].ID]; w != nil {
			w.resendAt = resendAt
		}
	}
	for _, id := range f.outcomes {
		if o := m.outcomes[id]; o != nil {
			o.resendAt = resendAt
		}
	}
}

// sortedWaiters returns the waiters in ticket order, which makes the machine
// deterministic.
func (m *Machine) sortedWaiters() []*waiter {
	return slices.SortedFunc(maps.Values(m.waiters), func(a, b *waiter) int {
		return cmp.Compare(a.ticket, b.ticket)
	})
}

func (m *Machine) sortedKeys() []Key {
	return slices.SortedFunc(maps.Keys(m.byKey), func(a, b Key) int {
		if c := cmp.Compare(a.Customer, b.Customer); c != 0 {
			return c
		}
		return slices.Compare(a.Hash[:], b.Hash[:])
	})
}
