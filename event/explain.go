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
	// aroundBefore is the time before a request from which on the faults of its
	// processes are shown: a store that is lost is noticed after 2.2 s.
	aroundBefore = 3 * time.Second
	// maxAround bounds the faults that are shown around a request.
	maxAround = 20
)

// Story is what the logs tell of one request.
type Story struct {
	ID string
	// Steps are the lines that name the request, in order.
	Steps []Step
	// Around are the faults of the same processes shortly before and during the
	// request, at most 20.
	Around []Event
	// Missing tells what the logs do not hold.
	Missing []string
}

// Step is one line of a request with what its process believed.
type Step struct {
	Event   Event
	Beliefs []Belief
}

// Belief is the last line by which a process learnt of something that decided a
// step.
type Belief struct {
	Event Event
	// Age is the time from the line to the step.
	Age time.Duration
}

// Explain collects what events tell of a request. The events are in the order
// of Merge.
func Explain(events []Event, id string) Story {
	s := Story{ID: id}
	believed := beliefs{}
	for _, e := range events {
		if e.Kind == KindRequest && e.ID == id {
			s.Steps = append(s.Steps, Step{Event: e, Beliefs: believed.of(e)})
			continue
		}
		believed.learn(e)
	}
	if len(s.Steps) > 0 {
		s.Around = around(events, s.Steps)
	}
	s.Missing = missing(events, s.Steps)
	return s
}

// beliefs holds the last line on each subject by process.
type beliefs map[string]map[string]Event

// learn notes what a line says of a subject: a server, the configuration, or
// the members.
func (b beliefs) learn(e Event) {
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
	own := b[e.Process]
	if own == nil {
		own = map[string]Event{}
		b[e.Process] = own
	}
	own[subject] = e
}

// of returns what the process of a step believed of the subjects that the step
// names.
func (b beliefs) of(e Event) []Belief {
	var out []Belief
	add := func(subject string) {
		if known, ok := b[e.Process][subject]; ok {
			out = append(out, Belief{Event: known, Age: e.At.Time().Sub(known.At.Time())})
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

// around returns the faults of the processes of a request.
func around(events []Event, steps []Step) []Event {
	processes := map[string]bool{}
	for _, s := range steps {
		processes[s.Event.Process] = true
	}
	from := steps[0].Event.At.Time().Add(-aroundBefore)
	to := steps[len(steps)-1].Event.At.Time()
	var out []Event
	for _, e := range events {
		if !processes[e.Process] || e.At.Time().Before(from) || e.At.Time().After(to) || e.Kind == KindRequest {
			continue
		}
		if (e.Kind == KindFault || e.Is("stopping", "started")) && len(out) < maxAround {
			out = append(out, e)
		}
	}
	return out
}

// missing tells what can't be known from the events.
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

// causes says in words what the reason of a failed request means.
var causes = map[string]string{
	"no_config":       "the process had read no configuration yet",
	"no_route":        "no route of the configuration matches host and path",
	"unknown_key":     "no customer of the configuration has the key",
	"no_service":      "the route names no service of the configuration",
	"body_not_read":   "the body was larger than the limit, broken off, or badly framed",
	"no_request_id":   "the request carried no id",
	"no_server":       "the process knew no usable server of the service, or all of them had failed the request",
	"server_left":     "the server left between its choice and the sending",
	"retry_budget":    "the last attempt failed and the retry budget was used up",
	"client_left":     "the client closed its connection before the answer was complete",
	"client_write":    "the client's connection broke while the answer was written",
	"connect":         "no connection to the server could be made",
	"broken":          "the server's connection broke, and the request may not be sent again",
	"silent":          "the server sent nothing for too long, and the request may not be sent again",
	"garbage":         "the server's answer was unreadable, and the request may not be sent again",
	"foreign_answer":  "the server's answer carried another request's id or signature",
	"misdirected":     "another server than the one that was chosen answered",
	"server_error":    "the server answered with an error and no attempt was left",
	"not_resumed":     "the stream broke off and the server that followed did not go on with it",
	"empty_stream":    "the server ended the stream without an event",
	"pool_deadline":   "the scheduler predicted that the first token would come after the deadline",
	"pool_overloaded": "too many requests waited in the pool",
	"pool_no_runner":  "the pool had no engine that takes work",
	"pool_impossible": "no engine can serve the request, whatever the load",
}

// Cause names the cause of the request's end in one sentence.
func (s Story) Cause() string {
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

// meaning says in words what a reason means.
func meaning(reason string) string {
	if text := causes[reason]; text != "" {
		return text
	}
	if of, ok := strings.CutPrefix(reason, "prefill_"); ok {
		return "reading the prompt on an engine of its own failed: " + meaning(of)
	}
	if status, ok := strings.CutPrefix(reason, "rejected_"); ok {
		return "the server turned the request away with status " + status + " before it ran"
	}
	return "see the lines below"
}

// slowest names the longest part of a served request.
func (s Story) slowest(end Event) string {
	parts := map[string]string{"waiting for a place": "waited", "reading the prompt": "prefill", "the first byte": "first_byte"}
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

// leftNear is the time before a request's deadline within which its client may
// give up by its own clock.
const leftNear = 50 * time.Millisecond

// atDeadline reports whether a request ended at its deadline.
func atDeadline(end Event) bool {
	left, err := time.ParseDuration(end.Field("left"))
	return err == nil && left < leftNear
}

// deadline tells where a request was when its deadline passed.
func (s Story) deadline(end Event) string {
	at := -1
	for i, step := range s.Steps {
		if step.Event.Is("placed") {
			at = i
		}
	}
	if at < 0 {
		return "deadline: the request waited for a place until its deadline, " + end.Field("waited")
	}
	placed := s.Steps[at].Event
	for _, step := range s.Steps[at:] {
		if step.Event.Is("retried") {
			return "deadline: the request waited for another place until its deadline" + s.failures()
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

// failures names the attempts that failed.
func (s Story) failures() string {
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

// WriteText writes the story as text.
func (s Story) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\ncause: %s\n", s.ID, s.Cause())
	for _, step := range s.Steps {
		fmt.Fprintf(&b, "%s  %s  %s\n", step.Event.At.Time().Format(timeLayout), step.Event.Process, step.Event.Describe())
		for _, belief := range step.Beliefs {
			fmt.Fprintf(&b, "    believed for %s: %s\n", belief.Age, belief.Event.Describe())
		}
	}
	if len(s.Around) > 0 {
		b.WriteString("faults of the same processes:\n")
		for _, e := range s.Around {
			fmt.Fprintf(&b, "    %s  %s  %s\n", e.At.Time().Format(timeLayout), e.Process, e.Describe())
		}
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write explanation")
}
