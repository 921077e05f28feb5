package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	. "github.com/onsi/gomega"
)

// simulation simulates runners that prefill prompts one after another and
// decode all streams at a rate that falls with their number.
type simulation struct {
	pool  *Pool
	now   time.Time
	queue map[string][]*stream
	// requests holds the unanswered requests by ID.
	requests map[string]Request
	next     int
	// tokens counts granted tokens and refusedBy refusals by customer. late counts
	// granted requests whose first token missed the deadline.
	tokens        map[string]float64
	granted, late int
	// inTime counts the first tokens before the deadline by customer.
	inTime    map[string]int
	refused   map[Reason]int
	refusedBy map[string]int
	refusals  int
	lastRetry time.Duration
}

type stream struct {
	Granted
	request      Request
	prompt, left float64
	granted      time.Time
	first        time.Duration
	produced     float64
	reported     time.Time
	reportedAt   int
}

const (
	engineStep    = 5 * time.Millisecond
	enginePrefill = 8000.0
)

func newSimulation(cfg Config, runners int) *simulation {
	s := &simulation{
		pool: New(cfg, 0), now: startTime, queue: map[string][]*stream{}, requests: map[string]Request{},
		tokens: map[string]float64{}, inTime: map[string]int{}, refused: map[Reason]int{}, refusedBy: map[string]int{},
	}
	s.apply(s.pool.Step(s.now, RunnersListed{runnerList(runners)}))
	return s
}

func (s *simulation) send(r Request) {
	s.next++
	r.ID = fmt.Sprint(s.next)
	s.requests[r.ID] = r
	s.apply(s.pool.Step(s.now, GrantRequested{r}))
}

func (s *simulation) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Granted:
			r := s.requests[a.Request]
			delete(s.requests, a.Request)
			s.granted++
			s.tokens[r.Customer] += float64(r.PromptTokens + r.MaxTokens)
			s.queue[a.Runner] = append(s.queue[a.Runner], &stream{
				Granted: a, request: r, prompt: float64(r.PromptTokens), left: float64(r.MaxTokens), granted: s.now, reported: s.now,
			})
		case Refused:
			s.refusals++
			s.refusedBy[s.requests[a.Request].Customer]++
			delete(s.requests, a.Request)
			s.refused[a.Reason]++
			s.lastRetry = a.RetryAfter
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(engineStep)
	for i := range MaxRunners {
		s.run(fmt.Sprintf("r%d", i))
	}
	s.apply(s.pool.Step(s.now, Tick{}))
}

func (s *simulation) run(id string) {
	budget := enginePrefill * engineStep.Seconds()
	streams := 0
	for _, st := range s.queue[id] {
		if st.prompt <= 0 {
			streams++
		}
	}
	rate := engineStep.Seconds() / (0.010 + 0.0003*float64(streams))
	kept := s.queue[id][:0]
	var events []Event
	for _, st := range s.queue[id] {
		if st.prompt > 0 {
			prefilled := min(budget, st.prompt)
			st.prompt -= prefilled
			budget -= prefilled
			kept = append(kept, st)
			continue
		}
		st.produced += rate
		if st.first == 0 {
			st.first = s.now.Sub(st.granted)
			if !st.request.Deadline.IsZero() && s.now.After(st.request.Deadline) {
				s.late++
			} else {
				s.inTime[st.request.Customer]++
			}
			events = append(events, Progressed{st.Ticket, 1, st.first, 0})
			st.reported, st.reportedAt = s.now, 1
		}
		if st.produced >= st.left {
			events = append(events, Released{st.Ticket, int(st.left)})
			continue
		}
		if s.now.Sub(st.reported) >= 500*time.Millisecond {
			grown := int(st.produced) - st.reportedAt
			events = append(events, Progressed{st.Ticket, int(st.produced), st.first, s.now.Sub(st.reported) / time.Duration(max(grown, 1))})
			st.reported, st.reportedAt = s.now, int(st.produced)
		}
		kept = append(kept, st)
	}
	s.queue[id] = kept
	for _, ev := range events {
		s.apply(s.pool.Step(s.now, ev))
	}
}

// forEachOrder runs a test with the order by arrival and with that by urgency.
func forEachOrder(t *testing.T, test func(*testing.T, Config)) {
	for _, urgency := range []bool{false, true} {
		t.Run(fmt.Sprintf("urgency=%t", urgency), func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.Urgency = urgency
			test(t, cfg)
		})
	}
}

