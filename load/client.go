package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
	"github.com/mimosakeel/mimosakeel/standin/app"
)

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes.
const (
	// OutcomeWhole is a complete answer with the content expected for the request.
	OutcomeWhole Outcome = "whole"
	// OutcomeCut is an answer that is truncated or can't be parsed.
	OutcomeCut Outcome = "cut"
	// OutcomeWrong is a complete answer with other content than expected.
	OutcomeWrong Outcome = "wrong"
	// OutcomeRefused is an answer with an error status.
	OutcomeRefused Outcome = "refused"
	// OutcomeError is a failure without an answer, such as a refused connection.
	OutcomeError Outcome = "error"
	// OutcomeLeftWaiting is a request that its client canceled because the
	// first token didn't arrive in time.
	OutcomeLeftWaiting Outcome = "left_waiting"
	// OutcomeLeftReading is a request that its client canceled during the
	// answer, as planned by Arrival.LeaveAfter.
	OutcomeLeftReading Outcome = "left_reading"
	// OutcomeNotSent is a request that the generator dropped because too many
	// requests were open.
	OutcomeNotSent Outcome = "not_sent"
)

// Result is the result of one request as its client saw it. Times are measured
// from the planned arrival, except for Decision and Gaps.
type Result struct {
	Arrival Arrival
	Outcome Outcome
	// Lag is the time to the sending of the request.
	Lag time.Duration
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Total is the time to the end.
	Total time.Duration
	// Gaps are the times between consecutive tokens; 0 within a chunk.
	Gaps []time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Status, Code and Run describe a refusal: its HTTP status, its error code
	// and whether the request was run. An error event in a stream also sets Code
	// and Run.
	Status    int
	Code, Run string
	// Decision is the time from sending the request to its refusal.
	Decision time.Duration
	// Problem describes what was wrong; empty if nothing was.
	Problem string
}

// Request headers of the gateway, and limits of a client.
const (
	headerPriority       = "Mimosakeel-Priority"
	headerDeadlineMs     = "Mimosakeel-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	maxErrorBytes        = 64 << 10
	maxServiceBytes      = 1 << 20
	maxUnstreamedBytes   = 16 << 20
	// unstreamedIdleFactor multiplies the idle timeout of unstreamed answers,
	// because no data is sent while they are generated.
	unstreamedIdleFactor = 4
	// requestTimeout bounds the total time of a request.
	requestTimeout = 10 * time.Minute
)

// client sends the requests of a workload.
type client struct {
	base     string
	http     *http.Client
	workload Workload
	start    time.Time
	// run is the part of request IDs and idempotency keys that differs between
	// runs.
	run string
	// idleTimeout is the time without any data after which a request is
	// canceled.
	idleTimeout time.Duration
}

// errIdleTimeout is the cause of a request that was canceled at its idle
// timeout.
var errIdleTimeout = errors.New("no data within the silence limit")

// do sends one request and checks its answer.
func (c *client) do(ctx context.Context, arrival Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	result := Result{Arrival: arrival}
	planned := c.start.Add(arrival.At)
	request, want, err := c.buildRequest(ctx, arrival)
	if err != nil {
		result.Outcome, result.Problem = OutcomeError, err.Error()
		return result
	}
	patienceTimer := c.startPatienceTimer(arrival, planned, cancel)
	limit := c.idleTimeout
	if arrival.Unstreamed {
		limit *= unstreamedIdleFactor
	}
	idleTimer := time.AfterFunc(limit, func() { cancelCause(errIdleTimeout) })
	defer idleTimer.Stop()
	sent := time.Now()
	result.Lag = sent.Sub(planned)
	response, err := c.http.Do(request)
	if err != nil {
		result.Total = time.Since(planned)
		result.Outcome, result.Problem = failureOutcome(ctx, patienceTimer, err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		stopTimer(patienceTimer)
		result.recordRefusal(response, time.Since(sent))
		result.Total = time.Since(planned)
		return result
	}
	if want == nil {
		c.readService(response.Body, request, &result)
		result.Total = time.Since(planned)
		return result
	}
	if arrival.Unstreamed {
		readUnstreamed(response.Body, want, &result)
		result.Total = time.Since(planned)
		return result
	}
	reader := &streamReader{
		want:          *want,
		planned:       planned,
		result:        &result,
		patienceTimer: patienceTimer,
		cancel:        cancel,
		onLine:        func() { idleTimer.Reset(c.idleTimeout) },
	}
	reader.read(ctx, response.Body)
	result.Total = time.Since(planned)
	return result
}

// startPatienceTimer starts a timer that cancels a request when the client's
// patience ends. It returns nil for a client without such a limit.
func (c *client) startPatienceTimer(arrival Arrival, planned time.Time, cancel func()) *time.Timer {
	if arrival.Patience <= 0 {
		return nil
	}
	return time.AfterFunc(time.Until(planned.Add(arrival.Patience)), cancel)
}

// stopTimer stops a timer and reports whether it had not fired. It returns true
// for nil.
func stopTimer(timer *time.Timer) bool { return timer == nil || timer.Stop() }

func failureOutcome(ctx context.Context, patienceTimer *time.Timer, err error) (Outcome, string) {
	if cause := context.Cause(ctx); errors.Is(cause, errIdleTimeout) {
		return OutcomeError, cause.Error()
	}
	if !stopTimer(patienceTimer) && errors.Is(ctx.Err(), context.Canceled) {
		return OutcomeLeftWaiting, ""
	}
	return OutcomeError, errorText(err)
}

// errorText returns the text of an error, without addresses for common network
// errors, so that equal problems are counted together.
func errorText(err error) string {
	for _, known := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.ErrUnexpectedEOF, io.EOF, context.DeadlineExceeded} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return err.Error()
}

