package edge

import (
	"context"
	"slices"
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
	// schedulerTimeout is the time without an answer after which a request is placed
	// without the scheduler. It covers a round trip of 3 ms between failure domains
	// and the wait behind other work on the scheduler's VM. The tightest latency
	// objective of a generation is 500 ms.
	schedulerTimeout = 25 * time.Millisecond
	// schedulerBackoff is the time for which a scheduler that did not answer gets no
	// requests.
	schedulerBackoff = 250 * time.Millisecond
	// maxPlaceAttempts limits the grants for one placement. A grant is released if
	// this daemon can't use its server.
	maxPlaceAttempts = 4
	// noServerRetryAfter is the time after which a client may retry a request for
	// which there was no server.
	noServerRetryAfter = 500 * time.Millisecond
)

var (
	grantsByScheduler = metrics.NewCounter(`mimosakeel_edge_grants_total{by="scheduler"}`)
	grantsFallback    = metrics.NewCounter(`mimosakeel_edge_grants_total{by="fallback"}`)
	grantsMoved       = metrics.NewCounter("mimosakeel_edge_grants_moved_total")
	grantsLate        = metrics.NewCounter("mimosakeel_edge_grants_late_total")
	grantsRefused     = metrics.NewCounter("mimosakeel_edge_grants_refused_total")
	serversUnreadable = metrics.NewCounter("mimosakeel_edge_servers_unreadable_total")
	inboxDropped      = metrics.NewCounter("mimosakeel_edge_inbox_dropped_total")
)

// grantClient places requests on engines. It requests grants from the schedulers
// of the pools.
type grantClient struct {
	vm     string
	domain string
	view   func() *view
	server func(id string) *registry.Server
	send   func(vm string, m peer.Message)
	// noteCache records in the scheduler of this daemon the prefix blocks that
	// runners cache after the scheduler of another daemon has placed a request there.
	noteCache func(pool string, runners []string, blocks []uint64)
	// serversFields returns the version and age of the list of servers, for logs.
	serversFields func() []event.Field
	events        *event.Recorder
	// isDown reports whether a server takes no connections.
	isDown func(server *registry.Server) bool

	sequence atomic.Uint64
	mu       sync.Mutex
	// waiting holds the requests that wait for an answer, by their ID.
	waiting map[string]*waitingGrant
	// backoffUntil holds the time until which a scheduler that did not answer gets
	// no requests, by VM.
	backoffUntil map[string]time.Time
}

// ticket holds the grant of a placement and the scheduler that gave it.
type ticket struct {
	pool      string
	scheduler string
	id        pool.Ticket
	granted   time.Time
	// runners are the engines that hold the blocks of the prompt once the answer has
	// begun.
	runners         []string
	blocks          []uint64
	firstTokenAfter time.Duration
}

// grantAnswer is the reply of the scheduler on a VM.
type grantAnswer struct {
	from  string
	reply *schedule.GrantReply
}

// waitingGrant is a request that waits for the answer of a scheduler.
type waitingGrant struct {
	// scheduler is the VM that has been asked.
	scheduler string
	answers   chan grantAnswer
}

func newGrantClient(vm, domain string) *grantClient {
	return &grantClient{
		vm:            vm,
		domain:        domain,
		serversFields: func() []event.Field { return nil },
		isDown:        func(*registry.Server) bool { return true },
		waiting:       map[string]*waitingGrant{},
		backoffUntil:  map[string]time.Time{},
	}
}

// Place obtains a grant from the pool's scheduler, or from the scheduler of this
// daemon if that one doesn't answer in time.
func (g *grantClient) Place(ctx context.Context, r dispatch.PlacementRequest) (*dispatch.Placement, error) {
	r.Avoid = append([]string(nil), r.Avoid...)
	for range maxPlaceAttempts {
		place, unusable, err := g.placeOnce(ctx, r)
		if err != nil || place != nil {
			return place, err
		}
		r.Avoid = append(r.Avoid, unusable)
	}
	return nil, noServerFor(&r, g.serversFields()...)
}

