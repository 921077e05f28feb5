package backend

import (
	"context"
	"net/http"
	"time"
)

// Client sends HTTP requests to backend servers. For a failed request it reports
// whether any byte may have reached the server. It is safe for concurrent use.
type Client struct{ transport *transport }

// NewClient returns a client that closes pooled connections after they were idle
// for the given time. If dial is nil, it dials TCP.
func NewClient(dial DialFunc, idle time.Duration) *Client {
	return &Client{transport: newTransport(dial, idle)}
}

// CallOptions bound one call.
type CallOptions struct {
	// ReadTimeout is the read timeout: the longest time without a byte from the
	// server. ReusedReadTimeout replaces it on a reused connection. 0 means no
	// timeout for ReadTimeout and no replacement for ReusedReadTimeout.
	ReadTimeout       time.Duration
	ReusedReadTimeout time.Duration
	// Fresh requests a new connection that is closed after the call.
	Fresh bool
	// Peer names the server at the address. Calls for different peers never share a
	// connection.
	Peer string
	// Accept reports whether the connection may be used again after this response,
	// whose body has not been read. It may be nil.
	Accept func(*Response) bool
	// Check runs after the connection is established and immediately before the
	// first byte is written; if it fails, nothing is sent. It may be nil.
	Check func() error
	// Repeatable is set if the caller repeats the call elsewhere. Such a call fails as soon
	// as the path to the server is known to be lost.
	Repeatable bool
	// WriteLimit bounds the time from the start of Check to the end of the write; 0
	// means no limit.
	WriteLimit time.Duration
}

// Response is the response to a call. The caller must call Close.
type Response struct {
	*http.Response
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
}

// Do sends the request at most once.
func (c *Client) Do(req *http.Request, o CallOptions) (*Response, *CallError) {
	x := &exchange{
		readTimeout:       o.ReadTimeout,
		reusedReadTimeout: o.ReusedReadTimeout,
		fresh:             o.Fresh,
		check:             o.Check,
		writeLimit:        o.WriteLimit,
		repeatable:        o.Repeatable,
	}
	out := &Response{exchange: x, ctx: req.Context()}
	if o.Accept != nil {
		x.accept = func(resp *http.Response) bool {
			out.Response = resp
			return o.Accept(out)
		}
	}
	if o.Peer != "" {
		req = withPeer(req, o.Peer)
	}
	resp, cancel, err := c.transport.roundTrip(req, x)
	if err != nil {
		return nil, err
	}
	out.Response, out.cancel = resp, cancel
	return out, nil
}

// FirstOnConnection reports whether the request was the first one on its connection, so
// that no other request can have caused the response.
func (r *Response) FirstOnConnection() bool { return r.exchange.firstOnConn() }

// SetReadTimeout changes the longest time without a byte from the server; 0 means
// no timeout.
func (r *Response) SetReadTimeout(timeout time.Duration) { r.exchange.setReadTimeout(timeout) }

// Broken closes the connection after a read of the body failed with err, and
// returns the classified failure.
func (r *Response) Broken(err error) *CallError {
	r.exchange.abort()
	return &CallError{Failure: r.exchange.classify(r.ctx, err), Written: true, Err: err}
}

// Close ends the call. The connection is kept if the body was read to its end.
func (r *Response) Close() {
	_ = r.Body.Close()
	r.cancel()
}

// CloseIdle closes the pooled connections that are not in use.
func (c *Client) CloseIdle() { c.transport.close() }
