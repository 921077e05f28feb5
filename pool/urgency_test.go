package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// replayAt replays a load for 8 s at a multiple of the capacity, after 2 s in which
// the pool learns the speeds of its engines.
func replayAt(name string, factor float64, urgency bool) *replay {
	cfg := DefaultConfig()
	cfg.Urgency = urgency
	r := newReplay(replayLoads[name], cfg, 7)
	r.run(0.6, 2*time.Second)
	r.all = nil
	r.run(factor, 8*time.Second)
	r.run(0, 9*time.Second)
	return r
}

func forEachOverload(t *testing.T, loads []string, test func(t *testing.T, name string, factor float64)) {
	for _, name := range loads {
		for _, factor := range []float64{1.2, 1.5, 2} {
			t.Run(fmt.Sprintf("%s at %.1f", name, factor), func(t *testing.T) { test(t, name, factor) })
		}
	}
}

// Guards against an order under overload in which urgent kinds lose their objective
// behind others, and against kinds, sizes and customers that are starved by that
// order. The loads are those of D1 and D2 in docs/design/hard-load.md.
func TestUrgencyUnderOverload(t *testing.T) {
	forEachOverload(t, []string{"D1", "D2"}, func(t *testing.T, name string, factor float64) {
		g := NewWithT(t)
		off, on := replayAt(name, factor, false), replayAt(name, factor, true)
		every := func(*replayed) bool { return true }
		t.Logf("order by arrival: all %v", off.result(every))
		for kind := range off.load.kinds {
			t.Logf("  rank %d %v", kind, off.kind(kind))
		}
		t.Logf("order by urgency: all %v", on.result(every))
		for kind := range on.load.kinds {
			t.Logf("  rank %d %v", kind, on.kind(kind))
		}
		g.Expect(on.result(every).value()).To(BeNumerically(">", off.result(every).value()))
		g.Expect(on.kind(0).timely()).To(BeNumerically(">", 1.5*off.kind(0).timely()))
		checkNoneStarved(t, on, on.result(every).share())
	})
}

// checkServedAsOften checks that no kind is served more often than a more urgent one
// by over 5 in 100.
func checkServedAsOften(t *testing.T, name string, factor float64) {
	r := replayAt(name, factor, true)
	for kind := range r.load.kinds {
		for urgent := range kind {
			NewWithT(t).Expect(r.kind(kind).share()-r.kind(urgent).share()).To(BeNumerically("<=", 0.05), "rank %d over rank %d", kind, urgent)
		}
	}
}

// Guards against less urgent kinds that are served more often than more urgent ones.
func TestUrgentKindsAreServedAsOften(t *testing.T) {
	forEachOverload(t, []string{"D1"}, checkServedAsOften)
}

// Guards against the same where the urgent kind has the longest prompts.
func TestUrgentLongPromptsAreServedAsOften(t *testing.T) {
	forEachOverload(t, []string{"D2"}, checkServedAsOften)
}

// checkNoneStarved checks the shares of the requests that are served by kind, size
// and customer.
func checkNoneStarved(t *testing.T, r *replay, all float64) {
	g := NewWithT(t)
	for kind := range r.load.kinds {
		var sizes []int
		for _, q := range r.all {
			if q.kind == kind {
				sizes = append(sizes, q.PromptTokens)
			}
		}
		slices.SortFunc(sizes, cmp.Compare)
		between := func(low, high int) float64 {
			return r.result(func(q *replayed) bool { return q.kind == kind && q.PromptTokens >= low && q.PromptTokens < high }).share()
		}
		share := between(0, math.MaxInt)
		p70, p90 := sizes[len(sizes)*7/10], sizes[len(sizes)*9/10]
		g.Expect(share).To(BeNumerically(">=", all/4), "rank %d", kind)
		g.Expect(between(p90, math.MaxInt)).To(BeNumerically(">=", share/2), "largest tenth of rank %d", kind)
		g.Expect(between(p70, p90)).To(BeNumerically(">=", share/2), "fifth below the largest tenth of rank %d", kind)
	}
	for _, customer := range []string{"c0", "c1", "c2"} {
		g.Expect(r.result(func(q *replayed) bool { return q.Customer == customer }).share()).To(BeNumerically(">=", all/4), customer)
	}
}

