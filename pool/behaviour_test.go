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
	refused       map[Reason]int
	refusedBy     map[string]int
	refusals      int
	lastRetry     time.Duration
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
	e := &simulation{
		pool: New(cfg, 0), now: startTime, queue: map[string][]*stream{}, requests: map[string]Request{},
		tokens: map[string]float64{}, refused: map[Reason]int{}, refusedBy: map[string]int{},
	}
	e.apply(e.pool.Step(e.now, RunnersListed{runnerList(runners)}))
	return e
}

func (e *simulation) send(r Request) {
	e.next++
	r.ID = fmt.Sprint(e.next)
	e.requests[r.ID] = r
	e.apply(e.pool.Step(e.now, GrantRequested{r}))
}

func (e *simulation) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Granted:
			r := e.requests[a.Request]
			delete(e.requests, a.Request)
			e.granted++
			e.tokens[r.Customer] += float64(r.PromptTokens + r.MaxTokens)
			e.queue[a.Runner] = append(e.queue[a.Runner], &stream{
				Granted: a, request: r, prompt: float64(r.PromptTokens), left: float64(r.MaxTokens), granted: e.now, reported: e.now,
			})
		case Refused:
			e.refusals++
			e.refusedBy[e.requests[a.Request].Customer]++
			delete(e.requests, a.Request)
			e.refused[a.Reason]++
			e.lastRetry = a.RetryAfter
		}
	}
}

func (e *simulation) step() {
	e.now = e.now.Add(engineStep)
	for i := range MaxRunners {
		e.run(fmt.Sprintf("r%d", i))
	}
	e.apply(e.pool.Step(e.now, Tick{}))
}

func (e *simulation) run(id string) {
	budget := enginePrefill * engineStep.Seconds()
	streams := 0
	for _, s := range e.queue[id] {
		if s.prompt <= 0 {
			streams++
		}
	}
	rate := engineStep.Seconds() / (0.010 + 0.0003*float64(streams))
	kept := e.queue[id][:0]
	var events []Event
	for _, s := range e.queue[id] {
		if s.prompt > 0 {
			read := min(budget, s.prompt)
			s.prompt -= read
			budget -= read
			kept = append(kept, s)
			continue
		}
		s.produced += rate
		if s.first == 0 {
			s.first = e.now.Sub(s.granted)
			if !s.request.Deadline.IsZero() && e.now.After(s.request.Deadline) {
				e.late++
			}
			events = append(events, Progressed{s.Ticket, 1, s.first, 0})
			s.reported, s.reportedAt = e.now, 1
		}
		if s.produced >= s.left {
			events = append(events, Released{s.Ticket, int(s.left)})
			continue
		}
		if e.now.Sub(s.reported) >= 500*time.Millisecond {
			grown := int(s.produced) - s.reportedAt
			events = append(events, Progressed{s.Ticket, int(s.produced), s.first, e.now.Sub(s.reported) / time.Duration(max(grown, 1))})
			s.reported, s.reportedAt = e.now, int(s.produced)
		}
		kept = append(kept, s)
	}
	e.queue[id] = kept
	for _, ev := range events {
		e.apply(e.pool.Step(e.now, ev))
	}
}

// fillBacklog sends requests until want requests of the customer wait or one is
// not queued.
func (e *simulation) fillBacklog(customer string, weight float64, priority Priority, want int) {
	c := e.pool.customer(customer, weight)
	for c.class[priority].count < want {
		before := e.pool.Waiting()
		e.send(Request{Customer: customer, Weight: weight, Priority: priority, PromptTokens: 1000, MaxTokens: 50})
		if e.pool.Waiting() <= before {
			return
		}
	}
}

// Guards against a customer that gets part of another's share: backlogged
// customers must get tokens in proportion to their weights.
func TestWeightedShareOfBackloggedCustomers(t *testing.T) {
	g := NewWithT(t)
	e := newSimulation(DefaultConfig(), 2)
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	for i := range 8000 {
		if i == 400 {
			// Until all three are backlogged, the first to arrive gets more.
			clear(e.tokens)
		}
		for _, name := range []string{"a", "b", "c"} {
			for range 3 {
				e.fillBacklog(name, weights[name], Interactive, 8)
			}
		}
		e.step()
	}
	total := e.tokens["a"] + e.tokens["b"] + e.tokens["c"]
	for name, weight := range weights {
		g.Expect(e.tokens[name]/total).To(BeNumerically("~", weight/8, 0.03*weight/8), name)
	}
}

