// Package gateway serves client requests: it identifies the customer, applies
// limits, claims idempotency keys, schedules, dispatches to a backend, relays
// the response and records the usage.
//
// Request goroutines never take a lock of the control plane. Every interface
// declared here must therefore respond from an immutable snapshot or an atomic
// value, or by sending a message. All implementations must be safe for
// concurrent use.
package gateway

import (
	"context"
	"time"

	"github.com/mimosakeel/mimosakeel/table"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash = table.KeyHash

// Customer is a customer's entry in the table. It is immutable.
type Customer = table.Customer

// Service is a plain service's entry in the table. It is immutable.
type Service = table.Service

// Directory looks up customers, models and services in the current table
// snapshot.
type Directory interface {
	// Customer returns the customer that owns the key with this hash, or nil.
	Customer(key KeyHash) *Customer
	// HasModel reports whether the table contains the model.
	HasModel(name string) bool
	// Service returns the service with this name, or nil.
	Service(name string) *Service
}

// Freshness reports whether the local table is recent enough to trust that its
// keys have not been withdrawn.
type Freshness interface {
	// MayServeKeyed reports whether requests that need a key may be served now.
	MayServeKeyed() bool
}

// Priority is the scheduling priority of a request.
type Priority string

// The priorities.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Refusal is the error of a limiter, scheduler or service picker that refuses a
// request. The refused request or attempt was not sent to a backend.
type Refusal struct {
	// Status is the HTTP status: 429 if the customer's own usage is the reason,
	// otherwise 503.
	Status int
	// Code is a stable identifier, for example "rate_limited".
	Code       string
	Message    string
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Limiter applies a customer's limits.
type Limiter interface {
	// Admit admits one request that is expected to use the given number of
	// tokens (prompt plus output), or returns a refusal. The caller must call
	// release exactly once with the number of tokens used.
	Admit(customer *Customer, tokens int64) (release func(used int64), refusal *Refusal)
}

// GrantRequest asks the scheduler for an engine.
type GrantRequest struct {
	RequestID string
	Customer  string
	Model     string
	Priority  Priority
	// PromptTokens is an estimate; MaxTokens is 0 if the client set no limit.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the hashes of the prompt's blocks; see backend.PrefixBlocks.
	Prefix []uint64
	// Deadline is the time by which the next token must arrive; zero means
	// none.
	Deadline time.Time
	// ResumeFrom is the number of tokens that earlier attempts delivered.
	ResumeFrom int
	// Exclude lists the engines on which this request already failed or from
	// which it was moved. The scheduler may grant one of them if there is no
	// other.
	Exclude []string
	// OnEngineStopping is called when the granted engine is about to stop, so
	// that the stream can be resumed on another engine. It does not block.
	OnEngineStopping func()
}

// Ticket identifies a grant to the scheduler that issued it.
type Ticket struct {
	// Scheduler is the incarnation of the issuing scheduler; it is empty if the
	// entry daemon issued the grant itself.
	Scheduler string
	Number    uint64
}

// Grant permits one attempt on one engine.
type Grant struct {
	Ticket Ticket
	Engine string
	URL    string
	// Expires is the time after which no attempt may be started with the grant.
	Expires time.Time
}

// GrantResult reports to the scheduler how an attempt ended.
type GrantResult struct {
	// Tokens is the number of tokens that this attempt delivered.
	Tokens int
	// PromptTokens is the number of prompt tokens that the engine reported; 0
	// if unknown.
	PromptTokens int
	// Failure is empty after a success.
	Failure FailureReason
}

// Scheduler grants engines to requests. Progress and Release must not block.
type Scheduler interface {
	// Grant returns a grant. It fails with a *Refusal if the scheduler refuses
	// the request.
	Grant(ctx context.Context, request GrantRequest) (Grant, error)
	// Progress reports the number of tokens that the attempt has delivered so
	// far.
	Progress(ticket Ticket, tokens int)
	// Release ends the grant. It is called exactly once per grant.
	Release(ticket Ticket, result GrantResult)
}

// ServiceBackend is one backend server of a plain service.
type ServiceBackend struct {
	ID  string
	URL string
}

// ServiceBackends chooses backend servers for plain services.
type ServiceBackends interface {
	// Pick returns a server that is not listed in exclude, or a *Refusal if there
	// is none.
	Pick(service string, exclude []string) (ServiceBackend, error)
	// Release ends the use of a picked server; failed reports whether the call
	// failed.
	Release(server ServiceBackend, failed bool)
}

// UsageEntry is the usage of one request.
type UsageEntry struct {
	Customer string
	// Resource is the name of the model or service.
	Resource  string
	Requests  int64
	TokensIn  int64
	TokensOut int64
}

// UsageRecorder collects the usage of customers.
type UsageRecorder interface {
	Add(entry UsageEntry)
}

// Event is one entry of the daemon's event log.
type Event struct {
	At       time.Time
	Kind     EventKind
	Request  string
	Customer string
	Backend  string
	// Position is the number of tokens delivered to the client.
	Position int
	Detail   string
}

// EventKind is the name of an event.
type EventKind string

// The events of the request path.
const (
	EventRefused   EventKind = "request_refused"
	EventFinished  EventKind = "request_finished"
	EventFailed    EventKind = "request_failed"
	EventRetried   EventKind = "request_retried"
	EventMoved     EventKind = "request_moved"
	EventWithdrawn EventKind = "key_withdrawn"
)

// Events records events; Record must not block.
type Events interface {
	Record(event Event)
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }
