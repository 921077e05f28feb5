package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// breakAt closes the connection after the frame at this position.
func breakAt(at int) func(*http.Request, int, string) ([]string, bool) {
	return func(_ *http.Request, i int, frame string) ([]string, bool) {
		return []string{frame}, i != at
	}
}

// Guards against a response that is lost, has repeated tokens or is truncated
// when its engine fails in the middle, both streamed and not streamed.
func TestBrokenStreamResumesAtLastPosition(t *testing.T) {
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	faults := map[string]http.Handler{
		"connection breaks":  &enginetest.Engine{Tokens: 6, RewriteFrames: breakAt(2)},
		"no end marker":      &enginetest.Engine{Tokens: 6, RewriteFrames: breakAt(6)},
		"silence":            &enginetest.Engine{Tokens: 6, HangAt: 3},
		"silence at start":   silent,
		"busy":               &enginetest.Engine{Status: 429},
		"frame is lost":      &enginetest.Engine{Tokens: 6, RewriteFrames: func(_ *http.Request, i int, f string) ([]string, bool) { return frameIf(i != 2, f), true }},
		"last frame is lost": &enginetest.Engine{Tokens: 6, RewriteFrames: func(_ *http.Request, i int, f string) ([]string, bool) { return frameIf(i != 5, f), true }},
		"error frame": &enginetest.Engine{Tokens: 6, RewriteFrames: func(_ *http.Request, i int, f string) ([]string, bool) {
			return chooseFrame(i == 3, `{"error":{}}`, f), true
		}},
		"overlong line": &enginetest.Engine{Tokens: 6, RewriteFrames: func(_ *http.Request, i int, f string) ([]string, bool) {
			return chooseFrame(i == 3, strings.Repeat("x", 2<<20), f), true
		}},
	}
	for name, faulty := range faults {
		t.Run(name, func(t *testing.T) {
			second := &enginetest.Engine{Tokens: 6}
			runWithGateway(t, Config{}, func(e *testEnv) {
				g := NewWithT(e.t)
				text, whole := streamText(e.send("POST", "/v1/chat/completions", streamBody).body)
				g.Expect(whole).To(BeTrue())
				g.Expect(text).To(Equal(enginetest.Text(6)))
				got := e.send("POST", "/v1/chat/completions", chatBody)
				g.Expect(got.body).To(ContainSubstring(`"content":"` + enginetest.Text(6) + `"`))
				g.Expect(second.Requests()).To(HaveLen(2))
				used := UsageEntry{Customer: "acme", Resource: "m", Requests: 1, TokensIn: 5, TokensOut: 6}
				g.Expect(e.usageEntries()).To(Equal([]UsageEntry{used, used}))
				g.Expect(e.releases()).To(HaveLen(4))
			}, faulty, second)
		})
	}
}

func frameIf(cond bool, frame string) []string {
	if cond {
		return []string{frame}
	}
	return nil
}

func chooseFrame(cond bool, yes, no string) []string {
	if cond {
		return []string{yes}
	}
	return []string{no}
}

// Guards against frames of other requests or attempts, late frames and
// malformed frames reaching the client.
func TestForeignFramesAreDropped(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 4}
	engine.RewriteFrames = func(_ *http.Request, i int, frame string) ([]string, bool) {
		crossed := strings.Replace(frame, `"id":"req-`, `"id":"req-x`, 1)
		late := engine.Frame("other", 0, "/v1/chat/completions")
		return []string{crossed, "{garbage", frame, frame, late, `[]`, `{"id":5}`}, true
	}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		text, whole := streamText(e.send("POST", "/v1/chat/completions", streamBody).body)
		g.Expect(whole).To(BeTrue())
		g.Expect(text).To(Equal(enginetest.Text(4)))
		m := e.gateway.metrics
		g.Expect(m.drops[dropCrossed].Get()).To(BeEquivalentTo(10))
		g.Expect(m.drops[dropLate].Get()).To(BeEquivalentTo(4))
		g.Expect(m.drops[dropMalformed].Get()).To(BeEquivalentTo(15))
		g.Expect(m.drops[dropDuplicate].Get()).To(BeEquivalentTo(1))
	}, engine)
}

// Guards against a broken stream that looks complete to the client when no
// engine is left to resume it.
func TestStreamThatCannotResumeEndsWithError(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		got := e.send("POST", "/v1/chat/completions", streamBody)
		_, whole := streamText(got.body)
		g.Expect(whole).To(BeFalse())
		g.Expect(got.body).To(ContainSubstring(`"code":"no_engine"`))
		g.Expect(got.body).To(ContainSubstring(`"run":"unknown"`))
		got = e.send("POST", "/v1/chat/completions", chatBody)
		code, run := errorCode(g, got)
		g.Expect([]any{got.status, code, run}).To(Equal([]any{503, "no_engine", "unknown"}))
		g.Expect(got.header.Get("Retry-After")).To(Equal("2"))
	}, &enginetest.Engine{Tokens: 6, RewriteFrames: breakAt(2)})
}

