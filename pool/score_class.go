package pool

import "github.com/mimosakeel/mimosakeel/hosting"

// ScoreClass prefers cheap servers for batch work and the others for interactive
// work if the other scores are equal. An eviction costs a stream one resume.
type ScoreClass struct{}

// evictionCost is the penalty in seconds for a server of the other class. It is
// the expected cost of a resume for a stream on a server that may be evicted.
const evictionCost = 0.005

// Score implements Scorer.
func (ScoreClass) Score(v *View, c *Candidate) float64 {
	cheap := c.Info.Class == hosting.ClassCheap
	if cheap == (v.Request.Priority == Batch) {
		return 0
	}
	return evictionCost
}
