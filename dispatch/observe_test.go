package dispatch

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/event"
)

// logEvents returns the logged events.
func (f *fakes) logEvents(g Gomega) []event.Event {
	lines, problems := event.Merge(event.Source{Name: "log", Reader: strings.NewReader(f.log.String())})
	g.Expect(problems).To(BeEmpty())
	return lines
}

// Guards against a request whose attempts can't be reconstructed from the log:
// each attempt and each outcome must be logged with its cause.
func TestEveryAttemptAndOutcomeIsLogged(t *testing.T) {
	cases := map[string]struct {
		fakes fakes
		whats []string
		cause string
	}{
		"served": {
			fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200, body: "x"}}},
			[]string{"placed", "served"},
			"answered by server a with status 200",
		},
		"served by the second": {
			fakes{servers: servers("a", "b"), runs: []any{rejected(), &fakeReply{status: 200}}, budget: 1},
			[]string{"placed", "retried", "placed", "served"},
			"answered by server b with status 200; failed attempts: a rejected_503",
		},
		"no budget": {
			fakes{servers: servers("a", "b"), runs: []any{unknown()}},
			[]string{"placed", "retried", "placed", "failed"},
			"retry_budget: the last attempt failed and the retry budget was used up; failed attempts: a broken",
		},
		"no server": {
			fakes{},
			[]string{"failed"},
			"no_server: the process knew no usable server of the service, or all of them had failed the request",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.fakes.serve(lookup)
			lines := c.fakes.logEvents(g)
			var whats []string
			for _, e := range lines {
				g.Expect(e.ID).To(Equal("r1"))
				whats = append(whats, e.What)
			}
			g.Expect(whats).To(Equal(c.whats))
			explanation := event.Explain(lines, "r1")
			g.Expect(explanation.Missing).To(BeEmpty())
			g.Expect(explanation.Cause()).To(Equal(c.cause))
		})
	}
}

// Guards against a broken stream whose log line doesn't say how many events were
// sent.
func TestBrokenStreamLogsItsProgress(t *testing.T) {
	g := NewWithT(t)
	f := fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}}}
	f.serve(oneShot)
	lines := f.logEvents(g)
	last := lines[len(lines)-1]
	g.Expect(last.What).To(Equal("failed"))
	g.Expect(last.Field("events")).To(Equal("2"))
	g.Expect(last.Field("broken")).To(Equal("true"))
	g.Expect(last.Field("longest_gap")).NotTo(BeEmpty())
}

// Guards against crashes of servers that can't be traced to the content of the
// requests: the lines of failed attempts must name the shared parts of the prompt.
func TestFailedAttemptsLogPromptParts(t *testing.T) {
	g := NewWithT(t)
	f := fakes{servers: servers("a", "b"), runs: []any{unknown(), unknown()}, budget: 1}
	f.servePrompt(lookup, &Prompt{Parts: []Part{{ID: "p1"}, {ID: "p2"}, {ID: "own"}}})
	parts := map[string]string{}
	for _, e := range f.logEvents(g) {
		parts[e.What] = e.Field("parts")
	}
	g.Expect(parts).To(HaveKeyWithValue("retried", "p1,p2"))
	g.Expect(parts).To(HaveKeyWithValue("failed", "p1,p2"))
}
