package limit

import (
	"math"
	"time"
)

// Home lends slices of the limits of the customers whose home is this daemon. It
// is not safe for concurrent use.
type Home struct {
	accounts map[string]*account
	// ownershipChangedAt is when the customers of this home may last have
	// changed.
	ownershipChangedAt time.Time
	// observedAt is when Observe was last called.
	observedAt time.Time
	// forgotAt is when accounts of a deputy were last removed.
	forgotAt time.Time
}

// account is the home's state of one customer.
//
// Invariant: outside the first SliceTTL after a change of homes, the lent
// concurrency adds up to at most the limit, or to what was already running.
type account struct {
	requests, tokens bucket
	slices           map[string]*lentSlice
	// formerSlicesUntil is when the last slices of the former home expire.
	formerSlicesUntil time.Time
	// extras is the sum of the extras of the loans at the time of sweptAt and since.
	extras  float64
	sweptAt time.Time
	// lendsQuota is set once the account has lent under a limit with a TokenBurst.
	lendsQuota bool
	// deputy is set while this daemon stands in for a home that doesn't answer. stated
	// is the level that the home had at statedAt, askedAt the time of the last request.
	deputy            bool
	stated            float64
	statedAt, askedAt time.Time
}

// lentSlice is the slice of one daemon.
type lentSlice struct {
	seq         uint64
	concurrency int
	expires     time.Time
	// loans holds the tokens lent under a limit with a TokenBurst.
	loans []loan
}

// NewHome returns a home without customers.
func NewHome(now time.Time) *Home {
	return &Home{accounts: map[string]*account{}, ownershipChangedAt: now}
}

// OwnershipChanged handles a change of the live set. It removes the customers
// that this daemon no longer owns. New customers start with an almost empty
// bucket.
func (h *Home) OwnershipChanged(now time.Time, owned func(customer string) bool) {
	h.ownershipChangedAt = now
	for customer, a := range h.accounts {
		switch {
		case owned(customer):
			a.deputy = false
		case a.lendsQuota && !a.deputy:
			// The new home may not know yet that it is one.
			a.deputy, a.stated, a.statedAt, a.askedAt = true, a.tokens.level, now, now
		case !a.deputy:
			delete(h.accounts, customer)
		}
	}
}

// RemoveDaemon releases the slices of a daemon that has left the VM list.
func (h *Home) RemoveDaemon(daemon string) {
	for _, a := range h.accounts {
		delete(a.slices, daemon)
	}
}

// Len returns the number of customers with an account.
func (h *Home) Len() int { return len(h.accounts) }

// Lend answers a request of a daemon. rank is the daemon's index among the live
// daemons, live their number.
func (h *Home) Lend(now time.Time, daemon string, req SliceRequest, limits Limits, rank, live int) Slice {
	a := h.ensureAccount(now, req.Customer, limits)
	if a.deputy {
		limits = a.deputize(now, req, limits)
	}
	a.fill(now, limits)
	l := a.slices[daemon]
	if l == nil {
		l = &lentSlice{}
		a.slices[daemon] = l
	}
	slice := Slice{Customer: req.Customer, Seq: req.Seq}
	if req.Seq <= l.seq {
		// A duplicate or reordered request gets nothing: its slice was already lent.
		return slice
	}
	l.seq = req.Seq
	if limits.TokenBurst > 0 {
		a.lendQuota(now, l, &slice, req, limits)
		return slice
	}
	a.tokens.level = min(a.tokens.level-req.Debt, limits.tokenBurst())
	a.lendRates(&slice, req, limits)
	slice.Concurrency = a.lendConcurrency(now, l, req, limits, rank, live)
	return slice
}

func (h *Home) ensureAccount(now time.Time, customer string, limits Limits) *account {
	a := h.accounts[customer]
	if a != nil {
		return a
	}
	// The level starts at 1 and grows from the last change, because a former
	// home may have lent the whole burst before it.
	a = &account{slices: map[string]*lentSlice{}, formerSlicesUntil: h.ownershipChangedAt.Add(SliceTTL)}
	a.requests = bucket{level: 1, at: h.ownershipChangedAt}
	a.tokens = bucket{level: 1, at: h.ownershipChangedAt}
	h.accounts[customer] = a
	return a
}

func (a *account) fill(now time.Time, limits Limits) {
	a.requests.fill(now, limits.RequestsPerSecond, limits.burst())
	if limits.TokenBurst > 0 {
		a.fillQuota(now, limits)
		return
	}
	a.tokens.fill(now, limits.tokenRate(), limits.tokenBurst())
}

// lendRates lends requests and tokens. Each is at most half of the level, so that
// something is left for other daemons, but one whole request is lent if there is
// one.
func (a *account) lendRates(slice *Slice, req SliceRequest, limits Limits) {
	if limits.RequestsPerSecond > 0 && req.Requests > 0 {
		slice.Requests = math.Floor(min(req.Requests, max(a.requests.level/2, min(a.requests.level, 1))))
		slice.Requests = max(slice.Requests, 0)
		a.requests.level -= slice.Requests
		if slice.Requests == 0 {
			slice.RetryAfter = a.requests.timeUntil(1, limits.RequestsPerSecond)
		}
	}
	if limits.TokensPerMinute > 0 && req.Tokens > 0 {
		// A request larger than the burst needs a full bucket and is lent in full,
		// which leaves the bucket in debt.
		need := min(req.TokensMin, limits.tokenBurst())
		if a.tokens.level > 0 && a.tokens.level >= need {
			slice.Tokens = max(req.TokensMin, min(req.Tokens, a.tokens.level/2))
			a.tokens.level -= slice.Tokens
			return
		}
		slice.RetryAfter = max(slice.RetryAfter, a.tokens.timeUntil(need, limits.tokenRate()))
	}
}

// lendConcurrency lends the wanted concurrency as far as it is free. Until
// formerSlicesUntil, slices of the former home may be in use, so each daemon gets
// at most its share.
func (a *account) lendConcurrency(now time.Time, l *lentSlice, req SliceRequest, limits Limits, rank, live int) int {
	if limits.Concurrency <= 0 {
		return math.MaxInt32
	}
	free := limits.Concurrency
	for _, other := range a.slices {
		if other != l && now.Before(other.expires.Add(HoldTime)) {
			free -= other.concurrency
		}
	}
	if now.Before(a.formerSlicesUntil) {
		free = min(free, limits.share(rank, live).Concurrency)
	}
	// Requests that already run are counted even beyond the limit.
	l.concurrency = max(min(req.Concurrency, free), min(req.Running, req.Concurrency))
	l.expires = now.Add(SliceTTL)
	return max(min(req.Concurrency, free), 0)
}

// Forget removes the accounts with full buckets and no slices, as a new account
// would behave the same. limits returns the limits of a customer.
func (h *Home) Forget(now time.Time, limits func(customer string) Limits) {
	for customer, a := range h.accounts {
		l := limits(customer)
		a.fill(now, l)
		if a.requests.level < l.burst() && l.RequestsPerSecond > 0 || a.tokens.level < l.tokenBurst() && l.TokensPerMinute > 0 {
			continue
		}
		for daemon, slice := range a.slices {
			// The entry also holds the sequence number, so it is kept longer than the slice.
			if now.After(slice.expires.Add(HoldTime)) {
				delete(a.slices, daemon)
			}
		}
		if len(a.slices) == 0 {
			delete(h.accounts, customer)
		}
	}
}
