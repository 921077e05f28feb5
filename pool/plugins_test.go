package pool

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	. "github.com/onsi/gomega"
)

func pluginView() *View {
	cfg := DefaultConfig()
	return &View{Request: &Request{}, Config: &cfg, Prompt: 1000, KV: 1100, PrefillWait: 0.4, BetweenTokens: 0.035}
}

func pluginCandidate() Candidate {
	info := runnerInfo(0)
	return Candidate{Info: &info, Up: true, Memory: 10_000, Open: 1, PrefillPerToken: 0.001, BetweenTokens: 0.01}
}

// Guards against filters that keep a runner that can't serve the request or drop
// one that can.
func TestFilters(t *testing.T) {
	cases := []struct {
		name   string
		filter Filter
		change func(v *View, c *Candidate)
		keep   bool
	}{
		{"down", FilterUp{}, func(_ *View, c *Candidate) { c.Up = false }, false},
		{"changing", FilterUp{}, func(_ *View, c *Candidate) { c.Info.Changing = true }, false},
		{"starting", FilterUp{}, func(_ *View, c *Candidate) { c.Info.State = hosting.ServerStarting }, false},
		{"decode role", FilterRole{}, func(_ *View, c *Candidate) { c.Info.Role = backend.RoleDecode }, false},
		{"prefill stage", FilterRole{}, func(v *View, c *Candidate) { v.Stage, c.Info.Role = StagePrefill, backend.RolePrefill }, true},
		{"no adapter", FilterAdapter{}, func(v *View, _ *Candidate) { v.Request.Adapter = "x" }, false},
		{"adapter", FilterAdapter{}, func(v *View, c *Candidate) { v.Request.Adapter, c.Info.Adapters = "x", []string{"x"} }, true},
		{"version", FilterVersion{}, func(v *View, c *Candidate) { v.Request.Version, c.Info.Version = "v1", "v2" }, false},
		{"any version", FilterVersion{}, func(_ *View, c *Candidate) { c.Info.Version = "v2" }, true},
		{"avoided", FilterAvoid{}, func(v *View, c *Candidate) { v.Request.Avoid = []string{c.Info.ID} }, false},
		{"small memory", FilterMemory{}, func(_ *View, c *Candidate) { c.Memory = 1100 }, false},
		{"full memory", FilterBounds{}, func(_ *View, c *Candidate) { c.KV = 9000 }, false},
		{"long wait", FilterBounds{}, func(_ *View, c *Candidate) { c.Wait = 0.41 }, false},
		{"long wait of decode", FilterBounds{}, func(v *View, c *Candidate) { v.Stage, c.Wait = StageDecode, 0.41 }, true},
		{"slow streams", FilterBounds{}, func(_ *View, c *Candidate) { c.BetweenTokens = 0.036 }, false},
		{"batch fill", FilterBounds{}, func(v *View, c *Candidate) { v.Request.Priority, c.Wait = Batch, 0.3 }, false},
		{"batch floor", FilterBounds{}, func(v *View, c *Candidate) { v.Request.Priority, v.UnderBatchFloor, c.Wait = Batch, true, 0.3 }, true},
		{"idle", FilterBounds{}, func(_ *View, c *Candidate) { c.Open, c.Wait = 0, 9 }, true},
	}
	for _, test := range cases {
		v, c := pluginView(), pluginCandidate()
		all := DefaultPolicy()
		if !all.passes(v, &c, false) {
			t.Errorf("%s: the unchanged candidate is dropped", test.name)
		}
		test.change(v, &c)
		if test.filter.Keep(v, &c) != test.keep {
			t.Errorf("%s: keep is %v", test.name, !test.keep)
		}
	}
}

