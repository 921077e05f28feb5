package record

import "testing"

// Guards against a second record with the same predecessor being accepted.
func TestFirstOfTwoSuccessorsIsAccepted(t *testing.T) {
	c := NewChain("s", &nopState{}, 0)
	first := Entry{Offset: 0, Envelope: Envelope{Kind: "k", Prev: NoOffset, Seen: NoOffset}}
	second := first
	second.Offset = 1
	if got := c.Apply(first)[0].Verdict; got != Accepted {
		t.Fatalf("first record: %v", got)
	}
	if got := c.Apply(second)[0].Verdict; got != Stale {
		t.Fatalf("second record: %v", got)
	}
}

type nopState struct{}

func (*nopState) Apply(Entry) bool     { return true }
func (*nopState) Snapshot() []byte     { return nil }
func (*nopState) Restore([]byte) error { return nil }
func (*nopState) Reset(Entry)          {}

// Guards against a late reader that rejects a genesis that all other readers
// accepted. It happens when the first checkpoint that could anchor the reader
// was written before its author had read the genesis, but follows the genesis in
// the log.
func TestLateReaderAgreesOnGenesisBehindAnOldCheckpoint(t *testing.T) {
	log := []Entry{
		{Offset: 0, Envelope: Envelope{Kind: "k", Prev: NoOffset, Seen: NoOffset}},
		{Offset: 1, Envelope: Envelope{Kind: KindAnchorRequest, Prev: NoOffset, Seen: NoOffset}},
		{Offset: 2, Envelope: Envelope{Kind: "k", Prev: NoOffset, Seen: NoOffset}},
		{Offset: 3, Envelope: Envelope{Kind: KindGenesis, Prev: NoOffset, Seen: NoOffset, Body: EncodeBody(GenesisBody{Request: 1})}},
	}
	early := NewChain("s", &nopState{}, 0)
	late := NewChain("s", &nopState{}, 2)
	newID := func() string { return "id" }
	var old Envelope
	for _, e := range log {
		if e.Offset == 3 {
			old = early.Checkpoint("author", newID, MaxRecordBytes)[0]
		}
		early.Apply(e)
		if e.Offset >= 2 {
			late.Apply(e)
		}
	}
	if early.Head() != 3 || old.Seen != 2 {
		t.Fatalf("early reader has head %d, old checkpoint was written at %d", early.Head(), old.Seen)
	}
	checkpoints := []Envelope{old, early.Checkpoint("author", newID, MaxRecordBytes)[0]}
	for i, e := range checkpoints {
		late.Apply(Entry{Offset: int64(4 + i), Envelope: e})
		if late.Anchored() && late.Head() != early.Head() {
			t.Fatalf("after checkpoint %d the late reader has head %d, the early one %d", i, late.Head(), early.Head())
		}
	}
	if !late.Anchored() {
		t.Fatal("late reader was not anchored")
	}
}
