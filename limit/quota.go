package limit

import (
	"math"
	"slices"
	"time"
)

// The rules for limits with a TokenBurst, under which a single request may need
// more than the part of one daemon.
//
// The home lends what waiting requests need, and, while at least half of the
// burst is left, an extra amount for the requests expected next. Unused amounts
// return to the home when their slice expires. The home keeps the level plus the
// extras in use at most at burst + rate*extraTime. Hence at most
//
//	rate*T + burst + rate*extraTime
//
// tokens are admitted in any time T by daemons that reach one home, plus the
// needs that were lent and are still waiting (at most HomeTimeout worth of
// traffic), plus refunds of requests that were admitted before, plus what was used
// in advance: while a customer is far below its limit, its requests don't wait for
// the home if they are small beside the part of one daemon.
//
// A daemon whose home doesn't answer asks the deputy, which becomes the home if the
// members give up the present one. Until then, the deputy lends the level that the
// home last stated, if that is recent, and the part of the rate that the customer
// left unused, because the home may still lend to others. A customer below its limit
// thus loses little but time.
//
// If the deputy doesn't answer either, the daemon uses its equal part of that level
// and of the rate. The parts add up to what the home would have lent. A request
// larger than the part is admitted with the probability part/need, which keeps the
// expected sum and doesn't exclude large requests. The home is told of the amounts
// used without it when it answers again.
const (
	// quotaLifetime is the lifetime of a slice while plenty is left, contendedLifetime
	// otherwise: amounts that a daemon holds unused are then missing elsewhere.
	quotaLifetime     = 2 * time.Second
	contendedLifetime = 300 * time.Millisecond
	// advanceTime bounds the tokens used before the home is told.
	advanceTime = 400 * time.Millisecond
	// returnGrace is the time after the end of a slice in which it can be returned.
	returnGrace = 500 * time.Millisecond
	// extraTime bounds the extras in use: the tokens of this time. With a window of
	// 8 s and an overage of 10%, the home may exceed the limit by 0.8 s; the rest is
	// for tokens used in advance and for the changes of homes.
	extraTime = 250 * time.Millisecond
	// levelLifetime is the time for which a stated level is used without the home. It
	// is longer than the time between the requests of most daemons; daemons with more
	// requests have later statements, which replace it.
	levelLifetime = 4 * time.Second
	// deputyRate is the fraction of the rate that a deputy lends for a customer at its
	// limit. With a window of 8 s, an overage of 10% and 2.5 s until all daemons know a
	// new home, it may be up to 0.26 if the home lends on.
	deputyRate = 0.25
	// deputyLifetime is the time without requests after which a deputy forgets an
	// account.
	deputyLifetime = 3 * time.Second
	// maxInFlight, maxReturns and maxLoans bound the lists of one customer and daemon.
	maxInFlight = 8
	maxReturns  = 32
	maxLoans    = 64
	// inFlightLifetime is the time after which a request to the home counts as lost.
	inFlightLifetime = 2 * time.Second
	// sweepInterval is the time between removals of expired loans at the home.
	sweepInterval = 100 * time.Millisecond
	// stallTime is the time without a call of Observe after which the home forgets its
	// accounts: the other daemons replace a home that is silent for 2 s.
	stallTime = 1500 * time.Millisecond
	// maxAmount bounds the amounts in messages.
	maxAmount = 1e15
)

// quota is the part of a customer's tokens that a daemon holds.
type quota struct {
	home, deputy string
	// silent is set while the home doesn't answer.
	silent bool
	// advanced is set while the home has not answered since tokens were used in advance.
	advanced bool
	// held are the unused tokens of the slices, the older first.
	held []heldTokens
	// returns are the unused tokens of expired slices, unsettled the tokens used
	// without the home, less those refunded.
	returns   []Return
	unsettled float64
	inFlight  []sentRequest
	// waiting is the sum of the needs of the requests that wait for the home.
	waiting float64
	// retryAt is the time before which the home has less than retryNeed.
	retryAt   time.Time
	retryNeed float64
	// demand and count are the tokens and requests of the recent past, weighted by
	// exp(-age/quotaLifetime).
	demand, count float64
	demandAt      time.Time
	level         float64
	levelAt       time.Time
	share         bucket
	// askedAt is the time of the last request, probedAt of the last one to the home.
	askedAt, probedAt time.Time
}

