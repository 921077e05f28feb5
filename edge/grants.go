package edge

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

const (
	// schedulerSilence is the time after which a request is placed without the
	// scheduler. It covers a round trip between failure domains of 3 ms and a
	// turn of other work on the scheduler's VM; the tightest objective of a
	// generation is 500 ms.
	schedulerSilence = 25 * time.Millisecond
	// silentFor is the time for which a scheduler that was silent is not asked.
	silentFor = 250 * time.Millisecond
	// placeTries bounds the grants that are given back because their server is
	// not usable here.
	placeTries = 4
	// noServerRetry is the time after which a request that found no server is
	// worth repeating.
	noServerRetry = 500 * time.Millisecond
)

var (
	grantsRemote   = metrics.NewCounter(`mimosakeel_edge_grants_total{by="scheduler"}`)
	grantsFallback = metrics.NewCounter(`mimosakeel_edge_grants_total{by="fallback"}`)
	grantsRefused  = metrics.NewCounter("mimosakeel_edge_grants_refused_total")
	inboxDropped   = metrics.NewCounter("mimosakeel_edge_inbox_dropped_total")
)

// grants is the entry daemon's side of the scheduling of engines.
type grants struct {
	vm     string
	domain string
	view   func() *view
	server func(id string) *registry.Server
	send   func(vm string, m peer.Message)
	note   func(pool string, runners []string, blocks []uint64)
	// basis tells the version and age of the list of servers, for logs.
	basis  func() []event.Field
	events *event.Recorder

	sequence atomic.Uint64
	mu       sync.Mutex
	waiting  map[string]chan *schedule.GrantReply
	// silent holds the schedulers that did not answer, with the time until which
	// they are not asked.
	silent map[string]time.Time
}

// ticket is the scheduler's side of a placement.
type ticket struct {
	pool      string
	scheduler string
	number    pool.Ticket
	granted   time.Time
	// runners hold the blocks of the prompt once the answer has begun.
	runners []string
	blocks  []uint64
	first   time.Duration
}

func newGrants(vm, domain string) *grants {
	return &grants{
		vm:      vm,
		domain:  domain,
		basis:   func() []event.Field { return nil },
		waiting: map[string]chan *schedule.GrantReply{},
		silent:  map[string]time.Time{},
	}
}

// Place asks the pool's scheduler for a grant, or this daemon's own pool if the
// scheduler is silent.
func (g *grants) Place(ctx context.Context, n dispatch.Need) (*dispatch.Placement, error) {
	n.Avoid = append([]string(nil), n.Avoid...)
	for range placeTries {
		place, unusable, err := g.placeOnce(ctx, n)
		if err != nil || place != nil {
			return place, err
		}
		n.Avoid = append(n.Avoid, unusable)
	}
	return nil, noServer(g.basis()...)
}

func noServer(inputs ...event.Field) *dispatch.Failure {
	return &dispatch.Failure{Run: backend.RunNot, Reason: "no_server", RetryAfter: noServerRetry, Inputs: inputs}
}

func (g *grants) placeOnce(ctx context.Context, n dispatch.Need) (place *dispatch.Placement, unusable string, err error) {
	id := strconv.FormatUint(g.sequence.Add(1), 36)
	request := poolRequest(id, g.vm, g.domain, n)
	route, ok := g.route(n.Request.Service.Name, &request)
	if !ok {
		return nil, "", noServer(g.basis()...)
	}
	scheduler, reply, err := g.ask(ctx, route, request)
	if err != nil {
		return nil, "", err
	}
	if reply.Kind == schedule.ReplyRefused {
		grantsRefused.Inc()
		return nil, "", refusal(reply.Refused, g.inputs(route, scheduler))
	}
	t := &ticket{pool: route.name, scheduler: scheduler, number: reply.Granted.Ticket, granted: time.Now()}
	place, unusable = g.placement(t, reply.Granted)
	if place == nil {
		g.release(t, "")
		return nil, unusable, nil
	}
	place.Inputs = append(g.inputs(route, scheduler), event.F("expected_first", reply.Granted.FirstToken.Round(time.Millisecond).String()))
	t.runners, t.blocks = []string{reply.Granted.Runner, reply.Granted.Prefill}, request.Blocks
	return place, "", nil
}

// inputs tells which scheduler decided by which list of servers.
func (g *grants) inputs(route poolRoute, scheduler string) []event.Field {
	return append(g.basis(), event.F("pool", route.name), event.F("scheduler", scheduler))
}

// route returns the pool of a request: requests that share a prefix share a
// pool.
func (g *grants) route(service string, request *pool.Request) (poolRoute, bool) {
	routes := g.view().pools[service]
	for _, r := range routes {
		if r.shards <= 1 || r.shard == pool.ShardFor(request, r.shards) {
			return r, true
		}
	}
	return poolRoute{}, false
}

