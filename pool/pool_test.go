package pool

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	testseed.Fix(12, 600)
	os.Exit(m.Run())
}

var startTime = time.Unix(1_700_000_000, 0)

func runnerInfo(i int) RunnerInfo {
	return RunnerInfo{
		ID: fmt.Sprintf("r%d", i), Role: backend.RoleMixed, Class: hosting.ClassOnDemand,
		State: hosting.ServerLive, KVTotal: 100_000,
	}
}

func runnerList(n int) []RunnerInfo {
	list := make([]RunnerInfo, n)
	for i := range list {
		list[i] = runnerInfo(i)
	}
	return list
}

// checkCounts compares all counts of the pool with sums over its open tickets.
func checkCounts(t interface{ Fatalf(string, ...any) }, p *Pool) {
	type sums struct{ prefill, decode, kv, open, streams int }
	want := map[*runner]*sums{}
	get := func(r *runner) *sums {
		if want[r] == nil {
			want[r] = &sums{}
		}
		return want[r]
	}
	open := map[*customer]int{}
	listed := 0
	for tk := p.oldest; tk != nil; tk = tk.next {
		listed++
		open[tk.customer]++
		s := get(tk.runner)
		s.decode += tk.decode
		s.kv += tk.kv
		s.open++
		if tk.started {
			s.streams++
		}
		get(tk.prefillRunner).prefill += tk.prefill
		if tk.prefillRunner != tk.runner && !tk.started {
			get(tk.prefillRunner).kv += tk.prefillKV
			get(tk.prefillRunner).open++
		}
	}
	if listed != len(p.tickets) {
		t.Fatalf("%d tickets in the expiry list, %d open", listed, len(p.tickets))
	}
	for _, r := range p.runners {
		if r == nil {
			continue
		}
		have := sums{r.prefill, r.decode, r.kv, r.open, r.streams}
		if have != *get(r) || min(r.prefill, r.decode, r.kv, r.open, r.streams) < 0 {
			t.Fatalf("runner %s counts %+v, tickets sum to %+v", r.info.ID, have, *get(r))
		}
		delete(want, r)
	}
	if len(want) > 0 {
		t.Fatalf("open tickets on runners without a slot")
	}
	waiting := 0
	for class := range priorities {
		cost, weight := 0.0, 0.0
		for i, b := range p.queue.heap[class] {
			if b.heapIndex != i || b.head == nil {
				t.Fatalf("heap entry %d has index %d, head %v", i, b.heapIndex, b.head)
			}
			var count [lanes]int
			for w := b.head; w != nil; w = w.next {
				waiting++
				cost += w.cost
				if p.queue.ordered(class) && b.lanes[w.lane][w.index] != w {
					t.Fatalf("request %s is not in its lane", w.request.ID)
				}
				count[w.lane]++
			}
			if p.queue.ordered(class) && (len(b.lanes[laneFresh]) != count[laneFresh] || len(b.lanes[laneLate]) != count[laneLate]) {
				t.Fatalf("lanes of %d and %d requests, want %v", len(b.lanes[laneFresh]), len(b.lanes[laneLate]), count)
			}
			weight += b.owner.weight
		}
		if math.Abs(cost-p.queue.cost[class]) > 1e-3 || math.Abs(weight-p.queue.weight[class]) > 1e-6 {
			t.Fatalf("%s queue: cost %g, sum %g; weight %g, sum %g",
				class, p.queue.cost[class], cost, p.queue.weight[class], weight)
		}
	}
	if waiting != p.queue.count || len(p.queue.skipped) != 0 {
		t.Fatalf("%d requests in the queue, count is %d", waiting, p.queue.count)
	}
	for _, c := range p.customers {
		if c.open != open[c] {
			t.Fatalf("customer %s has %d open tickets, counts %d", c.name, open[c], c.open)
		}
	}
	if len(p.prefixes.masks) > p.cfg.PrefixBlocks {
		t.Fatalf("%d prefix blocks exceed the bound", len(p.prefixes.masks))
	}
}

// poolModel is the oracle of the stateful test. It derives the expected state
// from the events and actions only.
type poolModel struct {
	pool   *Pool
	now    time.Time
	nextID int
	open   map[Ticket]Granted
	// waiting maps requests without an answer to their entry daemon.
	waiting map[string]string
	granted map[string]bool
	refused map[string]bool
	// versions holds the required versions by request.
	versions map[string]string
	// banned holds the runners that must not get grants.
	banned map[string]bool
	list   []RunnerInfo
	bound  int
}

