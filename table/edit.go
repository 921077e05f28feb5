package table

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/record"
)

const (
	// Stream is the log stream that holds the records of the table.
	Stream = "config"
	// Subject is the subject of the table's chain.
	Subject = "config"
	// KindEdit is the kind of the records that carry one part of an edit.
	KindEdit record.Kind = "edit"
	// MaxRowsPerPart bounds the rows that one record sets or deletes.
	MaxRowsPerPart = 200
	// maxPartBytes keeps the encoded rows of a part well below
	// record.MaxRecordBytes.
	maxPartBytes = record.MaxRecordBytes / 2
	// maxParts bounds the unfinished edit that each reader buffers. It permits
	// 20,000 rows, twice the size of the long-term target.
	maxParts = 100
)

// EditBody is the body of an edit record. It carries one part of an edit.
type EditBody struct {
	// Edit identifies the edit that the part belongs to.
	Edit string `cbor:"1,keyasint"`
	// Base is the version of the table that the edit was made against.
	Base int64 `cbor:"2,keyasint"`
	// Part is the index of this part, from 0 to Parts-1.
	Part  int `cbor:"3,keyasint"`
	Parts int `cbor:"4,keyasint"`
	// Force accepts an edit that leaves no customer with a key.
	Force  bool    `cbor:"5,keyasint,omitempty"`
	Set    Table   `cbor:"6,keyasint"`
	Delete []RowID `cbor:"7,keyasint,omitempty"`
}

// DecodeEdit parses the body of an edit record and checks everything that
// doesn't depend on the table. It fails with record.ErrMalformed.
func DecodeEdit(data []byte) (EditBody, error) {
	var body EditBody
	if err := record.DecodeBody(data, &body); err != nil {
		return EditBody{}, err
	}
	rows := body.Set.Rows() + len(body.Delete)
	switch {
	case body.Edit == "":
		return EditBody{}, eris.Wrap(record.ErrMalformed, "edit has no id")
	case body.Base < record.NoOffset:
		return EditBody{}, eris.Wrapf(record.ErrMalformed, "invalid base version %d", body.Base)
	case body.Parts < 1 || body.Parts > maxParts || body.Part < 0 || body.Part >= body.Parts:
		return EditBody{}, eris.Wrapf(record.ErrMalformed, "invalid part number %d of %d", body.Part, body.Parts)
	case rows > MaxRowsPerPart:
		return EditBody{}, eris.Wrapf(record.ErrMalformed, "%d rows exceed %d", rows, MaxRowsPerPart)
	}
	body.Set.canonicalize()
	return body, nil
}

// split divides an edit into the bodies of its records, at least one.
func split(e Edit, id string, base int64, force bool) []EditBody {
	s := splitter{template: EditBody{Edit: id, Base: base, Force: force}}
	s.startPart()
	for _, r := range e.Set.Customers {
		part := s.partFor(r)
		part.Set.Customers = append(part.Set.Customers, r)
	}
	for _, r := range e.Set.Models {
		part := s.partFor(r)
		part.Set.Models = append(part.Set.Models, r)
	}
	for _, r := range e.Set.Services {
		part := s.partFor(r)
		part.Set.Services = append(part.Set.Services, r)
	}
	for _, r := range e.Set.Limits {
		part := s.partFor(r)
		part.Set.Limits = append(part.Set.Limits, r)
	}
	for _, id := range e.Delete {
		part := s.partFor(id)
		part.Delete = append(part.Delete, id)
	}
	for i := range s.parts {
		s.parts[i].Part, s.parts[i].Parts = i, len(s.parts)
	}
	return s.parts
}

// splitter distributes rows over parts. rows and bytes are the number and the
// encoded size of the rows in the last part.
type splitter struct {
	template EditBody
	parts    []EditBody
	rows     int
	bytes    int
}

func (s *splitter) startPart() {
	s.parts = append(s.parts, s.template)
	s.rows, s.bytes = 0, 0
}

// partFor returns the part to add the next row to. It starts a new part if the
// row would exceed the limits of the current one.
func (s *splitter) partFor(row any) *EditBody {
	size := len(record.EncodeBody(row))
	if s.rows == MaxRowsPerPart || (s.rows > 0 && s.bytes+size > maxPartBytes) {
		s.startPart()
	}
	s.rows++
	s.bytes += size
	return &s.parts[len(s.parts)-1]
}

// applyEdit returns the canonical table after an edit. The result shares no
// slice of rows with old, because existing snapshots point into those of old.
func applyEdit(old *Table, parts []EditBody) Table {
	deleted := map[RowID]bool{}
	var set Table
	for _, p := range parts {
		for _, id := range p.Delete {
			deleted[id] = true
		}
		set.Customers = append(set.Customers, p.Set.Customers...)
		set.Models = append(set.Models, p.Set.Models...)
		set.Services = append(set.Services, p.Set.Services...)
		set.Limits = append(set.Limits, p.Set.Limits...)
	}
	return Table{
		Customers: applyRows(old.Customers, set.Customers, deleted),
		Models:    applyRows(old.Models, set.Models, deleted),
		Services:  applyRows(old.Services, set.Services, deleted),
		Limits:    applyRows(old.Limits, set.Limits, deleted),
	}
}

// applyRows returns the old rows that are neither deleted nor set, plus the set
// rows, sorted by name. A row that is both deleted and set is kept as set.
func applyRows[R row](old, set []R, deleted map[RowID]bool) []R {
	replaced := make(map[RowID]bool, len(set))
	for _, r := range set {
		replaced[r.id()] = true
	}
	rows := make([]R, 0, len(old)+len(set))
	for _, r := range old {
		if !deleted[r.id()] && !replaced[r.id()] {
			rows = append(rows, r)
		}
	}
	rows = append(rows, set...)
	slices.SortStableFunc(rows, byName)
	if len(rows) == 0 {
		return nil
	}
	return slices.Clip(rows)
}
