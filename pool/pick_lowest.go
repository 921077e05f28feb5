package pool

// PickLowest picks the candidate with the lowest score. Ties are broken in turn.
type PickLowest struct{}

// Pick implements Picker.
func (PickLowest) Pick(v *View, candidates []Candidate) int {
	start := int(v.Sequence % uint64(len(candidates)))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].Score < candidates[best].Score {
			best = at
		}
	}
	return best
}
