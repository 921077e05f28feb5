package pool

import (
	"math"
	"slices"
)

// WeightedOrder returns a random order in which an entry daemon asks several
// pools. The probability of being first is proportional to the pool's size, the
// number of its runners that take work; pools of size 0 come last. Asking the
// nearest pool first would load pools by the number of entry daemons near them
// instead of by their size. exponential must draw from the exponential
// distribution with mean 1.
func WeightedOrder(sizes []int, exponential func() float64) []int {
	order := make([]int, len(sizes))
	delay := make([]float64, len(sizes))
	for i, size := range sizes {
		order[i] = i
		delay[i] = math.Inf(1)
		if size > 0 {
			delay[i] = exponential() / float64(size)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case delay[a] < delay[b]:
			return -1
		case delay[a] > delay[b]:
			return 1
		}
		return 0
	})
	return order
}