// noServerFor is noServer for a request that may require a version.
func noServerFor(r *dispatch.PlacementRequest, inputs ...event.Field) *dispatch.Failure {
	out := noServer(inputs...)
	if r.Version != "" {
		out.Reason = dispatch.ReasonNoVersion
	}
	return out
}

func noServer(inputs ...event.Field) *dispatch.Failure {
	return &dispatch.Failure{Run: backend.RunNever, Reason: "no_server", RetryAfter: noServerRetryAfter, Inputs: inputs}
}

func (g *grantClient) placeOnce(ctx context.Context, r dispatch.PlacementRequest) (place *dispatch.Placement, unusable string, err error) {
	id := strconv.FormatUint(g.sequence.Add(1), 36)
	request := poolRequest(id, g.vm, g.domain, r)
	route, ok := g.route(r.Request.Service.Name, &request)
	if !ok {
		return nil, "", noServerFor(&r, g.serversFields()...)
	}
	scheduler, reply, err := g.requestGrant(ctx, route, request)
	if err != nil {
		return nil, "", err
	}
	if reply.Kind == schedule.ReplyRefused {
		grantsRefused.Inc()
		return nil, "", refusal(&r, reply.Refused, g.decisionFields(route, scheduler))
	}
	t := &ticket{pool: route.name, scheduler: scheduler, id: reply.Granted.Ticket, granted: time.Now()}
	place, unusable = g.placement(t, reply.Granted)
	if place == nil {
		g.release(t, "")
		return nil, unusable, nil
	}
	place.Inputs = append(g.decisionFields(route, scheduler), event.F("expected_first", reply.Granted.FirstToken.Round(time.Millisecond).String()))
	if reply.Granted.Late {
		grantsLate.Inc()
		place.Inputs = append(place.Inputs, event.F("objective", "lost_in_queue"))
	}
	t.runners, t.blocks = []string{reply.Granted.Runner, reply.Granted.Prefill}, request.Blocks
	return place, "", nil
}

// decisionFields returns the log fields that name the scheduler that decided and
// the list of servers that this daemon used.
func (g *grantClient) decisionFields(route poolRoute, scheduler string) []event.Field {
	return append(g.serversFields(), event.F("pool", route.name), event.F("scheduler", scheduler))
}

// route returns the pool of a request. Requests that share a prefix go to the
// same pool, unless it has no server of the required version.
func (g *grantClient) route(service string, request *pool.Request) (poolRoute, bool) {
	routes := g.view().pools[service]
	if len(routes) == 0 {
		return poolRoute{}, false
	}
	if request.Version != "" {
		return routeOfVersion(routes, request)
	}
	shard := 0
	if shards := routes[0].shards; shards > 1 {
		shard = pool.ShardFor(request, shards)
	}
	for _, r := range routes {
		if r.shard == shard {
			return r, true
		}
	}
	return poolRoute{}, false
}

// routeOfVersion returns the pool of a request among those that have a server of its
// version, or will have one.
func routeOfVersion(routes []poolRoute, request *pool.Request) (poolRoute, bool) {
	if r, ok := routeAmong(routes, request, func(r *poolRoute) []string { return r.versions[request.Version] }); ok {
		return r, true
	}
	return routeAmong(routes, request, func(r *poolRoute) []string { return r.expected[request.Version] })
}

// routeAmong returns the pool of a request among those that have a server to use.
func routeAmong(routes []poolRoute, request *pool.Request, servers func(*poolRoute) []string) (poolRoute, bool) {
	var having []poolRoute
	home := pool.ShardFor(request, routes[0].shards)
	for i := range routes {
		r := &routes[i]
		if !slices.ContainsFunc(servers(r), func(id string) bool { return !slices.Contains(request.Avoid, id) }) {
			continue
		}
		if r.shard == home {
			return *r, true
		}
		having = append(having, *r)
	}
	if len(having) == 0 {
		return poolRoute{}, false
	}
	return having[pool.ShardFor(request, len(having))], true
}

