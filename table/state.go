package table

import (
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/record"
)

// Reasons why a record that names the head as its predecessor is refused.
var (
	ErrUnknownKind = eris.New("record of an unknown kind")
	ErrStaleBase   = eris.New("edit was made against another version")
	ErrPartOrder   = eris.New("part doesn't continue the unfinished edit")
)

// State is the table folded from the accepted records of the chain Subject. It
// implements record.State.
//
// Invariants: the table is valid; version only grows along one chain; pending
// holds the parts 0..n-1 of one edit by one author, made against version.
type State struct {
	version int64
	author  string
	table   Table
	pending []EditBody
	// pendingAuthor is the author of the pending parts.
	pendingAuthor string
	// restarted is true from a genesis until the first whole edit after it.
	restarted bool
	snapshot  *Snapshot
}

var _ record.State = (*State)(nil)

// NewState returns the state before the first edit.
func NewState() *State {
	s := &State{version: record.NoOffset}
	s.snapshot = NewSnapshot(s.version, "", Table{})
	return s
}

// Version returns the offset of the last whole edit or of a later genesis.
func (s *State) Version() int64 { return s.version }

// Author returns the author of the record at Version.
func (s *State) Author() string { return s.author }

// Table returns the current rows. The caller must not modify them.
func (s *State) Table() *Table { return &s.table }

// InForce returns the snapshot to serve from, or nil between a genesis and the
// first whole edit after it. A genesis carries no configuration, so the daemon
// keeps serving the version that it has.
func (s *State) InForce() *Snapshot {
	if s.restarted {
		return nil
	}
	return s.snapshot
}

// Apply implements record.State. The table changes only with the last part.
func (s *State) Apply(e record.Entry) bool {
	body, err := s.checkRecord(e)
	if err != nil {
		return false
	}
	if body.Part == 0 {
		s.pending = nil
	}
	s.pending = append(s.pending, body)
	s.pendingAuthor = e.Author
	if body.Part == body.Parts-1 {
		s.commitEdit(e)
	}
	return true
}

// Refusal returns the reason why Apply would refuse an entry, or nil. It doesn't
// change the state.
func (s *State) Refusal(e record.Entry) error {
	_, err := s.checkRecord(e)
	return err
}

func (s *State) checkRecord(e record.Entry) (EditBody, error) {
	if e.Kind != KindEdit {
		return EditBody{}, eris.Wrapf(ErrUnknownKind, "kind %q", e.Kind)
	}
	body, err := DecodeEdit(e.Body)
	if err != nil {
		return EditBody{}, err
	}
	if body.Base != s.version {
		return EditBody{}, eris.Wrapf(ErrStaleBase, "made against %d, current is %d", body.Base, s.version)
	}
	if body.Part > 0 && !s.continues(body, e.Author) {
		return EditBody{}, eris.Wrapf(ErrPartOrder, "part %d of edit %s", body.Part, body.Edit)
	}
	if body.Part == body.Parts-1 {
		return body, s.checkResult(body)
	}
	return body, nil
}

// continues reports whether a part is the next one of the pending edit.
func (s *State) continues(body EditBody, author string) bool {
	if len(s.pending) != body.Part || s.pendingAuthor != author {
		return false
	}
	first := s.pending[0]
	return first.Edit == body.Edit && first.Parts == body.Parts && first.Force == body.Force
}

// checkResult validates the table that would result from the last part.
func (s *State) checkResult(last EditBody) error {
	result := applyEdit(&s.table, s.withPending(last))
	if err := result.Validate(); err != nil {
		return err
	}
	if !result.HasKey() && !last.Force {
		return ErrLockout
	}
	return nil
}

// withPending returns all parts of the edit whose last part is last.
func (s *State) withPending(last EditBody) []EditBody {
	if last.Part == 0 {
		return []EditBody{last}
	}
	return append(s.pending[:len(s.pending):len(s.pending)], last)
}

func (s *State) commitEdit(e record.Entry) {
	s.table = applyEdit(&s.table, s.pending)
	s.version = e.Offset
	s.author = e.Author
	s.pending, s.pendingAuthor = nil, ""
	s.restarted = false
	s.snapshot = NewSnapshot(s.version, s.author, s.table)
}

// savedState is the encoded form of a State.
type savedState struct {
	Version       int64      `cbor:"1,keyasint"`
	Author        string     `cbor:"2,keyasint"`
	Table         Table      `cbor:"3,keyasint"`
	Pending       []EditBody `cbor:"4,keyasint,omitempty"`
	PendingAuthor string     `cbor:"5,keyasint,omitempty"`
	Restarted     bool       `cbor:"6,keyasint,omitempty"`
}

// Snapshot implements record.State.
func (s *State) Snapshot() []byte {
	return record.EncodeBody(savedState{s.version, s.author, s.table, s.pending, s.pendingAuthor, s.restarted})
}

// Restore implements record.State. It fails with record.ErrMalformed or
// ErrInvalid.
func (s *State) Restore(snapshot []byte) error {
	var saved savedState
	if err := record.DecodeBody(snapshot, &saved); err != nil {
		return err
	}
	if saved.Version < record.NoOffset {
		return eris.Wrapf(record.ErrMalformed, "invalid version %d", saved.Version)
	}
	saved.Table.canonicalize()
	if err := saved.Table.Validate(); err != nil {
		return err
	}
	for i, part := range saved.Pending {
		if part.Part != i || part.Parts <= i+1 || part.Base != saved.Version {
			return eris.Wrapf(record.ErrMalformed, "unfinished part %d of %d at position %d", part.Part, part.Parts, i)
		}
	}
	*s = State{
		version: saved.Version, author: saved.Author, table: saved.Table,
		pending: saved.Pending, pendingAuthor: saved.PendingAuthor, restarted: saved.Restarted,
	}
	s.snapshot = NewSnapshot(s.version, s.author, s.table)
	return nil
}

// Reset implements record.State. The next edit starts from an empty table.
func (s *State) Reset(e record.Entry) {
	*s = State{version: e.Offset, author: e.Author, restarted: true}
	s.snapshot = NewSnapshot(s.version, s.author, Table{})
}
