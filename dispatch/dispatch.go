package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

// UsageCounter counts the requests that began to run, by customer.
type UsageCounter interface {
	// RequestStarted counts one request of a customer. It is called at most once
	// per request.
	RequestStarted(customer string)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Scheduler  Scheduler
	Backends   Backends
	Budget     RetryBudget
	Quarantine Quarantine
	Versions   VersionPins
	Usage      UsageCounter
	Events     *event.Recorder
	Shutdown   *Shutdown
	Steps      *EventSteps
}

// Serve runs attempts of a request until the client is answered or the request
// fails. ctx must end when the client closes its connection.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, answer Answer) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, end := endWith(ctx, d.Shutdown.running)
	defer end()
	d.Budget.Arrived(r.Service.Name)
	c := &call{Dispatcher: d, request: r, content: r.Content(), answer: answer, lastEventID: r.LastEvent, binding: newVersionBinding(r)}
	if !r.Route.Resumable {
		c.lastEventID = "" // The servers of other routes need not heed it.
	}
	if d.Shutdown.tooLate(r.Deadline) {
		c.fail(stoppingFailure(backend.RunNever))
		return
	}
	if failure := c.lookUpVersion(ctx); failure != nil {
		c.fail(failure)
		return
	}
	defer func() { c.Steps.learn(c.request.Service.Name, c.binding.version, c.sequence.steps) }()
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

// call is the state of one request during Serve.
type call struct {
	*Dispatcher
	request *Request
	content Content
	answer  Answer
	// avoid holds the IDs of the servers on which attempts failed.
	avoid []string
	// contacted holds the addresses of the servers to which the request was sent.
	contacted []string
	// attempts is the number of placements.
	attempts int
	// sent is the number of attempts that count towards the route's limit: the
	// runs and failed prefills that were sent to a backend server.
	sent int
	// runs is the number of runs among them.
	runs int
	// prefilled is set once a prefill succeeded. Later attempts do the prefill on
	// the server of the run, so that the request has at most one successful
	// prefill that counts neither as an attempt nor towards the retry budget.
	prefilled bool
	// mayHaveRun is set once an attempt failed after which the request may have
	// run.
	mayHaveRun bool
	// unreached is the number of attempts that found no path to their server.
	unreached int
	// began is set once a backend server began to answer.
	began bool
	// attemptBegan is the time of the first event of the current attempt; zero before
	// it.
	attemptBegan time.Time
	// started is set once the client has been sent the start of a stream.
	started bool
	// lastEventID is the ID of the last event that the client has received.
	lastEventID string
	binding     versionBinding
	sequence    eventSequence
	times       requestTimes
}

// outcome is the result of an attempt: the client was answered, or the call
// failed. If neither is set, another attempt follows.
type outcome struct {
	answered bool
	failure  *Failure
}

// fail ends the call with an error answer, or by closing the connection if the
// client has the start of a stream.
func (c *call) fail(f *Failure) {
	c.logFailed(f)
	if c.started {
		c.answer.Abort()
		return
	}
	c.answer.Refuse(f)
}