// ask gets a reply other than queued from the scheduler, or from this daemon if
// the scheduler is silent.
func (g *grants) ask(ctx context.Context, route poolRoute, request pool.Request) (string, *schedule.GrantReply, error) {
	scheduler := route.scheduler
	if scheduler != g.vm && g.isSilent(scheduler) {
		scheduler = g.vm
	}
	replies := g.expect(request.ID)
	defer g.forget(request.ID)
	message := &schedule.GrantRequest{Pool: route.name, Request: request, Budget: max(time.Until(request.Deadline), 1)}
	message.Request.Deadline = time.Time{}
	g.send(scheduler, message)
	silence := time.NewTimer(schedulerSilence)
	defer silence.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Kind == schedule.ReplyQueued {
				silence.Stop()
				continue
			}
			if scheduler == route.scheduler {
				grantsRemote.Inc()
			}
			return scheduler, reply, nil
		case <-silence.C:
			if scheduler == g.vm {
				continue
			}
			g.markSilent(scheduler)
			g.events.Record(event.KindFault, "scheduler_silent", scheduler, event.F("pool", route.name),
				event.F("after", schedulerSilence.String()), event.F("not_asked_for", silentFor.String()))
			g.send(scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
			scheduler = g.vm
			grantsFallback.Inc()
			g.send(scheduler, message)
		case <-ctx.Done():
			g.send(scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
			return "", nil, ctx.Err()
		}
	}
}

func (g *grants) isSilent(scheduler string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.silent[scheduler])
}

func (g *grants) markSilent(scheduler string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent[scheduler] = time.Now().Add(silentFor)
}

// placement turns a grant into servers. It returns the server that is not
// usable here, if one isn't.
func (g *grants) placement(t *ticket, granted pool.Granted) (*dispatch.Placement, string) {
	place := &dispatch.Placement{Ticket: t, Server: g.server(granted.Runner)}
	if place.Server == nil || place.Server.Leaving {
		return nil, granted.Runner
	}
	if granted.Prefill != "" {
		place.Prefill = g.server(granted.Prefill)
		if place.Prefill == nil || place.Prefill.Leaving {
			return nil, granted.Prefill
		}
	}
	if granted.KVSource != "" {
		place.Fetch = g.server(granted.KVSource)
	}
	return place, ""
}

// Prefilled implements dispatch.Scheduler.
func (g *grants) Prefilled(p *dispatch.Placement) {
	t := p.Ticket.(*ticket)
	g.progress(t, schedule.TicketProgress{Ticket: t.number, Prefilled: time.Since(t.granted)})
}

// Started implements dispatch.Scheduler.
func (g *grants) Started(p *dispatch.Placement) {
	t := p.Ticket.(*ticket)
	t.first = time.Since(t.granted)
	g.progress(t, schedule.TicketProgress{Ticket: t.number, Tokens: 1, FirstToken: t.first})
	if t.scheduler != g.vm {
		g.note(t.pool, t.runners, t.blocks)
	}
}

func (g *grants) progress(t *ticket, p schedule.TicketProgress) {
	g.send(t.scheduler, &schedule.Progress{Pool: t.pool, Tickets: []schedule.TicketProgress{p}})
}

// Done implements dispatch.Scheduler.
func (g *grants) Done(p *dispatch.Placement, r dispatch.Result) {
	down := ""
	if r.Failed != nil && r.Down {
		down = r.Failed.ID
	}
	g.release(p.Ticket.(*ticket), down)
}

func (g *grants) release(t *ticket, down string) {
	g.send(t.scheduler, &schedule.Release{Pool: t.pool, Ticket: t.number, Down: down})
}

func (g *grants) expect(request string) chan *schedule.GrantReply {
	replies := make(chan *schedule.GrantReply, 2)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[request] = replies
	return replies
}

func (g *grants) forget(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, request)
}

// deliver takes a reply from the scheduler on a VM. A grant that nobody waits
// for is released.
func (g *grants) deliver(from string, reply *schedule.GrantReply) {
	g.mu.Lock()
	replies, ok := g.waiting[reply.Request]
	g.mu.Unlock()
	if ok {
		select {
		case replies <- reply:
			return
		default:
		}
	}
	if reply.Kind == schedule.ReplyGranted {
		g.send(from, &schedule.Release{Pool: reply.Pool, Ticket: reply.Granted.Ticket})
	}
}

// refusal translates a pool's refusal.
func refusal(r pool.Refused, inputs []event.Field) *dispatch.Failure {
	inputs = append(inputs, event.F("queued", strconv.Itoa(r.Queued)), event.F("engines", strconv.Itoa(r.Runners)))
	return &dispatch.Failure{Run: backend.RunNot, Reason: "pool_" + string(r.Reason), RetryAfter: r.RetryAfter, Inputs: inputs}
}
