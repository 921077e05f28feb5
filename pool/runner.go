package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/limit"
)

// runner is the state of one runner of the pool.
//
// Invariant: prefill, decode, kv and open equal the sums over the open tickets
// that name the runner, and none is negative.
type runner struct {
	info RunnerInfo
	slot int
	// listed is false for a runner that left the list but still has open tickets.
	listed bool
	// down is set by RunnerDown, at downAt, until the runner reports again
	// or is listed anew.
	down   bool
	downAt time.Time
	// leaving is set while the runner's load reports say that it is leaving.
	leaving bool
	// reportedKV is the KV memory in tokens according to load reports; 0 if
	// unknown.
	reportedKV int
	// prefill and decode are the outstanding work and kv the reserved KV memory,
	// in tokens. open counts the tickets and streams those in decode here.
	prefill, decode, kv, open, streams int
	// prefillStart is the time at which the prefill in progress began.
	prefillStart time.Time
	// lastHeard is the time at which the runner was last known to be alive.
	lastHeard time.Time
	predictor latencyPredictor
	// limit is the limit on requests that the runner has named.
	limit limit.Server
	load  loadState
	// nextEvent is the number of the next cache event to apply.
	nextEvent uint64
}

// prefillBacklog estimates the outstanding prefill work in tokens. The exact
// count contains a whole prompt until its prefill ends, so the tokens that were
// probably processed since prefillStart are subtracted, at most the mean
// prompt.
func (r *runner) prefillBacklog(now time.Time) float64 {
	if r.prefill == 0 {
		return 0
	}
	inPrefill := max(r.open-r.streams, 1)
	processed := now.Sub(r.prefillStart).Seconds() / r.predictor.firstToken.b
	return float64(r.prefill) - min(max(processed, 0), float64(r.prefill)/float64(inPrefill))
}

// up reports whether the runner is listed and neither leaving, down nor timed out
// (see Config.RunnerTimeout).
func (r *runner) up(now time.Time, cfg *Config) bool {
	if !r.listed || r.leaving || (r.down && (cfg.DownFor == 0 || now.Sub(r.downAt) < cfg.DownFor)) {
		return false
	}
	return cfg.RunnerTimeout == 0 || now.Sub(r.lastHeard) < cfg.RunnerTimeout
}

// candidate fills in the plugins' input about the runner.
func (r *runner) candidate(now time.Time, cfg *Config, c *Candidate) {
	first := &r.predictor.firstToken
	c.Info = &r.info
	c.Slot = r.slot
	c.Memory = r.info.KVTotal
	if c.Memory == 0 {
		c.Memory = r.reportedKV
	}
	if c.Memory == 0 {
		c.Memory = cfg.DefaultKV
	}
	c.Prefill, c.Decode, c.KV, c.Open = r.prefill, r.decode, r.kv, r.open
	c.Wait = first.b * r.prefillBacklog(now)
	c.LimitWait = r.limit.Wait(now).Seconds()
	c.FixedTime = first.a
	c.PrefillPerToken = first.b
	c.Streams = r.streams
	if r.info.Role == backend.RoleDecode {
		// The prefill of granted requests runs on other runners, so their streams
		// arrive shortly.
		c.Streams = r.open
		c.Wait *= cfg.decodePrefillFactor()
	}
	c.BetweenTokens = r.predictor.betweenTokens.at(float64(c.Streams + 1))
	c.Up = r.up(now, cfg)
	if cfg.Corrections && r.load.surplus > 0 {
		bound := cfg.CorrectionBound * cfg.PrefillWait.Seconds()
		c.Wait += min(first.b*r.load.decayedSurplus(now), bound)
	}
}

// setLimit applies a runner's limit on requests.
func (r *runner) setLimit(now time.Time, ev *RunnerLimited) {
	switch {
	case !ev.Limited:
		r.limit.Lift()
	case ev.Excluded:
		r.limit.Exclude(now)
	default:
		r.limit.Set(now, ev.Limit)
	}
}
