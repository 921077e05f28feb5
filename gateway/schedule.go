package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
)

// schedule starts the request's deadline and places the request on its first
// backend.
func schedule(q *request) *Error {
	q.startDeadline()
	q.atEnd(func() { q.releaseGrant(ReasonAbandoned) })
	return q.place()
}

// place gets a grant for a model request, or picks a server for a service call.
func (q *request) place() *Error {
	if q.service != nil {
		return q.pickServer()
	}
	m := q.model
	p, err := q.requestGrant(GrantRequest{
		RequestID:    q.id,
		Customer:     q.customer.Name,
		Model:        m.body.Model,
		Priority:     q.priority,
		PromptTokens: m.promptTokens,
		MaxTokens:    m.body.MaxTokens,
		Prefix:       m.prefixHashes,
		Deadline:     q.deadline,
		ResumeFrom:   m.validator.nextPosition,
		Exclude:      slices.Clone(q.exclude),
	})
	if err != nil {
		return q.placementError(err)
	}
	q.setPlacement(p)
	return nil
}

func (q *request) pickServer() *Error {
	server, err := q.g.Backends.Pick(q.service.route.Name, q.exclude)
	if err != nil {
		return q.placementError(err)
	}
	q.service.server, q.service.picked = server, true
	return nil
}

// placementError returns the error response for a request that was not placed.
func (q *request) placementError(err error) *Error {
	if ended := q.contextError(); ended != nil {
		return ended
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusalError(refusal, q.runState())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &Error{Status: http.StatusGatewayTimeout, Type: TypeServer, Code: "deadline_exceeded",
			Message: "no backend was available before the deadline", Run: q.runState()}
	}
	return unavailable("no_backend", "no backend is available", q.runState())
}

// releaseGrant releases the current grant or picked server, if there is one.
// reason is empty after a success.
func (q *request) releaseGrant(reason FailureReason) {
	if q.service != nil {
		if q.service.picked {
			q.service.picked = false
			q.g.Backends.Release(q.service.server, reason != "")
		}
		return
	}
	m := q.model
	if !m.hasGrant {
		return
	}
	m.hasGrant = false
	m.move.end()
	result := GrantResult{Tokens: m.validator.nextPosition - m.attemptStart, Failure: reason}
	if m.validator.usage != nil {
		result.PromptTokens = m.validator.usage.PromptTokens
	}
	q.g.Scheduler.Release(m.grant.Ticket, result)
}
