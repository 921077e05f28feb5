// Package record defines the records that the daemons write to the platform's
// log, and the chains that give each subject one agreed history.
//
// A chain is a compare-and-set register on an append-only log: a record names
// the accepted head that its author knew, and every reader accepts it only if
// that is still the head. All readers fold a stream in offset order, so they
// all accept the same one of several concurrent records.
//
// A chain is anchored once it knows its head and state. A reader that starts
// after the log was trimmed is anchored by a checkpoint, which it requests with
// an anchor request, or by a genesis record if no checkpoint is available.
package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// Format is the version of the fold rules that this code implements.
	Format uint8 = 1
	// NoOffset is the predecessor of the first record of a chain.
	NoOffset = hosting.NoOffset
	// MaxRecordBytes is the maximum size of an encoded record.
	MaxRecordBytes = 1 << 20
)

// Kind is the type of a record.
type Kind string

// The kinds that a Chain handles itself. All other kinds belong to the subject.
const (
	// KindCheckpoint carries a subject's full state as of Seen. It never moves
	// the head, so that it cannot make a concurrent edit stale.
	KindCheckpoint Kind = "checkpoint"
	// KindAnchorRequest asks the anchored daemons for a checkpoint.
	KindAnchorRequest Kind = "anchor_request"
	// KindGenesis restarts a chain whose history is lost, with an empty state.
	// It names the anchor request that was not answered.
	KindGenesis Kind = "genesis"
)

// Errors that Decode returns, wrapped. DecodeBody returns only ErrMalformed.
var (
	ErrMalformed   = eris.New("malformed record")
	ErrNewerFormat = eris.New("record format is newer than this program")
)

// Envelope is the common part of all records.
type Envelope struct {
	Format uint8 `cbor:"1,keyasint"`
	// ID is unique per append attempt: the author's incarnation and a sequence
	// number.
	ID      string `cbor:"2,keyasint"`
	Kind    Kind   `cbor:"3,keyasint"`
	Subject string `cbor:"4,keyasint"`
	// Prev is the offset of the accepted head that this record follows.
	Prev int64 `cbor:"5,keyasint"`
	// Seen is the highest offset that the author had folded when it wrote the
	// record. As of Seen, the head of the subject was Prev.
	Seen int64 `cbor:"6,keyasint"`
	// Author is the incarnation of the writing process.
	Author string `cbor:"7,keyasint"`
	// Part and Parts split a large checkpoint; both are 0 for other records.
	Part  int    `cbor:"8,keyasint,omitempty"`
	Parts int    `cbor:"9,keyasint,omitempty"`
	Body  []byte `cbor:"10,keyasint"`
}

// Entry is an envelope at its offset in the log.
type Entry struct {
	Offset int64
	Envelope
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic encoding of an envelope.
func Encode(e Envelope) []byte {
	return EncodeBody(e)
}

// EncodeBody returns the deterministic encoding of a record body. It panics on
// types that CBOR cannot represent.
func EncodeBody(body any) []byte {
	data, err := encMode.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeBody decodes a record body into target. Its errors wrap ErrMalformed.
func DecodeBody(data []byte, target any) error {
	if err := decMode.Unmarshal(data, target); err != nil {
		return eris.Wrapf(ErrMalformed, "body: %v", err)
	}
	return nil
}

// Decode parses and validates a record. Its errors wrap ErrMalformed or
// ErrNewerFormat.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxRecordBytes {
		return e, eris.Wrapf(ErrMalformed, "%d bytes exceed %d", len(data), MaxRecordBytes)
	}
	if err := decMode.Unmarshal(data, &e); err != nil {
		return e, eris.Wrapf(ErrMalformed, "envelope: %v", err)
	}
	if e.Format > Format {
		return e, eris.Wrapf(ErrNewerFormat, "format %d", e.Format)
	}
	return e, e.check()
}

func (e *Envelope) check() error {
	switch {
	case e.Format == 0:
		return eris.Wrap(ErrMalformed, "format is missing")
	case e.ID == "" || e.Kind == "" || e.Subject == "" || e.Author == "":
		return eris.Wrap(ErrMalformed, "id, kind, subject and author are required")
	case e.Prev < NoOffset || e.Seen < NoOffset:
		return eris.Wrap(ErrMalformed, "offset below -1")
	case e.Prev > e.Seen:
		return eris.Wrap(ErrMalformed, "predecessor is above the offsets that the author had seen")
	case e.Part < 0 || e.Parts < 0 || (e.Parts > 0 && e.Part >= e.Parts):
		return eris.Wrap(ErrMalformed, "part number out of range")
	}
	return nil
}
