package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/limit"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// otherDomainCost is the cost of a server in another failure domain, in open
	// requests. Traffic between failure domains costs money.
	otherDomainCost = 0.5
	// faultCost is the cost of a recent fault, in open requests.
	faultCost = 2.0
	// faultHalfLife is the half-life of the cost of a fault.
	faultHalfLife = time.Second
)

// plainScheduler places requests on the servers of plain services. It prefers
// servers with few open requests, in the daemon's own failure domain and without
// recent faults. It counts only the requests and faults of this daemon.
type plainScheduler struct {
	domain  string
	servers func(service string) []*registry.Server
	// serversFields returns the version and age of the list of servers, for logs.
	serversFields func() []event.Field
	// share returns the part of a server's limit that this daemon may use.
	share func(server string, limit float64) float64

	mu    sync.Mutex
	state map[string]*plainState
}

type plainState struct {
	open int
	// faultWeight is the decayed number of faults at faultTime.
	faultWeight float64
	faultTime   time.Time
	// limit is this daemon's part of the limit that the server has named.
	limit limit.Server
}

func newPlainScheduler(domain string) *plainScheduler {
	return &plainScheduler{
		domain: domain, state: map[string]*plainState{}, serversFields: func() []event.Field { return nil },
		share: func(_ string, limit float64) float64 { return limit },
	}
}

func (s *plainState) faults(now time.Time) float64 {
	return s.faultWeight * decay(now.Sub(s.faultTime), faultHalfLife)
}

// Place returns the server with the lowest cost. It never waits.
func (p *plainScheduler) Place(_ context.Context, r dispatch.PlacementRequest) (*dispatch.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best *registry.Server
	lowest := 0.0
	limitWait := time.Duration(0)
	for _, server := range p.servers(r.Request.Service.Name) {
		if server.Draining || slices.Contains(r.Avoid, server.ID) {
			continue
		}
		if wait := p.stateOf(server.ID).limit.Wait(now); wait > 0 {
			if limitWait == 0 || wait < limitWait {
				limitWait = wait
			}
			continue
		}
		cost := p.cost(now, server) + tieBreak*rand.Float64()
		if best == nil || cost < lowest {
			best, lowest = server, cost
		}
	}
	if best == nil && limitWait > 0 {
		return nil, &dispatch.Failure{Run: backend.RunNever, Reason: "server_limits", RetryAfter: limitWait, Inputs: p.serversFields()}
	}
	if best == nil {
		return nil, noServer(p.serversFields()...)
	}
	inputs := append(p.serversFields(), event.F("open", formatInt(int64(p.stateOf(best.ID).open))),
		event.F("faults", formatRatio(p.stateOf(best.ID).faults(now))))
	p.stateOf(best.ID).open++
	p.stateOf(best.ID).limit.Take(now)
	return &dispatch.Placement{Server: best, Inputs: inputs}, nil
}

// tieBreak is the maximum of a random cost that spreads requests over servers of
// equal cost.
const tieBreak = 0.01

func (p *plainScheduler) cost(now time.Time, server *registry.Server) float64 {
	state := p.stateOf(server.ID)
	cost := float64(state.open) + faultCost*state.faults(now)
	if server.FailureDomain != p.domain {
		cost += otherDomainCost
	}
	return cost
}

func (p *plainScheduler) stateOf(id string) *plainState {
	s := p.state[id]
	if s == nil {
		s = &plainState{}
		p.state[id] = s
	}
	return s
}

// setLimit sets or lifts the limit that a server has named for all daemons together.
func (p *plainScheduler) setLimit(server string, limit float64, limited bool) {
	share := p.share(server, limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	state := p.stateOf(server)
	switch {
	case !limited:
		state.limit.Lift()
	case share == 0 && limit > 0:
		state.limit.Exclude(now)
	default:
		state.limit.Set(now, share)
	}
}

// Prefilled implements dispatch.Scheduler.
func (p *plainScheduler) Prefilled(*dispatch.Placement) {}

// Started implements dispatch.Scheduler.
func (p *plainScheduler) Started(*dispatch.Placement) {}

// Done implements dispatch.Scheduler.
func (p *plainScheduler) Done(place *dispatch.Placement, r dispatch.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	state := p.stateOf(place.Server.ID)
	state.open--
	faults := state.faults(now)
	if r.Failed != nil {
		faults++
	}
	state.faultWeight, state.faultTime = faults, now
	p.dropIdle(now)
}

// dropIdle removes the state of servers without a limit and open requests whose last
// request ended long ago, so that servers that are gone don't accumulate.
func (p *plainScheduler) dropIdle(now time.Time) {
	for id, s := range p.state {
		if s.open <= 0 && !s.limit.Active(now) && now.Sub(s.faultTime) > 10*faultHalfLife {
			delete(p.state, id)
		}
	}
}
