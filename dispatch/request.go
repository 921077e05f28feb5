// Package dispatch runs an admitted request to its outcome: it asks the scheduler
// for a placement, sends the request to backend servers, retries failed attempts
// where that is allowed and passes the answer on to the client. It is independent
// of wire formats.
package dispatch

import (
	"context"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	// ID identifies the content. Equal IDs at equal positions have the same KV
	// cache.
	ID     string
	Tokens int
}

// Prompt describes a generation request for scheduling.
type Prompt struct {
	Model string
	// Parts are the sections in order; the last one belongs to the request or
	// its session.
	Parts []Part
	// Tokens is the length of the prompt and MaxOutput the maximum length of the
	// answer, in tokens.
	Tokens    int
	MaxOutput int
	// LengthHint is the client's estimate of the answer in tokens; 0 if none.
	LengthHint int
}

// SharedParts returns the parts that other requests may share, which are all but
// the last one. p may be nil.
func (p *Prompt) SharedParts() []Part {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Request is one request of a client. It is immutable once dispatched.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds the header fields that are passed on to the backend server.
	Header   http.Header
	Body     []byte
	Route    *catalog.Route
	Service  *catalog.Service
	Customer string
	// ConfigVersion is the version of the configuration that admitted the request.
	ConfigVersion int64
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// Deadline is the time after which the client or the route no longer waits for
	// the answer.
	Deadline time.Time
	// Prompt is nil unless the requests of the route contain a prompt.
	Prompt *Prompt
	// LastEvent is the ID of the last event that the client already has; empty if
	// it asks for the whole stream.
	LastEvent string
	// Resumes is the ID of the client attempt that brought the first event of the
	// stream that this request takes up; empty if none.
	Resumes string
}

// Content is what requests are compared by, to find those that crash servers.
type Content struct {
	// Fingerprint identifies the whole request by its customer, method, host, target and
	// body. Clients that repeat a request send the same content under another ID.
	Fingerprint string
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
}

// Content returns the content of the request.
func (r *Request) Content() Content {
	return Content{Fingerprint: r.fingerprint(), Parts: r.Prompt.SharedParts()}
}

func (r *Request) fingerprint() string {
	h := xxhash.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(r.Customer), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // A hash never fails.
		_, _ = h.Write(field)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Progress is how far a server had come with a request when the connection broke.
type Progress struct {
	// Prefill is set if the server only prefilled the prompt.
	Prefill bool
	// Flowed is the time since the answer's first event; 0 if there was none.
	Flowed time.Duration
}

// Answer sends the answer to the client. Its methods are called by one goroutine.
type Answer interface {
	// Whole sends a complete answer.
	Whole(status int, header http.Header, body []byte) error
	// Start begins a stream of events, Event sends one, and Finish completes it.
	Start(status int, header http.Header) error
	Event(data []byte) error
	Finish() error
	// Refuse sends an error answer for a request that was refused or failed.
	Refuse(f *Failure)
	// Abort closes the connection, so that the client can't mistake a partial
	// stream for a complete answer.
	Abort()
}

// Failure is the error with which a request ends without an answer of a backend
// server.
type Failure struct {
	// Run says whether the request ran. Only a request that certainly did not
	// run is refused.
	Run backend.Run
	// Reason is a stable identifier for logs.
	Reason string
	// RetryAfter is the time after which a new request is likely to be served; 0
	// if unknown. The client gets it only if the request did not run.
	RetryAfter time.Duration
	// TimedOut is set if the deadline passed.
	TimedOut bool
	// Cause is the error of the last attempt; nil if there was none.
	Cause *AttemptError
	// Inputs are the inputs of the scheduler's decision, for logs.
	Inputs []event.Field
}

func (f *Failure) Error() string { return f.Reason }

// Handle identifies the KV cache of a prompt that an engine keeps for transfer.
type Handle struct {
	Server *registry.Server
	ID     string
}

// Event is one event of a stream.
type Event struct {
	// ID is the event's ID; empty if it has none.
	ID string
	// Data is the event as received, including the blank line that ends it.
	Data []byte
}

// Reply is a backend server's answer. Close must be called.
type Reply interface {
	Status() int
	// Header returns the header fields that are passed on to the client.
	Header() http.Header
	// Next returns the next event of a stream. It returns io.EOF after the last
	// one and a *backend.CallError if the stream broke.
	Next() (Event, error)
	// Body returns the whole body or a *backend.CallError.
	Body() ([]byte, error)
	Close()
}

// RunOptions holds the parameters of one attempt.
type RunOptions struct {
	// Source holds the prompt's KV cache; nil if the server does the prefill.
	Source *Handle
	// Fetch is a server from which cached parts of the prompt may be fetched; nil
	// if none.
	Fetch *registry.Server
	// After is the ID of the last event that need not be sent again; empty if the
	// stream starts from the beginning.
	After string
	// Left is the time left until the request's deadline.
	Left time.Duration
	// Again is set if the request was sent to this address before. A late copy of the
	// earlier answer would name the same request.
	Again bool
}

// Backends sends attempts to backend servers.
type Backends interface {
	// Prefill makes an engine prefill the prompt and keep the KV cache for
	// transfer.
	Prefill(ctx context.Context, server *registry.Server, r *Request, o RunOptions) (Handle, *AttemptError)
	// Run sends the request. It returns once the answer's header was received.
	Run(ctx context.Context, server *registry.Server, r *Request, o RunOptions) (Reply, *AttemptError)
	// Release frees a handle that is no longer needed. It does not block.
	Release(h Handle)
}

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	// Run says whether the server ran the request.
	Run backend.Run
	// Reason is a stable identifier for logs.
	Reason string
	// Sent is set if the server may have received the request.
	Sent bool
	// Server is the server that failed; nil if the failure isn't a server's.
	Server *registry.Server
	// Down is set if the attempt shows that the server takes no requests at all, and
	// Suspect if the connection broke, which may be due to the server or to the path.
	Down, Suspect bool
	// Unfit is set if the server is not at fault, but unfit for this request.
	Unfit bool
	// NoPath is set if the path to the server failed.
	NoPath bool
	// Lost is set if the connection ended after the request was written, without a
	// complete answer.
	Lost bool
	// RetryAfter is the time after which a new attempt may succeed; 0 if unknown.
	RetryAfter time.Duration
	Err        error
}

