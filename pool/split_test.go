package pool

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	. "github.com/onsi/gomega"
)

// splitPool returns a pool of prefill runners r0 and r1 and decode runners r2
// and r3, which read prompts at half speed.
func splitPool() *Pool {
	cfg := DefaultConfig()
	cfg.DecodeReads, cfg.DecodeReadFactor = true, 2
	cfg.RunnerTimeout = 0
	p := New(cfg, 0)
	list := runnerList(4)
	for i := range list {
		list[i].Role = backend.RolePrefill
		if i >= 2 {
			list[i].Role = backend.RoleDecode
		}
	}
	p.Step(start, RunnersListed{list})
	return p
}

func grantOf(g Gomega, p *Pool, now time.Time, r Request) Granted {
	r.Customer, r.MaxTokens = "a", 100
	for _, action := range p.Step(now, GrantRequested{r}) {
		if granted, ok := action.(Granted); ok && granted.Request == r.ID {
			return granted
		}
	}
	g.Expect(r.ID).To(Equal("granted"))
	return Granted{}
}

// Guards against a decode runner that counts as holding a prompt which nobody
// has read: when the reading failed, the second attempt read all of it there, at
// half speed and in the way of other answers.
func TestFailedPrefillLeavesNoPrefixOnTheDecodeRunner(t *testing.T) {
	g := NewWithT(t)
	p := splitPool()
	blocks, sizes := []uint64{1, 2}, []int{6000, 2000}
	first := grantOf(g, p, start, Request{ID: "q1", PromptTokens: 8000, Blocks: blocks, BlockTokens: sizes})
	g.Expect(first.Prefill).NotTo(BeEmpty())
	now := start.Add(50 * time.Millisecond)
	p.Step(now, Released{Ticket: first.Ticket})
	second := grantOf(g, p, now, Request{ID: "q2", PromptTokens: 8000, Blocks: blocks, BlockTokens: sizes, Avoid: []string{first.Prefill}})
	g.Expect(second.Prefill).NotTo(BeEmpty())
	g.Expect(second.Prefill).NotTo(Equal(first.Prefill))

	p.Step(now, Progressed{Ticket: second.Ticket, Tokens: 1, FirstToken: 200 * time.Millisecond})
	var counts [MaxRunners]int
	p.prefixes.match(blocks, &counts)
	holder := p.runnerByID(second.Runner)
	g.Expect(counts[holder.slot]).To(Equal(len(blocks)), "an answer that began shows that its runner holds the prompt")
}

// Guards against answers that are sent to a decode runner which reads a long
// prompt: of 150 late starts on a busy day, 136 waited for such a prompt.
func TestAnswersAvoidADecodeRunnerThatReads(t *testing.T) {
	g := NewWithT(t)
	p := splitPool()
	reading := grantOf(g, p, start, Request{ID: "long", PromptTokens: 20_000, Avoid: []string{"r0", "r1"}})
	g.Expect(reading.Prefill).To(BeEmpty())
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		granted := grantOf(g, p, start, Request{ID: id, PromptTokens: 500})
		g.Expect(granted.Runner).NotTo(Equal(reading.Runner), id)
		p.Step(start, Progressed{Ticket: granted.Ticket, Tokens: 1, FirstToken: 30 * time.Millisecond})
	}
}

// Guards against a decode runner that is given a prompt because it has no
// answers at that moment: those that begin meanwhile wait for it.
func TestIdleDecodeRunnerIsDisturbedToo(t *testing.T) {
	g := NewWithT(t)
	v, c := pluginView(), pluginCandidate()
	c.Info.Role = backend.RoleDecode
	v.Stage = StageWhole
	read := c.PerToken * float64(v.Prompt)
	g.Expect(ScoreDisturbance{}.Score(v, &c)).To(BeNumerically(">=", 2*read))
	c.Streams = 5
	g.Expect(ScoreDisturbance{}.Score(v, &c)).To(BeNumerically(">=", 7*read))
	v.Stage = StageDecode
	g.Expect(ScoreDisturbance{}.Score(v, &c)).To(BeZero())
}
