package edge

import (
	"context"
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
)

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
func (d *Daemon) drain(clients *ingress.Server) {
	begin := time.Now()
	times := shutdownTimes(begin, d.Settings.StopGrace)
	d.dispatcher.Shutdown.Begin(times)
	d.stopping.Store(true)
	d.control.emit(stopRequested{})
	d.Events.Record(event.KindConfig, "stopping", d.control.incarnation)
	time.Sleep(time.Until(times.AcceptUntil))
	ctx, cancel := context.WithDeadline(context.Background(), times.End.Add(drainAnswerTime))
	defer cancel()
	err := clients.Stop(ctx)
	d.awaitRelayed(ctx)
	d.Events.Record(event.KindConfig, "stopped", d.control.incarnation,
		event.F("took", time.Since(begin).String()), event.F("relaying", formatInt(d.relaying.Load())), event.F("cut", formatInt(d.active.Load())), event.F("error", errorText(err)))
}