// attempt runs one attempt: it places the request, sends it and relays the
// answer.
func (c *call) attempt(ctx context.Context) outcome {
	if failed := c.quarantined(); failed != nil {
		return c.afterFailure(ctx, failed)
	}
	asked := time.Now()
	placing, end := endWith(ctx, c.Shutdown.placing)
	place, err := c.Scheduler.Place(placing, PlacementRequest{Request: c.request, Avoid: c.avoid, Whole: c.prefilled, Resumed: c.started, Version: c.binding.version})
	stopping := errors.Is(context.Cause(placing), errStopping)
	end()
	waited := time.Since(asked)
	c.times.waited += waited
	if err != nil {
		return outcome{failure: c.placementFailure(ctx, err, stopping)}
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
	if ctx.Err() == nil && failed.Server != nil {
		if !failed.Unfit {
			result.Failed, result.Down, result.Suspect = failed.Server, failed.Down, failed.Suspect
		}
		if !failed.unreached() {
			c.avoid = append(c.avoid, failed.Server.ID)
		}
		if failed.Lost {
			c.Quarantine.Lost(failed.Server, c.content, Progress{Prefill: failed.Server == place.Prefill, Flowed: c.flowed()})
		}
	}
	c.Scheduler.Done(place, result)
	if failed.unreached() {
		c.unreached++
	}
	if failed.Run != backend.RunNever {
		c.mayHaveRun = true
	}
	return c.afterFailure(ctx, failed)
}

// reasonAnswered marks a failed attempt whose error answer was passed on to the
// client.
const reasonAnswered = "answered"

// reasonClientLeft is the reason of a request whose client closed its connection.
const reasonClientLeft = "client_left"

// placementFailure converts an error of Scheduler.Place to the failure of the
// call. stopping is set if the process stops and places no requests any more.
func (c *call) placementFailure(ctx context.Context, err error, stopping bool) *Failure {
	if ctx.Err() != nil {
		return c.contextFailure(ctx)
	}
	if stopping {
		return stoppingFailure(c.runState())
	}
	out := Failure{Reason: "not_placed"}
	var refusal *Failure
	if errors.As(err, &refusal) {
		out = *refusal
	}
	out.Run = c.runState()
	return &out
}

// runState says whether the request may have run, given its failed attempts.
func (c *call) runState() backend.Run {
	if c.mayHaveRun {
		return backend.RunUnknown
	}
	return backend.RunNever
}

// contextFailure returns the failure of a call whose client closed its
// connection, whose deadline passed, or that the process gives up because it stops.
func (c *call) contextFailure(ctx context.Context) *Failure {
	if errors.Is(context.Cause(ctx), errStopping) {
		return stoppingFailure(c.runState())
	}
	f := &Failure{Run: c.runState(), Reason: reasonClientLeft}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason, f.TimedOut = "deadline", true
	}
	return f
}

// afterFailure decides whether another attempt follows a failed one.
func (c *call) afterFailure(ctx context.Context, failed *AttemptError) outcome {
	switch {
	case ctx.Err() != nil:
		f := c.contextFailure(ctx)
		f.Cause = failed
		return outcome{failure: f}
	case failed.Reason == reasonBudget:
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: budgetRetryAfter, Cause: failed}}
	case failed.Reason == reasonQuarantined:
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: failed.RetryAfter, Cause: failed}}
	case c.unreached >= maxUnreached:
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: unreachedRetryAfter, Cause: failed}}
	case !c.mayRetry(failed.Run):
		return outcome{failure: &Failure{Run: c.runState(), Reason: failed.Reason, RetryAfter: failedRetryAfter, Cause: failed}}
	}
	c.logRetried(failed)
	return outcome{}
}

// reasonQuarantined is the reason of a request whose content crashes servers.
const reasonQuarantined = "quarantined"

// quarantined returns the error of a request that must not be sent to a server
// because of its content, or nil.
func (c *call) quarantined() *AttemptError {
	left, what := c.Quarantine.Left(c.content)
	if left <= 0 {
		return nil
	}
	return &AttemptError{Run: backend.RunNever, Reason: reasonQuarantined, RetryAfter: left, Err: eris.Errorf("%s crashes servers", what)}
}

const (
	// reasonBudget is the reason if the retry budget allows no further attempt.
	reasonBudget = "retry_budget"
	// budgetRetryAfter is the Retry-After value if the retry budget is used up. The
	// budget is a sliding window, which under load allows another attempt within a
	// fraction of a second.
	budgetRetryAfter = 300 * time.Millisecond
	// maxUnreached is the number of attempts without a path to their server after which the
	// request is refused: this daemon and those that it may ask reach no servers.
	maxUnreached = 3
	// unreachedRetryAfter is the Retry-After value of such a request. Other daemons may
	// reach the servers.
	unreachedRetryAfter = 200 * time.Millisecond
	// failedRetryAfter is the Retry-After value of a request that failed and may
	// not be attempted again.
	failedRetryAfter = 100 * time.Millisecond
)