func (m *poolModel) step(t *rapid.T, ev Event) {
	for _, action := range m.pool.Step(m.now, ev) {
		switch a := action.(type) {
		case Granted:
			if _, adopted := ev.(Adopted); !adopted && (m.banned[a.Runner] || m.banned[a.Prefill]) {
				t.Fatalf("grant on banned runner %s (prefill %q) after %T", a.Runner, a.Prefill, ev)
			}
			if _, adopted := ev.(Adopted); !adopted {
				m.checkVersion(t, a)
			}
			if m.refused[a.Request] || m.granted[a.Request] {
				t.Fatalf("request %s was granted after an answer", a.Request)
			}
			m.granted[a.Request] = true
			delete(m.waiting, a.Request)
			m.open[a.Ticket] = a
		case Refused:
			if m.granted[a.Request] || m.refused[a.Request] || a.RetryAfter < 0 {
				t.Fatalf("refusal %+v of an answered request", a)
			}
			m.refused[a.Request] = true
			delete(m.waiting, a.Request)
		case Expired:
			if _, ok := m.open[a.Ticket]; !ok {
				t.Fatalf("ticket %d expired but wasn't open", a.Ticket)
			}
			delete(m.open, a.Ticket)
		}
	}
	checkCounts(t, m.pool)
	if len(m.open) != m.pool.Open() || len(m.waiting) != m.pool.Waiting() {
		t.Fatalf("after %T: want %d open tickets, pool has %d; want %d waiting requests, pool has %d",
			ev, len(m.open), m.pool.Open(), len(m.waiting), m.pool.Waiting())
	}
	if m.pool.Waiting() > 2*m.bound {
		t.Fatalf("%d requests wait, bound is %d", m.pool.Waiting(), 2*m.bound)
	}
}

// checkVersion checks that all runners of a grant have the required version.
func (m *poolModel) checkVersion(t *rapid.T, a Granted) {
	for _, info := range m.list {
		if version := m.versions[a.Request]; version != "" && info.Version != version && slices.Contains([]string{a.Runner, a.Prefill, a.KVSource}, info.ID) {
			t.Fatalf("grant %+v on runner %s of version %q, required is %q", a, info.ID, info.Version, version)
		}
	}
}

func (m *poolModel) ticket(t *rapid.T) Ticket {
	if len(m.open) == 0 || rapid.IntRange(0, 9).Draw(t, "stray") == 0 {
		return Ticket(rapid.IntRange(0, 300).Draw(t, "ticket"))
	}
	lowest := Ticket(math.MaxUint64)
	for id := range m.open {
		lowest = min(lowest, id)
	}
	return lowest
}

func drawTokens(t *rapid.T, label string) int {
	return rapid.OneOf(rapid.IntRange(1, 5000), rapid.SampledFrom([]int{-5, 0, math.MaxInt, math.MinInt})).Draw(t, label)
}

func (m *poolModel) request(t *rapid.T) Request {
	m.nextID++
	r := Request{
		ID:           fmt.Sprintf("q%d", m.nextID),
		Entry:        rapid.SampledFrom([]string{"e0", "e1"}).Draw(t, "entry"),
		Customer:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Weight:       float64(rapid.IntRange(0, 3).Draw(t, "weight")),
		Priority:     Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		PromptTokens: drawTokens(t, "prompt"),
		MaxTokens:    drawTokens(t, "max"),
		Blocks:       rapid.SliceOfN(rapid.Uint64Range(0, 20), 0, 6).Draw(t, "blocks"),
	}
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "budget")) * time.Millisecond)
	}
	if rapid.Bool().Draw(t, "objective") {
		r.Objective = m.now.Add(time.Duration(drawTokens(t, "left")) * time.Millisecond)
	}
	r.Rank = drawTokens(t, "rank")
	r.Version = rapid.SampledFrom([]string{"", "", "v1", "v2"}).Draw(t, "version")
	m.versions[r.ID] = r.Version
	return r
}

func (m *poolModel) setRunners(t *rapid.T) {
	m.list = nil
	m.banned = map[string]bool{}
	for i := range 6 {
		info := runnerInfo(i)
		info.Role = rapid.SampledFrom([]backend.Role{backend.RoleMixed, backend.RoleMixed, backend.RolePrefill, backend.RoleDecode}).Draw(t, "role")
		info.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		info.KVTotal = rapid.SampledFrom([]int{0, 8000, 100_000, -1}).Draw(t, "kv")
		switch rapid.IntRange(0, 6).Draw(t, "state") {
		case 0:
			m.banned[info.ID] = true
			continue
		case 1:
			info.State = hosting.ServerLeaving
			info.LeaveAt = m.now.Add(5 * time.Second)
			m.banned[info.ID] = true
		case 2:
			info.Changing = true
			m.banned[info.ID] = true
		}
		m.list = append(m.list, info)
	}
	// A runner that was down or leaving stays so until its next report.
	for _, r := range m.pool.runners {
		if r != nil && r.listed && (r.down || r.leaving) {
			m.banned[r.info.ID] = true
		}
	}
	m.step(t, RunnersListed{m.list})
}

