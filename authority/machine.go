package authority

import (
	"encoding/json"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Machine is the state machine of the lease in one daemon. It isn't safe for
// concurrent use.
type Machine struct {
	cfg         Config
	vm          string
	incarnation string
	rank        int
	nonce       int64
	stopping    bool
	stopped     bool

	// newest is the newest observation. It is valid if known is set.
	newest Observation
	known  bool
	// claimFrom is the earliest time of a claim. An earlier process of this VM may have
	// held the authority before the holder that the first observation names.
	claimFrom time.Time
	// reading is set while a read is in flight. nextRead is the earliest time of
	// the next one.
	reading  bool
	nextRead time.Time

	inFlight *pendingAppend
	queue    []submission
	// nextAppend is the earliest time of the next append after a refused one.
	nextAppend time.Time

	// term is the term that this daemon holds until expiry, or hosting.NoOffset.
	term   int64
	expiry time.Time
	// acting is set between Gained and Lost, and actingTerm is the term of that
	// Gained. A regained authority isn't used before cooldownUntil.
	acting        bool
	actingTerm    int64
	cooldownUntil time.Time
	// renewedAt is the time at which the last accepted record was sent.
	renewedAt time.Time
}

// pendingAppend is an append whose outcome isn't known yet.
type pendingAppend struct {
	append Append
	// firstSent is the time of the first send. The record may be in effect from
	// then on.
	firstSent time.Time
	// term is the term of the record, which may end before the append is accepted.
	term    int64
	claim   bool
	release bool
	key     string
	// outcomeUnknown is set once an attempt has ended without a definite answer.
	outcomeUnknown bool
}

type submission struct {
	key  string
	body json.RawMessage
}

// NewMachine returns a machine that does not claim the authority until it gets a
// Rank. The first nonce must be higher than the nonces of earlier processes of
// the VM, for example the start time of the process in nanoseconds.
func NewMachine(cfg Config, vm, incarnation string, nonce int64) *Machine {
	return &Machine{
		cfg: cfg, vm: vm, incarnation: incarnation, rank: -1, nonce: nonce, term: hosting.NoOffset,
		newest: Observation{End: hosting.NoOffset, Term: hosting.NoOffset},
	}
}

// Authority returns the term, and whether the daemon may act at the time now.
func (m *Machine) Authority(now time.Time) (term int64, ok bool) {
	return m.term, m.acting && m.holds(now)
}

func (m *Machine) holds(now time.Time) bool {
	return m.term != hosting.NoOffset && now.Before(m.expiry)
}

// Expiry returns the time at which the authority ends unless it is renewed.
func (m *Machine) Expiry() time.Time { return m.expiry }

// Observation returns the newest observation, which the caller passes on to
// other daemons. ok is false if nothing is known.
func (m *Machine) Observation() (s Observation, ok bool) { return m.newest, m.known }

// Submit queues a record of the holder. Queued records are dropped when the
// authority ends.
func (m *Machine) Submit(key string, body json.RawMessage) {
	m.queue = append(m.queue, submission{key: key, body: body})
}

// Queued returns the keys of the queued records.
func (m *Machine) Queued() []string {
	var out []string
	for _, s := range m.queue {
		out = append(out, s.key)
	}
	return out
}

// Step handles one event and returns the actions that the caller must carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var actions []Action
	first := !m.known && m.newest.End == hosting.NoOffset
	switch ev := ev.(type) {
	case ObservationReceived:
		m.observe(ev.Observation)
	case Read:
		actions = m.handleRead(now, ev)
	case ReadFailed:
		m.reading = false
		m.nextRead = now.Add(m.cfg.RetryDelay)
	case Appended:
		actions = m.handleAppended(now, ev)
	case Rank:
		m.rank = ev.Rank
	case Stop:
		m.stopping = true
	}
	if first && m.known && m.newest.Term != hosting.NoOffset {
		m.claimFrom = now.Add(m.cfg.Cooldown)
	}
	actions = m.reportTransitions(now, actions)
	return append(actions, m.nextActions(now)...)
}

// observe records an observation if it is newer than the known one. It ends the
// own term if the observation names a later one.
func (m *Machine) observe(s Observation) {
	if !m.known || s.End > m.newest.End {
		m.newest, m.known = s, true
	}
	if m.term != hosting.NoOffset && m.newest.Term > m.term {
		m.endTerm()
	}
}

// endTerm ends the own term and drops the queued records.
func (m *Machine) endTerm() {
	m.term = hosting.NoOffset
	m.queue = nil
}

