package gateway

import (
	"errors"
	"net/http"

	"github.com/mimosakeel/mimosakeel/backend"
)

// progressIntervalTokens is the number of tokens between two progress reports
// to the scheduler.
const progressIntervalTokens = 32

// sink writes the accepted frames of a response to the client.
type sink interface {
	// writeChunk processes one frame. An error means that the client has left.
	writeChunk(q *request, c *backend.Chunk) error
	// finish completes the response.
	finish(q *request) error
}

var errClientLeft = errors.New("client closed the connection")

// relay sends the response to the client. It resumes the stream on another
// engine if it breaks.
func relay(q *request) *Error {
	if q.service != nil {
		return q.relayService()
	}
	m := q.model
	if m.stream {
		m.sink = &streamSink{}
	} else {
		m.sink = &bufferingSink{}
	}
	var held []*backend.Chunk
	for {
		failed, decision := q.relayFrames(&held)
		if failed == nil {
			return q.completeModelResponse(held)
		}
		if err := q.resume(failed, decision); err != nil {
			return err
		}
	}
}

// resume continues a broken stream on another engine after the last delivered
// position.
func (q *request) resume(failed *backend.CallError, d RetryDecision) *Error {
	m := q.model
	m.source.Close()
	q.g.cancelAtEngine(m.grant.URL, m.validator.attemptID)
	q.restartDeadline()
	if err := q.retryWithDecision(d, failed); err != nil {
		return err
	}
	q.g.metrics.resumes.Inc()
	return q.openWithRetries()
}

// relayFrames relays frames until the response is complete or the stream
// breaks. It returns a nil error if the response is complete.
func (q *request) relayFrames(held *[]*backend.Chunk) (*backend.CallError, RetryDecision) {
	m := q.model
	reported := m.validator.nextPosition
	for {
		chunk, err := m.source.Next()
		if err != nil {
			if errors.Is(err, backend.ErrBadFrame) {
				q.g.metrics.countDroppedFrame(dropMalformed)
				continue
			}
			failed := callError(err)
			return failed, Classify(failed, true)
		}
		r := m.validator.validate(chunk)
		switch r.action {
		case forwardFrame:
			if err := q.forwardChunk(chunk); err != nil {
				return clientLeft(err)
			}
		case holdFrame:
			q.meetDeadline()
			*held = append(*held, chunk)
		case dropFrame:
			q.g.metrics.countDroppedFrame(r.dropCause)
		case responseComplete:
			return nil, RetryDecision{}
		case streamBroken:
			failed := &backend.CallError{Failure: backend.FailureMalformed, Written: true}
			return failed, RetryDecision{Reason: r.retryReason, Retry: true, MayHaveRun: true}
		}
		if m.validator.nextPosition-reported >= progressIntervalTokens {
			reported = m.validator.nextPosition
			q.g.Scheduler.Progress(m.grant.Ticket, m.validator.nextPosition-m.attemptStart)
		}
	}
}

// clientLeft returns the failure and decision for a client that can't be
// written to.
func clientLeft(err error) (*backend.CallError, RetryDecision) {
	failed := &backend.CallError{Failure: backend.FailureCanceled, Written: true, Err: err}
	return failed, RetryDecision{Reason: ReasonAbandoned, MayHaveRun: true}
}

// forwardChunk passes an accepted frame to the client. The first token of an
// attempt meets the deadline.
func (q *request) forwardChunk(chunk *backend.Chunk) error {
	if chunk.Tokens > 0 || q.model.validator.nextPosition > q.model.attemptStart {
		q.meetDeadline()
	}
	if err := q.model.sink.writeChunk(q, chunk); err != nil {
		q.cancel(errClientLeft)
		return err
	}
	return nil
}

// completeModelResponse writes the held frames and the end of the response.
func (q *request) completeModelResponse(held []*backend.Chunk) *Error {
	m := q.model
	q.mayHaveRun = true
	for _, chunk := range held {
		if err := m.sink.writeChunk(q, chunk); err != nil {
			break
		}
	}
	err := m.sink.finish(q)
	// Finish may wait for the end of the body to keep the connection, so it
	// comes after the client has its response.
	m.source.Finish()
	q.releaseGrant("")
	if err != nil {
		q.cancel(errClientLeft)
		return q.contextError()
	}
	return nil
}

func setStreamHeaders(h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	h.Set(HeaderRun, string(RunDone))
}
