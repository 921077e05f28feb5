package table

import (
	"bytes"
	"os"
	"testing"

	"github.com/mimosakeel/mimosakeel/record"
)

// Guards against table files that crash Parse, and against files that Parse
// accepts but that change when they are formatted and parsed again.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(examplePath)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"version": 9223372036854775808, "customers": [{"name": null}, 3]}`))
	f.Add([]byte(`{"models": [{"name": "m", "version": "1", "weight_bytes": 1e3}], "models": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f", data)
		if err != nil {
			return
		}
		again, err := Parse("f", Format(file))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(record.EncodeBody(again.Table), record.EncodeBody(file.Table)) {
			t.Fatal("formatting changes the table")
		}
	})
}

// Guards against edit records with arbitrary bodies that crash Apply, change the
// state although they are refused, lead to an invalid table, or lead to a state
// that a checkpoint doesn't restore.
func FuzzEditRecord(f *testing.F) {
	valid := EditBody{Edit: "e", Base: 0, Parts: 1, Set: makeTable(2, 1)}
	f.Add(record.EncodeBody(valid))
	f.Add(record.EncodeBody(EditBody{Edit: "e", Part: 1, Parts: 2, Delete: []RowID{{RowModel, "m"}}}))
	f.Add(record.EncodeBody(EditBody{Edit: "e", Parts: 1, Force: true, Delete: []RowID{{RowCustomer, "customer-00000"}}}))
	f.Add([]byte{0xa1, 0x06, 0xa1, 0x01, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &State{table: makeTable(1, 1)}
		before := state.Snapshot()
		e := record.Entry{Offset: 1, Envelope: record.Envelope{Kind: KindEdit, Author: "a", Body: data}}
		if !state.Apply(e) {
			if !bytes.Equal(before, state.Snapshot()) {
				t.Fatal("a refused record changes the state")
			}
			return
		}
		if err := state.Table().Validate(); err != nil {
			t.Fatal(err)
		}
		restored := NewState()
		if err := restored.Restore(state.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(restored.Snapshot(), state.Snapshot()) {
			t.Fatal("a checkpoint changes the state")
		}
	})
}
