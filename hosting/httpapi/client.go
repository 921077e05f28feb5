// Package httpapi implements the interfaces Log, Servers, Usage and VMs of package
// hosting over the platform's HTTP/1.1 JSON protocol.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/httpstrict"
	"github.com/rotisserie/eris"
)

const (
	// callTimeout limits a call whose context has no earlier deadline. Reads
	// that wait for records get it on top of the wait.
	callTimeout = 5 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes limits the answers that carry no log records.
	maxAnswerBytes = 4 << 20
	// maxPageBytes limits a page of log records, which base64 enlarges by a third.
	maxPageBytes = 16 << 20
	// maxErrorBytes limits the part of an error answer that is read.
	maxErrorBytes = 4 << 10
)

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// traced is true if the transport reports through httptrace when it has a
	// connection. With another transport, a failed request may have been sent.
	traced bool
}

var (
	_ hosting.Log     = (*Client)(nil)
	_ hosting.Servers = serversClient{}
	_ hosting.Usage   = (*Client)(nil)
	_ hosting.VMs     = vmsClient{}
)

// New returns a client for the platform at baseURL. If client is nil, it
// uses its own connection pool and no proxy. Redirects are never followed.
func New(baseURL string, client *http.Client) *Client {
	own := http.Client{}
	if client != nil {
		own = *client
	} else {
		own.Transport = newTransport()
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	if own.Transport == nil {
		own.Transport = httpstrict.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	}
	return &Client{base: strings.TrimRight(baseURL, "/"), http: &own, traced: reportsConnections(own.Transport)}
}

// reportsConnections reports whether a transport reports its connections through httptrace.
func reportsConnections(t http.RoundTripper) bool {
	switch t.(type) {
	case *http.Transport, *httpstrict.Transport:
		return true
	}
	return false
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return httpstrict.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	// Call is the method and path of the request.
	Call   string
	Status int
	// Code is the "error" field of the answer, if any.
	Code string
	// RetryAfter is the value of the Retry-After header; 0 if there is none.
	RetryAfter time.Duration
}

func (e *StatusError) Error() string {
	text := e.Call + ": status " + http.StatusText(e.Status)
	if e.Code != "" {
		text += ": " + e.Code
	}
	return text
}

// errorAnswer is the body of a refusal.
type errorAnswer struct {
	Error string `json:"error"`
	Fence *int64 `json:"fence"`
	First *int64 `json:"first"`
}

// call is one HTTP call to the platform. A limit or timeout of 0 selects the
// default.
type call struct {
	method, path string
	body         []byte
	contentType  string
	limit        int64
	timeout      time.Duration
}

// answer is the result of a call that got a response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do runs one call. sent is true if part of the request may have reached the
// platform: the transport had a connection, or does not report that.
func (c *Client) do(ctx context.Context, call call) (ans answer, sent bool, err error) {
	timeout := call.timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, false, eris.Wrapf(err, "%s %s", call.method, call.path)
	}
	if call.contentType != "" {
		request.Header.Set("Content-Type", call.contentType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, connected.Load() || !c.traced, eris.Wrapf(err, "%s %s", call.method, call.path)
	}
	defer func() { _ = response.Body.Close() }()
	ans = answer{status: response.StatusCode, header: response.Header}
	ans.body, err = readBounded(response, call.limit)
	if err != nil {
		return ans, true, eris.Wrapf(err, "%s %s", call.method, call.path)
	}
	return ans, true, nil
}

// readBounded reads the body of a response. The body of an error response is
// truncated to maxErrorBytes; that of a success must not exceed the limit.
func readBounded(response *http.Response, limit int64) ([]byte, error) {
	if response.StatusCode/100 != 2 {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return body, nil
	}
	if limit == 0 {
		limit = maxAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	if int64(len(body)) > limit {
		return nil, eris.Errorf("answer exceeds %d bytes", limit)
	}
	return body, nil
}

// mutate runs a call that changes the platform's state and decodes the response.
// The outcome is OutcomeRefused only if no byte was sent or the platform answered
// with a 4xx status.
func (c *Client) mutate(ctx context.Context, call call, into any) (hosting.Outcome, error) {
	ans, sent, err := c.do(ctx, call)
	if ans.status/100 == 4 {
		return hosting.OutcomeRefused, statusError(call, ans)
	}
	if err != nil {
		if !sent {
			return hosting.OutcomeRefused, err
		}
		return hosting.OutcomeUnknown, err
	}
	if ans.status/100 != 2 {
		return hosting.OutcomeUnknown, statusError(call, ans)
	}
	if err := decode(call, ans.body, into); err != nil {
		return hosting.OutcomeUnknown, err
	}
	return hosting.OutcomeDone, nil
}

// query runs a read-only call and decodes the response.
func (c *Client) query(ctx context.Context, call call, into any) error {
	ans, _, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if ans.status/100 != 2 {
		return statusError(call, ans)
	}
	return decode(call, ans.body, into)
}

func decode(call call, body []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrapf(err, "%s %s: malformed answer", call.method, call.path)
	}
	return nil
}

func statusError(call call, ans answer) error {
	var body errorAnswer
	_ = json.Unmarshal(ans.body, &body)
	if ans.status == http.StatusConflict && body.Error == "stale_fence" && body.Fence != nil {
		return &hosting.StaleFenceError{Fence: *body.Fence}
	}
	failure := &StatusError{
		Call:   call.method + " " + call.path,
		Status: ans.status,
		Code:   body.Error,
	}
	if seconds, err := time.ParseDuration(ans.header.Get("Retry-After") + "s"); err == nil {
		failure.RetryAfter = seconds
	}
	return failure
}
