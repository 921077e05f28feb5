package claim

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	tickInterval = 50 * time.Millisecond
	readLimit    = 500
	readWait     = time.Second
	readRetry    = 100 * time.Millisecond
	// readTimeout is the time after which a read without a response fails.
	readTimeout   = readWait + time.Second
	appendTimeout = 2 * time.Second
	// downAfter is how long reads must fail before the log counts as unreachable.
	downAfter = time.Second
)

// Runner runs the machines of all shards on the platform's log. It is safe for
// concurrent use.
type Runner struct {
	shards [Shards]*shardRunner
}

// NewRunner returns a runner for the incarnation owner. Until Run has read the
// log, all requests are refused.
func NewRunner(config Config, owner string, log hosting.Log) *Runner {
	r := &Runner{}
	for i := range r.shards {
		r.shards[i] = &shardRunner{
			config:  config,
			owner:   owner,
			shard:   i,
			log:     log,
			replies: map[uint64]chan Decision{},
			notify:  make(chan struct{}, 1),
			stopped: make(chan struct{}),
		}
	}
	return r
}

// Run runs the machines until the context ends. It returns the context's error.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range r.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Claim waits for the decision about a request, until shortly after the deadline
// at most. If the context ends first, it returns Refused unless the request is
// already decided. A Granted request must be run and finished even then.
func (r *Runner) Claim(ctx context.Context, request Request, deadline time.Time) Decision {
	s := r.shards[request.Shard()]
	d := s.claim(ctx, request, deadline)
	if d.State == Granted {
		d.Token = strconv.Itoa(s.shard) + ":" + d.Token
	}
	return d
}

// Finish records the outcome of a granted request. It does not block.
func (r *Runner) Finish(token string, outcome Outcome) {
	shard, token, _ := strings.Cut(token, ":")
	i, err := strconv.Atoi(shard)
	if err != nil || i < 0 || i >= Shards {
		panic("claim: token was not given by Claim")
	}
	r.shards[i].post(message{event: Finished{Token: token, Outcome: outcome}})
}

// OwnerGone reports that an incarnation has ended or is unreachable.
func (r *Runner) OwnerGone(owner string) {
	for _, s := range r.shards {
		s.post(message{event: OwnerGone{Owner: owner}})
	}
}

// Drain waits until every granted request has its outcome in the log, or until
// the context ends.
func (r *Runner) Drain(ctx context.Context) error {
	for _, s := range r.shards {
		for !s.idle(ctx) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			wait(ctx, tickInterval)
		}
	}
	return nil
}

// message is an event for the shard's goroutine or, if idle is set, a query.
type message struct {
	event Event
	// idle receives whether the machine is idle.
	idle chan bool
	// reply receives the decision of an Asked.
	reply chan Decision
	// cancelled is closed when a Cancelled was handled.
	cancelled chan struct{}
}

// shardRunner owns the machine of one shard. Only the goroutine of run accesses
// machine and replies.
type shardRunner struct {
	config  Config
	owner   string
	shard   int
	log     hosting.Log
	machine *Machine
	replies map[uint64]chan Decision

	mu      sync.Mutex
	mailbox []message
	ticket  uint64
	notify  chan struct{}
	stopped chan struct{}
}

