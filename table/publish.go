package table

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/record"
)

// ErrNotAnchored reports that nothing can be published, because the reader
// doesn't know the head of the chain.
var ErrNotAnchored = eris.New("the log is trimmed and no checkpoint was read")

// Result is the state or the outcome of a publication.
type Result int

// The results.
const (
	// Publishing means that the chain has not yet decided on all parts.
	Publishing Result = iota
	// Published means that the whole edit is accepted.
	Published
	// Lost means that another record was accepted first, so that the edit can
	// never be accepted.
	Lost
	// Refused means that the edit breaks the rules of the table.
	Refused
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"publishing", "published", "lost", "refused"}[r]
}

// Publisher publishes one edit to the log, one part at a time. It does no I/O:
// the caller appends the envelopes that Next returns, folds the stream and passes
// every decision to Observe.
//
// An append may be lost, delayed or duplicated. The caller may therefore append
// the same envelope again at any time. At most one copy is accepted, because the
// predecessor that all copies name is the head only until then.
type Publisher struct {
	author string
	parts  []EditBody
	index  int
	// prev is the offset of the head that the current part follows, and seen the
	// offset up to which the log was read when it was the head.
	prev, seen int64
	result     Result
	winner     record.Entry
}

// NewPublisher checks an edit against the folded state and returns its
// publisher. base is the version that the operator edited; id must be unique.
// force accepts an edit that leaves no customer with a key. It fails with
// ErrNotAnchored, ErrStaleBase, ErrInvalid or ErrLockout.
func NewPublisher(chain *record.Chain, state *State, edit Edit, base int64, author, id string, force bool) (*Publisher, error) {
	if !chain.Anchored() {
		return nil, ErrNotAnchored
	}
	if base != state.version {
		return nil, eris.Wrapf(ErrStaleBase, "made against %d, current is %d by %s", base, state.version, state.author)
	}
	edit.Set.canonicalize()
	parts := split(edit, id, base, force)
	if len(parts) > maxParts {
		return nil, eris.Wrapf(ErrInvalid, "%d parts exceed %d", len(parts), maxParts)
	}
	result := applyEdit(&state.table, parts)
	if err := result.Validate(); err != nil {
		return nil, err
	}
	if !result.HasKey() && !force {
		return nil, ErrLockout
	}
	return &Publisher{author: author, parts: parts, prev: chain.Head(), seen: chain.Seen()}, nil
}

// Next returns the envelope to append now, or false if the publication has
// ended. It returns the same envelope until Observe gets the decision on it.
func (p *Publisher) Next() (record.Envelope, bool) {
	if p.result != Publishing {
		return record.Envelope{}, false
	}
	return record.Envelope{
		Format:  record.Format,
		ID:      p.id(),
		Kind:    KindEdit,
		Subject: Subject,
		Prev:    p.prev,
		Seen:    p.seen,
		Author:  p.author,
		Body:    record.EncodeBody(p.parts[p.index]),
	}, true
}

// id returns the record ID of the current part.
func (p *Publisher) id() string {
	return fmt.Sprintf("%s/%d", p.parts[p.index].Edit, p.index)
}

// Observe updates the publication by one decision of the chain. The caller must
// pass all decisions since NewPublisher, in order.
func (p *Publisher) Observe(d record.Decision) {
	if p.result != Publishing {
		return
	}
	own := d.Entry.ID == p.id() && d.Entry.Author == p.author
	switch {
	case own && d.Verdict == record.Accepted:
		p.advance(d.Entry)
	case own && d.Verdict == record.Rejected:
		p.result = Refused
	case d.Verdict == record.Accepted && d.Entry.Offset > p.prev:
		p.result = Lost
		p.winner = d.Entry
	}
}

func (p *Publisher) advance(e record.Entry) {
	p.prev, p.seen = e.Offset, e.Offset
	if p.index == len(p.parts)-1 {
		p.result = Published
		return
	}
	p.index++
}

// Result returns the state of the publication.
func (p *Publisher) Result() Result { return p.result }

// Version returns the version that the edit created; valid once published.
func (p *Publisher) Version() int64 { return p.prev }

// Winner returns the record that was accepted instead of the edit; valid once the
// result is Lost.
func (p *Publisher) Winner() record.Entry { return p.winner }

// AnchorRequest returns the record that asks all anchored daemons for a
// checkpoint. A restart of the chain begins with it.
func AnchorRequest(author, id string) record.Envelope {
	return restartEnvelope(author, id, record.KindAnchorRequest, nil)
}

// Genesis returns the record that restarts the chain with an empty table. It is
// accepted only if the anchor request at offset request is unanswered. atMs is
// the Unix time in milliseconds.
func Genesis(author, id string, request, atMs int64) record.Envelope {
	body := record.EncodeBody(record.GenesisBody{Request: request, AtMs: atMs})
	return restartEnvelope(author, id, record.KindGenesis, body)
}

// restartEnvelope returns an envelope without a predecessor and with no offset as
// seen, because its author isn't anchored.
func restartEnvelope(author, id string, kind record.Kind, body []byte) record.Envelope {
	return record.Envelope{
		Format: record.Format, ID: id, Kind: kind, Subject: Subject,
		Prev: record.NoOffset, Seen: record.NoOffset, Author: author, Body: body,
	}
}
