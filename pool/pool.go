// Package pool schedules the requests of one model in one failure domain over
// at most 32 runners. It holds exact counts of the granted work, orders waiting
// requests by weighted fair queueing, predicts the time to first token and
// immediately refuses requests that would miss their deadline.
package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/cost"
)

// Pool is the state machine of one pool. It isn't safe for concurrent use.
type Pool struct {
	cfg     Config
	runners [MaxRunners]*runner
	slots   map[string]int

	tickets        map[Ticket]*ticket
	lastTicket     Ticket
	oldest, newest *ticket
	freeTickets    *ticket

	customers map[customerKey]*customer
	// answers learns the lengths of answers; nil before the first one.
	answers *cost.Kinds
	queue   fairQueue
	free    *waitingRequest

	prefixes *prefixIndex
	// poolPredictor is the predictor over all runners. New runners start from a
	// copy.
	poolPredictor latencyPredictor
	// rate estimates the pool's service rate.
	rate serviceRate
	// lateRate estimates the service rate of the requests that lost their objective.
	lateRate serviceRate

	// arrived holds the totals of arrived work; its other fields are unused.
	arrived       Demand
	sequence      uint64
	actions       []Action
	scratch       [MaxRunners]Candidate
	prefixMatches [MaxRunners]int
	currentView   View
	// collected is the part of scratch that the last collection filled.
	collected []Candidate
	// prefillWait and betweenTokens are the bounds of cfg in seconds.
	prefillWait, betweenTokens float64
	// probeRequest is a request without requirements. It tests whether runners
	// have room at all.
	probeRequest waitingRequest
}

// New returns an empty pool. Tickets are numbered from first+1. Successive
// schedulers of a pool must pass values of first whose ticket numbers don't
// overlap, for example Unix nanoseconds.
func New(cfg Config, first Ticket) *Pool {
	return &Pool{
		cfg:           cfg,
		slots:         map[string]int{},
		tickets:       map[Ticket]*ticket{},
		lastTicket:    first,
		customers:     map[customerKey]*customer{},
		queue:         fairQueue{fair: cfg.FairQueueing, urgency: urgencyOrder{enabled: cfg.Urgency && cfg.FairQueueing}},
		prefixes:      newPrefixIndex(cfg.PrefixBlocks),
		poolPredictor: newPredictor(cfg.PrefillRate),
		prefillWait:   cfg.PrefillWait.Seconds(), betweenTokens: cfg.BetweenTokens.Seconds(),
	}
}

// Step applies one event and returns the resulting actions. The slice is valid
// until the next step.
func (p *Pool) Step(now time.Time, event Event) []Action {
	p.actions = p.actions[:0]
	switch ev := event.(type) {
	case GrantRequested:
		p.enqueueOrRefuse(now, &ev.Request)
	case Cancelled:
		p.cancel(&ev)
	case Adopted:
		p.adopt(now, &ev)
	case Prefilled:
		p.prefilled(now, &ev)
	case CacheNoted:
		p.noteCache(&ev)
	case Progressed:
		p.progress(now, &ev)
	case Released:
		p.release(now, &ev)
	case RunnersListed:
		p.listRunners(now, ev.Runners)
	case RunnerDown:
		if r := p.runnerByID(ev.Runner); r != nil {
			r.down, r.downAt = true, now
			p.prefixes.removeRunner(r.slot)
		}
	case RunnerLimited:
		if r := p.runnerByID(ev.Runner); r != nil {
			r.setLimit(now, &ev)
		}
	case LoadReported:
		p.reportLoad(now, &ev.Load)
	case CacheReported:
		p.reportCache(now, &ev)
	case EntryGone:
		p.entryGone(now, ev.Entry)
	case Tick:
		p.expireTickets(now)
		p.refuseExpired(now)
		p.dropIdleCustomers()
	}
	p.dispatch(now)
	return p.actions
}

// Waiting returns the number of requests that wait for a grant.
func (p *Pool) Waiting() int { return p.queue.count }

// Open returns the number of open tickets.
func (p *Pool) Open() int { return len(p.tickets) }

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

// maxIdleChecks bounds the customers that one step checks, so that its time
// doesn't grow with the number of customers.
const maxIdleChecks = 64

// dropIdleCustomers drops the state of customers that are idle.
func (p *Pool) dropIdleCustomers() {
	checked := 0
	for key, c := range p.customers {
		if checked++; checked > maxIdleChecks {
			return
		}
		if c.idle(&p.queue) {
			delete(p.customers, key)
		}
	}
}

// idle reports whether a customer has no open tickets, no waiting requests and no
// virtual finish time after virtual time.
func (c *customer) idle(q *fairQueue) bool {
	if c.open > 0 {
		return false
	}
	for class := range priorities {
		b := &c.class[class]
		if b.head != nil || b.virtualFinish > q.virtualTime[class] {
			return false
		}
	}
	return true
}

// initialAnswerRatio is the share of MaxTokens that the answers of a new
// customer are expected to use.
const initialAnswerRatio = 0.5

// customerKey identifies the state of a customer. Requests of a required version have a
// state of their own, so that those that any runner may serve don't wait behind them.
type customerKey struct{ name, version string }

// customer returns the state of the customer of a request, which it creates if
// necessary, and applies a changed weight.
func (p *Pool) customer(req *Request) *customer {
	key, weight := customerKey{req.Customer, req.Version}, req.Weight
	c := p.customers[key]
	if c == nil {
		c = &customer{name: req.Customer, version: req.Version, weight: 1, answerRatio: initialAnswerRatio}
		for class := range priorities {
			c.class[class] = backlog{owner: c, heapIndex: -1}
		}
		p.customers[key] = c
	}
	if weight > 0 && weight != c.weight {
		for class := range priorities {
			if c.class[class].head != nil {
				p.queue.weight[class] += weight - c.weight
			}
		}
		c.weight = weight
	}
	return c
}
