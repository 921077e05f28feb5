package pool

// PickRoundRobin picks the candidates in turn, in the order of their slots.
type PickRoundRobin struct{ last int }

// Pick implements Picker.
func (p *PickRoundRobin) Pick(_ *View, candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Slot > p.last {
			best = i
			break
		}
	}
	p.last = candidates[best].Slot
	return best
}
