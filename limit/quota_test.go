package limit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"time"
)

// The invariant of the deployments that these limits are for: in any window, at most
// (rate*window+burst)*overage+slack tokens run.
const (
	testWindow  = 8 * time.Second
	testOverage = 1.1
	testSlack   = 190_000
	testDaemons = 82
	// Times of the decision, as in package edge.
	testTimeout = 25 * time.Millisecond
	testMaxWait = 250 * time.Millisecond
)

// task is a step of a simulation.
type task struct {
	at  time.Time
	run func()
}

type tasks []task

func (q tasks) Len() int           { return len(q) }
func (q tasks) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q tasks) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)        { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// testDaemon is one daemon with its borrower, its home and its view of the members.
type testDaemon struct {
	*Borrower
	home *Home
	// homeOf is the daemon that this one considers the home; -1 if it has none.
	homeOf, deputyOf int
	// part scales the limits that this daemon lends.
	part   float64
	limits Limits
	// paused delays all that the daemon does until it is woken; down drops it.
	paused time.Time
	down   bool
	// side is the side of a partition.
	side    int
	waiting []func(answered bool)
}

// admission is an admitted request that ran.
type admission struct {
	at     time.Time
	tokens float64
}

// quotaSim simulates daemons that serve one customer, with message delays.
type quotaSim struct {
	now                 time.Time
	queue               tasks
	rng                 *rand.Rand
	daemons             []*testDaemon
	weights             []float64
	ideal               bucket
	limits              Limits
	admitted            []admission
	offered, owed, lost float64
	// waited is the number of requests that waited for an answer.
	requests, messages, waited int
	runs                       func() bool
}

func newQuotaSim(seed uint64, rate float64) *quotaSim {
	s := &quotaSim{now: start, rng: rand.New(rand.NewPCG(seed, 7)), limits: Limits{TokensPerMinute: rate * 60, TokenBurst: rate}}
	s.ideal = bucket{level: rate, at: start}
	for i := range testDaemons {
		d := &testDaemon{Borrower: NewBorrower(), home: NewHome(start.Add(-time.Hour)), part: 1, limits: s.limits}
		d.draw = s.rng.Float64
		d.Timeout, d.Daemons, d.deputyOf = testTimeout, testDaemons, 1
		s.daemons = append(s.daemons, d)
		// Clients are spread unevenly.
		s.weights = append(s.weights, math.Exp(s.rng.NormFloat64()))
		s.every(time.Duration(i)*time.Millisecond, i)
	}
	s.runs = func() bool { return true }
	return s
}

func (s *quotaSim) after(d time.Duration, run func()) {
	heap.Push(&s.queue, task{at: s.now.Add(d), run: run})
}

// on runs something on a daemon, after its pause.
func (s *quotaSim) on(i int, run func()) {
	d := s.daemons[i]
	switch {
	case d.down:
	case s.now.Before(d.paused):
		s.after(d.paused.Sub(s.now), func() { s.on(i, run) })
	default:
		run()
	}
}

// every ticks a daemon.
func (s *quotaSim) every(first time.Duration, i int) {
	s.after(first+askInterval, func() {
		s.on(i, func() {
			d := s.daemons[i]
			d.home.Observe(s.now)
			for _, req := range d.Settle(s.now) {
				s.send(i, d.homeOf, req)
			}
			s.every(0, i)
		})
	})
}

// send sends a request to the home and its answer back.
func (s *quotaSim) send(from, to int, req SliceRequest) {
	s.messages++
	if to < 0 || s.daemons[to].side != s.daemons[from].side {
		return
	}
	s.after(s.delay(), func() {
		s.on(to, func() {
			h := s.daemons[to]
			h.home.Observe(s.now)
			switch {
			case h.homeOf == to:
			case h.deputyOf == to && req.Deputy:
				h.home.Deputize(s.now, "c")
			default:
				return
			}
			limits := h.limits
			limits.TokensPerMinute *= h.part
			limits.TokenBurst *= h.part
			slice := h.home.Lend(s.now, strconv.Itoa(from), req, limits, 0, 1)
			s.after(s.delay(), func() { s.on(from, func() { s.receive(from, to, slice) }) })
		})
	})
}

// delay is the time of one message: on a busy VM some take far longer.
func (s *quotaSim) delay() time.Duration {
	return time.Duration((1.5 + 0.5*s.rng.ExpFloat64()) * float64(time.Millisecond))
}

func (s *quotaSim) receive(i, from int, slice Slice) {
	d := s.daemons[i]
	d.ReceiveFrom(s.now, strconv.Itoa(from), slice)
	waiting := d.waiting
	d.waiting = nil
	for _, resume := range waiting {
		resume(true)
	}
}

// load sends requests at a rate in tokens per second for some time.
func (s *quotaSim) load(rate float64, lasts time.Duration) {
	end := s.now.Add(lasts)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		s.arrive(s.pick(), s.size())
		s.after(time.Duration(s.rng.ExpFloat64()*8070/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

// size returns the tokens of a request: three kinds with a mean of 8,070 in all.
func (s *quotaSim) size() int {
	mean := []float64{17_000, 17_000, 9_200, 9_200, 1_460, 1_460, 1_460}[s.rng.IntN(7)]
	return int(min(max(mean*math.Exp(0.6*s.rng.NormFloat64()-0.18), 300), 60_000))
}

func (s *quotaSim) pick() int {
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	at := s.rng.Float64() * sum
	for i, w := range s.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return 0
}

// arrive decides about a request as package edge does.
func (s *quotaSim) arrive(i, tokens int) {
	d := s.daemons[i]
	if d.down {
		return
	}
	s.requests++
	need := float64(tokens)
	s.offered += need
	s.ideal.fill(s.now, s.limits.tokenRate(), s.limits.TokenBurst)
	inLimit := s.ideal.level >= need
	if inLimit {
		s.ideal.level -= need
		s.owed += need
	}
	arrived := s.now
	finish := func(v Verdict) {
		switch {
		case v == Admitted && !s.runs():
			s.after(time.Second, func() { d.Finish(s.now, "c", tokens, false) })
		case v == Admitted:
			d.Finish(s.now, "c", tokens, true)
			s.admitted = append(s.admitted, admission{arrived, need})
		case inLimit:
			s.lost += need
		}
	}
	timeouts := 0
	var try func(again bool)
	try = func(again bool) {
		home, deputy := "", ""
		if d.homeOf >= 0 {
			home, deputy = strconv.Itoa(d.homeOf), strconv.Itoa(d.deputyOf)
		}
		d.NoteHome(s.now, "c", home, deputy)
		decision := d.Take(s.now, "c", d.limits, tokens, again)
		if decision.Ask != nil {
			if to, err := strconv.Atoi(decision.To); err == nil {
				s.send(i, to, *decision.Ask)
			}
		}
		if decision.Verdict != Pending {
			finish(decision.Verdict)
			return
		}
		if !again {
			s.waited++
		}
		resumed := false
		resume := func(answered bool) {
			if resumed {
				return
			}
			resumed = true
			late := s.now.Sub(arrived) >= testMaxWait
			if answered && !late {
				try(true)
				return
			}
			if timeouts++; timeouts == 1 && !late && d.homeOf >= 0 {
				try(true)
				return
			}
			if decision := d.TakePart(s.now, "c", d.limits, tokens, testDaemons, late || d.homeOf < 0); decision.Verdict != Pending {
				finish(decision.Verdict)
				return
			}
			try(true)
		}
		d.waiting = append(d.waiting, resume)
		s.after(testTimeout, func() { s.on(i, func() { resume(false) }) })
	}
	s.on(i, func() { try(false) })
}

func (s *quotaSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// moveHome lets the daemons of a side learn within half a second that the home is
// another one, which lends the given part of the limits.
func (s *quotaSim) moveHome(side, home, deputy int, part float64) {
	for i, d := range s.daemons {
		if d.side != side || d.down {
			continue
		}
		s.after(time.Duration(s.rng.IntN(500))*time.Millisecond, func() {
			d.homeOf, d.deputyOf, d.part = home, deputy, part
			s.on(i, func() { d.home.OwnershipChanged(s.now, func(string) bool { return home == i }) })
		})
	}
}

// worst returns the highest ratio of the tokens of a window to the bound.
func (s *quotaSim) worst(limits Limits, from time.Time) float64 {
	bound := (limits.tokenRate()*testWindow.Seconds()+limits.TokenBurst)*testOverage + testSlack
	slices.SortStableFunc(s.admitted, func(a, b admission) int { return a.at.Compare(b.at) })
	most, sum, first := 0.0, 0.0, 0
	for i, a := range s.admitted {
		sum += a.tokens
		for s.admitted[i].at.Sub(s.admitted[first].at) > testWindow || s.admitted[first].at.Before(from) && first < i {
			sum -= s.admitted[first].tokens
			first++
		}
		most = max(most, sum/bound)
	}
	return most
}
