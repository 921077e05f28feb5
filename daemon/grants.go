package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/schedule"
)

const (
	// schedulerTimeout is the time without a reply after which the entry daemon
	// places a request without the scheduler. It covers a round trip of 3 ms
	// between failure domains.
	schedulerTimeout = 5 * time.Millisecond
	// progressInterval is the time between progress reports.
	progressInterval = 100 * time.Millisecond
	// defaultAnswerTokens is the token limit that is assumed for requests without
	// one.
	defaultAnswerTokens = 512
	// adoptInterval is the time between two offers of a stream that its scheduler
	// does not know.
	adoptInterval = time.Second
)

var (
	grantsRemote   = metrics.NewCounter(`mimosakeel_grants_total{by="scheduler"}`)
	grantsFallback = metrics.NewCounter(`mimosakeel_grants_total{by="fallback"}`)
	grantsRefused  = metrics.NewCounter("mimosakeel_grants_refused_total")
)

// openGrant is a grant whose attempt is still in progress.
type openGrant struct {
	pool    string
	request pool.Request
	runner  string
	granted time.Time
	// tokens is the number of tokens delivered. The goroutine of the stream writes
	// it.
	tokens     atomic.Int64
	firstToken atomic.Int64

	// The fields below are guarded by grantClient.mu.

	// scheduler is the VM that issued ticket. The ticket is 0 while no scheduler
	// knows the stream.
	scheduler string
	ticket    pool.Ticket
	adoptSent time.Time
	// placement is set for grants that were placed by the fallback.
	placement *pool.Placement
	reported  int64
	reportAt  time.Time
	// onLeaving makes the stream move to another runner. vacated is true once the
	// scheduler has reported that the runner is about to stop.
	onLeaving func()
	vacated   bool
}

// grantClient is the entry daemon's client of the schedulers. The control
// goroutine takes its lock only to deliver messages of a scheduler, never while
// it makes decisions.
type grantClient struct {
	self   string
	cfg    pool.Config
	view   func() *view
	weight func(customer string) float64
	// send delivers a message to the scheduler on a VM, which may be this one.
	send func(vm string, m peer.Message)

	sequence atomic.Uint64
	mu       sync.Mutex
	replies  map[string]chan *schedule.GrantReply
	open     map[uint64]*openGrant
}

func newGrantClient(self string, cfg pool.Config, view func() *view, weight func(string) float64, send func(string, peer.Message)) *grantClient {
	return &grantClient{
		self:    self,
		cfg:     cfg,
		view:    view,
		weight:  weight,
		send:    send,
		replies: map[string]chan *schedule.GrantReply{},
		open:    map[uint64]*openGrant{},
	}
}

// Grant implements gateway.Scheduler.
func (g *grantClient) Grant(ctx context.Context, r gateway.GrantRequest) (gateway.Grant, error) {
	number := g.sequence.Add(1)
	request := g.request(number, r)
	routes := g.routes(&request, r.Model)
	if len(routes) == 0 {
		return gateway.Grant{}, noRunner(g.cfg.NoRunnerRetry)
	}
	var refusal *gateway.Refusal
	for _, route := range routes {
		grant, err := g.requestGrant(ctx, number, route, request)
		if err == nil {
			g.setOnLeaving(number, r.OnEngineStopping)
			return grant, nil
		}
		if refusal = asRefusal(err); refusal == nil {
			return gateway.Grant{}, err
		}
	}
	grantsRefused.Inc()
	return gateway.Grant{}, refusal
}

func (g *grantClient) request(number uint64, r gateway.GrantRequest) pool.Request {
	priority := pool.Interactive
	if r.Priority == gateway.Batch {
		priority = pool.Batch
	}
	tokens := r.MaxTokens
	if tokens <= 0 {
		tokens = defaultAnswerTokens
	}
	request := pool.Request{
		ID:           strconv.FormatUint(number, 36),
		Entry:        g.self,
		Customer:     r.Customer,
		Weight:       g.weight(r.Customer),
		Priority:     priority,
		PromptTokens: r.PromptTokens + r.ResumeFrom,
		MaxTokens:    max(tokens-r.ResumeFrom, 1),
		Blocks:       r.Prefix,
		Deadline:     r.Deadline,
	}
	if len(r.Exclude) > 0 {
		request.Avoid = r.Exclude[len(r.Exclude)-1:]
	}
	return request
}

