package schedule

import (
	"time"

	"github.com/mimosakeel/mimosakeel/pool"
)

const (
	// demandInterval is the minimum time over which arriving work is averaged.
	demandInterval = time.Second
	// refusedAnswerShare is the share of MaxTokens that the answer of a refused
	// request is assumed to need.
	refusedAnswerShare = 0.5
)

// ModelDemand is the rate at which work for a model arrives at one pool,
// including refused requests.
type ModelDemand struct {
	Model string `cbor:"1,keyasint"`
	// Prefill and Decode are in tokens per second.
	Prefill float64 `cbor:"2,keyasint"`
	Decode  float64 `cbor:"3,keyasint"`
	// BatchShare is the share of Prefill that is batch work.
	BatchShare float64 `cbor:"4,keyasint,omitempty"`
	// PrefillRate and DecodeRate are the predicted rates of one engine in tokens
	// per second.
	PrefillRate float64 `cbor:"5,keyasint,omitempty"`
	DecodeRate  float64 `cbor:"6,keyasint,omitempty"`
}

// demandMeter measures the work that arrives at one pool.
type demandMeter struct {
	model string
	// prefill and decode are the tokens since the time since; batch is the part of
	// prefill that is batch work.
	prefill, decode, batch float64
	since                  time.Time
	last                   ModelDemand
}

// arrived adds the prompt of a new request.
func (d *demandMeter) arrived(r *pool.Request) {
	d.prefill += float64(r.PromptTokens)
	if r.Priority == pool.Batch {
		d.batch += float64(r.PromptTokens)
	}
}

// refused adds the estimated answer of a refused request.
func (d *demandMeter) refused(r *pool.Request) {
	d.decode += refusedAnswerShare * float64(r.MaxTokens)
}

// answered adds the length of an answer in tokens.
func (d *demandMeter) answered(tokens int) { d.decode += float64(max(tokens, 0)) }

// rates returns the rates of the last interval that lasted at least
// demandInterval.
func (d *demandMeter) rates(now time.Time, p *pool.Pool) ModelDemand {
	elapsed := now.Sub(d.since)
	if elapsed < demandInterval {
		return d.last
	}
	seconds := elapsed.Seconds()
	state := p.Demand()
	d.last = ModelDemand{
		Model:       d.model,
		Prefill:     d.prefill / seconds,
		Decode:      d.decode / seconds,
		PrefillRate: state.PrefillRate,
		DecodeRate:  state.DecodeRate,
	}
	if d.prefill > 0 {
		d.last.BatchShare = d.batch / d.prefill
	}
	d.prefill, d.decode, d.batch, d.since = 0, 0, 0, now
	return d.last
}
