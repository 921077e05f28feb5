package fleet

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// maxRoleChanges is the maximum number of role changes of an engine per mix
// shift.
const maxRoleChanges = 2

var allRoles = []backend.Role{backend.RoleMixed, backend.RolePrefill, backend.RoleDecode}

// planRoles starts the role change with the largest positive gain. Only one
// engine of a pool changes at a time.
func (f *Fleet) planRoles(now time.Time, m *model) {
	if f.poolChanging(m.Name) {
		return
	}
	current := f.countRoles(m.Name)
	var best *engine
	var bestRole backend.Role
	bestGain := 0.0
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.Model != m.Name || !e.usable() || e.change != nil || !f.roleChangeAllowed(now, m, e) {
			continue
		}
		for _, role := range allRoles {
			if role == e.Role {
				continue
			}
			if gain := f.gain(m, current, e, role); gain > bestGain {
				best, bestRole, bestGain = e, role, gain
			}
		}
	}
	if best == nil {
		return
	}
	if best.shiftNumber != m.mix.number {
		best.shiftNumber, best.roleChanges = m.mix.number, 0
	}
	best.roleChanges++
	best.roleChangedAt = now
	f.beginChange(now, best, &change{kind: changeRole, role: bestRole})
}

// roleChangeAllowed reports whether MinStay and maxRoleChanges permit a role
// change of the engine.
func (f *Fleet) roleChangeAllowed(now time.Time, m *model, e *engine) bool {
	if !e.roleChangedAt.IsZero() && now.Sub(e.roleChangedAt) < f.cfg.MinStay {
		return false
	}
	return e.shiftNumber != m.mix.number || e.roleChanges < maxRoleChanges
}

// gain returns the net benefit of a role change within the payback time, in
// engine seconds. It is 0 if the change leaves prefill or decode without an
// engine, or if it lowers the value at the present demand, so that a wrong
// forecast alone doesn't cause a change.
func (f *Fleet) gain(m *model, current roleCounts, e *engine, role backend.Role) float64 {
	without, changed := current, current
	*without.count(e.Role)--
	*changed.count(e.Role)--
	*changed.count(role)++
	if !changed.servesBothPhases() {
		return 0
	}
	efficiency := f.cfg.MixedEfficiency
	p, d := m.prefillUnits(f.cfg.RoleTime), m.decodeUnits(f.cfg.RoleTime)
	currentValue := current.value(p, d, efficiency)
	earned := changed.value(p, d, efficiency) - currentValue
	lost := currentValue - without.value(p, d, efficiency)
	presentP, presentD := m.prefill.fast/m.prefillRate, m.decode.fast/m.decodeRate
	if changed.value(presentP, presentD, efficiency) < current.value(presentP, presentD, efficiency) {
		return 0
	}
	return earned*f.cfg.Payback.Seconds() - lost*f.cfg.RoleTime.Seconds()
}

// servesBothPhases reports whether both prefill and decode have an engine.
func (r roleCounts) servesBothPhases() bool {
	return r.mixed > 0 || r.prefill > 0 && r.decode > 0
}

// countRoles counts the usable engines of a model by role.
func (f *Fleet) countRoles(name string) roleCounts {
	var r roleCounts
	for _, e := range f.engines {
		if e.Model == name && e.usable() {
			*r.count(e.Role)++
		}
	}
	return r
}

// poolChanging reports whether an engine of the model's pool is changing its
// role or model.
func (f *Fleet) poolChanging(name string) bool {
	for _, e := range f.engines {
		c := e.change
		if c != nil && c.previousModel == name && (c.kind == changeRole || c.kind == changeModel) {
			return true
		}
	}
	return false
}
