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