// mayRetry reports whether the route allows another attempt after a failed one
// with the given run state.
func (c *call) mayRetry(run backend.Run) bool {
	route := c.request.Route
	if c.sent >= route.MaxAttempts {
		return false
	}
	if c.started {
		return route.Resumable && !c.sequence.unnumbered
	}
	return run == backend.RunNever || route.Repeatable()
}

// flowed returns the time since the first event of the current attempt.
func (c *call) flowed() time.Duration {
	if c.attemptBegan.IsZero() {
		return 0
	}
	return time.Since(c.attemptBegan)
}

// run sends the request to the placement's servers and relays the answer.
func (c *call) run(ctx context.Context, place *Placement) *AttemptError {
	c.attemptBegan = time.Time{}
	c.sequence.begin(c.Steps.of(c.request.Service.Name, place.Server.SoftwareVersion))
	if failed := c.quarantined(); failed != nil {
		return failed
	}
	if failed := c.checkVersion(ctx, place); failed != nil {
		return failed
	}
	options := RunOptions{After: c.lastEventID, Fetch: place.Fetch}
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
	if c.request.Route.Kind == catalog.KindStreaming && reply.Status() == http.StatusOK && isEventStream(reply.Header()) {
		failed = c.relayStream(place, reply)
	} else {
		failed = c.relayWhole(place, reply)
	}
	if failed != nil {
		failed.Server = place.Server
	}
	return failed
}

// send starts the run on the placement's server.
func (c *call) send(ctx context.Context, place *Placement, options RunOptions) (Reply, *AttemptError) {
	if failed := c.quarantined(); failed != nil {
		return nil, failed
	}
	if !c.Scheduler.Usable(place.Server) {
		return nil, &AttemptError{Run: backend.RunNever, Reason: "server_left", Server: place.Server}
	}
	if c.runs > 0 && !c.Budget.Take(c.request.Service.Name) {
		return nil, &AttemptError{Run: backend.RunNever, Reason: reasonBudget}
	}
	options.Left, options.Again = time.Until(c.request.Deadline), c.contact(place.Server)
	reply, failed := c.Backends.Run(ctx, place.Server, c.request, options)
	if failed != nil && !failed.Sent {
		failed.Server = place.Server
		return nil, failed
	}
	c.sent++
	c.runs++
	if failed != nil {
		failed.Server = place.Server
		return nil, failed
	}
	return reply, nil
}

// contact records that the request is sent to a server, and reports whether it was sent to
// the same address before.
func (c *call) contact(server *registry.Server) bool {
	if slices.Contains(c.contacted, server.Addr) {
		return true
	}
	c.contacted = append(c.contacted, server.Addr)
	return false
}

// prefill runs the prefill on the placement's prefill engine. Only a failed
// prefill that was sent counts as an attempt and is charged to the retry
// budget.
func (c *call) prefill(ctx context.Context, place *Placement) (Handle, *AttemptError) {
	begin := time.Now()
	handle, failed := c.Backends.Prefill(ctx, place.Prefill, c.request, RunOptions{Fetch: place.Fetch, Left: time.Until(c.request.Deadline), Again: c.contact(place.Prefill)})
	took := time.Since(begin)
	c.times.prefill += took
	if failed == nil {
		prefillSeconds.Update(took.Seconds())
		c.prefilled = true
		c.Scheduler.Prefilled(place)
		return handle, nil
	}
	// A prefill is not a run of the request.
	failed.Run = backend.RunNever
	failed.Reason = "prefill_" + failed.Reason
	failed.Server = place.Prefill
	if failed.Sent {
		c.sent++
		c.Budget.Charge(c.request.Service.Name)
	}
	return Handle{}, failed
}

// relayStream passes a stream on to the client event by event.
func (c *call) relayStream(place *Placement, reply Reply) *AttemptError {
	for {
		ev, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return c.finishStream(place, reply.Status())
		}
		if err != nil {
			return replyError(err)
		}
		c.markBegun(place)
		events, ok := c.sequence.accept(c.lastEventID, ev)
		if !ok {
			return notResumed(ev.ID, c.lastEventID)
		}
		for _, ev := range events {
			if err := c.passOn(place, reply, ev); err != nil {
				return err
			}
		}
	}
}

