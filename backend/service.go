package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"
)

const (
	userAgent = "mimosakeel"
	// orderReadTimeout is long because an engine replies to an order to load a
	// model only after it has loaded the weights.
	orderReadTimeout = 2 * time.Minute
)

// Services is a client for plain services. It is safe for concurrent use.
type Services struct{ transport *transport }

// NewServices returns a client. If dial is nil, it dials TCP.
func NewServices(dial DialFunc) *Services {
	return &Services{transport: newTransport(dial, idleConnTimeout)}
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID       string
	Customer string
	Method   string
	// Path is the escaped path below the base URL, with a leading slash.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// Idempotent calls use pooled connections; a reused connection without a byte
	// for ReadTimeout is closed and the call fails with FailureReadTimeout. Each
	// other call uses a new connection, because it can't be repeated after a
	// pooled connection turns out to be dead.
	Idempotent bool
	// BodyReadTimeout is the read timeout for the body of the response; 0 means no
	// timeout.
	BodyReadTimeout time.Duration
	// Check runs after the connection is established and immediately before the
	// first byte is written; if it fails, nothing is sent. It may be nil.
	Check func() error
}

// ServiceResponse is the response of a plain service. The caller must call Close.
type ServiceResponse struct {
	Status int
	// Header contains neither hop-by-hop headers nor cookies.
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
	cancel        context.CancelFunc
}

// Close ends the call.
func (r *ServiceResponse) Close() {
	_ = r.Body.Close()
	r.cancel()
}

// Do sends the request at most once.
func (s *Services) Do(ctx context.Context, baseURL string, r ServiceRequest) (*ServiceResponse, *CallError) {
	req, err := r.build(ctx, baseURL)
	if err != nil {
		return nil, &CallError{Failure: FailureConnect, Err: err}
	}
	x := &exchange{fresh: !r.Idempotent, reusedReadTimeout: ReadTimeout, check: r.Check}
	resp, cancel, callErr := s.transport.roundTrip(req, x)
	if callErr != nil {
		if callErr.Failure == FailureCanceled {
			// The response did not arrive in time; the other connections to this
			// backend may have stopped delivering as well.
			s.transport.set.closeIdle(x)
		}
		return nil, callErr
	}
	x.setReadTimeout(r.BodyReadTimeout)
	header := resp.Header
	removeHopByHop(header)
	header.Del("Set-Cookie")
	return &ServiceResponse{
		Status:        resp.StatusCode,
		Header:        header,
		ContentLength: resp.ContentLength,
		Body:          resp.Body,
		cancel:        cancel,
	}, nil
}

func (r *ServiceRequest) build(ctx context.Context, baseURL string) (*http.Request, error) {
	target, err := url.Parse(strings.TrimSuffix(baseURL, "/") + r.Path)
	if err != nil {
		return nil, err
	}
	target.RawQuery = r.RawQuery
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	req.Header = CleanRequestHeader(r.Header)
	req.Header.Set(HeaderRequestID, r.ID)
	setIfNotEmpty(req.Header, HeaderCustomer, r.Customer)
	return req, nil
}

// strippedHeaders are removed from requests of clients. The first ones carry
// secrets of the client, which no backend server may see. HeaderCustomer and
// HeaderRequestID may be set by the gateway only.
var strippedHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Cookie", "Cookie2",
	HeaderCustomer, HeaderRequestID,
}

var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanRequestHeader returns a copy of a client's request header that may be sent
// to a backend server: without strippedHeaders, hop-by-hop headers, Expect and
// Content-Length.
func CleanRequestHeader(h http.Header) http.Header {
	clean := h.Clone()
	if clean == nil {
		clean = http.Header{}
	}
	removeHopByHop(clean)
	for _, name := range strippedHeaders {
		clean.Del(name)
	}
	// net/http has already handled Expect, and the body has been read.
	clean.Del("Expect")
	clean.Del("Content-Length")
	return clean
}

func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// Close closes the idle pooled connections. Calls in progress continue.
func (s *Services) Close() { s.transport.close() }
