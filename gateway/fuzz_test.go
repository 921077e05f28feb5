package gateway

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzModelBody guards against a body that makes the decoder panic, and against
// an upstream body that is not a stream request for the same model.
func FuzzModelBody(f *testing.F) {
	for _, seed := range []string{
		chatBody, streamBody, `null`, `[]`, `{"model":"m","prompt":["a","b"]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image_url"}]}],"n":2}`,
		`{"model":"m","messages":[{}],"stream_options":{"include_usage":true,"x":1},"max_completion_tokens":5}`,
		`{"model":"a","model":"m","messages":[{"content":1}],"stream":null,"stream_options":null}`,
		`{"model":"m","prompt":"` + strings.Repeat("x", 300) + `","tools":{"a":[[[1e999]]]}}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		body, err := decodeModelBody(data, chat)
		if err != nil {
			if err.Status != 400 || err.Run != RunNever || err.Message == "" || err.Code == "" {
				t.Fatalf("incomplete error: %+v", err)
			}
			return
		}
		var upstream struct {
			Model         string
			Stream        bool
			StreamOptions struct {
				IncludeUsage bool `json:"include_usage"`
			} `json:"stream_options"`
		}
		if jsonErr := json.Unmarshal(body.Upstream, &upstream); jsonErr != nil {
			t.Fatalf("upstream body is not JSON: %v", jsonErr)
		}
		if !upstream.Stream || !upstream.StreamOptions.IncludeUsage || body.Choices < 1 {
			t.Fatalf("upstream body does not ask for a stream with usage: %s", body.Upstream)
		}
		again, err := decodeModelBody(body.Upstream, chat)
		if err != nil || again.Model != body.Model || again.MaxTokens != body.MaxTokens || !again.Stream {
			t.Fatalf("upstream body is decoded differently: %s", body.Upstream)
		}
	})
}
