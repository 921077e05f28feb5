package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// RunnerSummary describes the load of a runner to other daemons.
type RunnerSummary struct {
	ID   string       `cbor:"1,keyasint"`
	Role backend.Role `cbor:"2,keyasint"`
	// Tokens is the outstanding prefill and decode work, KV the reserved part of
	// the KV memory and KVTotal all of it, in tokens.
	Tokens   int      `cbor:"3,keyasint"`
	KV       int      `cbor:"4,keyasint"`
	KVTotal  int      `cbor:"5,keyasint"`
	Open     int      `cbor:"6,keyasint"`
	Adapters []string `cbor:"7,keyasint,omitempty"`
}

// Summary describes the runners of a pool that take new work.
type Summary struct {
	Runners []RunnerSummary `cbor:"1,keyasint"`
	// MaxOpen is the maximum number of open tickets per runner.
	MaxOpen int `cbor:"2,keyasint"`
}

// Summary returns the state that entry daemons use for their fallback.
func (p *Pool) Summary(now time.Time) Summary {
	s := Summary{MaxOpen: p.cfg.MaxOpen}
	for _, r := range p.runners {
		if r == nil || !r.up(now, &p.cfg) || r.info.Changing || r.info.State != hosting.ServerLive {
			continue
		}
		c := Candidate{}
		r.candidate(now, &p.cfg, &c)
		s.Runners = append(s.Runners, RunnerSummary{
			ID: r.info.ID, Role: r.info.Role, Tokens: r.prefill + r.decode,
			KV: r.kv, KVTotal: c.Memory, Open: r.open, Adapters: r.info.Adapters,
		})
	}
	return s
}

// Demand is the outstanding and arrived work of a pool, in tokens unless stated
// otherwise. It is the input of the forecast in package fleet.
type Demand struct {
	// Runners, Waiting and Open are numbers of runners, waiting requests and open
	// tickets.
	Runners, Waiting, Open int
	// Prefill and Decode are the outstanding work of open tickets.
	Prefill, Decode int
	// WaitingTokens is the estimated work of waiting requests.
	WaitingTokens float64
	// ArrivedPrefill and ArrivedDecode are the tokens of all requests since the
	// pool was created, including refused ones. ArrivedBatch is the part of their
	// sum that is batch work.
	ArrivedPrefill, ArrivedDecode, ArrivedBatch float64
	// PrefillRate and DecodeRate are the predicted rates of one runner in tokens
	// per second.
	PrefillRate, DecodeRate float64
	// Grants is the number of grants since the pool was created, GrantedPrompt the
	// length of their prompts and GrantedPrefill the part of it that was not cached.
	// GrantedSquares is the sum of the squares of the latter.
	Grants, GrantedPrompt, GrantedPrefill, GrantedSquares float64
}

// recordGrant adds a ticket to the totals of granted work.
func (d *Demand) recordGrant(t *ticket) {
	d.Grants++
	d.GrantedPrompt += float64(t.prompt)
	d.GrantedPrefill += float64(t.prefill)
	d.GrantedSquares += float64(t.prefill) * float64(t.prefill)
}

// Demand returns the outstanding and arrived work of the pool.
func (p *Pool) Demand() Demand {
	d := p.arrived
	d.Waiting, d.Open = p.queue.count, len(p.tickets)
	d.WaitingTokens = p.queue.cost[Interactive] + p.queue.cost[Batch]
	d.PrefillRate = 1 / p.poolPredictor.firstToken.b
	for _, r := range p.runners {
		if r == nil {
			continue
		}
		d.Prefill += r.prefill
		d.Decode += r.decode
		if r.listed {
			d.Runners++
		}
	}
	d.DecodeRate = p.decodeRate()
	return d
}

// decodeRate returns the highest predicted decode rate, in tokens per second, at
// which a runner's time between tokens is within Config.BetweenTokens.
func (p *Pool) decodeRate() float64 {
	bound := p.cfg.BetweenTokens.Seconds()
	best := 0.0
	for streams := 1; streams <= p.cfg.MaxOpen; streams *= 2 {
		between := p.poolPredictor.betweenTokens.at(float64(streams))
		if between > bound {
			break
		}
		best = max(best, float64(streams)/between)
	}
	return best
}

// RunnerWork is the outstanding work of a listed runner.
type RunnerWork struct {
	FailureDomain string
	Cheap         bool
	// Prefills is set if the runner prefills prompts for others or itself, Wait is
	// the predicted wait there and Work all outstanding work, in seconds.
	Prefills   bool
	Wait, Work float64
	// Memory is the share of the KV memory that is reserved.
	Memory float64
}

// Work appends the outstanding work of the listed runners that are up.
func (p *Pool) Work(now time.Time, out []RunnerWork) []RunnerWork {
	decode := p.decodeRate()
	for _, r := range p.runners {
		if r == nil || !r.up(now, &p.cfg) || r.info.State != hosting.ServerLive {
			continue
		}
		c := Candidate{}
		r.candidate(now, &p.cfg, &c)
		w := RunnerWork{
			FailureDomain: r.info.FailureDomain, Cheap: r.info.Class == hosting.ClassCheap,
			Prefills: r.info.Role != backend.RoleDecode, Wait: c.Wait, Work: c.Wait,
			Memory: float64(r.kv) / float64(max(c.Memory, 1)),
		}
		if decode > 0 {
			w.Work += float64(r.decode) / decode
		}
		out = append(out, w)
	}
	return out
}
