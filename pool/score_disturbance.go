package pool

import "github.com/mimosakeel/mimosakeel/backend"

// ScoreDisturbance rates the delay that a prompt read by a decode runner causes
// to the answers that the runner produces and to those that begin meanwhile.
type ScoreDisturbance struct{}

const (
	// startsMeanwhile is the number of answers that are expected to begin on a
	// decode runner while it reads a prompt.
	startsMeanwhile = 2
	// disturbanceWeight is the number of times that an answer is delayed: prompts
	// are read in chunks between the tokens, so that one prompt delays several
	// tokens. docs/MEASUREMENTS.md compares weights.
	disturbanceWeight = 4
)

// Score implements Scorer.
func (ScoreDisturbance) Score(v *View, c *Candidate) float64 {
	if v.Stage != StageWhole || c.Info.Role != backend.RoleDecode {
		return 0
	}
	read := c.PerToken * float64(max(v.Prompt-c.Cached, 0))
	return disturbanceWeight * read * float64(c.Streams+startsMeanwhile)
}
