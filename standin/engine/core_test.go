package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	testseed.Fix(1, 300)
	m.Run()
}

// epoch is the start of the simulated time.
var epoch = time.Unix(1_000_000, 0)

func smallConfig() Config {
	config := Default("e", "m")
	config.StepTokens = 128
	config.MaxBatch = 4
	config.MaxWaiting = 6
	config.KVTokens = 1200
	return config
}

// blocksOf returns the block hashes of a prompt. Prompts of the same family
// share their prefix.
func blocksOf(family, tokens int) []uint64 {
	var blocks []uint64
	for i := range tokens / backend.PrefixBlockTokens {
		blocks = append(blocks, uint64(family*1000+i))
	}
	return blocks
}

func request(key string, family, prompt, output int) Request {
	return Request{
		Key: key, Model: "m", PromptTokens: prompt, OutputTokens: output,
		Blocks: blocksOf(family, prompt), Priority: PriorityInteractive,
	}
}

// runUntilIdle runs the core until it is idle and returns its events.
func runUntilIdle(core *Core) []Event {
	var events []Event
	for !core.Next().IsZero() {
		events = append(events, core.Advance(core.Next())...)
	}
	return append(events, core.Advance(core.now)...)
}

// progressChecker checks the events of all requests: the tokens of a request
// must be in order, complete and unrepeated, and no event may follow its end.
type progressChecker struct {
	// next is the position of the next token by request key.
	next map[string]int
	// length is the length of the answer by request key.
	length map[string]int
	ended  map[string]EventKind
}

func (p *progressChecker) check(t *rapid.T, events []Event) {
	for _, event := range events {
		if event.Kind != EventTokens && event.Kind != EventDone && event.Kind != EventAborted {
			continue
		}
		if kind, ended := p.ended[event.Key]; ended {
			t.Fatalf("%s: event %s after final event %s", event.Key, event.Kind, kind)
		}
		if event.Kind != EventTokens {
			p.ended[event.Key] = event.Kind
			if event.Kind == EventDone && p.next[event.Key] != p.length[event.Key] {
				t.Fatalf("%s: done after %d of %d tokens", event.Key, p.next[event.Key], p.length[event.Key])
			}
			continue
		}
		if event.Position != p.next[event.Key] {
			t.Fatalf("%s: token at position %d, expected %d", event.Key, event.Position, p.next[event.Key])
		}
		p.next[event.Key] += event.Count
	}
}

// checkMemory compares the memory accounting with the running sequences.
func checkMemory(t *rapid.T, core *Core) {
	private, users := 0, map[uint64]int{}
	for _, seq := range core.running {
		private += seq.privateTokens() + core.reservedTokens(seq)
		for _, block := range seq.cachedBlocks {
			users[block]++
		}
	}
	if core.privateUsed != private {
		t.Fatalf("accounted private tokens: %d, held by sequences: %d", core.privateUsed, private)
	}
	if core.kvUsed() > core.config.KVTokens {
		t.Fatalf("%d tokens in use, capacity %d", core.kvUsed(), core.config.KVTokens)
	}
	unused := 0
	for hash, block := range core.cache.blocks {
		if block.users != users[hash] {
			t.Fatalf("block %d has %d users, expected %d", hash, block.users, users[hash])
		}
		if block.users == 0 {
			unused++
		}
	}
	if core.cache.unused.Len() != unused {
		t.Fatalf("%d blocks can be evicted, expected %d", core.cache.unused.Len(), unused)
	}
}

// Guards against lost or repeated tokens, requests that never end and leaked KV
// memory, under random sequences of calls.
func TestCoreInvariantsUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore(smallConfig(), epoch)
		now := epoch
		seen := &progressChecker{next: map[string]int{}, length: map[string]int{}, ended: map[string]EventKind{}}
		canceled := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				output := rapid.IntRange(1, 400).Draw(t, "output")
				r := request(fmt.Sprint("r", len(seen.length)), rapid.IntRange(0, 2).Draw(t, "family"),
					rapid.IntRange(1, 700).Draw(t, "prompt"), output)
				r.Priority = Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
				r.ResumeFrom = rapid.IntRange(0, output).Draw(t, "resume")
				if core.Submit(now, r) == nil {
					seen.next[r.Key], seen.length[r.Key] = r.ResumeFrom, output
				}
			},
			"cancel": func(t *rapid.T) {
				key := fmt.Sprint("r", rapid.IntRange(0, len(seen.length)).Draw(t, "key"))
				seen.check(t, core.Advance(now))
				if core.Cancel(now, key) {
					canceled[key] = true
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				seen.check(t, core.Advance(now))
			},
			"role": func(t *rapid.T) {
				role := rapid.SampledFrom([]backend.Role{backend.RoleMixed, backend.RolePrefill, backend.RoleDecode}).Draw(t, "role")
				_ = core.SetRole(now, "change", role)
			},
			"load": func(t *rapid.T) {
				_ = core.LoadModel(now, "load", "m", rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version"))
			},
			"drain":  func(t *rapid.T) { core.SetDrain(now, rapid.Bool().Draw(t, "drain")) },
			"import": func(t *rapid.T) { core.Import(now, "kv", blocksOf(rapid.IntRange(0, 3).Draw(t, "family"), 256)) },
			"":       func(t *rapid.T) { checkMemory(t, core) },
		})
		seen.check(t, runUntilIdle(core))
		checkMemory(t, core)
		for key := range seen.length {
			if _, ended := seen.ended[key]; !ended && !canceled[key] {
				t.Fatalf("%s has no final event", key)
			}
		}
		if core.privateUsed != 0 {
			t.Fatalf("an idle engine holds %d private tokens", core.privateUsed)
		}
	})
}

