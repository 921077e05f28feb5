package gateway

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// The optional headers of a request.
const (
	HeaderDeadlineMs     = "Mimosakeel-Deadline-Ms"
	HeaderPriority       = "Mimosakeel-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	servicePrefix   = "/services/"
	maxDeadline     = 24 * time.Hour
)

// request is the state of one client request. It belongs to the goroutine that
// serves the request. Other goroutines call only abort, checkKey and the
// methods of move.
type request struct {
	g      *Gateway
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// control sets the deadlines of the client's connection. Unlike w, it is never
	// replaced, so abort may use it.
	control *http.ResponseController

	id      string
	started time.Time
	// firstByteTimeout is the time allowed for the first token or byte;
	// deadline is when it ends.
	firstByteTimeout time.Duration
	deadline         time.Time
	deadlineTimer    *time.Timer
	// deadlineMet is set when the first token or byte has arrived.
	deadlineMet bool
	priority    Priority

	keyHash  KeyHash
	customer *Customer
	model    *modelCall
	service  *serviceCall

	// mayHaveRun is set when a backend may have run the request. No error after
	// that reports RunNever.
	mayHaveRun bool
	// headerSent is set when the response's status line has been written, and
	// sentStatus is its status if it isn't 200.
	headerSent    bool
	sentStatus    int
	exclude       []string
	usage         UsageEntry
	writeDeadline time.Time
	cleanups      []func()

	// bodyHash and recorder are used for requests with an idempotency key;
	// recorder is nil for other requests.
	bodyHash [32]byte
	recorder *recorder
	// replayed is set when the recorded outcome of an earlier request was the
	// response.
	replayed bool
	// stopClientWatch stops the cancellation of the request when its client
	// leaves.
	stopClientWatch func() bool
}

// filter is one step of request processing. An error ends the request.
type filter func(q *request) *Error

// The causes of a request's end that come from the gateway.
var (
	errDeadline  = errors.New("deadline exceeded")
	errWithdrawn = errors.New("key withdrawn")
	// errUnverified means that a withdrawal of the key might not have been
	// seen.
	errUnverified = errors.New("authorization unverified")
)

// pipeline returns the handler that runs the filters in order. decode parses
// the request and calls identify if the request needs a key.
func (g *Gateway) pipeline(decode filter) http.Handler {
	filters := []filter{decode, limit, claimRequest, schedule, dispatch, relay}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.admit(); err != nil {
			g.metrics.countResponse(err.Status)
			err.write(w)
			return
		}
		defer g.outstanding.Add(-1)
		g.run(w, r, filters)
	})
}

func (g *Gateway) run(w http.ResponseWriter, r *http.Request, filters []filter) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	q := &request{
		g: g, w: w, r: r, ctx: ctx, cancel: cancel, control: http.NewResponseController(w),
		id: newRequestID(), started: g.Clock.Now(),
	}
	q.stopClientWatch = context.AfterFunc(r.Context(), func() { cancel(errClientLeft) })
	defer cancel(nil)
	defer q.cleanUp()
	defer q.stopClientWatch()
	q.setBodyDeadline()
	var err *Error
	for _, f := range filters {
		if err = f(q); err != nil || q.replayed {
			break
		}
	}
	account(q)
	q.finish(err)
}

// cleanUp runs the cleanup functions in reverse order of registration.
func (q *request) cleanUp() {
	for i := len(q.cleanups) - 1; i >= 0; i-- {
		q.cleanups[i]()
	}
}

// atEnd registers a cleanup function.
func (q *request) atEnd(f func()) { q.cleanups = append(q.cleanups, f) }

