package pool

import "github.com/mimosakeel/mimosakeel/backend"

// ScoreInterference rates the interference of a prefill on a decode runner: the
// delay of the streams in decode there and of those that begin during the
// prefill.
type ScoreInterference struct{}

const (
	// expectedStarts is the number of streams that are expected to begin on a
	// decode runner during a prefill.
	expectedStarts = 2
	// interferenceWeight is the weight of the prefill time in the delay of a stream.
	// It is above 1 because prefill runs in chunks between the tokens, so that one
	// prompt delays several tokens. docs/MEASUREMENTS.md compares weights.
	interferenceWeight = 4
)

// Score implements Scorer.
func (ScoreInterference) Score(v *View, c *Candidate) float64 {
	if v.Stage != StageWhole || c.Info.Role != backend.RoleDecode {
		return 0
	}
	prefillTime := c.PrefillPerToken * float64(max(v.Prompt-c.Cached, 0))
	return interferenceWeight * prefillTime * float64(c.Streams+expectedStarts)
}
