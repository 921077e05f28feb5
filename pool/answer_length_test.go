package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerSimulation plays two kinds of one customer: prompts of 9,200 tokens with 8 tokens of
// answer and prompts of 1,000 with 400, both with at most 512. It returns the predictions.
func answerSimulation(t *testing.T, enabled bool) (short, long int) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.ExpectedAnswers, cfg.RunnerTimeout = enabled, 0
	p := New(cfg, 0)
	now := startTime
	p.Step(now, RunnersListed{runnerList(2)})
	for range 200 {
		for prompt, answer := range map[int]int{9_200: 8, 1_000: 400} {
			now = now.Add(10 * time.Second)
			p.Step(now, Tick{})
			actions := p.Step(now, GrantRequested{Request{ID: "x", Entry: "e", Customer: "c", Weight: 1, PromptTokens: prompt, MaxTokens: 512}})
			granted, ok := actions[len(actions)-1].(Granted)
			if !ok {
				t.Fatalf("not granted: %+v", actions)
			}
			p.Step(now, Released{granted.Ticket, answer})
		}
	}
	c := p.customer(&Request{Customer: "c", Weight: 1})
	return p.newWaiting(&Request{PromptTokens: 9_200, MaxTokens: 512}, c).expected, p.newWaiting(&Request{PromptTokens: 1_000, MaxTokens: 512}, c).expected
}

// Guards against memory that is reserved for answers which a kind never gives, and against
// streams that outgrow their reservation, because kinds share the customer's average.
func TestAnswersAreExpectedPerKind(t *testing.T) {
	g := NewWithT(t)
	short, long := answerSimulation(t, true)
	g.Expect(short).To(BeNumerically("~", 8, 1))
	g.Expect(long).To(BeNumerically("~", 400, 10))
	short, long = answerSimulation(t, false)
	g.Expect(short).To(BeNumerically(">", 100), "the customer's average, as before")
	g.Expect(long).To(Equal(short))
}

// Guards against attempts without an answer that make all answers look short, and against
// an expected answer above the longest one.
func TestAttemptsWithoutTokensSayNothing(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.ExpectedAnswers = true
	p := New(cfg, 0)
	c := p.customer(&Request{Customer: "c", Weight: 1})
	for range 50 {
		p.learnAnswer(&ticket{customer: c, prompt: 100, limit: 1_000, produced: 900})
		p.learnAnswer(&ticket{customer: c, prompt: 100, limit: 1_000})
	}
	g.Expect(p.expectedAnswer(c, 100, 1_000)).To(BeNumerically("~", 900, 10))
	g.Expect(p.expectedAnswer(c, 100, 300)).To(BeNumerically("<=", 300))
	g.Expect(p.answers.Rejected()).To(BeZero())
}