// Guards against results that depend on how often Advance is called. The engine
// would then behave differently in virtual time and in real time.
func TestEventsDoNotDependOnAdvanceInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once, often := NewCore(smallConfig(), epoch), NewCore(smallConfig(), epoch)
		count := rapid.IntRange(1, 6).Draw(t, "count")
		for i := range count {
			r := request(fmt.Sprint(i), i%2, rapid.IntRange(1, 600).Draw(t, "prompt"), 20)
			_, _ = once.Submit(epoch, r), often.Submit(epoch, r)
		}
		end := epoch.Add(time.Minute)
		var events []Event
		for now := epoch; now.Before(end); now = now.Add(70 * time.Millisecond) {
			events = append(events, often.Advance(now)...)
		}
		events = append(events, often.Advance(end)...)
		want := once.Advance(end)
		same := slices.EqualFunc(events, want, func(a, b Event) bool {
			return a.At.Equal(b.At) && a.Kind == b.Kind && a.Key == b.Key && a.Position == b.Position
		})
		if !same {
			t.Fatalf("events differ:\n%v\n%v", events, want)
		}
	})
}

func firstToken(events []Event, key string) time.Duration {
	for _, event := range events {
		if event.Kind == EventTokens && event.Key == key {
			return event.At.Sub(epoch)
		}
	}
	return -1
}

// Guards against a simulation without the properties that scheduler tests rely
// on: the effect of cached prefixes, queued prefill, a slowdown and the prefill
// role on the time to the first token.
func TestTimeToFirstTokenDependsOnCacheQueueSpeedAndRole(t *testing.T) {
	g := gomega.NewWithT(t)
	config := Default("e", "m")
	alone := NewCore(config, epoch)
	_ = alone.Submit(epoch, request("a", 0, 4096, 10))
	cold := firstToken(runUntilIdle(alone), "a")

	_ = alone.Submit(alone.now, request("b", 0, 4096, 10))
	before := alone.now
	warm := epoch.Add(firstToken(runUntilIdle(alone), "b")).Sub(before)
	g.Expect(warm).To(gomega.BeNumerically("<", cold/4), "a cached prefix saves prefill")

	shared := NewCore(config, epoch)
	for i := range 8 {
		_ = shared.Submit(epoch, request(fmt.Sprint("x", i), i+1, 4096, 10))
	}
	_ = shared.Submit(epoch, request("a", 0, 4096, 10))
	g.Expect(firstToken(runUntilIdle(shared), "a")).To(gomega.BeNumerically(">", 4*cold), "prefill requests queue")

	slow := NewCore(config, epoch)
	slow.SetSlowdown(3)
	_ = slow.Submit(epoch, request("a", 0, 4096, 10))
	g.Expect(firstToken(runUntilIdle(slow), "a")).To(gomega.Equal(3 * cold))

	config.Role = backend.RolePrefill
	prefill := NewCore(config, epoch)
	_ = prefill.Submit(epoch, request("a", 0, 4096, 10))
	g.Expect(firstToken(runUntilIdle(prefill), "a")).To(gomega.BeNumerically("<", cold), "a prefill engine spreads the step's fixed time")
}

// Guards against an admission order that ignores priorities: interactive
// requests must run before batch requests that arrived earlier.
func TestInteractiveRequestsAreAdmittedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	core := NewCore(Default("e", "m"), epoch)
	for i := range 10 {
		r := request(fmt.Sprint("batch", i), i+1, 2000, 10)
		r.Priority = PriorityBatch
		_ = core.Submit(epoch, r)
	}
	_ = core.Submit(epoch, request("a", 0, 2000, 10))
	events := runUntilIdle(core)
	g.Expect(firstToken(events, "a")).To(gomega.BeNumerically("<", firstToken(events, "batch1")))
}

