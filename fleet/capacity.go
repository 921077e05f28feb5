package fleet

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// roleCounts is the number of a model's engines by role.
type roleCounts struct{ mixed, prefill, decode float64 }

// count returns a pointer to the counter of a role.
func (r *roleCounts) count(role backend.Role) *float64 {
	switch role {
	case backend.RolePrefill:
		return &r.prefill
	case backend.RoleDecode:
		return &r.decode
	default:
		return &r.mixed
	}
}

// prefillUnits returns the predicted prefill work after the lead time, in
// engines that do only prefill.
func (m *model) prefillUnits(lead time.Duration) float64 {
	return m.prefill.Predict(lead) / m.prefillRate
}

// decodeUnits returns the predicted decode work after the lead time, in engines
// that do only decode.
func (m *model) decodeUnits(lead time.Duration) float64 {
	return m.decode.Predict(lead) / m.decodeRate
}

// units returns the predicted work after the lead time in mixed engines.
func (m *model) units(lead time.Duration, efficiency float64) float64 {
	return (m.prefillUnits(lead) + m.decodeUnits(lead)) / efficiency
}

// maxDemandScale bounds the result of demandScale.
const maxDemandScale = 2.0

// demandScale returns the largest factor, at most maxDemandScale, by which the
// demand can be multiplied before it exceeds the capacity. Each request needs
// both prefill and decode, so both are multiplied by the same factor.
func (r roleCounts) demandScale(prefill, decode, efficiency float64) float64 {
	low, high := 0.0, maxDemandScale
	if r.canServe(high*prefill, high*decode, efficiency) {
		return high
	}
	for range 30 {
		middle := (low + high) / 2
		if r.canServe(middle*prefill, middle*decode, efficiency) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// canServe reports whether the engines have capacity for the given work. Mixed
// engines take what exceeds the capacity of the dedicated ones.
func (r roleCounts) canServe(prefill, decode, efficiency float64) bool {
	rest := max(prefill-r.prefill, 0) + max(decode-r.decode, 0)
	return rest <= r.mixed*efficiency
}

// headroomValue is the value of capacity beyond the demand, relative to needed
// capacity. It is above 0 because the demand varies within seconds.
const headroomValue = 0.05

// value returns the value of a set of roles, in engines of served work.
func (r roleCounts) value(prefill, decode, efficiency float64) float64 {
	f := r.demandScale(prefill, decode, efficiency)
	return (min(f, 1) + headroomValue*max(f-1, 0)) * (prefill + decode)
}
