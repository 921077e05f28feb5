package pool

// ScorePrefix credits the prefill time that the prefix cache saves. With
// Switches.BoundedLoad a runner far above the mean load gets no credit, so that a
// popular prefix is cached on several runners.
type ScorePrefix struct{}

// loadSlack is the load in tokens that is added to the bound. Without it, a mean
// load near zero would exclude every busy runner.
const loadSlack = 2048

// Score implements Scorer.
func (ScorePrefix) Score(v *View, c *Candidate) float64 {
	if v.Stage == StageDecode || !v.Config.PrefixAffinity {
		return 0
	}
	if v.Config.BoundedLoad && c.Load() > v.Config.LoadBound*v.MeanLoad+loadSlack {
		return 0
	}
	return -c.PrefillPerToken * float64(min(c.Cached, v.Prompt))
}
