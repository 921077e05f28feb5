package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
)

var crashing = &Prompt{Parts: []Part{{ID: "first"}, {ID: "bad"}, {ID: "own"}}}

// Guards against a request that is sent although a part of its prompt is known to
// crash servers, also if that becomes known while it waits or is prefilled.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	cases := map[string]struct {
		after      int
		placements int
		released   []string
	}{
		"at its arrival":     {0, 0, nil},
		"while it waits":     {1, 1, nil},
		"during the prefill": {2, 1, []string{"h-p"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), prefillOn: servers("p"), quarantinedAfter: c.after, budget: 5}
			f.servePrompt(draft, crashing)
			g.Expect(f.options).To(BeEmpty())
			g.Expect(f.placements).To(HaveLen(c.placements))
			g.Expect(f.results).To(HaveLen(c.placements))
			g.Expect(f.released).To(Equal(c.released))
			g.Expect(f.answer.refused.Reason).To(Equal(reasonQuarantined))
			g.Expect(f.answer.refused.Run).To(Equal(backend.RunNever))
			g.Expect(f.answer.refused.RetryAfter).To(Equal(time.Minute))
		})
	}
}

// Guards against a refusal that claims that the request did not run after an attempt
// that may have run.
func TestQuarantineAfterAnAttemptIsNoRefusal(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), runs: []any{unknown()}, quarantinedAfter: 3, budget: 5}
	f.servePrompt(lookup, crashing)
	g.Expect(f.options).To(HaveLen(1))
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunUnknown))
}

// Guards against crashes that are not noticed, and against servers that are suspected
// although they rejected the request or never got it.
func TestOnlyBrokenConnectionsAreReported(t *testing.T) {
	lost := &AttemptError{Run: backend.RunUnknown, Reason: "broken", Sent: true, Down: true, Lost: true}
	cases := map[string]struct {
		run  any
		lost []string
	}{
		"before the answer": {lost, []string{"a"}},
		"in the answer":     {&fakeReply{status: 200, events: events("1"), err: broken}, []string{"a"}},
		"rejected":          {rejected(), nil},
		"not sent":          {unsent(), nil},
		"without an event":  {&fakeReply{status: 200}, []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), runs: []any{c.run, &fakeReply{status: 200, events: events("2")}}, quarantinedAfter: 99, budget: 5}
			f.servePrompt(draft, crashing)
			g.Expect(f.lost).To(Equal(c.lost))
			if name == "in the answer" {
				g.Expect(f.flowed).To(Equal([]bool{true}))
			}
			g.Expect(f.answer.finished).To(BeTrue())
			g.Expect(f.served).To(Equal(1))
		})
	}
}

// Guards against sound requests that count as the cause because they were prefilled on
// engines that ended, and against lost runs that count as prefills.
func TestLostPrefillIsReportedAsSuch(t *testing.T) {
	g := NewWithT(t)
	lost := &AttemptError{Run: backend.RunUnknown, Reason: "broken", Sent: true, Down: true, Lost: true}
	run := *lost
	f := &fakes{servers: servers("a", "b"), prefillOn: servers("p", "q"), prefills: []*AttemptError{lost}, runs: []any{&run}, quarantinedAfter: 99, budget: 5}
	f.servePrompt(draft, crashing)
	g.Expect(f.lost).To(Equal([]string{"p", "b"}))
	g.Expect(f.lostPrefill).To(Equal([]bool{true, false}))
}
