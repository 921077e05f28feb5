package compare

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/load"
)

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

func sum(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// merge merges two lists in time order and renumbers the arrivals.
func merge(a, b []load.Arrival) []load.Arrival {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y load.Arrival) int { return cmp.Compare(x.At, y.At) })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// blocks returns the block hashes of a prompt: those of the shared prefix,
// followed by hashes that no other prompt has.
func blocks(a *load.Arrival) []uint64 {
	out := make([]uint64, a.PromptTokens/backend.PrefixBlockTokens)
	for i := range out {
		if a.Prefix >= 0 && i < prefixTokens/backend.PrefixBlockTokens {
			out[i] = hash(uint64(a.Customer+1), uint64(a.Prefix), uint64(i))
			continue
		}
		out[i] = hash(0, uint64(a.Number), uint64(i))
	}
	return out
}

// hash mixes three numbers with the finalizer of SplitMix64.
func hash(a, b, c uint64) uint64 {
	x := a<<48 ^ b<<16 ^ c
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// minMaxTokens is the lowest max_tokens that clients send.
const minMaxTokens = 64

// maxTokens returns the max_tokens that a client sends: the length of the answer
// rounded up to a power of two, as if the client knew it within a factor of two.
func maxTokens(output int) int {
	return max(1<<bits.Len(uint(output-1)), minMaxTokens)
}
