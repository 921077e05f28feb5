package event

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hlc"
)

// writeLog returns the log that a process writes for the given events, which happen
// one second apart.
func writeLog(t *testing.T, process string, start time.Time, events ...Event) string {
	t.Helper()
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	now := start
	r := NewRecorder(hlc.New(func() time.Time { now = now.Add(time.Second); return now }), process, nil, logger)
	for _, e := range events {
		r.Record(e.Kind, e.What, e.ID, e.Fields...)
	}
	r.Close()
	return out.String()
}

var explainStart = time.UnixMilli(1_700_000_000_000)

func serverLine(id, role string) Event {
	return Event{Kind: KindConfig, What: "server", ID: id, Fields: []Field{F("role", role)}}
}

func requestLine(what, id string, fields ...Field) Event {
	return Event{Kind: KindRequest, What: what, ID: id, Fields: fields}
}

// explainLogs merges the logs and explains the request with the given ID.
func explainLogs(id string, logs ...string) (Explanation, []error) {
	var sources []Source
	for _, text := range logs {
		sources = append(sources, Source{Name: "log", Reader: strings.NewReader(text)})
	}
	events, problems := Merge(sources...)
	return Explain(events, id), problems
}

// Guards against an explanation that leaves out steps of a request, or that shows
// the state of a server as another process or a later line reported it.
func TestExplainShowsStepsWithKnownStatesOfTheirProcess(t *testing.T) {
	g := NewWithT(t)
	a := writeLog(t, "vm-a", explainStart,
		serverLine("s-1", "decode"),
		requestLine("placed", "r1", F("server", "s-1"), F("waited", "2s"), F("left", "1s")),
		Event{Kind: KindFault, What: "store_away"},
		requestLine("retried", "r1", F("server", "s-1"), F("reason", "broken")),
		requestLine("served", "r2", F("server", "s-1")),
		serverLine("s-1", "prefill"),
		requestLine("failed", "r1", F("reason", "retry_budget"), F("server", "s-1")))
	b := writeLog(t, "vm-b", explainStart, serverLine("s-1", "other"))
	explanation, problems := explainLogs("r1", a, b)
	g.Expect(problems).To(BeEmpty())
	g.Expect(explanation.Missing).To(BeEmpty())
	g.Expect(explanation.Steps).To(HaveLen(3))
	g.Expect(explanation.Steps[0].KnownStates).To(HaveLen(1))
	g.Expect(explanation.Steps[0].KnownStates[0].Event.Field("role")).To(Equal("decode"))
	g.Expect(explanation.Steps[0].KnownStates[0].Age).To(Equal(time.Second))
	g.Expect(explanation.Steps[2].KnownStates[0].Event.Field("role")).To(Equal("prefill"))
	g.Expect(explanation.NearbyFaults).To(HaveLen(1))
	g.Expect(explanation.Cause()).To(Equal("retry_budget: the last attempt failed and the retry budget was used up; failed attempts: s-1 broken"))
}

// Guards against a cause that names a slow server for a request that still waited
// for a server at its deadline, and the reverse.
func TestCauseOfPassedDeadline(t *testing.T) {
	cases := map[string]struct {
		steps []Event
		want  string
	}{
		"held": {
			[]Event{requestLine("failed", "r", F("reason", "deadline"), F("waited", "3s"))},
			"deadline: the request waited for a server until its deadline, 3s",
		},
		"slow server": {
			[]Event{
				requestLine("placed", "r", F("server", "s-1"), F("waited", "2ms"), F("left", "3s")),
				requestLine("failed", "r", F("reason", "client_left"), F("left", "-1ms"), F("first_byte", "800ms"), F("events", "9"), F("silent", "1s")),
			},
			"deadline: server s-1 got the request after 2ms of waiting with 3s left, and had not finished its answer (first byte after 800ms, 9 events, the last one 1s before) at the deadline",
		},
		"client left early": {
			[]Event{requestLine("failed", "r", F("reason", "client_left"), F("left", "2s"))},
			"client_left: the client closed its connection before the answer was complete",
		},
		"served late": {
			[]Event{requestLine("served", "r", F("server", "s-1"), F("status", "200"), F("waited", "2s"), F("took", "3s"))},
			"answered by server s-1 with status 200, 2s of 3s spent on waiting for a server",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			explanation, _ := explainLogs("r", writeLog(t, "vm-a", explainStart, c.steps...))
			NewWithT(t).Expect(explanation.Cause()).To(Equal(c.want))
		})
	}
}

