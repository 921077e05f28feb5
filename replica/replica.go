// Package replica keeps a copy of a keyed topic. Daemons fill it from the store or
// from peers, so that only a few of them need to read the store.
package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Replica is the copy of one keyed topic. It isn't safe for concurrent use.
//
// Invariant: the copy holds the record with the highest offset seen for each key,
// so that a delayed or duplicate delivery has no effect.
type Replica struct {
	records map[string]hosting.KeyedRecord
	end     int64
	fresh   time.Time
}

// New returns an empty copy.
func New() *Replica {
	return &Replica{records: map[string]hosting.KeyedRecord{}, end: hosting.NoOffset}
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
// without a value for each of them.
func (r *Replica) Reset(page hosting.KeyedPage) []hosting.KeyedRecord {
	if page.End < r.end {
		// The page is older than the copy.
		return nil
	}
	present := map[string]bool{}
	for _, record := range page.Records {
		present[record.Key] = true
	}
	out := r.put(page.Records)
	for key, old := range r.records {
		if !present[key] && old.Value != nil && old.Offset < page.End {
			out = append(out, r.put([]hosting.KeyedRecord{{Key: key, Offset: page.End - 1}})...)
		}
	}
	r.end = page.End
	return out
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
		if ok && old.Offset >= record.Offset {
			continue
		}
		r.records[record.Key] = record
		out = append(out, record)
	}
	return out
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
