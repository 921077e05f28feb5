package usage

import (
	"testing"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// fold applies records to a state without a chain, at increasing offsets.
type fold struct {
	t      *testing.T
	state  *State
	offset int64
}

func (f *fold) entry(kind record.Kind, author string, body any) record.Entry {
	f.offset++
	e := record.Envelope{Kind: kind, Author: author, Body: record.EncodeBody(body)}
	return record.Entry{Offset: f.offset, Envelope: e}
}

func (f *fold) apply(want bool, kind record.Kind, author string, body any) {
	f.t.Helper()
	if got := f.state.Apply(f.entry(kind, author, body)); got != want {
		f.t.Fatalf("%s by %s %+v: accepted %v, want %v", kind, author, body, got, want)
	}
}

func (f *fold) delta(seq, watermark, window, requests int64) {
	rows := []Row{{"c", "m", window, Sum{Requests: requests}}}
	f.state.ApplyUnchained(f.entry(KindDelta, "d", Delta{"d", seq, watermark, rows}))
}

func figure(requests, late int64) []hosting.UsageFigure {
	return []hosting.UsageFigure{{Customer: "c", Resource: "m", Requests: requests, Late: late}}
}

// Guards against a window that is closed twice, by a process that doesn't hold the
// lease, or with more usage than was counted, and against late usage that is lost.
func TestCloseRules(t *testing.T) {
	f := &fold{t: t, state: NewState(10)}
	f.delta(1, 100, 100, 5)
	f.apply(false, KindClose, "a", CloseBody{0, 100, nil})
	f.apply(true, lease.KindClaim, "a", lease.Body{VM: "a"})
	term := f.offset
	f.apply(false, KindClose, "b", CloseBody{term, 100, nil})
	f.apply(false, KindClose, "a", CloseBody{term, 100, figure(6, 0)})
	f.apply(false, KindClose, "a", CloseBody{term, 100, append(figure(3, 0), figure(3, 0)...)})
	f.apply(false, KindClose, "a", CloseBody{term, 101, figure(5, 0)})
	f.delta(2, 100, 100, 2)
	f.apply(true, KindClose, "a", CloseBody{term, 100, figure(5, 0)})
	f.apply(false, KindClose, "a", CloseBody{term, 100, figure(2, 0)})
	f.delta(2, 100, 100, 2)
	f.delta(3, 110, 110, 1)
	if got := f.state.Figures(110); len(got) != 1 || got[0] != figure(3, 2)[0] {
		t.Fatalf("figures of the next window: %+v", got)
	}
}

// Guards against a window that is reported twice, because it was reported before
// a genesis that made the fold forget it.
func TestOnlyLaterWindowsAfterGenesis(t *testing.T) {
	f := &fold{t: t, state: NewState(10)}
	f.state.Reset(f.entry(record.KindGenesis, "a", record.GenesisBody{Request: 0, AtMs: 105_000}))
	f.apply(true, lease.KindClaim, "a", lease.Body{VM: "a"})
	term := f.offset
	f.delta(1, 110, 100, 5)
	f.delta(2, 110, 110, 1)
	f.apply(false, KindClose, "a", CloseBody{term, 100, nil})
	if got := f.state.Figures(110); len(got) != 1 || got[0] != figure(1, 0)[0] {
		t.Fatalf("figures after a genesis: %+v", got)
	}
	f.apply(true, KindClose, "a", CloseBody{term, 110, figure(1, 0)})
}

// Guards against a delta that is counted twice, because it arrives again after the
// fold has forgotten which deltas of its daemon it has counted.
func TestUsageBeyondHorizonIsDropped(t *testing.T) {
	f := &fold{t: t, state: NewState(10)}
	f.apply(true, lease.KindClaim, "a", lease.Body{VM: "a"})
	term := f.offset
	f.delta(1, 100, 100, 5)
	f.apply(true, KindClose, "a", CloseBody{term, 100, figure(5, 0)})
	for i := range int64(Horizon + 1) {
		f.apply(true, KindClose, "a", CloseBody{term, 110 + 10*i, nil})
	}
	if len(f.state.sources) != 0 {
		t.Fatalf("%d sources are kept", len(f.state.sources))
	}
	f.delta(1, 100, 100, 5)
	if f.state.Pending() != (Sum{}) || len(f.state.sources) != 0 {
		t.Fatalf("counted again: %+v", f.state.Pending())
	}
}
