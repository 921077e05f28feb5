package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
)

// replicaState holds the end offset of a replica and the time at which it was
// last known to be complete. The log lines of requests contain it for the list of
// servers that their placement used.
type replicaState struct {
	end   atomic.Int64
	fresh atomic.Int64
}

func (s *replicaState) set(end int64, fresh time.Time) {
	s.end.Store(end)
	s.fresh.Store(fresh.UnixNano())
}

// fields returns the end offset of the replica and the time since it was last
// known to be complete, as log fields.
func (s *replicaState) fields() []event.Field {
	end := s.end.Load()
	if end == hosting.NoOffset {
		return []event.Field{event.F("servers", "none")}
	}
	age := time.Since(time.Unix(0, s.fresh.Load()))
	return []event.Field{
		event.F("servers", "offset "+hosting.FormatPosition(end)),
		event.F("servers_age", age.Round(time.Millisecond).String()),
	}
}

// newMetrics returns the metrics of the daemon itself.
func (d *Daemon) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("mimosakeel_edge_requests_open", func() float64 { return float64(d.active.Load()) })
	set.NewGauge("mimosakeel_edge_members_live", func() float64 { return float64(d.control.view.Load().live.Len()) })
	set.NewGauge("mimosakeel_edge_servers", func() float64 { return float64(d.control.servers.Load().len()) })
	set.NewGauge("mimosakeel_edge_servers_age_seconds", func() float64 {
		return time.Since(time.Unix(0, d.control.serversReplica.fresh.Load())).Seconds()
	})
	set.NewGauge("mimosakeel_edge_config_version", func() float64 {
		if c := d.Catalog(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	set.NewGauge("mimosakeel_edge_quarantined_parts", func() float64 {
		return float64(d.control.quarantine.guard.list.Load().Active(d.clock.Now()))
	})
	set.NewGauge("mimosakeel_edge_inbox_length", func() float64 { return float64(len(d.control.inbox)) })
	set.NewGauge("mimosakeel_edge_events_dropped", func() float64 { return float64(d.Events.Dropped()) })
	set.NewGauge("mimosakeel_edge_paths_broken", func() float64 {
		_, broken := d.dialer.Table.Counts()
		return float64(broken)
	})
	set.NewGauge("mimosakeel_edge_relayed_connections", func() float64 { return float64(d.relaying.Load()) })
	d.ingress.Metrics(set)
	set.NewGauge("mimosakeel_edge_cost_servers", func() float64 {
		servers, _ := d.plain.counts()
		return float64(servers)
	})
	set.NewGauge("mimosakeel_edge_cost_rejected", func() float64 {
		_, rejected := d.plain.counts()
		return float64(rejected)
	})
	return set
}

// ServeMetrics writes the metrics of the daemon and of the process in the
// Prometheus text format.
func (d *Daemon) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	d.metrics.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// maxListedMembers limits the number of members in one log field.
const maxListedMembers = 16

// memberChange returns log fields with the number of live members and the
// members that joined and left.
func memberChange(old, next *member.Set) []event.Field {
	return []event.Field{
		event.F("live", formatInt(int64(next.Len()))),
		event.F("joined", difference(next, old)),
		event.F("left", difference(old, next)),
	}
}

// difference returns the members of one set that another set lacks, separated by
// commas, up to maxListedMembers of them.
func difference(of, in *member.Set) string {
	var out []string
	for _, vm := range of.IDs() {
		if !in.Contains(vm) && len(out) < maxListedMembers {
			out = append(out, vm)
		}
	}
	return strings.Join(out, ",")
}
