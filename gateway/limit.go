package gateway

// limit applies the customer's limits. Requests to open services have no
// customer; Config.MaxOutstanding limits them.
func limit(q *request) *Error {
	if q.customer == nil {
		return nil
	}
	release, refusal := q.g.Limiter.Admit(q.customer, q.estimatedTokens())
	if refusal != nil {
		return refusalError(refusal, RunNever)
	}
	q.atEnd(func() { release(q.usage.TokensIn + q.usage.TokensOut) })
	return nil
}

// estimatedTokens returns the estimated prompt tokens plus the output limit.
func (q *request) estimatedTokens() int64 {
	if q.model == nil {
		return 0
	}
	return int64(q.model.promptTokens + q.model.body.MaxTokens)
}
