// Package dispatch carries one typed request from its admission to its outcome:
// it asks for a place, sends the request to backend servers, and passes the
// answer on whole. It knows no wire format.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

// Part is a section of a prompt that requests may share.
type Part struct {
	// ID names the content; equal IDs in equal places have equal KV cache.
	ID     string
	Tokens int
}

// Prompt describes a generation before it runs.
type Prompt struct {
	Model string
	// Parts are the sections in order; the last one belongs to the request or
	// its session.
	Parts []Part
	// Tokens is the length of the prompt; MaxOutput bounds the answer.
	Tokens    int
	MaxOutput int
	// LengthHint is the client's estimate of the answer in tokens; 0 if none.
	LengthHint int
}

// Request is one request of a client. It is immutable once dispatched.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds what is passed on to the backend server.
	Header   http.Header
	Body     []byte
	Route    *catalog.Route
	Service  *catalog.Service
	Customer string
	// ConfigVersion is the version of the configuration that admitted the request.
	ConfigVersion int64
	// Priority is the request's rank, 0 the most urgent.
	Priority int
	Arrived  time.Time
	// Deadline is the time at which the client or the route gives up.
	Deadline time.Time
	// Prompt is nil unless the route's requests describe one.
	Prompt *Prompt
	// LastEvent is the last event that the client already has; empty if it asks
	// for the whole stream.
	LastEvent string
}

// Answer takes what the client gets. Its methods are called by one goroutine.
type Answer interface {
	// Whole sends a complete answer.
	Whole(status int, header http.Header, body []byte) error
	// Start begins a stream of events, Event sends one, and Finish completes it.
	Start(status int, header http.Header) error
	Event(data []byte) error
	Finish() error
	// Refuse sends a refusal or failure of the system's own.
	Refuse(f *Failure)
	// Break closes the connection, so that the client can't take what it got for
	// a complete answer.
	Break()
}

// Failure is an answer of the system's own.
type Failure struct {
	// Run says whether the request ran. Only a request that certainly did not
	// run is refused.
	Run backend.Run
	// Reason is a stable identifier for logs.
	Reason string
	// RetryAfter is the time after which the request is likely to be served; 0
	// if unknown. Only refusals have one.
	RetryAfter time.Duration
	// TimedOut says that the deadline passed.
	TimedOut bool
	// Cause is the last attempt, if one failed.
	Cause *AttemptError
	// Inputs are what the scheduler decided by, for logs.
	Inputs []event.Field
}

func (f *Failure) Error() string { return f.Reason }

// Handle names a prefilled prompt that an engine keeps for transfer.
type Handle struct {
	Server *registry.Server
	ID     string
}

// Event is one whole event of a stream.
type Event struct {
	// ID is the event's number; empty if it has none.
	ID string
	// Data are the event's bytes with the blank line that ends it.
	Data []byte
}

// Reply is a backend server's answer. Close must be called.
type Reply interface {
	Status() int
	// Header holds what is passed on to the client.
	Header() http.Header
	// Next returns the next event of a stream. It fails with io.EOF after the
	// last one, and with *backend.CallError if the stream broke.
	Next() (Event, error)
	// Body returns the whole body. It fails with *backend.CallError.
	Body() ([]byte, error)
	Close()
}

// RunOptions describe one attempt.
type RunOptions struct {
	// Source holds the prompt's KV cache; nil if the server reads the prompt.
	Source *Handle
	// Fetch holds parts of the prompt that the server may fetch; nil if none.
	Fetch *registry.Server
	// After is the last event that need not be produced; empty for none.
	After string
	// Left is the time left for the answer.
	Left time.Duration
}

// Backends sends attempts to backend servers.
type Backends interface {
	// Prefill makes an engine read the prompt and keep it for transfer.
	Prefill(ctx context.Context, server *registry.Server, r *Request, o RunOptions) (Handle, *AttemptError)
	// Run sends the request. It returns once the answer's header is there.
	Run(ctx context.Context, server *registry.Server, r *Request, o RunOptions) (Reply, *AttemptError)
	// Release frees a handle that is not needed. It does not wait.
	Release(h Handle)
}

// AttemptError is a failed attempt.
type AttemptError struct {
	// Run says whether the server ran the request.
	Run backend.Run
	// Reason is a stable identifier for logs.
	Reason string
	// Sent says that the server may have got the request.
	Sent bool
	// At is the server that failed; nil if none is to blame.
	At *registry.Server
	// Down says that the server takes no work at all, as far as the attempt
	// shows.
	Down bool
	Err  error
}

// server returns the ID of the server that failed, for logs.
func (e *AttemptError) server() string {
	if e.At == nil {
		return ""
	}
	return e.At.ID
}

func (e *AttemptError) Error() string {
	if e.Err != nil {
		return e.Reason + ": " + e.Err.Error()
	}
	return e.Reason
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Need asks for a place.
type Need struct {
	Request *Request
	// Avoid holds the IDs of servers that failed this request.
	Avoid []string
	// Whole asks for a server that reads the prompt itself.
	Whole bool
	// Resumed says that the client has the start of the answer already.
	Resumed bool
}

// Placement permits one attempt.
type Placement struct {
	Server *registry.Server
	// Prefill reads the prompt first; nil if Server does.
	Prefill *registry.Server
	// Fetch holds parts of the prompt that the reading server lacks; nil if none
	// is worth asking.
	Fetch *registry.Server
	// Ticket belongs to the scheduler.
	Ticket any
	// Inputs are what the scheduler decided by, for logs.
	Inputs []event.Field
}

// Result tells the scheduler how an attempt ended.
type Result struct {
	// OK says that the attempt ended with a whole answer.
	OK bool
	// Reason is the failed attempt's; empty if OK.
	Reason string
	// Failed names the server that failed the attempt; nil if none is to blame.
	Failed *registry.Server
	// Down says that the failed server takes no work at all.
	Down bool
}

// Scheduler chooses backend servers.
type Scheduler interface {
	// Place waits for a place. It fails with *Failure if the request is refused.
	Place(ctx context.Context, n Need) (*Placement, error)
	// Usable reports whether a server may get a request now.
	Usable(server *registry.Server) bool
	// Prefilled tells that the prompt is read.
	Prefilled(p *Placement)
	// Started tells that the answer began.
	Started(p *Placement)
	// Done ends the placement; it is called exactly once.
	Done(p *Placement, r Result)
}

// RetryBudget bounds attempts beyond the first one of each request.
type RetryBudget interface {
	// Arrived counts a request for a service.
	Arrived(service string)
	// Take returns whether one more attempt may be sent, and counts it.
	Take(service string) bool
	// Has returns whether Take would succeed.
	Has(service string) bool
	// Charge counts an attempt that turned out not to be free.
	Charge(service string)
	// State returns the repeated attempts in the window and how many it allows.
	State(service string) (repeats int, allowed float64)
}
