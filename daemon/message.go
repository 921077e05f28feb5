package daemon

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/freshness"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// The kinds of messages between daemons, in addition to those of package
// schedule. Kind 0 is reserved for the transport.
const (
	kindHeartbeat      peer.Kind = 1
	kindReadRequest    peer.Kind = 8
	kindReadReply      peer.Kind = 9
	kindSliceRequest   peer.Kind = 10
	kindSliceReply     peer.Kind = 11
	kindUsageCopy      peer.Kind = 12
	kindUsageConfirmed peer.Kind = 13
	kindAck            peer.Kind = 14
)

// EngineInfo is the information about an engine that the daemon that probes it
// sends to the others.
type EngineInfo struct {
	Engine   string       `cbor:"1,keyasint"`
	Model    string       `cbor:"2,keyasint"`
	Role     backend.Role `cbor:"3,keyasint"`
	KVTotal  int          `cbor:"4,keyasint"`
	Changing bool         `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is sent to each peer every heartbeat interval.
type Heartbeat struct {
	Incarnation string `cbor:"1,keyasint"`
	// Seq is the number of the sender's round of heartbeats. Echo is the Seq of
	// the last heartbeat that the sender received from the receiver.
	Seq           uint64                 `cbor:"2,keyasint"`
	ConfigVersion int64                  `cbor:"3,keyasint"`
	Rumours       []member.Rumour        `cbor:"4,keyasint,omitempty"`
	Engines       []EngineInfo           `cbor:"5,keyasint,omitempty"`
	Pools         []schedule.PoolSummary `cbor:"6,keyasint,omitempty"`
	// Clock is the hybrid logical time of the sender, which orders the timelines
	// of all processes.
	Clock     hlc.Timestamp          `cbor:"7,keyasint"`
	Echo      uint64                 `cbor:"8,keyasint,omitempty"`
	Statement freshness.Statement    `cbor:"9,keyasint"`
	Demand    []schedule.ModelDemand `cbor:"10,keyasint,omitempty"`
	// Stopped is true if the sender's process ends now and all its claim outcomes
	// and usage are in the log.
	Stopped bool `cbor:"11,keyasint,omitempty"`
}

// ReadRequest asks a peer to read the log for a daemon that can't reach it.
type ReadRequest struct {
	Stream string        `cbor:"1,keyasint"`
	From   int64         `cbor:"2,keyasint"`
	Limit  int           `cbor:"3,keyasint"`
	Wait   time.Duration `cbor:"4,keyasint"`
}

// ReadReply holds the page that the peer read, or the first remaining offset if
// the position is trimmed.
type ReadReply struct {
	Trimmed bool         `cbor:"1,keyasint,omitempty"`
	Page    hosting.Page `cbor:"2,keyasint"`
}

// Ack is the reply to calls that have no other reply.
type Ack struct{}

// MessageKind implements peer.Message.
func (*Heartbeat) MessageKind() peer.Kind { return kindHeartbeat }

// MessageKind implements peer.Message.
func (*ReadRequest) MessageKind() peer.Kind { return kindReadRequest }

// MessageKind implements peer.Message.
func (*ReadReply) MessageKind() peer.Kind { return kindReadReply }

// MessageKind implements peer.Message.
func (*Ack) MessageKind() peer.Kind { return kindAck }
