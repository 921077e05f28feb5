package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
)

// The ends of a request in the metrics.
const (
	endServed     = "served"
	endRefused    = "refused"
	endTimedOut   = "timed_out"
	endFailed     = "failed"
	endClientLeft = "client_left"
)

var (
	requestSeconds   = map[string]*metrics.Histogram{}
	firstByteSeconds = metrics.NewHistogram("mimosakeel_dispatch_first_byte_seconds")
	placeSeconds     = metrics.NewHistogram("mimosakeel_dispatch_place_seconds")
	prefillSeconds   = metrics.NewHistogram("mimosakeel_dispatch_prefill_seconds")
	attemptsTotal    = metrics.NewCounter("mimosakeel_dispatch_attempts_total")
)

func init() {
	for _, end := range []string{endServed, endRefused, endTimedOut, endFailed, endClientLeft} {
		requestSeconds[end] = metrics.NewHistogram(`mimosakeel_dispatch_request_seconds{end="` + end + `"}`)
	}
}

// countReason counts failed attempts or requests. The reasons are constants of
// this program, some with a status at their end, which is left out so that the
// number of label values is bounded.
func countReason(of, reason string) {
	reason = strings.TrimRight(reason, "_0123456789")
	metrics.GetOrCreateCounter("mimosakeel_dispatch_" + of + `_total{reason="` + reason + `"}`).Inc()
}

// times are the moments of a request that its log lines and metrics tell.
type times struct {
	// first is the time of the first byte to the client; zero before it.
	first time.Time
	// events counts the events that the client got, the last one at lastEvent.
	events    int
	lastEvent time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// waited is the time that the request spent waiting for places.
	waited time.Duration
	// prefill is the time that was spent on reading the prompt apart.
	prefill time.Duration
}

// event notes that the client got an event.
func (t *times) event(now time.Time) {
	if t.events > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEvent))
	}
	t.events++
	t.lastEvent = now
}

// millis prints a duration with a resolution of 0.1 ms.
func millis(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// logPlaced tells where an attempt goes, and what decided it.
func (c *call) logPlaced(place *Placement, waited time.Duration) {
	placeSeconds.Update(waited.Seconds())
	attemptsTotal.Inc()
	fields := []event.Field{
		event.F("route", c.request.Route.Name),
		event.F("attempt", strconv.Itoa(c.attempts)),
		event.F("server", place.Server.ID),
		event.F("waited", millis(waited)),
		event.F("left", millis(time.Until(c.request.Deadline))),
		event.F("config", strconv.FormatInt(c.request.ConfigVersion, 10)),
	}
	if place.Prefill != nil {
		fields = append(fields, event.F("prefill", place.Prefill.ID))
	}
	if place.Fetch != nil {
		fields = append(fields, event.F("fetch", place.Fetch.ID))
	}
	c.Events.Record(event.KindRequest, "placed", c.request.ID, append(fields, place.Inputs...)...)
}

// logRetried tells why another attempt follows.
func (c *call) logRetried(failed *AttemptError) {
	countReason("attempts_failed", failed.Reason)
	c.Events.Record(event.KindRequest, "retried", c.request.ID,
		event.F("server", failed.server()), event.F("reason", failed.Error()), event.F("run", string(failed.Run)),
		event.F("down", strconv.FormatBool(failed.Down)), event.F("sent", strconv.Itoa(c.sent)),
		event.F("of", strconv.Itoa(c.request.Route.MaxAttempts)))
}

// logServed tells how the request was answered by a backend server.
func (c *call) logServed(place *Placement, status int) {
	took := time.Since(c.request.Arrived)
	requestSeconds[endServed].Update(took.Seconds())
	fields := []event.Field{
		event.F("route", c.request.Route.Name),
		event.F("status", strconv.Itoa(status)), event.F("server", place.Server.ID),
		event.F("sent", strconv.Itoa(c.sent)), event.F("waited", millis(c.times.waited)),
		event.F("prefill", millis(c.times.prefill)), event.F("first_byte", millis(c.firstByte())),
		event.F("took", millis(took)),
	}
	c.Events.Record(event.KindRequest, "served", c.request.ID, append(fields, c.streamed()...)...)
}

// streamed tells how far a stream came.
func (c *call) streamed() []event.Field {
	if c.times.events == 0 {
		return nil
	}
	return []event.Field{
		event.F("events", strconv.Itoa(c.times.events)),
		event.F("longest_gap", millis(c.times.longestGap)),
		event.F("gap_target", millis(c.request.Route.MaxGap)),
		event.F("silent", millis(time.Since(c.times.lastEvent))),
	}
}

// logFailed tells why the answer is the system's own.
func (c *call) logFailed(f *Failure) {
	took := time.Since(c.request.Arrived)
	requestSeconds[endOf(f)].Update(took.Seconds())
	countReason("failures", f.Reason)
	fields := []event.Field{
		event.F("route", c.request.Route.Name),
		event.F("reason", f.Reason),
		event.F("run", string(f.Run)),
		event.F("retry_after", f.RetryAfter.String()),
		event.F("broken", strconv.FormatBool(c.started)),
		event.F("sent", strconv.Itoa(c.sent)),
		event.F("of", strconv.Itoa(c.request.Route.MaxAttempts)),
		event.F("waited", millis(c.times.waited)),
		event.F("prefill", millis(c.times.prefill)),
		event.F("first_byte", millis(c.firstByte())),
		event.F("took", millis(took)),
		event.F("left", millis(time.Until(c.request.Deadline))),
		event.F("config", strconv.FormatInt(c.request.ConfigVersion, 10)),
	}
	fields = append(fields, c.streamed()...)
	if f.Reason == reasonBudget {
		repeats, allowed := c.Budget.State(c.request.Service.Name)
		fields = append(fields, event.F("repeats", strconv.Itoa(repeats)), event.F("allowed", strconv.FormatFloat(allowed, 'f', 1, 64)))
	}
	if f.Cause != nil {
		fields = append(fields, event.F("server", f.Cause.server()), event.F("cause", f.Cause.Error()))
	}
	c.Events.Record(event.KindRequest, "failed", c.request.ID, append(fields, f.Inputs...)...)
}

func endOf(f *Failure) string {
	switch {
	case f.Reason == reasonClientLeft:
		return endClientLeft
	case f.TimedOut:
		return endTimedOut
	case f.Run == backend.RunNot:
		return endRefused
	}
	return endFailed
}

// markFirstByte notes that the client gets its first byte now.
func (c *call) markFirstByte() {
	if c.times.first.IsZero() {
		c.times.first = time.Now()
		firstByteSeconds.Update(c.firstByte().Seconds())
	}
}

func (c *call) firstByte() time.Duration {
	if c.times.first.IsZero() {
		return 0
	}
	return c.times.first.Sub(c.request.Arrived)
}
