package pool

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	. "github.com/onsi/gomega"
)

// splitPool returns a pool of prefill runners r0 and r1 and decode runners r2 and
// r3. The latter prefill at half speed.
func splitPool() *Pool {
	cfg := DefaultConfig()
	cfg.DecodePrefills, cfg.DecodePrefillFactor = true, 2
	cfg.RunnerTimeout = 0
	p := New(cfg, 0)
	list := runnerList(4)
	for i := range list {
		list[i].Role = backend.RolePrefill
		if i >= 2 {
			list[i].Role = backend.RoleDecode
		}
	}
	p.Step(startTime, RunnersListed{list})
	return p
}

// grantOf requests a grant and fails the test unless it is given at once.
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

// Guards against prefix index entries for a decode runner whose prompt was
// never prefilled. After a failed prefill, the second attempt then did the
// whole prefill on the decode runner, at half speed and delaying its other
// streams.
func TestFailedPrefillLeavesNoPrefixOnTheDecodeRunner(t *testing.T) {
	g := NewWithT(t)
	p := splitPool()
	blocks, sizes := []uint64{1, 2}, []int{6000, 2000}
	first := grantOf(g, p, startTime, Request{ID: "q1", PromptTokens: 8000, Blocks: blocks, BlockTokens: sizes})
	g.Expect(first.Prefill).NotTo(BeEmpty())
	now := startTime.Add(50 * time.Millisecond)
	p.Step(now, Released{Ticket: first.Ticket})
	second := grantOf(g, p, now, Request{ID: "q2", PromptTokens: 8000, Blocks: blocks, BlockTokens: sizes, Avoid: []string{first.Prefill}})
	g.Expect(second.Prefill).NotTo(BeEmpty())
	g.Expect(second.Prefill).NotTo(Equal(first.Prefill))

	p.Step(now, Progressed{Ticket: second.Ticket, Tokens: 1, FirstToken: 200 * time.Millisecond})
	var counts [MaxRunners]int
	p.prefixes.match(blocks, &counts)
	holder := p.runnerByID(second.Runner)
	g.Expect(counts[holder.slot]).To(Equal(len(blocks)), "the runner caches the prompt once the answer has begun")
}

// Guards against streams that are placed on a decode runner during a long prefill
// there. Of 150 late first tokens on a busy day, 136 waited for such a prefill.
func TestStreamsAvoidDecodeRunnerDuringPrefill(t *testing.T) {
	g := NewWithT(t)
	p := splitPool()
	long := grantOf(g, p, startTime, Request{ID: "long", PromptTokens: 20_000, Avoid: []string{"r0", "r1"}})
	g.Expect(long.Prefill).To(BeEmpty())
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		granted := grantOf(g, p, startTime, Request{ID: id, PromptTokens: 500})
		g.Expect(granted.Runner).NotTo(Equal(long.Runner), id)
		p.Step(startTime, Progressed{Ticket: granted.Ticket, Tokens: 1, FirstToken: 30 * time.Millisecond})
	}
}

// Guards against a prefill on a decode runner that happens to have no streams:
// streams that begin during the prefill wait for its end.
func TestInterferenceOnIdleDecodeRunner(t *testing.T) {
	g := NewWithT(t)
	v, c := pluginView(), pluginCandidate()
	c.Info.Role = backend.RoleDecode
	v.Stage = StageWhole
	prefill := c.PrefillPerToken * float64(v.Prompt)
	g.Expect(ScoreInterference{}.Score(v, &c)).To(BeNumerically(">=", 2*prefill))
	c.Streams = 5
	g.Expect(ScoreInterference{}.Score(v, &c)).To(BeNumerically(">=", 7*prefill))
	v.Stage = StageDecode
	g.Expect(ScoreInterference{}.Score(v, &c)).To(BeZero())
}
