package edge

import (
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/registry"
)

// downMemory is the time after a report for which the lease holder takes an engine for
// down. Its scheduler tries a down engine again every engineDownBackoff.
const downMemory = 2 * engineDownBackoff

// EngineDown tells the lease holder that an engine takes no connections. The scheduler of
// its pool sends it. The engine's entry expires only after three heartbeats.
type EngineDown struct {
	Server string `cbor:"1,keyasint"`
}

// MessageKind implements peer.Message.
func (*EngineDown) MessageKind() peer.Kind { return kindEngineDown }

// downEngines holds the processes of engines that were down lately. The zero value is
// ready for use.
type downEngines struct {
	reports map[string]downReport
}

// downReport is the last report about a process, which started at born.
type downReport struct {
	born int64
	at   time.Time
}

// note records that a server is down; nil is an unlisted one.
func (d *downEngines) note(now time.Time, s *registry.Server) {
	if s == nil {
		return
	}
	for id, r := range d.reports {
		if now.Sub(r.at) >= downMemory {
			delete(d.reports, id)
		}
	}
	if d.reports == nil {
		d.reports = map[string]downReport{}
	}
	d.reports[s.ID] = downReport{born: s.StartedMs, at: now}
}

// age returns the time since the last report about a server, or downMemory.
func (d *downEngines) age(now time.Time, s *registry.Server) time.Duration {
	if r, ok := d.reports[s.ID]; ok && r.born == s.StartedMs {
		return min(now.Sub(r.at), downMemory)
	}
	return downMemory
}

// has reports whether a server was down lately.
func (d *downEngines) has(now time.Time, s *registry.Server) bool { return d.age(now, s) < downMemory }

// reportDown tells the lease holder that an engine is down, at most once per
// engineDownBackoff/2.
func (c *control) reportDown(now time.Time, id string) {
	server := c.servers.Load().server(id)
	if server == nil || c.downTold.age(now, server) < engineDownBackoff/2 {
		return
	}
	if holder, ok := c.duties.machine.Observation(); ok && holder.Term != hosting.NoOffset && !holder.Released {
		c.downTold.note(now, server)
		c.send(holder.VM, &EngineDown{Server: id})
	}
}
