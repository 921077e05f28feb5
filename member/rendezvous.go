package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of VMs to which names are assigned by rendezvous
// hashing.
//
// Invariant: ids is sorted.
type Set struct {
	ids     []string
	domains []string
	hashes  []uint64
}

// Candidate is one VM of a Set.
type Candidate struct {
	ID            string
	FailureDomain string
}

// NewSet returns a set of the given VMs. Their order doesn't matter.
func NewSet(candidates []Candidate) *Set {
	byID := func(a, b Candidate) int { return strings.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(candidates, byID) {
		candidates = slices.SortedFunc(slices.Values(candidates), byID)
	}
	s := &Set{
		ids:     make([]string, len(candidates)),
		domains: make([]string, len(candidates)),
		hashes:  make([]uint64, len(candidates)),
	}
	for i, c := range candidates {
		s.ids[i] = c.ID
		s.domains[i] = c.FailureDomain
		s.hashes[i] = xxhash.Sum64String(c.ID)
	}
	return s
}

// Len returns the number of VMs in the set.
func (s *Set) Len() int { return len(s.ids) }

// IDs returns the VMs of the set. The caller must not change the slice.
func (s *Set) IDs() []string { return s.ids }

// Contains reports whether the VM is in the set.
func (s *Set) Contains(id string) bool {
	_, found := slices.BinarySearch(s.ids, id)
	return found
}

// Owner returns the VM with the highest score for name, or "" if the set is
// empty. When VMs are added or removed, only names that these VMs own move.
func (s *Set) Owner(name string) string {
	best := s.highestScore(name, "")
	if best < 0 {
		return ""
	}
	return s.ids[best]
}

// OwnerIn returns the owner of name among the VMs of a failure domain, or the
// owner in the whole set if the failure domain has no VM. It places the scheduler
// of a pool in the failure domain of its runners.
func (s *Set) OwnerIn(failureDomain, name string) string {
	if failureDomain != "" {
		if best := s.highestScore(name, failureDomain); best >= 0 {
			return s.ids[best]
		}
	}
	return s.Owner(name)
}

// highestScore returns the index of the VM with the highest score for name, or
// -1 if there is none. An empty failure domain selects all VMs. The lower ID wins
// a tie.
func (s *Set) highestScore(name, failureDomain string) int {
	key := xxhash.Sum64String(name)
	best, bestScore := -1, uint64(0)
	for i, h := range s.hashes {
		if failureDomain != "" && s.domains[i] != failureDomain {
			continue
		}
		score := combineHashes(key, h)
		if best < 0 || score > bestScore || score == bestScore && s.ids[i] < s.ids[best] {
			best, bestScore = i, score
		}
	}
	return best
}

// Ranks returns the n VMs with the highest scores for name in descending order,
// or all VMs if there are fewer.
func (s *Set) Ranks(name string, n int) []string {
	n = min(n, len(s.ids))
	key := xxhash.Sum64String(name)
	top := make([]int, 0, n+1)
	for i := range s.ids {
		at := len(top)
		for at > 0 && s.ranksHigher(key, i, top[at-1]) {
			at--
		}
		if at >= n {
			continue
		}
		top = append(top, 0)
		copy(top[at+1:], top[at:])
		top[at] = i
		top = top[:min(len(top), n)]
	}
	ranks := make([]string, len(top))
	for i, index := range top {
		ranks[i] = s.ids[index]
	}
	return ranks
}

func (s *Set) ranksHigher(key uint64, a, b int) bool {
	scoreA, scoreB := combineHashes(key, s.hashes[a]), combineHashes(key, s.hashes[b])
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return s.ids[a] < s.ids[b]
}

// combineHashes combines two xxhash values into a score with the finalizer of
// SplitMix64. That costs less than hashing the concatenated strings for each VM.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9E3779B97F4A7C15)
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}

// rumourKey shortens a VM's ID for heartbeats. Two VMs with the same key would
// share a rumour; at 320 VMs the probability of that is 1 in 84,000.
func rumourKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
