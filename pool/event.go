package pool

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// Priority is the class of a request.
type Priority uint8

// The priorities. Interactive work goes before batch work, except for the share
// of Config.BatchFloor.
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

// Request describes a request that needs a runner.
type Request struct {
	// ID is unique per entry daemon.
	ID string
	// Entry is the VM that received the request.
	Entry    string
	Customer string
	// Weight is the customer's fair queueing weight. A value that isn't positive
	// keeps the customer's present weight, 1 for a new customer.
	Weight       float64
	Priority     Priority
	PromptTokens int
	// MaxTokens bounds the length of the answer in tokens.
	MaxTokens int
	// Blocks are the hashes of the prompt's prefix blocks in order.
	Blocks []uint64
	// BlockTokens are the sizes of Blocks in tokens; empty if every block has
	// backend.PrefixBlockTokens.
	BlockTokens []int
	// Affinity groups requests that share most of their prompt; 0 for none.
	Affinity uint64
	// FailureDomain is the failure domain where the request entered the system;
	// "" means none is preferred.
	FailureDomain string
	// Whole asks for one runner that does both prefill and decode.
	Whole bool
	// Deadline is the latest time of the first token; zero means none.
	Deadline time.Time
	// Objective is the latest time of a timely first token; zero means none. An
	// answer after it is worth less. It is used with Switches.Urgency only.
	Objective time.Time
	// Rank is the urgency of the request's kind; 0 is the most urgent. Values
	// outside [0, maxRank] are clamped. It is used with Switches.Urgency only.
	Rank int
	// Adapter names the adapter that the runner must have; "" for none.
	Adapter string
	// Avoid names runners on which earlier attempts failed.
	Avoid []string
	// Version is the software version that the runners must have; "" for any.
	Version string `cbor:",omitempty"`
}

// Ticket identifies an open grant.
type Ticket uint64

// RunnerInfo describes a runner of the pool.
type RunnerInfo struct {
	ID            string
	FailureDomain string
	// Version is the version of the runner's software.
	Version string
	Role    backend.Role
	Class   hosting.ServerClass
	State   hosting.ServerState
	// Changing is set while a runner changes its role or model, or is drained.
	Changing bool
	// DecodesAt is the time at which a runner that changes its role is expected to take
	// decodes; zero if it will not.
	DecodesAt time.Time
	// LeaveAt is the time at which a leaving runner stops; zero if unknown.
	LeaveAt time.Time
	// KVTotal is the KV memory in tokens; 0 if it is known from load reports only.
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

// Prefilled reports that a separate prefill runner has finished the prefill.
type Prefilled struct {
	Ticket Ticket
	// Took is the time from the grant to the end of the prefill.
	Took time.Duration
}

// CacheNoted reports that runners hold the KV cache of prefix blocks because
// another scheduler placed a request there.
type CacheNoted struct {
	Runners []string
	Blocks  []uint64
}

// Progressed reports a stream's progress. It also renews the ticket's
// Config.GrantTTL.
type Progressed struct {
	Ticket Ticket
	// Tokens is the number of tokens produced since the grant.
	Tokens int
	// FirstToken is the time from the grant to the first token, 0 before it.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens since the last report, 0 if
	// there were no tokens.
	BetweenTokens time.Duration
}

// Released reports the end of a request and closes its ticket.
type Released struct {
	Ticket Ticket
	// Tokens is the number of tokens produced since the grant.
	Tokens int
}

// RunnersListed replaces the pool's runner list.
type RunnersListed struct{ Runners []RunnerInfo }

// RunnerDown reports that a runner doesn't respond, was evicted or refuses
// connections.
// It gets no grants until it reports again or Config.DownFor has passed.
type RunnerDown struct{ Runner string }

// RunnerLimited reports how many requests a runner takes.
type RunnerLimited struct {
	Runner string
	// Limit is the number of requests per second. It holds for some seconds unless it
	// is reported again.
	Limit float64
	// Limited is false if the runner has no limit any longer.
	Limited bool
	// Excluded is set if another scheduler places the requests that the runner takes.
	Excluded bool
}

// LoadReported carries a runner's load report.
type LoadReported struct{ Load backend.Load }

// CacheReported carries cache events of a runner. From is the number of the
// first event that was requested from it.
type CacheReported struct {
	Runner string
	From   uint64
	Events backend.CacheEvents
}

// EntryGone reports that an entry daemon died and ends all its requests and
// tickets.
type EntryGone struct{ Entry string }

// Tick applies timeouts and deadlines. Send it every few milliseconds while
// requests wait, and at least every second.
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
func (RunnerLimited) isEvent()  {}
func (LoadReported) isEvent()   {}
func (CacheReported) isEvent()  {}
func (EntryGone) isEvent()      {}
func (Tick) isEvent()           {}

// Reason is the reason of a refusal.
type Reason string

// The reasons of refusals. None of these requests has run.
const (
	// ReasonNoRunner means that no runner can take the request.
	ReasonNoRunner Reason = "no_runner"
	// ReasonDeadline means that the first token is predicted to miss the deadline
	// under the present load.
	ReasonDeadline Reason = "deadline"
	// ReasonImpossible means that not even an idle runner could meet the
	// deadline, or that the request doesn't fit into any runner's memory. A retry
	// is useless.
	ReasonImpossible Reason = "impossible"
	// ReasonOverloaded means that the queue is full.
	ReasonOverloaded Reason = "overloaded"
)

// Action is an output of Pool.
type Action interface{ isAction() }

// Granted assigns a request to a runner.
type Granted struct {
	Entry, Request string
	Ticket         Ticket
	// Runner produces the tokens.
	Runner string
	// Prefill names the runner that does the prefill and from which the KV cache
	// is transferred; "" if Runner does the prefill itself.
	Prefill string
	// KVSource names a runner from which importing cached prefix blocks before
	// the prefill saves time; "" if none.
	KVSource string
	// Expires is the time at which the ticket expires unless progress is
	// reported.
	Expires time.Time
	// FirstToken and BetweenTokens are the predicted time to first token and time
	// between tokens.
	FirstToken, BetweenTokens time.Duration
	// Late is set if the request lost its objective while it waited.
	Late bool
}

// Refused refuses a request. It has not run.
type Refused struct {
	Entry, Request string
	Reason         Reason
	// RetryAfter is the time after which the request is expected to be admitted if
	// no other requests arrive; 0 if a retry is useless.
	RetryAfter time.Duration
	// Queued and Runners are the numbers of waiting requests and of the pool's
	// runners at the time of the decision.
	Queued, Runners int
}

// Expired reports that a ticket was closed because no progress was reported for
// Config.GrantTTL.
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
