package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/mimosakeel/mimosakeel/backend"
)

// readBody reads the whole request body within the size limit and the time
// limit that setBodyDeadline set.
func (q *request) readBody() ([]byte, *Error) {
	limit := q.g.config.MaxBodyBytes
	if q.r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		_ = q.control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.w.Header().Set("Connection", "close")
		return nil, invalidRequest(http.StatusRequestTimeout, "body_timeout", "", "the request body did not arrive in time")
	}
	return nil, invalidRequest(http.StatusBadRequest, "body_truncated", "", "the request body could not be read")
}

func bodyTooLarge() *Error {
	return invalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", "", "the request body is too large")
}

// modelBody is the decoded body of a model request.
type modelBody struct {
	Model        string
	Stream       bool
	IncludeUsage bool
	Choices      int
	MaxTokens    int
	Prompt       string
	// Upstream is the body for the engine: all fields that the client sent,
	// with stream and stream_options set.
	Upstream []byte
}

const (
	maxModelName = 256
	maxChoices   = 128
)

// decodeModelBody parses the body of a completion request. Fields that the
// gateway does not know are forwarded to the engine.
func decodeModelBody(data []byte, chat bool) (*modelBody, *Error) {
	if !utf8.Valid(data) {
		return nil, invalidBody("", "the body is not UTF-8")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, invalidBody("", "the body is not a JSON object: "+err.Error())
	}
	if fields == nil {
		return nil, invalidBody("", "the body is not a JSON object")
	}
	b := &modelBody{Choices: 1}
	var maxCompletion int
	options := map[string]json.RawMessage{}
	targets := []struct {
		name   string
		target any
	}{
		{"model", &b.Model},
		{"stream", &b.Stream},
		{"n", &b.Choices},
		{"max_tokens", &b.MaxTokens},
		{"max_completion_tokens", &maxCompletion},
		{"stream_options", &options},
	}
	for _, t := range targets {
		if err := decodeField(fields, t.name, t.target); err != nil {
			return nil, err
		}
	}
	b.MaxTokens = max(b.MaxTokens, maxCompletion)
	if err := decodeField(options, "include_usage", &b.IncludeUsage); err != nil {
		return nil, err
	}
	if err := b.validate(); err != nil {
		return nil, err
	}
	var err *Error
	if b.Prompt, err = promptText(fields, chat); err != nil {
		return nil, err
	}
	return b, b.encodeUpstream(fields, options)
}

func (b *modelBody) validate() *Error {
	switch {
	case b.Model == "":
		return invalidBody("model", "model is required")
	case len(b.Model) > maxModelName:
		return invalidBody("model", "model name is too long")
	case b.Choices < 1 || b.Choices > maxChoices:
		return invalidBody("n", "n is out of range")
	case b.MaxTokens < 0:
		return invalidBody("max_tokens", "max_tokens must not be negative")
	}
	return nil
}

// encodeUpstream always requests a stream, because only a stream can be resumed
// on another engine.
func (b *modelBody) encodeUpstream(fields, options map[string]json.RawMessage) *Error {
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	encoded, err := json.Marshal(options)
	if err != nil {
		return invalidBody("stream_options", err.Error())
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = encoded
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return invalidBody("", err.Error())
	}
	b.Upstream = buffer.Bytes()
	return nil
}

func decodeField(fields map[string]json.RawMessage, name string, target any) *Error {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return invalidBody(name, "field "+name+" has the wrong type")
	}
	return nil
}

// promptText returns the text that the engine's prefix cache covers.
func promptText(fields map[string]json.RawMessage, chat bool) (string, *Error) {
	if !chat {
		return completionPrompt(fields["prompt"])
	}
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(fields["messages"], &messages) != nil || len(messages) == 0 {
		return "", invalidBody("messages", "messages must be a list with at least one message")
	}
	request := backend.CompletionRequest{}
	for _, m := range messages {
		request.Messages = append(request.Messages, backend.Message{Role: m.Role, Content: contentText(m.Content)})
	}
	return request.PromptText(), nil
}

// contentText returns the text of a message whose content is a string or a list
// of parts. Other content is returned in its JSON encoding.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return string(raw)
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(p.Text)
	}
	return joined.String()
}

// completionPrompt accepts a string or a list of strings or tokens. A list is
// returned in its JSON encoding.
func completionPrompt(raw json.RawMessage) (string, *Error) {
	var text string
	if len(raw) == 0 || string(raw) == "null" {
		return "", invalidBody("prompt", "prompt is required")
	}
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return "", invalidBody("prompt", "prompt must be a string or a list")
	}
	return string(raw), nil
}

func invalidBody(param, message string) *Error {
	return invalidRequest(http.StatusBadRequest, "invalid_body", param, message)
}

// checkJSONContentType refuses a body whose content type is not JSON or plain
// text. Requests without a content type are accepted.
func checkJSONContentType(h http.Header) *Error {
	value, err := singleHeader(h, "Content-Type")
	if err != nil || value == "" {
		return err
	}
	kind, _, parseErr := mime.ParseMediaType(value)
	if parseErr != nil || (kind != "application/json" && kind != "text/json" && kind != "text/plain") {
		return invalidRequest(http.StatusUnsupportedMediaType, "unsupported_media_type", "Content-Type", "the body must be application/json")
	}
	return nil
}
