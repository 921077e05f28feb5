package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// replayKind is a kind of requests of a replayed load.
type replayKind struct {
	name                string
	objective, deadline time.Duration
	rank, in, out       int
	perSecond           float64
}

// replayLoad is a load on 18 prefill and 12 decode engines of speeds 0.6, 1 and 1.6.
type replayLoad struct {
	prefill   float64 // tokens per second of an engine of speed 1
	customers int
	kinds     []replayKind
}

var replayLoads = map[string]replayLoad{
	"D1": {prefill: 56_000, customers: 75, kinds: []replayKind{
		{"rank0", 500 * time.Millisecond, 8 * time.Second, 0, 1460, 25, 74},
		{"rank1", 600 * time.Millisecond, 5 * time.Second, 1, 9200, 7, 43},
		{"rank2", 800 * time.Millisecond, 8 * time.Second, 2, 17000, 17, 58},
	}},
	"D2": {prefill: 37_900, customers: 87, kinds: []replayKind{
		{"rank0", 800 * time.Millisecond, 6 * time.Second, 0, 17000, 12, 31},
		{"rank1", 1500 * time.Millisecond, 4 * time.Second, 1, 9200, 5, 37},
		{"rank2", 3000 * time.Millisecond, 8 * time.Second, 2, 1460, 17, 34},
	}},
}

const (
	replayStep    = 2 * time.Millisecond
	replayMessage = 2 * time.Millisecond
	// replayLateValue is the value of an answer after its objective.
	replayLateValue = 0.45
	replayPrefills  = 18
	replayRunners   = 30
)

// replayed is a request of a replay.
type replayed struct {
	Request
	kind    int
	granted Granted
	arrived time.Time
	at      time.Time // of the grant
	left    float64   // prompt tokens that are not cached
	readyAt time.Time // end of the transfer
	first   time.Time
	refused bool
	doneAt  time.Time
}

type replayEngine struct {
	id     string
	speed  float64
	decode bool
	noise  float64
	down   bool
	queue  []*replayed
	cache  map[uint64]bool
}

// replay plays a load on a pool with fake time and fake engines.
type replay struct {
	load    replayLoad
	random  *rand.Rand
	pool    *Pool
	now     time.Time
	engines []*replayEngine
	byID    map[string]*replayed
	all     []*replayed
	streams []*replayed
}

func newReplay(load replayLoad, cfg Config, seed uint64) *replay {
	cfg.RunnerTimeout, cfg.DownFor = 0, time.Second
	cfg.DecodePrefills, cfg.DecodePrefillFactor = true, 2
	cfg.PrefillRate, cfg.PrefillWait = 50_000, 600*time.Millisecond
	cfg.Policy = DefaultPolicy()
	r := &replay{load: load, random: rand.New(rand.NewPCG(seed, 1)), pool: New(cfg, 0), now: startTime, byID: map[string]*replayed{}}
	for i := range replayRunners {
		r.engines = append(r.engines, &replayEngine{id: fmt.Sprint("r", i), speed: []float64{0.6, 1, 1.6}[i%3], decode: i >= replayPrefills, noise: 1, cache: map[uint64]bool{}})
	}
	r.step(RunnersListed{r.list()})
	return r
}

func (r *replay) list() []RunnerInfo {
	var list []RunnerInfo
	for i, e := range r.engines {
		if e.down {
			continue
		}
		info := runnerInfo(i)
		info.Role, info.KVTotal = backend.RolePrefill, 400_000
		if e.decode {
			info.Role = backend.RoleDecode
		}
		list = append(list, info)
	}
	return list
}

func (r *replay) step(ev Event) {
	for _, action := range slices.Clone(r.pool.Step(r.now, ev)) {
		switch a := action.(type) {
		case Granted:
			q := r.byID[a.Request]
			q.granted, q.at = a, r.now
			id := a.Prefill
			if id == "" {
				id = a.Runner
			}
			e := r.engine(id)
			q.left = 1
			cached := true
			for i, b := range q.Blocks {
				cached = cached && e.cache[b]
				if !cached {
					q.left += float64(q.BlockTokens[i])
				}
				e.cache[b] = i+1 < len(q.Blocks)
			}
			e.queue = append(e.queue, q)
		case Refused:
			r.byID[a.Request].refused = true
			r.byID[a.Request].doneAt = r.now
		}
	}
}

func (r *replay) engine(id string) *replayEngine {
	i := slices.IndexFunc(r.engines, func(e *replayEngine) bool { return e.id == id })
	return r.engines[i]
}

// perStep returns the mean arrivals of each kind in a step. At a factor of 1 the
// prefill engines are busy.
func (r *replay) perStep(factor float64) []float64 {
	tokens := 0.0
	for _, k := range r.load.kinds {
		tokens += 0.7 * float64(k.in) * k.perSecond
	}
	capacity := 0.91 * r.load.prefill * replayPrefills * (0.6 + 1 + 1.6) / 3
	out := make([]float64, len(r.load.kinds))
	for i, k := range r.load.kinds {
		out[i] = factor * k.perSecond * capacity / tokens * replayStep.Seconds()
	}
	return out
}