// fillBacklog sends requests until want requests of the customer wait or one is
// not queued.
func (s *simulation) fillBacklog(customer string, weight float64, priority Priority, want int) {
	c := s.pool.customer(&Request{Customer: customer, Weight: weight})
	for c.class[priority].count < want {
		before := s.pool.Waiting()
		s.send(Request{Customer: customer, Weight: weight, Priority: priority, PromptTokens: 1000, MaxTokens: 50})
		if s.pool.Waiting() <= before {
			return
		}
	}
}

// Guards against a customer that gets part of another's share: backlogged
// customers must get tokens in proportion to their weights.
func TestWeightedShareOfBackloggedCustomers(t *testing.T) { forEachOrder(t, testWeightedShare) }

func testWeightedShare(t *testing.T, cfg Config) {
	g := NewWithT(t)
	s := newSimulation(cfg, 2)
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	for i := range 8000 {
		if i == 400 {
			// Until all three are backlogged, the first to arrive gets more.
			clear(s.tokens)
		}
		for _, name := range []string{"a", "b", "c"} {
			for range 3 {
				s.fillBacklog(name, weights[name], Interactive, 8)
			}
		}
		s.step()
	}
	total := s.tokens["a"] + s.tokens["b"] + s.tokens["c"]
	for name, weight := range weights {
		g.Expect(s.tokens[name]/total).To(BeNumerically("~", weight/8, 0.03*weight/8), name)
	}
}

// Guards against starvation of batch work, and against batch work above its floor
// while interactive work waits.
func TestBatchFloor(t *testing.T) { forEachOrder(t, testBatchFloor) }

func testBatchFloor(t *testing.T, cfg Config) {
	g := NewWithT(t)
	s := newSimulation(cfg, 2)
	for range 4000 {
		for range 3 {
			s.fillBacklog("a", 1, Interactive, 8)
			s.fillBacklog("b", 1, Batch, 8)
		}
		s.step()
	}
	share := s.tokens["b"] / (s.tokens["a"] + s.tokens["b"])
	g.Expect(share).To(BeNumerically("~", 0.10, 0.01))
}

// Guards against a flood by one customer that slows the others. With one customer
// at ten times its share, the others must get at least 97% of the timely answers
// that they get without the flood.
func TestFloodAffectsOnlyItsCustomer(t *testing.T) { forEachOrder(t, testFlood) }

func testFlood(t *testing.T, cfg Config) {
	g := NewWithT(t)
	inTime := func(flood bool) int {
		s := newSimulation(cfg, 4)
		random := rand.New(rand.NewPCG(5, 6))
		sent := 0
		for i := range 4000 {
			for range 2 {
				// Four well-behaved customers use 80% of their share of a fifth.
				if name := random.IntN(4); random.Float64() < 0.8*0.8*enginePrefill*4*engineStep.Seconds()/1000/2 {
					s.send(Request{Customer: fmt.Sprint(name), PromptTokens: 950, MaxTokens: 50, Deadline: s.now.Add(1200 * time.Millisecond)})
					sent++
				}
			}
			if flood && i%3 == 0 {
				s.send(Request{Customer: "flood", PromptTokens: 950, MaxTokens: 50, Deadline: s.now.Add(1200 * time.Millisecond)})
			}
			s.step()
		}
		refused := s.refusals - s.refusedBy["flood"]
		t.Logf("flood %v: sent %d, refused %d, late %d, granted %d", flood, sent, refused, s.late, s.granted)
		return sent - refused - s.late
	}
	g.Expect(float64(inTime(true))).To(BeNumerically(">=", 0.97*float64(inTime(false))))
}

// runLoad runs Poisson arrivals at a multiple of the capacity of the runners.
func runLoad(cfg Config, runners int, factor float64, seconds int) *simulation {
	s := newSimulation(cfg, runners)
	random := rand.New(rand.NewPCG(1, 2))
	next := 0.0
	for range seconds * int(time.Second/engineStep) {
		for next <= s.now.Sub(startTime).Seconds() {
			customer, customers := "heavy", 8
			if random.IntN(2) == 0 {
				customer = fmt.Sprint("c", random.IntN(customers))
			}
			prompt := 200 + random.IntN(1800)
			s.send(Request{
				Customer: customer, PromptTokens: prompt, MaxTokens: 20 + random.IntN(60),
				Deadline: s.now.Add(1200 * time.Millisecond),
			})
			next += random.ExpFloat64() * 1100 / (enginePrefill * float64(runners) * factor)
		}
		s.step()
	}
	return s
}

// Guards against granted requests that miss their deadline, which must be fewer
// than 3%, and against refusals while there is room.
func TestAdmittedRequestsMeetDeadlines(t *testing.T) { forEachOrder(t, testDeadlines) }

