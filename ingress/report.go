package ingress

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// reason names why a connection was closed or a request refused.
type reason int

const (
	// reasonHeadSize: a head over the limit, answered with 431.
	reasonHeadSize reason = iota
	// reasonHeadTime: a head that did not arrive in time, answered with 408.
	reasonHeadTime
	// reasonHeadMemory and reasonBodyMemory: no memory for a head or a body, answered with 503.
	reasonHeadMemory
	reasonBodyMemory
	// reasonBodyTime: a body that did not arrive before the deadline, answered with 408.
	reasonBodyTime
	// reasonStalled: a refused body whose rest did not arrive.
	reasonStalled
	// reasonIdle: a connection without a request for the idle timeout.
	reasonIdle
	// reasonUnread: a client that accepted no byte of an answer for the idle timeout.
	reasonUnread
	// reasonMemory: closed because another request needed the memory.
	reasonMemory
	// reasonSlots: closed because a new connection needed the place.
	reasonSlots
	// reasonFull: a new connection for which there was no place.
	reasonFull
	// reasonFraming: bytes that are no HTTP/1.x.
	reasonFraming
	// reasonBadLimits: limits of a configuration that are out of range.
	reasonBadLimits
	reasonCount
)

var reasonNames = [reasonCount]string{
	reasonHeadSize: "head_size", reasonHeadTime: "head_time", reasonHeadMemory: "head_memory", reasonBodyMemory: "body_memory",
	reasonBodyTime: "body_time", reasonStalled: "stalled", reasonIdle: "idle", reasonUnread: "unread", reasonMemory: "closed_for_memory",
	reasonSlots: "closed_for_place", reasonFull: "no_place", reasonFraming: "framing", reasonBadLimits: "bad_limits",
}

// Report says how often a limit took effect since the last report of its reason.
type Report struct {
	Reason string
	Count  int64
	// Used and Budget are the memory of clients in bytes, Connections their number.
	Used, Budget int64
	Connections  int
}

type counters struct {
	total    *[reasonCount]atomic.Int64
	reported *[reasonCount]int64
}

func newCounters() counters {
	return counters{total: &[reasonCount]atomic.Int64{}, reported: &[reasonCount]int64{}}
}

func (c counters) count(r reason) { c.total[r].Add(1) }

func (c counters) register(set *metrics.Set) {
	for r, name := range reasonNames {
		set.NewGauge(`mimosakeel_ingress_limited_total{reason="`+name+`"}`, func() float64 { return float64(c.total[r].Load()) })
	}
}

// report sends a report for each reason that has occurred since the last time. Idle
// connections are closed in ordinary operation and not reported.
func (g *Gate) report() {
	if g.config.Report == nil {
		return
	}
	for r := range reasonCount {
		total := g.counters.total[r].Load()
		count := total - g.counters.reported[r]
		g.counters.reported[r] = total
		if count > 0 && r != reasonIdle {
			g.config.Report(Report{Reason: reasonNames[r], Count: count, Used: g.used.Load(), Budget: g.budget, Connections: g.open()})
		}
	}
}
