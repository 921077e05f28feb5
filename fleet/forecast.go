package fleet

import (
	"math"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the two
	// averages in seconds. The fast one covers several requests, the slow one
	// the lead time of a server.
	fastTimeConstant = 10.0
	slowTimeConstant = 60.0
	// maxGrowth bounds the forecast as a multiple of the larger average.
	maxGrowth = 2.0
	// maxObservationGap is the longest time in seconds that one observation
	// represents.
	maxObservationGap = 10.0
)

// forecast extrapolates a rate from a fast and a slow exponential moving
// average. On a steady ramp each average lags by its time constant, so the
// difference of the two gives the slope.
type forecast struct {
	fast, slow float64
	at         time.Time
}

func (f *forecast) observe(now time.Time, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		return
	}
	if f.at.IsZero() {
		*f = forecast{fast: value, slow: value, at: now}
		return
	}
	elapsed := min(now.Sub(f.at).Seconds(), maxObservationGap)
	if elapsed <= 0 {
		return
	}
	f.at = now
	f.fast += (1 - math.Exp(-elapsed/fastTimeConstant)) * (value - f.fast)
	f.slow += (1 - math.Exp(-elapsed/slowTimeConstant)) * (value - f.slow)
}

// predict returns the expected rate after the lead time.
func (f *forecast) predict(lead time.Duration) float64 {
	slope := (f.fast - f.slow) / (slowTimeConstant - fastTimeConstant)
	predicted := f.fast + slope*(fastTimeConstant+lead.Seconds())
	return min(max(predicted, 0), maxGrowth*max(f.fast, f.slow))
}

// mixShiftThreshold is the change of the prefill share that counts as a new mix
// shift.
const mixShiftThreshold = 0.15

// mixShift numbers the shifts of the workload mix between prefill and decode.
// Oscillations below mixShiftThreshold are not counted, so that they don't
// permit further role changes.
type mixShift struct {
	number int
	share  float64
	set    bool
}

func (s *mixShift) observe(prefill, decode float64) {
	if prefill+decode <= 0 {
		return
	}
	share := prefill / (prefill + decode)
	if !s.set {
		s.share, s.set = share, true
		return
	}
	if math.Abs(share-s.share) >= mixShiftThreshold {
		s.number++
		s.share = share
	}
}
