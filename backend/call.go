package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is short, so that a pooled connection that stopped
	// delivering data while idle is rarely reused.
	idleConnTimeout = 10 * time.Second
	maxIdlePerHost  = 256
	connBufferBytes = 4 << 10
	// maxHeaderBytes bounds the header lines of a response.
	maxHeaderBytes = 64 << 10
	// ReadTimeout is the longest time without a byte from an engine. Engines send
	// a heartbeat every second.
	ReadTimeout = 3 * time.Second
)

// Failure is the kind of failure of a call.
type Failure int

// The failures of a call.
const (
	// FailureConnect means that no connection could be opened.
	FailureConnect Failure = iota
	// FailureBroken means that the connection failed or was closed early.
	FailureBroken
	// FailureReadTimeout means that no byte arrived within the read timeout.
	FailureReadTimeout
	// FailureStatus means that the backend returned an HTTP error status.
	FailureStatus
	// FailureMalformed means that the response was not in the expected format.
	FailureMalformed
	// FailureCanceled means that the caller's context was canceled or expired.
	FailureCanceled
	// FailureCheck means that the caller's check before the first write failed.
	FailureCheck
	// FailurePath means that the path failed, which says nothing about the server.
	FailurePath
)

// String returns the name of the failure in logs.
func (f Failure) String() string {
	return [...]string{"connect", "broken", "silent", "status", "malformed", "canceled", "guard", "no_path"}[f]
}

// PathError is an error of the path to a server. Connections and functions that open them
// return it if the failure says nothing about the server.
type PathError struct{ Err error }

func (e *PathError) Error() string { return "no path to the server: " + e.Err.Error() }

// Unwrap hides errors of the connection, which readers take for errors of the server.
func (e *PathError) Unwrap() error { return nil }

// CallError describes a failed call to a backend server.
type CallError struct {
	Failure Failure
	// Written reports whether any byte of the request may have reached the
	// backend server. False guarantees that none did.
	Written bool
	// Status is the HTTP status; set only for FailureStatus.
	Status int
	// Message is the start of the error body, at most maxErrorBody bytes; set only
	// for FailureStatus.
	Message string
	Err     error
}

func (e *CallError) Error() string {
	if e.Failure == FailureStatus {
		return fmt.Sprintf("backend answered with status %d", e.Status)
	}
	return fmt.Sprintf("backend call failed (%s, written=%t): %v", e.Failure, e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Down reports whether the failure indicates that the server accepts no work at
// all: it is unreachable, sends nothing, or closed the connection early.
func (e *CallError) Down() bool {
	switch e.Failure {
	case FailureConnect, FailureReadTimeout, FailureBroken:
		return true
	}
	return false
}

// Refused reports whether the HTTP status means that the backend did not run the
// request.
func (e *CallError) Refused() bool {
	if e.Failure != FailureStatus {
		return false
	}
	switch e.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests:
		return true
	}
	return false
}

// roundTrip sends the request at most once. The caller must call the returned
// cancel function when it no longer needs the response body.
func (t *transport) roundTrip(req *http.Request, x *exchange) (*http.Response, context.CancelFunc, *CallError) {
	caller := req.Context()
	ctx, cancel := context.WithCancel(caller)
	x.request, x.cancel = req, cancel
	x.judged = make(chan struct{})
	defer close(x.judged)
	req = req.WithContext(x.trace(ctx))
	client := t.pooled
	if x.fresh {
		client = t.fresh
	}
	resp, err := client.RoundTrip(req)
	for err == nil && x.unwritten() {
		// The response was on the connection before the request.
		x.reject()
		_ = resp.Body.Close()
		if req, err = rewind(req); err == nil {
			resp, err = client.RoundTrip(req)
		}
	}
	if err == nil {
		if x.accept != nil && !x.accept(resp) {
			x.reject()
		}
		return resp, cancel, nil
	}
	written := x.abort()
	cancel()
	failure := x.classify(caller, err)
	if failure == FailureCheck {
		err = x.checkErr
	}
	if failure == FailureReadTimeout {
		t.set.closeIdle(x)
	}
	return nil, nil, &CallError{Failure: failure, Written: written, Err: err}
}

// rewind returns a copy of a request whose body may have been read.
func rewind(req *http.Request) (*http.Request, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return req, nil
	}
	if req.GetBody == nil {
		return nil, errUnsolicited
	}
	body, err := req.GetBody()
	if err != nil {
		return nil, err
	}
	again := *req
	again.Body = body
	return &again, nil
}

// classify returns the kind of failure of an aborted exchange.
func (x *exchange) classify(caller context.Context, err error) Failure {
	var op *net.OpError
	var path *PathError
	switch {
	case x.checkErr != nil:
		return FailureCheck
	case x.timedOut:
		return FailureReadTimeout
	case x.malformed:
		return FailureMalformed
	case caller.Err() != nil:
		return FailureCanceled
	case x.pathLost, errors.As(err, &path):
		return FailurePath
	case errors.As(err, &op) && op.Op == "dial":
		return FailureConnect
	}
	return FailureBroken
}

// checkError wraps an error of the check before the first write.
type checkError struct{ err error }

func (e *checkError) Error() string { return "check before the write: " + e.err.Error() }
func (e *checkError) Unwrap() error { return e.err }

// maxErrorBody is the number of bytes that are read of an error body, and of the
// rest of a finished stream.
const maxErrorBody = 2 << 10

// statusError returns the error for a response with an error status. It reads the
// start of the body and closes it.
func statusError(resp *http.Response) *CallError {
	defer resp.Body.Close()
	start, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &CallError{Failure: FailureStatus, Written: true, Status: resp.StatusCode, Message: string(start)}
}
