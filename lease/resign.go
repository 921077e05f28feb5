package lease

import (
	"slices"
	"time"
)

// resignable returns an unresolved term that this process may resign: its own
// after its last write has ended, that of an earlier process of its VM, or, if
// this process has authority, that of a VM that has left the VM list.
func (m *Machine) resignable(now time.Time) (int64, bool) {
	_, authority := m.Authority(now)
	for _, t := range m.state.Unresolved {
		own := t.Holder == m.self.Incarnation && m.writes == 0
		earlier := t.Holder != m.self.Incarnation && t.VM == m.self.VM && now.Sub(m.started) >= m.cfg.Margin
		if own || earlier || (authority && m.vmGone(now, t.VM)) {
			return t.Term, true
		}
	}
	return 0, false
}

func (m *Machine) hasOwnUnresolved() bool {
	return slices.ContainsFunc(m.state.Unresolved, func(t Tenure) bool {
		return t.Holder == m.self.Incarnation
	})
}

// vmGone reports whether a VM was absent from the VM list for longer than the lag
// of the list. A shorter absence proves nothing, because a new VM is absent from a
// lagging list as well.
func (m *Machine) vmGone(now time.Time, vm string) bool {
	_, absent := m.absentSince[vm]
	return absent && m.absentSince[vm].Add(m.cfg.ListLag).Before(now)
}

func (m *Machine) updateVMs(now time.Time, vms []string) {
	absent := map[string]time.Time{}
	for _, t := range m.state.Unresolved {
		if slices.Contains(vms, t.VM) {
			continue
		}
		since, known := m.absentSince[t.VM]
		if !known {
			since = now
		}
		absent[t.VM] = since
	}
	m.absentSince = absent
}