// finish sends err, if it is not nil, as the response and records the outcome.
func (q *request) finish(err *Error) {
	q.respond(err)
	q.recordOutcome(err)
	if err != nil && q.headerSent && !q.streaming() {
		// Close the connection, so that the client doesn't take the truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

func (q *request) streaming() bool { return q.model != nil && q.model.stream }

// respond records the end of the request and sends err to the client, if it is
// not nil.
func (q *request) respond(err *Error) {
	if err == nil {
		q.recordEvent(EventFinished, "", "")
		q.g.metrics.countResponse(cmp.Or(q.sentStatus, http.StatusOK))
		return
	}
	kind := EventFailed
	switch {
	case errors.Is(context.Cause(q.ctx), errWithdrawn):
		kind = EventWithdrawn
	case err.Run == RunNever:
		kind = EventRefused
	}
	q.recordEvent(kind, "", err.Code)
	q.g.metrics.countResponse(err.Status)
	q.extendWriteDeadline()
	if !q.headerSent {
		err.write(q.w)
		return
	}
	if q.streaming() {
		q.writeStreamError(err)
	}
}

func (q *request) recordEvent(kind EventKind, server, detail string) {
	event := Event{At: q.g.Clock.Now(), Kind: kind, Request: q.id, Backend: server, Detail: detail}
	if q.customer != nil {
		event.Customer = q.customer.Name
	}
	if q.model != nil {
		event.Position = q.model.validator.nextPosition
	}
	q.g.Events.Record(event)
}

func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// runState returns RunUnknown if a backend may have run the request, otherwise
// RunNever.
func (q *request) runState() Run {
	if q.mayHaveRun {
		return RunUnknown
	}
	return RunNever
}

// startDeadline starts the timer that cancels the request if no token or byte
// arrives in time.
func (q *request) startDeadline() {
	q.deadline = q.g.Clock.Now().Add(q.firstByteTimeout)
	q.deadlineTimer = time.AfterFunc(q.firstByteTimeout, func() { q.cancel(errDeadline) })
	q.atEnd(func() { q.deadlineTimer.Stop() })
}

// meetDeadline stops the deadline timer. It is called when the first token or
// byte has arrived.
func (q *request) meetDeadline() {
	if !q.deadlineMet {
		q.deadlineMet = true
		q.deadlineTimer.Stop()
	}
}

// restartDeadline allows a resumed stream the same time for its next token as
// it had for its first one.
func (q *request) restartDeadline() {
	if !q.deadlineMet {
		return
	}
	q.deadlineMet = false
	q.deadline = q.g.Clock.Now().Add(q.firstByteTimeout)
	q.deadlineTimer.Reset(q.firstByteTimeout)
}

// contextError returns the error for a request whose context has ended, or nil.
func (q *request) contextError() *Error {
	if q.ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(q.ctx); {
	case errors.Is(cause, errWithdrawn):
		return &Error{Status: http.StatusUnauthorized, Type: TypeAuth, Code: "key_withdrawn",
			Message: "the key was withdrawn", Run: q.runState()}
	case errors.Is(cause, errUnverified):
		return &Error{Status: http.StatusServiceUnavailable, Type: TypeServer, Code: "authorization_unverified",
			Message: "this daemon can't tell any more whether the key is valid", Run: q.runState(), RetryAfter: defaultRetryAfter}
	case errors.Is(cause, errDeadline):
		return &Error{Status: http.StatusGatewayTimeout, Type: TypeServer, Code: "deadline_exceeded",
			Message: "the deadline passed before the answer", Run: q.runState()}
	}
	return &Error{Status: statusClientClosed, Type: TypeInvalid, Code: "client_closed",
		Message: "the client closed the connection", Run: q.runState()}
}

// statusClientClosed is the status, customary in logs and metrics, of a request
// whose client left. No client receives it.
const statusClientClosed = 499

// extendWriteDeadline extends the time in which the client must take data. It
// is called before every write, but sets the connection's deadline only when
// less than half of ClientWriteTimeout is left.
func (q *request) extendWriteDeadline() {
	now := q.g.Clock.Now()
	if q.writeDeadline.Sub(now) > q.g.config.ClientWriteTimeout/2 {
		return
	}
	q.writeDeadline = now.Add(q.g.config.ClientWriteTimeout)
	_ = q.control.SetWriteDeadline(q.writeDeadline)
}

// setBodyDeadline limits the time in which the body must arrive. This also
// limits requests that are refused before their body is read, because net/http
// reads the rest of the body.
func (q *request) setBodyDeadline() {
	if q.r.Body != nil && q.r.Body != http.NoBody {
		_ = q.control.SetReadDeadline(time.Now().Add(q.g.config.BodyTimeout))
	}
}

// abort ends the request immediately because its key is not valid or can't be
// verified. It shortens the write deadline, so that a client that takes no data
// can't delay the end.
func (q *request) abort(cause error) {
	q.cancel(cause)
	_ = q.control.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
}

// abortWriteTimeout is the time in which the client must take the error after
// abort.
const abortWriteTimeout = time.Second

// parseOptions reads the priority and deadline headers.
func (q *request) parseOptions() *Error {
	q.priority = Interactive
	q.firstByteTimeout = q.g.config.InteractiveDeadline
	if value, err := singleHeader(q.r.Header, HeaderPriority); err != nil {
		return err
	} else if value != "" {
		q.priority = Priority(value)
	}
	switch q.priority {
	case Interactive:
	case Batch:
		q.firstByteTimeout = q.g.config.BatchDeadline
	default:
		return invalidRequest(http.StatusBadRequest, "invalid_priority", HeaderPriority, `priority must be "interactive" or "batch"`)
	}
	value, err := singleHeader(q.r.Header, HeaderDeadlineMs)
	if err != nil || value == "" {
		return err
	}
	ms, parseErr := strconv.ParseInt(value, 10, 64)
	if parseErr != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return invalidRequest(http.StatusBadRequest, "invalid_deadline", HeaderDeadlineMs, "deadline must be a number of milliseconds above 0")
	}
	q.firstByteTimeout = time.Duration(ms) * time.Millisecond
	return nil
}

// singleHeader returns the header's value, or "" if it is absent. It refuses a
// header that is given more than once.
func singleHeader(h http.Header, name string) (string, *Error) {
	values := h.Values(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", invalidRequest(http.StatusBadRequest, "duplicate_header", name, "header "+name+" is given more than once")
}

func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return "req-" + hex.EncodeToString(raw[:])
}

const (
	maxConcurrentCancels = 64
	cancelTimeout        = 2 * time.Second
)

// cancelAtEngine tells the engine in the background that the attempt is no
// longer needed. Most engines already notice this when the connection is
// closed.
func (g *Gateway) cancelAtEngine(url, id string) {
	select {
	case g.cancelSlots <- struct{}{}:
	default:
		g.metrics.cancelsDropped.Inc()
		return
	}
	g.cancelCalls.Go(func() {
		defer func() { <-g.cancelSlots }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := g.Engines.Cancel(ctx, url, id); err != nil {
			g.metrics.cancelsFailed.Inc()
		}
	})
}

// callError returns the *backend.CallError in err's chain, or wraps err as
// backend.FailureMalformed.
func callError(err error) *backend.CallError {
	var call *backend.CallError
	if errors.As(err, &call) {
		return call
	}
	return &backend.CallError{Failure: backend.FailureMalformed, Written: true, Err: err}
}
