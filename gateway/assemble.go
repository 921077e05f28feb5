package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/mimosakeel/mimosakeel/backend"
)

// bufferingSink assembles a complete response from the engine's stream. The
// engine always streams, so that a response that is not streamed to the client
// can be resumed as well.
type bufferingSink struct {
	created           int64
	systemFingerprint json.RawMessage
	choices           []choiceBuilder
}

// choiceBuilder collects one choice. The content, which is by far the largest
// part, is kept apart from the other fields of the message.
type choiceBuilder struct {
	content    strings.Builder
	hasContent bool
	message    map[string]any
	logprobs   map[string]any
	finish     *string
}

type completionResponse struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	SystemFingerprint json.RawMessage    `json:"system_fingerprint,omitempty"`
	Choices           []completionChoice `json:"choices"`
	Usage             backend.Usage      `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      map[string]any `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     map[string]any `json:"logprobs"`
	FinishReason *string        `json:"finish_reason"`
}

func (s *bufferingSink) writeChunk(q *request, c *backend.Chunk) error {
	if s.created == 0 {
		s.created, s.systemFingerprint = c.Created, c.SystemFingerprint
	}
	if s.choices == nil {
		s.choices = make([]choiceBuilder, q.model.validator.choices)
	}
	for i := range c.Choices {
		choice := &c.Choices[i]
		if choice.Index < 0 || choice.Index >= len(s.choices) {
			continue
		}
		s.choices[choice.Index].add(choice)
	}
	return nil
}

func (b *choiceBuilder) add(c *backend.ChunkChoice) {
	if c.Text != nil {
		b.hasContent = true
		b.content.WriteString(*c.Text)
	}
	if len(c.Delta) > 0 {
		b.addDelta(c.Delta)
	}
	if len(c.Logprobs) > 0 && string(c.Logprobs) != "null" {
		b.logprobs = mergeRaw(b.logprobs, c.Logprobs)
	}
	if c.FinishReason != nil {
		b.finish = c.FinishReason
	}
}

func (b *choiceBuilder) addDelta(raw json.RawMessage) {
	fields := decodeObject(raw)
	if text, ok := fields["content"].(string); ok {
		b.hasContent = true
		b.content.WriteString(text)
		delete(fields, "content")
	}
	if len(fields) > 0 {
		b.message = mergeObject(b.message, fields)
	}
}

func (s *bufferingSink) finish(q *request) error {
	response := completionResponse{
		ID:                q.id,
		Object:            "text_completion",
		Created:           s.created,
		Model:             q.model.body.Model,
		SystemFingerprint: s.systemFingerprint,
		Usage:             q.model.usage(),
		Choices:           make([]completionChoice, 0, len(s.choices)),
	}
	if q.model.chat {
		response.Object = "chat.completion"
	}
	for i := range s.choices {
		response.Choices = append(response.Choices, s.choices[i].build(i, q.model.chat))
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&response); err != nil {
		return err
	}
	return q.writeJSON(http.StatusOK, body.Bytes())
}

func (b *choiceBuilder) build(index int, chat bool) completionChoice {
	choice := completionChoice{Index: index, Logprobs: b.logprobs, FinishReason: b.finish}
	text := b.content.String()
	if !chat {
		choice.Text = &text
		return choice
	}
	choice.Message = map[string]any{"role": "assistant", "content": nil}
	for name, value := range b.message {
		choice.Message[name] = value
	}
	if b.hasContent {
		choice.Message["content"] = text
	}
	if calls, ok := choice.Message["tool_calls"].([]any); ok {
		removeIndexes(calls)
	}
	return choice
}

// removeIndexes removes the field "index", which only streamed tool calls have.
func removeIndexes(calls []any) {
	for _, call := range calls {
		if fields, ok := call.(map[string]any); ok {
			delete(fields, "index")
		}
	}
}

func (q *request) writeJSON(status int, body []byte) error {
	q.extendWriteDeadline()
	q.headerSent = true
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRun, string(RunDone))
	q.w.WriteHeader(status)
	if _, err := q.w.Write(body); err != nil {
		return err
	}
	return q.control.Flush()
}

func decodeObject(raw json.RawMessage) map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return nil
	}
	return fields
}

func mergeRaw(into map[string]any, raw json.RawMessage) map[string]any {
	return mergeObject(into, decodeObject(raw))
}

// unsplitFields are the string fields that arrive complete in one frame. All
// other strings arrive in pieces.
var unsplitFields = map[string]struct{}{"role": {}, "id": {}, "type": {}, "name": {}}

// mergeObject merges the fields of a delta: strings are concatenated, lists are
// appended to and objects are merged.
func mergeObject(into, delta map[string]any) map[string]any {
	if into == nil {
		into = map[string]any{}
	}
	for name, value := range delta {
		into[name] = mergeValue(name, into[name], value)
	}
	return into
}

func mergeValue(name string, old, value any) any {
	switch v := value.(type) {
	case nil:
		return old
	case string:
		before, ok := old.(string)
		if _, whole := unsplitFields[name]; !ok || whole {
			return v
		}
		return before + v
	case map[string]any:
		before, _ := old.(map[string]any)
		return mergeObject(before, v)
	case []any:
		before, _ := old.([]any)
		return mergeList(before, v)
	}
	return value
}

// mergeList appends the elements. An element with an index, such as a tool
// call, is merged with the element of the same index.
func mergeList(into, delta []any) []any {
	for _, element := range delta {
		at := findIndex(into, element)
		if at < 0 {
			into = append(into, element)
			continue
		}
		before, _ := into[at].(map[string]any)
		into[at] = mergeObject(before, element.(map[string]any))
	}
	return into
}

func findIndex(list []any, element any) int {
	fields, ok := element.(map[string]any)
	if !ok || fields["index"] == nil {
		return -1
	}
	for i := range list {
		other, ok := list[i].(map[string]any)
		if ok && other["index"] == fields["index"] {
			return i
		}
	}
	return -1
}
