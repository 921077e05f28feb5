package pool

import "github.com/mimosakeel/mimosakeel/backend"

// ScoreDisturbance rates the delay that a prompt read by a decode runner causes
// to the answers that the runner produces and to those that begin meanwhile.
type ScoreDisturbance struct{}

const (
	// startsMeanwhile is the number of answers that begin on a decode runner
	// while it reads a prompt of the usual size, a quarter of a second, at the
	// nine starts a second that the users' busiest days give each.
	startsMeanwhile = 2
	// disturbanceWeight is the number of times that an answer is delayed: prompts
	// are read in chunks between the tokens, so that one prompt delays several
	// tokens. Of 1, 4 and 20, 4 gave the fewest late answers on the users' days.
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
