package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/claim"
	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// Guards against reporting a failed attempt as "not run" after bytes were
// written, and against a retry of a call that must not be repeated.
func TestClassify(t *testing.T) {
	cases := []struct {
		err        backend.CallError
		idempotent bool
		want       RetryDecision
	}{
		{backend.CallError{Failure: backend.FailureConnect}, false, RetryDecision{ReasonConnect, true, false}},
		{backend.CallError{Failure: backend.FailureBroken}, false, RetryDecision{ReasonBroken, true, false}},
		{backend.CallError{Failure: backend.FailureBroken, Written: true}, false, RetryDecision{ReasonBroken, false, true}},
		{backend.CallError{Failure: backend.FailureBroken, Written: true}, true, RetryDecision{ReasonBroken, true, true}},
		{backend.CallError{Failure: backend.FailureCanceled}, true, RetryDecision{ReasonAbandoned, false, false}},
		{backend.CallError{Failure: backend.FailureStatus, Written: true, Status: 429}, true, RetryDecision{ReasonRefused, true, false}},
		{backend.CallError{Failure: backend.FailureStatus, Written: true, Status: 422}, true, RetryDecision{ReasonClientFault, false, false}},
		{backend.CallError{Failure: backend.FailureStatus, Written: true, Status: 500}, true, RetryDecision{ReasonStatus, true, true}},
	}
	for _, c := range cases {
		NewWithT(t).Expect(Classify(&c.err, c.idempotent)).To(Equal(c.want), c.err.Error())
	}
}

// stampService counts its runs. If fail is set, it closes the connection after
// the run without a response.
type stampService struct {
	runs atomic.Int64
	fail atomic.Bool
	wait time.Duration
}

func (s *stampService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.runs.Add(1)
	time.Sleep(s.wait)
	if s.fail.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "stamped")
}

// Guards against a non-idempotent call that runs twice, and against a response
// "not run" for a call that ran.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	first, second := &stampService{}, &stampService{}
	first.fail.Store(true)
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		code, run := errorCode(g, e.send("POST", "/services/stamps/s", "x"))
		g.Expect([]string{code, run}).To(Equal([]string{"backend_failed", "unknown"}))
		g.Expect(second.runs.Load()).To(BeZero())
		g.Expect(e.send("GET", "/services/stamps/s", "").body).To(Equal("stamped"))
		g.Expect(second.runs.Load()).To(BeEquivalentTo(1))
		delete(e.listeners, "e0:80")
		e.gateway.Services.Close()
		g.Expect(e.send("POST", "/services/stamps/s", "x").body).To(Equal("stamped"))
		g.Expect(second.runs.Load()).To(BeEquivalentTo(2))
		delete(e.listeners, "e1:80")
		_, run = errorCode(g, e.send("POST", "/services/stamps/s", "x"))
		g.Expect(run).To(Equal("not_run"))
	}, first, second)
}

// Guards against a response "not run" for a call whose first attempt may have
// run and whose next attempt reached no backend.
func TestLaterAttemptKeepsMayHaveRun(t *testing.T) {
	first := &stampService{}
	first.fail.Store(true)
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		delete(e.listeners, "e1:80")
		_, run := errorCode(g, e.send("GET", "/services/stamps/s", ""))
		g.Expect(first.runs.Load()).To(BeEquivalentTo(1))
		g.Expect(run).To(Equal("unknown"))
	}, first, &stampService{})
}

// Guards against a truncated response that looks complete to the client.
func TestTruncatedResponseFailsAtClient(t *testing.T) {
	cut := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	runWithGateway(t, Config{}, func(e *testEnv) {
		NewWithT(e.t).Expect(e.send("GET", "/services/stamps/s", "").err).To(HaveOccurred())
	}, cut)
}

// fakeClaims grants the first claim of each key and replays recorded outcomes.
type fakeClaims struct{ outcomes map[string]claim.Outcome }

func (f *fakeClaims) Claim(_ context.Context, r claim.Request, _ time.Time) claim.Decision {
	o, ok := f.outcomes[string(r.Hash[:])]
	if ok && !o.NotRun {
		return claim.Decision{State: claim.Replay, Outcome: o}
	}
	return claim.Decision{State: claim.Granted, Token: string(r.Hash[:])}
}

func (f *fakeClaims) Finish(token string, o claim.Outcome) { f.outcomes[token] = o }

