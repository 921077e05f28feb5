package record

import (
	"testing"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Guards against a reader that drops the first record of a subject when it
// creates the subject's chain for it: its head would differ from that of readers
// that created the chain earlier, and it could claim a lease that others see as
// held.
func TestFirstRecordOfNewSubjectIsApplied(t *testing.T) {
	first := Envelope{Format: Format, ID: "a/1", Kind: "k", Subject: "s", Prev: NoOffset, Seen: NoOffset, Author: "a"}
	second := Envelope{Format: Format, ID: "a/2", Kind: "k", Subject: "s", Prev: 3, Seen: 3, Author: "a"}
	malformed := hosting.Record{Offset: 0, Data: []byte("no envelope")}
	for _, early := range []bool{true, false} {
		stream := NewStream(0, func(string) State { return &listState{} })
		if early {
			stream.Chain("s")
		}
		other := Envelope{Format: Format, ID: "b/1", Kind: "k", Subject: "other", Prev: NoOffset, Seen: NoOffset, Author: "b"}
		page := hosting.Page{Next: 5, Records: []hosting.Record{
			malformed,
			{Offset: 1, Data: Encode(other)},
			{Offset: 2, Data: []byte("no envelope")},
			{Offset: 3, Data: Encode(first)},
			{Offset: 4, Data: Encode(second)},
		}}
		decisions, err := stream.Apply(page)
		if err != nil || len(decisions) != 3 {
			t.Fatalf("early %t: decisions %v, error %v", early, decisions, err)
		}
		for _, d := range decisions {
			if d.Verdict != Accepted {
				t.Errorf("early %t: record %d is %s", early, d.Entry.Offset, d.Verdict)
			}
		}
		if head := stream.Chain("s").Head(); head != 4 {
			t.Errorf("early %t: head %d, want 4", early, head)
		}
	}
}

// Guards against unchained records that do not reach the state of their subject, or
// that reach it more than once.
func TestUnchainedRecordsAreAppliedOnce(t *testing.T) {
	state := &listState{}
	stream := NewStream(0, func(string) State { return state })
	note := Envelope{Format: Format, ID: "a/1", Kind: "note", Subject: "s", Prev: NoOffset, Seen: NoOffset, Author: "a"}
	first := Envelope{Format: Format, ID: "a/2", Kind: "k", Subject: "s", Prev: NoOffset, Seen: NoOffset, Author: "a"}
	page := hosting.Page{Next: 3, Records: []hosting.Record{
		{Offset: 0, Data: Encode(note)}, {Offset: 1, Data: Encode(first)}, {Offset: 2, Data: Encode(note)},
	}}
	if _, err := stream.Apply(page); err != nil {
		t.Fatal(err)
	}
	if len(state.Noted) != 1 || state.Noted["a/1"] != 0 || len(state.Accepted) != 1 {
		t.Errorf("state %+v, want one note at offset 0 and one accepted record", state)
	}
}
