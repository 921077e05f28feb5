package quarantine

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// repeatMemory is the time after its end for which a quarantine is remembered.
	repeatMemory = 24 * time.Hour
	// maxEntries bounds the parts in quarantine.
	maxEntries = 1024
	// maxUntil bounds the end of a quarantine from now.
	maxUntil = 24 * time.Hour
	// minExtension is the least time by which a later entry extends a quarantine. Two
	// daemons that decide at the same time end it at slightly different times.
	minExtension = 5 * time.Second
)

// Entry is the quarantine of one part, as it is stored.
type Entry struct {
	// UntilMs is the end of the quarantine in Unix milliseconds.
	UntilMs int64 `json:"until_ms" cbor:"1,keyasint"`
	// FoundBy is the VM of the daemon that decided.
	FoundBy string `json:"found_by" cbor:"2,keyasint"`
}

// Until returns the end of the quarantine.
func (e Entry) Until() time.Time { return time.UnixMilli(e.UntilMs) }

// Encode returns the stored form of an entry.
func (e Entry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return data
}

// DecodeEntry decodes a stored entry.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, eris.Wrap(err, "decode quarantine")
	}
	return e, nil
}

// List holds the quarantined parts. It is immutable; a nil list is empty.
type List struct{ entries map[string]Entry }

// With returns a list with one more entry, and whether it differs: of two entries
// of a part the one that ends later counts. An entry that ends more than maxUntil
// from now ends then, as its writer's clock is wrong.
func (l *List) With(now time.Time, part string, e Entry) (*List, bool) {
	if latest := now.Add(maxUntil).UnixMilli(); e.UntilMs > latest {
		e.UntilMs = latest
	}
	old, known := l.entry(part)
	if known && e.UntilMs < old.UntilMs+minExtension.Milliseconds() || !known && l.Len() >= maxEntries {
		return l, false
	}
	next := &List{entries: map[string]Entry{}}
	if l != nil {
		maps.Copy(next.entries, l.entries)
	}
	next.entries[part] = e
	return next, true
}

// Without returns a list without a part.
func (l *List) Without(part string) *List {
	if _, ok := l.entry(part); !ok {
		return l
	}
	next := &List{entries: maps.Clone(l.entries)}
	delete(next.entries, part)
	return next
}

func (l *List) entry(part string) (Entry, bool) {
	if l == nil {
		return Entry{}, false
	}
	e, ok := l.entries[part]
	return e, ok
}

// Len returns the number of entries, including those that have ended.
func (l *List) Len() int {
	if l == nil {
		return 0
	}
	return len(l.entries)
}

// Active returns the number of parts in quarantine.
func (l *List) Active(now time.Time) int {
	n := 0
	if l != nil {
		for _, e := range l.entries {
			if now.Before(e.Until()) {
				n++
			}
		}
	}
	return n
}

// Left returns the time until the quarantine of a part ends; 0 if it is in none.
func (l *List) Left(now time.Time, part string) time.Duration {
	e, ok := l.entry(part)
	if !ok {
		return 0
	}
	return max(e.Until().Sub(now), 0)
}

// Outdated returns the parts whose quarantine ended so long ago that it need not be
// remembered.
func (l *List) Outdated(now time.Time) []string {
	var out []string
	if l != nil {
		for part, e := range l.entries {
			if now.Sub(e.Until()) > repeatMemory {
				out = append(out, part)
			}
		}
	}
	return out
}
