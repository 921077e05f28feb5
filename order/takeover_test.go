package order

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// harness drives one machine on a log that never fails.
type harness struct {
	t      *testing.T
	now    time.Time
	state  *State
	stream *record.Stream
	m      *Machine
	sends  []Send
}

func newHarness(t *testing.T, earlier ...record.Envelope) *harness {
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0), state: NewState()}
	h.stream = record.NewStream(0, func(string) record.State { return h.state })
	chain := h.stream.Chain("orders/x")
	h.m = NewMachine(Default(), lease.Identity{Incarnation: "b/1", VM: "b"}, chain, h.state)
	for _, e := range earlier {
		e.Format, e.ID, e.Subject, e.Author = record.Format, "earlier", "orders/x", "a/1"
		e.Prev, e.Seen = chain.Head(), chain.Seen()
		h.appendRecord(e)
	}
	h.step(LeaseEvent{lease.Rank{Rank: 0}})
	return h
}

func (h *harness) appendRecord(e record.Envelope) []record.Decision {
	data := hosting.Record{Offset: h.stream.Next(), Data: record.Encode(e)}
	decisions, err := h.stream.Apply(hosting.Page{Records: []hosting.Record{data}})
	if err != nil {
		h.t.Fatal(err)
	}
	return decisions
}

func (h *harness) step(ev Event) {
	for _, a := range h.m.Step(h.now, ev) {
		if send, ok := a.(Send); ok {
			h.sends = append(h.sends, send)
		}
		l, ok := a.(LeaseAction)
		if !ok {
			continue
		}
		if add, ok := l.Action.(lease.Append); ok {
			h.step(LeaseEvent{lease.Read{Decisions: h.appendRecord(add.Envelope)}})
		}
	}
}

func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		h.step(LeaseEvent{lease.Read{}})
	}
}

// earlierTerm returns the records of a holder that was killed with an open intent.
func earlierTerm(target string) []record.Envelope {
	return []record.Envelope{
		{Kind: lease.KindClaim, Body: record.EncodeBody(lease.Body{VM: "a"})},
		{Kind: KindOpen, Body: record.EncodeBody(OpenBody{Term: 0, Intents: []NewIntent{
			{Target: target, Kind: TargetEngine, Command: Command{Name: "drain"}},
		}})},
	}
}

// Guards against finishing or opening an intent for a target that checks fencing
// tokens before the target has confirmed the new token.
func TestFenceComesFirst(t *testing.T) {
	h := newHarness(t, earlierTerm("e1")...)
	h.step(Targets{[]Target{{ID: "e1", Kind: TargetEngine, ChecksFence: true}}})
	h.run(15 * time.Second)
	if len(h.sends) != 1 || h.sends[0].Command.Name != CommandFence {
		t.Fatalf("sends before the fence is confirmed: %+v", h.sends)
	}
	h.step(SendResult{Send: h.sends[0].Send, Result: AnswerDone})
	h.run(time.Second)
	if len(h.sends) != 2 || h.sends[1].ID != "1.0" || h.sends[1].Fence != h.sends[0].Fence {
		t.Fatalf("the open intent was not sent under its idempotency key: %+v", h.sends)
	}
}

// Guards against an order to a target that does not check fencing tokens while
// an earlier holder may still write to it.
func TestUncheckedWaitsForResignation(t *testing.T) {
	h := newHarness(t, earlierTerm("e1")...)
	h.step(Targets{[]Target{{ID: "e1", Kind: TargetEngine}}})
	h.run(time.Minute)
	if len(h.sends) != 0 {
		t.Fatalf("sends before the resignation: %+v", h.sends)
	}
	chain := h.stream.Chain("orders/x")
	e := chain.Envelope(lease.KindResign, "a/1", "late", record.EncodeBody(lease.Body{Term: 0, VM: "a"}))
	h.step(LeaseEvent{lease.Read{Decisions: h.appendRecord(e)}})
	h.run(time.Second)
	if len(h.sends) != 1 || h.sends[0].ID != "1.0" {
		t.Fatalf("sends after the resignation: %+v", h.sends)
	}
}

// Guards against an intent that is never closed because its target is gone.
func TestGoneTargetIsCancelled(t *testing.T) {
	h := newHarness(t, earlierTerm("e1")...)
	h.step(Targets{})
	h.run(30 * time.Second)
	if len(h.state.Open) != 0 || len(h.sends) != 0 {
		t.Fatalf("open: %v, sends: %v", h.state.Open, h.sends)
	}
}

// Guards against orders after a genesis to a target that a holder from the lost
// history may still write to. A target that is first listed after the quarantine
// is new and may receive orders.
func TestUncheckedAfterGenesis(t *testing.T) {
	h := newHarness(t)
	chain := h.stream.Chain("orders/x")
	request := chain.Envelope(record.KindAnchorRequest, "a/1", "request", nil)
	decisions := h.appendRecord(request)
	genesis := chain.Envelope(record.KindGenesis, "a/1", "genesis", record.EncodeBody(record.GenesisBody{}))
	genesis.Seen = record.NoOffset
	h.step(LeaseEvent{lease.Read{Decisions: append(decisions, h.appendRecord(genesis)...)}})
	old := Target{ID: "old", Kind: TargetEngine}
	h.step(Targets{[]Target{old}})
	h.run(2 * time.Minute)
	h.step(Targets{[]Target{old, {ID: "new", Kind: TargetEngine}}})
	h.step(CommandRequest{Target: "old", Command: Command{Name: "drain"}})
	h.step(CommandRequest{Target: "new", Command: Command{Name: "drain"}})
	h.run(time.Second)
	if len(h.sends) != 1 || h.sends[0].Target.ID != "new" {
		t.Fatalf("sends: %+v", h.sends)
	}
}
