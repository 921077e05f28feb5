package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// runner is the state of one runner of the pool.
//
// Invariant: prefill, decode, kv and open equal the sums over the open tickets
// that name the runner, and none is negative.
type runner struct {
	info RunnerInfo
	slot int
	// listed is false for a runner that left the list while tickets are open.
	listed bool
	// down is set by RunnerDown until the runner is heard again.
	down   bool
	downAt time.Time
	// leaving is set while the runner's own reports say that it leaves.
	leaving bool
	// reportedKV is the KV memory in tokens of the load reports.
	reportedKV int
	// prefill and decode are outstanding tokens, kv is reserved KV memory in
	// tokens, open counts tickets and streams those that produce tokens here.
	prefill, decode, kv, open, streams int
	// mark is the time at which reading of the prompt at the head began.
	mark time.Time
	// heard is the time of the last sign of life.
	heard   time.Time
	predict predictor
	load    loadState
	// nextEvent is the number of the next cache event.
	nextEvent uint64
}

// ahead estimates the prompt tokens that are still to be read, in tokens. The
// exact count holds a whole prompt until its first token; the part that must
// have been read since mark is subtracted, at most the mean prompt.
func (r *runner) ahead(now time.Time) float64 {
	if r.prefill == 0 {
		return 0
	}
	waiting := max(r.open-r.streams, 1)
	read := now.Sub(r.mark).Seconds() / r.predict.first.b
	return float64(r.prefill) - min(max(read, 0), float64(r.prefill)/float64(waiting))
}

func (r *runner) up(now time.Time, cfg *Config) bool {
	if !r.listed || r.leaving || (r.down && (cfg.DownFor == 0 || now.Sub(r.downAt) < cfg.DownFor)) {
		return false
	}
	return cfg.RunnerTimeout == 0 || now.Sub(r.heard) < cfg.RunnerTimeout
}

// candidate collects the data that plugins see.
func (r *runner) candidate(now time.Time, cfg *Config, c *Candidate) {
	first := &r.predict.first
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
	c.Wait = first.b * r.ahead(now)
	c.Fixed = first.a
	c.PerToken = first.b
	c.Streams = r.streams
	if r.info.Role == backend.RoleDecode {
		// The prompts of granted requests are being read elsewhere; their streams
		// come within a moment.
		c.Streams = r.open
		c.Wait *= cfg.decodeReadFactor()
	}
	c.Between = r.predict.between.at(float64(c.Streams + 1))
	c.Up = r.up(now, cfg)
	if cfg.Corrections && r.load.surplus > 0 {
		bound := cfg.CorrectionBound * cfg.PrefillWait.Seconds()
		c.Wait += min(first.b*r.load.extra(now), bound)
	}
}
