package fleet

import (
	"math"
	"time"
)

const (
	// fastTime and slowTime are the time constants of the forecast of a model's
	// demand. The fast one covers several requests, the slow one the lead time of a
	// server.
	fastTime = 10 * time.Second
	slowTime = 60 * time.Second
	// maxGrowth bounds the forecast as a multiple of the larger average.
	maxGrowth = 2.0
	// maxObservationGap is the longest time in seconds that one observation
	// represents.
	maxObservationGap = 10.0
)

// Forecast extrapolates a rate from a fast and a slow exponential moving
// average. On a steady ramp each average lags by its time constant, so the
// difference of the two gives the slope.
type Forecast struct {
	// fastTime and slowTime are the time constants in seconds.
	fastTime, slowTime float64
	fast, slow         float64
	at                 time.Time
}

// NewForecast returns a forecast with the given time constants, of which slow
// must be longer than fast.
func NewForecast(fast, slow time.Duration) Forecast {
	return Forecast{fastTime: fast.Seconds(), slowTime: slow.Seconds()}
}

// Observe adds an observation. Values that are negative or not finite are
// ignored.
func (f *Forecast) Observe(now time.Time, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		return
	}
	if f.at.IsZero() {
		f.fast, f.slow, f.at = value, value, now
		return
	}
	elapsed := min(now.Sub(f.at).Seconds(), maxObservationGap)
	if elapsed <= 0 {
		return
	}
	f.at = now
	f.fast += (1 - math.Exp(-elapsed/f.fastTime)) * (value - f.fast)
	f.slow += (1 - math.Exp(-elapsed/f.slowTime)) * (value - f.slow)
}

// Average returns the fast average.
func (f *Forecast) Average() float64 { return f.fast }

// Predict returns the expected rate after the lead time.
func (f *Forecast) Predict(lead time.Duration) float64 {
	slope := (f.fast - f.slow) / (f.slowTime - f.fastTime)
	predicted := f.fast + slope*(f.fastTime+lead.Seconds())
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
