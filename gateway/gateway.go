package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Config holds the gateway's limits. Zero fields get the defaults.
type Config struct {
	// MaxBodyBytes limits the size of a request body; default 8 MiB.
	MaxBodyBytes int64
	// BodyTimeout limits the time in which the whole body must arrive; default
	// 10 s.
	BodyTimeout time.Duration
	// InteractiveDeadline and BatchDeadline limit the time to the first token
	// or byte of the response if the client sets no deadline; defaults 60 s and
	// 600 s.
	InteractiveDeadline time.Duration
	BatchDeadline       time.Duration
	// ClientWriteTimeout limits the time for which a write to a client may
	// block; default 30 s.
	ClientWriteTimeout time.Duration
	// MaxOutstanding limits the number of requests in progress; default 20,000.
	MaxOutstanding int64
	// RetryRatio is the number of retries that each request adds to the retry
	// budget; default 0.1.
	RetryRatio float64
	// RetryPerSecond is the number of retries per second that the budget gains
	// regardless of traffic; default 1.
	RetryPerSecond float64
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxBodyBytes, 8<<20)
	setDefault(&c.BodyTimeout, 10*time.Second)
	setDefault(&c.InteractiveDeadline, time.Minute)
	setDefault(&c.BatchDeadline, 10*time.Minute)
	setDefault(&c.ClientWriteTimeout, 30*time.Second)
	setDefault(&c.MaxOutstanding, 20_000)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.RetryPerSecond, 1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dependencies are the components that the request path calls. All fields
// except Claims are required; without Claims, requests with an idempotency key
// are refused.
type Dependencies struct {
	Directory Directory
	Freshness Freshness
	Limiter   Limiter
	Claims    Claims
	Scheduler Scheduler
	Backends  ServiceBackends
	Usage     UsageRecorder
	Events    Events
	Clock     Clock
	Engines   *backend.Engines
	Services  *backend.Services
}

// Gateway is the http.Handler for client requests.
type Gateway struct {
	Dependencies
	config      Config
	router      *mux.Router
	sessions    *Sessions
	retryBudget *RetryBudget
	metrics     *gatewayMetrics

	ready       atomic.Bool
	draining    atomic.Bool
	outstanding atomic.Int64
	// cancelSlots limits the number of concurrent cancel calls to engines.
	cancelSlots chan struct{}
	// cancelCalls counts the cancel calls in progress.
	cancelCalls sync.WaitGroup
}

// New returns a gateway that is not ready until SetReady(true) is called.
func New(config Config, deps Dependencies) *Gateway {
	config.setDefaults()
	g := &Gateway{
		Dependencies: deps,
		config:       config,
		sessions:     newSessions(),
		retryBudget:  NewRetryBudget(config.RetryRatio, config.RetryPerSecond, deps.Clock),
		cancelSlots:  make(chan struct{}, maxConcurrentCancels),
	}
	g.metrics = newGatewayMetrics(g)
	g.router = g.routes()
	return g
}

func (g *Gateway) routes() *mux.Router {
	r := mux.NewRouter()
	// With path cleaning, mux redirects such paths, and clients repeat a
	// redirected POST without its body.
	r.SkipClean(true)
	r.UseEncodedPath()
	model := g.pipeline(decodeModelRequest)
	r.Handle(pathChat, model).Methods(http.MethodPost)
	r.Handle(pathCompletions, model).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", g.serveModels).Methods(http.MethodGet)
	r.PathPrefix(servicePrefix).Handler(g.pipeline(decodeServiceRequest))
	r.HandleFunc("/healthz", g.serveHealth).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", g.serveReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/metrics", g.metrics.serve).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(serveNotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(serveMethodNotAllowed)
	return r
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// Sessions returns the running requests by key. The control plane uses it to end
// the requests of a withdrawn key.
func (g *Gateway) Sessions() *Sessions { return g.sessions }

// SetReady sets the readiness that /readyz reports.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Outstanding returns the number of requests in progress.
func (g *Gateway) Outstanding() int64 { return g.outstanding.Load() }

// Drain refuses new requests and waits until the running ones have ended. It
// returns the context's error if the context ends first; it interrupts no
// request. Before the call, the caller sets readiness to false and waits until
// the load balancer has stopped sending requests.
func (g *Gateway) Drain(ctx context.Context) error {
	g.ready.Store(false)
	g.draining.Store(true)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for g.outstanding.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

const drainPollInterval = 10 * time.Millisecond

// admit counts the request as outstanding or refuses it. It increments the
// counter before it reads draining, so that Drain waits for every admitted
// request.
func (g *Gateway) admit() *Error {
	n := g.outstanding.Add(1)
	if g.draining.Load() {
		g.outstanding.Add(-1)
		return unavailable("draining", "this daemon is stopping", RunNever)
	}
	if n > g.config.MaxOutstanding {
		g.outstanding.Add(-1)
		return unavailable("overloaded", "too many requests are in progress", RunNever)
	}
	return nil
}

func (g *Gateway) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.ready.Load() && !g.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func serveNotFound(w http.ResponseWriter, r *http.Request) {
	e := invalidRequest(http.StatusNotFound, "unknown_route", "", "no route for "+strings.ToValidUTF8(r.URL.Path, "?"))
	e.Type = TypeNotFound
	e.write(w)
}

func serveMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	invalidRequest(http.StatusMethodNotAllowed, "method_not_allowed", "", "method "+r.Method+" is not allowed here").write(w)
}
