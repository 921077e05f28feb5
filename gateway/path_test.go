package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// streamText returns the content of a streamed response and reports whether the
// response has the end marker.
func streamText(body string) (text string, whole bool) {
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		_ = json.Unmarshal([]byte(data), &chunk)
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

// Guards against a stream that lacks tokens or its end marker, contains
// internal fields of the engine, or is missing from the usage.
func TestStreamReachesClient(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 5}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		got := e.send("POST", "/v1/chat/completions", streamBody)
		text, whole := streamText(got.body)
		g.Expect(whole).To(BeTrue())
		g.Expect(text).To(Equal(enginetest.Text(5)))
		g.Expect(got.header.Get(HeaderRun)).To(Equal("done"))
		for _, leak := range []string{"position", "tokens", "engine_slot", "usage"} {
			g.Expect(got.body).NotTo(ContainSubstring(leak))
		}
		g.Expect(e.usageEntries()).To(ConsistOf(UsageEntry{Customer: "acme", Resource: "m", Requests: 1, TokensIn: 5, TokensOut: 5}))
		seen := engine.Requests()[0]
		g.Expect(seen.Header).NotTo(HaveKey("Authorization"))
		g.Expect(seen.Header.Get("X-Customer")).To(Equal("acme"))
	}, engine)
}

// Guards against include_usage being ignored, or the token counts being sent
// with every chunk.
func TestIncludeUsageAddsOneChunk(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		body := strings.Replace(streamBody, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1)
		got := e.send("POST", "/v1/chat/completions", body)
		g.Expect(strings.Count(got.body, `"completion_tokens":2`)).To(Equal(1))
		g.Expect(strings.Count(got.body, `"usage":null`)).To(Equal(3))
		g.Expect(got.body).To(ContainSubstring(`"choices":[],"usage"`))
	}, &enginetest.Engine{Tokens: 2})
}

// Guards against wrong assembly of responses that are not streamed, and against
// unknown fields that are not forwarded to the engine.
func TestNonStreamedResponseIsAssembled(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 3}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		got := e.send("POST", "/v1/chat/completions", strings.Replace(chatBody, `"model"`, `"top_k":7,"model"`, 1))
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.body).To(MatchJSON(`{"id":"` + engine.Requests()[0].ID + `","object":"chat.completion","created":7,"model":"m",
			"choices":[{"index":0,"message":{"role":"assistant","content":"t0 t1 t2 "},"logprobs":null,"finish_reason":"stop"}],
			"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8}}`))
		g.Expect(engine.Requests()[0].Body).To(HaveKeyWithValue("top_k", 7.0))
		got = e.send("POST", "/v1/completions", `{"model":"m","prompt":"x"}`)
		g.Expect(got.body).To(ContainSubstring(`"text":"t0 t1 t2 "`))
	}, engine)
}

// Guards against keys, cookies and hop-by-hop headers that reach a service, and
// against a changed path or response.
func TestServiceCallIsForwarded(t *testing.T) {
	var seen *http.Request
	service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
		data, _ := io.ReadAll(r.Body)
		w.Header().Set("Set-Cookie", "a=b")
		w.WriteHeader(201)
		_, _ = w.Write(append([]byte("got "), data...))
	})
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		got := e.send("POST", "/services/stamps/a%2Fb/c?x=1", "body", "Cookie: s=1", "X-Api-Key: "+testKey,
			"Api-Key: "+testKey, "Connection: X-Drop", "X-Drop: 1", "X-Keep: 1", "X-Customer: forged")
		g.Expect(got.status).To(Equal(201))
		g.Expect(got.body).To(Equal("got body"))
		g.Expect(got.header).NotTo(HaveKey("Set-Cookie"))
		g.Expect(seen.RequestURI).To(Equal("/a%2Fb/c?x=1"))
		for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie", "X-Drop"} {
			g.Expect(seen.Header).NotTo(HaveKey(name))
		}
		g.Expect(seen.Header.Get("X-Customer")).To(Equal("acme"))
		g.Expect(seen.Header.Get("X-Keep")).To(Equal("1"))
		g.Expect(seen.Header.Get("X-Request-Id")).NotTo(BeEmpty())
	}, service)
}
