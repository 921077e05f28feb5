package edge

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/limit"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
)

const (
	// settleInterval is the time between the messages that return unused tokens.
	settleInterval = 100 * time.Millisecond
	// toleratedMissing is the fraction of the listed daemons that may be missing
	// without a reduction of the limits that a home lends.
	toleratedMissing = 0.02
	// maxRanked bounds the customers whose homes are cached. Peers may name any.
	maxRanked = 20_000
	// limitLogInterval is the minimum time between two log lines of one kind.
	limitLogInterval = time.Second
)

var (
	customersAdmitted   = metrics.NewCounter(`mimosakeel_edge_customer_requests_total{result="admitted"}`)
	customersRefused    = metrics.NewCounter(`mimosakeel_edge_customer_requests_total{result="refused"}`)
	customersRefunded   = metrics.NewCounter(`mimosakeel_edge_customer_requests_total{result="refunded"}`)
	slicesRequested     = metrics.NewCounter("mimosakeel_edge_slices_requested_total")
	slicesLent          = metrics.NewCounter("mimosakeel_edge_slices_lent_total")
	sliceMessagesBad    = metrics.NewCounter("mimosakeel_edge_slice_messages_bad_total")
	homeTimeouts        = metrics.NewCounter("mimosakeel_edge_customer_home_timeouts_total")
	customerLimitsBad   = metrics.NewCounter("mimosakeel_edge_customer_limits_bad_total")
	customerHomeStalled = metrics.NewCounter("mimosakeel_edge_customer_home_stalled_total")
)

// SliceRequest asks the home daemon of a customer for a slice of its limit.
type SliceRequest struct {
	limit.SliceRequest
}

// Slice is the home daemon's answer to a SliceRequest.
type Slice struct{ limit.Slice }

// MessageKind implements peer.Message.
func (*SliceRequest) MessageKind() peer.Kind { return kindSliceRequest }

// MessageKind implements peer.Message.
func (*Slice) MessageKind() peer.Kind { return kindSlice }

// customerLimits applies the limits of customers over all daemons. The goroutines
// that serve requests call admit. The home, which lends slices of the limits of the
// customers that this daemon owns, belongs to the control goroutine.
type customerLimits struct {
	vm       string
	settings CustomerLimitSettings
	events   *event.Recorder
	catalog  func() *catalog.Catalog
	// homes returns the daemons among which the customers are distributed.
	homes  func() *member.Set
	ranked *rankedHomes
	// daemons returns the number of live daemons and of all listed ones.
	daemons func() (live, listed int)
	send    func(vm string, m peer.Message)

	mu       sync.Mutex
	borrower *limit.Borrower
	// answered holds for each customer a channel that is closed at the next answer of
	// its home.
	answered     map[string]chan struct{}
	silentLogged time.Time

	home      *limit.Home
	settled   time.Time
	badLogged time.Time
	// unusable holds the reasons of the unusable limits in the configuration.
	unusable map[string]string
}

func newCustomerLimits(vm string, settings CustomerLimitSettings, events *event.Recorder) *customerLimits {
	return &customerLimits{
		vm:       vm,
		settings: settings,
		events:   events,
		borrower: newBorrower(settings),
		ranked:   newRankedHomes(),
		answered: map[string]chan struct{}{},
		home:     limit.NewHome(time.Now()),
		unusable: map[string]string{},
	}
}

func newBorrower(settings CustomerLimitSettings) *limit.Borrower {
	b := limit.NewBorrower()
	b.Timeout = settings.HomeTimeout
	return b
}

// Admit applies the limit of a customer to a request of the given number of tokens.
// If ok, done must be called when the request has ended, with ran false if it never
// ran on a server. Otherwise it may be admitted after retryAfter.
func (d *Daemon) Admit(ctx context.Context, customer *catalog.Customer, tokens int) (done func(ran bool), retryAfter time.Duration, ok bool) {
	return d.customerLimits.admit(ctx, customer, tokens)
}

func customerHomeName(customer string) string { return "customer/" + customer }

func limitsOf(l catalog.CustomerLimit) limit.Limits {
	return limit.Limits{TokensPerMinute: l.Rate * time.Minute.Seconds(), TokenBurst: l.Burst}
}

