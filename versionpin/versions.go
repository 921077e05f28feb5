package versionpin

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// firstHistory is the history of a store that has never continued from an older
	// copy, or a higher one: a store that names no history is in history 0.
	firstHistory = 1
	// retireMargin is the time, beyond twice the longest stream, for which a version has
	// no server before it is marked as retiring. It covers servers that go on serving
	// after they have left the list.
	retireMargin = 30 * time.Second
	// removeAfter is the time for which a version is retiring before it is removed. All
	// daemons that reach the store read the mark within it.
	removeAfter = 30 * time.Second
	// maxCarryAge is the age of the copy of a complete list up to which its versions are
	// carried over to a new history.
	maxCarryAge = 30 * time.Second
	// carryAfter is the time after the begin of a new history from which on a daemon that
	// has carried all versions over states that the list is complete. Servers and daemons
	// write their entries again within it.
	carryAfter = 3 * time.Second
)

// Write is a record that is due for the topic of versions. It must take effect only at
// the offset At, so that it fails if the topic has changed.
type Write struct {
	Record hosting.KeyedRecord
	At     int64
	What   string
	// Version is empty if the record is not that of a version.
	Version Version
}

// Versions is the copy of the topic of versions. It is not safe for concurrent use.
type Versions struct {
	// LongestStream is the longest time that a stream may take.
	LongestStream time.Duration

	// end is the offset up to which the topic was read, or hosting.NoOffset.
	end int64
	// history is the present history of the store, and historyAt the time at which it was
	// first seen.
	history   int64
	historyAt time.Time
	records   map[string]listedVersion
	// complete is the history of the record of completeKey.
	complete   int64
	completeAt int64
	// carried holds the versions of the earlier history that the present one must list
	// too. It is nil if not all of them are known.
	carried map[Version]bool
	// serving holds the versions that servers have, as far as this daemon knows.
	serving map[Version]bool
	// readAt is the last time at which the copy was known to be up to date.
	readAt time.Time
	// outdated holds the versions whose servers appeared when the copy was so old that
	// they may have been removed since.
	outdated map[Version]bool
	// unserved holds the time since which a listed version has had no server.
	unserved map[Version]time.Time
}

// listedVersion is the newest record of a key.
type listedVersion struct {
	version Version
	// state is empty if the record can't be read.
	state  state
	offset int64
	// at is the time at which this process first saw the record.
	at time.Time
}

// NewVersions returns a copy of a topic that was not read yet.
func NewVersions() *Versions {
	return &Versions{end: hosting.NoOffset, history: hosting.NoOffset, records: map[string]listedVersion{}, complete: hosting.NoOffset, completeAt: hosting.NoOffset,
		serving: map[Version]bool{}, outdated: map[Version]bool{}, unserved: map[Version]time.Time{}}
}

// End returns the offset up to which the topic was read, or hosting.NoOffset.
func (v *Versions) End() int64 { return v.end }

// History returns the present history of the store, or hosting.NoOffset.
func (v *Versions) History() int64 { return v.history }

// Replace applies a copy of the topic with the newest record of each key. It was the
// whole topic at the time at.
func (v *Versions) Replace(now time.Time, page hosting.KeyedPage, at time.Time) {
	if page.End < v.end {
		return // The answer is older than what was read since.
	}
	v.enter(now, hosting.History(page.End))
	newest := map[string]bool{}
	for _, r := range page.Records {
		newest[r.Key] = true
	}
	for key, known := range v.records {
		if known.offset < page.End && !newest[key] {
			delete(v.records, key)
		}
	}
	v.apply(now, page, at)
}

// Apply applies the records that follow End.
func (v *Versions) Apply(now time.Time, page hosting.KeyedPage) {
	if v.end != hosting.NoOffset && hosting.History(page.End) == v.history {
		v.apply(now, page, now)
	}
}

// Lost notes the present history of the store. If it is another one than before, the
// topic must be read anew.
func (v *Versions) Lost(now time.Time, history int64) { v.enter(now, history) }

// enter drops what is known if a new history has begun, but for the versions that are
// carried over.
func (v *Versions) enter(now time.Time, history int64) {
	if history <= v.history {
		return
	}
	switch {
	case v.end == hosting.NoOffset, now.Sub(v.readAt) > maxCarryAge:
		v.carried = nil
	case v.complete == v.history:
		v.carried = map[Version]bool{}
		fallthrough
	case v.carried != nil:
		for _, listed := range v.records {
			v.carried[listed.version] = true
		}
	}
	v.history, v.historyAt, v.end = history, now, hosting.NoOffset
	clear(v.records)
	clear(v.unserved)
}

func (v *Versions) apply(now time.Time, page hosting.KeyedPage, at time.Time) {
	for _, r := range page.Records {
		v.put(now, r)
	}
	v.end = max(v.end, page.End)
	if at.After(v.readAt) {
		v.readAt = at
	}
	if now.Sub(v.readAt) < removeAfter {
		clear(v.outdated)
	}
}

