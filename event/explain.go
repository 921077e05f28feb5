package event

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// faultLeadTime is the time before the first line of a request from which on
	// faults are included: the loss of a store is detected only after 2.2 s.
	faultLeadTime = 3 * time.Second
	// maxFaults is the maximum number of faults in an explanation.
	maxFaults = 20
)

// Explanation describes the course of one request as recorded in logs or
// timelines.
type Explanation struct {
	ID string
	// Steps are the events of the request, in order.
	Steps []Step
	// NearbyFaults are the faults, starts and stops of the same processes shortly
	// before and during the request, at most maxFaults.
	NearbyFaults []Event
	// Missing describes the events that the logs lack.
	Missing []string
}

// Step is one event of a request with the state that its process knew at that
// time.
type Step struct {
	Event       Event
	KnownStates []KnownState
}

// KnownState is the latest event by which a process learned the state of a subject
// that a step depends on: a server, the configuration or the members. The real
// state may have changed since.
type KnownState struct {
	Event Event
	// Age is the time from that event to the step.
	Age time.Duration
}

// Explain collects the events of a request. events must be in order, as Merge
// returns them.
func Explain(events []Event, id string) Explanation {
	s := Explanation{ID: id}
	latest := knownStates{}
	for _, e := range events {
		if e.Kind == KindRequest && e.ID == id {
			s.Steps = append(s.Steps, Step{Event: e, KnownStates: latest.relevantTo(e)})
			continue
		}
		latest.record(e)
	}
	if len(s.Steps) > 0 {
		s.NearbyFaults = nearbyFaults(events, s.Steps)
	}
	s.Missing = missing(events, s.Steps)
	return s
}

// knownStates holds the latest event on each subject, by process and subject.
type knownStates map[string]map[string]Event

// record stores an event that reports the state of a subject: a server, the
// configuration, or the members. It ignores other events.
func (s knownStates) record(e Event) {
	subject := ""
	switch {
	case e.Is("server", "server_gone", "server_down"):
		subject = "server " + e.ID
	case e.Is("in_force"):
		subject = "config " + e.ID
	case e.Is("members_changed"):
		subject = "members"
	default:
		return
	}
	bySubject := s[e.Process]
	if bySubject == nil {
		bySubject = map[string]Event{}
		s[e.Process] = bySubject
	}
	bySubject[subject] = e
}

// relevantTo returns the states known to the process of e on the subjects that the
// fields of e name.
func (s knownStates) relevantTo(e Event) []KnownState {
	var out []KnownState
	add := func(subject string) {
		if known, ok := s[e.Process][subject]; ok {
			out = append(out, KnownState{Event: known, Age: e.At.Time().Sub(known.At.Time())})
		}
	}
	for _, field := range []string{"server", "prefill", "fetch"} {
		if id := e.Field(field); id != "" {
			add("server " + id)
		}
	}
	if version := e.Field("config"); version != "" {
		add("config " + version)
	}
	if e.Field("scheduler") != "" {
		add("members")
	}
	return out
}

// nearbyFaults returns the faults, starts and stops of the processes of a request,
// from faultLeadTime before its first step to its last step.
func nearbyFaults(events []Event, steps []Step) []Event {
	processes := map[string]bool{}
	for _, s := range steps {
		processes[s.Event.Process] = true
	}
	from := steps[0].Event.At.Time().Add(-faultLeadTime)
	to := steps[len(steps)-1].Event.At.Time()
	var out []Event
	for _, e := range events {
		if !processes[e.Process] || e.At.Time().Before(from) || e.At.Time().After(to) || e.Kind == KindRequest {
			continue
		}
		if (e.Kind == KindFault || e.Is("stopping", "started")) && len(out) < maxFaults {
			out = append(out, e)
		}
	}
	return out
}

