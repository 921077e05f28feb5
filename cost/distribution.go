package cost

import "math"

const (
	// buckets is the number of buckets of a Distribution; each spans a factor of 2.
	buckets = 36
	// minExponent is the binary logarithm of the lower bound of the first bucket.
	// The range, 61 µs to 4 million, covers seconds of work and tokens.
	minExponent = -14
	// memory is the number of observations after which the weight of the earlier
	// ones is halved. A kind whose work changes is learned anew within as many.
	memory = 128
	// outlierFactor is the multiple of the median to which an observation is reduced.
	// 1% of the requests cost twenty times the usual and must still count.
	outlierFactor = 32
	// outlierWeight is the weight from which on outliers are recognized.
	outlierWeight = 8
)

var (
	minValue = math.Ldexp(1, minExponent)
	maxValue = math.Ldexp(1, minExponent+buckets)
)

// Distribution is the learned distribution of a positive quantity, such as seconds of
// work or tokens. The zero value has no observations.
type Distribution struct {
	counts      [buckets]float32
	weight      float32
	sum, logSum float64
}

// add counts an observation, which must be valid.
func (d *Distribution) add(v float64) {
	if d.weight >= outlierWeight {
		v = min(v, outlierFactor*d.Quantile(0.5))
	}
	if d.weight >= memory {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.weight, d.sum, d.logSum = d.weight/2, d.sum/2, d.logSum/2
	}
	d.counts[bucketOf(v)]++
	d.weight++
	d.sum += v
	d.logSum += math.Log(v)
}

func bucketOf(v float64) int {
	_, exponent := math.Frexp(v)
	return min(max(exponent-1-minExponent, 0), buckets-1)
}

// Weight returns the decayed number of observations.
func (d *Distribution) Weight() float64 { return float64(d.weight) }

// Mean returns the mean, or 0 without observations.
func (d *Distribution) Mean() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.sum / float64(d.weight)
}

// Typical returns the geometric mean, or 0 without observations. Ratios to it show how
// fast a server is, because a few expensive requests hardly change it.
func (d *Distribution) Typical() float64 {
	if d.weight == 0 {
		return 0
	}
	return math.Exp(d.logSum / float64(d.weight))
}

// Quantile returns the q-quantile, interpolated within a bucket, or 0 without
// observations.
func (d *Distribution) Quantile(q float64) float64 {
	rank := float32(q) * d.weight
	for i, n := range d.counts {
		if n > 0 && rank <= n {
			return math.Exp2(float64(minExponent+i) + float64(rank/n))
		}
		rank -= n
	}
	if d.weight == 0 {
		return 0
	}
	return maxValue
}
