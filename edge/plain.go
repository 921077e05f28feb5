package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// otherDomainCost is the number of open requests that another failure domain
	// weighs: bytes between failure domains cost money.
	otherDomainCost = 0.5
	// faultCost is the number of open requests that a recent fault weighs.
	faultCost = 2.0
	// faultHalfLife is the time in which a fault loses half of its weight.
	faultHalfLife = time.Second
)

// plainScheduler places requests on the servers of plain services by this
// daemon's own counts: the fewest open requests, servers of the own failure
// domain first, servers with recent faults last.
type plainScheduler struct {
	domain  string
	servers func(service string) []*registry.Server
	// basis tells the version and age of the list of servers, for logs.
	basis func() []event.Field

	mu    sync.Mutex
	state map[string]*plainState
}

type plainState struct {
	open int
	// fault is the weight of recent faults at the time at.
	fault float64
	at    time.Time
}

func newPlainScheduler(domain string) *plainScheduler {
	return &plainScheduler{domain: domain, state: map[string]*plainState{}, basis: func() []event.Field { return nil }}
}

func (s *plainState) faults(now time.Time) float64 {
	return s.fault * decay(now.Sub(s.at), faultHalfLife)
}

// Place returns the server with the lowest cost at once.
func (p *plainScheduler) Place(_ context.Context, n dispatch.Need) (*dispatch.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best *registry.Server
	lowest := 0.0
	for _, server := range p.servers(n.Request.Service.Name) {
		if server.Leaving || slices.Contains(n.Avoid, server.ID) {
			continue
		}
		cost := p.cost(now, server) + tieBreak*rand.Float64()
		if best == nil || cost < lowest {
			best, lowest = server, cost
		}
	}
	if best == nil {
		return nil, noServer(p.basis()...)
	}
	inputs := append(p.basis(), event.F("open", formatInt(int64(p.of(best.ID).open))),
		event.F("faults", formatRatio(p.of(best.ID).faults(now))))
	p.of(best.ID).open++
	return &dispatch.Placement{Server: best, Inputs: inputs}, nil
}

// tieBreak spreads requests over servers of equal cost.
const tieBreak = 0.01

func (p *plainScheduler) cost(now time.Time, server *registry.Server) float64 {
	state := p.of(server.ID)
	cost := float64(state.open) + faultCost*state.faults(now)
	if server.FailureDomain != p.domain {
		cost += otherDomainCost
	}
	return cost
}

func (p *plainScheduler) of(id string) *plainState {
	s := p.state[id]
	if s == nil {
		s = &plainState{}
		p.state[id] = s
	}
	return s
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
	state := p.of(place.Server.ID)
	state.open--
	faults := state.faults(now)
	if r.Failed != nil {
		faults++
	}
	state.fault, state.at = faults, now
	p.drop(now)
}

// drop forgets servers that are no longer known, so that the state stays small.
func (p *plainScheduler) drop(now time.Time) {
	for id, s := range p.state {
		if s.open <= 0 && now.Sub(s.at) > 10*faultHalfLife {
			delete(p.state, id)
		}
	}
}
