package pool

// ScoreWait rates the time until the whole prompt is read, without regard to
// the prefix cache. An answer whose prompt is read elsewhere begins after the
// prompts that its runner reads.
type ScoreWait struct{}

// Score implements Scorer.
func (ScoreWait) Score(v *View, c *Candidate) float64 {
	if v.Stage == StageDecode {
		return c.Wait
	}
	return c.Wait + c.Fixed + c.PerToken*float64(v.Prompt)
}