// missing describes the gaps in the events: dropped lines, and a request without
// its first or last event.
func missing(events []Event, steps []Step) []string {
	var out []string
	last, dropped := map[string]Event{}, map[string]string{}
	for _, e := range events {
		last[e.Process] = e
		if e.Is("events_dropped") {
			dropped[e.Process] = e.Field("dropped")
		}
	}
	for _, process := range slices.Sorted(maps.Keys(dropped)) {
		out = append(out, fmt.Sprintf("%s dropped %s lines", process, dropped[process]))
	}
	switch {
	case len(steps) == 0:
		out = append(out, fmt.Sprintf("no line names the request among %d lines of %d processes: its id may be wrong, its process may not be among the files, or its lines were dropped", len(events), len(last)))
		return out
	case !steps[0].Event.Is("placed", "turned_away", "failed"):
		out = append(out, "the first lines of the request")
	}
	end := steps[len(steps)-1].Event
	if !end.Is("served", "failed", "turned_away") {
		out = append(out, fmt.Sprintf("the end of the request: the log of %s ends %s after its last line",
			end.Process, last[end.Process].At.Time().Sub(end.At.Time())))
	}
	return out
}

// causes maps the reason of a failed request to its explanation.
var causes = map[string]string{
	"no_config":       "the process had read no configuration yet",
	"no_route":        "no route of the configuration matches host and path",
	"unknown_key":     "no customer of the configuration has the key",
	"no_service":      "the route names no service of the configuration",
	"body_not_read":   "the body was larger than the limit, incomplete, or badly framed",
	"no_request_id":   "the request carried no id",
	"bad_target":      "the request target can't be passed on unchanged",
	"customer_limit":  "the customer's limit over all daemons was reached",
	"no_server":       "the process knew no usable server of the service, or all of them had failed the request",
	"server_limits":   "all servers that were left had named a limit on requests, and had got as many",
	"server_left":     "the server left after it was chosen and before the request was sent",
	"quarantined":     "a part of the prompt has crashed several servers, and requests with it are not sent for a time",
	"retry_budget":    "the last attempt failed and the retry budget was used up",
	"client_left":     "the client closed its connection before the answer was complete",
	"client_write":    "the client's connection broke while the answer was written",
	"connect":         "no connection to the server could be made",
	"broken":          "the server's connection broke, and the request may not be sent again",
	"silent":          "the server sent nothing for too long, and the request may not be sent again",
	"malformed":       "the server's answer was malformed, and the request may not be sent again",
	"garbage":         "the server's answer was malformed, and the request may not be sent again", // Logs of earlier releases.
	"foreign_answer":  "the server's answer carried another request's id or signature",
	"misdirected":     "a server other than the chosen one answered",
	"server_error":    "the server answered with an error and no attempt was left",
	"not_resumed":     "the stream broke off and the next server did not resume it",
	"empty_stream":    "the server ended the stream without an event",
	"pool_deadline":   "the scheduler predicted that the first token would come after the deadline",
	"pool_overloaded": "too many requests waited in the pool",
	"pool_no_runner":  "the pool had no engine that takes work",
	"pool_impossible": "no engine can serve the request, whatever the load",

	"no_server_of_version":  "no usable server had the software version at which the stream began",
	"version_unknown":       "it was not known at which software version the stream began that the client took up",
	"version_not_confirmed": "the store had not confirmed the software version of the chosen server",
	"other_version":         "the chosen server had another software version than the one at which the stream began",
}

// Cause returns the result of the request and its cause in one sentence.
func (s Explanation) Cause() string {
	if len(s.Steps) == 0 {
		return "unknown: no line names the request"
	}
	end := s.Steps[len(s.Steps)-1].Event
	reason := end.Field("reason")
	switch {
	case end.Is("served"):
		return "answered by server " + end.Field("server") + " with status " + end.Field("status") + s.slowest(end) + s.failures()
	case !end.Is("failed", "turned_away"):
		return "unknown: the end of the request is missing"
	case reason == "deadline", reason == "client_left" && atDeadline(end):
		return s.deadline(end)
	}
	return reason + ": " + meaning(reason) + s.failures()
}

