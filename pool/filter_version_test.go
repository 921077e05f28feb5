package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// versionPool returns a pool of runners of the versions, all of the same role.
func versionPool(cfg Config, role backend.Role, versions ...string) (*Pool, []RunnerInfo) {
	cfg.RunnerTimeout = 0
	p := New(cfg, 0)
	list := runnerList(len(versions))
	for i := range list {
		list[i].Role, list[i].Version = role, versions[i]
	}
	p.Step(startTime, RunnersListed{list})
	return p, list
}

func versionRequest(id int, version string) Request {
	return Request{ID: fmt.Sprint(version, id), Entry: "e", Customer: "c", PromptTokens: 10, MaxTokens: 10, Version: version}
}

// Guards against a stream that goes on at a runner of another version.
func TestRequiredVersionIsPlacedOnlyThere(t *testing.T) {
	configs := Baselines()
	configs["default"] = DefaultConfig()
	for name, cfg := range configs {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, _ := versionPool(cfg, backend.RoleMixed, "v1", "v2", "v1", "v1")
			counts := map[string]int{}
			for i := range 10 {
				grantedOn(p.Step(startTime, GrantRequested{versionRequest(i, "v2")}), counts)
			}
			g.Expect(counts).To(Equal(map[string]int{"r1": 10}))
			for i := range 10 {
				grantedOn(p.Step(startTime, GrantRequested{versionRequest(i, "")}), counts)
			}
			g.Expect(counts["r0"] + counts["r2"] + counts["r3"]).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a decode from the KV cache of another version.
func TestPrefillAndDecodeHaveTheRequiredVersion(t *testing.T) {
	g := NewWithT(t)
	p := splitPool()
	list := runnerList(4)
	roles := []backend.Role{backend.RolePrefill, backend.RolePrefill, backend.RoleDecode, backend.RoleDecode}
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		list[i].Role, list[i].Version = roles[i], version
	}
	p.Step(startTime, RunnersListed{list})
	r := versionRequest(1, "v2")
	r.PromptTokens = 8000
	granted := grantOf(g, p, startTime, r)
	g.Expect([]string{granted.Prefill, granted.Runner}).To(Equal([]string{"r1", "r3"}))

	list[1].Version = "v1"
	p.Step(startTime, RunnersListed{list})
	r.ID = "without prefill runner"
	granted = grantOf(g, p, startTime, r)
	g.Expect([]string{granted.Prefill, granted.Runner}).To(Equal([]string{"", "r3"}))
}

// Guards against an import of KV cache that another version wrote.
func TestCacheOfAnotherVersionIsNotImported(t *testing.T) {
	g := NewWithT(t)
	p, _ := versionPool(DefaultConfig(), backend.RoleMixed, "v1", "v2")
	blocks, sizes := []uint64{1, 2}, []int{6000, 2000}
	p.Step(startTime, CacheNoted{Runners: []string{"r0"}, Blocks: blocks})
	r := versionRequest(1, "v2")
	r.PromptTokens, r.Blocks, r.BlockTokens = 8000, blocks, sizes
	granted := grantOf(g, p, startTime, r)
	g.Expect(granted.Runner).To(Equal("r1"))
	g.Expect(granted.KVSource).To(BeEmpty())
}

// Guards against a request that waits for a version that no runner has, and against one
// that is told to come back only after its client has given up.
func TestRequiredVersionWithoutRunnerIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.DownFor = time.Second
	p, list := versionPool(cfg, backend.RoleMixed, "v1", "v2")
	refused := func(actions []Action) Refused {
		g.Expect(actions).To(HaveLen(1))
		g.Expect(actions[0]).To(BeAssignableToTypeOf(Refused{}))
		return actions[0].(Refused)
	}
	r := refused(p.Step(startTime, GrantRequested{versionRequest(1, "v3")}))
	g.Expect(r.Reason).To(Equal(ReasonNoRunner))
	g.Expect(r.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))

	p.Step(startTime, RunnerLimited{Runner: "r1", Limit: 0.1, Limited: true})
	g.Expect(p.Step(startTime, GrantRequested{versionRequest(2, "v2")})).To(BeEmpty(), "waits for its turn")
	list[1].State = hosting.ServerLeaving
	p.Step(startTime, RunnersListed{list})
	g.Expect(refused(p.Step(startTime, Tick{})).Request).To(Equal("v22"))
}

