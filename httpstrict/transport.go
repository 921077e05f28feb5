package httpstrict

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that checks the responses. It is safe for concurrent
// use.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses base, which must not be used by itself any
// more. It speaks HTTP/1.1 only, also over TLS.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, conn, base.TLSClientConfig, addr)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return Wrap(secured), nil
	}
	return &Transport{base: base}
}

func handshake(ctx context.Context, conn net.Conn, config *tls.Config, addr string) (net.Conn, error) {
	config = config.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.Begin(req)
		}
	}}
	return t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
