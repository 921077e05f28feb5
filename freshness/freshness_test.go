package freshness

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(14, 4000)
	os.Exit(m.Run())
}

const testBound = 2 * time.Second

var start = time.Unix(1_000_000, 0)

// knownEnd is an end of the stream that a VM learned at some moment.
type knownEnd struct {
	at   time.Time
	next int64
}

// vm simulates the daemon of one VM.
type vm struct {
	id      string
	tracker *Tracker
	applied int64
	// history is what the VM has learned. The test keeps it independently of the
	// tracker.
	history []knownEnd
}

// inFlight is a request or an answer in transit.
type inFlight struct {
	deliver func()
}

// model simulates a fleet and its log in virtual time.
type model struct {
	now time.Time
	// accepted holds the time at which each record was accepted.
	accepted []time.Time
	logUp    bool
	vms      []*vm
	listed   []string
	flights  []inFlight
}

func newModel(t *rapid.T) *model {
	m := &model{now: start, logUp: true, accepted: []time.Time{start}}
	names := []string{"a", "b", "c", "d", "e"}
	for _, id := range names[:rapid.IntRange(1, 5).Draw(t, "vms")] {
		m.vms = append(m.vms, &vm{id: id, tracker: New(id, testBound)})
		m.listed = append(m.listed, id)
	}
	// The VM list may be outdated and name a VM that no longer exists.
	if rapid.Bool().Draw(t, "lag") {
		m.listed = append(m.listed, "gone")
	}
	for _, v := range m.vms {
		v.tracker.Step(m.now, Listed{m.listed})
	}
	return m
}

func (v *vm) learn(now time.Time, next int64) {
	v.history = append(v.history, knownEnd{now, next})
}

// knew returns the highest end of the stream that the VM knew at a moment.
func (v *vm) knew(at time.Time) int64 {
	highest := int64(0)
	for _, k := range v.history {
		if !k.at.After(at) {
			highest = max(highest, k.next)
		}
	}
	return highest
}

func (m *model) actions() map[string]func(*rapid.T) {
	anyVM := func(t *rapid.T, name string) *vm { return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, name)] }
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 150, 400, 900, 2001}).Draw(t, "ms")) * time.Millisecond)
		},
		"edit": func(t *rapid.T) {
			if !m.logUp {
				t.Skip("log is down")
			}
			m.accepted = append(m.accepted, m.now)
		},
		"toggleLog": func(t *rapid.T) { m.logUp = !m.logUp },
		"read":      func(t *rapid.T) { m.read(anyVM(t, "vm")) },
		"failRead": func(t *rapid.T) {
			v := anyVM(t, "vm")
			v.tracker.Step(m.now, ReadFailed{m.now})
		},
		"catchUp": func(t *rapid.T) {
			v := anyVM(t, "vm")
			v.applied = max(v.applied, v.knew(m.now))
			v.tracker.Step(m.now, Applied{v.applied})
		},
		"heartbeat": func(t *rapid.T) { m.heartbeat(anyVM(t, "from"), anyVM(t, "to")) },
		"deliver": func(t *rapid.T) {
			if len(m.flights) == 0 {
				t.Skip("nothing in flight")
			}
			m.deliver(rapid.IntRange(0, len(m.flights)-1).Draw(t, "index"))
		},
		"lose": func(t *rapid.T) {
			if len(m.flights) == 0 {
				t.Skip("nothing in flight")
			}
			m.flights = m.flights[1:]
		},
		"syncRound": func(t *rapid.T) {
			m.syncRound(m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "first of the side"):])
		},
		"outageRound": func(t *rapid.T) {
			side := rapid.IntRange(1, len(m.vms)).Draw(t, "size of the side")
			outageRound(m.now, m.vms[:side])
		},
		"": func(t *rapid.T) {
			for _, v := range m.vms {
				m.check(t, v)
			}
		},
	}
}

func (m *model) deliver(i int) {
	f := m.flights[i]
	m.flights = append(m.flights[:i:i], m.flights[i+1:]...)
	f.deliver()
}

// read sends a read request to the log. The request and the answer are delayed
// independently.
func (m *model) read(v *vm) {
	sent := m.now
	m.flights = append(m.flights, inFlight{func() {
		if !m.logUp {
			v.tracker.Step(m.now, ReadFailed{sent})
			return
		}
		next := int64(len(m.accepted))
		m.flights = append(m.flights, inFlight{func() {
			v.learn(m.now, next)
			v.tracker.Step(m.now, ReadDone{sent, next})
		}})
	}})
}

// heartbeat sends a heartbeat, which the peer answers with its statement. Both
// are delayed independently.
func (m *model) heartbeat(from, to *vm) {
	if from == to {
		return
	}
	sent := m.now
	m.flights = append(m.flights, inFlight{func() {
		statement := to.tracker.Statement(m.now)
		m.flights = append(m.flights, inFlight{func() {
			from.learn(m.now, statement.Next)
			from.tracker.Step(m.now, PeerAnswered{to.id, sent, statement})
		}})
	}})
}

// syncRound makes all daemons on one side of a partition read and fold the log.
func (m *model) syncRound(side []*vm) {
	if !m.logUp {
		return
	}
	next := int64(len(m.accepted))
	for _, v := range side {
		v.learn(m.now, next)
		v.tracker.Step(m.now, ReadDone{m.now, next})
		v.applied = next
		v.tracker.Step(m.now, Applied{next})
	}
}

