// Package schedule distributes the scheduling of pools over daemons. It defines
// the messages between an entry daemon and the daemon that schedules a pool, and
// the host that runs the pools on the latter.
package schedule

import (
	"time"

	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
)

// The kinds of the messages of this package. Other packages use the other
// numbers.
const (
	kindGrantRequest peer.Kind = 2
	kindGrantReply   peer.Kind = 3
	kindGrantCancel  peer.Kind = 4
	kindProgress     peer.Kind = 5
	kindRelease      peer.Kind = 6
	kindAdopt        peer.Kind = 7
	kindVacate       peer.Kind = 15
)

// NewMessage returns an empty message of a kind, or nil if the kind doesn't
// belong to this package.
func NewMessage(kind peer.Kind) peer.Message {
	switch kind {
	case kindGrantRequest:
		return &GrantRequest{}
	case kindGrantReply:
		return &GrantReply{}
	case kindGrantCancel:
		return &GrantCancel{}
	case kindProgress:
		return &Progress{}
	case kindRelease:
		return &Release{}
	case kindVacate:
		return &Vacate{}
	case kindAdopt:
		return &Adopt{}
	}
	return nil
}

// PoolSummary is the state of a hosted pool that entry daemons use for their
// fallback.
type PoolSummary struct {
	Pool    string       `cbor:"1,keyasint"`
	Summary pool.Summary `cbor:"2,keyasint"`
}

// GrantRequest asks the scheduler of a pool for a grant. The reply is ReplyMoved,
// or it is at most one ReplyQueued followed by one ReplyGranted or ReplyRefused.
type GrantRequest struct {
	Pool    string       `cbor:"1,keyasint"`
	Request pool.Request `cbor:"2,keyasint"`
	// Budget is the time left until the request's deadline; 0 means no deadline.
	// An absolute time is not sent because the clocks of two VMs differ.
	Budget time.Duration `cbor:"3,keyasint"`
	// Objective is the time left until the request's objective; 0 means none.
	Objective time.Duration `cbor:"4,keyasint,omitempty"`
}

// NewGrantRequest returns the message that asks the scheduler of a pool for a
// grant. The receiver may be in this process and changes the message, so each
// message is sent once.
func NewGrantRequest(poolName string, request pool.Request) *GrantRequest {
	m := &GrantRequest{Pool: poolName, Request: request}
	if !request.Deadline.IsZero() {
		m.Budget = max(time.Until(request.Deadline), 1)
	}
	if !request.Objective.IsZero() {
		m.Objective = max(time.Until(request.Objective), 1)
	}
	m.Request.Deadline, m.Request.Objective = time.Time{}, time.Time{}
	return m
}

// ReplyKind is the type of a GrantReply.
type ReplyKind uint8

// The kinds of grant replies.
const (
	// ReplyQueued means that the request waits and will be answered later.
	ReplyQueued ReplyKind = iota + 1
	// ReplyGranted means that GrantReply.Granted is set.
	ReplyGranted
	// ReplyRefused means that GrantReply.Refused is set.
	ReplyRefused
	// ReplyMoved means that the receiver of the request does not schedule the pool.
	ReplyMoved
)

// GrantReply answers a GrantRequest or an Adopt.
type GrantReply struct {
	Pool    string       `cbor:"1,keyasint"`
	Request string       `cbor:"2,keyasint"`
	Kind    ReplyKind    `cbor:"3,keyasint"`
	Granted pool.Granted `cbor:"4,keyasint"`
	Refused pool.Refused `cbor:"5,keyasint"`
}

// GrantCancel withdraws a request that has no grant yet.
type GrantCancel struct {
	Pool    string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
}

// TicketProgress is the progress of one stream since the last report.
type TicketProgress struct {
	Ticket        pool.Ticket   `cbor:"1,keyasint"`
	Tokens        int           `cbor:"2,keyasint"`
	FirstToken    time.Duration `cbor:"3,keyasint"`
	BetweenTokens time.Duration `cbor:"4,keyasint,omitempty"`
	// Prefilled is the time from the grant to the end of the prefill on a separate
	// prefill runner; 0 if there is none or the prefill has not ended.
	Prefilled time.Duration `cbor:"5,keyasint,omitempty"`
}

// Progress reports the progress of streams of one pool.
type Progress struct {
	Pool    string           `cbor:"1,keyasint"`
	Tickets []TicketProgress `cbor:"2,keyasint"`
}

// Release closes a ticket at the end of its attempt.
type Release struct {
	Pool   string      `cbor:"1,keyasint"`
	Ticket pool.Ticket `cbor:"2,keyasint"`
	Tokens int         `cbor:"3,keyasint"`
	// Down names the runner if the attempt failed because the runner is down; ""
	// otherwise.
	Down string `cbor:"4,keyasint,omitempty"`
}

// Vacate asks the entry daemon to resume a stream on another runner before its
// runner stops.
type Vacate struct {
	Pool    string      `cbor:"1,keyasint"`
	Request string      `cbor:"2,keyasint"`
	Ticket  pool.Ticket `cbor:"3,keyasint"`
	Runner  string      `cbor:"4,keyasint"`
}

// Adopt registers a running stream with the scheduler that took over its pool.
type Adopt struct {
	Pool    string       `cbor:"1,keyasint"`
	Request pool.Request `cbor:"2,keyasint"`
	Runner  string       `cbor:"3,keyasint"`
	Tokens  int          `cbor:"4,keyasint"`
}

// MessageKind implements peer.Message.
func (*GrantRequest) MessageKind() peer.Kind { return kindGrantRequest }

// MessageKind implements peer.Message.
func (*GrantReply) MessageKind() peer.Kind { return kindGrantReply }

// MessageKind implements peer.Message.
func (*GrantCancel) MessageKind() peer.Kind { return kindGrantCancel }

// MessageKind implements peer.Message.
func (*Progress) MessageKind() peer.Kind { return kindProgress }

// MessageKind implements peer.Message.
func (*Release) MessageKind() peer.Kind { return kindRelease }

// MessageKind implements peer.Message.
func (*Vacate) MessageKind() peer.Kind { return kindVacate }

// MessageKind implements peer.Message.
func (*Adopt) MessageKind() peer.Kind { return kindAdopt }
