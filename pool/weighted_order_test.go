package pool

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against pools that come first more or less often than in proportion to
// their size, and against empty pools before others.
func TestWeightedOrderIsProportionalToSize(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	first := make([]int, 3)
	const rounds = 10_000
	for range rounds {
		order := WeightedOrder([]int{3, 0, 1}, random.ExpFloat64)
		g.Expect(order).To(ConsistOf(0, 1, 2))
		g.Expect(order[2]).To(Equal(1))
		first[order[0]]++
	}
	g.Expect(float64(first[0]) / rounds).To(BeNumerically("~", 0.75, 0.02))
}
