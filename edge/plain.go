package edge

import (
	"context"
	"math"
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
	// otherDomainWork is the same if expected times are compared, in requests of the
	// kind. It is lower because a fifth of the time is lost if a request goes to a near
	// server that is that much slower.
	otherDomainWork = 0.25
	// faultCost is the cost of a recent fault, in open requests.
	faultCost = 2.0
	// faultHalfLife is the half-life of the cost of a fault.
	faultHalfLife = time.Second
)

// plainScheduler places requests on the servers of plain services. It prefers
// servers with few open requests, in the daemon's own failure domain and without
// recent faults. With costs set it compares expected times, which include the work of
// the other daemons; otherwise it counts only the requests and faults of this daemon.
type plainScheduler struct {
	domain string
	now    func() time.Time
	// uniform returns a random number in [0,1).
	uniform func() float64
	servers func(service string) []*registry.Server
	// serversFields returns the version and age of the list of servers, for logs.
	serversFields func() []event.Field
	// share returns the part of a server's limit that this daemon may use.
	share func(server string, limit float64) float64

	mu    sync.Mutex
	state map[string]*plainState
	// costs learns expected times; nil if the setting scheduling.expected_cost is off.
	costs *plainCosts
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
		domain: domain, now: time.Now, uniform: rand.Float64, state: map[string]*plainState{}, serversFields: func() []event.Field { return nil },
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
	now := p.now()
	best := plainChoice{score: math.Inf(1)}
	limitWait := time.Duration(0)
	servers := p.servers(r.Request.Service.Name)
	compare := p.comparison(now, r.Request, servers)
	left := compare.sample
	for i := range servers {
		server := servers[(compare.first+i)%len(servers)]
		if server.Draining || slices.Contains(r.Avoid, server.ID) || r.Version != "" && server.SoftwareVersion != r.Version {
			continue
		}
		if wait := p.stateOf(server.ID).limit.Wait(now); wait > 0 {
			if limitWait == 0 || wait < limitWait {
				limitWait = wait
			}
			continue
		}
		if choice := compare.rate(server); choice.score < best.score {
			best = choice
		}
		if left--; left == 0 {
			break
		}
	}
	if best.server == nil && limitWait > 0 {
		return nil, &dispatch.Failure{Run: backend.RunNever, Reason: "server_limits", RetryAfter: limitWait, Inputs: p.serversFields()}
	}
	if best.server == nil {
		return nil, noServerFor(&r, p.serversFields()...)
	}
	state := p.stateOf(best.server.ID)
	inputs := append(p.serversFields(), event.F("open", formatInt(int64(state.open))),
		event.F("faults", formatRatio(state.faults(now))))
	place := &dispatch.Placement{Server: best.server}
	if p.costs != nil {
		inputs = append(inputs, best.estimate.fields(&compare.work)...)
		p.costs.begin(now, place, compare.work, best.estimate)
	}
	place.Inputs = inputs
	state.open++
	state.limit.Take(now)
	return place, nil
}

// plainChoice is a server that a decision has compared; lower scores are better.
type plainChoice struct {
	server   *registry.Server
	score    float64
	estimate estimate
}

// plainComparison compares servers for one request.
type plainComparison struct {
	*plainScheduler
	now  time.Time
	work openWork
	// learned is set if costs apply because something was observed.
	learned bool
	// first is the index of the first server that is compared, and sample the number
	// of usable servers that are.
	first, sample int
}

func (p *plainScheduler) comparison(now time.Time, r *dispatch.Request, servers []*registry.Server) plainComparison {
	c := plainComparison{plainScheduler: p, now: now, sample: len(servers)}
	if p.costs == nil {
		return c
	}
	c.work = p.costs.expect(r)
	c.learned = c.work.known
	if len(servers) > maxScored {
		c.first, c.sample = rand.IntN(len(servers)), maxScored
	}
	for i := 0; i < c.sample && !c.learned; i++ {
		c.learned = p.costs.servers.Load(now, serverID(servers[(c.first+i)%len(servers)])).Observations > 0
	}
	return c
}

// rate rates a server. Without observations it counts open requests.
func (c *plainComparison) rate(server *registry.Server) plainChoice {
	choice := plainChoice{server: server}
	if c.costs != nil {
		choice.estimate = c.costs.estimate(c.now, &c.work, server)
	}
	if !c.learned {
		choice.score = c.cost(c.now, server) + tieBreak*c.uniform()
		return choice
	}
	// The costs of faults and of the failure domain are in requests of this kind.
	extra := faultCost * c.stateOf(server.ID).faults(c.now)
	if server.FailureDomain != c.domain {
		extra += otherDomainWork
	}
	choice.score = c.costs.weigh(choice.estimate.total + extra*c.work.mean)
	return choice
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
	now := p.now()
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
func (p *plainScheduler) Started(place *dispatch.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.costs != nil {
		p.costs.started(p.now(), place)
	}
}

// Done implements dispatch.Scheduler.
func (p *plainScheduler) Done(place *dispatch.Placement, r dispatch.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.costs != nil {
		p.costs.end(now, place, r)
	}
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