func (s *shardRunner) post(m message) {
	s.mu.Lock()
	s.mailbox = append(s.mailbox, m)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *shardRunner) idle(ctx context.Context) bool {
	answer := make(chan bool, 1)
	s.post(message{idle: answer})
	select {
	case idle := <-answer:
		return idle
	case <-s.stopped:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shardRunner) claim(ctx context.Context, request Request, deadline time.Time) Decision {
	reply := make(chan Decision, 1)
	s.mu.Lock()
	s.ticket++
	ticket := s.ticket
	s.mu.Unlock()
	s.post(message{event: Asked{Ticket: ticket, Request: request, Deadline: deadline}, reply: reply})
	select {
	case d := <-reply:
		return d
	case <-s.stopped:
	case <-ctx.Done():
		cancelled := make(chan struct{})
		s.post(message{event: Cancelled{Ticket: ticket}, cancelled: cancelled})
		select {
		case <-cancelled:
		case <-s.stopped:
		}
	}
	select {
	case d := <-reply:
		return d
	default:
		return Decision{State: Refused}
	}
}

// run processes messages, pages, append results and ticks until the context ends.
func (s *shardRunner) run(ctx context.Context) error {
	defer close(s.stopped)
	pages := make(chan readResult)
	appends := make(chan AppendEnded)
	var helpers sync.WaitGroup
	defer helpers.Wait()
	helpers.Go(func() { s.read(ctx, pages) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var failingSince time.Time
	for {
		var actions []Action
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.notify:
			actions = s.handleMessages()
		case page := <-pages:
			actions = s.handlePage(page, &failingSince)
		case result := <-appends:
			actions = s.machine.Step(time.Now(), result)
		case now := <-tick.C:
			if s.machine != nil {
				actions = s.machine.Step(now, Tick{})
			}
		}
		s.answer(actions)
		for _, action := range actions {
			if a, ok := action.(Append); ok {
				helpers.Go(func() { s.append(ctx, a, appends) })
			}
		}
	}
}

func (s *shardRunner) handleMessages() []Action {
	s.mu.Lock()
	messages := s.mailbox
	s.mailbox = nil
	s.mu.Unlock()
	var actions []Action
	for _, m := range messages {
		if m.idle != nil {
			m.idle <- s.machine == nil || s.machine.Idle()
			continue
		}
		if asked, ok := m.event.(Asked); ok {
			s.replies[asked.Ticket] = m.reply
		}
		actions = append(actions, s.step(m.event)...)
		if cancelled, ok := m.event.(Cancelled); ok {
			// An earlier decision must be in the reply channel before cancelled is
			// closed.
			s.answer(actions)
			delete(s.replies, cancelled.Ticket)
			close(m.cancelled)
		}
	}
	return actions
}

// step passes an event to the machine. It refuses requests while the first
// readable offset, and with it the machine, is not known.
func (s *shardRunner) step(event Event) []Action {
	if s.machine != nil {
		return s.machine.Step(time.Now(), event)
	}
	if asked, ok := event.(Asked); ok {
		return []Action{Decide{asked.Ticket, Decision{State: Refused}}}
	}
	return nil
}

func (s *shardRunner) answer(actions []Action) {
	for _, action := range actions {
		d, ok := action.(Decide)
		if !ok || s.replies[d.Ticket] == nil {
			continue
		}
		s.replies[d.Ticket] <- d.Decision
		delete(s.replies, d.Ticket)
	}
}

func (s *shardRunner) append(ctx context.Context, a Append, appends chan<- AppendEnded) {
	limited, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	_, outcome, _ := s.log.Append(limited, Stream(s.shard), a.Data)
	result := AppendUnknown
	switch outcome {
	case hosting.OutcomeDone:
		result = AppendDone
	case hosting.OutcomeRefused:
		result = AppendRefused
	}
	select {
	case appends <- AppendEnded{ID: a.ID, Result: result}:
	case <-ctx.Done():
	}
}

// readResult is a page of the log or the error of a failed read.
type readResult struct {
	page hosting.Page
	err  error
}

// read reads the stream page by page until the context ends.
func (s *shardRunner) read(ctx context.Context, pages chan<- readResult) {
	next := int64(0)
	for ctx.Err() == nil {
		limited, stop := context.WithTimeout(ctx, readTimeout)
		page, err := s.log.Read(limited, Stream(s.shard), next, readLimit, readWait)
		stop()
		var trimmed *hosting.TrimmedError
		if errors.As(err, &trimmed) {
			page, err = hosting.Page{First: trimmed.First, Next: trimmed.First}, nil
			next = trimmed.First
		}
		if n := len(page.Records); err == nil && n > 0 {
			next = page.Records[n-1].Offset + 1
		}
		select {
		case pages <- readResult{page, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			wait(ctx, readRetry)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *shardRunner) handlePage(r readResult, failingSince *time.Time) []Action {
	now := time.Now()
	if r.err != nil {
		if failingSince.IsZero() {
			*failingSince = now
		}
		if s.machine == nil || now.Sub(*failingSince) < downAfter {
			return nil
		}
		return s.machine.Step(now, LogState{Up: false})
	}
	*failingSince = time.Time{}
	if s.machine == nil {
		s.machine = NewMachine(s.config, s.owner, s.shard, r.page.First)
	}
	actions := s.machine.Step(now, Trimmed{First: r.page.First})
	actions = append(actions, s.machine.Step(now, LogState{Up: true})...)
	for _, record := range r.page.Records {
		actions = append(actions, s.machine.Step(now, RecordRead{Offset: record.Offset, Data: record.Data})...)
	}
	return actions
}
