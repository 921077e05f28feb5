package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// FailureReason is the reason why an attempt ended without success.
type FailureReason string

// The reasons of failed attempts.
const (
	// ReasonConnect means that no connection could be opened.
	ReasonConnect FailureReason = "connect"
	// ReasonBroken means that the connection failed or was closed early.
	ReasonBroken FailureReason = "broken"
	// ReasonSilent means that the backend sent nothing within the read
	// timeout.
	ReasonSilent FailureReason = "silent"
	// ReasonRefused means that the backend responded with status 404 or 429.
	ReasonRefused FailureReason = "refused"
	// ReasonStatus means that the backend responded with another error status,
	// or that the stream contained an error.
	ReasonStatus FailureReason = "status"
	// ReasonGap means that tokens are missing, or that a chunk contains both
	// delivered and new tokens.
	ReasonGap FailureReason = "gap"
	// ReasonUnfinished means that the end marker came before every choice had a
	// finish reason.
	ReasonUnfinished FailureReason = "no_end"
	// ReasonMalformed means that the response was not in the protocol's format.
	ReasonMalformed FailureReason = "garbage"
	// ReasonGrantExpired means that the grant expired, or the key became
	// invalid, before the attempt wrote its first byte.
	ReasonGrantExpired FailureReason = "grant_expired"
	// ReasonMoved is not a failure: the stream continues on another engine
	// because its own engine is about to stop.
	ReasonMoved FailureReason = "moved"
	// ReasonAbandoned is not a fault of the backend: the client left, the
	// deadline passed or the key was withdrawn.
	ReasonAbandoned FailureReason = "abandoned"
	// ReasonClientFault means that the request is invalid and every backend
	// would refuse it.
	ReasonClientFault FailureReason = "client_fault"
)

// RetryDecision states how a request may continue after a failed attempt.
type RetryDecision struct {
	Reason FailureReason
	// Retry reports whether another backend may be tried.
	Retry bool
	// MayHaveRun reports whether the backend may have run the request.
	MayHaveRun bool
}

// Classify returns the reason of a failed call and whether it may be retried. A
// call that is not idempotent may be retried only if no byte of it was written.
func Classify(err *backend.CallError, idempotent bool) RetryDecision {
	d := RetryDecision{Reason: reasonOf(err), MayHaveRun: err.Written && !err.Refused()}
	switch d.Reason {
	case ReasonAbandoned, ReasonClientFault:
		d.Retry = false
	default:
		d.Retry = idempotent || !err.Written
	}
	return d
}

func reasonOf(err *backend.CallError) FailureReason {
	switch err.Failure {
	case backend.FailureConnect:
		return ReasonConnect
	case backend.FailureReadTimeout:
		return ReasonSilent
	case backend.FailureMalformed:
		return ReasonMalformed
	case backend.FailureCanceled:
		return ReasonAbandoned
	case backend.FailureCheck:
		return ReasonGrantExpired
	case backend.FailureStatus:
		return statusReason(err.Status)
	}
	return ReasonBroken
}

func statusReason(status int) FailureReason {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return ReasonClientFault
	case http.StatusTooManyRequests, http.StatusNotFound:
		return ReasonRefused
	}
	return ReasonStatus
}

// RetryBudget limits retries to a ratio of the requests plus a small constant
// rate, so that retries can't multiply the load on failing backends. It works
// like a token bucket.
type RetryBudget struct {
	clock Clock
	// perRequest, perSecond and balance are in thousandths of a retry;
	// lastRefill is in nanoseconds of Unix time.
	perRequest int64
	perSecond  float64
	balance    atomic.Int64
	lastRefill atomic.Int64
}

const (
	// oneRetry is one retry in the units of the balance.
	oneRetry = 1000
	// budgetCap limits the balance that accumulates while there are few
	// failures to 10 retries.
	budgetCap = 10 * oneRetry
)

// NewRetryBudget returns a budget that gains ratio retries per request and
// perSecond retries per second. It starts full.
func NewRetryBudget(ratio, perSecond float64, clock Clock) *RetryBudget {
	b := &RetryBudget{clock: clock, perRequest: int64(ratio * oneRetry), perSecond: perSecond * oneRetry}
	b.balance.Store(budgetCap)
	b.lastRefill.Store(clock.Now().UnixNano())
	return b
}

// CountRequest adds the retries that one request earns.
func (b *RetryBudget) CountRequest() { b.add(b.perRequest) }

// Spend takes one retry from the budget. It returns false if less than one is
// left.
func (b *RetryBudget) Spend() bool {
	b.refill()
	for {
		have := b.balance.Load()
		if have < oneRetry {
			return false
		}
		if b.balance.CompareAndSwap(have, have-oneRetry) {
			return true
		}
	}
}

func (b *RetryBudget) add(n int64) {
	for {
		have := b.balance.Load()
		next := min(have+n, budgetCap)
		if next <= have || b.balance.CompareAndSwap(have, next) {
			return
		}
	}
}

// refill adds the retries gained since the last refill.
func (b *RetryBudget) refill() {
	now, last := b.clock.Now().UnixNano(), b.lastRefill.Load()
	gain := int64(b.perSecond * time.Duration(now-last).Seconds())
	if gain < 1 || !b.lastRefill.CompareAndSwap(last, now) {
		return
	}
	b.add(gain)
}

// retry ends the failed attempt and places the request on another backend. If
// that is not allowed, it returns the error for the client.
func (q *request) retry(failed *backend.CallError) *Error {
	d := Classify(failed, q.idempotent())
	return q.retryWithDecision(d, failed)
}

// retryWithDecision is like retry for a failure that is already classified.
func (q *request) retryWithDecision(d RetryDecision, failed *backend.CallError) *Error {
	if next := q.nextPlacement(d); next != nil {
		return q.moveTo(next)
	}
	q.mayHaveRun = q.mayHaveRun || d.MayHaveRun
	server := q.backendName()
	q.g.metrics.countFailedAttempt(d.Reason)
	q.releaseGrant(d.Reason)
	if ended := q.contextError(); ended != nil {
		return ended
	}
	if !d.Retry {
		return q.finalError(d, failed)
	}
	if !q.g.retryBudget.Spend() {
		q.g.metrics.budgetEmpty.Inc()
		return q.finalError(d, failed)
	}
	if d.Reason != ReasonGrantExpired {
		q.exclude = append(q.exclude, server)
	}
	q.recordEvent(EventRetried, server, string(d.Reason))
	return q.place()
}

func (q *request) idempotent() bool { return q.service == nil || q.service.idempotent }

func (q *request) backendName() string {
	if q.service != nil {
		return q.service.server.ID
	}
	return q.model.grant.Engine
}

// finalError returns the error for the client when no further attempt is
// allowed.
func (q *request) finalError(d RetryDecision, failed *backend.CallError) *Error {
	if d.Reason == ReasonClientFault && failed != nil {
		return invalidRequest(failed.Status, "rejected_by_engine", "", engineMessage(failed.Message)).withRun(q.runState())
	}
	if q.runState() == RunNever {
		return unavailable("backend_unavailable", "the backend could not be reached", RunNever)
	}
	return &Error{Status: http.StatusBadGateway, Type: TypeServer, Code: "backend_failed",
		Message: "the backend failed before the answer was whole (" + string(d.Reason) + ")", Run: RunUnknown}
}