// Guards against streams that wait for the only runner of their version and hold up the
// requests of the same customer, and of others, that any runner may serve.
func TestRequestsOfAVersionDelayNoOthers(t *testing.T) {
	for _, urgency := range []bool{false, true} {
		g := NewWithT(t)
		cfg := DefaultConfig()
		cfg.Urgency, cfg.MaxOpen = urgency, 20
		p, _ := versionPool(cfg, backend.RoleMixed, "v1", "v2")
		counts := map[string]int{}
		for i := range cfg.MaxOpen {
			grantedOn(p.Step(startTime, GrantRequested{versionRequest(i, "v1")}), counts)
		}
		g.Expect(counts).To(Equal(map[string]int{"r0": cfg.MaxOpen}))
		request := func(customer, version string) Request {
			r := versionRequest(1000, version)
			r.ID, r.Customer = customer+version, customer
			return r
		}
		for c := range 2 * maxSkippedBacklogs {
			g.Expect(p.Step(startTime, GrantRequested{request(fmt.Sprint(c), "v1")})).To(BeEmpty(), "waits")
		}
		for c := range 2 * maxSkippedBacklogs {
			grantedOn(p.Step(startTime, GrantRequested{request(fmt.Sprint(c), "")}), counts)
		}
		g.Expect(counts["r1"]).To(Equal(2 * maxSkippedBacklogs))
		checkCounts(t, p)
		for id := range Ticket(cfg.MaxOpen) {
			grantedOn(p.Step(startTime, Released{Ticket: id + 1, Tokens: 10}), counts)
		}
		g.Expect(counts).To(Equal(map[string]int{"r0": cfg.MaxOpen + 2*maxSkippedBacklogs, "r1": 2 * maxSkippedBacklogs}))
	}
}

// Guards against a refused continuation of a stream because predictions have been off by
// more than the time that is left. Its client has no time for another attempt.
func TestContinuedStreamIsTriedWithoutErrorMargin(t *testing.T) {
	g := NewWithT(t)
	p, _ := versionPool(DefaultConfig(), backend.RoleMixed, "v1", "v1")
	for _, r := range p.runners {
		if r != nil {
			r.predictor.firstToken.meanAbsError = 2
		}
	}
	place := func(id int, version string, left time.Duration) []Action {
		r := versionRequest(id, version)
		r.Deadline = startTime.Add(left)
		return p.Step(startTime, GrantRequested{r})
	}
	g.Expect(place(1, "", time.Second)).To(ContainElement(BeAssignableToTypeOf(Refused{})))
	g.Expect(place(2, "v1", time.Second)).To(ContainElement(BeAssignableToTypeOf(Granted{})))
	g.Expect(place(3, "v1", time.Microsecond)).To(ContainElement(BeAssignableToTypeOf(Refused{})), "it certainly misses the deadline")
}

// Guards against streams that end because the only decode runner of their version has
// crashed, while another runner of the version is about to become one.
func TestStreamWaitsForARunnerThatBecomesADecodeRunner(t *testing.T) {
	cfg := DefaultConfig()
	cfg.DecodePrefills = true
	changing := func() (*Pool, []RunnerInfo) {
		p, list := versionPool(cfg, backend.RoleDecode, "v1", "v2")
		list[1].Role, list[1].Changing, list[1].DecodesAt = backend.RolePrefill, true, startTime.Add(time.Second)
		p.Step(startTime, RunnersListed{list})
		return p, list
	}
	request := func(left time.Duration) GrantRequested {
		r := versionRequest(1, "v2")
		r.Deadline = startTime.Add(left)
		return GrantRequested{r}
	}
	noRunner := HaveExactElements(HaveField("Reason", ReasonNoRunner))

	t.Run("it becomes one", func(t *testing.T) {
		g := NewWithT(t)
		p, list := changing()
		g.Expect(p.Step(startTime, request(3*time.Second))).To(BeEmpty(), "waits")
		g.Expect(p.Step(startTime.Add(time.Second/2), Tick{})).To(BeEmpty(), "waits")
		list[1].Role, list[1].Changing, list[1].DecodesAt = backend.RoleDecode, false, time.Time{}
		ready := startTime.Add(time.Second)
		g.Expect(append(p.Step(ready, RunnersListed{list}), p.Step(ready, Tick{})...)).To(HaveExactElements(HaveField("Runner", "r1")))
	})
	t.Run("it does not", func(t *testing.T) {
		g := NewWithT(t)
		p, list := changing()
		g.Expect(p.Step(startTime, request(3*time.Second))).To(BeEmpty(), "waits")
		list[1].Changing, list[1].DecodesAt = false, time.Time{}
		g.Expect(append(p.Step(startTime, RunnersListed{list}), p.Step(startTime, Tick{})...)).To(noRunner)
	})
	t.Run("too late", func(t *testing.T) {
		g := NewWithT(t)
		p, _ := changing()
		g.Expect(p.Step(startTime, request(time.Second/2))).To(noRunner)
	})
	t.Run("it is gone", func(t *testing.T) {
		g := NewWithT(t)
		p, list := changing()
		list = list[:1]
		g.Expect(p.Step(startTime, RunnersListed{list})).To(BeEmpty())
		g.Expect(p.Step(startTime, request(3*time.Second))).To(noRunner)
	})
}