// Guards against an engine that continues to generate after the client has
// left.
func TestClientLeavingCancelsAtEngine(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 100, Delay: time.Second}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		e.sendContext(ctx, "POST", "/v1/chat/completions", streamBody)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(engine.Canceled()).To(Equal([]string{engine.Requests()[0].ID}))
		g.Expect(e.gateway.Outstanding()).To(BeZero())
		g.Expect(e.releases()).To(HaveLen(1))
	}, engine)
}

// Guards against streams that continue after their key was withdrawn, even if
// the engine is silent between two tokens.
func TestWithdrawnKeyEndsItsStreams(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 100, Delay: 20 * time.Second}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		start := time.Now()
		time.AfterFunc(30*time.Second, func() {
			for key := range e.keys {
				g.Expect(e.gateway.Sessions().Withdraw(key)).To(Equal(1))
			}
		})
		got := e.send("POST", "/v1/chat/completions", streamBody)
		g.Expect(time.Since(start)).To(BeNumerically("<", 31*time.Second))
		g.Expect(got.body).To(ContainSubstring(`"code":"key_withdrawn"`))
		time.Sleep(time.Second)
		g.Expect(engine.Canceled()).To(HaveLen(1))
	}, engine)
}

// Guards against a stream that continues after its key was withdrawn, because a
// write to a client that takes no data blocks.
func TestWithdrawalEndsBlockedWrite(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		conn, err := e.dial(context.Background(), "tcp", "gateway:80")
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: g\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			pathChat, testKey, len(streamBody), streamBody)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		for key := range e.keys {
			e.gateway.Sessions().Withdraw(key)
		}
		time.Sleep(abortWriteTimeout + time.Millisecond)
		g.Expect(e.releases()).To(HaveLen(1))
	}, &enginetest.Engine{Tokens: 100})
}

// Guards against a drain that interrupts a stream or admits new requests.
func TestDrainWaitsForRunningStreams(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		drained := make(chan error, 1)
		time.AfterFunc(2500*time.Millisecond, func() { drained <- e.gateway.Drain(context.Background()) })
		running := make(chan clientResponse, 1)
		go func() { running <- e.send("POST", "/v1/chat/completions", streamBody) }()
		time.Sleep(3 * time.Second)
		code, run := errorCode(g, e.send("POST", "/v1/chat/completions", chatBody))
		g.Expect([]string{code, run}).To(Equal([]string{"draining", "not_run"}))
		g.Expect(e.send("GET", "/readyz", "").status).To(Equal(503))
		g.Expect(drained).NotTo(Receive())
		_, whole := streamText((<-running).body)
		g.Expect(whole).To(BeTrue())
		g.Expect(<-drained).To(Succeed())
	}, &enginetest.Engine{Tokens: 5, Delay: time.Second})
}

// Guards against a request that exceeds its deadline before the first token,
// and against a deadline that ends a stream after its first token.
func TestDeadlineCoversFirstToken(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		got := e.send("POST", "/v1/chat/completions", streamBody, HeaderDeadlineMs+": 900")
		code, run := errorCode(g, got)
		g.Expect([]any{got.status, code, run}).To(Equal([]any{504, "deadline_exceeded", "unknown"}))
		_, whole := streamText(e.send("POST", "/v1/chat/completions", streamBody, HeaderDeadlineMs+": 1100").body)
		g.Expect(whole).To(BeTrue())
	}, &enginetest.Engine{Tokens: 5, Delay: time.Second})
}

// Guards against retries that multiply the load on failing engines.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	failing := &enginetest.Engine{Status: 503}
	other := &enginetest.Engine{Tokens: 1}
	runWithGateway(t, Config{RetryPerSecond: 0.001}, func(e *testEnv) {
		g := NewWithT(e.t)
		for range 200 {
			e.send("POST", "/v1/chat/completions", chatBody)
		}
		g.Expect(len(other.Requests())).To(BeNumerically("<=", 10+200/10))
		g.Expect(len(other.Requests())).To(BeNumerically(">=", 10))
	}, failing, other)
}

// Guards against the use of a grant after the scheduler has expired it.
func TestExpiredGrantIsReplaced(t *testing.T) {
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		e.expires = -2 * time.Second
		g.Expect(e.send("POST", "/v1/chat/completions", chatBody).status).To(Equal(200))
		g.Expect(e.granted).To(HaveLen(2))
		g.Expect(e.releases()[1].Failure).To(Equal(ReasonGrantExpired))
	}, &enginetest.Engine{Tokens: 1})
}
