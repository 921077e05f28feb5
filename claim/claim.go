// Package claim makes a request with an idempotency key run at most once.
//
// Each shard is a log stream. A record holds a batch of claims and outcomes of one
// daemon. All daemons fold a stream in offset order. The first claim of a key that
// was not released holds the key. Only the owner of that claim runs the request,
// and only after it has read the claim back. The records need no predecessor chain,
// because the order of the log alone decides which claim is first.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosakeel/mimosakeel/record"
)

// Shards is the number of claim streams.
const Shards = 4

// KindBatch is the kind of all records of a claim stream. Claims and outcomes
// share a record: with separate records, a claim had to wait for the append of the
// outcomes and for another Config.Spacing, 1.3 s in total.
const KindBatch record.Kind = "batch"

// Stream returns the name of a shard's log stream, which is the subject of its
// records as well.
func Stream(shard int) string { return fmt.Sprintf("claims-%d", shard) }

// Key identifies a request by its customer and its idempotency key.
type Key struct {
	// Customer is empty for open routes.
	Customer string
	// Hash is the SHA-256 of the idempotency key.
	Hash [32]byte
}

// Shard returns the key's shard.
func (k Key) Shard() int {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.Customer)
	_, _ = digest.Write(k.Hash[:])
	return int(digest.Sum64() % Shards)
}

// Request identifies a request that asks whether it may run.
type Request struct {
	Key
	// BodyHash is the SHA-256 of the request's method, path, query and body.
	BodyHash [32]byte
}

// Outcome is the result of a claimed request.
type Outcome struct {
	// NotRun releases the key: the request certainly had no effect.
	NotRun bool `cbor:"1,keyasint,omitempty"`
	// Unknown means that the request may have run and that its response is lost.
	Unknown bool `cbor:"7,keyasint,omitempty"`
	// Status and Header are those of the response.
	Status int               `cbor:"2,keyasint,omitempty"`
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	// Body is the response body, or nil if it is larger than MaxBody or if too many
	// outcomes wait for the log. Digest and Size describe it even then.
	Body   []byte   `cbor:"4,keyasint,omitempty"`
	Digest [32]byte `cbor:"5,keyasint"`
	Size   int64    `cbor:"6,keyasint,omitempty"`
}

// MaxBody is the maximum size in bytes of a body that an outcome keeps.
const MaxBody = 64 << 10

// State is the decision about a request.
type State int

// The decisions.
const (
	// Granted means that the caller must run the request and then report its
	// outcome.
	Granted State = iota
	// Replay means that the request has already run; Decision.Outcome holds its
	// outcome.
	Replay
	// Mismatch means that the key belongs to a different request.
	Mismatch
	// Unknown means that the request may have run and that it will not be run
	// again.
	Unknown
	// Refused means that this request was not run and will not be run.
	Refused
)

// String returns the state's name as logged.
func (s State) String() string {
	return [...]string{"granted", "replay", "mismatch", "unknown", "refused"}[s]
}

// Decision answers a Request.
type Decision struct {
	State State
	// Token identifies the claim of a Granted request.
	Token string
	// Outcome is set for Replay.
	Outcome Outcome
}

// claimBody is one claim in a record.
type claimBody struct {
	ID       string   `cbor:"1,keyasint"`
	Customer string   `cbor:"2,keyasint"`
	KeyHash  [32]byte `cbor:"3,keyasint"`
	BodyHash [32]byte `cbor:"4,keyasint"`
	// Owner is the incarnation that runs the request; it is the record's author.
	Owner string `cbor:"5,keyasint"`
}

// outcomeBody is one outcome in a record. It repeats the claim for readers that
// start after the claim itself was trimmed.
type outcomeBody struct {
	Claim   claimBody `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
}

// batchBody is the body of a record. Outcomes are applied first, because they may
// release a key that a claim of the same record takes.
type batchBody struct {
	Outcomes []outcomeBody `cbor:"1,keyasint,omitempty"`
	Claims   []claimBody   `cbor:"2,keyasint,omitempty"`
}

func (c *claimBody) key() Key { return Key{Customer: c.Customer, Hash: c.KeyHash} }

// Event is an input of a Machine.
type Event interface{ isEvent() }

// The events.
type (
	// Asked asks for a decision. Ticket is unique per machine.
	Asked struct {
		Ticket   uint64
		Request  Request
		Deadline time.Time
	}
	// Cancelled reports that the caller no longer waits for the decision.
	Cancelled struct{ Ticket uint64 }
	// Finished reports the outcome of a granted request.
	Finished struct {
		Token   string
		Outcome Outcome
	}
	// RecordRead carries one record of the log. Records must come in offset order.
	// Data may be malformed.
	RecordRead struct {
		Offset int64
		Data   []byte
	}
	// Trimmed reports that the log keeps no offset below First. It is passed with
	// every page that was read. If First is above the next offset to fold, this
	// reader has missed the records in between.
	Trimmed struct{ First int64 }
	// AppendEnded is the result of an Append.
	AppendEnded struct {
		ID     string
		Result AppendResult
	}
	// LogState reports whether the log is reachable.
	LogState struct{ Up bool }
	// OwnerGone reports that an incarnation has ended or is unreachable.
	OwnerGone struct{ Owner string }
	// Tick makes the machine check its deadlines.
	Tick struct{}
)

func (Asked) isEvent()       {}
func (Cancelled) isEvent()   {}
func (Finished) isEvent()    {}
func (RecordRead) isEvent()  {}
func (Trimmed) isEvent()     {}
func (AppendEnded) isEvent() {}
func (LogState) isEvent()    {}
func (OwnerGone) isEvent()   {}
func (Tick) isEvent()        {}

// AppendResult is the result of an append.
type AppendResult int

// The results of an append.
const (
	// AppendUnknown means that the record may be in the log, now or later.
	AppendUnknown AppendResult = iota
	// AppendDone means that the record is in the log.
	AppendDone
	// AppendRefused means that the record is not and will not be in the log.
	AppendRefused
)

// Action is an output of a Machine.
type Action interface{ isAction() }

// The actions.
type (
	// Append writes a record to the shard's stream. A machine has at most one
	// append in progress.
	Append struct {
		ID   string
		Data []byte
	}
	// Decide is the decision for an Asked. It is returned exactly once per ticket,
	// unless the ticket is Cancelled first.
	Decide struct {
		Ticket   uint64
		Decision Decision
	}
)

func (Append) isAction() {}
func (Decide) isAction() {}