// requestGrant returns a grant or a refusal from the pool's scheduler, or from the
// scheduler of this daemon if that one doesn't answer in time. A request whose
// scheduler leaves or ends is placed by the next one. It also returns the VM that
// decided.
func (g *grantClient) requestGrant(ctx context.Context, route poolRoute, request pool.Request) (string, *schedule.GrantReply, error) {
	scheduler := route.scheduler
	if scheduler != g.vm && g.isBackedOff(scheduler) {
		scheduler = g.vm
	}
	wait := g.registerRequest(request.ID, scheduler)
	defer g.unregisterRequest(request.ID)
	g.send(scheduler, schedule.NewGrantRequest(route.name, request))
	timeout := time.NewTimer(schedulerTimeout)
	defer timeout.Stop()
	ask := func(next string) {
		g.send(scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
		scheduler = next
		g.setScheduler(wait, next)
		g.send(next, schedule.NewGrantRequest(route.name, request))
	}
	for {
		select {
		case a := <-wait.answers:
			if a.from != scheduler {
				g.releaseReply(a)
				continue
			}
			switch a.reply.Kind {
			case schedule.ReplyQueued:
				timeout.Stop()
				continue
			case schedule.ReplyMoved:
				next, ok := g.nextScheduler(route, scheduler)
				if !ok {
					return "", nil, noServer(g.serversFields()...)
				}
				g.events.Record(event.KindFault, "scheduler_left", scheduler, event.F("pool", route.name), event.F("next", next))
				grantsMoved.Inc()
				ask(next)
				timeout.Reset(schedulerTimeout)
				continue
			}
			if scheduler == route.scheduler {
				grantsByScheduler.Inc()
			}
			return scheduler, a.reply, nil
		case <-timeout.C:
			if scheduler == g.vm {
				continue
			}
			g.backOff(scheduler)
			g.events.Record(event.KindFault, "scheduler_silent", scheduler, event.F("pool", route.name),
				event.F("after", schedulerTimeout.String()), event.F("not_asked_for", schedulerBackoff.String()))
			grantsFallback.Inc()
			ask(g.vm)
		case <-ctx.Done():
			g.send(scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
			return "", nil, ctx.Err()
		}
	}
}

// nextScheduler returns the VM that is asked after a scheduler that no longer schedules
// the pool. It returns false if that was the last one.
func (g *grantClient) nextScheduler(route poolRoute, left string) (string, bool) {
	if left == g.vm {
		return "", false
	}
	for _, pools := range g.view().pools {
		for _, now := range pools {
			if now.name == route.name && now.scheduler != left && now.scheduler != route.scheduler && !g.isBackedOff(now.scheduler) {
				return now.scheduler, true
			}
		}
	}
	return g.vm, true
}

// schedulerLeft moves the requests that wait for the scheduler on a VM to another one,
// because it stops, has ended or was restarted without them.
func (g *grantClient) schedulerLeft(vm string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range g.waiting {
		if w.scheduler != vm {
			continue
		}
		select {
		case w.answers <- grantAnswer{from: vm, reply: &schedule.GrantReply{Request: id, Kind: schedule.ReplyMoved}}:
		default:
			g.events.Record(event.KindFault, "scheduler_left_unread", vm, event.F("request", id))
		}
	}
}

func (g *grantClient) setScheduler(w *waitingGrant, vm string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.scheduler = vm
}

func (g *grantClient) isBackedOff(scheduler string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.backoffUntil[scheduler])
}

func (g *grantClient) backOff(scheduler string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoffUntil[scheduler] = time.Now().Add(schedulerBackoff)
}

// placement looks up the servers of a grant. If this daemon can't use the server
// or the prefill server, it returns the ID of that one and no placement.
func (g *grantClient) placement(t *ticket, granted pool.Granted) (*dispatch.Placement, string) {
	place := &dispatch.Placement{Ticket: t, Server: g.server(granted.Runner)}
	if place.Server == nil || place.Server.Draining {
		return nil, granted.Runner
	}
	if granted.Prefill != "" {
		place.Prefill = g.server(granted.Prefill)
		if place.Prefill == nil || place.Prefill.Draining {
			return nil, granted.Prefill
		}
	}
	if granted.KVSource != "" {
		place.Fetch = g.server(granted.KVSource)
	}
	return place, ""
}

// Prefilled implements dispatch.Scheduler.
func (g *grantClient) Prefilled(p *dispatch.Placement) {
	t := p.Ticket.(*ticket)
	g.progress(t, schedule.TicketProgress{Ticket: t.id, Prefilled: time.Since(t.granted)})
}

// Started implements dispatch.Scheduler.
func (g *grantClient) Started(p *dispatch.Placement) {
	t := p.Ticket.(*ticket)
	t.firstTokenAfter = time.Since(t.granted)
	g.progress(t, schedule.TicketProgress{Ticket: t.id, Tokens: 1, FirstToken: t.firstTokenAfter})
	if t.scheduler != g.vm {
		g.noteCache(t.pool, t.runners, t.blocks)
	}
}

func (g *grantClient) progress(t *ticket, p schedule.TicketProgress) {
	g.send(t.scheduler, &schedule.Progress{Pool: t.pool, Tickets: []schedule.TicketProgress{p}})
}

// Done implements dispatch.Scheduler.
func (g *grantClient) Done(p *dispatch.Placement, r dispatch.Result) {
	t := p.Ticket.(*ticket)
	switch {
	case r.Failed == nil, !r.Down && !r.Suspect:
		g.release(t, "")
	case r.Down:
		g.release(t, r.Failed.ID)
	default:
		go g.releaseChecked(t, r.Failed)
	}
}

// releaseChecked releases a ticket after a connection broke. The scheduler withholds the
// server from all daemons only if it takes no new connection either.
func (g *grantClient) releaseChecked(t *ticket, server *registry.Server) {
	if g.isDown(server) {
		g.release(t, server.ID)
		return
	}
	g.release(t, "")
}

func (g *grantClient) release(t *ticket, down string) {
	g.send(t.scheduler, &schedule.Release{Pool: t.pool, Ticket: t.id, Down: down})
}

// maxWaitingAnswers is the number of answers that a request may have left unread. Each
// scheduler sends at most a ReplyQueued and another reply, and may have left.
const maxWaitingAnswers = 16

func (g *grantClient) registerRequest(request, scheduler string) *waitingGrant {
	w := &waitingGrant{scheduler: scheduler, answers: make(chan grantAnswer, maxWaitingAnswers)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[request] = w
	return w
}

// unregisterRequest ends the wait of a request and releases the grants that it
// did not use.
func (g *grantClient) unregisterRequest(request string) {
	g.mu.Lock()
	w := g.waiting[request]
	delete(g.waiting, request)
	g.mu.Unlock()
	for {
		select {
		case a := <-w.answers:
			g.releaseReply(a)
		default:
			return
		}
	}
}

// deliver passes a reply of a scheduler to the waiting request. It releases a
// grant for which no request waits.
func (g *grantClient) deliver(from string, reply *schedule.GrantReply) {
	a := grantAnswer{from: from, reply: reply}
	if !g.passOn(a) {
		g.releaseReply(a)
	}
}

// passOn reports whether a request waits for the answer. It holds the lock while
// it sends, so that no answer arrives after unregisterRequest.
func (g *grantClient) passOn(a grantAnswer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.waiting[a.reply.Request]
	if !ok {
		return false
	}
	select {
	case w.answers <- a:
		return true
	default:
		return false
	}
}

// releaseReply releases the ticket of an unused grant.
func (g *grantClient) releaseReply(a grantAnswer) {
	if a.reply.Kind == schedule.ReplyGranted {
		g.send(a.from, &schedule.Release{Pool: a.reply.Pool, Ticket: a.reply.Granted.Ticket})
	}
}

// refusal converts a pool's refusal into a failure of the request.
func refusal(request *dispatch.PlacementRequest, r pool.Refused, inputs []event.Field) *dispatch.Failure {
	inputs = append(inputs, event.F("queued", strconv.Itoa(r.Queued)), event.F("engines", strconv.Itoa(r.Runners)))
	reason := "pool_" + string(r.Reason)
	if request.Version != "" && r.Reason == pool.ReasonNoRunner {
		reason = dispatch.ReasonNoVersion
	}
	return &dispatch.Failure{Run: backend.RunNever, Reason: reason, RetryAfter: r.RetryAfter, Inputs: inputs}
}