// reportTransitions adds Gained or Lost when the authority starts or ends. A
// cooldown follows Lost, even if the next term is obtained at once.
func (m *Machine) reportTransitions(now time.Time, actions []Action) []Action {
	holds := m.holds(now)
	if m.acting && !holds {
		m.acting = false
		m.cooldownUntil = now.Add(m.cfg.Cooldown)
		actions = append(actions, Lost{Term: m.actingTerm})
	}
	if m.term != hosting.NoOffset && !holds {
		m.endTerm()
	}
	if holds && !m.acting && !now.Before(m.cooldownUntil) && !m.stopping {
		m.acting, m.actingTerm = true, m.term
		actions = append(actions, Gained{Term: m.term})
	}
	return actions
}

// nextActions returns the appends and reads that are due.
func (m *Machine) nextActions(now time.Time) []Action {
	if m.inFlight != nil {
		return m.readOutcome(now)
	}
	if !m.known {
		if m.rank < 0 {
			return m.finishStop()
		}
		return m.readFrom(now, hosting.NoOffset)
	}
	if now.Before(m.nextAppend) {
		return nil
	}
	if m.holds(now) {
		return m.holderStep(now)
	}
	if m.stopping {
		return m.finishStop()
	}
	return m.claimIfExpired(now)
}

func (m *Machine) finishStop() []Action {
	if !m.stopping || m.stopped {
		return nil
	}
	m.stopped = true
	return []Action{Stopped{}}
}

func (m *Machine) holderStep(now time.Time) []Action {
	if m.stopping && len(m.queue) == 0 {
		// A successor may claim as soon as the release is in the topic, which is
		// before this daemon gets the answer to its append.
		m.expiry = now
		return []Action{m.startAppend(now, LeaseKey, Envelope{Term: m.term, Released: true})}
	}
	if len(m.queue) > 0 {
		s := m.queue[0]
		m.queue = m.queue[1:]
		return []Action{m.startAppend(now, s.key, Envelope{Term: m.term, Body: s.body})}
	}
	if now.Sub(m.renewedAt) < m.cfg.Renewal {
		return nil
	}
	return []Action{m.startAppend(now, LeaseKey, Envelope{Term: m.term})}
}

// claimIfExpired claims the authority once the lease of the newest record has
// expired or was released.
func (m *Machine) claimIfExpired(now time.Time) []Action {
	if m.rank < 0 || now.Before(m.claimFrom) {
		return nil
	}
	wait := time.Duration(m.rank) * m.cfg.RankDelay
	if m.newest.Term != hosting.NoOffset && !m.newest.Released {
		wait += m.cfg.Duration + m.cfg.Margin
	}
	if now.Sub(m.newest.At) < wait {
		return nil
	}
	return []Action{m.startAppend(now, LeaseKey, Envelope{Term: hosting.NoOffset})}
}

// startAppend returns an append at the known end of the topic and marks it as
// in flight.
func (m *Machine) startAppend(now time.Time, key string, e Envelope) Append {
	m.nonce++
	e.Holder, e.VM, e.Nonce, e.History = m.incarnation, m.vm, m.nonce, hosting.History(m.newest.End)
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	a := Append{At: m.newest.End, Nonce: m.nonce, Record: hosting.KeyedRecord{Key: key, Value: value}}
	m.inFlight = &pendingAppend{append: a, firstSent: now, key: key, term: e.Term, claim: e.Term == hosting.NoOffset, release: e.Released}
	return a
}

// handleAppended handles the answer to the append in flight.
func (m *Machine) handleAppended(now time.Time, ev Appended) []Action {
	f := m.inFlight
	if f == nil || f.append.Nonce != ev.Nonce {
		return nil
	}
	switch {
	case ev.Outcome == hosting.OutcomeDone && ev.Offset == f.append.At:
		return m.appendAccepted(now)
	case ev.Outcome == hosting.OutcomeDone:
		// A new history of the store has begun; the record extends no lease.
		m.inFlight = nil
		m.handleConflict()
		return m.readFrom(now, hosting.NoOffset)
	case ev.Conflict && !f.outcomeUnknown:
		m.inFlight = nil
		m.handleConflict()
		return m.readFrom(now, hosting.NoOffset)
	case ev.Outcome == hosting.OutcomeRefused && !f.outcomeUnknown && !ev.Conflict:
		// The store did not execute the append. The next attempt follows after a
		// pause.
		m.inFlight = nil
		m.nextAppend = now.Add(m.cfg.RetryDelay)
		m.requeue(f)
		return nil
	}
	f.outcomeUnknown = true
	m.nextRead = now.Add(m.cfg.RetryDelay)
	return nil
}

