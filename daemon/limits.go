package daemon

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/limit"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// renewInterval is the time between renewals of slices.
	renewInterval = 100 * time.Millisecond
	// maxHomeAnswers is the maximum number of answers of the home for which one
	// request waits.
	maxHomeAnswers = 3
)

// SliceRequest asks the home daemon of a customer for a slice of its limits.
type SliceRequest struct {
	limit.SliceRequest
}

// Slice is the home daemon's answer to a SliceRequest.
type Slice struct{ limit.Slice }

// MessageKind implements peer.Message.
func (*SliceRequest) MessageKind() peer.Kind { return kindSliceRequest }

// MessageKind implements peer.Message.
func (*Slice) MessageKind() peer.Kind { return kindSliceReply }

func homeName(customer string) string { return "customer/" + customer }

func limitsOf(row *table.Customer) limit.Limits {
	return limit.Limits{
		RequestsPerSecond: row.RequestsPerSecond,
		Burst:             float64(row.Burst),
		Concurrency:       row.Concurrency,
		TokensPerMinute:   float64(row.TokensPerMinute),
	}
}

// limiter implements gateway.Limiter on traffic goroutines. The control
// goroutine takes its lock only to deliver answers of homes and to renew
// slices, never while it lends slices.
type limiter struct {
	self    string
	view    func() *view
	current *table.Current
	send    func(vm string, m peer.Message)

	mu       sync.Mutex
	borrower *limit.Borrower
	waiting  map[string][]chan struct{}
}

func newLimiter(self string, view func() *view, current *table.Current, send func(string, peer.Message)) *limiter {
	return &limiter{
		self:     self,
		view:     view,
		current:  current,
		send:     send,
		borrower: limit.NewBorrower(),
		waiting:  map[string][]chan struct{}{},
	}
}

// Admit implements gateway.Limiter.
func (l *limiter) Admit(customer *gateway.Customer, tokens int64) (func(int64), *gateway.Refusal) {
	limits := limitsOf(customer)
	decision := l.decide(customer.Name, limits, int(tokens))
	switch decision.Verdict {
	case limit.Admitted:
		return func(used int64) { l.done(customer.Name, tokens, used) }, nil
	default:
		return nil, &gateway.Refusal{
			Status:     http.StatusTooManyRequests,
			Code:       "rate_limited",
			Message:    "the customer's limit is reached",
			RetryAfter: decision.RetryAfter,
		}
	}
}

// decide decides from the slice, waits briefly for the home if the slice does
// not cover the request, and otherwise uses the share of this daemon.
func (l *limiter) decide(customer string, limits limit.Limits, tokens int) limit.Decision {
	for i := range maxHomeAnswers {
		decision, answered := l.takeFromSlice(customer, limits, tokens, i > 0)
		if decision.Ask != nil {
			l.requestSlice(decision.Ask)
		}
		if decision.Verdict != limit.Pending {
			return decision
		}
		if !wait(answered, limit.HomeTimeout) {
			break
		}
	}
	rank, live := l.view().rank(l.self)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.TakeShare(time.Now(), customer, limits, tokens, rank, live)
}

// takeFromSlice decides from the slice. If the decision has to wait for the
// home, it also returns a channel that is closed when the home answers.
func (l *limiter) takeFromSlice(customer string, limits limit.Limits, tokens int, again bool) (limit.Decision, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.borrower.Take(time.Now(), customer, limits, tokens, again)
	if decision.Verdict != limit.Pending {
		return decision, nil
	}
	answered := make(chan struct{})
	l.waiting[customer] = append(l.waiting[customer], answered)
	return decision, answered
}

func (l *limiter) requestSlice(r *limit.SliceRequest) {
	l.send(l.view().routable.Owner(homeName(r.Customer)), &SliceRequest{*r})
}

// receive stores the answer of a home and wakes the requests that wait for it.
func (l *limiter) receive(s *Slice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Receive(time.Now(), s.Slice)
	for _, answered := range l.waiting[s.Customer] {
		close(answered)
	}
	delete(l.waiting, s.Customer)
}

func (l *limiter) done(customer string, expected, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Done(time.Now(), customer, int(expected), int(used))
}

// renew sends the requests that renew slices or give them back.
func (l *limiter) renew() {
	l.mu.Lock()
	requests := l.borrower.Renew(time.Now(), l.limits)
	l.mu.Unlock()
	for _, r := range requests {
		l.requestSlice(&r)
	}
}

func (l *limiter) limits(customer string) limit.Limits {
	row, ok := l.current.Load().Customer(customer)
	if !ok {
		return limit.Limits{}
	}
	return limitsOf(row)
}

// wait reports whether the channel was closed within the time limit.
func wait(done chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// rank returns the position of a VM among the live VMs, sorted by id, and the
// number of live VMs.
func (v *view) rank(vm string) (rank, live int) {
	ids := slices.Sorted(slices.Values(v.live.IDs()))
	return max(slices.Index(ids, vm), 0), max(len(ids), 1)
}

// limitHomes lends slices for the customers whose home is this daemon. It
// belongs to the control goroutine.
type limitHomes struct {
	self    string
	limiter *limiter
	home    *limit.Home
	send    func(vm string, m peer.Message)
	renewed time.Time
}

func (h *limitHomes) handle(now time.Time, ev any) bool {
	if gone, ok := ev.(incarnationEnded); ok {
		h.home.RemoveDaemon(settings.IncarnationVM(gone.incarnation))
		return true
	}
	m, ok := ev.(peerMessage)
	if !ok {
		return false
	}
	request, ok := m.message.(*SliceRequest)
	if !ok {
		return false
	}
	rank, live := h.limiter.view().rank(m.from)
	slice := h.home.Lend(now, m.from, request.SliceRequest, h.limiter.limits(request.Customer), rank, live)
	h.send(m.from, &Slice{slice})
	return true
}

func (h *limitHomes) tick(now time.Time) {
	if now.Sub(h.renewed) < renewInterval {
		return
	}
	h.renewed = now
	h.limiter.renew()
	h.home.Forget(now, h.limiter.limits)
}

func (h *limitHomes) membership(now time.Time, routable, live *member.Set) {
	h.home.OwnershipChanged(now, func(customer string) bool {
		return routable.Owner(homeName(customer)) == h.self
	})
}
