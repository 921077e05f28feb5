package gateway

// account records the usage of what the client received. An interrupted stream
// counts with the tokens that were delivered; a response of which the client
// received nothing does not count.
func account(q *request) {
	if q.customer == nil || !q.received() {
		return
	}
	q.usage.Requests = 1
	if q.model != nil {
		used := q.model.usage()
		q.usage.TokensIn = int64(used.PromptTokens)
		q.usage.TokensOut = int64(used.CompletionTokens)
	}
	q.g.Usage.Add(q.usage)
}

// received reports whether a response other than a replay was started.
func (q *request) received() bool {
	if q.service == nil && q.model == nil {
		return false
	}
	return q.headerSent && !q.replayed
}
