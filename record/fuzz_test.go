package record

import (
	"bytes"
	"testing"
)

// Guards against a panic or an invalid envelope when Decode gets arbitrary
// bytes, and against an encoding that changes in a round trip.
func FuzzDecode(f *testing.F) {
	e := Envelope{Format: Format, ID: "a/1", Kind: "claim", Subject: "orders/x", Prev: NoOffset, Seen: NoOffset, Author: "a"}
	f.Add(Encode(e))
	e.Prev, e.Seen, e.Parts, e.Part, e.Body = 3, 9, 2, 1, []byte{1, 2}
	f.Add(Encode(e))
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data)
		if err != nil {
			return
		}
		if got.ID == "" || got.Prev > got.Seen || got.Prev < NoOffset || got.Format != Format {
			t.Fatalf("accepted inconsistent envelope %+v", got)
		}
		again, err := Decode(Encode(got))
		if err != nil || !bytes.Equal(Encode(again), Encode(got)) {
			t.Fatalf("round trip of %+v: %+v, %v", got, again, err)
		}
	})
}