// Guards against interactive requests that wait for a batch full of
// batch-priority requests instead of preempting one of them.
func TestInteractiveRequestPreemptsBatchRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	core := NewCore(smallConfig(), epoch)
	for i := range core.config.MaxBatch {
		r := request(fmt.Sprint("batch", i), i+1, 64, 200)
		r.Priority = PriorityBatch
		_ = core.Submit(epoch, r)
	}
	core.Advance(epoch.Add(time.Second / 2))
	_ = core.Submit(core.now, request("a", 0, 64, 1))
	events := runUntilIdle(core)
	var ended []string
	for _, event := range events {
		if event.Kind == EventDone {
			ended = append(ended, event.Key)
		}
	}
	g.Expect(ended[0]).To(gomega.Equal("a"))
	g.Expect(ended).To(gomega.HaveLen(1+core.config.MaxBatch), "batch requests continue after the preemption")
}

// Guards against adapters that can't be requested by name, or that are still
// served after another model version has replaced theirs.
func TestAdaptersBelongToTheLoadedModel(t *testing.T) {
	g := gomega.NewWithT(t)
	core := NewCore(Default("e", "m"), epoch)
	g.Expect(core.LoadAdapter(epoch, "other", "x")).To(gomega.MatchError(RefusedUnknownModel))
	g.Expect(core.LoadAdapter(epoch, "m", "x")).To(gomega.Succeed())
	tuned := request("a", 0, 64, 1)
	tuned.Model = "x"
	g.Expect(core.Submit(epoch, tuned)).To(gomega.Succeed())
	g.Expect(core.CurrentLoad().Models).To(gomega.Equal([]string{"m", "x"}))
	g.Expect(core.LoadModel(epoch, "load", "m", "2")).To(gomega.Succeed())
	runUntilIdle(core)
	g.Expect(core.CurrentLoad().Version).To(gomega.Equal("2"))
	g.Expect(core.Submit(core.now, tuned)).To(gomega.MatchError(RefusedUnknownModel))
}

// Guards against cache events that are published before the lag or whose
// sequence numbers hide the omitted events.
func TestCacheEventsHaveLagAndSequenceGaps(t *testing.T) {
	g := gomega.NewWithT(t)
	config := Default("e", "m")
	config.CacheGapEvery = 3
	core := NewCore(config, epoch)
	_ = core.Submit(epoch, request("a", 0, 640, 1))
	runUntilIdle(core)
	g.Expect(core.CacheEvents(core.now, 0).Events).To(gomega.BeEmpty())
	page := core.CacheEvents(core.now.Add(2*config.CacheLag), 0)
	var numbers []uint64
	for _, event := range page.Events {
		numbers = append(numbers, event.Seq)
	}
	g.Expect(numbers).To(gomega.Equal([]uint64{1, 2, 4, 5, 7, 8, 10}))
	g.Expect(page.Next).To(gomega.BeEquivalentTo(11))
}

// Guards against a KV transfer that takes no time or moves blocks that are not
// cached.
func TestTransferMovesCachedBlocksAtTheBandwidth(t *testing.T) {
	g := gomega.NewWithT(t)
	config := Default("e", "m")
	config.TransferTokensPerSecond = 640
	source, target := NewCore(config, epoch), NewCore(config, epoch)
	_ = source.Submit(epoch, request("a", 0, 640, 1))
	runUntilIdle(source)
	sent := source.Export(source.now, "out", append(blocksOf(0, 640), 99))
	g.Expect(sent).To(gomega.Equal(blocksOf(0, 640)))
	target.Import(epoch, "in", sent)
	g.Expect(target.Next()).To(gomega.Equal(epoch.Add(time.Second)))
	events := runUntilIdle(target)
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].Blocks).To(gomega.Equal(sent))
	_ = target.Submit(target.now, request("b", 0, 640, 1))
	g.Expect(runUntilIdle(target)[1].CachedTokens).To(gomega.Equal(576), "at least one token is computed")
}

// Guards against an engine that accepts requests during a role change, or that
// doesn't report the requests the change aborted. The order protocol depends on
// both.
func TestRoleChangeAbortsRequestsAndRefusesNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	core := NewCore(Default("e", "m"), epoch)
	_ = core.Submit(epoch, request("a", 0, 640, 100))
	g.Expect(core.SetRole(epoch, "change", backend.RoleDecode)).To(gomega.Succeed())
	g.Expect(core.Submit(epoch, request("b", 0, 64, 1))).To(gomega.MatchError(RefusedChanging))
	g.Expect(core.SetRole(epoch, "again", backend.RoleMixed)).To(gomega.MatchError(RefusedBusy))
	events := runUntilIdle(core)
	g.Expect(events[0].Kind).To(gomega.Equal(EventAborted))
	g.Expect(events[1].Kind).To(gomega.Equal(EventChanged))
	g.Expect(events[1].At).To(gomega.Equal(epoch.Add(core.config.RoleChange)))
	g.Expect(core.CurrentLoad().Role).To(gomega.Equal(backend.RoleDecode))
}
