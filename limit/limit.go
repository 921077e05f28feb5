// Package limit enforces each customer's limits on requests per second, burst,
// concurrency and tokens per minute across all daemons. Each customer has a home
// daemon that lends slices of the limits. The other daemons admit requests from
// their slices without a message per request. Customers without requests cause
// no messages.
//
// Bounds for a limit of rate r, burst b and concurrency c: while every daemon can
// reach the home, at most b + r*(T+SliceTTL) requests are admitted in any time T,
// and at most c run at once. Each daemon that can't reach the home admits up to
// the limit divided by the number of live daemons, so the total is at most twice
// the limit.
//
// Limits with a TokenBurst are accounted more tightly, because single requests
// may be large beside the part of one daemon; quota.go describes the rules and
// the bounds.
package limit

import (
	"time"
)

const (
	// SliceTTL is the lifetime of a slice. The borrower measures it from its
	// request and the home from its answer, so no clocks are compared.
	SliceTTL = time.Second
	// HoldTime is how long after a slice expires the home keeps its concurrency
	// reserved: the borrower's streams continue without a valid slice.
	HoldTime = time.Minute
	// HomeTimeout is how long a borrower waits for the home's answer.
	HomeTimeout = 5 * time.Millisecond
	// askInterval is the minimum time between requests to a home that doesn't
	// answer or had nothing to lend.
	askInterval = 100 * time.Millisecond
	// tokenBurstTime defines the token burst: the tokens of this time may be used
	// at once.
	tokenBurstTime = 10 * time.Second
	// idleTimeout is the time without requests after which a borrower removes a
	// customer.
	idleTimeout = 10 * time.Second
)

// Limits holds a customer's limits across all daemons; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once, at least 1.
	Burst           float64
	Concurrency     int
	TokensPerMinute float64
	// TokenBurst is the number of tokens that may be used at once. If it is set,
	// unused tokens return to the home (see quota.go); if it is 0, the tokens of
	// tokenBurstTime may be used at once.
	TokenBurst float64
}

// unlimited reports whether no limit is set.
func (l Limits) unlimited() bool {
	return l.RequestsPerSecond <= 0 && l.Concurrency <= 0 && l.TokensPerMinute <= 0
}

// SliceRequest asks the home for a slice of a customer's limits. Its concurrency
// replaces that of the daemon's earlier slice.
type SliceRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Seq increases with each request of a daemon for a customer.
	Seq uint64 `cbor:"2,keyasint"`
	// Requests and Tokens are the wanted amounts. Under a limit with a TokenBurst,
	// Tokens is wanted beyond TokensDue for later requests.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	Tokens   float64 `cbor:"4,keyasint,omitempty"`
	// TokensMin is the amount that the next request needs.
	TokensMin float64 `cbor:"8,keyasint,omitempty"`
	// Debt is the number of tokens that finished requests used beyond their
	// estimates, negative if they used fewer.
	Debt float64 `cbor:"5,keyasint,omitempty"`
	// Running is the number of running requests, Concurrency the wanted total.
	// Both are 0 when the daemon returns its slice.
	Running     int `cbor:"6,keyasint,omitempty"`
	Concurrency int `cbor:"7,keyasint,omitempty"`
	// TokensDue is the amount that all waiting requests need, beyond what the
	// daemon holds.
	TokensDue float64 `cbor:"9,keyasint,omitempty"`
	// Returns holds the amounts of earlier slices that expired unused.
	Returns []Return `cbor:"10,keyasint,omitempty"`
	// Deputy is set if the home doesn't answer and the receiver stands in for it. Level
	// is then the level that the home last stated, LevelAge the time since, 0 if there
	// is no recent statement.
	Deputy   bool          `cbor:"11,keyasint,omitempty"`
	Level    float64       `cbor:"12,keyasint,omitempty"`
	LevelAge time.Duration `cbor:"13,keyasint,omitempty"`
	// Held is the amount that the daemon holds unused.
	Held float64 `cbor:"14,keyasint,omitempty"`
}

// Return gives back the unused tokens of a slice, named by its sequence number.
type Return struct {
	Seq    uint64  `cbor:"1,keyasint"`
	Tokens float64 `cbor:"2,keyasint"`
}

// Slice is the home's answer to a SliceRequest.
type Slice struct {
	Customer string  `cbor:"1,keyasint"`
	Seq      uint64  `cbor:"2,keyasint"`
	Requests float64 `cbor:"3,keyasint,omitempty"`
	Tokens   float64 `cbor:"4,keyasint,omitempty"`
	// Concurrency is the number of requests that may run at once.
	Concurrency int `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the time until the rate limits permit lending again, or 0 if
	// they aren't exhausted.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// Level is the number of tokens that are left at the home.
	Level float64 `cbor:"7,keyasint,omitempty"`
	// Lifetime is the time for which the tokens may be used, counted from the
	// request; 0 is SliceTTL.
	Lifetime time.Duration `cbor:"8,keyasint,omitempty"`
}

// bucket is a token bucket. A negative level is debt.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) fill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.level+rate*elapsed, burst)
		b.at = now
	}
}

// timeUntil returns the time until the level reaches amount at the given rate.
func (b *bucket) timeUntil(amount, rate float64) time.Duration {
	if b.level >= amount || rate <= 0 {
		return 0
	}
	// The added microsecond makes up for rounding errors of the level.
	return time.Duration((amount-b.level)/rate*float64(time.Second)) + time.Microsecond
}

func (l Limits) burst() float64 { return max(l.Burst, 1) }

func (l Limits) tokenRate() float64 { return l.TokensPerMinute / time.Minute.Seconds() }

func (l Limits) tokenBurst() float64 {
	if l.TokenBurst > 0 {
		return max(l.TokenBurst, 1)
	}
	return max(l.tokenRate()*tokenBurstTime.Seconds(), 1)
}

// share returns the limits of one of the live daemons: an equal part of each.
// The remainder of the concurrency goes to the lowest ranks, so that the shares
// add up to the limit.
func (l Limits) share(rank, live int) Limits {
	live = max(live, 1)
	part := 1 / float64(live)
	concurrency := l.Concurrency / live
	if rank < l.Concurrency%live {
		concurrency++
	}
	return Limits{
		RequestsPerSecond: l.RequestsPerSecond * part,
		Burst:             l.burst() * part,
		Concurrency:       concurrency,
		TokensPerMinute:   l.TokensPerMinute * part,
		TokenBurst:        l.TokenBurst * part,
	}
}
