package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxEventBytes is the maximum size of one server-sent event of an engine.
	MaxEventBytes = 1 << 20
	sseReadBytes  = 2 << 10
)

// Errors of EventReader and DecodeChunk.
var (
	ErrEventTooLong = eris.New("server-sent event is too long")
	ErrBadFrame     = eris.New("frame is not a completion chunk")
)

// EventReader reads server-sent events from a stream.
type EventReader struct {
	r    *bufio.Reader
	data []byte
}

// NewEventReader returns a reader of the server-sent events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, sseReadBytes)}
}

// Next returns the data of the next event; it is valid until the next call.
// Comments and fields other than data are skipped. An event that is incomplete at
// the end of the stream is dropped, as the format requires. The error is that of
// the underlying reader, io.EOF at the end, or ErrEventTooLong.
func (e *EventReader) Next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		start := len(e.data)
		if err := e.readLine(); err != nil {
			return nil, err
		}
		line := bytes.TrimRight(e.data[start:], "\r\n")
		if len(line) == 0 {
			e.data = e.data[:start]
			if seen {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			e.data = e.data[:start]
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		e.appendValue(start, value, seen)
		seen = true
	}
}

// appendValue moves value, which is a part of e.data after start, to start, the
// end of the event so far. joined inserts a line feed before it, which separates
// the data lines of an event.
func (e *EventReader) appendValue(start int, value []byte, joined bool) {
	if joined {
		e.data[start] = '\n'
		start++
	}
	n := copy(e.data[start:], value)
	e.data = e.data[:start+n]
}

// readLine appends the next line to e.data. It fails with ErrEventTooLong if the
// data exceeds MaxEventBytes.
func (e *EventReader) readLine() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.data = append(e.data, part...)
		if len(e.data) > MaxEventBytes {
			return ErrEventTooLong
		}
		if err == nil {
			return nil
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// ChunkChoice is one alternative in a chunk. Delta and Logprobs are passed on
// undecoded, so that fields unknown to this code are preserved.
type ChunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Chunk is one decoded event of the stream of an engine.
type Chunk struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices           []ChunkChoice   `json:"choices"`
	Usage             *Usage          `json:"usage,omitempty"`
	Position          *int            `json:"position,omitempty"`
	Tokens            int             `json:"tokens,omitempty"`
	Error             json.RawMessage `json:"error,omitempty"`
	// Done marks the end of the stream; all other fields are then empty.
	Done bool `json:"-"`
}

var doneMarker = []byte("[DONE]")

// DecodeChunk decodes the data of one event. It fails with ErrBadFrame.
func DecodeChunk(data []byte) (*Chunk, error) {
	if bytes.Equal(data, doneMarker) {
		return &Chunk{Done: true}, nil
	}
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, eris.Wrap(ErrBadFrame, err.Error())
	}
	if chunk.Tokens < 0 || (chunk.Position != nil && *chunk.Position < 0) {
		return nil, eris.Wrap(ErrBadFrame, "negative position or token count")
	}
	return chunk, nil
}

// HasContent reports whether the chunk carries generated output.
func (c *Chunk) HasContent() bool {
	for i := range c.Choices {
		if c.Choices[i].hasContent() {
			return true
		}
	}
	return false
}

func (c *ChunkChoice) hasContent() bool {
	if c.Text != nil && *c.Text != "" {
		return true
	}
	if len(c.Delta) == 0 {
		return false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(c.Delta, &fields) != nil {
		return false
	}
	for name, value := range fields {
		empty := string(value) == "null" || string(value) == `""`
		if name != "role" && !empty {
			return true
		}
	}
	return false
}
