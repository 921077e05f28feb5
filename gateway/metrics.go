package gateway

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// gatewayMetrics are the metrics of one gateway. They are created at startup,
// so that counting needs no lookup by name.
type gatewayMetrics struct {
	set *metrics.Set
	// responses counts responses by status class; index 0 is unused.
	responses      [6]*metrics.Counter
	drops          map[dropReason]*metrics.Counter
	failures       map[FailureReason]*metrics.Counter
	resumes        *metrics.Counter
	moves          *metrics.Counter
	budgetEmpty    *metrics.Counter
	cancelsDropped *metrics.Counter
	cancelsFailed  *metrics.Counter
	// firstByte is the time to the first byte of streamed responses, in
	// seconds.
	firstByte *metrics.Histogram
}

// retryReasons are the reasons that have a counter. ReasonMoved is not a
// failure and is counted by moves.
var retryReasons = []FailureReason{
	ReasonConnect, ReasonBroken, ReasonSilent, ReasonRefused, ReasonStatus, ReasonGap,
	ReasonUnfinished, ReasonMalformed, ReasonGrantExpired, ReasonAbandoned, ReasonClientFault,
}

func newGatewayMetrics(g *Gateway) *gatewayMetrics {
	set := metrics.NewSet()
	m := &gatewayMetrics{
		moves:          set.NewCounter("mimosakeel_stream_moves_total"),
		set:            set,
		drops:          map[dropReason]*metrics.Counter{},
		failures:       map[FailureReason]*metrics.Counter{},
		resumes:        set.NewCounter("mimosakeel_stream_resumes_total"),
		budgetEmpty:    set.NewCounter("mimosakeel_retry_budget_empty_total"),
		cancelsDropped: set.NewCounter(`mimosakeel_engine_cancels_total{result="dropped"}`),
		firstByte:      set.NewHistogram("mimosakeel_first_byte_seconds"),
		cancelsFailed:  set.NewCounter(`mimosakeel_engine_cancels_total{result="failed"}`),
	}
	for class := 1; class < len(m.responses); class++ {
		m.responses[class] = set.NewCounter(`mimosakeel_answers_total{class="` + string(rune('0'+class)) + `xx"}`)
	}
	for _, reason := range dropReasons {
		m.drops[reason] = set.NewCounter(`mimosakeel_frames_dropped_total{reason="` + string(reason) + `"}`)
	}
	for _, reason := range retryReasons {
		m.failures[reason] = set.NewCounter(`mimosakeel_attempts_failed_total{reason="` + string(reason) + `"}`)
	}
	set.NewGauge("mimosakeel_requests_outstanding", func() float64 { return float64(g.outstanding.Load()) })
	return m
}

func (m *gatewayMetrics) countResponse(status int) {
	if class := status / 100; class >= 1 && class < len(m.responses) {
		m.responses[class].Inc()
	}
}

func (m *gatewayMetrics) countDroppedFrame(reason dropReason) { m.drops[reason].Inc() }

func (m *gatewayMetrics) countFailedAttempt(reason FailureReason) { m.failures[reason].Inc() }

func (m *gatewayMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	// The default set contains the metrics of the control plane.
	metrics.WritePrometheus(w, true)
}