func (l *customerLimits) admit(ctx context.Context, customer *catalog.Customer, tokens int) (done func(ran bool), retryAfter time.Duration, ok bool) {
	if customer.Limit.Rate <= 0 {
		return func(bool) {}, 0, true
	}
	if !customer.Limit.Tokens {
		tokens = 1
	}
	decision := l.decide(ctx, customer.Name, limitsOf(customer.Limit), tokens)
	if decision.Verdict != limit.Admitted {
		customersRefused.Inc()
		// Rounded up, because Retry-After has milliseconds.
		return nil, max(decision.RetryAfter+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond), false
	}
	customersAdmitted.Inc()
	return func(ran bool) {
		if !ran {
			customersRefunded.Inc()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.borrower.Finish(time.Now(), customer.Name, tokens, ran)
	}, 0, true
}

// decide decides from the slices of this daemon, and otherwise waits for the home.
// If the home doesn't answer in time, it asks the deputy, and then it uses the part
// of this daemon. A request that the part doesn't cover waits longer: a late answer
// is better than a refusal below the limit.
func (l *customerLimits) decide(ctx context.Context, customer string, limits limit.Limits, tokens int) limit.Decision {
	began := time.Now()
	timeouts := 0
	for again := false; ; again = true {
		decision, answered := l.take(customer, limits, tokens, again)
		if decision.Ask != nil && decision.To != "" {
			slicesRequested.Inc()
			l.send(decision.To, &SliceRequest{*decision.Ask})
		}
		if decision.Verdict != limit.Pending {
			return decision
		}
		inTime := wait(ctx, answered, l.settings.HomeTimeout)
		late := time.Since(began) >= l.settings.MaxWait
		if inTime && !late {
			continue
		}
		if ctx.Err() != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.borrower.Abandon(customer, tokens)
			return limit.Decision{Verdict: limit.Refused, RetryAfter: l.settings.HomeTimeout}
		}
		if timeouts++; timeouts == 1 && !late {
			// The next round asks the deputy.
			continue
		}
		if decision = l.takePart(customer, limits, tokens, late); decision.Verdict != limit.Pending {
			return decision
		}
	}
}