// Guards against scorers with a wrong sign or unit.
func TestScorers(t *testing.T) {
	g := NewWithT(t)
	v, c := pluginView(), pluginCandidate()
	c.Wait, c.Cached, c.Open = 0.5, 640, 3
	g.Expect(ScoreWait{}.Score(v, &c)).To(BeNumerically("~", 1.5, 1e-9))
	g.Expect(ScorePrefix{}.Score(v, &c)).To(BeNumerically("~", -0.64, 1e-9))
	g.Expect(ScoreStreams{}.Score(v, &c)).To(BeNumerically("~", 0.16, 1e-9))
	g.Expect(ScoreOpen{}.Score(v, &c)).To(Equal(3.0))
	c.Prefill = 3000
	g.Expect(ScorePrefix{}.Score(v, &c)).To(BeZero(), "far over the mean load")
	c.Info.Class = hosting.ClassCheap
	g.Expect(ScoreClass{}.Score(v, &c)).To(BeNumerically(">", 0))
	v.Request.Priority = Batch
	g.Expect(ScoreClass{}.Score(v, &c)).To(BeZero())
}

// Guards against pickers that always pick the first of several equal candidates.
func TestPickers(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{{Slot: 0, Score: 2}, {Slot: 1, Score: 1}, {Slot: 2, Score: 1}}
	v := pluginView()
	picked := map[int]int{}
	for v.Sequence = range 300 {
		picked[PickLowest{}.Pick(v, candidates)]++
	}
	g.Expect(picked[0]).To(BeZero())
	g.Expect(picked[2]).To(BeNumerically(">=", 100))
	next := &PickRoundRobin{}
	order := []int{next.Pick(v, candidates), next.Pick(v, candidates), next.Pick(v, candidates)}
	g.Expect(order).To(Equal([]int{1, 2, 0}))
}

// Guards against cache events that grow the prefix index beyond its bound or
// change the entries of other runners. The events include unknown blocks, gaps,
// repeats and a restart of the engine.
func TestCacheEventsUpdatePrefixIndex(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.PrefixBlocks = 8
	p := New(cfg, 0)
	p.Step(startTime, RunnersListed{runnerList(2)})
	report := func(id string, from uint64, events ...backend.CacheEvent) {
		p.Step(startTime, CacheReported{id, from, backend.CacheEvents{Events: events, Next: from + uint64(len(events))}})
	}
	matches := func() [2]int {
		var counts [MaxRunners]int
		p.prefixes.match([]uint64{1, 2, 3}, &counts)
		return [2]int{counts[0], counts[1]}
	}
	store := func(seq, block uint64) backend.CacheEvent {
		return backend.CacheEvent{Seq: seq, Op: backend.CacheStore, Block: block}
	}
	report("r0", 0, store(0, 1), store(1, 2), store(9, 3))
	report("r1", 0, store(0, 1))
	g.Expect(matches()).To(Equal([2]int{3, 1}))
	report("r1", 1, backend.CacheEvent{Seq: 1, Op: backend.CacheEvict, Block: 99}, backend.CacheEvent{Seq: 2, Op: backend.CacheEvict, Block: 1})
	g.Expect(matches()).To(Equal([2]int{3, 0}))
	report("r0", 0, store(0, 2))
	g.Expect(matches()[0]).To(BeZero(), "a restarted engine has an empty cache")
	for i := range uint64(50) {
		report("r0", i+1, store(i+1, 100+i))
	}
	g.Expect(len(p.prefixes.masks)).To(Equal(8))
}

// Guards against requests that don't go to the runner with their cached prefix,
// and against a popular prefix that overloads the only runner that caches it.
func TestPrefixAffinityWithBoundedLoad(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{runnerList(4)})
	var blocks []uint64
	for i := range uint64(30) {
		blocks = append(blocks, i)
	}
	now := startTime
	send := func() string {
		actions := p.Step(now, GrantRequested{Request{ID: "q", Customer: "a", PromptTokens: 2000, MaxTokens: 100, Blocks: blocks}})
		return actions[0].(Granted).Runner
	}
	first := send()
	now = now.Add(300 * time.Millisecond)
	p.Step(now, Progressed{Ticket: 1, Tokens: 1, FirstToken: 260 * time.Millisecond})
	g.Expect(send()).To(Equal(first))
	used := map[string]bool{}
	for range 30 {
		used[send()] = true
	}
	g.Expect(len(used)).To(BeNumerically(">", 1))
}