// server returns the ID of the server that failed, for logs.
func (e *AttemptError) server() string {
	if e.Server == nil {
		return ""
	}
	return e.Server.ID
}

// unreached reports whether there was no path to the server. Another attempt at it may
// find one.
func (e *AttemptError) unreached() bool {
	return !e.Sent && e.NoPath
}

func (e *AttemptError) Error() string {
	if e.Err != nil {
		return e.Reason + ": " + e.Err.Error()
	}
	return e.Reason
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// PlacementRequest is a request for a placement.
type PlacementRequest struct {
	Request *Request
	// Avoid holds the IDs of servers that failed this request.
	Avoid []string
	// Whole asks for a server that does the prefill itself.
	Whole bool
	// Resumed is set if the client already has the start of the answer.
	Resumed bool
	// Version is the software version that the servers must have; empty if any will do.
	Version string
}

// Placement assigns servers to one attempt.
type Placement struct {
	Server *registry.Server
	// Prefill is the server that does the prefill; nil if Server does it.
	Prefill *registry.Server
	// Fetch is a server from which fetching cached parts of the prompt saves time;
	// nil if none.
	Fetch *registry.Server
	// Ticket is private data of the scheduler.
	Ticket any
	// Inputs are the inputs of the scheduler's decision, for logs.
	Inputs []event.Field
}

// Result reports to the scheduler how an attempt ended.
type Result struct {
	// OK is set if the attempt ended with a complete answer.
	OK bool
	// Reason is the reason of a failed attempt; empty if OK is set.
	Reason string
	// Failed is the server that failed; nil if the failure isn't a server's.
	Failed *registry.Server
	// Down is set if the failed server takes no requests at all, and Suspect if that has to
	// be checked.
	Down, Suspect bool
}

// Scheduler chooses backend servers.
type Scheduler interface {
	// Place waits for a placement. It returns a *Failure if the request is refused.
	Place(ctx context.Context, r PlacementRequest) (*Placement, error)
	// Usable reports whether a request may be sent to a server now.
	Usable(server *registry.Server) bool
	// Prefilled reports the end of the prefill on a separate server.
	Prefilled(p *Placement)
	// Started reports that the answer began.
	Started(p *Placement)
	// Done ends the placement. It must be called exactly once.
	Done(p *Placement, r Result)
}

// RetryBudget bounds attempts beyond the first one of each request.
type RetryBudget interface {
	// Arrived counts a request for a service.
	Arrived(service string)
	// Take reports whether one more attempt may be sent and counts it if so.
	Take(service string) bool
	// Has reports whether Take would succeed.
	Has(service string) bool
	// Charge counts an attempt that was sent without Take.
	Charge(service string)
	// State returns the number of repeated attempts in the budget's window and the
	// number that it allows.
	State(service string) (repeats int, allowed float64)
}

// Quarantine withholds requests whose content crashes backend servers.
type Quarantine interface {
	// Left returns the time for which requests that share some content are not sent to
	// servers, and the name of that content for logs; 0 if they are sent.
	Left(c Content) (left time.Duration, what string)
	// Served records that a server answered a request completely.
	Served(c Content)
	// Lost records that the connection to a server broke while it had a request.
	Lost(server *registry.Server, c Content, p Progress)
}
