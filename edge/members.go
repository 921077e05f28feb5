package edge

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
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

// announce writes this daemon's member entry and retries until the store has
// acknowledged it.
func announce(ctx context.Context, topics hosting.Topics, topic hosting.Topic, vm string, e memberEntry, events *event.Recorder) {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	for ctx.Err() == nil {
		_, outcome, err := topics.Put(ctx, topic, hosting.NoOffset, hosting.KeyedRecord{Key: vm, Value: value})
		if outcome == hosting.OutcomeDone {
			events.Record(event.KindConfig, "announced", vm, event.F("incarnation", e.Incarnation))
			return
		}
		events.Record(event.KindFault, "announce_failed", vm, event.F("error", errorText(err)))
		sleep(ctx, announceRetry/2+rand.N(announceRetry))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
