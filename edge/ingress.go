package edge

import (
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/ingress"
)

// newIngress returns the owner of the memory and the connections of clients.
func (d *Daemon) newIngress() *ingress.Gate {
	return ingress.New(ingress.Config{
		Memory:      int64(d.Settings.MemoryMB * 1e6),
		Descriptors: d.Settings.MaxDescriptors,
		Report: func(r ingress.Report) {
			d.Events.Record(event.KindFault, "clients_limited", r.Reason,
				event.F("count", formatInt(r.Count)), event.F("memory", formatInt(r.Used)),
				event.F("memory_limit", formatInt(r.Budget)), event.F("connections", formatInt(int64(r.Connections))))
		},
	})
}

// ingressLimits returns the limits of a configuration on heads and times; those on
// bodies are enforced for each request.
func ingressLimits(l catalog.Limits) ingress.Limits {
	return ingress.Limits{HeadBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
