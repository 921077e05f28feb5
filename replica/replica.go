// Package replica keeps a copy of a keyed topic. Daemons fill it from the store or
// from peers, so that only a few of them need to read the store.
package replica

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Replica is the copy of one keyed topic. It isn't safe for concurrent use.
//
// Invariants: the copy holds the record with the highest offset seen for each key,
// so that a delayed or duplicate delivery has no effect; all records are of the
// history of End, except for those that keep retains in a history without any record.
type Replica struct {
	keep    Keep
	records map[string]hosting.KeyedRecord
	end     int64
	fresh   time.Time
}

// Keep reports whether the content of a record is newer than that of another record
// of the same key, which a later history of the store holds. The other record has no
// value if that history lacks the key.
type Keep func(record, later hosting.KeyedRecord) bool

// New returns an empty copy. Records that keep selects stay in the copy when the store
// has lost them. keep may be nil.
func New(keep Keep) *Replica {
	if keep == nil {
		keep = func(hosting.KeyedRecord, hosting.KeyedRecord) bool { return false }
	}
	return &Replica{keep: keep, records: map[string]hosting.KeyedRecord{}, end: hosting.NoOffset}
}

// End returns the offset below which the copy is complete, or hosting.NoOffset if
// nothing was read.
func (r *Replica) End() int64 { return r.end }

// Fresh returns the last time at which the copy was known to hold all records of
// the topic, or zero if there was none.
func (r *Replica) Fresh() time.Time { return r.fresh }

// Refresh reports that the topic ended at offset end at the time at. It has no
// effect if the copy isn't complete up to end.
func (r *Replica) Refresh(end int64, at time.Time) {
	if end <= r.end && at.After(r.fresh) {
		r.fresh = at
	}
}

// Reset applies a page with the newest record of every key and returns the records
// that changed the copy. It deletes keys that the page lacks, and returns a record
// without a value for each of them. kept holds the records that stay although the
// page's history lacks them or holds older ones.
func (r *Replica) Reset(page hosting.KeyedPage) (changed, kept []hosting.KeyedRecord) {
	if page.End < r.end {
		// The page is older than the copy.
		return nil, nil
	}
	records := slices.Clone(page.Records)
	present := map[string]bool{}
	for _, record := range page.Records {
		present[record.Key] = true
	}
	for key, old := range r.records {
		if !present[key] && old.Value != nil && old.Offset < page.End {
			records = append(records, hosting.KeyedRecord{Key: key, Offset: page.End - 1})
		}
	}
	for _, record := range records {
		old, ok := r.records[record.Key]
		if ok && old.Offset < record.Offset && hosting.History(old.Offset) < hosting.History(page.End) && r.keep(old, record) {
			old.Offset = record.Offset
			r.records[record.Key] = old
			kept = append(kept, old)
			continue
		}
		changed = append(changed, r.put([]hosting.KeyedRecord{record})...)
	}
	r.end = page.End
	return changed, kept
}

// Apply applies records after which the copy is complete up to end, and returns
// those that changed the copy.
func (r *Replica) Apply(records []hosting.KeyedRecord, end int64) []hosting.KeyedRecord {
	out := r.put(records)
	r.end = max(r.end, end)
	return out
}

func (r *Replica) put(records []hosting.KeyedRecord) []hosting.KeyedRecord {
	var out []hosting.KeyedRecord
	for _, record := range records {
		old, ok := r.records[record.Key]
		if ok && old.Offset >= record.Offset && !r.keptByOther(old, record) {
			continue
		}
		r.records[record.Key] = record
		out = append(out, record)
	}
	return out
}

// keptByOther reports whether another copy has kept a record that the store has lost.
func (r *Replica) keptByOther(old, record hosting.KeyedRecord) bool {
	return old.Offset == record.Offset && !bytes.Equal(old.Value, record.Value) && r.keep(record, old)
}

// Since returns the records at or above an offset, in the order of offsets.
func (r *Replica) Since(offset int64) []hosting.KeyedRecord {
	var out []hosting.KeyedRecord
	for _, record := range r.records {
		if record.Offset >= offset {
			out = append(out, record)
		}
	}
	slices.SortFunc(out, func(x, y hosting.KeyedRecord) int { return cmp.Compare(x.Offset, y.Offset) })
	return out
}