// Guards against a malformed log line that hides the other lines, and against an
// explanation that looks complete although lines are missing.
func TestExplainReportsMissingLines(t *testing.T) {
	placed := requestLine("placed", "r", F("server", "s-1"), F("waited", "2ms"))
	served := requestLine("served", "r", F("server", "s-1"))
	whole := writeLog(t, "vm-a", explainStart, placed, served)
	t.Run("cut", func(t *testing.T) {
		g := NewWithT(t)
		explanation, problems := explainLogs("r", whole[:len(whole)-8])
		g.Expect(problems).To(HaveLen(1))
		g.Expect(errors.Is(problems[0], ErrMalformed)).To(BeTrue())
		g.Expect(explanation.Steps).To(HaveLen(1))
		g.Expect(explanation.Missing).To(ConsistOf(ContainSubstring("the end of the request: the log of vm-a ends 0s after")))
		g.Expect(explanation.Cause()).To(ContainSubstring("unknown"))
	})
	t.Run("interleaved", func(t *testing.T) {
		g := NewWithT(t)
		// Another process wrote into the middle of the second line, and a log
		// collector added a prefix to the first.
		other := strings.TrimSpace(writeLog(t, "vm-b", explainStart, serverLine("s-9", "decode")))
		lines := strings.SplitAfter(whole, "\n")
		explanation, problems := explainLogs("r", "12.5 host "+lines[0]+lines[1][:40]+other+"\n"+lines[1])
		g.Expect(problems).To(HaveLen(1))
		g.Expect(explanation.Steps).To(HaveLen(2))
		g.Expect(explanation.Missing).To(BeEmpty())
	})
	t.Run("unknown id", func(t *testing.T) {
		g := NewWithT(t)
		explanation, _ := explainLogs("other", whole)
		g.Expect(explanation.Steps).To(BeEmpty())
		g.Expect(explanation.Missing).To(ConsistOf(ContainSubstring("no line names the request among 2 lines of 1 processes")))
	})
	t.Run("dropped lines", func(t *testing.T) {
		dropped := Event{Kind: KindFault, What: "events_dropped", Fields: []Field{F("dropped", "7")}}
		explanation, _ := explainLogs("r", writeLog(t, "vm-a", explainStart, placed, dropped))
		NewWithT(t).Expect(explanation.Missing).To(ContainElement("vm-a dropped 7 lines"))
	})
	t.Run("clock went back", func(t *testing.T) {
		g := NewWithT(t)
		restarted := writeLog(t, "vm-a", explainStart.Add(-time.Hour), serverLine("s-1", "decode"))
		explanation, problems := explainLogs("r", whole+restarted)
		g.Expect(problems).To(HaveLen(1))
		g.Expect(problems[0].Error()).To(ContainSubstring("the clock of vm-a went back by 1h0m1s"))
		g.Expect(explanation.Steps).To(HaveLen(2))
	})
}

// Guards against log lines that are decoded differently from what was recorded.
func TestLogLinesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	want := requestLine("turned_away", "a b=c \"quoted\"", F("path", "/x y"), F("empty", ""))
	events, problems := Merge(Source{"log", strings.NewReader(writeLog(t, "vm-a", explainStart, want))})
	g.Expect(problems).To(BeEmpty())
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].ID).To(Equal(want.ID))
	g.Expect(events[0].Fields).To(Equal(want.Fields))
}

// FuzzDecodeLog guards against panics and against incomplete lines that are decoded
// as events.
func FuzzDecodeLog(f *testing.F) {
	f.Add([]byte(`level=info at=1700000000000.0 process=vm-a kind=request what=placed id=r server=s-1 time=2026-01-01T00:00:00Z`))
	f.Add([]byte(`level=warn at=x process="vm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := DecodeLog(line)
		if err != nil {
			return
		}
		if e.Process == "" || e.What == "" || e.Kind == "" {
			t.Fatalf("%q was decoded as an event without process, name or kind", line)
		}
		// A killed process leaves a line without its end.
		for end := range len(bytes.TrimRight(line, "\r\n\t \"")) - len("00:00Z") {
			if _, err := DecodeLog(line[:end]); err == nil && !bytes.Contains(line[:end], []byte(logEnd)) {
				t.Fatalf("the first %d bytes of %q were decoded as a whole line", end, line)
			}
		}
	})
}
