package record

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// ErrGap reports that records between the last folded offset and a page are
// missing, usually because the log was trimmed. The reader must restart with a
// new Stream at the first readable offset.
var ErrGap = eris.New("offsets are missing before the page")

// Stream folds one log stream into one Chain per subject.
//
//	s := record.NewStream(page.First, newState)
//	for {
//		decisions, err := s.Apply(page) // pages in offset order
//		...
//	}
type Stream struct {
	first     int64
	next      int64
	newState  func(subject string) State
	chains    map[string]*Chain
	chainList []*Chain
	stopErr   error
	// Malformed counts the records that could not be decoded.
	Malformed int64
}

// NewStream returns a Stream that starts at the first readable offset. newState
// returns the empty state of a subject, or nil for subjects to ignore.
func NewStream(first int64, newState func(subject string) State) *Stream {
	return &Stream{first: first, next: first, newState: newState, chains: map[string]*Chain{}}
}

// Next returns the offset of the next record to read.
func (s *Stream) Next() int64 { return s.next }

// Chain returns the chain of a subject, or nil for an ignored subject.
func (s *Stream) Chain(subject string) *Chain {
	if c, ok := s.chains[subject]; ok {
		return c
	}
	state := s.newState(subject)
	if state == nil {
		return nil
	}
	c := NewChain(subject, state, s.first)
	c.Advance(s.next)
	s.chains[subject] = c
	s.chainList = append(s.chainList, c)
	return c
}

// Apply folds a page and returns the decisions in order. Its error wraps ErrGap
// if records are missing. Once a record of a newer format was read, every call
// fails with an error that wraps ErrNewerFormat, and the state stays as it was
// before that record.
func (s *Stream) Apply(page hosting.Page) ([]Decision, error) {
	var decisions []Decision
	for _, r := range page.Records {
		if s.stopErr != nil {
			return decisions, s.stopErr
		}
		if r.Offset < s.next {
			continue
		}
		if r.Offset > s.next {
			return decisions, eris.Wrapf(ErrGap, "have %d, page starts at %d", s.next, r.Offset)
		}
		decided, err := s.applyRecord(r)
		if err != nil {
			s.stopErr = err
			return decisions, err
		}
		decisions = append(decisions, decided...)
	}
	return decisions, s.stopErr
}

func (s *Stream) applyRecord(r hosting.Record) ([]Decision, error) {
	envelope, err := Decode(r.Data)
	if errors.Is(err, ErrNewerFormat) {
		return nil, err
	}
	if err != nil {
		s.next = r.Offset + 1
		s.Malformed++
		s.advance()
		return nil, nil
	}
	// A new chain counts all offsets below s.next as read, so the chain must be
	// created before s.next moves past its first record.
	c := s.Chain(envelope.Subject)
	s.next = r.Offset + 1
	var decisions []Decision
	if c != nil {
		decisions = c.Apply(Entry{Offset: r.Offset, Envelope: envelope})
	}
	s.advance()
	return decisions, nil
}

func (s *Stream) advance() {
	for _, c := range s.chainList {
		c.Advance(s.next)
	}
}
