// Package app implements a stand-in for a plain service that runs next to the
// engines. It serves idempotent and non-idempotent calls, keeps an audit record
// of every executed call and supports fault injection.
package app

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/fault"
)

const maxBodyBytes = 1 << 20

// HeaderIdempotencyKey carries the client's idempotency key, which the audit
// record keeps.
const HeaderIdempotencyKey = "Idempotency-Key"

// Fault kinds of POST /faults. The target of each is a request path as the
// service receives it.
const (
	// FaultDelay delays the execution of a call by delay_ms.
	FaultDelay = "delay"
	// FaultCloseBefore closes the connection without executing the call.
	FaultCloseBefore = "close_before"
	// FaultCloseAfter executes the call and closes the connection without an
	// answer.
	FaultCloseAfter = "close_after"
	// FaultLoseAnswer executes the call and keeps the connection open without
	// sending an answer.
	FaultLoseAnswer = "lose_answer"
	// FaultCutAnswer executes the call and closes the connection after half of
	// the answer.
	FaultCutAnswer = "cut_answer"
	// FaultFreeze permanently stops the traffic on all open connections; later
	// connections work. It takes effect once, when it is injected, and needs a
	// Listener.
	FaultFreeze = "freeze"
)

// secretHeaders are the request headers that the gateway must not forward to a
// backend server.
var secretHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// Run is the audit record of one executed call.
type Run struct {
	// Run is the sequence number of the executed call, starting at 1.
	Run       int64  `json:"run"`
	AtMs      int64  `json:"at_ms"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Customer  string `json:"customer"`
	// IdempotencyKey is the client's key, if it was forwarded.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyHash is the xxhash of the request body.
	BodyHash string `json:"body_hash"`
	// Body is the start of the request body, at most 256 bytes.
	Body string `json:"body,omitempty"`
	// Stamp is the number assigned to a non-idempotent call; 0 for other calls.
	Stamp int64 `json:"stamp,omitempty"`
	// Leaked lists the secret headers that reached the service.
	Leaked []string `json:"leaked,omitempty"`
}

// Answer is the body of every answer. All fields except Stamp depend only on
// the request and the service's name.
type Answer struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Digest is the xxhash of method, path and body.
	Digest string `json:"digest"`
	// Status is the item's state in an answer to GET /status/ID.
	Status string `json:"status,omitempty"`
	Stamp  int64  `json:"stamp,omitempty"`
}

// App is the stand-in plain service. It implements http.Handler.
type App struct {
	name     string
	faults   fault.Set
	router   *mux.Router
	listener *fault.Listener

	mu     sync.Mutex
	runs   []Run
	stamps int64
}

// New returns a service with the given name. The listener is used only by
// FaultFreeze and may be nil.
func New(name string, listener *fault.Listener) *App {
	a := &App{name: name, listener: listener, router: mux.NewRouter()}
	a.faults.ApplyImmediate = a.applyImmediate
	a.router.Handle("/faults", &a.faults).Methods(http.MethodGet, http.MethodPost)
	a.router.HandleFunc("/audit", a.getAudit).Methods(http.MethodGet)
	a.router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	a.router.PathPrefix("/").HandlerFunc(a.serve)
	return a
}

// ServeHTTP implements http.Handler.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// Inject activates a fault, like POST /faults.
func (a *App) Inject(f fault.Fault) { a.faults.Add(f) }

// Audit returns a copy of the records of all executed calls.
func (a *App) Audit() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run{}, a.runs...)
}

// applyImmediate applies a fault that takes effect when it is injected. It
// returns false for all other kinds.
func (a *App) applyImmediate(f fault.Fault) bool {
	if f.Kind != FaultFreeze {
		return false
	}
	if a.listener != nil {
		a.listener.Freeze()
	}
	return true
}

func (a *App) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
		return
	}
	if f, hit := a.faults.Take(FaultDelay, path); hit {
		time.Sleep(f.Delay())
	}
	if _, hit := a.faults.Take(FaultCloseBefore, path); hit {
		panic(http.ErrAbortHandler)
	}
	answer := a.run(r, path, body)
	if _, hit := a.faults.Take(FaultCloseAfter, path); hit {
		panic(http.ErrAbortHandler)
	}
	if _, hit := a.faults.Take(FaultLoseAnswer, path); hit {
		<-r.Context().Done()
		return
	}
	data, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if _, hit := a.faults.Take(FaultCutAnswer, path); hit {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// run executes a call and records it. Every call except GET, HEAD and OPTIONS
// gets a new stamp, so a second execution is visible in the answer and the
// audit record.
func (a *App) run(r *http.Request, path string, body []byte) Answer {
	answer := Answer{
		Service:   a.name,
		RequestID: r.Header.Get(backend.HeaderRequestID),
		Path:      path,
		Digest:    Digest(r.Method, path, body),
	}
	if id, found := strings.CutPrefix(path, "/status/"); found {
		answer.Status = Status(id)
	}
	run := Run{
		AtMs:           time.Now().UnixMilli(),
		Method:         r.Method,
		Path:           path,
		RequestID:      answer.RequestID,
		Customer:       r.Header.Get(backend.HeaderCustomer),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		BodyHash:       fmt.Sprintf("%016x", xxhash.Sum64(body)),
		Body:           string(body[:min(len(body), 256)]),
	}
	for _, name := range secretHeaders {
		if r.Header.Get(name) != "" {
			run.Leaked = append(run.Leaked, name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !isSafeMethod(r.Method) {
		a.stamps++
		answer.Stamp, run.Stamp = a.stamps, a.stamps
	}
	run.Run = int64(len(a.runs)) + 1
	a.runs = append(a.runs, run)
	return answer
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Digest returns the Digest field of the answer to a request.
func Digest(method, path string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + path + "\n")
	_, _ = digest.Write(body)
	return fmt.Sprintf("%016x", digest.Sum64())
}

// Status returns the item's state in the answer to GET /status/ID. It depends
// only on the ID.
func Status(id string) string {
	states := []string{"received", "in_review", "approved", "returned"}
	return states[xxhash.Sum64String(id)%uint64(len(states))]
}

func (a *App) getAudit(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string][]Run{"runs": a.Audit()})
}