// meaning returns the explanation of a reason.
func meaning(reason string) string {
	if text := causes[reason]; text != "" {
		return text
	}
	if prefillReason, ok := strings.CutPrefix(reason, "prefill_"); ok {
		return "prefill on a separate engine failed: " + meaning(prefillReason)
	}
	if status, ok := strings.CutPrefix(reason, "rejected_"); ok {
		return "the server rejected the request with status " + status + " before running it"
	}
	return "see the lines below"
}

// slowest returns the longest part of a served request, or nothing if no part took
// at least half of its time.
func (s Explanation) slowest(end Event) string {
	parts := map[string]string{"waiting for a server": "waited", "the prefill": "prefill", "the first byte": "first_byte"}
	longest, name := time.Duration(0), ""
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		d, err := time.ParseDuration(end.Field(parts[part]))
		if err == nil && d > longest && part != "the first byte" {
			longest, name = d, part
		}
	}
	took, err := time.ParseDuration(end.Field("took"))
	if name == "" || err != nil || longest < took/2 {
		return ""
	}
	return fmt.Sprintf(", %s of %s spent on %s", longest, took, name)
}

// deadlineTolerance is the time before the deadline of a request from which on a
// closed client connection counts as a passed deadline: the client measures the
// deadline with its local clock.
const deadlineTolerance = 50 * time.Millisecond

// atDeadline reports whether a request ended less than deadlineTolerance before its
// deadline, or after it.
func atDeadline(end Event) bool {
	left, err := time.ParseDuration(end.Field("left"))
	return err == nil && left < deadlineTolerance
}

// deadline describes the state of a request when its deadline passed: waiting for
// a server, or waiting for the answer of one.
func (s Explanation) deadline(end Event) string {
	at := -1
	for i, step := range s.Steps {
		if step.Event.Is("placed") {
			at = i
		}
	}
	if at < 0 {
		return "deadline: the request waited for a server until its deadline, " + end.Field("waited")
	}
	placed := s.Steps[at].Event
	for _, step := range s.Steps[at:] {
		if step.Event.Is("retried") {
			return "deadline: the request waited for another server until its deadline" + s.failures()
		}
	}
	state := "had not answered"
	if n := end.Field("events"); n != "" {
		state = fmt.Sprintf("had not finished its answer (first byte after %s, %s events, the last one %s before)",
			end.Field("first_byte"), n, end.Field("silent"))
	}
	return fmt.Sprintf("deadline: server %s got the request after %s of waiting with %s left, and %s at the deadline%s",
		placed.Field("server"), placed.Field("waited"), placed.Field("left"), state, s.failures())
}

// failures lists the server and reason of each failed attempt.
func (s Explanation) failures() string {
	var out []string
	for _, step := range s.Steps {
		e := step.Event
		if e.Is("retried") {
			out = append(out, e.Field("server")+" "+e.Field("reason"))
		}
		if cause := e.Field("cause"); cause != "" && cause != e.Field("reason") {
			out = append(out, e.Field("server")+" "+cause)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "; failed attempts: " + strings.Join(out, ", ")
}

// WriteText writes the explanation as text.
func (s Explanation) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\ncause: %s\n", s.ID, s.Cause())
	for _, step := range s.Steps {
		fmt.Fprintf(&b, "%s  %s  %s\n", step.Event.At.Time().Format(timeLayout), step.Event.Process, step.Event.Describe())
		for _, known := range step.KnownStates {
			fmt.Fprintf(&b, "    known for %s: %s\n", known.Age, known.Event.Describe())
		}
	}
	if len(s.NearbyFaults) > 0 {
		b.WriteString("faults of the same processes:\n")
		for _, e := range s.NearbyFaults {
			fmt.Fprintf(&b, "    %s  %s  %s\n", e.At.Time().Format(timeLayout), e.Process, e.Describe())
		}
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write explanation")
}
