package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// RemovalDelay is how long after an outage of the store servers stay in use whose
// removal was read since. Such an entry may have expired only because the server
// couldn't renew it. Live servers write their entries again within about two seconds
// after the outage.
const RemovalDelay = 2 * time.Second

// Decode decodes the entry of the server with the given ID.
type Decode func(id string, value []byte) (Server, error)

// UndecodableEntry reports an entry that can't be decoded and is therefore ignored.
type UndecodableEntry struct {
	ID  string
	Err error
}

// ServerList derives the list of servers in use from their entries. It isn't safe
// for concurrent use.
type ServerList struct {
	decode  Decode
	entries map[string]*entry
	// touched holds the IDs whose server in use may differ from what TakeChanges
	// returned last, and held those of delayed removals.
	touched map[string]struct{}
	held    map[string]struct{}
	// storeLost is set while the store can't be read; regainedAt is the time when
	// it could be read again after the last outage.
	storeLost  bool
	regainedAt time.Time
	// versions holds the newest version of each entry, also of removed ones, and
	// forgotAt the time at which those of long removed ones were last dropped.
	versions map[string]version
	forgotAt time.Time
}

// departedMemory is the time for which the version of a removed entry is remembered.
// It exceeds the age of the copies that the store may continue from.
const departedMemory = 10 * time.Minute

// version orders the entries of one ID.
type version struct {
	startedMs, sequence int64
	// removedAt is zero unless the entry was removed.
	removedAt time.Time
}

type entry struct {
	// server is nil if the entry was removed or can't be decoded.
	server *Server
	// held is the server of the removed entry, which stays in use until heldUntil.
	held      *Server
	heldUntil time.Time
	// reported is the server in use that TakeChanges returned last.
	reported *Server
}

// Change is a server whose entry was added, replaced or removed.
type Change struct {
	ID string
	// Server is the server in use, or nil if there is none. Old is the one before
	// the change, or nil if there was none.
	Server, Old *Server
}

// NewServerList returns an empty server list.
func NewServerList(decode Decode) *ServerList {
	return &ServerList{decode: decode, entries: map[string]*entry{}, touched: map[string]struct{}{}, held: map[string]struct{}{}, versions: map[string]version{}}
}

// StoreLost reports that the store can't be read.
func (l *ServerList) StoreLost() { l.storeLost = true }

// StoreRegained reports that the store can be read.
func (l *ServerList) StoreRegained(now time.Time) {
	if l.storeLost {
		l.storeLost, l.regainedAt = false, now
	}
}

// HistoryLost reports that the store continues from an older copy. Entries that are
// missing there count as expired during an outage.
func (l *ServerList) HistoryLost(now time.Time) { l.regainedAt = now }

// Outdated reports whether an entry is older than one that was in use, or than one that
// was removed. Such an entry is from a copy of the store.
func (l *ServerList) Outdated(id string, value []byte) bool {
	known, ok := l.versions[id]
	if !ok {
		return false
	}
	s, err := l.decode(id, value)
	switch {
	case err != nil:
		return false
	case s.StartedMs != known.startedMs:
		return s.StartedMs < known.startedMs
	case known.removedAt.IsZero():
		return s.Sequence < known.sequence
	}
	return s.Sequence <= known.sequence
}

// noteRemoval keeps the version of a removed entry for departedMemory.
func (l *ServerList) noteRemoval(now time.Time, id string) {
	if v, ok := l.versions[id]; ok && v.removedAt.IsZero() {
		v.removedAt = now
		l.versions[id] = v
	}
	if now.Sub(l.forgotAt) < departedMemory/2 {
		return
	}
	l.forgotAt = now
	maps.DeleteFunc(l.versions, func(_ string, v version) bool {
		return !v.removedAt.IsZero() && now.Sub(v.removedAt) >= departedMemory
	})
}

// removalsUntil returns the time until which removals that are read now are delayed.
// It has passed if they can't be due to an outage of the store.
func (l *ServerList) removalsUntil(now time.Time) time.Time {
	if l.storeLost {
		return now.Add(RemovalDelay)
	}
	return l.regainedAt.Add(RemovalDelay)
}

