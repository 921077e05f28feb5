package dispatch

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/event"
)

// told returns the lines of the log, as "what key=value".
func (f *fakes) told(g Gomega) []event.Event {
	lines, problems := event.Merge(event.Source{Name: "log", Reader: strings.NewReader(f.log.String())})
	g.Expect(problems).To(BeEmpty())
	return lines
}

// Guards against a request whose way can't be followed afterwards: each attempt
// and each end has its line, with what decided it.
func TestEveryRequestLeavesItsWayInTheLog(t *testing.T) {
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
			lines := c.fakes.told(g)
			var whats []string
			for _, e := range lines {
				g.Expect(e.ID).To(Equal("r1"))
				whats = append(whats, e.What)
			}
			g.Expect(whats).To(Equal(c.whats))
			story := event.Explain(lines, "r1")
			g.Expect(story.Missing).To(BeEmpty())
			g.Expect(story.Cause()).To(Equal(c.cause))
		})
	}
}

// Guards against a broken stream of which nobody can tell how far it came.
func TestBrokenStreamTellsHowFarItCame(t *testing.T) {
	g := NewWithT(t)
	f := fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}}}
	f.serve(oneShot)
	lines := f.told(g)
	last := lines[len(lines)-1]
	g.Expect(last.What).To(Equal("failed"))
	g.Expect(last.Field("events")).To(Equal("2"))
	g.Expect(last.Field("broken")).To(Equal("true"))
	g.Expect(last.Field("longest_gap")).NotTo(BeEmpty())
}
