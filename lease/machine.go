package lease

import (
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

// Machine is the lease state machine of one daemon for one subject.
//
// Invariants: authority ends before any other daemon may claim the lease; at most
// one chained append is in flight; a machine whose chain is not anchored writes
// no chained record.
type Machine struct {
	cfg      Config
	self     Identity
	chain    *record.Chain
	state    *State
	appender appender
	rank     int
	// writes is the number of writes to targets in progress.
	writes   int
	stopping bool
	stopped  bool
	// releasing is set once a release was sent, which may already be in effect.
	releasing bool
	// authority is the authority given by the own records read back so far.
	authority Authority
	// reportedTerm is the term of the last Gained that no Lost has followed, or
	// NoOffset.
	reportedTerm int64
	// lastRead is the time of the last Read. holderSilentSince is the time at
	// which the last of these was read: a record of the holder, a genesis, or the
	// checkpoint that anchored the chain.
	lastRead          time.Time
	holderSilentSince time.Time
	// wasAnchored is whether the chain was anchored at the last Read.
	wasAnchored bool
	anchorTimes anchorTimes
	// absentSince holds, by VM of an unresolved term, the time since which the VM
	// has been absent from the VM list.
	absentSince map[string]time.Time
	// started is the time of the first event. Writes of an earlier process of
	// this VM may be in flight until Margin after that.
	started time.Time
}

// NewMachine returns a machine that does not claim the lease until it gets a
// Rank. It reads the chain and the lease state, which the caller folds.
func NewMachine(cfg Config, self Identity, chain *record.Chain, state *State) *Machine {
	return &Machine{
		cfg:          cfg,
		self:         self,
		chain:        chain,
		state:        state,
		appender:     newAppender(self.Incarnation, chain.Subject()),
		rank:         -1,
		authority:    Authority{Term: record.NoOffset},
		reportedTerm: record.NoOffset,
		anchorTimes:  newAnchorTimes(),
		absentSince:  map[string]time.Time{},
	}
}

// Rebind switches to a new chain, after the log was trimmed above the offset that
// the reader had reached. Authority ends.
func (m *Machine) Rebind(chain *record.Chain, state *State) {
	m.chain = chain
	m.state = state
	m.wasAnchored = false
	m.authority = Authority{Term: record.NoOffset}
	m.anchorTimes = newAnchorTimes()
	m.lastRead = time.Time{}
}

// SetWrites sets the number of writes to targets in progress. A release, or a
// resignation of an own term, waits until it is 0.
func (m *Machine) SetWrites(n int) { m.writes = n }

// Authority returns the authority and whether it is valid at the time now.
func (m *Machine) Authority(now time.Time) (Authority, bool) {
	ok := m.chain.Anchored() &&
		!m.releasing &&
		m.state.HeldBy(m.self.Incarnation, m.authority.Term) &&
		now.Before(m.authority.End)
	return m.authority, ok
}

// Stopping reports whether a planned stop was announced.
func (m *Machine) Stopping() bool { return m.stopping }

// Step handles one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.started.IsZero() {
		m.started = now
	}
	var actions []Action
	switch ev := ev.(type) {
	case Read:
		m.handleRead(now, ev)
	case Appended:
		m.appender.handleResponse(now, ev, m.cfg.RetryDelay)
	case Rank:
		m.rank = ev.Rank
	case VMList:
		m.updateVMs(now, ev.VMs)
	case Stop:
		m.stopping = true
	}
	m.appender.expire(now, m.cfg.DoubtAfter)
	actions = m.reportAuthority(now, actions)
	return append(actions, m.nextActions(now)...)
}

// Submit returns the append of a record of the holder. It returns false if there
// is no authority or a chained append may not start yet.
func (m *Machine) Submit(now time.Time, kind record.Kind, body any) (Append, bool) {
	_, ok := m.Authority(now)
	if !ok || !m.appender.ready(now, m.chain) {
		return Append{}, false
	}
	return m.appendChained(now, kind, body), true
}

func (m *Machine) appendChained(now time.Time, kind record.Kind, body any) Append {
	e := m.chain.Envelope(kind, m.self.Incarnation, m.appender.newID(), record.EncodeBody(body))
	m.appender.markSent(now, e)
	return Append{e}
}

