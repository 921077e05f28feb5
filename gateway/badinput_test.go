package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// errorCode returns the code and run state of an error response, and checks
// that the header agrees with the body.
func errorCode(g *WithT, got clientResponse) (code, run string) {
	g.Expect(got.err).NotTo(HaveOccurred())
	var body struct {
		Error struct{ Message, Type, Code, Run string }
	}
	g.Expect(json.Unmarshal([]byte(got.body), &body)).To(Succeed(), got.body)
	g.Expect(body.Error.Message).NotTo(BeEmpty())
	g.Expect(body.Error.Type).NotTo(BeEmpty())
	g.Expect(got.header.Get(HeaderRun)).To(Equal(body.Error.Run))
	return body.Error.Code, body.Error.Run
}

// Guards against bad input that is accepted, gets an error without a code, or
// crashes the gateway.
func TestBadInputGetsTypedErrors(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/chat/completions", chatBody, []string{"Authorization"}, 401, "missing_key"},
		{"unknown key", "POST", "/v1/chat/completions", chatBody, []string{"Authorization", "X-Api-Key: no"}, 401, "invalid_key"},
		{"two Authorization headers", "POST", "/v1/chat/completions", chatBody, []string{"Authorization: Bearer x"}, 400, "duplicate_header"},
		{"conflicting keys", "POST", "/v1/chat/completions", chatBody, []string{"Api-Key: x"}, 400, "conflicting_keys"},
		{"basic authorization", "POST", "/v1/chat/completions", chatBody, []string{"Authorization", "Authorization: Basic eA=="}, 401, "invalid_authorization"},
		{"malformed", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "invalid_body"},
		{"null", "POST", "/v1/chat/completions", `null`, nil, 400, "invalid_body"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, nil, 400, "invalid_body"},
		{"no model", "POST", "/v1/chat/completions", `{}`, nil, 400, "invalid_body"},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":"m","stream":"yes"}`, nil, 400, "invalid_body"},
		{"not UTF-8", "POST", "/v1/chat/completions", "{\"model\":\"\xff\"}", nil, 400, "invalid_body"},
		{"oversized", "POST", "/v1/chat/completions", strings.Repeat(" ", 2000), nil, 413, "body_too_large"},
		{"media type", "POST", "/v1/chat/completions", chatBody, []string{"Content-Type: image/png"}, 415, "unsupported_media_type"},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chatBody, `"m"`, `"x"`, 1), nil, 404, "model_not_found"},
		{"forbidden model", "POST", "/v1/chat/completions", strings.Replace(chatBody, `"m"`, `"other"`, 1), nil, 404, "model_not_found"},
		{"deadline", "POST", "/v1/chat/completions", chatBody, []string{HeaderDeadlineMs + ": -1"}, 400, "invalid_deadline"},
		{"priority", "POST", "/v1/chat/completions", chatBody, []string{HeaderPriority + ": high"}, 400, "invalid_priority"},
		{"unknown route", "GET", "/v2/x", "", nil, 404, "unknown_route"},
		{"method", "GET", "/v1/chat/completions", "", nil, 405, "method_not_allowed"},
		{"unknown service", "GET", "/services/x/y", "", nil, 404, "service_not_found"},
		{"dot segments", "GET", "/services/stamps/%2e%2E/y", "", nil, 400, "invalid_path"},
		{"claims are absent", "POST", "/services/stamps/y", "", []string{HeaderIdempotencyKey + ": k"}, 503, "claims_unavailable"},
	}
	runWithGateway(t, Config{MaxBodyBytes: 1000}, func(e *testEnv) {
		for _, c := range cases {
			g := NewWithT(e.t)
			got := e.send(c.method, c.path, c.body, c.headers...)
			code, run := errorCode(g, got)
			g.Expect(got.status).To(Equal(c.status), c.name)
			g.Expect(code).To(Equal(c.code), c.name)
			g.Expect(run).To(Equal("not_run"), c.name)
		}
		NewWithT(e.t).Expect(e.send("POST", "/v1/chat/completions", chatBody).status).To(Equal(200))
	}, &enginetest.Engine{Tokens: 1})
}

// Guards against a request that stays open forever because its body never
// arrives.
func TestSlowAndTruncatedBodies(t *testing.T) {
	runWithGateway(t, Config{BodyTimeout: 2 * time.Second}, func(e *testEnv) {
		g := NewWithT(e.t)
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 50\r\n\r\n{"
		start := time.Now()
		status, rest := e.sendRaw(head)
		g.Expect(status).To(ContainSubstring("408"))
		g.Expect(rest).To(ContainSubstring("body_timeout"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		g.Expect(e.gateway.Outstanding()).To(BeZero())

		// net/http reads the body of a refused request before it closes the
		// connection.
		conn, err := e.dial(context.Background(), "tcp", "gateway:80")
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		start = time.Now()
		go func() { _, _ = io.WriteString(conn, strings.Replace(head, testKey, "wrong", 1)) }()
		response, _ := io.ReadAll(conn)
		g.Expect(string(response)).To(ContainSubstring("invalid_key"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	}, &enginetest.Engine{Tokens: 1})
}

// Guards against requests with a key that are served while the state of keys is
// unknown, and against open services that are refused for the same reason.
func TestUnknownKeyStateStopsKeyedRequestsOnly(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) })
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		e.keysUnverified.Store(true)
		got := e.send("POST", "/v1/chat/completions", chatBody)
		code, run := errorCode(g, got)
		g.Expect([]any{got.status, code, run}).To(Equal([]any{503, "key_state_unknown", "not_run"}))
		g.Expect(got.header.Get("Retry-After")).To(Equal("1"))
		g.Expect(e.send("GET", "/services/open/x", "", "Authorization").status).To(Equal(204))
	}, service)
}
