// Package enginetest provides a minimal engine for tests and benchmarks of the
// request path. The engine uses the wire format of package backend and can
// inject faults.
package enginetest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Engine is an http.Handler that answers completion requests with a fixed stream
// of tokens. Its fields must be set before it serves requests.
type Engine struct {
	// Tokens is the number of tokens of every answer; token i is "t<i> ".
	Tokens int
	// Delay is the time before each token and before the final frame.
	Delay time.Duration
	// RewriteFrames, if set, returns the frames to write instead of frame i. i is
	// the position of the frame's token, or Tokens for the final frame. If
	// keepOpen is false, the connection is closed after these frames.
	RewriteFrames func(r *http.Request, i int, frame string) (frames []string, keepOpen bool)
	// HangAt is the position of the token before which the engine stops sending,
	// heartbeats included; 0 or less means never.
	HangAt int
	// Status, if not 0, is the HTTP status of the error that answers every
	// request except cancel calls.
	Status int

	mu       sync.Mutex
	requests []ReceivedRequest
	canceled []string
}

// ReceivedRequest is a request that the engine received. ResumeFrom is the token
// position from which the answer resumes; 0 means from the start.
type ReceivedRequest struct {
	ID         string
	ResumeFrom int
	Header     http.Header
	Body       map[string]any
}

// Requests returns the requests received so far, without cancel calls.
func (e *Engine) Requests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.requests...)
}

// Canceled returns the request IDs of the cancel calls received so far.
func (e *Engine) Canceled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.canceled...)
}

// ServeHTTP implements http.Handler. DELETE requests are cancel calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.mu.Lock()
		e.canceled = append(e.canceled, r.URL.Path[len("/v1/requests/"):])
		e.mu.Unlock()
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(backend.HeaderResumeFrom))
	received := ReceivedRequest{ID: r.Header.Get(backend.HeaderRequestID), ResumeFrom: from, Header: r.Header.Clone()}
	_ = json.NewDecoder(r.Body).Decode(&received.Body)
	e.mu.Lock()
	e.requests = append(e.requests, received)
	e.mu.Unlock()
	if e.Status != 0 {
		w.WriteHeader(e.Status)
		_, _ = w.Write([]byte(`{"error":{"message":"no"}}`))
		return
	}
	e.stream(w, r, received)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, received ReceivedRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { _ = http.NewResponseController(w).Flush() }
	_, _ = w.Write([]byte(": hb\n\n"))
	flush()
	for i := received.ResumeFrom; i <= e.Tokens; i++ {
		if e.HangAt > 0 && i == e.HangAt {
			<-r.Context().Done()
			return
		}
		if !e.wait(w, r.Context(), flush) {
			return
		}
		frames, keepOpen := []string{e.Frame(received.ID, i, r.URL.Path)}, true
		if e.RewriteFrames != nil {
			frames, keepOpen = e.RewriteFrames(r, i, frames[0])
		}
		for _, frame := range frames {
			_, _ = w.Write([]byte("data: " + frame + "\n\n"))
		}
		flush()
		if !keepOpen {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// wait waits for the delay before a token and sends a heartbeat each second. It
// returns false if the request was canceled.
func (e *Engine) wait(w http.ResponseWriter, ctx context.Context, flush func()) bool {
	for left := e.Delay; left > 0; left -= time.Second {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(left, time.Second)):
		}
		_, _ = w.Write([]byte(": hb\n\n"))
		flush()
	}
	return ctx.Err() == nil
}

// Frame returns the JSON frame of token i, or the final frame if i is Tokens. id
// is the request ID, and path selects the chat or the text completion format.
func (e *Engine) Frame(id string, i int, path string) string {
	content := fmt.Sprintf(`"delta":{"role":"assistant","content":"t%d "}`, i)
	if path == "/v1/completions" {
		content = fmt.Sprintf(`"text":"t%d "`, i)
	}
	if i == e.Tokens {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":7,"model":"m","position":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":%d,"total_tokens":%d}}`, id, i, i, i+5)
	}
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":7,"model":"m","engine_slot":3,"position":%d,"tokens":1,"choices":[{"index":0,%s,"finish_reason":null}]}`, id, i, content)
}

// Text returns the text of tokens 0 to n-1.
func Text(n int) string {
	text := ""
	for i := range n {
		text += fmt.Sprintf("t%d ", i)
	}
	return text
}

// PipeListener is a net.Listener for in-process connections (net.Pipe). Unlike
// sockets, they work with the virtual time of testing/synctest.
type PipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

// Dial returns the client side of a new connection.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "127.0.0.1:0" }
