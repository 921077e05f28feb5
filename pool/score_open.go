package pool

// ScoreOpen rates a runner by its number of open tickets.
type ScoreOpen struct{}

// Score implements Scorer.
func (ScoreOpen) Score(_ *View, c *Candidate) float64 { return float64(c.Open) }
