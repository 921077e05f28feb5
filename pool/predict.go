package pool

import "math"

// linearPredictor predicts y = a + b*x by least squares with exponential
// forgetting. Both coefficients are clamped to fixed limits, so that false
// observations have a bounded effect.
type linearPredictor struct {
	// n, x, y, xx and xy are exponentially decayed sums over the observations: of
	// 1, x, y, x*x and x*y.
	n, x, y, xx, xy float64
	a, b            float64
	limit           coefficientLimits
	// meanAbsError is the moving average of the absolute prediction error.
	meanAbsError float64
}

type coefficientLimits struct{ minA, maxA, minB, maxB float64 }

const (
	// forgettingFactor is the factor by which each new observation reduces the
	// weight of the earlier ones.
	forgettingFactor = 0.98
	// errorGain is the weight of the newest error in the moving average.
	errorGain = 0.05
)

// newLinear returns a predictor with the initial coefficients a and b. They count
// as two observations at each end of the range [0, span] of x.
func newLinear(a, b, span float64, limit coefficientLimits) linearPredictor {
	l := linearPredictor{limit: limit}
	for range 2 {
		l.add(0, a)
		l.add(span, a+b*span)
	}
	l.fit()
	return l
}

func (l *linearPredictor) add(x, y float64) {
	l.n = l.n*forgettingFactor + 1
	l.x = l.x*forgettingFactor + x
	l.y = l.y*forgettingFactor + y
	l.xx = l.xx*forgettingFactor + x*x
	l.xy = l.xy*forgettingFactor + x*y
}

func (l *linearPredictor) fit() {
	variance := l.n*l.xx - l.x*l.x
	if variance > 1e-9*l.n*l.xx {
		l.b = (l.n*l.xy - l.x*l.y) / variance
	}
	l.b = min(max(l.b, l.limit.minB), l.limit.maxB)
	l.a = min(max((l.y-l.b*l.x)/l.n, l.limit.minA), l.limit.maxA)
}

// observe updates the predictor with one observation. A value above four times
// the prediction plus 0.1 is reduced to that, because a single stalled stream
// says little about the others.
func (l *linearPredictor) observe(x, y float64) {
	if math.IsNaN(y) || y <= 0 {
		return
	}
	predicted := l.at(x)
	y = min(y, 4*predicted+0.1)
	l.meanAbsError += errorGain * (math.Abs(y-predicted) - l.meanAbsError)
	l.add(x, y)
	l.fit()
}

func (l *linearPredictor) at(x float64) float64 { return l.a + l.b*x }

// latencyPredictor predicts the latencies of a runner in seconds.
type latencyPredictor struct {
	// firstToken predicts the time to first token from the number of prompt tokens
	// that the runner has yet to prefill, including those of the request.
	firstToken linearPredictor
	// betweenTokens predicts the time between tokens from the number of streams.
	betweenTokens linearPredictor
}

// newPredictor returns a predictor whose initial prefill rate is given in tokens
// per second.
func newPredictor(rate float64) latencyPredictor {
	return latencyPredictor{
		firstToken:    newLinear(0.020, 1/rate, 8000, coefficientLimits{0.001, 0.5, 1.0 / 200_000, 1.0 / 500}),
		betweenTokens: newLinear(0.010, 0.0003, 64, coefficientLimits{0.001, 0.2, 0, 0.01}),
	}
}
