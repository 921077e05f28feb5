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

// logOf returns the log that a process writes, one second after the other.
func logOf(t *testing.T, process string, start time.Time, events ...Event) string {
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

func explained(id string, logs ...string) (Story, []error) {
	var sources []Source
	for _, text := range logs {
		sources = append(sources, Source{Name: "log", Reader: strings.NewReader(text)})
	}
	events, problems := Merge(sources...)
	return Explain(events, id), problems
}

// Guards against a way of a request that leaves out steps, or that shows what
// another process or a later line says of a server.
func TestExplainShowsStepsWithWhatTheProcessBelieved(t *testing.T) {
	g := NewWithT(t)
	a := logOf(t, "vm-a", explainStart,
		serverLine("s-1", "decode"),
		requestLine("placed", "r1", F("server", "s-1"), F("waited", "2s"), F("left", "1s")),
		Event{Kind: KindFault, What: "store_away"},
		requestLine("retried", "r1", F("server", "s-1"), F("reason", "broken")),
		requestLine("served", "r2", F("server", "s-1")),
		serverLine("s-1", "prefill"),
		requestLine("failed", "r1", F("reason", "retry_budget"), F("server", "s-1")))
	b := logOf(t, "vm-b", explainStart, serverLine("s-1", "other"))
	story, problems := explained("r1", a, b)
	g.Expect(problems).To(BeEmpty())
	g.Expect(story.Missing).To(BeEmpty())
	g.Expect(story.Steps).To(HaveLen(3))
	g.Expect(story.Steps[0].Beliefs).To(HaveLen(1))
	g.Expect(story.Steps[0].Beliefs[0].Event.Field("role")).To(Equal("decode"))
	g.Expect(story.Steps[0].Beliefs[0].Age).To(Equal(time.Second))
	g.Expect(story.Steps[2].Beliefs[0].Event.Field("role")).To(Equal("prefill"))
	g.Expect(story.Around).To(HaveLen(1))
	g.Expect(story.Cause()).To(Equal("retry_budget: the last attempt failed and the retry budget was used up; failed attempts: s-1 broken"))
}

// Guards against a cause that blames a server for a request that waited for a
// place, and the other way round.
func TestCauseOfPassedDeadlines(t *testing.T) {
	cases := map[string]struct {
		steps []Event
		want  string
	}{
		"held": {
			[]Event{requestLine("failed", "r", F("reason", "deadline"), F("waited", "3s"))},
			"deadline: the request waited for a place until its deadline, 3s",
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
			"answered by server s-1 with status 200, 2s of 3s spent on waiting for a place",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			story, _ := explained("r", logOf(t, "vm-a", explainStart, c.steps...))
			NewWithT(t).Expect(story.Cause()).To(Equal(c.want))
		})
	}
}

// Guards against a broken log that hides what the rest of it tells, and against
// an explanation that looks complete although lines are missing.
func TestExplainSaysWhatIsMissing(t *testing.T) {
	placed := requestLine("placed", "r", F("server", "s-1"), F("waited", "2ms"))
	served := requestLine("served", "r", F("server", "s-1"))
	whole := logOf(t, "vm-a", explainStart, placed, served)
	t.Run("cut", func(t *testing.T) {
		g := NewWithT(t)
		story, problems := explained("r", whole[:len(whole)-8])
		g.Expect(problems).To(HaveLen(1))
		g.Expect(errors.Is(problems[0], ErrMalformed)).To(BeTrue())
		g.Expect(story.Steps).To(HaveLen(1))
		g.Expect(story.Missing).To(ConsistOf(ContainSubstring("the end of the request: the log of vm-a ends 0s after")))
		g.Expect(story.Cause()).To(ContainSubstring("unknown"))
	})
	t.Run("interleaved", func(t *testing.T) {
		g := NewWithT(t)
		// Another process wrote into the middle of the second line, and a collector
		// wrote its own prefix.
		other := strings.TrimSpace(logOf(t, "vm-b", explainStart, serverLine("s-9", "decode")))
		lines := strings.SplitAfter(whole, "\n")
		story, problems := explained("r", "12.5 host "+lines[0]+lines[1][:40]+other+"\n"+lines[1])
		g.Expect(problems).To(HaveLen(1))
		g.Expect(story.Steps).To(HaveLen(2))
		g.Expect(story.Missing).To(BeEmpty())
	})
	t.Run("unknown id", func(t *testing.T) {
		g := NewWithT(t)
		story, _ := explained("other", whole)
		g.Expect(story.Steps).To(BeEmpty())
		g.Expect(story.Missing).To(ConsistOf(ContainSubstring("no line names the request among 2 lines of 1 processes")))
	})
	t.Run("dropped lines", func(t *testing.T) {
		dropped := Event{Kind: KindFault, What: "events_dropped", Fields: []Field{F("dropped", "7")}}
		story, _ := explained("r", logOf(t, "vm-a", explainStart, placed, dropped))
		NewWithT(t).Expect(story.Missing).To(ContainElement("vm-a dropped 7 lines"))
	})
	t.Run("clock went back", func(t *testing.T) {
		g := NewWithT(t)
		restarted := logOf(t, "vm-a", explainStart.Add(-time.Hour), serverLine("s-1", "decode"))
		story, problems := explained("r", whole+restarted)
		g.Expect(problems).To(HaveLen(1))
		g.Expect(problems[0].Error()).To(ContainSubstring("the clock of vm-a went back by 1h0m1s"))
		g.Expect(story.Steps).To(HaveLen(2))
	})
}

// Guards against log lines that read differently than they were written.
func TestLogLinesReadBack(t *testing.T) {
	g := NewWithT(t)
	want := requestLine("turned_away", "a b=c \"quoted\"", F("path", "/x y"), F("empty", ""))
	events, problems := Merge(Source{"log", strings.NewReader(logOf(t, "vm-a", explainStart, want))})
	g.Expect(problems).To(BeEmpty())
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].ID).To(Equal(want.ID))
	g.Expect(events[0].Fields).To(Equal(want.Fields))
}

// Guards against panics and against lines that are taken for events although
// their end is missing.
func FuzzDecodeLog(f *testing.F) {
	f.Add([]byte(`level=info at=1700000000000.0 process=vm-a kind=request what=placed id=r server=s-1 time=2026-01-01T00:00:00Z`))
	f.Add([]byte(`level=warn at=x process="vm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := DecodeLog(line)
		if err == nil && (e.Process == "" || e.What == "" || e.Kind == "") {
			t.Fatalf("%q is no event", line)
		}
	})
}