func testDeadlines(t *testing.T, cfg Config) {
	g := NewWithT(t)
	for _, factor := range []float64{0.5, 1.5, 4} {
		e := runLoad(cfg, 4, factor, 10)
		refused := e.refused[ReasonDeadline] + e.refused[ReasonOverloaded]
		capacity := 10 * enginePrefill * 4 / 1100
		t.Logf("load %.1f: granted %d, late %d, refused %v", factor, e.granted, e.late, e.refused)
		g.Expect(e.late).To(BeNumerically("<", 0.03*float64(e.granted)), "load %g", factor)
		if factor < 1 {
			g.Expect(refused).To(BeNumerically("<", e.granted/50))
		} else {
			g.Expect(float64(e.granted)).To(BeNumerically(">", 0.85*capacity))
		}
	}
}

// Guards against a policy with lower goodput than the baselines under overload.
func TestGoodputAgainstBaselines(t *testing.T) {
	g := NewWithT(t)
	own := runLoad(DefaultConfig(), 4, 1.5, 10)
	for name, cfg := range Baselines() {
		e := runLoad(cfg, 4, 1.5, 10)
		t.Logf("%s: in time %d, own %d", name, e.granted-e.late, own.granted-own.late)
		g.Expect(own.granted-own.late).To(BeNumerically(">", e.granted-e.late), name)
	}
}

// Guards against a Retry-After value that is too low: a retry after it must be
// admitted if no other request arrived.
func TestRetryAfterIsLongEnough(t *testing.T) { forEachOrder(t, testRetryAfter) }

func testRetryAfter(t *testing.T, cfg Config) {
	g := NewWithT(t)
	s := newSimulation(cfg, 2)
	request := func() Request {
		return Request{Customer: "a", PromptTokens: 1500, MaxTokens: 10, Deadline: s.now.Add(time.Second)}
	}
	for round := range 5 {
		for s.refused[ReasonDeadline] == round {
			s.send(request())
		}
		for until := s.now.Add(s.lastRetry); s.now.Before(until); {
			s.step()
		}
		refused, granted := s.refused[ReasonDeadline], s.granted+s.pool.Waiting()
		retryAfter := s.lastRetry
		s.send(request())
		t.Logf("round %d: Retry-After %v, then %v", round, retryAfter, s.lastRetry)
		g.Expect(s.refused[ReasonDeadline]).To(Equal(refused), "round %d", round)
		g.Expect(s.granted + s.pool.Waiting()).To(BeNumerically(">", granted))
		for range 500 {
			s.step()
		}
	}
}

// Guards against requests that are not split over prefill and decode runners, and
// against work that stays counted on the prefill runner after the transfer.
func TestSplitRoles(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	list := runnerList(2)
	list[0].Role, list[1].Role = backend.RolePrefill, backend.RoleDecode
	p.Step(startTime, RunnersListed{list})
	granted := p.Step(startTime, GrantRequested{Request{ID: "q", Customer: "a", PromptTokens: 1000, MaxTokens: 10}})[0].(Granted)
	g.Expect(granted.Prefill).To(Equal("r0"))
	g.Expect(granted.Runner).To(Equal("r1"))
	p.Step(startTime.Add(time.Second), Progressed{Ticket: granted.Ticket, Tokens: 1, FirstToken: 200 * time.Millisecond})
	g.Expect(p.runners[0].prefill + p.runners[0].kv + p.runners[0].open).To(BeZero())
}

// Guards against a false load report that keeps a runner out of use: its effect
// on the predicted wait must be bounded.
func TestFalseLoadReportIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{runnerList(1)})
	p.Step(startTime, LoadReported{backend.Load{Engine: "r0", Seq: 1, AtMs: 1, PrefillTokens: MaxTokens}})
	actions := p.Step(startTime, GrantRequested{Request{ID: "q", Customer: "a", PromptTokens: 100, MaxTokens: 10, Deadline: startTime.Add(time.Second)}})
	g.Expect(actions[0]).To(BeAssignableToTypeOf(Granted{}))
	g.Expect(actions[0].(Granted).FirstToken).To(BeNumerically("<", 200*time.Millisecond))
}

