package edge

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/quarantine"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// The kinds of messages between edge daemons, in addition to those of package
// schedule.
const (
	kindHeartbeat     peer.Kind = 32
	kindPull          peer.Kind = 33
	kindPush          peer.Kind = 34
	kindCounts        peer.Kind = 35
	kindRolesChanging peer.Kind = 36
	kindCrashReport   peer.Kind = 37
	kindServedInquiry peer.Kind = 38
	kindPartsServed   peer.Kind = 39
	kindQuarantined   peer.Kind = 40
	kindServerLimit   peer.Kind = 41
	kindFeedNotice    peer.Kind = 42
	kindSliceRequest  peer.Kind = 43
	kindSlice         peer.Kind = 44
	kindWorkReport    peer.Kind = 46
	kindPoolDemand    peer.Kind = 45
	kindRelayRequest  peer.Kind = 47
	kindRelayReply    peer.Kind = 48
	kindStreamCopies  peer.Kind = 49
	kindClosedInquiry peer.Kind = 50
	kindClosedWindows peer.Kind = 51
	kindEngineDown    peer.Kind = 52
)

// Heartbeat is sent to each peer every heartbeat interval.
type Heartbeat struct {
	// Incarnation identifies the sender's process.
	Incarnation string          `cbor:"1,keyasint"`
	Rumours     []member.Rumour `cbor:"2,keyasint,omitempty"`
	// Feeds holds the states of the sender's replicas, in the order of feedID.
	Feeds []FeedState `cbor:"3,keyasint"`
	// Stopping is set once the sender has begun a planned stop.
	Stopping bool `cbor:"5,keyasint,omitempty"`
	// Wall is the sender's wall clock in Unix milliseconds.
	Wall int64 `cbor:"6,keyasint"`
	// Lease is the sender's observation of the lease.
	Lease *leaseObservation `cbor:"7,keyasint,omitempty"`
	// Relay says whether the sender opens connections to servers for others.
	Relay RelayState `cbor:"8,keyasint,omitempty"`
}

// UsageCounts carries the usage counts of one process, which need not be the
// sender.
type UsageCounts struct {
	Incarnation string                              `cbor:"1,keyasint"`
	Windows     map[metering.Window]metering.Counts `cbor:"2,keyasint"`
	// Closed holds windows that the sender has closed and stored as lease holder.
	Closed []metering.Closed `cbor:"3,keyasint,omitempty"`
}

// RolesChanging announces the engines that are about to change their role, so
// that they get no requests in the meantime.
type RolesChanging struct {
	Engines []ChangingEngine `cbor:"1,keyasint"`
}

// ChangingEngine is an engine that changes its role. Born is the engine's
// registry.Server.StartedMs, and Role is the new role.
type ChangingEngine struct {
	ID   string       `cbor:"1,keyasint"`
	Born int64        `cbor:"2,keyasint"`
	Role backend.Role `cbor:"3,keyasint"`
}

// MessageKind implements peer.Message.
func (*RolesChanging) MessageKind() peer.Kind { return kindRolesChanging }

// MessageKind implements peer.Message.
func (*UsageCounts) MessageKind() peer.Kind { return kindCounts }

// CrashReport tells a collector that a server has ended while it had requests of
// the sender.
type CrashReport struct {
	// Server identifies one run of the server's process.
	Server   string               `cbor:"1,keyasint"`
	Suspects []quarantine.Suspect `cbor:"2,keyasint"`
	// Age is the time since the server ended.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// ServedInquiry asks when the receiver last served requests with parts of prompts.
type ServedInquiry struct {
	Parts []string `cbor:"1,keyasint"`
}

// PartsServed answers a ServedInquiry.
type PartsServed struct {
	// Ages holds the time since each part was last served, without the parts that
	// were not served lately.
	Ages map[string]time.Duration `cbor:"1,keyasint"`
}

// Quarantined announces that a part of prompts crashes servers.
type Quarantined struct {
	Part  string           `cbor:"1,keyasint"`
	Entry quarantine.Entry `cbor:"2,keyasint"`
}

// MessageKind implements peer.Message.
func (*CrashReport) MessageKind() peer.Kind { return kindCrashReport }

// MessageKind implements peer.Message.
func (*ServedInquiry) MessageKind() peer.Kind { return kindServedInquiry }

// MessageKind implements peer.Message.
func (*PartsServed) MessageKind() peer.Kind { return kindPartsServed }

// MessageKind implements peer.Message.
func (*Quarantined) MessageKind() peer.Kind { return kindQuarantined }

// ServerLimit tells the scheduler of an engine, or the other users of a plain
// server, how many requests the server takes.
type ServerLimit struct {
	// Pool is empty for a plain server.
	Pool   string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Limit is the number of requests per second from all daemons together.
	Limit float64 `cbor:"3,keyasint"`
	// Limited is false if the server no longer names a limit.
	Limited bool `cbor:"4,keyasint,omitempty"`
}

// MessageKind implements peer.Message.
func (*ServerLimit) MessageKind() peer.Kind { return kindServerLimit }

// FeedNotice is sent by a reader of a topic to all daemons.
type FeedNotice struct {
	Feed  int       `cbor:"1,keyasint"`
	State FeedState `cbor:"2,keyasint"`
}

// MessageKind implements peer.Message.
func (*FeedNotice) MessageKind() peer.Kind { return kindFeedNotice }

// Pull asks a peer for the records that the sender lacks.
type Pull struct {
	// Ends holds for each feed the offset from which on the sender lacks records.
	Ends []int64 `cbor:"1,keyasint"`
	// Removals holds for each feed the offset from which on the sender lacks removals.
	Removals []int64 `cbor:"2,keyasint"`
}

// Push is the answer to a Pull. It carries records as they are in the store.
type Push struct {
	Feeds []FeedRecords `cbor:"1,keyasint"`
}

// MessageKind implements peer.Message.
func (*Heartbeat) MessageKind() peer.Kind { return kindHeartbeat }

// MessageKind implements peer.Message.
func (*Pull) MessageKind() peer.Kind { return kindPull }

// MessageKind implements peer.Message.
func (*Push) MessageKind() peer.Kind { return kindPush }

// newMessage returns an empty message of a kind, or nil for an unknown one.
func newMessage(kind peer.Kind) peer.Message {
	switch kind {
	case kindHeartbeat:
		return &Heartbeat{}
	case kindPull:
		return &Pull{}
	case kindPush:
		return &Push{}
	case kindFeedNotice:
		return &FeedNotice{}
	case kindPoolDemand:
		return &PoolDemand{}
	case kindRolesChanging:
		return &RolesChanging{}
	case kindCounts:
		return &UsageCounts{}
	case kindClosedInquiry:
		return &ClosedInquiry{}
	case kindClosedWindows:
		return &ClosedWindows{}
	case kindEngineDown:
		return &EngineDown{}
	case kindCrashReport:
		return &CrashReport{}
	case kindServedInquiry:
		return &ServedInquiry{}
	case kindPartsServed:
		return &PartsServed{}
	case kindServerLimit:
		return &ServerLimit{}
	case kindQuarantined:
		return &Quarantined{}
	case kindSliceRequest:
		return &SliceRequest{}
	case kindSlice:
		return &Slice{}
	case kindWorkReport:
		return &WorkReport{}
	case kindStreamCopies:
		return &StreamCopies{}
	}
	return schedule.NewMessage(kind)
}

// peerMessage is a message from a peer, or from this daemon to itself.
type peerMessage struct {
	from    string
	message peer.Message
	at      time.Time
}