func (v *Versions) put(now time.Time, r hosting.KeyedRecord) {
	if r.Key == completeKey {
		if r.Offset > v.completeAt {
			v.completeAt, v.complete = r.Offset, hosting.NoOffset
			_ = cbor.Unmarshal(r.Value, &v.complete) // An unreadable record proves nothing.
		}
		return
	}
	if known, ok := v.records[r.Key]; ok && known.offset >= r.Offset {
		return
	}
	if r.Value == nil {
		delete(v.records, r.Key)
		return
	}
	listed := listedVersion{offset: r.Offset, at: now}
	var w versionRecord
	if err := cbor.Unmarshal(r.Value, &w); err == nil && (w.State == stateServing || w.State == stateRetiring) {
		listed.version, listed.state = Version{Service: w.Service, Name: w.Name}, w.State
	}
	v.records[r.Key] = listed
}

// Written notes that the store has acknowledged a record of this daemon. It reports
// false if the store has begun another history, so that the topic must be read first.
func (v *Versions) Written(now time.Time, r hosting.KeyedRecord, offset int64) bool {
	v.enter(now, hosting.History(offset))
	if v.end == hosting.NoOffset || hosting.History(offset) != v.history {
		return false
	}
	r.Offset = offset
	v.put(now, r)
	if offset == v.end {
		v.end++
	}
	for version := range v.outdated {
		if versionKey(version) == r.Key {
			delete(v.outdated, version)
		}
	}
	return true
}

// Confirmed reports whether the topic lists a version as serving.
func (v *Versions) Confirmed(version Version) bool {
	return v.end != hosting.NoOffset && !v.outdated[version] && v.records[versionKey(version)].state == stateServing
}

// Unconfirmed returns the versions that have servers and are not confirmed, and those
// that are carried over and not listed.
func (v *Versions) Unconfirmed() []Version {
	var out []Version
	if v.complete != v.history {
		for version := range v.carried {
			if !v.serving[version] && v.records[versionKey(version)].state == "" {
				out = append(out, version)
			}
		}
	}
	for version := range v.serving {
		if !v.Confirmed(version) {
			out = append(out, version)
		}
	}
	return out
}

// Only returns the version of a service at which all its streams have begun that still
// run, if there is only one such version.
func (v *Versions) Only(service string) (string, bool) {
	if v.end == hosting.NoOffset || v.complete != v.history {
		return "", false
	}
	name, count := "", 0
	for _, listed := range v.records {
		switch {
		case listed.state == "":
			return "", false
		case listed.version.Service == service:
			name = listed.version.Name
			count++
		}
	}
	return name, count == 1
}

// Single reports whether streams of a service need no records of their own: Only names
// its version, and no server has another one.
func (v *Versions) Single(service string) bool {
	name, ok := v.Only(service)
	if !ok {
		return false
	}
	for version := range v.serving {
		if version.Service == service && version.Name != name {
			return false
		}
	}
	return true
}

// SetServing sets the versions that servers have. fresh is set if the list of servers
// is known to be up to date.
func (v *Versions) SetServing(now time.Time, serving map[Version]bool, fresh bool) {
	for version := range serving {
		if !v.serving[version] && now.Sub(v.readAt) >= removeAfter {
			v.outdated[version] = true
		}
	}
	v.serving = serving
	if !fresh {
		clear(v.unserved)
		return
	}
	for _, listed := range v.records {
		if serving[listed.version] {
			delete(v.unserved, listed.version)
		} else if _, ok := v.unserved[listed.version]; !ok {
			v.unserved[listed.version] = now
		}
	}
}

// StartsEmpty returns the record that states that the topic is complete from its begin.
// It is due before any other one if no daemon has ever written to the topic.
func (v *Versions) StartsEmpty() (Write, bool) {
	if v.end == hosting.NoOffset || hosting.OffsetIn(v.end) != 0 || v.history > firstHistory {
		return Write{}, false
	}
	return v.completeWrite(), true
}

func (v *Versions) completeWrite() Write {
	return Write{Record: hosting.KeyedRecord{Key: completeKey, Value: encode(v.history)}, At: v.end, What: "versions_complete"}
}

// Due returns the changes of the topic that any daemon may make now.
func (v *Versions) Due(now time.Time) []Write {
	if v.end == hosting.NoOffset {
		return nil
	}
	retireAfter := retireMargin + 2*v.LongestStream
	settled := retireAfter
	if v.carried != nil {
		settled = carryAfter
	}
	var out []Write
	if v.complete != v.history && now.Sub(v.historyAt) >= settled && len(v.Unconfirmed()) == 0 {
		out = append(out, v.completeWrite())
	}
	for key, listed := range v.records {
		since, unserved := v.unserved[listed.version]
		if !unserved || listed.state == "" || now.Sub(since) < retireAfter {
			continue
		}
		switch {
		case listed.state == stateServing && now.Sub(listed.at) >= retireAfter:
			out = append(out, Write{Record: versionPut(listed.version, stateRetiring), At: v.end, What: "version_retiring", Version: listed.version})
		case listed.state == stateRetiring && now.Sub(listed.at) >= removeAfter:
			out = append(out, Write{Record: hosting.KeyedRecord{Key: key}, At: v.end, What: "version_removed", Version: listed.version})
		}
	}
	return out
}