// heldTokens are the unused tokens of one slice.
type heldTokens struct {
	seq     uint64
	from    string
	tokens  float64
	expires time.Time
}

// sentRequest is a request to the home without an answer so far.
type sentRequest struct {
	seq       uint64
	to        string
	at        time.Time
	need      float64
	unsettled float64
}

// NoteHome tells which daemons are the home of a customer and its deputy. Amounts to
// be settled with a former home are dropped.
func (b *Borrower) NoteHome(now time.Time, customer, home, deputy string) {
	q := &b.ensureAllowance(now, customer).quota
	q.deputy = deputy
	if q.home == home {
		return
	}
	q.home, q.silent, q.advanced, q.returns, q.unsettled = home, false, false, nil, 0
	q.inFlight = slices.DeleteFunc(q.inFlight, func(s sentRequest) bool { return s.to != home })
	q.retryAt, q.levelAt = time.Time{}, time.Time{}
}

// Home returns the home of a customer as last noted.
func (b *Borrower) Home(customer string) string {
	if a := b.customers[customer]; a != nil {
		return a.quota.home
	}
	return ""
}

// takeQuota decides about a request that needs the given number of tokens.
func (b *Borrower) takeQuota(now time.Time, a *allowance, customer string, limits Limits, need float64, again bool) Decision {
	q := &a.quota
	b.unsettled[customer] = a
	if !again {
		q.addDemand(now, need)
		q.waiting += need
	}
	held := q.dropExpired(now)
	if held >= need {
		q.spend(need)
		a.end(need, true)
		to := q.lender(now)
		return Decision{Verdict: Admitted, Ask: a.forCustomer(customer, a.renewQuota(now, to, held-need)), To: to}
	}
	if now.Before(q.retryAt) && need >= q.retryNeed {
		a.end(need, false)
		return Decision{Verdict: Refused, RetryAfter: q.retryAt.Sub(now)}
	}
	q.noteSilence(now, b.Timeout)
	if missing := need - held; !again && missing <= q.advance(now, limits, b.Daemons) {
		q.spend(held)
		q.unsettled += missing
		q.level -= missing
		q.advanced = true
		a.end(need, true)
		return Decision{Verdict: Admitted, Ask: a.forCustomer(customer, a.newQuotaRequest(now, q.home, 0, 0)), To: q.home}
	}
	if q.awaiting(now) {
		return Decision{Verdict: Pending}
	}
	to := q.lender(now)
	return Decision{Verdict: Pending, Ask: a.forCustomer(customer, a.newQuotaRequest(now, to, need, held)), To: to}
}

// advance returns the tokens that may be used before the home is told of them. While
// at least half of the burst is left, each of the daemons may use its equal part of
// the level and of the tokens of advanceTime, once until the home answers. Together
// they exceed the level by at most the latter.
func (q *quota) advance(now time.Time, limits Limits, daemons int) float64 {
	level := q.recentLevel(now)
	if daemons <= 0 || q.advanced || q.silent || q.home == "" || level < limits.tokenBurst()/2 {
		return -1
	}
	return (level + limits.tokenRate()*advanceTime.Seconds()) / float64(daemons)
}

// noteSilence notes whether the home has left a request unanswered.
func (q *quota) noteSilence(now time.Time, timeout time.Duration) {
	for _, s := range q.inFlight {
		if s.to == q.home && now.Sub(s.at) >= timeout && !q.silent {
			// What the home had to lend need not hold for the deputy.
			q.silent, q.retryAt = true, time.Time{}
		}
	}
}

// lender returns the daemon to ask for tokens. A silent home is asked again after
// askInterval.
func (q *quota) lender(now time.Time) string {
	if q.silent && q.deputy != "" && now.Sub(q.probedAt) < askInterval {
		return q.deputy
	}
	return q.home
}

// end ends the wait of a request.
func (a *allowance) end(need float64, admitted bool) {
	a.quota.waiting = max(a.quota.waiting-need, 0)
	if admitted {
		a.running++
	}
}

// renewQuota returns a request for further tokens if fewer remain than a quarter of
// those that the next slice should hold, so that later requests need not wait.
func (a *allowance) renewQuota(now time.Time, to string, held float64) *SliceRequest {
	q := &a.quota
	if held >= q.wanted(now)/4 || len(q.inFlight) > 0 || now.Before(q.retryAt) || now.Sub(q.askedAt) < askInterval {
		return nil
	}
	return a.newQuotaRequest(now, to, 0, held)
}

