package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
)

// Usage counts requests that began to run.
type Usage interface {
	// Began counts one request of a customer, at most once per request.
	Began(customer string)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Scheduler Scheduler
	Backends  Backends
	Budget    RetryBudget
	Usage     Usage
	Events    *event.Recorder
}

// Serve runs a request to its outcome. ctx ends when the client leaves.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, answer Answer) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.Budget.Arrived(r.Service.Name)
	c := &call{Dispatcher: d, request: r, answer: answer, last: r.LastEvent}
	for {
		switch out := c.attempt(ctx); {
		case out.answered:
			return
		case out.failure != nil:
			c.fail(out.failure)
			return
		}
	}
}

// call is one request on its way.
type call struct {
	*Dispatcher
	request *Request
	answer  Answer
	// avoid holds the servers that failed the request.
	avoid []string
	// attempts counts the placements.
	attempts int
	// sent counts what reached backend servers: runs, and prompts read beyond
	// the first one that was accepted.
	sent int
	// runs counts the runs among them.
	runs int
	// prefilled says that a server has read the prompt for the request, which
	// counts as nothing the first time.
	prefilled bool
	// mayHaveRun is set once an attempt ended without certainty.
	mayHaveRun bool
	// began is set once a backend server was seen to work on the request.
	began bool
	// started is set once the client has the start of a stream.
	started bool
	// last is the ID of the last event that the client has.
	last  string
	times times
}

// outcome is the end of an attempt: the client is answered, the call fails, or,
// if neither, another attempt follows.
type outcome struct {
	answered bool
	failure  *Failure
}

// fail ends the call with an answer of the system's own.
func (c *call) fail(f *Failure) {
	c.logFailed(f)
	if c.started {
		c.answer.Break()
		return
	}
	c.answer.Refuse(f)
}

// attempt places and sends the request once.
func (c *call) attempt(ctx context.Context) outcome {
	asked := time.Now()
	place, err := c.Scheduler.Place(ctx, Need{Request: c.request, Avoid: c.avoid, Whole: c.prefilled, Resumed: c.started})
	waited := time.Since(asked)
	c.times.waited += waited
	if err != nil {
		return outcome{failure: c.notPlaced(ctx, err)}
	}
	c.attempts++
	c.logPlaced(place, waited)
	failed := c.run(ctx, place)
	if failed == nil {
		c.Scheduler.Done(place, Result{OK: true})
		return outcome{answered: true}
	}
	if failed.Reason == reasonAnswered {
		c.Scheduler.Done(place, Result{Reason: failed.Reason, Failed: place.Server})
		return outcome{answered: true}
	}
	result := Result{Reason: failed.Reason}
	if ctx.Err() == nil && failed.At != nil {
		result.Failed, result.Down = failed.At, failed.Down
		c.avoid = append(c.avoid, failed.At.ID)
	}
	c.Scheduler.Done(place, result)
	if failed.Run != backend.RunNot {
		c.mayHaveRun = true
	}
	return c.afterFailure(ctx, failed)
}

// reasonAnswered marks an attempt whose failure the client got as its answer.
const reasonAnswered = "answered"

// reasonClientLeft is the end of a request whose client closed its connection.
const reasonClientLeft = "client_left"

func (c *call) notPlaced(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return c.ended(ctx)
	}
	out := Failure{Reason: "not_placed"}
	var refusal *Failure
	if errors.As(err, &refusal) {
		out = *refusal
	}
	out.Run = c.runState()
	return &out
}

func (c *call) runState() backend.Run {
	if c.mayHaveRun {
		return backend.RunUnknown
	}
	return backend.RunNot
}

// ended is the answer after the client left or the deadline passed.
func (c *call) ended(ctx context.Context) *Failure {
	f := &Failure{Run: c.runState(), Reason: reasonClientLeft}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason, f.TimedOut = "deadline", true
	}
	return f
}

// afterFailure decides whether a failed attempt is repeated.
func (c *call) afterFailure(ctx context.Context, failed *AttemptError) outcome {
	switch {
	case ctx.Err() != nil:
		f := c.ended(ctx)
		f.Cause = failed
		return outcome{failure: f}
	case failed.Reason == reasonBudget:
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: budgetRetry, Cause: failed}}
	case !c.mayRepeat(failed.Run):
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: failedRetry, Cause: failed}}
	}
	c.logRetried(failed)
	return outcome{}
}

const (
	// reasonBudget refuses an attempt because of the retry budget.
	reasonBudget = "retry_budget"
	// budgetRetry is the Retry-After of a request that the retry budget stopped:
	// the budget is a sliding window, which frees a place within a fraction of a
	// second under load.
	budgetRetry = 300 * time.Millisecond
	// failedRetry is the Retry-After of a request whose attempts were all turned
	// away.
	failedRetry = 100 * time.Millisecond
)

// mayRepeat reports whether the route allows one more attempt after one of the
// given end.
func (c *call) mayRepeat(run backend.Run) bool {
	route := c.request.Route
	if c.sent >= route.MaxAttempts {
		return false
	}
	if c.started {
		return route.Resumable
	}
	return run == backend.RunNot || route.Repeatable()
}

