package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// secretHeaders are the request headers that the gateway must not forward to a
// backend server.
var secretHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// auditedPromptBytes is the maximum length of the prompt prefix that an audit
// entry keeps.
const auditedPromptBytes = 64

// Values of RequestEntry.Outcome.
const (
	OutcomeRunning  = "running"
	OutcomeDone     = "done"
	OutcomeAborted  = "aborted"
	OutcomeCanceled = "canceled"
	OutcomeRefused  = "refused"
)

// RequestEntry is the audit record of one request that reached the engine.
type RequestEntry struct {
	AtMs         int64  `json:"at_ms"`
	RequestID    string `json:"request_id"`
	Customer     string `json:"customer"`
	Model        string `json:"model"`
	Priority     string `json:"priority"`
	ResumeFrom   int    `json:"resume_from"`
	PromptTokens int    `json:"prompt_tokens"`
	// Prompt is the start of the prompt, for tests that identify their requests
	// by it.
	Prompt string `json:"prompt,omitempty"`
	// Tokens is the number of tokens, from ResumeFrom on, that were generated and
	// handed to the response writer.
	Tokens  int    `json:"tokens"`
	Cached  int    `json:"cached_tokens"`
	Outcome string `json:"outcome"`
	// Reason is the error code if the request was refused.
	Reason string `json:"reason,omitempty"`
	// Leaked lists the secret headers that reached the engine.
	Leaked []string `json:"leaked,omitempty"`
}

// OrderEntry is the audit record of one order that reached the engine.
type OrderEntry struct {
	AtMs   int64         `json:"at_ms"`
	Order  backend.Order `json:"order"`
	Result string        `json:"result"`
	// Highest is the highest fencing token seen before this order.
	Highest int64 `json:"highest"`
	// Repeated is set if an order with the same ID was accepted before.
	Repeated bool `json:"repeated,omitempty"`
	// Aborted is the number of running and waiting requests that the order
	// aborted.
	Aborted int `json:"dropped,omitempty"`
}

// Audit is the record of all requests and orders that reached an engine.
type Audit struct {
	Requests []RequestEntry `json:"requests"`
	Orders   []OrderEntry   `json:"orders"`
}

// auditor collects the audit record. It is safe for concurrent use.
type auditor struct {
	mu    sync.Mutex
	audit Audit
}

// addRequest adds an entry and returns its index.
func (a *auditor) addRequest(r *http.Request, entry RequestEntry) int {
	entry.AtMs = time.Now().UnixMilli()
	for _, name := range secretHeaders {
		if r.Header.Get(name) != "" {
			entry.Leaked = append(entry.Leaked, name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Requests = append(a.audit.Requests, entry)
	return len(a.audit.Requests) - 1
}

func (a *auditor) updateRequest(index int, change func(*RequestEntry)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.audit.Requests[index])
}

func (a *auditor) addOrder(entry OrderEntry) {
	entry.AtMs = time.Now().UnixMilli()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Orders = append(a.audit.Orders, entry)
}

func (a *auditor) snapshot() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Audit{
		Requests: append([]RequestEntry{}, a.audit.Requests...),
		Orders:   append([]OrderEntry{}, a.audit.Orders...),
	}
}
