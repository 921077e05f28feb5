package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
)

// Guards against a load that counts cached prompts as work, that leaves out refused
// requests, or that averages over a time in which the pool was not reported.
func TestPoolLoadCountsTheWorkThatArrives(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	h := NewHost(pool.DefaultConfig(), func(string, peer.Message) {})
	key := pool.Key{Model: "llm"}
	runner := pool.RunnerInfo{ID: "e", FailureDomain: "a", Class: hosting.ClassCheap, State: hosting.ServerLive, KVTotal: 100_000}
	h.Update(now, []PoolSpec{{Key: key, Shards: 1, Runners: []pool.RunnerInfo{runner}}}, func(pool.Key) bool { return true })
	request := func(id string, deadline time.Duration) {
		r := pool.Request{ID: id, Entry: "vm", Customer: "c", PromptTokens: 1000, MaxTokens: 10, Blocks: []uint64{7}, BlockTokens: []int{900}}
		h.Request(now, &GrantRequest{Pool: key.String(), Request: r, Budget: deadline})
	}
	for range 8 {
		request("first", 0)
		now = now.Add(125 * time.Millisecond)
	}
	load, ok := h.PoolLoad(now, key.String())
	g.Expect(ok).To(BeTrue())
	g.Expect(load.Requests).To(BeNumerically("~", 8, 0.01))
	// The first prompt is read whole, the others without the cached 900 tokens.
	g.Expect(load.Prefill).To(BeNumerically("~", 1700, 1))
	g.Expect(load.Memory).To(BeNumerically(">", 0))
	g.Expect(load.Groups).To(HaveLen(1))
	g.Expect(load.Groups[0].Cheap).To(BeTrue())
	g.Expect(load.Problem()).To(BeEmpty())
	for range 4 {
		request("late", time.Nanosecond)
	}
	now = now.Add(500 * time.Millisecond)
	load, ok = h.PoolLoad(now, key.String())
	g.Expect(ok).To(BeTrue())
	g.Expect(load.Requests).To(BeNumerically("~", 8, 0.01))
	_, ok = h.PoolLoad(now.Add(time.Minute), key.String())
	g.Expect(ok).To(BeFalse())
	_, ok = h.PoolLoad(now, "unknown")
	g.Expect(ok).To(BeFalse())
}
