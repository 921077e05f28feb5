package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/ingress"
)

const (
	// drainAcceptTime is the time for which a stopping daemon still accepts
	// connections and requests. The load balancer removes it after two failed
	// checks, a second apart.
	drainAcceptTime = 2500 * time.Millisecond
	// drainReserve is the part of the stop grace that remains for the last answers and
	// the exit of the process.
	drainReserve = 500 * time.Millisecond
	// drainAnswerTime is the part of drainReserve for the answers of the requests that
	// are given up.
	drainAnswerTime = 200 * time.Millisecond
	// drainServeTime is the time that a backend server has at least for a request. Those
	// that have no place by then are refused, so that they can be served elsewhere.
	drainServeTime = time.Second
	// drainPollInterval is the time between two checks whether all connections are
	// closed.
	drainPollInterval = 10 * time.Millisecond
)

// clientServer serves the clients. Unlike http.Server.Shutdown, stop answers the first
// request on connections that were opened before it.
type clientServer struct {
	*http.Server
	gate     *ingress.Gate
	listener net.Listener
	// open is the number of open connections.
	open atomic.Int64
	// served is closed once Serve has returned and accepts no connection any more.
	served chan struct{}
}

func newClientServer(handler http.Handler, gate *ingress.Gate) *clientServer {
	s := &clientServer{Server: &http.Server{Handler: handler}, gate: gate, served: make(chan struct{})}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	gate.Attach(s.Server)
	return s
}

// Serve is http.Server.Serve. It must be called before stop.
func (s *clientServer) Serve(l net.Listener) error {
	defer close(s.served)
	return s.Server.Serve(l)
}

// stop accepts no further connections, closes idle ones and the others once they are
// idle, and waits until all are closed or the context ends. http.Server closes idle
// connections too, but calls them idle until it has parsed the head of a request.
func (s *clientServer) stop(ctx context.Context) error {
	err := s.listener.Close()
	poll := time.NewTicker(drainPollInterval)
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
func (s *clientServer) closed() bool {
	select {
	case <-s.served:
		return s.open.Load() == 0
	default:
		return false
	}
}

// shutdownTimes returns the times of a planned stop that begins at a time.
func shutdownTimes(begin time.Time, grace time.Duration) dispatch.ShutdownTimes {
	end := begin.Add(max(grace-drainReserve, grace/2))
	return dispatch.ShutdownTimes{
		AcceptUntil: begin.Add(min(drainAcceptTime, grace/2)),
		PlaceUntil:  end.Add(-min(drainServeTime, grace/8)),
		End:         end,
	}
}

// drain carries out a planned stop. The daemon turns not ready and releases the
// lease, serves new requests for a while, then closes idle connections and waits
// for the requests in progress.
func (d *Daemon) drain(clients *clientServer) {
	begin := time.Now()
	times := shutdownTimes(begin, d.Settings.StopGrace)
	d.dispatcher.Shutdown.Begin(times)
	d.stopping.Store(true)
	d.control.emit(stopRequested{})
	d.Events.Record(event.KindConfig, "stopping", d.control.incarnation)
	time.Sleep(time.Until(times.AcceptUntil))
	ctx, cancel := context.WithDeadline(context.Background(), times.End.Add(drainAnswerTime))
	defer cancel()
	err := clients.stop(ctx)
	d.Events.Record(event.KindConfig, "stopped", d.control.incarnation,
		event.F("took", time.Since(begin).String()), event.F("cut", formatInt(d.active.Load())), event.F("error", errorText(err)))
}
