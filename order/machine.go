package order

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// target is a machine's state of one target.
type target struct {
	Target
	firstListed time.Time
	// missingSince is the time since which the target has been missing from the
	// target list, or zero.
	missingSince time.Time
	// fencedTerm is the highest term that the target has confirmed, or NoOffset.
	fencedTerm int64
	// activeSend is the number of the Send in progress, or 0.
	activeSend uint64
	// pausedUntil is the time before which nothing is sent.
	pausedUntil time.Time
}

// pendingSend is a Send in progress.
type pendingSend struct {
	target string
	term   int64
	fence  bool
	intent IntentID
}

// Machine is the order state machine of one daemon for one failure domain.
//
// Invariants: an intent is sent only after it was read back, and only by the
// holder while it has authority; at most one Send per target is in progress.
type Machine struct {
	cfg     Config
	lease   *lease.Machine
	chain   *record.Chain
	state   *State
	targets map[string]*target
	// wanted holds the requested commands that are not logged yet, by target.
	wanted       map[string]Command
	pendingSends map[uint64]pendingSend
	lastID       uint64
	// results holds the results of open intents that are not logged yet.
	results map[IntentID]Result
	// knownOpen is a copy of state.Open as of the last read, to detect closed
	// intents.
	knownOpen map[string]Intent
	// historyStart is the later of the times at which a genesis was read and at
	// which the chain was anchored.
	historyStart time.Time
	wasAnchored  bool
}

// NewMachine returns a machine over a chain whose state the caller folds.
func NewMachine(cfg Config, self lease.Identity, chain *record.Chain, state *State) *Machine {
	return &Machine{
		cfg:          cfg,
		lease:        lease.NewMachine(cfg.Lease, self, chain, &state.Lease),
		chain:        chain,
		state:        state,
		targets:      map[string]*target{},
		wanted:       map[string]Command{},
		pendingSends: map[uint64]pendingSend{},
		results:      map[IntentID]Result{},
		knownOpen:    map[string]Intent{},
	}
}

// Rebind switches to a new chain, after the log was trimmed above the offset that
// the reader had reached. Authority ends.
func (m *Machine) Rebind(chain *record.Chain, state *State) {
	m.chain = chain
	m.state = state
	m.wasAnchored = false
	m.lease.Rebind(chain, &state.Lease)
}

// Authority returns the authority and whether it is valid at the time now.
func (m *Machine) Authority(now time.Time) (lease.Authority, bool) { return m.lease.Authority(now) }

// Step handles one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var leaseEvent lease.Event = lease.Tick{}
	var actions []Action
	switch ev := ev.(type) {
	case LeaseEvent:
		leaseEvent = ev.Event
	case CommandRequest:
		m.wanted[ev.Target] = ev.Command
	case Targets:
		m.updateTargets(now, ev.Targets)
	case SendResult:
		m.handleResult(now, ev)
	}
	if read, ok := leaseEvent.(lease.Read); ok {
		actions = append(actions, m.handleRead(now, read)...)
	}
	m.lease.SetWrites(len(m.pendingSends))
	for _, a := range m.lease.Step(now, leaseEvent) {
		if _, lost := a.(lease.Lost); lost {
			clear(m.wanted)
		}
		actions = append(actions, LeaseAction{a})
	}
	authority, ok := m.lease.Authority(now)
	if !ok || m.lease.Stopping() {
		return actions
	}
	actions = append(actions, m.sendDue(now, authority)...)
	return append(actions, m.appendDue(now, authority)...)
}

func (m *Machine) updateTargets(now time.Time, listed []Target) {
	present := map[string]bool{}
	for _, info := range listed {
		present[info.ID] = true
		t := m.targets[info.ID]
		if t == nil {
			t = &target{firstListed: now, fencedTerm: record.NoOffset}
			m.targets[info.ID] = t
		}
		t.Target = info
		t.missingSince = time.Time{}
	}
	for id, t := range m.targets {
		if !present[id] && t.missingSince.IsZero() {
			t.missingSince = now
		}
		_, open := m.state.Open[id]
		if m.targetGone(now, t) && !open && t.activeSend == 0 {
			delete(m.targets, id)
		}
	}
	for id, intent := range m.state.Open {
		if m.targets[id] == nil {
			m.targets[id] = &target{
				Target:       Target{ID: id, Kind: intent.Kind},
				firstListed:  now,
				missingSince: now,
				fencedTerm:   record.NoOffset,
			}
		}
	}
}

func (m *Machine) targetGone(now time.Time, t *target) bool {
	return !t.missingSince.IsZero() && now.Sub(t.missingSince) >= m.cfg.GoneAfter
}

func (m *Machine) handleResult(now time.Time, ev SendResult) {
	s, ok := m.pendingSends[ev.Send]
	if !ok {
		return
	}
	delete(m.pendingSends, ev.Send)
	t := m.targets[s.target]
	t.activeSend = 0
	switch ev.Result {
	case AnswerDone:
		t.fencedTerm = max(t.fencedTerm, s.term)
		m.recordResult(s, ResultDone)
	case AnswerRefused:
		m.recordResult(s, ResultRefused)
		t.pausedUntil = now.Add(m.cfg.Settle)
	default:
		t.pausedUntil = now.Add(m.cfg.Settle)
	}
}

func (m *Machine) recordResult(s pendingSend, result Result) {
	if intent, open := m.state.Open[s.target]; open && !s.fence && intent.ID == s.intent {
		m.results[s.intent] = result
	}
}

// handleRead returns a Closed for each intent that the read records have closed.
func (m *Machine) handleRead(now time.Time, read lease.Read) []Action {
	if m.chain.Anchored() && !m.wasAnchored {
		m.wasAnchored = true
		m.historyStart = now
	}
	closed := map[IntentID]Result{}
	for _, d := range read.Decisions {
		if d.Verdict != record.Accepted {
			continue
		}
		if d.Entry.Kind == record.KindGenesis {
			m.historyStart = now
		}
		if d.Entry.Kind == KindClose {
			var body CloseBody
			_ = record.DecodeBody(d.Entry.Body, &body) // accepted, so it decodes
			for _, r := range body.Results {
				closed[r.Intent] = r.Result
			}
		}
	}
	return m.updateKnownOpen(closed)
}

func (m *Machine) updateKnownOpen(closed map[IntentID]Result) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.knownOpen)) {
		old := m.knownOpen[id]
		if now, open := m.state.Open[id]; open && now.ID == old.ID {
			continue
		}
		delete(m.results, old.ID)
		if result, ok := closed[old.ID]; ok {
			actions = append(actions, Closed{Intent: old, Result: result})
		}
	}
	for id, intent := range m.state.Open {
		if want, ok := m.wanted[id]; ok && want == intent.Command {
			delete(m.wanted, id)
		}
	}
	m.knownOpen = maps.Clone(m.state.Open)
	return actions
}

func (m *Machine) startSend(t *target, authority lease.Authority, id string, command Command, s pendingSend) Send {
	m.lastID++
	t.activeSend = m.lastID
	s.target = t.ID
	s.term = authority.Term
	m.pendingSends[m.lastID] = s
	return Send{
		Send:         m.lastID,
		ID:           id,
		Target:       t.Target,
		Command:      command,
		Fence:        authority.Term,
		AuthorityEnd: authority.End,
	}
}

func fenceID(term int64) string { return fmt.Sprintf("fence.%d", term) }
