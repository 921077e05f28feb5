package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// Priority is the class of a request.
type Priority uint8

// The priorities. Batch work yields to interactive work down to a floor.
const (
	Interactive Priority = iota
	Batch
	priorities
)

// String returns the priority as it is written in headers and logs.
func (p Priority) String() string {
	if p == Batch {
		return "batch"
	}
	return "interactive"
}

// Request asks for a place on a runner.
type Request struct {
	// ID is unique per entry daemon.
	ID string
	// Entry is the VM that received the request.
	Entry    string
	Customer string
	// Weight is the customer's share; values that aren't positive count as 1.
	Weight       float64
	Priority     Priority
	PromptTokens int
	// MaxTokens bounds the answer.
	MaxTokens int
	// Blocks are the hashes of the prompt's prefix blocks in order.
	Blocks []uint64
	// BlockTokens are the sizes of Blocks in tokens; empty if every block has
	// backend.PrefixBlockTokens.
	BlockTokens []int
	// Affinity groups requests that share most of their prompt; 0 for none.
	Affinity uint64
	// FailureDomain is where the request entered the system.
	FailureDomain string
	// Whole asks for a runner that reads the prompt and produces the tokens.
	Whole bool
	// Deadline is the latest time of the first token; zero means none.
	Deadline time.Time
	Adapter  string
	// Avoid names runners on which earlier attempts failed.
	Avoid []string
}

// Ticket identifies an open grant.
type Ticket uint64

// RunnerInfo describes a runner of the pool.
type RunnerInfo struct {
	ID            string
	FailureDomain string
	Role          backend.Role
	Class         hosting.ServerClass
	State         hosting.ServerState
	// Changing marks a runner that changes its role or model, or is drained.
	Changing bool
	// LeaveAt is the time at which a leaving runner stops; zero if unknown.
	LeaveAt time.Time
	// KVTotal is the KV memory in tokens; 0 if only load reports tell it.
	KVTotal  int
	Adapters []string
}

// Event is an input of Pool.
type Event interface{ isEvent() }

// GrantRequested asks for a grant. Exactly one Granted or Refused follows,
// possibly from a later step, unless a Cancelled event comes first.
type GrantRequested struct{ Request Request }

// Cancelled withdraws a request that has no grant yet.
type Cancelled struct{ Entry, Request string }

// Adopted registers a stream that another scheduler or a fallback placed. It
// is answered by Granted with a new ticket if the runner belongs to the pool.
type Adopted struct {
	Request Request
	Runner  string
	// Tokens is the number of tokens that were produced so far.
	Tokens int
}

// Prefilled reports that a separate prefill runner has read the prompt.
type Prefilled struct {
	Ticket Ticket
	// Took is the time from grant to the end of the prompt.
	Took time.Duration
}

// CacheNoted reports that runners hold the cache of blocks, because another
// scheduler placed a request there.
type CacheNoted struct {
	Runners []string
	Blocks  []uint64
}

// Progressed reports a stream's progress. It also keeps the ticket open.
type Progressed struct {
	Ticket Ticket
	// Tokens is the number of tokens produced since the grant.
	Tokens int
	// FirstToken is the time from grant to first token, 0 until it came.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens since the last report, 0 if
	// there were none.
	BetweenTokens time.Duration
}

// Released ends a ticket.
type Released struct {
	Ticket Ticket
	// Tokens is the number of tokens produced since the grant.
	Tokens int
}

// RunnersListed replaces the pool's runner list.
type RunnersListed struct{ Runners []RunnerInfo }

// RunnerDown reports that a runner is silent, evicted or refuses connections.
// It gets no grants until its own reports are heard again.
type RunnerDown struct{ Runner string }

// LoadReported carries a runner's load report.
type LoadReported struct{ Load backend.Load }

// CacheReported carries cache events of a runner. From is the number of the
// first event that was asked for.
type CacheReported struct {
	Runner string
	From   uint64
	Events backend.CacheEvents
}

// EntryGone ends all requests and tickets of an entry daemon.
type EntryGone struct{ Entry string }

// Tick lets time pass; send it each few milliseconds while requests wait, and
// at least each second.
type Tick struct{}

func (GrantRequested) isEvent() {}
func (Cancelled) isEvent()      {}
func (Adopted) isEvent()        {}
func (Prefilled) isEvent()      {}
func (CacheNoted) isEvent()     {}
func (Progressed) isEvent()     {}
func (Released) isEvent()       {}
func (RunnersListed) isEvent()  {}
func (RunnerDown) isEvent()     {}
func (LoadReported) isEvent()   {}
func (CacheReported) isEvent()  {}
func (EntryGone) isEvent()      {}
func (Tick) isEvent()           {}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals. None of these requests has run.
const (
	// ReasonNoRunner means that no runner can take the request.
	ReasonNoRunner Reason = "no_runner"
	// ReasonDeadline means that the first token would come too late now.
	ReasonDeadline Reason = "deadline"
	// ReasonImpossible means that the deadline can't be met on an idle runner
	// or that the request doesn't fit into any runner's memory. A retry is
	// useless.
	ReasonImpossible Reason = "impossible"
	// ReasonOverloaded means that too many requests wait.
	ReasonOverloaded Reason = "overloaded"
)

// Action is an output of Pool.
type Action interface{ isAction() }

// Granted gives a request its place.
type Granted struct {
	Entry, Request string
	Ticket         Ticket
	// Runner produces the tokens.
	Runner string
	// Prefill names the runner that reads the prompt first and from which the
	// KV cache is transferred; "" if Runner does it itself.
	Prefill string
	// KVSource names a runner from which cached prefix blocks are worth
	// importing before the prompt is read; "" if none.
	KVSource string
	// Expires is the time at which the ticket ends without progress.
	Expires time.Time
	// FirstToken and BetweenTokens are predictions.
	FirstToken, BetweenTokens time.Duration
}

// Refused turns a request down. It has not run.
type Refused struct {
	Entry, Request string
	Reason         Reason
	// RetryAfter is the time after which the request would be admitted if
	// nothing else arrived; 0 if a retry is useless.
	RetryAfter time.Duration
	// Queued is the number of waiting requests, Runners that of the pool's
	// runners, both when it was decided.
	Queued, Runners int
}

// Expired tells that a ticket ended without release.
type Expired struct {
	Entry, Request string
	Ticket         Ticket
}

// Vacate asks the entry daemon to resume a stream on another runner before its
// runner stops.
type Vacate struct {
	Entry, Request string
	Ticket         Ticket
	Runner         string
	LeaveAt        time.Time
}

func (Granted) isAction() {}
func (Refused) isAction() {}
func (Expired) isAction() {}
func (Vacate) isAction()  {}
