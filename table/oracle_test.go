package table

import (
	"fmt"
	"maps"

	"github.com/mimosakeel/mimosakeel/record"
)

// oracle is the expected state (requirement P12), computed from the whole log by
// an independent implementation: every edit that names the head as its
// predecessor sets and deletes its rows, and nothing else changes a row.
type oracle struct {
	head, version int64
	rows          map[string]string
	// accepted holds the ID of the edit behind each version; edits is the set of
	// these IDs.
	accepted map[int64]string
	edits    map[string]bool
	// maxSeen is the highest offset that an anchored author is known to have read.
	maxSeen int64
	pending []record.Entry
}

// runOracle folds the whole log, including records that are trimmed by now.
func runOracle(log []record.Entry) *oracle {
	o := &oracle{
		head: -1, version: -1, maxSeen: -1,
		rows: map[string]string{}, accepted: map[int64]string{}, edits: map[string]bool{},
	}
	for _, e := range log {
		switch e.Kind {
		case record.KindAnchorRequest:
		case record.KindCheckpoint:
			o.maxSeen = max(o.maxSeen, e.Seen)
		case record.KindGenesis:
			o.applyGenesis(e)
		case KindEdit:
			o.maxSeen = max(o.maxSeen, e.Seen)
			o.applyPart(e)
		}
	}
	return o
}

func (o *oracle) applyGenesis(e record.Entry) {
	var body record.GenesisBody
	if record.DecodeBody(e.Body, &body) != nil || o.maxSeen >= body.Request {
		return
	}
	o.maxSeen, o.head, o.version, o.pending = e.Offset, e.Offset, e.Offset, nil
	clear(o.rows)
}

func (o *oracle) applyPart(e record.Entry) {
	body := mustEdit(e)
	if e.Prev != o.head || body.Base != o.version {
		return
	}
	var parts []record.Entry
	if body.Part > 0 {
		parts = append(parts, o.pending...)
	}
	if len(parts) != body.Part || (body.Part > 0 && mustEdit(parts[0]).Edit != body.Edit) {
		return
	}
	parts = append(parts, e)
	if body.Part < body.Parts-1 {
		o.head, o.pending = e.Offset, parts
		return
	}
	if rows := o.rowsAfter(parts); hasCustomer(rows) || body.Force {
		o.head, o.version, o.pending, o.rows = e.Offset, e.Offset, nil, rows
		o.accepted[e.Offset] = body.Edit
		o.edits[body.Edit] = true
	}
}

// rowsAfter returns the rows that result from the given parts of an edit.
func (o *oracle) rowsAfter(parts []record.Entry) map[string]string {
	rows := maps.Clone(o.rows)
	for _, p := range parts {
		for _, id := range mustEdit(p).Delete {
			delete(rows, id.String())
		}
	}
	for _, p := range parts {
		maps.Copy(rows, oracleRows(mustEdit(p).Set))
	}
	return rows
}

func mustEdit(e record.Entry) EditBody {
	var body EditBody
	if err := record.DecodeBody(e.Body, &body); err != nil {
		panic(err)
	}
	return body
}

// hasCustomer reports whether any customer is left. All customers of the test
// have a key.
func hasCustomer(rows map[string]string) bool {
	for name := range rows {
		if name[0] == 'c' {
			return true
		}
	}
	return false
}

// oracleRows returns the text form of each row by its ID.
func oracleRows(t Table) map[string]string {
	rows := map[string]string{}
	for _, c := range t.Customers {
		rows["customer "+c.Name] = fmt.Sprintf("%+v", c)
	}
	for _, l := range t.Limits {
		rows["limit "+l.FailureDomain] = fmt.Sprintf("%+v", l)
	}
	return rows
}

func equalRows(a, b map[string]string) bool { return maps.Equal(a, b) }