// routes returns the pools to ask, one shard per failure domain, in the order
// of pool.WeightedOrder.
func (g *grantClient) routes(request *pool.Request, model string) []poolRoute {
	var routes []poolRoute
	var sizes []int
	for _, route := range g.view().pools[model] {
		if route.shards <= 1 || route.shard == pool.ShardFor(request, route.shards) {
			routes = append(routes, route)
			sizes = append(sizes, route.usable)
		}
	}
	ordered := make([]poolRoute, 0, len(routes))
	for _, at := range pool.WeightedOrder(sizes, rand.ExpFloat64) {
		ordered = append(ordered, routes[at])
	}
	return ordered
}

// requestGrant requests a grant from the scheduler of a pool. If the scheduler
// does not reply in time, the fallback places the request.
func (g *grantClient) requestGrant(ctx context.Context, number uint64, route poolRoute, request pool.Request) (gateway.Grant, error) {
	replies := g.awaitReply(request.ID)
	defer g.stopAwaiting(request.ID)
	g.send(route.scheduler, schedule.NewGrantRequest(route.name, request))
	silence := time.NewTimer(schedulerTimeout)
	defer silence.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Kind == schedule.ReplyQueued {
				silence.Stop()
				continue
			}
			return g.handleReply(number, route, request, reply)
		case <-silence.C:
			return g.useFallback(number, route, request)
		case <-ctx.Done():
			g.send(route.scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
			return gateway.Grant{}, ctx.Err()
		}
	}
}

func (g *grantClient) handleReply(number uint64, route poolRoute, request pool.Request, reply *schedule.GrantReply) (gateway.Grant, error) {
	switch reply.Kind {
	case schedule.ReplyGranted:
		grantsRemote.Inc()
		return g.accept(number, route, request, reply.Granted)
	case schedule.ReplyRefused:
		return gateway.Grant{}, poolRefusal(reply.Refused)
	default:
		return g.useFallback(number, route, request)
	}
}

// useFallback places the request with the last snapshot of the pool. It also
// cancels the request at the scheduler; otherwise a late grant would stay open
// until it expires.
func (g *grantClient) useFallback(number uint64, route poolRoute, request pool.Request) (gateway.Grant, error) {
	g.send(route.scheduler, &schedule.GrantCancel{Pool: route.name, Request: request.ID})
	placement, ok := route.fallback.Choose(&request, rand.Uint64())
	if !ok {
		return gateway.Grant{}, noRunner(time.Second)
	}
	grantsFallback.Inc()
	open := &openGrant{
		pool:      route.name,
		request:   request,
		runner:    placement.Runner,
		granted:   time.Now(),
		placement: &placement,
	}
	return g.register(number, open, time.Now().Add(g.cfg.GrantTTL))
}

func (g *grantClient) accept(number uint64, route poolRoute, request pool.Request, granted pool.Granted) (gateway.Grant, error) {
	open := &openGrant{
		pool:      route.name,
		request:   request,
		runner:    granted.Runner,
		granted:   time.Now(),
		scheduler: route.scheduler,
		ticket:    granted.Ticket,
	}
	// The expiry in the grant refers to the scheduler's clock, so this daemon
	// computes it from its local clock and the TTL, which is the same on all
	// daemons.
	return g.register(number, open, time.Now().Add(g.cfg.GrantTTL))
}

// register stores an open grant. If the view no longer lists its runner, the
// grant is released at once and the request refused.
func (g *grantClient) register(number uint64, open *openGrant, expires time.Time) (gateway.Grant, error) {
	engine, ok := g.view().engines[open.runner]
	g.mu.Lock()
	g.open[number] = open
	g.mu.Unlock()
	ticket := gateway.Ticket{Number: number}
	if !ok {
		g.Release(ticket, gateway.GrantResult{Failure: gateway.ReasonConnect})
		return gateway.Grant{}, noRunner(time.Second)
	}
	return gateway.Grant{Ticket: ticket, Engine: open.runner, URL: engine.url, Expires: expires}, nil
}

