package edge

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
)

// announceRetry is the mean pause between attempts to write this daemon's member
// entry.
const announceRetry = 500 * time.Millisecond

// memberEntry is the entry of a daemon in the member topic.
type memberEntry struct {
	Incarnation   string `json:"incarnation"`
	Addr          string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Certificate is the fingerprint of the daemon's certificate in hexadecimal.
	Certificate string `json:"certificate"`
	// Cores is the number of cores that the VM gives the daemon.
	Cores float64 `json:"cores"`

	fingerprint peer.Fingerprint
}

func decodeMember(data []byte) (memberEntry, error) {
	var e memberEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return memberEntry{}, eris.Wrap(err, "decode member entry")
	}
	sum, err := hex.DecodeString(e.Certificate)
	if err != nil || len(sum) != len(e.fingerprint) {
		return memberEntry{}, eris.New("member entry has no valid certificate fingerprint")
	}
	copy(e.fingerprint[:], sum)
	return e, nil
}

// startedMs returns the start of the process in Unix milliseconds, or 0 if the
// incarnation does not name it.
func (e memberEntry) startedMs() int64 {
	started, err := strconv.ParseInt(e.Incarnation[strings.LastIndexByte(e.Incarnation, '.')+1:], 36, 64)
	if err != nil {
		return 0
	}
	return started
}

// keepMember is the replica.Keep of the member topic. Daemons never delete entries, so
// that a missing one is lost.
func keepMember(record, later hosting.KeyedRecord) bool {
	ours, err := decodeMember(record.Value)
	if err != nil || later.Value == nil {
		return err == nil
	}
	theirs, err := decodeMember(later.Value)
	return err != nil || ours.startedMs() > theirs.startedMs()
}

// memberTable holds the entries of all daemons by VM. It is safe for concurrent
// use: the control goroutine replaces the map, which is never modified.
type memberTable struct {
	current atomic.Pointer[map[string]memberEntry]
}

func newMemberTable() *memberTable {
	t := &memberTable{}
	t.current.Store(&map[string]memberEntry{})
	return t
}

func (t *memberTable) load() map[string]memberEntry { return *t.current.Load() }

// pin returns the fingerprint of the certificate of a VM.
func (t *memberTable) pin(vm string) (peer.Fingerprint, bool) {
	e, ok := t.load()[vm]
	return e.fingerprint, ok
}

// addr returns the peer address of a VM.
func (t *memberTable) addr(vm string) (string, bool) {
	e, ok := t.load()[vm]
	return e.Addr, ok
}

// apply applies new records and returns the VMs whose address or certificate
// changed or whose entry was deleted.
func (t *memberTable) apply(records []hosting.KeyedRecord, events *event.Recorder) (changed []string) {
	next := maps.Clone(t.load())
	for _, r := range records {
		if r.Value == nil {
			delete(next, r.Key)
			continue
		}
		e, err := decodeMember(r.Value)
		if err != nil {
			events.Record(event.KindFault, "member_unreadable", r.Key, event.F("error", err.Error()))
			continue
		}
		next[r.Key] = e
	}
	for vm, old := range t.load() {
		if e, ok := next[vm]; !ok || e.Addr != old.Addr || e.fingerprint != old.fingerprint {
			changed = append(changed, vm)
		}
	}
	t.current.Store(&next)
	return changed
}

// vms returns the members as a VM list, sorted by VM.
func (t *memberTable) vms() []hosting.VM {
	entries := t.load()
	var out []hosting.VM
	for _, vm := range slices.Sorted(maps.Keys(entries)) {
		out = append(out, hosting.VM{ID: vm, Addr: entries[vm].Addr, FailureDomain: entries[vm].FailureDomain, State: hosting.VMLive})
	}
	return out
}

// announcer keeps this daemon's member entry in the store. It writes the entry
// again if another one replaces it: the write of an ended process of the same VM
// may take effect after the first write of its successor. The other daemons would
// then reject the certificate of this one.
type announcer struct {
	topics hosting.Topics
	topic  hosting.Topic
	vm     string
	entry  memberEntry
	events *event.Recorder

	// foreign is the highest offset of a record of this VM that is not from this
	// process.
	foreign atomic.Int64
	wake    chan struct{}
	// yielded is set once this process leaves its VM to a successor. Only the control
	// goroutine uses it.
	yielded bool
}

func newAnnouncer(topics hosting.Topics, topic hosting.Topic, vm string, entry memberEntry, events *event.Recorder) *announcer {
	a := &announcer{topics: topics, topic: topic, vm: vm, entry: entry, events: events, wake: make(chan struct{}, 1)}
	a.foreign.Store(hosting.NoOffset)
	return a
}

// observe checks a record of the member topic. Only the control goroutine calls it.
func (a *announcer) observe(r hosting.KeyedRecord) {
	if a.yielded || r.Key != a.vm || r.Offset <= a.foreign.Load() {
		return
	}
	if e, err := decodeMember(r.Value); err == nil && e.Incarnation == a.entry.Incarnation {
		return
	}
	a.foreign.Store(r.Offset)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// historyLost lets the entry be written again: the store continues from an older copy
// that ends at a position. Only the control goroutine calls it.
func (a *announcer) historyLost(end int64) {
	if a.yielded {
		return
	}
	a.foreign.Store(max(a.foreign.Load(), end-1))
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// yield ends the writing of entries that were replaced: during a planned stop the
// next process of the VM may have started already. Only the control goroutine calls
// it.
func (a *announcer) yield() { a.yielded = true }

// run writes the entry, and again whenever a newer record replaces it, until the
// context ends.
func (a *announcer) run(ctx context.Context) {
	for {
		offset, ok := a.write(ctx)
		for ok && a.foreign.Load() < offset {
			select {
			case <-a.wake:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		if ok {
			a.events.Record(event.KindFault, "announcement_replaced", a.vm, event.F("offset", hosting.FormatPosition(a.foreign.Load())))
		}
		sleep(ctx, announceRetry/2+rand.N(announceRetry))
	}
}

// write writes the entry once and returns its offset if the store has
// acknowledged it.
func (a *announcer) write(ctx context.Context) (offset int64, ok bool) {
	value, err := json.Marshal(a.entry)
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	offset, outcome, err := a.topics.Put(ctx, a.topic, hosting.NoOffset, hosting.KeyedRecord{Key: a.vm, Value: value})
	if outcome != hosting.OutcomeDone {
		a.events.Record(event.KindFault, "announce_failed", a.vm, event.F("error", errorText(err)))
		return 0, false
	}
	a.events.Record(event.KindConfig, "announced", a.vm, event.F("incarnation", a.entry.Incarnation))
	return offset, true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