// FromStore applies entries that were read from the store, in order. It returns
// those that can't be decoded.
func (l *ServerList) FromStore(now time.Time, records []hosting.KeyedRecord) []UndecodableEntry {
	return l.apply(now, records, l.removalsUntil(now))
}

// FromPeer applies entries that a peer uses already, in order, and removes servers
// at once. It returns the entries that can't be decoded.
func (l *ServerList) FromPeer(now time.Time, records []hosting.KeyedRecord) []UndecodableEntry {
	return l.apply(now, records, now)
}

func (l *ServerList) apply(now time.Time, records []hosting.KeyedRecord, removalsUntil time.Time) []UndecodableEntry {
	var bad []UndecodableEntry
	for _, r := range records {
		if err := l.put(now, r, removalsUntil); err != nil {
			bad = append(bad, UndecodableEntry{ID: r.Key, Err: err})
		}
	}
	return bad
}

// put replaces the entry of a key. A removed server stays in use until removalsUntil.
func (l *ServerList) put(now time.Time, r hosting.KeyedRecord, removalsUntil time.Time) error {
	old := l.entries[r.Key]
	if old == nil {
		old = &entry{}
	}
	next := &entry{reported: old.reported}
	l.entries[r.Key] = next
	delete(l.held, r.Key)
	defer l.touch(now, r.Key)
	if r.Value == nil {
		l.noteRemoval(now, r.Key)
		if s := old.current(now); now.Before(removalsUntil) && s != nil {
			next.held, next.heldUntil = s, removalsUntil
			l.held[r.Key] = struct{}{}
		}
		return nil
	}
	server, err := l.decode(r.Key, r.Value)
	if err != nil {
		return err
	}
	l.versions[r.Key] = version{startedMs: server.StartedMs, sequence: server.Sequence}
	next.server = &server
	if old.server != nil && old.server.sameAs(&server) {
		next.server = old.server
	}
	return nil
}

// touch notes whether the server in use for a key differs from the reported one. It
// drops an entry without either.
func (l *ServerList) touch(now time.Time, id string) {
	e := l.entries[id]
	s := e.current(now)
	if s != e.reported {
		l.touched[id] = struct{}{}
		return
	}
	delete(l.touched, id)
	if s == nil {
		delete(l.entries, id)
	}
}

// Changed reports whether TakeChanges returns anything now.
func (l *ServerList) Changed(now time.Time) bool {
	l.endRemovalDelays(now)
	return len(l.touched) > 0
}

// endRemovalDelays ends the use of removed servers whose delay has passed.
func (l *ServerList) endRemovalDelays(now time.Time) {
	for id := range l.held {
		if !now.Before(l.entries[id].heldUntil) {
			delete(l.held, id)
			l.touch(now, id)
		}
	}
}

// TakeChanges returns the servers in use that have changed since the last call, in
// the order of their IDs.
func (l *ServerList) TakeChanges(now time.Time) []Change {
	l.endRemovalDelays(now)
	if len(l.touched) == 0 {
		return nil
	}
	out := make([]Change, 0, len(l.touched))
	for _, id := range slices.Sorted(maps.Keys(l.touched)) {
		e := l.entries[id]
		s := e.current(now)
		out = append(out, Change{ID: id, Server: s, Old: e.reported})
		e.reported = s
		l.touch(now, id)
	}
	return out
}

// current returns the server in use for the entry, or nil.
func (e *entry) current(now time.Time) *Server {
	if e.server == nil && now.Before(e.heldUntil) {
		return e.held
	}
	return e.server
}

// HasDelayedRemovals reports whether any removed server is still in use.
func (l *ServerList) HasDelayedRemovals(now time.Time) bool {
	for id := range l.held {
		if now.Before(l.entries[id].heldUntil) {
			return true
		}
	}
	return false
}

// Servers returns the servers in use, in the order of their IDs.
func (l *ServerList) Servers(now time.Time) []*Server {
	var out []*Server
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if s := l.entries[id].current(now); s != nil {
			out = append(out, s)
		}
	}
	return out
}
