// Package order turns wanted commands into orders to engines and to the
// platform, so that no target ever receives conflicting orders.
//
// An order is first logged as an intent in the chain of its failure domain
// (State), sent only after the intent was read back, and closed with its result.
// A target has at most one open intent. The chain also holds the lease
// (package lease): only the holder opens, sends and closes intents. After a
// takeover the new holder raises the fencing token at each target that checks it,
// finishes the open intents under their old idempotency keys, and then opens new
// ones. A target that does not check the token receives no orders until every
// earlier holder that did not release has resigned or is known to have ended.
//
// Machine has no clock and does no I/O; the daemon runs one per failure domain:
//
//	m := order.NewMachine(order.Default(), self, chain, state)
//	for ev := range events { // one goroutine
//		for _, a := range m.Step(time.Now(), ev) {
//			switch a := a.(type) {
//			case order.Send:
//				// In a sender goroutine, right before the write:
//				//   if !time.Now().Before(a.AuthorityEnd) { result AnswerNotSent }
//				// then write with a deadline of WriteDeadline.
//			case order.Closed:
//				// report the result to the fleet logic
//			case order.LeaseAction:
//				// a.Action is a lease.Append, Gained, Lost or Stopped
//			}
//		}
//	}
//
// Each Send gets exactly one SendResult, and only once its write can no longer take
// effect: after a response, after AnswerNotSent, or after the connection was closed.
package order

import (
	"time"

	"github.com/mimosakeel/mimosakeel/lease"
)

// WriteDeadline is the maximum duration of the write of an order.
const WriteDeadline = 500 * time.Millisecond

// Config holds the parameters of a Machine.
type Config struct {
	Lease lease.Config
	// Settle is the pause before the next order to a target after an order that
	// failed or whose outcome is unknown. It must exceed the time that a written
	// order can be in flight.
	Settle time.Duration
	// GoneAfter is the time after which a target that is missing from the target
	// list counts as gone.
	GoneAfter time.Duration
	// Quarantine is the time after a genesis during which a newly listed target may
	// be one that the lost history had orders for. Such a target receives no orders
	// unless it checks fencing tokens. Quarantine must exceed the lag of the target
	// list.
	Quarantine time.Duration
	// MaxBatch is the maximum number of intents or results in one record.
	MaxBatch int
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		Lease:      lease.Default(),
		Settle:     time.Second,
		GoneAfter:  10 * time.Second,
		Quarantine: time.Minute,
		MaxBatch:   64,
	}
}

// Event is an input of a Machine.
type Event interface{ orderEvent() }

type (
	// LeaseEvent passes an event to the embedded lease machine.
	LeaseEvent struct{ Event lease.Event }
	// CommandRequest requests a command for a target. It replaces an earlier
	// request that is not logged yet. Requests that are not logged are dropped
	// when authority ends.
	CommandRequest struct {
		Target  string
		Command Command
	}
	// Targets is a newly fetched list of all targets of the failure domain.
	Targets struct{ Targets []Target }
	// SendResult is the result of a Send.
	SendResult struct {
		Send   uint64
		Result AnswerResult
	}
)

func (LeaseEvent) orderEvent()     {}
func (CommandRequest) orderEvent() {}
func (Targets) orderEvent()        {}
func (SendResult) orderEvent()     {}

// Target is a receiver of orders.
type Target struct {
	ID   string
	Kind TargetKind
	// ChecksFence reports whether the target refuses outdated fencing tokens.
	ChecksFence bool
}

// AnswerResult is the result of a Send.
type AnswerResult int

// The results of a Send.
const (
	// AnswerUnknown means that the order may have taken effect.
	AnswerUnknown AnswerResult = iota
	// AnswerDone means that the target has confirmed the order.
	AnswerDone
	// AnswerRefused means that the target refused the command.
	AnswerRefused
	// AnswerStale means that the target has seen a higher fencing token.
	AnswerStale
	// AnswerNotSent means that no byte was written.
	AnswerNotSent
)

// CommandFence is the name of the command that only raises the fencing token.
const CommandFence = "fence"

// Action is an output of a Machine.
type Action interface{ orderAction() }

type (
	// LeaseAction is an action of the embedded lease machine.
	LeaseAction struct{ Action lease.Action }
	// Send asks for one write to a target.
	Send struct {
		Send uint64
		// ID is the idempotency key of the order.
		ID      string
		Target  Target
		Command Command
		// Fence is the sender's current term.
		Fence int64
		// AuthorityEnd is the local time at and after which nothing may be
		// written.
		AuthorityEnd time.Time
	}
	// Closed reports that an intent was closed, by this daemon or another one.
	Closed struct {
		Intent Intent
		Result Result
	}
)

func (LeaseAction) orderAction() {}
func (Send) orderAction()        {}
func (Closed) orderAction()      {}