// Progress implements gateway.Scheduler.
func (g *grantClient) Progress(ticket gateway.Ticket, tokens int) {
	g.mu.Lock()
	open := g.open[ticket.Number]
	g.mu.Unlock()
	if open == nil {
		return
	}
	open.tokens.Store(int64(tokens))
	if open.firstToken.Load() == 0 {
		open.firstToken.CompareAndSwap(0, int64(time.Since(open.granted)))
	}
}

// Release implements gateway.Scheduler.
func (g *grantClient) Release(ticket gateway.Ticket, result gateway.GrantResult) {
	g.mu.Lock()
	open := g.open[ticket.Number]
	delete(g.open, ticket.Number)
	g.mu.Unlock()
	if open == nil {
		return
	}
	if open.placement != nil {
		open.placement.Done()
	}
	message := &schedule.Release{Pool: open.pool, Ticket: open.ticket, Tokens: result.Tokens}
	if runnerFault(result.Failure) {
		message.Down = open.runner
	}
	if open.ticket == 0 && message.Down == "" {
		return
	}
	g.send(g.schedulerOf(open), message)
}

// schedulerOf returns the VM that issued the ticket of a grant, or the current
// scheduler of the pool if the grant has no ticket.
func (g *grantClient) schedulerOf(open *openGrant) string {
	if open.ticket != 0 {
		return open.scheduler
	}
	return g.view().schedulerOf(open.pool)
}

// runnerFault reports whether a failure shows that the runner cannot take work.
func runnerFault(reason gateway.FailureReason) bool {
	return slices.Contains([]gateway.FailureReason{
		gateway.ReasonConnect, gateway.ReasonBroken, gateway.ReasonSilent,
	}, reason)
}

func (g *grantClient) awaitReply(request string) chan *schedule.GrantReply {
	replies := make(chan *schedule.GrantReply, 2)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replies[request] = replies
	return replies
}

func (g *grantClient) stopAwaiting(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.replies, request)
}

// deliver handles a reply from the scheduler on a VM. A grant for which no
// request waits is released, unless it answers an adoption.
func (g *grantClient) deliver(from string, reply *schedule.GrantReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if replies, ok := g.replies[reply.Request]; ok {
		select {
		case replies <- reply:
		default:
		}
		return
	}
	if reply.Kind != schedule.ReplyGranted {
		return
	}
	if g.adoptLocked(from, reply) {
		return
	}
	g.send(from, &schedule.Release{Pool: reply.Pool, Ticket: reply.Granted.Ticket})
}

func (g *grantClient) adoptLocked(from string, reply *schedule.GrantReply) bool {
	number, err := strconv.ParseUint(reply.Request, 36, 64)
	open := g.open[number]
	if err != nil || open == nil || open.ticket != 0 || open.runner != reply.Granted.Runner {
		return false
	}
	open.scheduler = from
	open.ticket = reply.Granted.Ticket
	return true
}

func noRunner(retry time.Duration) *gateway.Refusal {
	return &gateway.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       string(pool.ReasonNoRunner),
		Message:    "no engine can take the request now",
		RetryAfter: retry,
	}
}

func poolRefusal(r pool.Refused) *gateway.Refusal {
	messages := map[pool.Reason]string{
		pool.ReasonNoRunner:   "no engine can take the request now",
		pool.ReasonDeadline:   "the first token would come after the deadline",
		pool.ReasonImpossible: "no engine can serve the request within its deadline",
		pool.ReasonOverloaded: "too many requests are waiting",
	}
	return &gateway.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       string(r.Reason),
		Message:    messages[r.Reason],
		RetryAfter: r.RetryAfter,
	}
}

func asRefusal(err error) *gateway.Refusal {
	refusal, _ := err.(*gateway.Refusal)
	return refusal
}
