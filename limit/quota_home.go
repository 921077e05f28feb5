package limit

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// loan is an amount that the home has lent to one daemon.
type loan struct {
	seq uint64
	// tokens is the whole amount, extra the part beyond the needs of waiting requests.
	tokens, extra float64
	// expires is when the loan can no longer be used or returned.
	expires time.Time
}

// Check returns an error if the amounts of a request are out of range.
func (r *SliceRequest) Check() error {
	amounts := []float64{r.Requests, r.Tokens, r.TokensMin, r.TokensDue, math.Abs(r.Debt)}
	for _, given := range r.Returns {
		amounts = append(amounts, given.Tokens)
	}
	amounts = append(amounts, r.Level, r.Held)
	for _, v := range amounts {
		if !(v >= 0 && v <= maxAmount) {
			return eris.Errorf("amount %g is out of range", v)
		}
	}
	if r.LevelAge < 0 {
		return eris.Errorf("age %v of a level is negative", r.LevelAge)
	}
	if len(r.Returns) > maxReturns {
		return eris.Errorf("%d returns, at most %d are allowed", len(r.Returns), maxReturns)
	}
	return nil
}

// Check returns an error if the amounts of a slice are out of range.
func (s *Slice) Check() error {
	if !(s.Tokens >= 0 && s.Tokens <= maxAmount && math.Abs(s.Level) <= maxAmount) {
		return eris.Errorf("tokens %g or level %g is out of range", s.Tokens, s.Level)
	}
	if s.RetryAfter < 0 || s.Lifetime < 0 || s.Lifetime > quotaLifetime {
		return eris.Errorf("retry time %v or lifetime %v is out of range", s.RetryAfter, s.Lifetime)
	}
	return nil
}

// Observe must be called at least every second, and before Lend. After a pause of
// stallTime, in which another home may have lent the same limits, it forgets all
// accounts and returns true.
func (h *Home) Observe(now time.Time) bool {
	stalled := !h.observedAt.IsZero() && now.Sub(h.observedAt) >= stallTime
	h.observedAt = now
	if stalled {
		h.accounts = map[string]*account{}
		h.ownershipChangedAt = now
	}
	if now.Sub(h.forgotAt) >= time.Second {
		h.forgotAt = now
		h.forgetDeputized(now)
	}
	return stalled
}

// forgetDeputized removes the accounts of homes that answer again.
func (h *Home) forgetDeputized(now time.Time) {
	for customer, a := range h.accounts {
		if a.deputy && now.Sub(a.askedAt) >= deputyLifetime {
			delete(h.accounts, customer)
		}
	}
}

// Deputize prepares the account of a customer for a request with Deputy, for which
// this daemon stands in. It must be called before Lend.
func (h *Home) Deputize(now time.Time, customer string) {
	if h.accounts[customer] == nil {
		h.accounts[customer] = &account{slices: map[string]*lentSlice{}, tokens: bucket{at: now}, deputy: true}
	}
}

// deputize adds the latest level that the home has stated and returns the limits that the
// deputy lends.
func (a *account) deputize(now time.Time, req SliceRequest, limits Limits) Limits {
	a.askedAt = now
	if at := now.Add(-req.LevelAge); req.LevelAge > 0 && at.After(a.statedAt) {
		level := min(req.Level, limits.tokenBurst())
		a.tokens.level += level - a.stated
		a.stated, a.statedAt = level, at
	}
	limits.TokensPerMinute *= deputyRate * (1 + min(a.stated/limits.tokenBurst(), 1))
	return limits
}

// Retain removes the accounts of the other customers.
func (h *Home) Retain(keep func(customer string) bool) {
	for customer := range h.accounts {
		if !keep(customer) {
			delete(h.accounts, customer)
		}
	}
}

// Unlimited returns the answer to a request if the home knows no limit for the
// customer: it grants what is needed.
func Unlimited(req SliceRequest) Slice {
	return Slice{Customer: req.Customer, Seq: req.Seq, Tokens: max(req.TokensMin, req.TokensDue), Lifetime: contendedLifetime}
}

// lendQuota answers a request under a limit with a TokenBurst.
func (a *account) lendQuota(now time.Time, l *lentSlice, slice *Slice, req SliceRequest, limits Limits) {
	a.lendsQuota = true
	for _, given := range req.Returns {
		a.takeBack(l, given)
	}
	a.noteHeld(l, req.Held)
	// The tokens used without the home can't exceed what it would have lent.
	a.tokens.level -= min(req.Debt, limits.tokenBurst()+limits.tokenRate()*inFlightLifetime.Seconds())
	a.fillQuota(now, limits)
	defer func() { slice.Level = max(a.tokens.level, 0) }()
	burst := limits.tokenBurst()
	// A request larger than the burst needs a full bucket and leaves a debt.
	if need := min(req.TokensMin, burst); need > 0 && a.tokens.level < need {
		slice.RetryAfter = a.tokens.timeUntil(need, limits.tokenRate())
		return
	}
	due := max(req.TokensMin, min(req.TokensDue, a.tokens.level))
	free := min(a.tokens.level-due-burst/2, limits.tokenRate()*extraTime.Seconds()-a.extras)
	// Half of what is free is left to other daemons.
	extra := max(min(req.Tokens, free/2), 0)
	if due+extra <= 0 {
		return
	}
	a.tokens.level -= due + extra
	a.extras += extra
	slice.Tokens, slice.Lifetime = due+extra, quotaLifetime
	if a.tokens.level < burst/2 {
		slice.Lifetime = contendedLifetime
	}
	if len(l.loans) == maxLoans {
		a.extras -= l.loans[0].extra
		l.loans = l.loans[1:]
	}
	l.loans = append(l.loans, loan{seq: req.Seq, tokens: due + extra, extra: extra, expires: now.Add(slice.Lifetime + returnGrace)})
}

// noteHeld notes that a daemon holds at most the given amount, so that its used extras
// no longer count.
func (a *account) noteHeld(l *lentSlice, held float64) {
	for i := len(l.loans) - 1; i >= 0; i-- {
		lent := &l.loans[i]
		used := lent.extra - min(lent.extra, held)
		lent.extra -= used
		a.extras -= used
		held -= lent.extra
	}
}

func (a *account) takeBack(l *lentSlice, given Return) {
	for i := range l.loans {
		if lent := &l.loans[i]; lent.seq == given.Seq {
			a.tokens.level += min(given.Tokens, lent.tokens)
			a.extras -= lent.extra
			lent.tokens, lent.extra = 0, 0
			return
		}
	}
}

// fillQuota adds the tokens of the time since the last call. The level and the
// extras in use together are at most burst + rate*extraTime.
func (a *account) fillQuota(now time.Time, limits Limits) {
	if now.Sub(a.sweptAt) >= sweepInterval {
		a.sweptAt = now
		a.sweep(now)
	}
	full := min(limits.tokenBurst(), limits.tokenBurst()+limits.tokenRate()*extraTime.Seconds()-a.extras)
	a.tokens.fill(now, limits.tokenRate(), full)
	a.tokens.level = min(a.tokens.level, full)
}

// sweep removes the expired loans.
func (a *account) sweep(now time.Time) {
	a.extras = 0
	for _, l := range a.slices {
		kept := l.loans[:0]
		for _, lent := range l.loans {
			if now.Before(lent.expires) && lent.tokens > 0 {
				kept = append(kept, lent)
				a.extras += lent.extra
			}
		}
		l.loans = kept
	}
}
