package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/mimosakeel/mimosakeel/backend"
)

// clientChunk is a frame as sent to the client. It contains only the fields of
// the OpenAI API, not the additional fields of the engine.
type clientChunk struct {
	ID                string                `json:"id"`
	Object            string                `json:"object"`
	Created           int64                 `json:"created"`
	Model             string                `json:"model"`
	SystemFingerprint json.RawMessage       `json:"system_fingerprint,omitempty"`
	Choices           []backend.ChunkChoice `json:"choices"`
	// Usage is absent, null or the token counts, depending on stream_options.
	Usage json.RawMessage `json:"usage,omitempty"`
}

var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest buffer in bytes that is reused, so that one
// large frame doesn't stay in memory.
const maxPooledBuffer = 64 << 10

// writeFrame writes one server-sent event and flushes it.
func (q *request) writeFrame(frame any) error {
	buffer := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxPooledBuffer {
			frameBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	buffer.WriteString("data: ")
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(frame); err != nil {
		return err
	}
	buffer.WriteByte('\n')
	return q.writeAndFlush(buffer.Bytes())
}

func (q *request) writeAndFlush(data []byte) error {
	q.extendWriteDeadline()
	if !q.headerSent {
		q.headerSent = true
		q.g.metrics.firstByte.Update(q.g.Clock.Now().Sub(q.started).Seconds())
		setStreamHeaders(q.w.Header())
		q.w.WriteHeader(http.StatusOK)
	}
	if _, err := q.w.Write(data); err != nil {
		return err
	}
	return q.control.Flush()
}

// writeStreamError ends a started stream with an error event and no end marker.
func (q *request) writeStreamError(e *Error) {
	q.extendWriteDeadline()
	_, _ = q.w.Write([]byte("data: "))
	_, _ = q.w.Write(e.body())
	_, _ = q.w.Write([]byte("\n\n"))
	_ = q.control.Flush()
}

// streamSink writes each frame as a server-sent event.
type streamSink struct {
	created int64
	object  string
}

var nullJSON = json.RawMessage("null")

func (s *streamSink) writeChunk(q *request, c *backend.Chunk) error {
	if s.object == "" {
		s.object, s.created = q.model.chunkObject(), c.Created
	}
	frame := clientChunk{
		ID:                q.id,
		Object:            s.object,
		Created:           s.created,
		Model:             q.model.body.Model,
		SystemFingerprint: c.SystemFingerprint,
		Choices:           c.Choices,
	}
	if q.model.body.IncludeUsage {
		frame.Usage = nullJSON
	}
	return q.writeFrame(&frame)
}

func (s *streamSink) finish(q *request) error {
	if q.model.body.IncludeUsage {
		usage, err := json.Marshal(q.model.usage())
		if err != nil {
			return err
		}
		frame := clientChunk{
			ID:      q.id,
			Object:  s.object,
			Created: s.created,
			Model:   q.model.body.Model,
			Choices: []backend.ChunkChoice{},
			Usage:   usage,
		}
		if err := q.writeFrame(&frame); err != nil {
			return err
		}
	}
	return q.writeAndFlush([]byte("data: [DONE]\n\n"))
}

// chunkObject returns the object type of streamed frames in the OpenAI API.
func (m *modelCall) chunkObject() string {
	if m.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// usage returns the token counts of the response. The output tokens are the
// delivered positions, so that a position that was sent again after a resume
// counts once.
func (m *modelCall) usage() backend.Usage {
	u := backend.Usage{PromptTokens: m.promptTokens, CompletionTokens: m.validator.nextPosition}
	if m.validator.usage != nil && m.validator.usage.PromptTokens > 0 {
		u.PromptTokens = m.validator.usage.PromptTokens
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
