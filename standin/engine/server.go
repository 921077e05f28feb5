package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/fault"
)

const (
	maxBodyBytes = 4 << 20
	// DefaultHeartbeat is the default time between the heartbeat comments of a
	// stream.
	DefaultHeartbeat = time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Engine configures the simulated engine.
	Engine Config
	// TimeScale is the ratio of engine time to real time; default 1. At 2 the
	// engine runs twice as fast.
	TimeScale float64
	// IgnoreFence makes the engine accept orders with stale fencing tokens.
	IgnoreFence bool
	// Heartbeat is the real time between heartbeat comments; default
	// DefaultHeartbeat.
	Heartbeat time.Duration
	// WeightsURL is the base URL of the platform whose weight store serves load
	// orders; empty means that loads need no weight store.
	WeightsURL string
	// Crash ends the engine and resets its connections. FaultCrash and
	// FaultCrashInChange call it.
	Crash func()
	// Freeze permanently stops the traffic on the open connections. FaultFreeze
	// calls it.
	Freeze func()
}

// Server serves the engine protocol for a Core over HTTP and applies the
// injected faults. It implements http.Handler.
type Server struct {
	config ServerConfig
	faults fault.Set
	router *mux.Router
	start  time.Time
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}
	audit  auditor

	mu   sync.Mutex
	core *Core
	// serial makes the keys of the core unique.
	serial int
	// streams holds the requests in progress by core key.
	streams map[string]*stream
	// signals holds a channel by core key that is closed when the change or
	// transfer has ended.
	signals map[string]chan struct{}
	// transfers holds the blocks that ended transfers moved, by core key.
	transfers map[string][]uint64
	// fence is the highest accepted fencing token.
	fence int64
	// orders holds the accepted orders by ID, which is their idempotency key.
	orders map[string]*orderState
}

// NewServer starts an engine. Close stops it.
func NewServer(config ServerConfig) *Server {
	if config.TimeScale <= 0 {
		config.TimeScale = 1
	}
	if config.Heartbeat <= 0 {
		config.Heartbeat = DefaultHeartbeat
	}
	start := time.Now()
	s := &Server{
		config:    config,
		start:     start,
		wake:      make(chan struct{}, 1),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
		core:      NewCore(config.Engine, start),
		streams:   map[string]*stream{},
		signals:   map[string]chan struct{}{},
		transfers: map[string][]uint64{},
		orders:    map[string]*orderState{},
	}
	s.faults.ApplyImmediate = s.applyImmediate
	s.router = s.routes()
	go s.run()
	return s
}

// Close stops the engine. Open requests end without their end marker.
func (s *Server) Close() {
	select {
	case <-s.quit:
	default:
		close(s.quit)
	}
	<-s.done
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.router.ServeHTTP(w, r)
}

// Inject activates a fault, like POST /faults.
func (s *Server) Inject(f fault.Fault) { s.faults.Add(f) }

// Audit returns a copy of the audit record.
func (s *Server) Audit() Audit { return s.audit.snapshot() }

func (s *Server) routes() *mux.Router {
	router := mux.NewRouter()
	router.Handle("/faults", &s.faults).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/audit", s.getAudit).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", s.complete(true)).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", s.complete(false)).Methods(http.MethodPost)
	router.HandleFunc("/v1/requests/{id}", s.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache-events", s.getCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/kv/export", s.postExport).Methods(http.MethodPost)
	router.HandleFunc("/v1/kv/import", s.postImport).Methods(http.MethodPost)
	return router
}

// now returns the current engine time.
func (s *Server) now() time.Time {
	real := time.Since(s.start)
	return s.start.Add(time.Duration(float64(real) * s.config.TimeScale))
}

// untilReal returns the real time that remains until the engine time t.
func (s *Server) untilReal(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(s.now())) / s.config.TimeScale)
}

// run advances the core at the times that Core.Next returns.
func (s *Server) run() {
	defer close(s.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.quit:
			return
		}
		s.mu.Lock()
		s.dispatchEvents()
		next := s.core.Next()
		s.mu.Unlock()
		if next.IsZero() {
			timer.Reset(time.Hour)
			continue
		}
		timer.Reset(max(0, s.untilReal(next)))
	}
}

// wakeLoop wakes run, so that it reads Core.Next again. It must be called after
// each call that changes the work of the core.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dispatchEvents advances the core and passes its events to the waiting
// requests and orders. The caller holds the lock.
func (s *Server) dispatchEvents() {
	s.core.SetSlowdown(s.slowdown())
	for _, event := range s.core.Advance(s.now()) {
		switch event.Kind {
		case EventTokens, EventDone, EventAborted:
			if stream := s.streams[event.Key]; stream != nil {
				stream.add(event)
			}
		case EventTransferred:
			s.transfers[event.Key] = event.Blocks
			s.signal(event.Key)
		case EventChanged:
			s.signal(event.Key)
		}
	}
}

// signal closes the channel of an ended change or transfer. The caller holds
// the lock.
func (s *Server) signal(key string) {
	if waiting := s.signals[key]; waiting != nil {
		close(waiting)
		delete(s.signals, key)
	}
}

// uniqueKey returns a unique key for the core. The caller holds the lock.
func (s *Server) uniqueKey(name string) string {
	s.serial++
	return fmt.Sprintf("%s#%d", name, s.serial)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := s.core.Load(s.now())
	s.mu.Unlock()
	lag := time.Duration(float64(s.config.Engine.LoadLag) / s.config.TimeScale)
	load.AtMs = time.Now().Add(-lag).UnixMilli()
	s.falsifyLoad(&load)
	writeJSON(w, http.StatusOK, load)
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	var from uint64
	if text := r.URL.Query().Get("from"); text != "" {
		if _, err := fmt.Sscan(text, &from); err != nil {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
	}
	s.mu.Lock()
	events := s.core.CacheEvents(s.now(), from)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (s *Server) getAudit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Audit())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errorAnswer is the body of the answer to a refused request.
type errorAnswer struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a refusal. Run states whether the request was executed.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Run     string `json:"run"`
}

// writeError answers a request that was refused and not executed.
func writeError(w http.ResponseWriter, status int, code string) {
	detail := errorDetail{Message: "engine refused the request: " + code, Type: "engine_error", Code: code, Run: "not_run"}
	writeJSON(w, status, errorAnswer{detail})
}

// statusOf returns the HTTP status of a refusal.
func statusOf(reason RefusedError) int {
	switch reason {
	case RefusedUnknownModel:
		return http.StatusNotFound
	case RefusedTooLong:
		return http.StatusBadRequest
	case RefusedFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func priorityOf(r *http.Request) Priority {
	if r.Header.Get(backend.HeaderPriority) == "batch" {
		return PriorityBatch
	}
	return PriorityInteractive
}
