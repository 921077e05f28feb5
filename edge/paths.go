package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// watchInterval is the time between two checks of the own paths.
	watchInterval = 50 * time.Millisecond
	// silentAfter is the time without a byte from any server, while requests wait for
	// one, after which the own paths are probed.
	silentAfter = 250 * time.Millisecond
	// probedServers is the number of servers that are probed at once, and pathProbeInterval
	// the minimum time between two such probes.
	probedServers     = 2
	pathProbeInterval = 500 * time.Millisecond
)

// Connections are the connections to backend servers that requests use.
type Connections interface {
	// PathLost ends the use of those to an address, or to all if it is empty, on which
	// nothing has arrived since a time: those that the daemon on a VM has opened, or those
	// over the own path if vm is empty.
	PathLost(vm, addr string, since time.Time)
	// RetireRelayed closes those to an address that other daemons have opened, or those
	// of one daemon, once no request uses them. Empty arguments match all.
	RetireRelayed(addr, vm string)
	// Waiting returns the addresses of requests that have waited for a byte for longer
	// than a time.
	Waiting(now time.Time, longer time.Duration) []string
	// OnHeard sets the function that is called when bytes have arrived over an own path.
	OnHeard(heard func())
}

// noConnections is used by daemons whose adapter does not name its connections.
type noConnections struct{}

func (noConnections) PathLost(string, string, time.Time)        {}
func (noConnections) RetireRelayed(string, string)              {}
func (noConnections) Waiting(time.Time, time.Duration) []string { return nil }
func (noConnections) OnHeard(func())                            {}

// watchPaths finds paths that lose packets although no connection is opened, and logs
// when this daemon loses and regains its own paths. It ends with the context.
func (d *Daemon) watchPaths(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var probed, cutAt time.Time
	cut := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now := d.dialer.Table.Cut(); now != cut {
			cut = now
			cutAt = d.logCut(cut, cutAt)
		}
		if cut || now.Sub(probed) < pathProbeInterval || now.Sub(d.dialer.Table.LastHeard()) < silentAfter {
			continue
		}
		waiting := d.Connections.Waiting(now, silentAfter)
		for _, addr := range waiting[:min(len(waiting), probedServers)] {
			probed = now
			go d.probePath(ctx, addr)
		}
	}
}

// probePath opens a connection and closes it. The dialer records what it finds.
func (d *Daemon) probePath(ctx context.Context, addr string) {
	if conn, err := d.dialer.Dial(ctx, "tcp", addr); err == nil {
		_ = conn.Close() // Nothing was sent.
	}
}

// logCut logs that this daemon has lost or regained its own paths to the servers.
func (d *Daemon) logCut(cut bool, since time.Time) time.Time {
	servers, broken := d.dialer.Table.Counts()
	fields := []event.Field{event.F("servers", strconv.Itoa(servers)), event.F("broken", strconv.Itoa(broken))}
	if cut {
		d.Events.Record(event.KindFault, "paths_lost", d.Settings.VM, fields...)
		return time.Now()
	}
	d.Events.Record(event.KindConfig, "paths_back", d.Settings.VM, append(fields, event.F("after", time.Since(since).Round(time.Millisecond).String()))...)
	return time.Time{}
}

// isDown reports whether a server takes no connections, also not those of daemons that
// reach other servers.
func (d *Daemon) isDown(server *registry.Server) bool {
	conn, err := d.dialer.Dial(context.Background(), "tcp", server.Addr)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
		return false
	}
	var path *backend.PathError
	return !errors.As(err, &path)
}