// run plays the load at a multiple of the capacity.
func (r *replay) run(factor float64, length time.Duration) {
	perStep := r.perStep(factor)
	for until := r.now.Add(length); r.now.Before(until); {
		r.now = r.now.Add(replayStep)
		for kind, rate := range perStep {
			for due := r.random.ExpFloat64(); due < rate; due += r.random.ExpFloat64() {
				r.arrive(kind)
			}
		}
		r.advance()
	}
}

func (r *replay) arrive(kind int) {
	k := r.load.kinds[kind]
	const sigma = 0.9
	tokens := func(mean int) int {
		return int(min(max(float64(mean)*math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2), 1), 150_000))
	}
	// A few customers are large: half of the requests are those of three.
	customer := r.random.IntN(3)
	if r.random.IntN(2) == 0 {
		customer = r.random.IntN(r.load.customers)
	}
	prompt := tokens(k.in)
	shared := prompt * 3 / 10
	q := &replayed{kind: kind, arrived: r.now, Request: Request{
		ID: fmt.Sprint(len(r.byID)), Entry: "e", Customer: fmt.Sprint("c", customer), PromptTokens: prompt, MaxTokens: 2 * tokens(k.out),
		Blocks:      []uint64{uint64(customer*100 + kind*10 + r.random.IntN(6)), uint64(1e6 + len(r.byID))},
		BlockTokens: []int{shared, prompt - shared},
		Deadline:    r.now.Add(k.deadline), Objective: r.now.Add(k.objective), Rank: k.rank,
	}}
	r.byID[q.ID] = q
	r.all = append(r.all, q)
	r.step(GrantRequested{q.Request})
}

// advance plays one step of the engines.
func (r *replay) advance() {
	newPeriod := r.now.Sub(startTime)%(600*time.Millisecond) < replayStep
	for _, e := range r.engines {
		if newPeriod {
			e.noise = 1
			if r.random.Float64() < 0.15 {
				e.noise = 2.5
			}
		}
		budget := r.load.prefill * e.speed / e.noise * replayStep.Seconds()
		if e.decode {
			budget /= 2
		}
		for len(e.queue) > 0 && budget > 0 && r.now.Sub(e.queue[0].at) >= 2*replayMessage {
			q := e.queue[0]
			used := min(budget, q.left)
			budget -= used
			if q.left -= used; q.left > 0 {
				break
			}
			e.queue = e.queue[1:]
			q.readyAt = r.now.Add(replayStep)
			if q.granted.Prefill != "" {
				r.step(Prefilled{Ticket: q.granted.Ticket, Took: r.now.Sub(q.at)})
				q.readyAt = r.now.Add(time.Duration(r.pool.transferTime(q.PromptTokens) * float64(time.Second)))
			}
			r.streams = append(r.streams, q)
		}
	}
	kept := r.streams[:0]
	for _, q := range r.streams {
		switch {
		case q.first.IsZero() && !r.now.Before(q.readyAt):
			q.first = r.now
			q.doneAt = r.now.Add(time.Duration(q.MaxTokens/2) * 12 * time.Millisecond)
			r.step(Progressed{Ticket: q.granted.Ticket, Tokens: 1, FirstToken: r.now.Sub(q.at)})
		case !q.first.IsZero() && !r.now.Before(q.doneAt):
			r.step(Released{Ticket: q.granted.Ticket, Tokens: q.MaxTokens / 2})
			continue
		}
		kept = append(kept, q)
	}
	r.streams = kept
	r.step(Tick{})
}

// replayResult counts the requests of a kind or customer.
type replayResult struct {
	asked, served, inTime, lostInQueue, lostOnEngine, refused, refusedLate int
	worstWait                                                              time.Duration
}

func (s replayResult) share() float64  { return float64(s.served) / float64(max(s.asked, 1)) }
func (s replayResult) timely() float64 { return float64(s.inTime) / float64(max(s.asked, 1)) }
func (s replayResult) value() float64 {
	return (float64(s.inTime) + replayLateValue*float64(s.served-s.inTime)) / float64(max(s.asked, 1))
}

func (s replayResult) String() string {
	return fmt.Sprintf("asked %4d served %.3f timely %.3f value %.3f lost queue %d engine %d refused %d (late %d) worst %v",
		s.asked, s.share(), s.timely(), s.value(), s.lostInQueue, s.lostOnEngine, s.refused, s.refusedLate, s.worstWait)
}

func (r *replay) result(match func(*replayed) bool) replayResult {
	var s replayResult
	for _, q := range r.all {
		if !match(q) {
			continue
		}
		s.asked++
		if q.refused {
			s.refused++
			if q.doneAt.Sub(q.arrived) > 50*time.Millisecond {
				s.refusedLate++
			}
			continue
		}
		if q.first.IsZero() || q.first.After(q.Deadline) {
			continue
		}
		s.served++
		s.worstWait = max(s.worstWait, q.at.Sub(q.arrived))
		late := q.first.Sub(q.Objective)
		switch {
		case late <= 0:
			s.inTime++
		case q.at.Sub(q.arrived) > q.first.Sub(q.at):
			s.lostInQueue++
		default:
			s.lostOnEngine++
		}
	}
	return s
}

func (r *replay) kind(kind int) replayResult {
	return r.result(func(q *replayed) bool { return q.kind == kind })
}