// notResumed is the error of a continuation that leaves out events or starts anew.
func notResumed(id, last string) *AttemptError {
	return &AttemptError{Run: backend.RunUnknown, Reason: "not_resumed", Sent: true, Err: eris.Errorf("event %q does not follow event %q", id, last)}
}

// passOn passes an event on to the client, and starts its answer before the first one.
func (c *call) passOn(place *Placement, reply Reply, ev Event) *AttemptError {
	if c.attemptBegan.IsZero() {
		c.attemptBegan = time.Now()
	}
	if !c.started {
		c.started = true
		c.markFirstByte()
		c.bindVersion(place)
		c.countTakeUp(takeUpWentOn)
		if err := c.answer.Start(reply.Status(), reply.Header()); err != nil {
			return clientWriteError(err)
		}
	}
	if err := c.answer.Event(ev.Data); err != nil {
		return clientWriteError(err)
	}
	c.times.event(time.Now())
	if ev.ID != "" {
		c.lastEventID = ev.ID
	}
	return nil
}

// markBegun records, once per request, that a backend server began to answer.
func (c *call) markBegun(place *Placement) {
	if c.began {
		return
	}
	c.began = true
	c.Usage.RequestStarted(c.request.Customer)
	c.Scheduler.Started(place)
}

// finishStream completes a stream. An attempt without events is a failure, also for a
// stream that was begun: nothing shows that its last event has been sent.
func (c *call) finishStream(place *Placement, status int) *AttemptError {
	if c.sequence.undecided() {
		return notResumed(c.sequence.held[0].ID, c.lastEventID)
	}
	if !c.sequence.delivered {
		return &AttemptError{Run: backend.RunUnknown, Reason: "empty_stream", Sent: true, Lost: true}
	}
	if err := c.answer.Finish(); err != nil {
		return clientWriteError(err)
	}
	c.Quarantine.Served(c.content)
	c.logServed(place, status)
	return nil
}

// replyError converts an error while reading an answer.
func replyError(err error) *AttemptError {
	out := &AttemptError{Run: backend.RunUnknown, Reason: backend.FailureBroken.String(), Sent: true, Err: err}
	var failed *backend.CallError
	if errors.As(err, &failed) {
		out.Reason, out.Suspect, out.Lost = failed.Failure.String(), failed.Down(), failed.Down()
		out.NoPath = failed.Failure == backend.FailurePath
		out.Unfit = out.NoPath
	}
	return out
}

// clientWriteError converts an error while writing to the client.
func clientWriteError(err error) *AttemptError {
	return &AttemptError{Run: backend.RunUnknown, Reason: "client_write", Sent: true, Err: err}
}

// relayWhole reads the whole answer before it sends any of it to the client, so
// that the request can be attempted again if the answer is incomplete. A 5xx
// answer is passed on unless another attempt follows.
func (c *call) relayWhole(place *Placement, reply Reply) *AttemptError {
	body, err := reply.Body()
	if err != nil {
		return replyError(err)
	}
	c.markBegun(place)
	failed := reply.Status() >= http.StatusInternalServerError
	if failed && c.mayRetry(backend.RunDone) && c.Budget.Has(c.request.Service.Name) {
		return &AttemptError{Run: backend.RunUnknown, Reason: "server_error", Sent: true}
	}
	if c.started {
		// The client has the start of a stream, which this answer doesn't continue.
		return &AttemptError{Run: backend.RunUnknown, Reason: "not_resumed", Sent: true}
	}
	c.markFirstByte()
	if err := c.answer.Whole(reply.Status(), reply.Header(), body); err != nil {
		return clientWriteError(err)
	}
	c.logServed(place, reply.Status())
	if failed {
		return &AttemptError{Run: backend.RunDone, Reason: reasonAnswered, Sent: true}
	}
	c.Quarantine.Served(c.content)
	return nil
}
