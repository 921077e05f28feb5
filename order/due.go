package order

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// sendDue returns the writes to targets that may start now: first the fence order,
// then the open intent. It cancels the open intent of a target that is gone.
func (m *Machine) sendDue(now time.Time, authority lease.Authority) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.targets)) {
		t := m.targets[id]
		if t.activeSend != 0 || now.Before(t.pausedUntil) {
			continue
		}
		intent, open := m.state.Open[id]
		if !t.missingSince.IsZero() {
			if open && m.targetGone(now, t) {
				m.cancel(intent)
			}
			continue
		}
		if m.needsFence(t, authority.Term) {
			fence := Command{Name: CommandFence}
			actions = append(actions, m.startSend(t, authority, fenceID(authority.Term), fence, pendingSend{fence: true}))
			continue
		}
		if _, known := m.results[intent.ID]; !open || known || !m.writable(t) {
			continue
		}
		actions = append(actions, m.startSend(t, authority, intent.ID.String(), intent.Command, pendingSend{intent: intent.ID}))
	}
	return actions
}

func (m *Machine) cancel(intent Intent) {
	if _, known := m.results[intent.ID]; !known {
		m.results[intent.ID] = ResultCancelled
	}
}

// needsFence reports whether a fence order must come before any other order. The
// platform's interface has no fence order: there the first order of the term
// raises the fencing token.
func (m *Machine) needsFence(t *target, term int64) bool {
	return t.ChecksFence && t.Kind == TargetEngine && t.fencedTerm < term
}

// writable reports whether no write of another process can still take effect at
// the target. Targets that check fencing tokens refuse such writes themselves.
func (m *Machine) writable(t *target) bool {
	if t.ChecksFence {
		return true
	}
	if m.state.Lease.UncheckedWritesBlocked() {
		return false
	}
	// The history before a genesis is unknown, and with it the earlier holders.
	afterGenesis := m.state.Lease.Genesis != record.NoOffset
	return !afterGenesis || t.firstListed.Sub(m.historyStart) >= m.cfg.Quarantine
}

// appendDue appends the results of open intents or, if there are none, new
// intents.
func (m *Machine) appendDue(now time.Time, authority lease.Authority) []Action {
	if results := m.dueResults(); len(results) > 0 {
		return m.submit(now, KindClose, CloseBody{Term: authority.Term, Results: results})
	}
	m.repeatLastCommands(authority.Term)
	if intents := m.dueIntents(authority.Term); len(intents) > 0 {
		return m.submit(now, KindOpen, OpenBody{Term: authority.Term, Intents: intents})
	}
	return nil
}

func (m *Machine) submit(now time.Time, kind record.Kind, body any) []Action {
	a, ok := m.lease.Submit(now, kind, body)
	if !ok {
		return nil
	}
	return []Action{LeaseAction{a}}
}

func (m *Machine) dueResults() []IntentResult {
	var results []IntentResult
	for _, id := range slices.Sorted(maps.Keys(m.state.Open)) {
		intent := m.state.Open[id]
		result, known := m.results[intent.ID]
		if known && len(results) < m.cfg.MaxBatch {
			results = append(results, IntentResult{Intent: intent.ID, Target: id, Result: result})
		}
	}
	return results
}

// repeatLastCommands requests the last command again for platform targets that
// check fencing tokens and have confirmed no order of this term.
func (m *Machine) repeatLastCommands(term int64) {
	for id, t := range m.targets {
		last, known := m.state.Last[id]
		_, wanted := m.wanted[id]
		if known && !wanted && t.ChecksFence && t.Kind == TargetPlatform && t.fencedTerm < term {
			m.wanted[id] = last
		}
	}
}

func (m *Machine) dueIntents(term int64) []NewIntent {
	var intents []NewIntent
	for _, id := range slices.Sorted(maps.Keys(m.wanted)) {
		t := m.targets[id]
		_, open := m.state.Open[id]
		if open || t == nil || t.activeSend != 0 || !t.missingSince.IsZero() || len(intents) == m.cfg.MaxBatch {
			continue
		}
		if m.needsFence(t, term) || !m.writable(t) {
			continue
		}
		intents = append(intents, NewIntent{Target: id, Kind: t.Kind, Command: m.wanted[id]})
	}
	return intents
}
