package daemon

import (
	"strconv"
	"strings"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/freshness"
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/usage"
)

// Recorder writes the daemon's events to its timeline and its log.
type Recorder struct{ out *event.Recorder }

// NewRecorder returns a Recorder that writes to an event recorder.
func NewRecorder(out *event.Recorder) *Recorder { return &Recorder{out: out} }

// Record implements gateway.Events.
func (r *Recorder) Record(e gateway.Event) {
	fields := []event.Field{event.F("customer", e.Customer)}
	if e.Backend != "" {
		fields = append(fields, event.F("backend", e.Backend))
	}
	if e.Position > 0 {
		fields = append(fields, event.F("position", strconv.Itoa(e.Position)))
	}
	if e.Detail != "" {
		fields = append(fields, event.F("detail", e.Detail))
	}
	r.out.Record(event.KindRequest, string(e.Kind), e.Request, fields...)
}

func (r *Recorder) process(what string) {
	r.out.Record(event.KindConfig, what, "")
}

func (r *Recorder) fault(what string, err error) {
	r.out.Record(event.KindFault, what, "", event.F("error", errorText(err)))
}

func (r *Recorder) clientsLimited(l ingress.Report) {
	r.out.Record(event.KindFault, "clients_limited", l.Reason, event.F("count", strconv.FormatInt(l.Count, 10)),
		event.F("memory", strconv.FormatInt(l.Used, 10)), event.F("memory_limit", strconv.FormatInt(l.Budget, 10)),
		event.F("connections", strconv.Itoa(l.Connections)))
}

// stream records that reads of a stream of the log fail, or that they succeed
// again if err is nil.
func (r *Recorder) stream(name string, err error) {
	if err == nil {
		r.out.Record(event.KindConfig, "stream_regained", name)
		return
	}
	r.out.Record(event.KindFault, "stream_lost", name, event.F("error", errorText(err)))
}

// config records that a table version came into force, and the number of
// running requests that were ended because their key was withdrawn.
func (r *Recorder) config(version int64, author string, ended int) {
	r.out.Record(event.KindConfig, "config_in_force", offset(version),
		event.F("author", author), event.F("ended_requests", strconv.Itoa(ended)))
}

// decision records the decision on a log record. It omits accepted renewals,
// because every lease is renewed every two seconds by default.
func (r *Recorder) decision(d record.Decision) {
	if d.Entry.Kind == "renew" && d.Verdict == record.Accepted {
		return
	}
	kind := event.KindLease
	if d.Entry.Subject == configStream {
		kind = event.KindConfig
	}
	r.out.Record(kind, "record_"+d.Verdict.String(), offset(d.Entry.Offset),
		event.F("subject", d.Entry.Subject), event.F("record", string(d.Entry.Kind)), event.F("author", d.Entry.Author))
}

// freshness records a change of the mode in which requests that need a key are
// served or refused.
func (r *Recorder) freshness(changed freshness.ModeChanged) {
	kind := event.KindConfig
	if changed.To != freshness.ModeFresh {
		kind = event.KindFault
	}
	r.out.Record(kind, "freshness_"+string(changed.To), "", event.F("from", string(changed.From)))
}

// usage records decisions on the usage stream, such as closed and confirmed
// windows. It omits deltas, because they come continuously.
func (r *Recorder) usage(d record.Decision) {
	if d.Entry.Kind != usage.KindDelta {
		r.decision(d)
	}
}

func (r *Recorder) reported(report hosting.UsageReport, outcome hosting.Outcome, err error) {
	fields := []event.Field{event.F("outcome", outcome.String()), event.F("fence", offset(report.Fence))}
	if err != nil {
		fields = append(fields, event.F("error", errorText(err)))
	}
	r.out.Record(event.KindOrder, "usage_reported", report.ID, fields...)
}

func (r *Recorder) lease(subject, change string, term int64) {
	r.out.Record(event.KindLease, "lease_"+change, offset(term), event.F("subject", subject))
}

func (r *Recorder) intentClosed(domain string, c order.Closed) {
	r.out.Record(event.KindOrder, "intent_closed", c.Intent.ID.String(),
		event.F("failure_domain", domain), event.F("target", c.Intent.Target), event.F("result", string(c.Result)))
}

func (r *Recorder) orderSent(domain string, o order.Send, result order.AnswerResult, err error) {
	fields := []event.Field{
		event.F("failure_domain", domain),
		event.F("target", o.Target.ID),
		event.F("command", commandText(o.Command)),
		event.F("fence", offset(o.Fence)),
		event.F("result", answerText(result)),
	}
	if err != nil {
		fields = append(fields, event.F("error", errorText(err)))
	}
	r.out.Record(event.KindOrder, "order_sent", o.ID, fields...)
}

func commandText(c order.Command) string {
	parts := []string{c.Name, c.Role, c.Model, c.Version, c.Adapter}
	if c.Name == "" {
		parts = []string{"servers", strconv.Itoa(c.OnDemand), strconv.Itoa(c.Cheap)}
	}
	return strings.TrimRight(strings.Join(parts, " "), " ")
}

func answerText(r order.AnswerResult) string {
	switch r {
	case order.AnswerDone:
		return "done"
	case order.AnswerRefused:
		return "refused"
	case order.AnswerStale:
		return "stale"
	case order.AnswerNotSent:
		return "not_sent"
	}
	return "unknown"
}

func offset(n int64) string { return strconv.FormatInt(n, 10) }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