// requeue puts a submitted record that was not appended back at the head of the
// queue.
func (m *Machine) requeue(f *pendingAppend) {
	if f.key == LeaseKey {
		return
	}
	var e Envelope
	if json.Unmarshal(f.append.Record.Value, &e) == nil {
		m.queue = append([]submission{{key: f.key, body: e.Body}}, m.queue...)
	}
}

// handleConflict handles an append by another daemon: the own term ends, and the
// end of the topic is unknown until the topic is read.
func (m *Machine) handleConflict() {
	m.known = false
	if m.term != hosting.NoOffset {
		m.endTerm()
	}
}

// appendAccepted records that the append in flight is in the topic. It extends
// the lease from the time at which the append was first sent.
func (m *Machine) appendAccepted(now time.Time) []Action {
	f := m.inFlight
	m.inFlight = nil
	offset := f.append.At
	if f.claim {
		f.term, m.term = offset, offset
	}
	m.newest = Observation{End: offset + 1, VM: m.vm, Term: f.term, Released: f.release, At: f.firstSent}
	m.known = true
	m.renewedAt = f.firstSent
	if f.release {
		m.endTerm()
		return nil
	}
	m.expiry = f.firstSent.Add(m.cfg.Duration - m.cfg.Margin)
	if f.key == LeaseKey {
		return nil
	}
	return []Action{RecordAppended{Key: f.key}}
}

// readOutcome reads the topic while the outcome of the append in flight is
// unknown.
func (m *Machine) readOutcome(now time.Time) []Action {
	if !m.inFlight.outcomeUnknown {
		return nil
	}
	return m.readFrom(now, m.inFlight.append.At)
}

func (m *Machine) readFrom(now time.Time, from int64) []Action {
	if m.reading || now.Before(m.nextRead) {
		return nil
	}
	m.reading = true
	return []Action{ReadTopic{From: from}}
}

// handleRead handles the answer to a read of the topic.
func (m *Machine) handleRead(now time.Time, ev Read) []Action {
	m.reading = false
	m.nextRead = now.Add(m.cfg.RetryDelay)
	if m.inFlight != nil && m.inFlight.outcomeUnknown {
		return m.resolveFromRead(now, ev)
	}
	m.observeRecords(now, ev)
	return nil
}

// observeRecords derives an observation from the records of a read. The age of
// the newest record is unknown, so its lease counts from the answer to the read. A
// copied record shows that a lease existed, but not that it was released.
func (m *Machine) observeRecords(now time.Time, ev Read) {
	s := Observation{End: ev.End, Term: hosting.NoOffset, At: now}
	if m.known && m.newest.End >= ev.End {
		return
	}
	for _, r := range ev.Records {
		if r.Key != LeaseKey {
			continue
		}
		e, err := Decode(r.Value)
		if err != nil {
			// Daemons write no such record, so it doesn't describe a lease.
			continue
		}
		s.VM, s.Term, s.Released = e.VM, e.Term, e.Released && e.History == hosting.History(r.Offset)
		if e.Term == hosting.NoOffset {
			s.Term = hosting.Position(e.History, hosting.OffsetIn(r.Offset))
		}
	}
	if s.Term == hosting.NoOffset && hosting.History(s.End) > hosting.History(m.newest.End) {
		// The copy is from before the first claim.
		s.VM, s.Term = m.newest.VM, m.newest.Term
	}
	m.observe(s)
}

// resolveFromRead determines the outcome of the append in flight from the record
// at its offset.
func (m *Machine) resolveFromRead(now time.Time, ev Read) []Action {
	f := m.inFlight
	if ev.End <= f.append.At {
		return m.resend(now)
	}
	for _, r := range ev.Records {
		if r.Offset != f.append.At {
			continue
		}
		if e, err := Decode(r.Value); err == nil && e.Holder == m.incarnation && e.Nonce == f.append.Nonce {
			return m.appendAccepted(now)
		}
	}
	m.inFlight = nil
	m.handleConflict()
	m.nextRead = now
	return m.readFrom(now, hosting.NoOffset)
}

// resend repeats an append that is not in the topic. Only one of the two can
// take effect, because both are conditional on the same offset. The lease of a
// claim counts from the first send, so it ends too early at worst.
func (m *Machine) resend(now time.Time) []Action {
	if !m.inFlight.claim && !m.holds(now) {
		// The lease has expired, so the record can't extend it. It may still reach
		// the topic; the read before the next claim finds it.
		m.inFlight = nil
		m.known = false
		m.endTerm()
		return nil
	}
	if m.inFlight.claim && m.stopping {
		m.inFlight = nil
		m.known = false
		return nil
	}
	return []Action{m.inFlight.append}
}