// Guards against streams that are lost with an evicted server although the notice
// left time to move them, and against refusals without Retry-After meanwhile.
func TestEvictionNotice(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	list := runnerList(1)
	p.Step(startTime, RunnersListed{list})
	p.Step(startTime, GrantRequested{Request{ID: "q", Customer: "a", PromptTokens: 100, MaxTokens: 10}})
	list[0].State, list[0].LeaveAt = hosting.ServerLeaving, startTime.Add(3*time.Second)
	actions := p.Step(startTime, RunnersListed{list})
	g.Expect(actions).To(ConsistOf(BeAssignableToTypeOf(Vacate{})))
	refused := p.Step(startTime, GrantRequested{Request{ID: "r", Customer: "a", PromptTokens: 100, MaxTokens: 10}})[0].(Refused)
	g.Expect(refused.Reason).To(Equal(ReasonNoRunner))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against grants on a runner that is draining while the server list still
// shows it as live.
func TestRunnerThatReportsLeavingGetsNoGrant(t *testing.T) {
	g := NewWithT(t)
	p := New(DefaultConfig(), 0)
	p.Step(startTime, RunnersListed{runnerList(2)})
	p.Step(startTime, LoadReported{backend.Load{Engine: "r0", Seq: 1, AtMs: 1, Leaving: true}})
	for i := range 4 {
		actions := p.Step(startTime, GrantRequested{Request{ID: fmt.Sprint(i), Customer: "a", PromptTokens: 100, MaxTokens: 10}})
		g.Expect(actions[0]).To(BeAssignableToTypeOf(Granted{}))
		g.Expect(actions[0].(Granted).Runner).To(Equal("r1"))
	}
}

// Guards against overload of a runner by the fallback of many daemons: each
// daemon may use its share of the runner's unused tickets only.
func TestFallbackIsLimitedToItsShare(t *testing.T) {
	g := NewWithT(t)
	f := NewFallback()
	s := Summary{MaxOpen: 40, Runners: []RunnerSummary{
		{ID: "r0", Role: backend.RoleMixed, KVTotal: 1000}, {ID: "r1", Role: backend.RoleMixed, KVTotal: 1000, Tokens: 500, Open: 10},
	}}
	f.Update(s, 5)
	placed := map[string]int{}
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		if p, ok := f.Choose(&Request{PromptTokens: 10, MaxTokens: 10}, random.Uint64()); ok {
			placed[p.Runner]++
		}
	}
	g.Expect(placed).To(Equal(map[string]int{"r0": 4, "r1": 3}))
}

// Guards against requests that wait forever after the last runner has left.
func TestWaitingRequestsAreRefusedWithoutRunners(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(DefaultConfig(), 1)
	for range 20 {
		s.send(Request{Customer: "a", PromptTokens: 1000, MaxTokens: 10})
	}
	waiting := s.pool.Waiting()
	g.Expect(waiting).To(BeNumerically(">", 0))
	s.apply(s.pool.Step(s.now, RunnersListed{nil}))
	s.apply(s.pool.Step(s.now, Tick{}))
	g.Expect(s.refused[ReasonNoRunner]).To(Equal(waiting))
	g.Expect(s.pool.Waiting()).To(BeZero())
}

// Guards against a kind of request that is starved by another one: few long prompts
// beside ten times as many short ones, below and above the capacity of the runners.
// The load is that of estimates of 17,000 prompt tokens beside lookups of 400.
func TestNoPromptSizeIsStarved(t *testing.T) { forEachOrder(t, testPromptSizes) }

func testPromptSizes(t *testing.T, cfg Config) {
	const (
		runners     = 12
		length      = 20 * time.Second
		longTokens  = 2200
		shortTokens = 50
	)
	for name, overload := range map[string]float64{"half load": 0.55, "full load": 1, "overload": 1.6} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(3, 5))
			s := newSimulation(cfg, runners)
			// Nine tenths of the prompt tokens are those of long prompts.
			tokens := overload * runners * enginePrefill * engineStep.Seconds()
			rates := map[string]float64{"long": 0.9 * tokens / longTokens, "short": 0.1 * tokens / shortTokens}
			asked := map[string]int{}
			for begin := s.now; s.now.Sub(begin) < length; s.step() {
				for _, kind := range []string{"long", "short"} {
					for due := random.ExpFloat64(); due < rates[kind]; due += random.ExpFloat64() {
						r := Request{Customer: kind, Weight: 1, Priority: Interactive, PromptTokens: shortTokens, MaxTokens: 4, Deadline: s.now.Add(2500 * time.Millisecond)}
						if kind == "long" {
							r.PromptTokens, r.MaxTokens, r.Deadline = longTokens, 10, s.now.Add(5*time.Second)
						}
						asked[kind]++
						s.send(r)
					}
				}
			}
			all := float64(s.inTime["long"]+s.inTime["short"]) / float64(asked["long"]+asked["short"])
			for _, kind := range []string{"long", "short"} {
				share := float64(s.inTime[kind]) / float64(asked[kind])
				t.Logf("%s: %d asked, %.3f in time", kind, asked[kind], share)
				g.Expect(share).To(BeNumerically(">=", all/2), kind)
			}
		})
	}
}
