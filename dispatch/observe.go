package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

// The values of the label "end" in the request metrics.
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

// The values of the label "result" of the requests that take up a stream.
const (
	takeUpWentOn    = "went_on"
	takeUpUnknown   = "version_unknown"
	takeUpNoVersion = "no_server_of_version"
	takeUpFailed    = "failed"
)

// countTakeUp counts the result of a request that takes up a stream.
func (c *call) countTakeUp(result string) {
	if c.binding.takesUp {
		metrics.GetOrCreateCounter(`mimosakeel_dispatch_take_ups_total{result="` + result + `"}`).Inc()
	}
}

// takeUpResult returns the label of a take-up that failed before its first event.
func takeUpResult(f *Failure) string {
	switch f.Reason {
	case reasonVersionUnknown:
		return takeUpUnknown
	case ReasonNoVersion:
		return takeUpNoVersion
	}
	return takeUpFailed
}

// versionFields returns log fields with the software version of a server, if there is
// one, and with the one that is required. A request that takes up a stream names it.
func (c *call) versionFields(server *registry.Server) []event.Field {
	var out []event.Field
	if server != nil {
		out = append(out, event.F("version", server.SoftwareVersion))
	}
	if c.binding.bound {
		out = append(out, event.F("required", c.binding.version))
	}
	if c.binding.takesUp {
		out = append(out, event.F("resumes", c.request.Resumes))
	}
	return out
}

func init() {
	for _, end := range []string{endServed, endRefused, endTimedOut, endFailed, endClientLeft} {
		requestSeconds[end] = metrics.NewHistogram(`mimosakeel_dispatch_request_seconds{end="` + end + `"}`)
	}
}

// countByReason counts failed attempts or requests by reason. Reasons are
// constants of this program, some with a status code at the end. The code is
// removed so that the number of label values is bounded.
func countByReason(of, reason string) {
	reason = strings.TrimRight(reason, "_0123456789")
	metrics.GetOrCreateCounter("mimosakeel_dispatch_" + of + `_total{reason="` + reason + `"}`).Inc()
}

// requestTimes holds the times and durations of a request for its log lines and
// metrics.
type requestTimes struct {
	// firstByte is the time of the first byte to the client; zero before it.
	firstByte time.Time
	// events is the number of events sent to the client, the last one at lastEvent.
	events    int
	lastEvent time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// waited is the total time that the request waited for placements.
	waited time.Duration
	// prefill is the total time of prefills on separate servers.
	prefill time.Duration
}

// event records that an event was sent to the client.
func (t *requestTimes) event(now time.Time) {
	if t.events > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEvent))
	}
	t.events++
	t.lastEvent = now
}

// millis formats a duration with a resolution of 0.1 ms.
func millis(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// logPlaced logs the servers of an attempt and the inputs of the decision.
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
	fields = append(fields, c.versionFields(place.Server)...)
	if place.Prefill != nil {
		fields = append(fields, event.F("prefill", place.Prefill.ID))
	}
	if place.Fetch != nil {
		fields = append(fields, event.F("fetch", place.Fetch.ID))
	}
	c.Events.Record(event.KindRequest, "placed", c.request.ID, append(fields, place.Inputs...)...)
}

// logRetried logs why another attempt follows.
func (c *call) logRetried(failed *AttemptError) {
	countByReason("attempts_failed", failed.Reason)
	fields := []event.Field{
		event.F("server", failed.server()), event.F("reason", failed.Error()), event.F("run", string(failed.Run)),
		event.F("down", strconv.FormatBool(failed.Down)), event.F("sent", strconv.Itoa(c.sent)),
		event.F("of", strconv.Itoa(c.request.Route.MaxAttempts)), event.F("events", strconv.Itoa(c.times.events)),
	}
	fields = append(fields, c.versionFields(failed.Server)...)
	c.Events.Record(event.KindRequest, "retried", c.request.ID, append(fields, c.contentFields()...)...)
}

// contentFields returns log fields that show which requests are alike: the request's
// fingerprint, and the IDs of the parts of its prompt that other requests may share.
func (c *call) contentFields() []event.Field {
	out := []event.Field{event.F("content", c.content.Fingerprint)}
	if len(c.content.Parts) == 0 {
		return out
	}
	ids := make([]string, len(c.content.Parts))
	for i, part := range c.content.Parts {
		ids[i] = part.ID
	}
	return append(out, event.F("parts", strings.Join(ids, ",")))
}

// logServed logs how a backend server answered the request.
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
	c.Events.Record(event.KindRequest, "served", c.request.ID, append(fields, c.streamFields()...)...)
}

// streamFields returns the log fields on the progress of a stream; nil if no
// event was sent.
func (c *call) streamFields() []event.Field {
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

// logFailed logs why the request failed without an answer of a backend server.
func (c *call) logFailed(f *Failure) {
	took := time.Since(c.request.Arrived)
	requestSeconds[endLabel(f)].Update(took.Seconds())
	countByReason("failures", f.Reason)
	if !c.started {
		c.countTakeUp(takeUpResult(f))
	}
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
	fields = append(fields, c.streamFields()...)
	if f.Reason == reasonBudget {
		repeats, allowed := c.Budget.State(c.request.Service.Name)
		fields = append(fields, event.F("repeats", strconv.Itoa(repeats)), event.F("allowed", strconv.FormatFloat(allowed, 'f', 1, 64)))
	}
	var server *registry.Server
	if f.Cause != nil {
		server = f.Cause.Server
		fields = append(fields, event.F("server", f.Cause.server()), event.F("cause", f.Cause.Error()))
		fields = append(fields, c.contentFields()...)
	}
	fields = append(fields, c.versionFields(server)...)
	c.Events.Record(event.KindRequest, "failed", c.request.ID, append(fields, f.Inputs...)...)
}

// endLabel returns the value of the label "end" for a failure.
func endLabel(f *Failure) string {
	switch {
	case f.Reason == reasonClientLeft:
		return endClientLeft
	case f.TimedOut:
		return endTimedOut
	case f.Run == backend.RunNever:
		return endRefused
	}
	return endFailed
}

// markFirstByte records the time of the first byte to the client.
func (c *call) markFirstByte() {
	if c.times.firstByte.IsZero() {
		c.times.firstByte = time.Now()
		firstByteSeconds.Update(c.firstByte().Seconds())
	}
}

// firstByte returns the time from the request's arrival to the first byte; 0
// before it.
func (c *call) firstByte() time.Duration {
	if c.times.firstByte.IsZero() {
		return 0
	}
	return c.times.firstByte.Sub(c.request.Arrived)
}