// Guards against starvation of batch work, and against batch work above its floor
// while interactive work waits.
func TestBatchFloor(t *testing.T) {
	g := NewWithT(t)
	e := newSimulation(DefaultConfig(), 2)
	for range 4000 {
		for range 3 {
			e.fillBacklog("a", 1, Interactive, 8)
			e.fillBacklog("b", 1, Batch, 8)
		}
		e.step()
	}
	share := e.tokens["b"] / (e.tokens["a"] + e.tokens["b"])
	g.Expect(share).To(BeNumerically("~", 0.10, 0.01))
}

// Guards against a flood by one customer that slows the others. With one customer
// at ten times its share, the others must get at least 97% of the timely answers
// that they get without the flood.
func TestFloodAffectsOnlyItsCustomer(t *testing.T) {
	g := NewWithT(t)
	inTime := func(flood bool) int {
		e := newSimulation(DefaultConfig(), 4)
		random := rand.New(rand.NewPCG(5, 6))
		sent := 0
		for i := range 4000 {
			for range 2 {
				// Four well-behaved customers use 80% of their share of a fifth.
				if name := random.IntN(4); random.Float64() < 0.8*0.8*enginePrefill*4*engineStep.Seconds()/1000/2 {
					e.send(Request{Customer: fmt.Sprint(name), PromptTokens: 950, MaxTokens: 50, Deadline: e.now.Add(1200 * time.Millisecond)})
					sent++
				}
			}
			if flood && i%3 == 0 {
				e.send(Request{Customer: "flood", PromptTokens: 950, MaxTokens: 50, Deadline: e.now.Add(1200 * time.Millisecond)})
			}
			e.step()
		}
		refused := e.refusals - e.refusedBy["flood"]
		t.Logf("flood %v: sent %d, refused %d, late %d, granted %d", flood, sent, refused, e.late, e.granted)
		return sent - refused - e.late
	}
	g.Expect(float64(inTime(true))).To(BeNumerically(">=", 0.97*float64(inTime(false))))
}

// runLoad runs Poisson arrivals at a multiple of the capacity of the runners.
func runLoad(cfg Config, runners int, factor float64, seconds int) *simulation {
	e := newSimulation(cfg, runners)
	random := rand.New(rand.NewPCG(1, 2))
	next := 0.0
	for range seconds * int(time.Second/engineStep) {
		for next <= e.now.Sub(startTime).Seconds() {
			customer, customers := "heavy", 8
			if random.IntN(2) == 0 {
				customer = fmt.Sprint("c", random.IntN(customers))
			}
			prompt := 200 + random.IntN(1800)
			e.send(Request{
				Customer: customer, PromptTokens: prompt, MaxTokens: 20 + random.IntN(60),
				Deadline: e.now.Add(1200 * time.Millisecond),
			})
			next += random.ExpFloat64() * 1100 / (enginePrefill * float64(runners) * factor)
		}
		e.step()
	}
	return e
}

// Guards against granted requests that miss their deadline, which must be fewer
// than 3%, and against refusals while there is room.
func TestAdmittedRequestsMeetDeadlines(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{0.5, 1.5, 4} {
		e := runLoad(DefaultConfig(), 4, factor, 10)
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
func TestRetryAfterIsLongEnough(t *testing.T) {
	g := NewWithT(t)
	e := newSimulation(DefaultConfig(), 2)
	request := func() Request {
		return Request{Customer: "a", PromptTokens: 1500, MaxTokens: 10, Deadline: e.now.Add(time.Second)}
	}
	for round := range 5 {
		for e.refused[ReasonDeadline] == round {
			e.send(request())
		}
		for until := e.now.Add(e.lastRetry); e.now.Before(until); {
			e.step()
		}
		refused, granted := e.refused[ReasonDeadline], e.granted+e.pool.Waiting()
		retryAfter := e.lastRetry
		e.send(request())
		t.Logf("round %d: Retry-After %v, then %v", round, retryAfter, e.lastRetry)
		g.Expect(e.refused[ReasonDeadline]).To(Equal(refused), "round %d", round)
		g.Expect(e.granted + e.pool.Waiting()).To(BeNumerically(">", granted))
		for range 500 {
			e.step()
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
	e := newSimulation(DefaultConfig(), 1)
	for range 20 {
		e.send(Request{Customer: "a", PromptTokens: 1000, MaxTokens: 10})
	}
	waiting := e.pool.Waiting()
	g.Expect(waiting).To(BeNumerically(">", 0))
	e.apply(e.pool.Step(e.now, RunnersListed{nil}))
	e.apply(e.pool.Step(e.now, Tick{}))
	g.Expect(e.refused[ReasonNoRunner]).To(Equal(waiting))
	g.Expect(e.pool.Waiting()).To(BeZero())
}
