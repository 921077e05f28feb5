package usage

import (
	"fmt"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// Machine is the state machine that closes windows and reports their figures to
// the platform while this daemon holds the usage lease.
//
// Invariant: it reports only figures that it has read back from the log.
type Machine struct {
	cfg   Config
	self  lease.Identity
	lease *lease.Machine
	chain *record.Chain
	state *State
	// live are the incarnations whose usage a window waits for before it is closed;
	// nil if unknown.
	live []string
	// lastID is the ID of the last Send.
	lastID uint64
	// sending is the ID of the Send in progress, or 0; sendingWindow is its window.
	sending       uint64
	sendingWindow int64
	// pausedUntil is the time before which no report is sent, because the outcome of
	// the last one is unknown.
	pausedUntil time.Time
	// confirmed are the windows whose report the platform has confirmed, but whose
	// confirmation is not yet in the log.
	confirmed map[int64]bool
}

// NewMachine returns a machine. The caller folds the log into chain and state.
func NewMachine(cfg Config, self lease.Identity, chain *record.Chain, state *State) *Machine {
	return &Machine{
		cfg:       cfg,
		self:      self,
		lease:     lease.NewMachine(cfg.Lease, self, chain, &state.Lease),
		chain:     chain,
		state:     state,
		confirmed: map[int64]bool{},
	}
}

// Rebind replaces the chain and its state. The caller uses it after the position
// of its reader was trimmed from the log.
func (m *Machine) Rebind(chain *record.Chain, state *State) {
	m.chain = chain
	m.state = state
	m.lease.Rebind(chain, &state.Lease)
}

// Authority returns the authority of the lease, if this daemon has it at the time
// now.
func (m *Machine) Authority(now time.Time) (lease.Authority, bool) { return m.lease.Authority(now) }

// Step handles one event and returns the actions that the caller must take.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var leaseEvent lease.Event = lease.Tick{}
	switch ev := ev.(type) {
	case LeaseEvent:
		leaseEvent = ev.Event
	case Live:
		m.live = append([]string{}, ev.Incarnations...)
	case SendResult:
		m.handleResult(now, ev)
	}
	writes := 0
	if m.sending != 0 {
		writes = 1
	}
	m.lease.SetWrites(writes)
	var actions []Action
	for _, a := range m.lease.Step(now, leaseEvent) {
		actions = append(actions, LeaseAction{a})
	}
	authority, ok := m.lease.Authority(now)
	if !ok || m.lease.Stopping() {
		return actions
	}
	actions = append(actions, m.sendNextReport(now, authority)...)
	return append(actions, m.submitNextRecord(now, authority)...)
}

// handleResult handles the outcome of the Send in progress.
func (m *Machine) handleResult(now time.Time, ev SendResult) {
	if ev.Send != m.sending {
		return
	}
	m.sending = 0
	if ev.Done {
		m.confirmed[m.sendingWindow] = true
		return
	}
	m.pausedUntil = now.Add(m.cfg.UnknownOutcomePause)
}

// sendNextReport sends the oldest report that is not confirmed, unless a Send is in
// progress.
func (m *Machine) sendNextReport(now time.Time, authority lease.Authority) []Action {
	if m.sending != 0 || now.Before(m.pausedUntil) {
		return nil
	}
	if !m.cfg.ChecksFence && m.state.Lease.UncheckedWritesBlocked() {
		return nil
	}
	for _, r := range m.state.Reports {
		if m.confirmed[r.Window] {
			continue
		}
		m.lastID++
		m.sending, m.sendingWindow = m.lastID, r.Window
		return []Action{Send{Send: m.lastID, AuthorityEnd: authority.End, Report: m.report(r, authority.Term)}}
	}
	return nil
}

func (m *Machine) report(r Report, term int64) hosting.UsageReport {
	return hosting.UsageReport{
		ID:       fmt.Sprintf("%s/%d", m.chain.Subject(), r.Window),
		Window:   r.Window,
		Fence:    term,
		Reporter: m.self.Incarnation,
		Figures:  r.Figures,
	}
}

// submitNextRecord submits a record for the log: a confirmation if there is one,
// else the close of the next window if that is due.
func (m *Machine) submitNextRecord(now time.Time, authority lease.Authority) []Action {
	for _, r := range m.state.Reports {
		if m.confirmed[r.Window] {
			return m.submit(now, KindReported, ReportedBody{Term: authority.Term, Window: r.Window})
		}
	}
	clear(m.confirmed)
	window := m.state.Next
	if window == 0 {
		// This is the last window whose grace period is over. If the grace period
		// were not subtracted, windows shorter than it would never be closed: the
		// next window would be chosen before the current one becomes closable.
		window = (now.Add(-m.cfg.Grace).Unix()/m.state.Size - 1) * m.state.Size
	}
	if !m.closable(now, window) {
		return nil
	}
	return m.submit(now, KindClose, CloseBody{Term: authority.Term, Window: window, Figures: m.state.Figures(window)})
}

// closable reports whether a window may be closed: its grace period is over, every
// live incarnation has reported all of its usage, and not too many reports await
// confirmation.
func (m *Machine) closable(now time.Time, window int64) bool {
	end := time.Unix(window+m.state.Size, 0)
	if now.Before(end.Add(m.cfg.Grace)) || m.live == nil || len(m.state.Reports) >= m.cfg.MaxUnconfirmed {
		return false
	}
	for _, incarnation := range m.live {
		if !m.state.PastWindow(incarnation, window) {
			return false
		}
	}
	return true
}

func (m *Machine) submit(now time.Time, kind record.Kind, body any) []Action {
	a, ok := m.lease.Submit(now, kind, body)
	if !ok {
		return nil
	}
	return []Action{LeaseAction{a}}
}
