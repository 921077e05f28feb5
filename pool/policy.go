package pool

import (
	"math/bits"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Stage is the part of a request for which a runner is chosen.
type Stage uint8

// The stages.
const (
	// StageWhole is prefill and decode on one runner.
	StageWhole Stage = iota
	// StagePrefill is the prefill only.
	StagePrefill
	// StageDecode is the decode only, from a transferred KV cache.
	StageDecode
)

// View is the input of a plugin about the request and the pool. Plugins must not
// change it.
type View struct {
	Now     time.Time
	Request *Request
	Stage   Stage
	Config  *Config
	// Prompt is the clamped token count of the prompt. KV is the KV memory in
	// tokens that the request is expected to need.
	Prompt, KV int
	// PrefillWait and BetweenTokens are the bounds of Config in seconds.
	PrefillWait, BetweenTokens float64
	// MeanLoad is the mean of Candidate.Load over the runners that are up.
	MeanLoad float64
	// Sequence increases with each view. Pickers use it to break ties in turn.
	Sequence uint64
	// UnderBatchFloor is set while batch work is placed under the batch floor.
	UnderBatchFloor bool
}

// Candidate is the input of a plugin about one runner.
type Candidate struct {
	Info *RunnerInfo
	// Slot is the runner's index in the pool.
	Slot int
	// Prefill and Decode are the outstanding work and KV the reserved KV memory,
	// in tokens; Open is the number of open tickets. They are exact.
	Prefill, Decode, KV, Open int
	// Streams is the number of streams in decode. For a decode runner it includes
	// those whose prefill still runs on another runner.
	Streams int
	// Memory is the KV memory in tokens.
	Memory int
	// Cached is the number of prompt tokens whose KV cache the runner is expected
	// to hold.
	Cached int
	// Wait is the predicted wait behind the prefill of other requests,
	// PrefillPerToken the predicted prefill time per token and FixedTime the
	// predicted time per request, all in seconds.
	Wait, PrefillPerToken, FixedTime float64
	// LimitWait is the time in seconds until the runner's limit on requests allows
	// another one.
	LimitWait float64
	// BetweenTokens is the predicted time between tokens in seconds with one more
	// stream.
	BetweenTokens float64
	// Up is false for a runner that is unlisted, leaving, down or timed out (see
	// Config.RunnerTimeout).
	Up bool
	// Score is the sum of the scorers in seconds; lower is better.
	Score float64
}

// Load returns the outstanding work in tokens.
func (c *Candidate) Load() float64 { return float64(c.Prefill + c.Decode) }

// FirstToken predicts the time to first token in seconds.
func (c *Candidate) FirstToken(prompt int) float64 {
	return max(c.Wait, c.LimitWait) + c.FixedTime + c.PrefillPerToken*float64(max(prompt-c.Cached, 0))
}

// Filter drops candidates. The result of a static filter doesn't depend on the
// runner's load, so a request for which no candidate passes the static filters
// is refused instead of queued.
type Filter interface {
	Keep(v *View, c *Candidate) bool
	Static() bool
}

// Scorer rates a candidate in seconds of delay; lower is better.
type Scorer interface {
	Score(v *View, c *Candidate) float64
}

// Picker chooses among the candidates that passed the filters and returns the
// index of its choice. There is at least one candidate.
type Picker interface {
	Pick(v *View, candidates []Candidate) int
}

// Policy is a chain of plugins: filters, scorers and a picker.
type Policy struct {
	Name    string
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		Name:    "own",
		Filters: []Filter{FilterUp{}, FilterRole{}, FilterAdapter{}, FilterAvoid{}, FilterVersion{}, FilterMemory{}, FilterLimit{}, FilterBounds{}},
		Scorers: []Scorer{ScoreWait{}, ScorePrefix{}, ScoreStreams{}, ScoreClass{}, ScoreDomain{}, ScoreInterference{}},
		Picker:  PickLowest{},
	}
}

// choose returns the best candidate for the stage of the view, or ok=false if
// none passes the filters. It overwrites all with the candidates that pass.
func (p *Policy) choose(v *View, all []Candidate) (best Candidate, ok bool) {
	kept := all[:0]
	for i := range all {
		c := &all[i]
		if !p.passes(v, c, false) {
			continue
		}
		c.Score = 0
		for _, s := range p.Scorers {
			c.Score += s.Score(v, c)
		}
		kept = append(kept, *c)
	}
	if len(kept) == 0 {
		return Candidate{}, false
	}
	return kept[p.Picker.Pick(v, kept)], true
}

// passes reports whether a candidate passes the filters, or only the static ones.
func (p *Policy) passes(v *View, c *Candidate, static bool) bool {
	for _, f := range p.Filters {
		if static && !f.Static() {
			continue
		}
		if !f.Keep(v, c) {
			return false
		}
	}
	return true
}

// allowsRole reports whether a runner of the role can do the stage.
func (s Stage) allowsRole(role backend.Role, cfg *Config) bool {
	switch role {
	case backend.RolePrefill:
		return s == StagePrefill
	case backend.RoleDecode:
		return s == StageDecode || (s == StageWhole && cfg.DecodePrefills)
	default:
		return true
	}
}

func lowestBit(mask uint32) int { return bits.TrailingZeros32(mask) }