// Guards against counts that differ from the open tickets, grants on runners that
// are leaving or down, contradictory answers and unbounded queues, for any order
// of events and with false reports.
func TestPoolCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxQueued, cfg.MaxOpen, cfg.PrefixBlocks = 3, 4, 16
		cfg.Urgency = rapid.Bool().Draw(t, "urgency")
		m := &poolModel{
			pool: New(cfg, 0), now: startTime, open: map[Ticket]Granted{}, waiting: map[string]string{},
			granted: map[string]bool{}, refused: map[string]bool{}, versions: map[string]string{}, banned: map[string]bool{}, bound: 18,
		}
		m.setRunners(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"runners": m.setRunners,
			"request": func(t *rapid.T) {
				r := m.request(t)
				m.waiting[r.ID] = r.Entry
				m.step(t, GrantRequested{r})
			},
			"adopt": func(t *rapid.T) {
				m.step(t, Adopted{m.request(t), fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "r")), drawTokens(t, "tokens")})
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("q%d", rapid.IntRange(0, 60).Draw(t, "id"))
				entry := rapid.SampledFrom([]string{"e0", "e1"}).Draw(t, "entry")
				if m.waiting[id] == entry {
					delete(m.waiting, id)
				}
				m.step(t, Cancelled{entry, id})
			},
			"progress": func(t *rapid.T) {
				m.step(t, Progressed{m.ticket(t), drawTokens(t, "tokens"), time.Duration(drawTokens(t, "first")), time.Duration(drawTokens(t, "between"))})
			},
			"release": func(t *rapid.T) {
				id := m.ticket(t)
				delete(m.open, id)
				m.step(t, Released{id, drawTokens(t, "tokens")})
			},
			"load": func(t *rapid.T) {
				id := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "r"))
				load := backend.Load{
					Engine: id, Seq: rapid.Uint64Range(0, 50).Draw(t, "seq"), AtMs: rapid.Int64Range(-5, 50).Draw(t, "at"),
					PrefillTokens: drawTokens(t, "prefill"), KVTotal: drawTokens(t, "kv"),
				}
				// The report may clear RunnerDown.
				for _, info := range m.list {
					if info.ID == id && !info.Changing && info.State == hosting.ServerLive {
						delete(m.banned, id)
					}
				}
				m.step(t, LoadReported{load})
			},
			"cache": func(t *rapid.T) {
				from := rapid.Uint64Range(0, 30).Draw(t, "from")
				events := backend.CacheEvents{Next: from + 3}
				for i := range uint64(3) {
					op := rapid.SampledFrom([]backend.CacheOp{backend.CacheStore, backend.CacheEvict, "x"}).Draw(t, "op")
					events.Events = append(events.Events, backend.CacheEvent{Seq: from + 2*i, Op: op, Block: rapid.Uint64Range(0, 40).Draw(t, "block")})
				}
				// r7 is not in the runner list.
				m.step(t, CacheReported{"r7", from, events})
			},
			"down": func(t *rapid.T) {
				id := fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "r"))
				m.banned[id] = true
				m.step(t, RunnerDown{id})
			},
			"entry gone": func(t *rapid.T) {
				for id, a := range m.open {
					if a.Entry == "e1" {
						delete(m.open, id)
					}
				}
				for id, entry := range m.waiting {
					if entry == "e1" {
						delete(m.waiting, id)
					}
				}
				m.step(t, EntryGone{"e1"})
			},
			"tick": func(t *rapid.T) { m.step(t, Tick{}) },
		})
	})
}

// Guards against tickets that stay open forever after their entry daemon died
// unnoticed.
func TestTicketExpires(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{runnerList(1)})
	actions := p.Step(startTime, GrantRequested{Request{ID: "q", Customer: "a", PromptTokens: 100, MaxTokens: 10}})
	granted := actions[0].(Granted)
	p.Step(startTime.Add(4*time.Second), Progressed{Ticket: granted.Ticket})
	g.Expect(p.Step(granted.Expires, Tick{})).To(BeEmpty())
	g.Expect(p.Step(granted.Expires.Add(4*time.Second), Tick{})).To(ContainElement(BeAssignableToTypeOf(Expired{})))
	g.Expect(p.Open()).To(BeZero())
}

// Guards against a new runner that is left out of a full pool because the runner
// that it replaces still has its place.
func TestReplacedRunnerOfFullPoolIsListed(t *testing.T) {
	p := New(DefaultConfig(), 0)
	now := time.Unix(1_700_000_000, 0)
	list := make([]RunnerInfo, MaxRunners)
	for i := range list {
		list[i] = RunnerInfo{ID: fmt.Sprint("r", i), Role: backend.RoleMixed}
	}
	p.Step(now, RunnersListed{Runners: slices.Clone(list)})
	list[0].ID = "new"
	p.Step(now, RunnersListed{Runners: list})
	if p.runnerByID("new") == nil || p.runnerByID("r0") != nil {
		t.Error("the pool does not hold the runners of the last list")
	}
}

// Guards against pools that cost memory before they have work: a daemon holds a pool
// for each 32 engines of the deployment.
func TestIdlePoolIsSmall(t *testing.T) {
	cost := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			New(DefaultConfig(), 0)
		}
	}).AllocedBytesPerOp()
	if cost > 32<<10 {
		t.Errorf("an idle pool takes %d bytes", cost)
	}
}
