package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// closePollInterval is the time between two checks whether all connections are closed.
const closePollInterval = 10 * time.Millisecond

// Server serves clients on connections that a Gate bounds. Unlike http.Server.Shutdown,
// Stop closes no connection on which a request has begun to arrive.
type Server struct {
	*http.Server
	gate     *Gate
	listener net.Listener
	// open is the number of open connections.
	open atomic.Int64
	// stopping is set once Stop has been called.
	stopping atomic.Bool
	// served is closed once Serve has returned and accepts no connection any more.
	served chan struct{}
}

// NewServer returns a server for the connections of a listener of the gate. Only its own
// methods Serve and Stop may be used to start and to stop it.
func NewServer(inner *http.Server, gate *Gate, listener net.Listener) *Server {
	s := &Server{Server: inner, gate: gate, listener: listener, served: make(chan struct{})}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	gate.Attach(inner)
	handler := inner.Handler
	inner.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// Serve serves until Stop is called or the listener fails.
func (s *Server) Serve() error {
	defer close(s.served)
	return s.Server.Serve(s.listener)
}

// Stop accepts no further connections, closes idle ones and the others after their next
// request or once they are idle, and waits until all are closed or the context ends. Serve
// must have been called.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.listener.Close()
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	for !s.closed() {
		s.gate.CloseIdle()
		select {
		case <-poll.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err, s.Close())
		}
	}
	return err
}

// closed reports whether no connection is open or about to be.
func (s *Server) closed() bool {
	select {
	case <-s.served:
		return s.open.Load() == 0
	default:
		return false
	}
}
