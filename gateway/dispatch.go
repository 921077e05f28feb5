package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// dispatch sends the request to its backend. It tries other backends as far as
// the failure and the retry budget allow.
func dispatch(q *request) *Error {
	q.g.retryBudget.CountRequest()
	return q.openWithRetries()
}

// openWithRetries returns nil when a backend has begun to respond.
func (q *request) openWithRetries() *Error {
	for {
		if err := q.checkAuthorization(); err != nil {
			return err
		}
		failed := q.attempt()
		if failed == nil {
			return nil
		}
		if err := q.retry(failed); err != nil {
			return err
		}
	}
}

// attempt makes one attempt on the current backend.
func (q *request) attempt() *backend.CallError {
	if q.service != nil {
		return q.callService()
	}
	return q.openStream()
}

func (q *request) openStream() *backend.CallError {
	m := q.model
	now := q.g.Clock.Now()
	if !m.grant.Expires.IsZero() && now.After(m.grant.Expires) {
		return &backend.CallError{Failure: backend.FailureCheck}
	}
	m.attempt++
	m.validator.beginAttempt(attemptID(q.id, m.attempt))
	source, failed := q.g.Engines.Open(q.ctx, m.grant.URL, backend.StreamRequest{
		ID:         m.validator.attemptID,
		Path:       m.path,
		Customer:   q.customer.Name,
		Priority:   string(q.priority),
		ResumeFrom: m.validator.nextPosition,
		Deadline:   max(q.deadline.Sub(now), time.Millisecond),
		Body:       m.body.Upstream,
		Check:      q.checkKey,
	})
	if failed == nil {
		m.source = source
		m.move.setSource(source)
		return nil
	}
	if failed.Written && failed.Failure != backend.FailureStatus {
		q.g.cancelAtEngine(m.grant.URL, m.validator.attemptID)
	}
	return failed
}

// attemptID returns an id that is unique per attempt, so that a late cancel
// call or frame of an earlier attempt doesn't affect a later one.
func attemptID(request string, attempt int) string {
	if attempt == 1 {
		return request
	}
	return request + "-" + strconv.Itoa(attempt)
}

func (q *request) callService() *backend.CallError {
	s := q.service
	response, failed := q.g.Services.Do(q.ctx, s.server.URL, backend.ServiceRequest{
		ID:       q.id,
		Customer: q.customerName(),
		Method:   q.r.Method,
		Path:     s.path,
		RawQuery: q.r.URL.RawQuery,
		Header:   q.r.Header,
		Body:     s.body,

		Idempotent:      s.idempotent,
		BodyReadTimeout: q.firstByteTimeout,
		Check:           q.checkKey,
	})
	if failed != nil {
		return failed
	}
	s.response = response
	return s.bufferResponse()
}

// engineMessage returns the message in an engine's error body.
func engineMessage(body string) string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(body), &parsed) != nil || parsed.Error.Message == "" {
		return "the engine refused the request"
	}
	return parsed.Error.Message
}

func (e *Error) withRun(run Run) *Error {
	e.Run = run
	return e
}
