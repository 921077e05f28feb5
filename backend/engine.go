package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// OrderWriteLimit bounds the time from the start of the check before the write
	// to the end of the write of an order.
	OrderWriteLimit = 500 * time.Millisecond
	// drainTimeout is the longest time without a byte while a finished stream
	// reads the rest of its body; a connection is reused only if its body was read
	// to the end.
	drainTimeout = 50 * time.Millisecond
	maxReplyBody = 4 << 20
)

// Engines is a client for engines, which it addresses by base URL. It is safe for
// concurrent use.
type Engines struct{ transport *transport }

// NewEngines returns a client. If dial is nil, it dials TCP.
func NewEngines(dial DialFunc) *Engines {
	return &Engines{transport: newTransport(dial, idleConnTimeout)}
}

// StreamRequest is one attempt to run a model request on an engine.
type StreamRequest struct {
	// ID is unique per attempt, so that canceling one attempt can't end a later one
	// on the same engine.
	ID       string
	Path     string
	Customer string
	Priority string
	// ResumeFrom is the position of the first token that is still needed.
	ResumeFrom int
	// Deadline is the time left until the first token is due; 0 means no deadline.
	Deadline time.Duration
	Body     []byte
	// Check runs after the connection is established and immediately before the
	// first byte is written; if it fails, nothing is sent. It may be nil.
	Check func() error
}

// Stream is an open streamed response of an engine. One goroutine reads it with
// Next and ends it with Finish or Close.
type Stream struct {
	exchange *exchange
	body     io.ReadCloser
	cancel   context.CancelFunc
	events   *EventReader
	ctx      context.Context
	set      *connSet
}

// Open sends the request and returns the streamed response. A gap of more than
// ReadTimeout between two bytes from the engine fails the call or the stream.
func (e *Engines) Open(ctx context.Context, baseURL string, r StreamRequest) (*Stream, *CallError) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &CallError{Failure: FailureConnect, Err: err}
	}
	r.setHeaders(req.Header)
	x := &exchange{readTimeout: ReadTimeout, check: r.Check}
	resp, cancel, callErr := e.transport.roundTrip(req, x)
	if callErr != nil {
		return nil, callErr
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(resp)
	}
	return &Stream{
		exchange: x,
		body:     resp.Body,
		cancel:   cancel,
		events:   NewEventReader(resp.Body),
		ctx:      ctx,
		set:      e.transport.set,
	}, nil
}

func (r *StreamRequest) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set("User-Agent", userAgent)
	h.Set(HeaderRequestID, r.ID)
	setIfNotEmpty(h, HeaderPriority, r.Priority)
	setIfNotEmpty(h, HeaderCustomer, r.Customer)
	if r.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(r.ResumeFrom))
	}
	if r.Deadline > 0 {
		h.Set(HeaderDeadlineMs, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Next returns the next chunk. It returns ErrBadFrame for a chunk that can't be
// decoded, after which Next may be called again. Any other error is a *CallError
// and ends the stream.
func (s *Stream) Next() (*Chunk, error) {
	data, err := s.events.Next()
	if err == nil {
		return DecodeChunk(data)
	}
	s.exchange.abort()
	failure := FailureMalformed
	if !errors.Is(err, ErrEventTooLong) {
		failure = s.exchange.classify(s.ctx, err)
	}
	if failure == FailureReadTimeout {
		s.set.closeIdle(s.exchange)
	}
	return nil, &CallError{Failure: failure, Written: true, Err: err}
}

// Interrupt ends the stream from another goroutine: a Next in progress fails. The
// reader must still call Close.
func (s *Stream) Interrupt() { s.cancel() }

// Finish closes a stream whose end marker was read, and keeps the connection
// for reuse if the body ends promptly.
func (s *Stream) Finish() {
	s.exchange.setReadTimeout(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.body, maxErrorBody)
	s.Close()
}

// Close ends the stream. It closes the connection unless the body was read to its
// end.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.cancel()
}

// Cancel asks the engine to stop a request.
func (e *Engines) Cancel(ctx context.Context, baseURL, id string) error {
	return e.call(ctx, http.MethodDelete, baseURL+"/v1/requests/"+url.PathEscape(id), nil, nil)
}

// Load returns the load report of the engine.
func (e *Engines) Load(ctx context.Context, baseURL string) (Load, error) {
	var load Load
	err := e.call(ctx, http.MethodGet, baseURL+"/v1/load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events that start at the sequence number from.
func (e *Engines) CacheEvents(ctx context.Context, baseURL string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	target := baseURL + "/v1/cache-events?from=" + strconv.FormatUint(from, 10)
	err := e.call(ctx, http.MethodGet, target, nil, &events)
	return events, err
}

// ExportKV asks the engine to make KV blocks available for import.
func (e *Engines) ExportKV(ctx context.Context, baseURL string, blocks KVBlocks) error {
	return e.call(ctx, http.MethodPost, baseURL+"/v1/kv/export", blocks, nil)
}

// ImportKV asks the engine to import KV blocks from blocks.Source.
func (e *Engines) ImportKV(ctx context.Context, baseURL string, blocks KVBlocks) error {
	return e.call(ctx, http.MethodPost, baseURL+"/v1/kv/import", blocks, nil)
}

// call makes one JSON call and decodes the response into answer unless it is nil.
// The error is a *CallError.
func (e *Engines) call(ctx context.Context, method, target string, body, answer any) error {
	_, err := e.send(ctx, method, target, body, answer, &exchange{readTimeout: ReadTimeout})
	if err != nil {
		return err
	}
	return nil
}

// send makes one JSON call and returns the HTTP status. It decodes the response
// into answer also for status 409 (conflict); other statuses from 300 are errors.
func (e *Engines) send(ctx context.Context, method, target string, body, answer any, x *exchange) (int, *CallError) {
	req, err := jsonRequest(ctx, method, target, body)
	if err != nil {
		return 0, &CallError{Failure: FailureConnect, Err: err}
	}
	resp, cancel, callErr := e.transport.roundTrip(req, x)
	if callErr != nil {
		return 0, callErr
	}
	defer cancel()
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, statusError(resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBody))
	if err != nil {
		x.abort()
		return resp.StatusCode, &CallError{Failure: x.classify(ctx, err), Written: true, Err: err}
	}
	if answer == nil {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return resp.StatusCode, &CallError{Failure: FailureMalformed, Written: true, Err: err}
	}
	return resp.StatusCode, nil
}

func jsonRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", userAgent)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Close closes the idle pooled connections. Calls in progress continue.
func (e *Engines) Close() { e.transport.close() }
