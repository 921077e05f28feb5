package lease

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
)

type leaseOnlyState struct{ *State }

func (s leaseOnlyState) Snapshot() []byte     { return record.EncodeBody(*s.State) }
func (s leaseOnlyState) Restore([]byte) error { return nil }

// harness drives the machine of process b/1 on a log that never fails.
type harness struct {
	t       *testing.T
	now     time.Time
	state   State
	stream  *record.Stream
	chain   *record.Chain
	m       *Machine
	appends []record.Envelope
}

func newHarness(t *testing.T, first int64) *harness {
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0), state: NewState()}
	h.stream = record.NewStream(first, func(string) record.State { return leaseOnlyState{&h.state} })
	h.chain = h.stream.Chain("s")
	h.m = NewMachine(Default(), Identity{Incarnation: "b/1", VM: "b"}, h.chain, &h.state)
	h.m.Step(h.now, Rank{Rank: 0})
	return h
}

// appendAs appends a record of another process.
func (h *harness) appendAs(kind record.Kind, author string, body Body) {
	e := h.chain.Envelope(kind, author, author+string(kind), record.EncodeBody(body))
	h.step(h.appendRecord(e))
}

func (h *harness) appendRecord(e record.Envelope) Read {
	r := hosting.Record{Offset: h.stream.Next(), Data: record.Encode(e)}
	decisions, err := h.stream.Apply(hosting.Page{Records: []hosting.Record{r}})
	if err != nil {
		h.t.Fatal(err)
	}
	return Read{Decisions: decisions}
}

func (h *harness) step(ev Event) {
	for _, a := range h.m.Step(h.now, ev) {
		if a, ok := a.(Append); ok {
			h.appends = append(h.appends, a.Envelope)
			h.step(h.appendRecord(a.Envelope))
		}
	}
}

func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		h.step(Read{})
	}
}

// hasAppended reports whether the machine has appended a record of the kind.
func (h *harness) hasAppended(kind record.Kind) bool {
	for _, e := range h.appends {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

func (h *harness) expectAppended(kind record.Kind, want bool) {
	h.t.Helper()
	if h.hasAppended(kind) != want {
		h.t.Fatalf("%s written: %v, want %v", kind, !want, want)
	}
}

// Guards against a release while a write can still take effect.
func TestReleaseWaitsForWrites(t *testing.T) {
	h := newHarness(t, 0)
	h.run(2 * time.Second)
	h.m.SetWrites(1)
	h.step(Stop{})
	h.run(3 * time.Second)
	h.expectAppended(KindRelease, false)
	h.m.SetWrites(0)
	h.run(time.Second)
	h.expectAppended(KindRelease, true)
}

// Guards against a resignation while a write can still take effect, and against
// a claim by a process that has not resigned its old term.
func TestResignWaitsForWrites(t *testing.T) {
	h := newHarness(t, 0)
	h.run(2 * time.Second)
	h.m.SetWrites(1)
	h.appendAs(KindClaim, "c/1", Body{VM: "c"})
	h.appends = nil
	h.run(20 * time.Second)
	h.expectAppended(KindResign, false)
	h.expectAppended(KindClaim, false)
	h.m.SetWrites(0)
	h.run(time.Second)
	h.expectAppended(KindResign, true)
}

// Guards against a resignation for a VM that runs but is missing from a lagging
// VM list.
func TestAbsentVMResignedAfterListLag(t *testing.T) {
	h := newHarness(t, 0)
	h.appendAs(KindClaim, "c/1", Body{VM: "c"})
	h.run(10 * time.Second)
	h.step(VMList{VMs: []string{"b"}})
	h.run(29 * time.Second)
	h.step(VMList{VMs: []string{"b"}})
	h.expectAppended(KindResign, false)
	h.run(2 * time.Second)
	h.expectAppended(KindResign, true)
}

// Guards against a resignation by the next incarnation on a VM while writes of
// the killed process are still in flight.
func TestNextIncarnationWaitsForInFlightWrites(t *testing.T) {
	h := newHarness(t, 0)
	h.appendAs(KindClaim, "b/0", Body{VM: "b"})
	h.appendAs(KindClaim, "c/1", Body{VM: "c"})
	h.run(900 * time.Millisecond)
	h.expectAppended(KindResign, false)
	h.run(500 * time.Millisecond)
	h.expectAppended(KindResign, true)
}

// Guards against a claim right after a genesis, when a holder from the lost
// history may still have authority.
func TestClaimWaitsAfterGenesis(t *testing.T) {
	h := newHarness(t, 5)
	for range 300 {
		h.run(100 * time.Millisecond)
		if h.hasAppended(record.KindGenesis) {
			break
		}
	}
	h.expectAppended(record.KindGenesis, true)
	h.run(Default().Takeover() - 200*time.Millisecond)
	h.expectAppended(KindClaim, false)
	h.run(time.Second)
	h.expectAppended(KindClaim, true)
}

// Guards against writes after a release was sent. The release may take effect
// before it is read back, and a successor may claim the lease at once.
func TestNoAuthorityOnceReleaseIsSent(t *testing.T) {
	h := newHarness(t, 0)
	h.run(2 * time.Second)
	if _, ok := h.m.Authority(h.now); !ok {
		t.Fatal("no authority before the stop")
	}
	actions := h.m.Step(h.now, Stop{})
	if len(actions) != 1 || actions[0].(Append).Envelope.Kind != KindRelease {
		t.Fatalf("actions of a stop: %+v", actions)
	}
	if _, ok := h.m.Authority(h.now); ok {
		t.Fatal("still has authority after the release was sent")
	}
}
