package lease

import (
	"slices"

	"github.com/mimosakeel/mimosakeel/record"
)

// The kinds of lease records.
const (
	// KindClaim starts a new term, whose number is the record's offset.
	KindClaim record.Kind = "claim"
	// KindRenew extends the holder's authority.
	KindRenew record.Kind = "renew"
	// KindRelease ends a term after all writes of its holder have ended.
	KindRelease record.Kind = "release"
	// KindResign states that no write of an old term can take effect any more.
	KindResign record.Kind = "resign"
)

// Body is the body of a lease record. Claims set VM, resignations set Term and VM,
// and the other kinds set Term.
type Body struct {
	Term int64  `cbor:"1,keyasint,omitempty"`
	VM   string `cbor:"2,keyasint,omitempty"`
}

// Tenure is one lease term of one process.
type Tenure struct {
	// Term is the offset of the accepted claim. It is the fencing token.
	Term int64 `cbor:"1,keyasint"`
	// Holder is the incarnation of the process that holds the lease.
	Holder string `cbor:"2,keyasint"`
	// VM is the holder's entry VM, which runs at most one process of the system
	// at a time.
	VM string `cbor:"3,keyasint"`
}

// State is the lease as of one offset. It is part of the state of a subject. All
// daemons that folded the same records have equal States.
type State struct {
	// Current is the last accepted claim; its Term is NoOffset if there is none.
	Current  Tenure `cbor:"1,keyasint"`
	Released bool   `cbor:"2,keyasint"`
	// Unresolved holds the terms that ended without a release and whose writes may
	// still reach targets that do not check fencing tokens.
	Unresolved []Tenure `cbor:"3,keyasint"`
	// Genesis is the offset of the genesis record that reset the state, or
	// NoOffset.
	Genesis int64 `cbor:"4,keyasint"`
}

// NewState returns the state of a lease that no process has held.
func NewState() State {
	return State{Current: Tenure{Term: record.NoOffset}, Genesis: record.NoOffset}
}

// Reset empties the state after a genesis record.
func (s *State) Reset(e record.Entry) {
	*s = NewState()
	s.Genesis = e.Offset
}

// Held reports whether there is a current term that was not released. It does
// not consider time: the holder's authority may have ended.
func (s *State) Held() bool {
	return s.Current.Term != record.NoOffset && !s.Released
}

// HeldBy reports whether the author holds the lease in this term.
func (s *State) HeldBy(author string, term int64) bool {
	return s.Held() && s.Current.Holder == author && s.Current.Term == term
}

// IsLeaseKind reports whether Apply handles records of this kind.
func IsLeaseKind(kind record.Kind) bool {
	switch kind {
	case KindClaim, KindRenew, KindRelease, KindResign:
		return true
	}
	return false
}

// Apply applies a lease record whose predecessor is the subject's head. It returns
// false, and changes nothing, if the record is not allowed.
func (s *State) Apply(e record.Entry) bool {
	var body Body
	if record.DecodeBody(e.Body, &body) != nil {
		return false
	}
	switch e.Kind {
	case KindClaim:
		return s.claim(e, body)
	case KindRenew:
		return s.HeldBy(e.Author, body.Term)
	case KindRelease:
		return s.release(e, body)
	case KindResign:
		return s.resign(e, body)
	}
	return false
}

func (s *State) claim(e record.Entry, body Body) bool {
	if body.VM == "" || (s.Held() && s.Current.Holder == e.Author) {
		return false
	}
	if s.Held() {
		s.Unresolved = append(s.Unresolved, s.Current)
	}
	// A claim of the next incarnation proves that the earlier process of the same
	// VM has ended.
	s.Unresolved = slices.DeleteFunc(s.Unresolved, func(t Tenure) bool {
		return t.VM == body.VM && t.Holder != e.Author
	})
	s.Current = Tenure{Term: e.Offset, Holder: e.Author, VM: body.VM}
	s.Released = false
	return true
}

func (s *State) release(e record.Entry, body Body) bool {
	if !s.HeldBy(e.Author, body.Term) {
		return false
	}
	s.Released = true
	return true
}

// resign removes an unresolved term. The author must be the old holder, a later
// incarnation on its VM, or the current holder, which resigns the term when the
// VM has left the VM list.
func (s *State) resign(e record.Entry, body Body) bool {
	i := slices.IndexFunc(s.Unresolved, func(t Tenure) bool { return t.Term == body.Term })
	if i < 0 {
		return false
	}
	t := s.Unresolved[i]
	allowed := t.Holder == e.Author || t.VM == body.VM || s.HeldBy(e.Author, s.Current.Term)
	if !allowed {
		return false
	}
	s.Unresolved = slices.Delete(slices.Clone(s.Unresolved), i, i+1)
	return true
}

// UncheckedWritesBlocked reports whether a process other than the holder of the
// current term may still write to targets that do not check fencing tokens.
func (s *State) UncheckedWritesBlocked() bool {
	return len(s.Unresolved) > 0
}