// run sends the request to the placement's servers and relays the answer.
func (c *call) run(ctx context.Context, place *Placement) *AttemptError {
	options := RunOptions{After: c.last, Fetch: place.Fetch}
	if place.Prefill != nil {
		handle, failed := c.prefill(ctx, place)
		if failed != nil {
			return failed
		}
		options.Source, options.Fetch = &handle, nil
	}
	reply, failed := c.send(ctx, place, options)
	if failed != nil {
		if options.Source != nil {
			c.Backends.Release(*options.Source)
		}
		return failed
	}
	defer reply.Close()
	if c.request.Route.Kind == catalog.KindStreaming && reply.Status() == http.StatusOK {
		failed = c.relay(place, reply)
	} else {
		failed = c.whole(place, reply)
	}
	if failed != nil {
		failed.At = place.Server
	}
	return failed
}

// send starts the run on the placement's server.
func (c *call) send(ctx context.Context, place *Placement, options RunOptions) (Reply, *AttemptError) {
	if !c.Scheduler.Usable(place.Server) {
		return nil, &AttemptError{Run: backend.RunNot, Reason: "server_left", At: place.Server}
	}
	if c.runs > 0 && !c.Budget.Take(c.request.Service.Name) {
		return nil, &AttemptError{Run: backend.RunNot, Reason: reasonBudget}
	}
	options.Left = time.Until(c.request.Deadline)
	reply, failed := c.Backends.Run(ctx, place.Server, c.request, options)
	if failed != nil && !failed.Sent {
		failed.At = place.Server
		return nil, failed
	}
	c.sent++
	c.runs++
	if failed != nil {
		failed.At = place.Server
		return nil, failed
	}
	return reply, nil
}

// prefill reads the prompt on the placement's prefill engine. The first reading
// that is accepted is no attempt; a rejected one is.
func (c *call) prefill(ctx context.Context, place *Placement) (Handle, *AttemptError) {
	begin := time.Now()
	handle, failed := c.Backends.Prefill(ctx, place.Prefill, c.request, RunOptions{Fetch: place.Fetch, Left: time.Until(c.request.Deadline)})
	took := time.Since(begin)
	c.times.prefill += took
	if failed == nil {
		prefillSeconds.Update(took.Seconds())
		c.prefilled = true
		c.Scheduler.Prefilled(place)
		return handle, nil
	}
	// Reading the prompt is no run.
	failed.Run = backend.RunNot
	failed.Reason = "prefill_" + failed.Reason
	failed.At = place.Prefill
	if failed.Sent {
		c.sent++
		c.Budget.Charge(c.request.Service.Name)
	}
	return Handle{}, failed
}

// relay passes a stream on, event by event.
func (c *call) relay(place *Placement, reply Reply) *AttemptError {
	for {
		ev, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return c.finish(place, reply.Status())
		}
		if err != nil {
			return brokenAnswer(err)
		}
		c.markBegun(place)
		if !c.started {
			c.started = true
			c.markFirstByte()
			if err := c.answer.Start(reply.Status(), reply.Header()); err != nil {
				return clientError(err)
			}
		}
		if err := c.answer.Event(ev.Data); err != nil {
			return clientError(err)
		}
		c.times.event(time.Now())
		if ev.ID != "" {
			c.last = ev.ID
		}
	}
}

// markBegun notes the first sign that a backend server runs the request.
func (c *call) markBegun(place *Placement) {
	if c.began {
		return
	}
	c.began = true
	c.Usage.Began(c.request.Customer)
	c.Scheduler.Started(place)
}

func (c *call) finish(place *Placement, status int) *AttemptError {
	if !c.started {
		return &AttemptError{Run: backend.RunUnknown, Reason: "empty_stream", Sent: true}
	}
	if err := c.answer.Finish(); err != nil {
		return clientError(err)
	}
	c.logServed(place, status)
	return nil
}

func brokenAnswer(err error) *AttemptError {
	out := &AttemptError{Run: backend.RunUnknown, Reason: backend.FailureBroken.String(), Sent: true, Err: err}
	var failed *backend.CallError
	if errors.As(err, &failed) {
		out.Reason, out.Down = failed.Failure.String(), failed.Down()
	}
	return out
}

func clientError(err error) *AttemptError {
	return &AttemptError{Run: backend.RunUnknown, Reason: "client_write", Sent: true, Err: err}
}

// whole reads the whole answer before the client gets any of it, so that a
// broken one can be repeated. A failure of the server is passed on unless
// another attempt follows.
func (c *call) whole(place *Placement, reply Reply) *AttemptError {
	body, err := reply.Body()
	if err != nil {
		return brokenAnswer(err)
	}
	c.markBegun(place)
	failed := reply.Status() >= http.StatusInternalServerError
	if failed && c.mayRepeat(backend.RunDone) && c.Budget.Has(c.request.Service.Name) {
		return &AttemptError{Run: backend.RunUnknown, Reason: "server_error", Sent: true}
	}
	if c.started {
		// The client has the start of a stream, which this answer can't continue.
		return &AttemptError{Run: backend.RunUnknown, Reason: "not_resumed", Sent: true}
	}
	c.markFirstByte()
	if err := c.answer.Whole(reply.Status(), reply.Header(), body); err != nil {
		return clientError(err)
	}
	c.logServed(place, reply.Status())
	if failed {
		return &AttemptError{Run: backend.RunDone, Reason: reasonAnswered, Sent: true}
	}
	return nil
}