func (m *Machine) handleRead(now time.Time, ev Read) {
	m.lastRead = now
	if m.chain.Anchored() && !m.wasAnchored {
		m.wasAnchored = true
		m.holderSilentSince = now
	}
	for _, d := range ev.Decisions {
		m.anchorTimes.observe(now, d)
		if d.Verdict == record.Accepted && (d.Entry.Author == m.state.Current.Holder || d.Entry.Kind == record.KindGenesis) {
			m.holderSilentSince = now
		}
		sent, own := m.appender.readBack(d.Entry.ID)
		if own && d.Verdict == record.Accepted {
			m.extendAuthority(sent)
		}
	}
	m.appender.prune(m.chain)
}

// extendAuthority extends the authority after a record that was sent at the given
// time was read back as accepted.
func (m *Machine) extendAuthority(sent time.Time) {
	if !m.state.Held() || m.state.Current.Holder != m.self.Incarnation {
		return
	}
	end := sent.Add(m.cfg.Duration - m.cfg.Margin)
	if m.authority.Term != m.state.Current.Term || end.After(m.authority.End) {
		m.authority = Authority{Term: m.state.Current.Term, End: end}
	}
}

func (m *Machine) reportAuthority(now time.Time, actions []Action) []Action {
	authority, ok := m.Authority(now)
	if m.reportedTerm != record.NoOffset && (!ok || authority.Term != m.reportedTerm) {
		actions = append(actions, Lost{m.reportedTerm})
		m.reportedTerm = record.NoOffset
	}
	if ok && m.reportedTerm == record.NoOffset {
		m.reportedTerm = authority.Term
		actions = append(actions, Gained{authority.Term})
	}
	return actions
}

// nextActions returns the appends to start now, or Stopped.
func (m *Machine) nextActions(now time.Time) []Action {
	if !m.chain.Anchored() {
		return m.stepUnanchored(now)
	}
	actions := m.dueCheckpoint(now)
	if !m.appender.ready(now, m.chain) {
		return actions
	}
	if term, ok := m.resignable(now); ok {
		return append(actions, m.appendChained(now, KindResign, Body{Term: term, VM: m.self.VM}))
	}
	if m.state.Held() && m.state.Current.Holder == m.self.Incarnation {
		return append(actions, m.holderStep(now)...)
	}
	return append(actions, m.challengerStep(now)...)
}

func (m *Machine) holderStep(now time.Time) []Action {
	term := Body{Term: m.state.Current.Term}
	if m.stopping && m.writes == 0 {
		m.releasing = true
		return []Action{m.appendChained(now, KindRelease, term)}
	}
	if now.Sub(m.appender.lastSent) < m.cfg.Renewal && m.lastAppendAccepted() {
		return nil
	}
	return []Action{m.appendChained(now, KindRenew, term)}
}

// lastAppendAccepted reports whether the last chained append was read back as
// accepted, so that the next renewal is not due yet.
func (m *Machine) lastAppendAccepted() bool {
	return m.authority.Term == m.state.Current.Term &&
		!m.authority.End.Before(m.appender.lastSent.Add(m.cfg.Duration-m.cfg.Margin))
}

func (m *Machine) challengerStep(now time.Time) []Action {
	if m.stopping {
		return m.reportStopped()
	}
	fresh := !m.lastRead.IsZero() && now.Sub(m.lastRead) <= m.cfg.ReadFresh
	if m.rank < 0 || !fresh || m.hasOwnUnresolved() || now.Sub(m.started) < m.cfg.Margin {
		return nil
	}
	wait := time.Duration(m.rank) * m.cfg.RankDelay
	if m.state.Held() || (m.state.Current.Term == record.NoOffset && m.state.Genesis != record.NoOffset) {
		wait += m.cfg.Takeover()
	}
	if now.Sub(m.holderSilentSince) < wait {
		return nil
	}
	return []Action{m.appendChained(now, KindClaim, Body{VM: m.self.VM})}
}

func (m *Machine) reportStopped() []Action {
	if m.stopped || m.hasOwnUnresolved() {
		return nil
	}
	m.stopped = true
	return []Action{Stopped{}}
}
