package pool

import (
	"slices"
	"sync/atomic"

	"github.com/mimosakeel/mimosakeel/backend"
)

// fallbackShare is the share of a runner's unused tickets that all entry daemons
// together may use without the scheduler. It is below 1 because the snapshot is
// out of date and the daemons don't know each other's choices.
const fallbackShare = 0.5

// Fallback places the requests of one entry daemon while the pool's scheduler
// doesn't respond. Update must be called by one goroutine only; Choose is safe for
// concurrent use.
type Fallback struct {
	state    atomic.Pointer[[]fallbackRunner]
	counters map[string]*atomic.Int64
}

type fallbackRunner struct {
	summary RunnerSummary
	// outstanding counts the requests that this daemon has placed on the runner,
	// at most limit.
	outstanding *atomic.Int64
	limit       int64
	// tokensPerRequest is the mean outstanding work of a request in tokens.
	tokensPerRequest int64
}

// Placement is a runner assigned to a request by Fallback. Call Done when the
// request ends.
type Placement struct {
	Runner      string
	outstanding *atomic.Int64
}

// Done ends the placement.
func (p Placement) Done() { p.outstanding.Add(-1) }

// NewFallback returns a fallback without runners.
func NewFallback() *Fallback {
	f := &Fallback{counters: map[string]*atomic.Int64{}}
	f.state.Store(&[]fallbackRunner{})
	return f
}

// Update replaces the snapshot of the pool. daemons is the number of live
// daemons, among which the runners' unused tickets are divided.
func (f *Fallback) Update(s Summary, daemons int) {
	runners := make([]fallbackRunner, 0, len(s.Runners))
	counters := make(map[string]*atomic.Int64, len(s.Runners))
	for _, r := range s.Runners {
		counter := f.counters[r.ID]
		if counter == nil {
			counter = &atomic.Int64{}
		}
		counters[r.ID] = counter
		if r.Role != backend.RoleMixed {
			continue
		}
		free := fallbackShare * float64(s.MaxOpen-r.Open) / float64(max(daemons, 1))
		runners = append(runners, fallbackRunner{
			summary: r, outstanding: counter, limit: max(int64(free), 1),
			tokensPerRequest: int64(max(r.Tokens/max(r.Open, 1), 1)),
		})
	}
	f.counters = counters
	f.state.Store(&runners)
}

// Choose picks the less loaded of two runners that random selects, or the other
// one if the first doesn't fit the request or is at this daemon's limit. It
// returns ok=false if neither can be used.
func (f *Fallback) Choose(req *Request, random uint64) (placement Placement, ok bool) {
	runners := *f.state.Load()
	if len(runners) == 0 {
		return Placement{}, false
	}
	first := &runners[random%uint64(len(runners))]
	second := &runners[(random>>32)%uint64(len(runners))]
	if second.load() < first.load() {
		first, second = second, first
	}
	for _, r := range []*fallbackRunner{first, second} {
		if r.fits(req) && r.tryReserve() {
			return Placement{Runner: r.summary.ID, outstanding: r.outstanding}, true
		}
	}
	return Placement{}, false
}

// load estimates the outstanding work on the runner in tokens.
func (r *fallbackRunner) load() int64 {
	return int64(r.summary.Tokens) + r.outstanding.Load()*r.tokensPerRequest
}

func (r *fallbackRunner) fits(req *Request) bool {
	if slices.Contains(req.Avoid, r.summary.ID) {
		return false
	}
	if req.Adapter != "" && !slices.Contains(r.summary.Adapters, req.Adapter) {
		return false
	}
	return r.summary.KV+req.PromptTokens+req.MaxTokens <= r.summary.KVTotal
}

// tryReserve reserves a place on the runner unless this daemon is at its limit.
func (r *fallbackRunner) tryReserve() bool {
	if r.outstanding.Add(1) > r.limit {
		r.outstanding.Add(-1)
		return false
	}
	return true
}