// take decides from the slices. If the decision has to wait for the home or its
// deputy, it also returns a channel that is closed at the next answer.
func (l *customerLimits) take(customer string, limits limit.Limits, tokens int, again bool) (limit.Decision, chan struct{}) {
	home, deputy := l.ranked.of(l.homes(), customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	_, l.borrower.Daemons = l.daemons()
	l.borrower.NoteHome(now, customer, home, deputy)
	decision := l.borrower.Take(now, customer, limits, tokens, again)
	if decision.Verdict != limit.Pending {
		return decision, nil
	}
	answered := l.answered[customer]
	if answered == nil {
		answered = make(chan struct{})
		l.answered[customer] = answered
	}
	return decision, answered
}

// rankedHomes caches the home and the deputy of each customer, as ranking 320 daemons
// takes several microseconds. It is safe for concurrent use.
type rankedHomes struct {
	mu    sync.Mutex
	homes *member.Set
	ranks map[string][2]string
}

func newRankedHomes() *rankedHomes { return &rankedHomes{} }

// of returns the home of a customer and the daemon that stands in for it, which is the
// next home if this one leaves.
func (r *rankedHomes) of(homes *member.Set, customer string) (home, deputy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.homes != homes {
		r.homes, r.ranks = homes, map[string][2]string{}
	}
	ranks, ok := r.ranks[customer]
	if !ok {
		copy(ranks[:], homes.Ranks(customerHomeName(customer), 2))
		if len(r.ranks) < maxRanked {
			r.ranks[customer] = ranks
		}
	}
	return ranks[0], ranks[1]
}

// takePart decides without the home.
func (l *customerLimits) takePart(customer string, limits limit.Limits, tokens int, last bool) limit.Decision {
	_, listed := l.daemons()
	homeTimeouts.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	decision := l.borrower.TakePart(now, customer, limits, tokens, listed, last)
	if now.Sub(l.silentLogged) >= limitLogInterval {
		l.silentLogged = now
		l.events.Record(event.KindFault, "customer_home_silent", customer,
			event.F("home", l.borrower.Home(customer)), event.F("daemons", strconv.Itoa(listed)))
	}
	return decision
}

// wait reports whether the channel was closed within the time limit.
func wait(ctx context.Context, done chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// receive stores the answer of a home and wakes the requests that wait for it.
func (l *customerLimits) receive(from string, s *Slice) {
	if err := s.Check(); err != nil {
		sliceMessagesBad.Inc()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.ReceiveFrom(time.Now(), from, s.Slice)
	if answered := l.answered[s.Customer]; answered != nil {
		close(answered)
		delete(l.answered, s.Customer)
	}
}

// lend answers a request of a daemon for a slice.
func (l *customerLimits) lend(now time.Time, from string, m *SliceRequest) {
	if err := m.Check(); err != nil {
		sliceMessagesBad.Inc()
		if now.Sub(l.badLogged) >= limitLogInterval {
			l.badLogged = now
			l.events.Record(event.KindFault, "slice_request_bad", from, event.F("error", err.Error()))
		}
		return
	}
	l.observe(now)
	home, deputy := l.ranked.of(l.homes(), m.Customer)
	switch {
	case home == l.vm:
	case deputy == l.vm && m.Deputy:
		l.home.Deputize(now, m.Customer)
	default:
		// The sender's members differ. Two homes must not lend the same limit.
		return
	}
	slicesLent.Inc()
	limits := l.limits(m.Customer)
	if limits.TokenBurst <= 0 {
		l.send(from, &Slice{limit.Unlimited(m.SliceRequest)})
		return
	}
	l.send(from, &Slice{l.home.Lend(now, from, m.SliceRequest, limits, 0, 1)})
}

// limits returns the limits that this home lends of a customer. The parts of the
// daemons that it can't reach are reserved, because these may have a home of their
// own.
func (l *customerLimits) limits(customer string) limit.Limits {
	c := l.catalog()
	if c == nil {
		return limit.Limits{}
	}
	row := c.CustomerNamed(customer)
	if row == nil || row.Limit.Rate <= 0 {
		return limit.Limits{}
	}
	out := limitsOf(row.Limit)
	live, listed := l.daemons()
	part := min(1, float64(live)/float64(listed)+toleratedMissing)
	out.TokensPerMinute *= part
	out.TokenBurst *= part
	return out
}

func (l *customerLimits) observe(now time.Time) {
	if l.home.Observe(now) {
		customerHomeStalled.Inc()
		l.events.Record(event.KindFault, "customer_home_stalled", l.vm)
	}
}

// tick sends the messages that return unused tokens.
func (l *customerLimits) tick(now time.Time) {
	l.observe(now)
	if now.Sub(l.settled) < settleInterval {
		return
	}
	l.settled = now
	for _, r := range l.settlements(now) {
		slicesRequested.Inc()
		l.send(r.home, &SliceRequest{r.request})
	}
}

type settlement struct {
	home    string
	request limit.SliceRequest
}

func (l *customerLimits) settlements(now time.Time) (out []settlement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.borrower.Settle(now) {
		if home := l.borrower.Home(r.Customer); home != "" {
			out = append(out, settlement{home: home, request: r})
		}
	}
	return out
}

// homesChanged handles a change of the homes.
func (l *customerLimits) homesChanged(now time.Time, homes *member.Set) {
	l.home.OwnershipChanged(now, func(customer string) bool { return homes.Owner(customerHomeName(customer)) == l.vm })
}

// configChanged prepares the limits of a new configuration. An unusable limit is
// logged, and the last good one of the customer stays in force.
func (l *customerLimits) configChanged(next *catalog.Config, old *catalog.Catalog) {
	var changed []string
	limited := map[string]bool{}
	for i := range next.Customers {
		c := &next.Customers[i]
		var was catalog.CustomerLimit
		if old != nil {
			if customer := old.CustomerNamed(c.Name); customer != nil {
				was = customer.Limit
			}
		}
		l.noteUnusable(c.Name, c.LimitError)
		if c.LimitError != nil {
			c.Limit = was
		}
		if c.Limit != was {
			changed = append(changed, c.Name)
		}
		limited[c.Name] = c.Limit.Rate > 0
	}
	l.home.Retain(func(customer string) bool { return limited[customer] })
	if len(changed) > 0 {
		names := changed[:min(len(changed), maxListedMembers)]
		l.events.Record(event.KindConfig, "customer_limits_changed", formatInt(next.Version),
			event.F("count", strconv.Itoa(len(changed))), event.F("customers", strings.Join(names, ",")))
	}
}

// noteUnusable logs and counts an unusable limit, once for each reason.
func (l *customerLimits) noteUnusable(customer string, err error) {
	if err == nil {
		delete(l.unusable, customer)
		return
	}
	if reason := err.Error(); l.unusable[customer] != reason {
		l.unusable[customer] = reason
		customerLimitsBad.Inc()
		l.events.Record(event.KindFault, "customer_limit_unusable", customer, event.F("error", reason))
	}
}

// daemonCounts returns the number of live daemons and of all listed ones. It is safe
// for concurrent use.
func (c *control) daemonCounts() (live, listed int) {
	live = c.view.Load().live.Len()
	return live, max(len(c.memberTable.load()), live, 1)
}

// sameHomes reports whether two views distribute customers among the same daemons.
func sameHomes(a, b *view) bool { return slices.Equal(a.homes.IDs(), b.homes.IDs()) }
