package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
)

// grantedOn counts the grants by runner and the refusals by reason.
func grantedOn(actions []Action, counts map[string]int) {
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			counts[a.Runner]++
		case Refused:
			counts[string(a.Reason)]++
		}
	}
}

// Guards against a runner that gets more requests than it has named while others are
// idle, and against a limit that stays after it was lifted.
func TestLimitedRunnerGetsNoMoreThanItNames(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{Runners: runnerList(2)})
	named := RunnerLimited{Runner: "r0", Limit: 2, Limited: true}
	p.Step(startTime, named)
	counts := map[string]int{}
	now := startTime
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			request := Request{ID: fmt.Sprint(now.UnixNano()), Entry: "e", Customer: "c", PromptTokens: 10, MaxTokens: 10}
			actions := append([]Action(nil), p.Step(now, GrantRequested{Request: request})...)
			grantedOn(actions, counts)
			for _, a := range actions {
				if granted, ok := a.(Granted); ok {
					p.Step(now, Released{Ticket: granted.Ticket, Tokens: 10})
					if granted.Runner == named.Runner {
						p.Step(now, named)
					}
				}
			}
		}
	}
	run(4 * time.Second)
	g.Expect(counts["r0"]).To(BeNumerically("<=", 2*4+2))
	g.Expect(counts["r0"]).To(BeNumerically(">=", 2*4*3/4), "most of the limit must be used")
	g.Expect(counts["r1"]).To(BeNumerically(">", 180))
	named = RunnerLimited{Runner: "r0"}
	p.Step(now, named)
	before := counts["r0"]
	run(time.Second)
	g.Expect(counts["r0"] - before).To(BeNumerically(">", 15))
}

// Guards against a request that waits until its deadline although it is known that no
// runner takes it until then, and against a Retry-After that is too early.
func TestRequestBeyondTheLimitsIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{Runners: runnerList(1)})
	p.Step(startTime, RunnerLimited{Runner: "r0", Limit: 0.5, Limited: true})
	request := Request{ID: "a", Entry: "e", Customer: "c", PromptTokens: 10, MaxTokens: 10, Deadline: startTime.Add(time.Second)}
	actions := p.Step(startTime, GrantRequested{Request: request})
	g.Expect(actions).To(HaveLen(1))
	refused := actions[0].(Refused)
	g.Expect(refused.Reason).To(Equal(ReasonDeadline))
	g.Expect(refused.RetryAfter).To(BeNumerically(">=", time.Second))
	request.ID, request.Deadline = "b", startTime.Add(5*time.Second)
	g.Expect(p.Step(startTime, GrantRequested{Request: request})).To(BeEmpty())
	counts := map[string]int{}
	grantedOn(p.Step(startTime.Add(2100*time.Millisecond), Tick{}), counts)
	g.Expect(counts["r0"]).To(Equal(1))
}

// Guards against a daemon beside the scheduler that places requests on a limited
// runner too.
func TestExcludedRunnerGetsNothing(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{Runners: runnerList(2)})
	p.Step(startTime, RunnerLimited{Runner: "r0", Limited: true, Excluded: true})
	counts := map[string]int{}
	for i := range 20 {
		request := Request{ID: fmt.Sprint(i), Entry: "e", Customer: "c", PromptTokens: 10, MaxTokens: 10}
		grantedOn(p.Step(startTime.Add(time.Second), GrantRequested{Request: request}), counts)
	}
	g.Expect(counts["r0"]).To(BeZero())
	g.Expect(counts["r1"]).To(Equal(20))
}

// Guards against a limited runner whose prefills for other runners are not counted.
func TestPrefillsCountTowardsTheLimit(t *testing.T) {
	g := NewWithT(t)
	list := runnerList(3)
	list[0].Role, list[1].Role, list[2].Role = backend.RolePrefill, backend.RolePrefill, backend.RoleDecode
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{Runners: list})
	p.Step(startTime, RunnerLimited{Runner: "r0", Limit: 1, Limited: true})
	now := startTime.Add(1100 * time.Millisecond)
	prefills := map[string]int{}
	for i := range 6 {
		request := Request{ID: fmt.Sprint(i), Entry: "e", Customer: "c", PromptTokens: 100, MaxTokens: 10}
		for _, a := range p.Step(now, GrantRequested{Request: request}) {
			if granted, ok := a.(Granted); ok {
				prefills[granted.Prefill]++
			}
		}
	}
	g.Expect(prefills["r0"]).To(Equal(1))
	g.Expect(prefills["r1"]).To(Equal(5))
}