// outageRound makes the reads of all daemons on one side of a partition fail and
// exchanges their statements at once. Random single steps rarely lead to this.
func outageRound(now time.Time, side []*vm) {
	for _, v := range side {
		v.tracker.Step(now, ReadFailed{now})
	}
	for _, from := range side {
		for _, to := range side {
			if from != to {
				statement := to.tracker.Statement(now)
				from.learn(now, statement.Next)
				from.tracker.Step(now, PeerAnswered{to.id, now, statement})
			}
		}
	}
}

// check is the oracle for requirements P4 and P12: an edit, such as the withdrawal
// of a key, that was accepted longer than the bound ago is in force on every
// daemon that serves requests that need a key. The only exception is ModeOutage
// when fewer than half of the listed VMs knew of the edit by then, as documented.
func (m *model) check(t *rapid.T, v *vm) {
	if !v.tracker.Permit(m.now).Allows(m.now) {
		return
	}
	deadline := m.now.Add(-testBound)
	for offset := v.applied; offset < int64(len(m.accepted)); offset++ {
		if !m.accepted[offset].Before(deadline) {
			return
		}
		informed := 0
		for _, other := range m.vms {
			if other.knew(deadline) > offset {
				informed++
			}
		}
		if v.tracker.Permit(m.now).Mode == ModeFresh || 2*informed >= len(m.listed) {
			t.Fatalf("%s serves in mode %s without the edit at offset %d, which was accepted %s ago and known to %d of %d VMs",
				v.id, v.tracker.Permit(m.now).Mode, offset, m.now.Sub(m.accepted[offset]), informed, len(m.listed))
		}
	}
	if v.applied == 0 {
		t.Fatalf("%s serves without any table", v.id)
	}
}

// Guards against a daemon that accepts a withdrawn key, because delayed, lost or
// reordered answers of the log or of peers make an outdated table count as fresh.
func TestNoDaemonServesWithAnOldTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}

func fleet(n int) *model {
	m := &model{now: start, logUp: true, accepted: []time.Time{start}}
	for _, id := range []string{"a", "b", "c", "d", "e"}[:n] {
		m.vms = append(m.vms, &vm{id: id, tracker: New(id, testBound)})
		m.listed = append(m.listed, id)
	}
	for _, v := range m.vms {
		v.tracker.Step(m.now, Listed{m.listed})
		v.tracker.Step(m.now, ReadDone{m.now, 1})
		v.applied = 1
		v.tracker.Step(m.now, Applied{1})
	}
	return m
}

func (v *vm) mode(now time.Time) Mode { return v.tracker.Permit(now).Mode }

// Guards against an outage of the log that stops all requests, and against a
// partitioned minority of VMs that keeps serving.
func TestOutageServesOnlyWithAMajority(t *testing.T) {
	m := fleet(5)
	m.now = m.now.Add(testBound + time.Millisecond)
	for _, v := range m.vms {
		if got := v.mode(m.now); got != ModeStale {
			t.Fatalf("%s before any answer: %s", v.id, got)
		}
	}
	m.vms, m.logUp = m.vms[:3], false
	outageRound(m.now, m.vms)
	for _, v := range m.vms {
		if got := v.mode(m.now); got != ModeOutage {
			t.Fatalf("%s with 3 of 5: %s", v.id, got)
		}
	}
	m.now = m.now.Add(testBound + time.Millisecond)
	m.vms = m.vms[:2]
	outageRound(m.now, m.vms)
	for _, v := range m.vms {
		if got := v.mode(m.now); got != ModeStale {
			t.Fatalf("%s with 2 of 5: %s", v.id, got)
		}
	}
}

// Guards against a daemon that can't reach the log and serves in outage mode
// although a peer has reported that it can reach the log.
func TestOneReachablePeerEndsTheOutageMode(t *testing.T) {
	m := fleet(3)
	m.now = m.now.Add(testBound + time.Millisecond)
	outageRound(m.now, m.vms)
	m.vms[0].tracker.Step(m.now, PeerAnswered{"b", m.now, Statement{ProofAge: -1, Log: Reachable}})
	if got := m.vms[0].mode(m.now); got != ModeStale {
		t.Fatalf("mode %s", got)
	}
}

// Guards against a permission that stays valid after its proof has expired,
// because the control goroutine is delayed, and against a proof from a peer that
// doesn't extend the permission.
func TestPermitEndsWithItsProof(t *testing.T) {
	m := fleet(2)
	later := m.now.Add(1500 * time.Millisecond)
	changed := m.vms[0].tracker.Step(later, PeerAnswered{"b", later, Statement{Next: 1, ProofNext: 1, ProofAge: time.Second, Log: Reachable}})
	permit := m.vms[0].tracker.Permit(later)
	if len(changed) != 0 || !permit.Allows(m.now.Add(2500*time.Millisecond)) || permit.Allows(m.now.Add(2501*time.Millisecond)) {
		t.Fatalf("permit until %s, changes %v", permit.Until.Sub(m.now), changed)
	}
}

// Guards against a table that counts as fresh although the daemon has not yet
// folded all records below the proven end of the stream.
func TestProofCountsOnceItsRecordsAreApplied(t *testing.T) {
	m := fleet(1)
	v := m.vms[0]
	m.now = m.now.Add(testBound + time.Millisecond)
	v.tracker.Step(m.now, ReadDone{m.now, 3})
	if got := v.mode(m.now); got != ModeStale {
		t.Fatalf("before: %s", got)
	}
	if changed := v.tracker.Step(m.now, Applied{3}); len(changed) != 1 || v.mode(m.now) != ModeFresh {
		t.Fatalf("after: %s, changes %v", v.mode(m.now), changed)
	}
}
