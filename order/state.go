package order

import (
	"fmt"

	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// The kinds of order records: KindOpen opens intents, KindClose closes them with
// their results.
const (
	KindOpen  record.Kind = "open"
	KindClose record.Kind = "close"
)

// TargetKind is the kind of a target.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine TargetKind = "engine"
	// TargetPlatform is the platform's interface for server orders.
	TargetPlatform TargetKind = "platform"
)

// Command is the content of an order. Engine commands set Name, Role and the
// model fields. Platform commands set the server counts.
type Command struct {
	Name     string `cbor:"1,keyasint,omitempty"`
	Role     string `cbor:"2,keyasint,omitempty"`
	Model    string `cbor:"3,keyasint,omitempty"`
	Version  string `cbor:"4,keyasint,omitempty"`
	Adapter  string `cbor:"5,keyasint,omitempty"`
	OnDemand int    `cbor:"6,keyasint,omitempty"`
	Cheap    int    `cbor:"7,keyasint,omitempty"`
}

// IntentID identifies an intent by the offset of its record and its index in the
// record. Its text is the idempotency key of the order.
type IntentID struct {
	Offset int64 `cbor:"1,keyasint"`
	Index  int   `cbor:"2,keyasint"`
}

// String returns the idempotency key.
func (id IntentID) String() string { return fmt.Sprintf("%d.%d", id.Offset, id.Index) }

// NewIntent is an intent in an open record.
type NewIntent struct {
	Target  string     `cbor:"1,keyasint"`
	Kind    TargetKind `cbor:"2,keyasint"`
	Command Command    `cbor:"3,keyasint"`
}

// Intent is an open intent.
type Intent struct {
	ID IntentID `cbor:"1,keyasint"`
	// Term is the term in which the intent was opened.
	Term      int64 `cbor:"2,keyasint"`
	NewIntent `cbor:"3,keyasint"`
}

// OpenBody is the body of an open record.
type OpenBody struct {
	Term    int64       `cbor:"1,keyasint"`
	Intents []NewIntent `cbor:"2,keyasint"`
}

// Result is the final outcome of an intent.
type Result string

// The results of an intent.
const (
	ResultDone    Result = "done"
	ResultRefused Result = "refused"
	// ResultCancelled closes an intent whose target is gone.
	ResultCancelled Result = "cancelled"
)

// IntentResult is the result of one intent.
type IntentResult struct {
	Intent IntentID `cbor:"1,keyasint"`
	Target string   `cbor:"2,keyasint"`
	Result Result   `cbor:"3,keyasint"`
}

// CloseBody is the body of a close record.
type CloseBody struct {
	Term    int64          `cbor:"1,keyasint"`
	Results []IntentResult `cbor:"2,keyasint"`
}

// State is the lease and the open intents of one failure domain.
//
// Invariant: there is at most one open intent per target.
type State struct {
	Lease lease.State `cbor:"1,keyasint"`
	// Open maps a target to its open intent.
	Open map[string]Intent `cbor:"2,keyasint"`
	// Last is the last command done by each platform target. A new holder repeats
	// it to raise the fencing token there, because the platform's interface has no
	// fence order.
	Last map[string]Command `cbor:"3,keyasint"`
}

// NewState returns the empty state.
func NewState() *State {
	return &State{Lease: lease.NewState(), Open: map[string]Intent{}, Last: map[string]Command{}}
}

// Apply implements record.State.
func (s *State) Apply(e record.Entry) bool {
	switch {
	case lease.IsLeaseKind(e.Kind):
		return s.Lease.Apply(e)
	case e.Kind == KindOpen:
		return s.open(e)
	case e.Kind == KindClose:
		return s.close(e)
	}
	return false
}

func (s *State) open(e record.Entry) bool {
	var body OpenBody
	if record.DecodeBody(e.Body, &body) != nil || len(body.Intents) == 0 {
		return false
	}
	if !s.Lease.HeldBy(e.Author, body.Term) {
		return false
	}
	targets := map[string]bool{}
	for _, i := range body.Intents {
		if _, open := s.Open[i.Target]; open || targets[i.Target] || i.Target == "" {
			return false
		}
		targets[i.Target] = true
	}
	for index, i := range body.Intents {
		id := IntentID{Offset: e.Offset, Index: index}
		s.Open[i.Target] = Intent{ID: id, Term: body.Term, NewIntent: i}
	}
	return true
}

func (s *State) close(e record.Entry) bool {
	var body CloseBody
	if record.DecodeBody(e.Body, &body) != nil || len(body.Results) == 0 {
		return false
	}
	if !s.Lease.HeldBy(e.Author, body.Term) {
		return false
	}
	targets := map[string]bool{}
	for _, r := range body.Results {
		intent, open := s.Open[r.Target]
		if !open || intent.ID != r.Intent || targets[r.Target] {
			return false
		}
		targets[r.Target] = true
	}
	for _, r := range body.Results {
		intent := s.Open[r.Target]
		delete(s.Open, r.Target)
		if intent.Kind == TargetPlatform && r.Result == ResultDone {
			s.Last[r.Target] = intent.Command
		}
	}
	return true
}

// Snapshot implements record.State.
func (s *State) Snapshot() []byte { return record.EncodeBody(*s) }

// Restore implements record.State.
func (s *State) Restore(snapshot []byte) error {
	restored := *NewState()
	if err := record.DecodeBody(snapshot, &restored); err != nil {
		return err
	}
	*s = restored
	return nil
}

// Reset implements record.State.
func (s *State) Reset(e record.Entry) {
	*s = *NewState()
	s.Lease.Reset(e)
}
