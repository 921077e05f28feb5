package daemon

import (
	"errors"
	"testing"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

// Guards against a daemon that stays ready, or logs the same error with every
// page, after a record in a format that only a newer version understands.
func TestNewerFormatStopsTheFoldAndIsReportedOnce(t *testing.T) {
	state := table.NewState()
	f := fold{newStream: func(first int64) *record.Stream {
		return record.NewStream(first, func(string) record.State { return state })
	}}
	newer := record.Encode(record.Envelope{Format: record.Format + 1, ID: "1", Kind: "edit", Subject: table.Subject, Prev: record.NoOffset, Seen: record.NoOffset, Author: "a"})
	page := logPage{page: hosting.Page{Next: 1, Records: []hosting.Record{{Offset: 0, Data: newer}}}}
	if _, err := f.apply(page); !errors.Is(err, record.ErrNewerFormat) {
		t.Fatalf("first page: %v", err)
	}
	if _, err := f.apply(logPage{page: hosting.Page{Next: 1}}); err != nil {
		t.Errorf("reported again: %v", err)
	}
	if f.stopErr == nil || state.Version() != record.NoOffset {
		t.Errorf("stopped by %v, version %d", f.stopErr, state.Version())
	}
}