// Guards against requests that are lost, answered twice or wait forever when engines
// go down and the scheduler is replaced while requests wait.
func TestUrgencySurvivesEngineAndSchedulerLoss(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.Urgency = true
	r := newReplay(replayLoads["D2"], cfg, 9)
	r.run(1.6, 3*time.Second)
	g.Expect(r.pool.Waiting()).To(BeNumerically(">", 0))
	for i := 0; i < replayRunners; i += 3 {
		// The streams of an engine end with it; their entry daemons release them.
		e := r.engines[i]
		r.step(RunnerDown{e.id})
		for _, q := range e.queue {
			r.step(Released{Ticket: q.granted.Ticket})
		}
		e.queue, e.down = nil, true
	}
	r.step(RunnersListed{r.list()})
	checkCounts(t, r.pool)
	r.run(0.8, time.Second)
	// The next scheduler knows nothing of the requests; their entry daemons ask again.
	waiting := r.pool.Waiting()
	g.Expect(waiting).To(BeNumerically(">", 0))
	r.pool = New(r.pool.cfg, 1<<40)
	r.step(RunnersListed{r.list()})
	asked := 0
	for _, q := range r.all {
		if q.granted.Ticket == 0 && !q.refused {
			asked++
			r.step(GrantRequested{q.Request})
		}
	}
	g.Expect(asked).To(Equal(waiting))
	r.run(0, 9*time.Second)
	checkCounts(t, r.pool)
	g.Expect(r.pool.Waiting()).To(BeZero())
	for _, q := range r.all {
		g.Expect(q.refused).NotTo(Equal(q.granted.Ticket != 0), "request %s has one answer", q.ID)
	}
}

// Guards against requests that exclude the others, or wait for ever, because of an
// objective or rank out of range.
func TestUrgencyBoundsObjectiveAndRank(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.Urgency = true
	p := New(cfg, 0)
	p.Step(startTime, RunnersListed{runnerList(1)})
	bad := []Request{
		{Objective: startTime.Add(-time.Hour)}, {Objective: startTime.Add(1000 * time.Hour)}, {Rank: math.MinInt}, {Rank: math.MaxInt},
		{Objective: time.Unix(1<<40, 0), Rank: -1}, {Objective: time.Unix(-1<<40, 0), Rank: 10}, {},
	}
	var tickets []Ticket
	granted := map[string]int{}
	step := func(now time.Time, ev Event) {
		for _, action := range slices.Clone(p.Step(now, ev)) {
			if a, ok := action.(Granted); ok {
				tickets = append(tickets, a.Ticket)
				granted[a.Request]++
			}
		}
	}
	for i, request := range bad {
		request.ID, request.Customer, request.PromptTokens, request.MaxTokens = fmt.Sprint(i), "a", 2000, 10
		step(startTime, GrantRequested{request})
	}
	g.Expect(p.Waiting()).To(BeNumerically(">", 2))
	// Urgent requests arrive all the time, more than the runner can serve.
	now := startTime
	served := func() (n int) {
		for i := range bad {
			n += granted[fmt.Sprint(i)]
		}
		return n
	}
	for i := 0; served() < len(bad); i++ {
		now = now.Add(250 * time.Millisecond)
		g.Expect(now.Sub(startTime)).To(BeNumerically("<", 30*time.Second), "%v", granted)
		step(now, GrantRequested{Request{
			ID: fmt.Sprint("new", i%2), Customer: "a", PromptTokens: 2000, MaxTokens: 10,
			Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second),
		}})
		if len(tickets) > 0 {
			step(now, Released{Ticket: tickets[0]})
			tickets = tickets[1:]
		}
	}
	for i := range bad {
		g.Expect(granted[fmt.Sprint(i)]).To(Equal(1))
	}
	checkCounts(t, p)
}

// Guards against a pool that never returns when a batch request would miss its objective.
func TestBatchRequestWithoutTimeIsPlaced(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	cfg.Urgency, cfg.MaxOpen = true, 1
	p := New(cfg, 0)
	p.Step(startTime, RunnersListed{runnerList(1)})
	counts := map[string]int{}
	request := Request{ID: "a", Entry: "e", Customer: "c", Priority: Batch, PromptTokens: 10, MaxTokens: 10}
	grantedOn(p.Step(startTime, GrantRequested{request}), counts)
	request.ID, request.Objective = "b", startTime.Add(time.Second)
	grantedOn(p.Step(startTime, GrantRequested{request}), counts)
	stepped := make(chan []Action, 1)
	go func() { stepped <- p.Step(startTime.Add(2*time.Second), Released{Ticket: 1, Tokens: 10}) }()
	var actions []Action
	g.Eventually(stepped).Should(Receive(&actions))
	grantedOn(actions, counts)
	g.Expect(counts).To(Equal(map[string]int{"r0": 2}))
}
