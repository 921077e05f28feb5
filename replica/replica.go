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
// history of End, except for those that keep retains in a history without any record;
// the copy holds the removal of every key that was removed between base and end.
type Replica struct {
	keep    Keep
	records map[string]hosting.KeyedRecord
	end     int64
	// base is the offset from which on removals are known. A read of the newest record
	// of each key returns nothing for removed keys. It may exceed end while another
	// copy is taken over in parts.
	base int64
	// total is the offset that the copy must reach to hold a state of the topic. It
	// exceeds end after a cut section: the newest record of a key may be in the rest.
	total int64
	fresh time.Time
}

// Section is a part of a copy: the newest records of the keys that were last written
// at or above From, in the order of their offsets.
type Section struct {
	Records []hosting.KeyedRecord
	// From is hosting.NoOffset for a section that starts at the begin of the topic.
	From int64
	// Base is the offset from which on the section includes removals.
	Base int64
	// End is the offset from which on a copy continues after the section, and Total the
	// end of the copy that the section is from. End is lower if the section was cut.
	End, Total int64
}

// Whole reports whether the section reaches the end of the copy that it is from.
func (s *Section) Whole() bool { return s.End == s.Total }

// Cut returns the first records of a section whose keys and values have at most limit
// bytes, at least those of one offset, and their size.
func (s Section) Cut(limit int) (Section, int) {
	size := 0
	for i, r := range s.Records {
		n := len(r.Key) + len(r.Value)
		if size+n > limit && i > 0 && r.Offset > s.Records[i-1].Offset {
			s.Records, s.End = s.Records[:i], s.Records[i-1].Offset+1
			return s, size
		}
		size += n
	}
	return s, size
}

// Fit says how a section relates to a copy.
type Fit int

// The fits.
const (
	// FitGap is a section that lacks records, or removals, between the copy and its
	// own records. It can't be applied.
	FitGap Fit = iota
	// FitContinues is a section that continues the copy.
	FitContinues
	// FitReplaces is a section that holds the whole topic, but may lack removals that
	// the copy doesn't know either: keys that it lacks have been removed.
	FitReplaces
)

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
	return &Replica{keep: keep, records: map[string]hosting.KeyedRecord{}, end: hosting.NoOffset, base: hosting.NoOffset, total: hosting.NoOffset}
}

// End returns the offset from which on the copy lacks records, or hosting.NoOffset if
// nothing was read.
func (r *Replica) End() int64 { return r.end }

// Complete reports whether the copy holds the state of the topic at End.
func (r *Replica) Complete() bool { return r.end != hosting.NoOffset && r.end >= r.total }

// RemovalsFrom returns the offset from which on the copy lacks removals.
func (r *Replica) RemovalsFrom() int64 { return max(r.end, r.base) }

// Fresh returns the last time at which the copy was known to hold all records of
// the topic, or zero if there was none.
func (r *Replica) Fresh() time.Time { return r.fresh }

// Refresh reports that the topic ended at offset end at the time at. It has no
// effect if the copy isn't complete up to end.
func (r *Replica) Refresh(end int64, at time.Time) {
	if end <= r.end && r.Complete() && at.After(r.fresh) {
		r.fresh = at
	}
}

// Reset applies a page with the newest record of every key. See Replace.
func (r *Replica) Reset(page hosting.KeyedPage) (changed, kept []hosting.KeyedRecord) {
	return r.Replace(Section{Records: page.Records, From: hosting.NoOffset, Base: page.End, End: page.End, Total: page.End})
}

// Replace applies a whole section that starts at the begin of the topic and returns the
// records that changed the copy. It deletes keys that the section lacks, and returns a
// record without a value for each of them. kept holds the records that stay although
// the section's history lacks them or holds older ones.
func (r *Replica) Replace(s Section) (changed, kept []hosting.KeyedRecord) {
	if s.End < r.end {
		// The section is older than the copy.
		return nil, nil
	}
	records := slices.Clone(s.Records)
	present := map[string]bool{}
	for _, record := range s.Records {
		// A removal may be older than the record of a key that was written and removed
		// again before base.
		present[record.Key] = record.Value != nil || record.Offset >= r.records[record.Key].Offset
	}
	for key, old := range r.records {
		if !present[key] && old.Value != nil && old.Offset < s.End {
			records = append(records, hosting.KeyedRecord{Key: key, Offset: s.End - 1})
		}
	}
	for _, record := range records {
		old, ok := r.records[record.Key]
		if ok && old.Offset < record.Offset && hosting.History(old.Offset) < hosting.History(s.End) && r.keep(old, record) {
			old.Offset = record.Offset
			r.records[record.Key] = old
			kept = append(kept, old)
			continue
		}
		changed = append(changed, r.put([]hosting.KeyedRecord{record})...)
	}
	r.end, r.base, r.total = s.End, s.Base, s.Total
	return changed, kept
}

// Fit returns how a section of another copy relates to this one.
func (r *Replica) Fit(s Section) Fit {
	switch {
	case s.From <= r.end && (s.Base <= r.RemovalsFrom() || r.end == hosting.NoOffset):
		return FitContinues
	case s.From == hosting.NoOffset && s.Whole():
		return FitReplaces
	}
	return FitGap
}

// Continue applies a section that continues the copy and returns the records that
// changed it.
func (r *Replica) Continue(s Section) []hosting.KeyedRecord {
	if r.end == hosting.NoOffset {
		r.base = max(r.base, s.Base)
	}
	r.total = max(r.total, s.Total)
	return r.Apply(s.Records, s.End)
}

// Apply applies all records that follow the copy up to end, and returns those that
// changed it.
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

// Since returns the section that a copy needs which ends at an offset and lacks removals
// from removals on. It starts at the begin of the topic if this copy doesn't hold all
// of these removals.
func (r *Replica) Since(end, removals int64) Section {
	if removals < r.base {
		end = hosting.NoOffset
	}
	s := Section{From: end, Base: r.base, End: r.end, Total: r.end}
	for _, record := range r.records {
		if record.Offset >= end {
			s.Records = append(s.Records, record)
		}
	}
	slices.SortFunc(s.Records, func(x, y hosting.KeyedRecord) int { return cmp.Compare(x.Offset, y.Offset) })
	return s
}