// buildRequest returns the HTTP request and, for model requests, the body that
// it carries.
func (c *client) buildRequest(ctx context.Context, arrival Arrival) (*http.Request, *backend.CompletionRequest, error) {
	id := fmt.Sprintf("load-%s-%d", c.run, arrival.Number)
	method, path := http.MethodPost, "/v1/chat/completions"
	var body []byte
	var want *backend.CompletionRequest
	switch arrival.Kind {
	case KindLookup:
		method, path = http.MethodGet, "/services/"+c.workload.Service+"/status/"+id
	case KindStamp:
		path = "/services/" + c.workload.Service + "/stamps"
		body = []byte(`{"item":"` + id + `"}`)
	default:
		want = c.workload.Request(arrival)
		data, err := json.Marshal(want)
		if err != nil {
			return nil, nil, err
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(backend.HeaderRequestID, id)
	if key := c.workload.Customers[arrival.Customer].Key; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	switch arrival.Kind {
	case KindStamp:
		request.Header.Set(headerIdempotencyKey, id)
		// Without GetBody the transport can't repeat the request on its own.
		request.GetBody = nil
	case KindInteractive, KindBatch:
		request.Header.Set(headerPriority, string(arrival.Kind))
	}
	if arrival.Kind == KindInteractive && c.workload.Deadline > 0 {
		request.Header.Set(headerDeadlineMs, strconv.FormatInt(c.workload.Deadline.Milliseconds(), 10))
	}
	return request, want, nil
}

// errorBody is the body of a refusal by the gateway.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (r *Result) recordRefusal(response *http.Response, decision time.Duration) {
	r.Outcome, r.Status, r.Decision = OutcomeRefused, response.StatusCode, decision
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body errorBody
	if json.Unmarshal(data, &body) != nil {
		r.Problem = "refusal without error body"
		return
	}
	r.Code, r.Run = body.Error.Code, body.Error.Run
}

// readUnstreamed checks an answer that arrives as one JSON body. Its result has
// no token times.
func readUnstreamed(body io.Reader, want *backend.CompletionRequest, result *Result) {
	data, err := io.ReadAll(io.LimitReader(body, maxUnstreamedBytes))
	var got backend.Completion
	if err == nil {
		err = json.Unmarshal(data, &got)
	}
	if err != nil || len(got.Choices) == 0 || got.Choices[0].Message == nil {
		result.Outcome, result.Problem = OutcomeCut, "answer is not a completion"
		return
	}
	text := got.Choices[0].Message.Content
	result.Tokens = len(text) / answer.TokenBytes
	if err := answer.For(want).Check(text); err != nil {
		result.Outcome, result.Problem = OutcomeWrong, err.Error()
		return
	}
	result.Outcome = OutcomeWhole
}

// readService checks the answer of a plain service.
func (c *client) readService(body io.Reader, request *http.Request, result *Result) {
	data, err := io.ReadAll(io.LimitReader(body, maxServiceBytes))
	var got app.Answer
	if err == nil {
		err = json.Unmarshal(data, &got)
	}
	if err != nil {
		result.Outcome, result.Problem = OutcomeCut, errorText(err)
		return
	}
	id := request.Header.Get(backend.HeaderRequestID)
	path, sent := "/status/"+id, ""
	if result.Arrival.Kind == KindStamp {
		path, sent = "/stamps", `{"item":"`+id+`"}`
	}
	if got.Digest != app.Digest(request.Method, path, []byte(sent)) {
		result.Outcome, result.Problem = OutcomeWrong, "answer belongs to another call"
		return
	}
	result.Outcome = OutcomeWhole
}
