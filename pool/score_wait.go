package pool

// ScoreWait rates the predicted time until the prefill ends, without regard to
// the prefix cache. For the decode stage it is the wait behind prompts that the
// decode runner itself prefills.
type ScoreWait struct{}

// Score implements Scorer.
func (ScoreWait) Score(v *View, c *Candidate) float64 {
	if v.Stage == StageDecode {
		return c.Wait
	}
	return c.Wait + c.FixedTime + c.PrefillPerToken*float64(v.Prompt)
}