// newQuotaRequest returns a request to the home or its deputy for what the waiting requests lack, of which one
// needs the given number of tokens, and for the demand expected next.
func (a *allowance) newQuotaRequest(now time.Time, to string, need, held float64) *SliceRequest {
	q := &a.quota
	a.seq++
	q.askedAt = now
	req := &SliceRequest{Seq: a.seq, Tokens: max(q.wanted(now)-held, 0), Held: held}
	sent := sentRequest{seq: a.seq, to: to, at: now, need: need}
	if to == q.home {
		req.Debt, req.Returns, sent.unsettled = q.unsettled, q.returns, q.unsettled
		q.returns, q.unsettled, q.probedAt = nil, 0, now
	} else {
		req.Deputy = true
		if age := now.Sub(q.levelAt); age < levelLifetime {
			req.Level, req.LevelAge = q.level, age
		}
	}
	if need > 0 {
		req.TokensMin = need - held
		req.TokensDue = max(q.waiting-held, req.TokensMin)
	}
	if len(q.inFlight) == maxInFlight {
		q.lost(0)
	}
	q.inFlight = append(q.inFlight, sent)
	return req
}

// recentLevel returns the level that the home has stated, or 0 if that is too long ago.
func (q *quota) recentLevel(now time.Time) float64 {
	if now.Sub(q.levelAt) < levelLifetime {
		return q.level
	}
	return 0
}

// wanted returns the tokens expected to be needed during the lifetime of a slice,
// beyond those of the waiting requests. It is 0 if another request is unlikely.
func (q *quota) wanted(now time.Time) float64 {
	q.addDemand(now, 0)
	expected := q.demand - q.waiting
	usual := q.demand / max(q.count, 1)
	if expected < usual/2 {
		return 0
	}
	return math.Ceil(max(expected, usual))
}

func (q *quota) addDemand(now time.Time, need float64) {
	decay := math.Exp(-max(now.Sub(q.demandAt), 0).Seconds() / quotaLifetime.Seconds())
	q.demand, q.count, q.demandAt = q.demand*decay+need, q.count*decay, now
	if need > 0 {
		q.count++
	}
}

// dropExpired moves the tokens of expired slices to returns. It returns the
// remaining tokens.
func (q *quota) dropExpired(now time.Time) float64 {
	kept, sum := q.held[:0], 0.0
	for _, h := range q.held {
		switch {
		case h.tokens <= 0:
		case now.Before(h.expires):
			kept, sum = append(kept, h), sum+h.tokens
		default:
			q.giveBack(h)
		}
	}
	q.held = kept
	for len(q.inFlight) > 0 && now.Sub(q.inFlight[0].at) >= inFlightLifetime {
		q.lost(0)
	}
	return sum
}

func (q *quota) giveBack(h heldTokens) {
	if h.from == q.home && len(q.returns) < maxReturns {
		q.returns = append(q.returns, Return{Seq: h.seq, Tokens: h.tokens})
	}
}

// lost handles a request to the home that got no answer. The home may have handled
// it, so refunds in it are not repeated.
func (q *quota) lost(i int) {
	q.unsettled += max(q.inFlight[i].unsettled, 0)
	q.inFlight = append(q.inFlight[:i], q.inFlight[i+1:]...)
}

func (q *quota) spend(need float64) {
	for i := range q.held {
		taken := min(need, q.held[i].tokens)
		q.held[i].tokens -= taken
		need -= taken
	}
}

// awaiting reports whether the home may still answer a recent request.
func (q *quota) awaiting(now time.Time) bool {
	return slices.ContainsFunc(q.inFlight, func(s sentRequest) bool {
		return s.to == q.lender(now) && now.Sub(s.at) < askInterval
	})
}