// Guards against a claimed call whose outcome is not recorded, differs in the
// replay, or is lost because the client left.
func TestClaimedCallRecordsOutcome(t *testing.T) {
	service := &stampService{wait: 2 * time.Second}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		claims := &fakeClaims{outcomes: map[string]claim.Outcome{}}
		e.gateway.Claims = claims
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		key := HeaderIdempotencyKey + ": k1"
		g.Expect(e.sendContext(ctx, "POST", "/services/stamps/s", "x", key).err).To(HaveOccurred())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		got := e.send("POST", "/services/stamps/s", "x", key)
		g.Expect([]any{got.status, got.body, got.header.Get(HeaderRun)}).To(Equal([]any{200, "stamped", "done"}))
		g.Expect(service.runs.Load()).To(BeEquivalentTo(1))

		service.fail.Store(true)
		_, run := errorCode(g, e.send("POST", "/services/stamps/s", "x", HeaderIdempotencyKey+": k2"))
		g.Expect(run).To(Equal("unknown"))
		_, run = errorCode(g, e.send("POST", "/services/stamps/s", "x", HeaderIdempotencyKey+": k2"))
		g.Expect(run).To(Equal("unknown"))
		g.Expect(service.runs.Load()).To(BeEquivalentTo(2))

		e.engines = nil
		_, run = errorCode(g, e.send("POST", "/services/stamps/s", "x", HeaderIdempotencyKey+": k3"))
		g.Expect(run).To(Equal("not_run"))
		g.Expect(claims.outcomes).To(ContainElement(claim.Outcome{NotRun: true}))
	}, service)
}

// Guards against a partial replay of a response that is larger than the
// recorded body.
func TestLargeOutcomeKeepsDigestOnly(t *testing.T) {
	large := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", claim.MaxBody+1))
	})
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		e.gateway.Claims = &fakeClaims{outcomes: map[string]claim.Outcome{}}
		key := HeaderIdempotencyKey + ": k"
		g.Expect(e.send("POST", "/services/stamps/s", "x", key).body).To(HaveLen(claim.MaxBody + 1))
		synctest.Wait()
		code, run := errorCode(g, e.send("POST", "/services/stamps/s", "x", key))
		g.Expect([]string{code, run}).To(Equal([]string{"answer_not_kept", "done"}))
	}, large)
}

// Guards against a race between a withdrawn key, which ends the request from another
// goroutine, and the claim step, which replaces the request's writer.
func TestAbortWhileRecordingStarts(t *testing.T) {
	w := httptest.NewRecorder()
	q := &request{
		w: w, control: http.NewResponseController(w), cancel: func(error) {},
		stopClientWatch: func() bool { return true },
	}
	done := make(chan struct{})
	go func() { q.abort(errWithdrawn); close(done) }()
	q.startRecording("token")
	<-done
}

// Guards against a metric that counts the failures of a plain service as successes,
// and a replayed outcome by another status than the one it was sent with.
func TestAnswersAreCountedByStatus(t *testing.T) {
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		e.gateway.Claims = &fakeClaims{outcomes: map[string]claim.Outcome{}}
		for range 2 {
			g.Expect(e.send("POST", "/services/stamps/s", "x", HeaderIdempotencyKey+": k").status).To(Equal(http.StatusNotFound))
		}
		synctest.Wait()
		g.Expect(e.gateway.metrics.responses[4].Get()).To(BeEquivalentTo(2))
		g.Expect(e.gateway.metrics.responses[2].Get()).To(BeZero())
	}, service)
}

// serveRaw makes a server answer each request with raw bytes once its head was read. The
// connection is closed when answer returns.
func (e *testEnv) serveRaw(addr string, answer func(conn net.Conn, r *http.Request)) {
	listener := enginetest.NewPipeListener()
	e.listeners[addr] = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, r)
				}
			}()
		}
	}()
	e.rawListeners = append(e.rawListeners, listener)
}

// Guards against broken answers of plain services that reach the client as whole ones, and
// against clients that get no answer at all.
func TestBrokenAnswersOfServicesReachNoClient(t *testing.T) {
	for name, head := range map[string]string{
		"status": "HTTP/1.1 000 OK\r\n",
		"name":   "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"value":  "HTTP/1.1 200 OK\r\nX-Y: z\x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runWithGateway(t, Config{}, func(e *testEnv) {
				g := NewWithT(e.t)
				e.serveRaw("e0:80", func(conn net.Conn, _ *http.Request) {
					_, _ = io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello")
				})
				code, run := errorCode(g, e.send("POST", "/services/stamps/s", ""))
				g.Expect([]string{code, run}).To(Equal([]string{"backend_failed", "unknown"}))
				g.Expect(e.send("GET", "/services/stamps/s", "").body).To(Equal("stamped"), "an idempotent call is repeated")
			}, &stampService{}, &stampService{})
		})
	}
	t.Run("cut during the upload", func(t *testing.T) {
		runWithGateway(t, Config{}, func(e *testEnv) {
			e.serveRaw("e0:80", func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			})
			response := e.send("POST", "/services/stamps/s", strings.Repeat("x", 1<<20))
			if response.err == nil && response.status < 300 {
				e.t.Fatalf("%q is taken for complete", response.body)
			}
		}, &stampService{})
	})
	t.Run("no length after the upload", func(t *testing.T) {
		runWithGateway(t, Config{}, func(e *testEnv) {
			e.serveRaw("e0:80", func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhe")
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "llo")
				time.Sleep(time.Millisecond) // A pipe that the other end has closed takes no deadline.
			})
			response := e.send("POST", "/services/stamps/s", strings.Repeat("x", 1<<20))
			NewWithT(e.t).Expect(response.err).NotTo(HaveOccurred())
			NewWithT(e.t).Expect(response.body).To(Equal("hello"))
		}, &stampService{})
	})
}
