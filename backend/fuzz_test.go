package backend

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzEvents guards against events that depend on how the stream is split into
// reads, against events larger than MaxEventBytes, and against chunks with
// negative positions or token counts.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"a\",\"position\":0,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\ndata: [DONE]\n\n",
		": hb\n\n: hb\n\n", "data:a\ndata: b\r\n\r\nevent: x\ndata: c\n\n", "data: cut off", "\n\n\n", "data\n\ndata:\n\n",
		"data: {\"position\":-1}\n\ndata: null\n\ndata: []\n\ndata: {\"choices\":[{\"delta\":5}]}\n\n",
		"data: " + strings.Repeat("y", 5000) + "\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := readEvents(t, bytes.NewReader(data))
		cut := readEvents(t, iotest.OneByteReader(bytes.NewReader(data)))
		if strings.Join(whole, "\x00") != strings.Join(cut, "\x00") {
			t.Fatalf("events depend on the sizes of the reads: %q, %q", whole, cut)
		}
	})
}

func readEvents(t *testing.T, r io.Reader) []string {
	var events []string
	reader := NewEventReader(r)
	for {
		data, err := reader.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, ErrEventTooLong) {
				t.Fatalf("unexpected error: %v", err)
			}
			return events
		}
		if len(data) > MaxEventBytes {
			t.Fatalf("event of %d bytes", len(data))
		}
		events = append(events, string(data))
		checkChunk(t, data)
	}
}

func checkChunk(t *testing.T, data []byte) {
	chunk, err := DecodeChunk(data)
	if err != nil {
		if !errors.Is(err, ErrBadFrame) {
			t.Fatalf("error is not ErrBadFrame: %v", err)
		}
		return
	}
	_ = chunk.HasContent()
	if chunk.Tokens < 0 || (chunk.Position != nil && *chunk.Position < 0) {
		t.Fatalf("chunk with a negative position or token count: %+v", chunk)
	}
}