// ReceiveFrom applies the answer of the home or its deputy under a limit with a
// TokenBurst.
func (b *Borrower) ReceiveFrom(now time.Time, from string, slice Slice) {
	a := b.customers[slice.Customer]
	if a == nil {
		return
	}
	q := &a.quota
	i := slices.IndexFunc(q.inFlight, func(s sentRequest) bool { return s.seq == slice.Seq && s.to == from })
	if i < 0 {
		return
	}
	sent := q.inFlight[i]
	q.inFlight = slices.Delete(q.inFlight, i, i+1)
	if from == q.home {
		if q.silent {
			q.silent, q.retryAt = false, time.Time{}
		}
		q.level, q.levelAt, q.advanced = slice.Level, now, false
	} else {
		// The home is charged for it when it answers.
		q.unsettled += slice.Tokens
	}
	q.share = bucket{}
	if slice.Tokens > 0 {
		q.held = append(q.held, heldTokens{seq: slice.Seq, from: from, tokens: slice.Tokens, expires: sent.at.Add(slice.Lifetime)})
	}
	if slice.RetryAfter > 0 {
		q.retryAt, q.retryNeed = now.Add(slice.RetryAfter), sent.need
	}
}

// TakePart decides without the home about a request for which Take returned
// Pending, from this daemon's equal part among the given number of daemons. If the
// part doesn't cover the request, the result is Pending, unless this is the last
// attempt.
func (b *Borrower) TakePart(now time.Time, customer string, limits Limits, tokens, daemons int, last bool) Decision {
	a := b.ensureAllowance(now, customer)
	q := &a.quota
	need := float64(max(tokens, 0))
	part := limits.share(0, daemons)
	if q.share.at.IsZero() {
		q.share.at = now
		q.share.level = min(q.recentLevel(now), limits.TokenBurst) / float64(max(daemons, 1))
	}
	q.share.fill(now, part.tokenRate(), part.TokenBurst)
	switch covered := q.share.level >= need; {
	case covered, last && b.draw()*need < q.share.level:
		q.share.level = max(q.share.level-need, 0)
		// The home's level is bounded by the burst, so tokens used longer ago would not be
		// missing there by now.
		most := part.TokenBurst + part.tokenRate()*inFlightLifetime.Seconds()
		q.unsettled = min(q.unsettled+need, max(q.unsettled, most))
		a.end(need, true)
		return Decision{Verdict: Admitted}
	case !last:
		return Decision{Verdict: Pending}
	}
	// The draw used up the part, or the next one would be another chance for it.
	q.share.level = 0
	a.end(need, false)
	return Decision{Verdict: Refused, RetryAfter: min(q.share.timeUntil(need, part.tokenRate()), inFlightLifetime)}
}

// Abandon ends the wait of a request for which Take returned Pending.
func (b *Borrower) Abandon(customer string, tokens int) {
	if a := b.customers[customer]; a != nil {
		a.end(float64(max(tokens, 0)), false)
	}
}

// Finish ends an admitted request. If it has not run, its tokens are refunded.
func (b *Borrower) Finish(now time.Time, customer string, tokens int, ran bool) {
	a := b.customers[customer]
	if a == nil {
		return
	}
	a.lastUsed = now
	a.running = max(a.running-1, 0)
	if !ran {
		b.unsettled[customer] = a
		a.quota.unsettled -= float64(max(tokens, 0))
	}
}

// Settle returns the requests that return unused tokens and settle refunds. It must be
// called a few times per second if limits have a TokenBurst. Idle customers cause no
// messages and are removed after idleTimeout.
func (b *Borrower) Settle(now time.Time) []SliceRequest {
	var out []SliceRequest
	for customer, a := range b.unsettled {
		if req := a.settle(now); req != nil {
			out = append(out, *a.forCustomer(customer, req))
		}
		if q := &a.quota; len(q.held)+len(q.returns)+len(q.inFlight) == 0 && q.unsettled == 0 && !q.silent {
			delete(b.unsettled, customer)
		}
	}
	if now.Sub(b.sweptAt) < time.Second {
		return out
	}
	b.sweptAt = now
	for customer, a := range b.customers {
		if a.running == 0 && now.Sub(a.lastUsed) >= idleTimeout {
			delete(b.customers, customer)
			delete(b.unsettled, customer)
		}
	}
	return out
}

// settle returns a request to the home that only returns unused tokens and settles
// refunds and tokens used without the home, or asks whether a silent home answers
// again. It returns nil if there is nothing to do.
func (a *allowance) settle(now time.Time) *SliceRequest {
	q := &a.quota
	held := q.dropExpired(now)
	due := len(q.returns) > 0 || q.unsettled != 0 || q.silent && now.Sub(a.lastUsed) < SliceTTL
	if q.home == "" || !due || now.Sub(q.probedAt) < askInterval {
		return nil
	}
	req := a.newQuotaRequest(now, q.home, 0, held)
	req.Tokens = 0
	return req
}
