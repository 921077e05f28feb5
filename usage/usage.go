// Package usage counts the usage of customers and reports it to the platform once
// per usage window.
//
// Each daemon batches its usage in a Collector, which appends numbered deltas to
// the log. A peer keeps a copy of each delta (PeerCopies) until it is in the log.
// The folded State counts each delta once. The holder of the usage lease runs
// Machine, which closes a window when the watermarks of all live incarnations are
// past it. Closing logs the figures of the window, and Machine reports exactly
// the logged figures. After a change of the holder, the new one reports
// unconfirmed figures again under the same id. Usage that enters the log after
// its window was closed is part of the next figures, marked as late.
//
// Machine and Collector use no clock and do no I/O:
//
//	m := usage.NewMachine(usage.Default(), self, chain, state)
//	c := usage.NewCollector(usage.DefaultCollector(), self.Incarnation, size)
//	for ev := range events { // one goroutine
//		for _, a := range m.Step(time.Now(), ev) {
//			switch a := a.(type) {
//			case usage.Send:
//				// check a.AuthorityEnd right before the write, then call
//				// hosting.Usage.Report and step with SendResult
//			case usage.LeaseAction:
//				// a.Action is a lease.Append, Gained, Lost or Stopped
//			}
//		}
//		c.ObserveLogged(decisions) // with each lease.Read
//		for _, a := range c.Step(time.Now()) { // at least every 500 ms
//			// a.Append: append the delta, unchained; a.Copy: send it to a peer
//		}
//	}
package usage

import (
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
)

// Config holds the intervals and limits of a Machine.
type Config struct {
	Lease lease.Config
	// Grace is the time between the end of a window and its close.
	Grace time.Duration
	// ChecksFence states that the platform's usage interface refuses reports with an
	// old fencing token.
	ChecksFence bool
	// UnknownOutcomePause is the time without reports after a report whose
	// outcome is unknown.
	UnknownOutcomePause time.Duration
	// MaxUnconfirmed bounds the reports that the platform has not confirmed. No
	// window is closed at this limit.
	MaxUnconfirmed int
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		Lease:               lease.Default(),
		Grace:               5 * time.Second,
		UnknownOutcomePause: time.Second,
		MaxUnconfirmed:      60,
	}
}

// Event is an input of a Machine.
type Event interface{ usageEvent() }

type (
	// LeaseEvent passes an event to the embedded lease machine.
	LeaseEvent struct{ Event lease.Event }
	// Live lists the incarnations whose usage must be in the log before a window is
	// closed.
	Live struct{ Incarnations []string }
	// SendResult is the outcome of a Send. It must be passed only when the write
	// has taken effect or can no longer do so.
	SendResult struct {
		Send uint64
		// Done states that the platform has confirmed the report.
		Done bool
	}
)

func (LeaseEvent) usageEvent() {}
func (Live) usageEvent()       {}
func (SendResult) usageEvent() {}

// Action is an output of a Machine.
type Action interface{ usageAction() }

type (
	// LeaseAction is an action of the embedded lease machine.
	LeaseAction struct{ Action lease.Action }
	// Send requests that one report be sent to the platform.
	Send struct {
		Send   uint64
		Report hosting.UsageReport
		// AuthorityEnd is the local time from which on the report must not be sent.
		AuthorityEnd time.Time
	}
)

func (LeaseAction) usageAction() {}
func (Send) usageAction()        {}
