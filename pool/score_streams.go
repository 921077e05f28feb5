package pool

// ScoreStreams rates the predicted decode time of the first streamTokens tokens,
// so that streams are distributed over the runners.
type ScoreStreams struct{}

// streamTokens is the weight of the time between tokens relative to the time to
// first token.
const streamTokens = 16

// Score implements Scorer.
func (ScoreStreams) Score(v *View, c *Candidate) float64 {
	if v.Stage == StagePrefill {
		return 0
	}
	return streamTokens * c.BetweenTokens
}
