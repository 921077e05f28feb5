package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// countingListener counts its connections and the bytes that they receive. If
// requestLine is set, connections that carry another request are not counted.
type countingListener struct {
	net.Listener
	requestLine string
	received    atomic.Int64
	accepted    atomic.Int64
	foreign     atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
	// start holds the first bytes received, up to the length of requestLine.
	start []byte
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countingConn{Conn: conn, l: l}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	line := c.l.requestLine
	c.start = append(c.start, p[:min(n, len(line)-len(c.start))]...)
	if !strings.HasPrefix(line, string(c.start)) {
		c.l.foreign.Add(int64(n))
		return n, err
	}
	c.l.received.Add(int64(n))
	return n, err
}

// serve starts a server on a loopback address.
func serve(t *testing.T, handler http.Handler) (*countingListener, string) {
	return serveRequestLine(t, "", handler)
}

// serveRequestLine starts a server that counts only requests that begin with a
// request line; it counts all if the line is empty.
func serveRequestLine(t *testing.T, line string, handler http.Handler) (*countingListener, string) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: raw, requestLine: line}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, "http://" + raw.Addr().String()
}

// Guards against Written being false for a request of which bytes reached the
// server. Calls are canceled at random times. Tests of other packages run at the same
// time, and their clients may still connect to a port that this test has taken over,
// so the server counts only requests with the path of this call.
func TestUnwrittenCallSendsNothingUnderCancellation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for _, idempotent := range []bool{true, false} {
		notWritten := 0
		for i := range 300 {
			path := fmt.Sprintf("/canceled-%d-%d", os.Getpid(), i)
			l, url := serveRequestLine(t, "POST "+path+" HTTP/1.1", handler)
			services := backend.NewServices(nil)
			ctx, stop := context.WithTimeout(context.Background(), time.Duration(random.IntN(3000))*time.Microsecond)
			resp, err := services.Do(ctx, url, backend.ServiceRequest{Method: "POST", Path: path, Body: []byte("x"), Idempotent: idempotent})
			stop()
			if err == nil {
				resp.Close()
				continue
			}
			if err.Written {
				continue
			}
			notWritten++
			_ = l.Close()
			time.Sleep(200 * time.Microsecond)
			if n := l.received.Load(); n > 0 {
				t.Fatalf("%d bytes arrived of a request that was reported as not written", n)
			}
			if n := l.foreign.Load(); n > 0 {
				t.Logf("%d bytes of another request arrived", n)
			}
		}
		t.Logf("idempotent=%t: %d calls were not written", idempotent, notWritten)
	}
}

// Guards against net/http retrying a call by itself: it considers GET and any call
// with an Idempotency-Key idempotent.
func TestCallIsSentAtMostOnce(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		g := NewWithT(t)
		var runs atomic.Int64
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, url := serve(t, handler)
		services := backend.NewServices(nil)
		for range 3 {
			resp, err := services.Do(context.Background(), url, backend.ServiceRequest{Method: "GET", Path: "/warm", Idempotent: true})
			g.Expect(err).To(BeNil())
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Close()
		}
		header := http.Header{"Idempotency-Key": {"k"}}
		_, err := services.Do(context.Background(), url, backend.ServiceRequest{Method: "GET", Path: "/x", Header: header, Idempotent: idempotent})
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Written).To(BeTrue())
		g.Expect(err.Failure).To(Equal(backend.FailureBroken))
		g.Expect(runs.Load()).To(BeEquivalentTo(1))
	}
}

// Guards against a refused connection being reported as written: such a call can't
// have been executed.
func TestConnectFailureIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	l, url := serve(t, http.NotFoundHandler())
	g.Expect(l.Close()).To(Succeed())
	_, err := backend.NewServices(nil).Do(context.Background(), url, backend.ServiceRequest{Method: "POST", Path: "/"})
	g.Expect(err.Failure).To(Equal(backend.FailureConnect))
	g.Expect(err.Written).To(BeFalse())
}

// Guards against an order that is written although the check failed.
func TestOrderIsCheckedBeforeTheWrite(t *testing.T) {
	g := NewWithT(t)
	l, url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"result":"done"}`)
	}))
	engines := backend.NewEngines(nil)
	lost := errors.New("lease lost")
	checked := false
	_, outcome, err := engines.Order(context.Background(), url, backend.Order{ID: "1"}, func() error {
		checked = true
		return lost
	})
	g.Expect(outcome).To(Equal(hosting.OutcomeRefused))
	g.Expect(errors.Is(err, lost)).To(BeTrue(), "%v", err)
	var call *backend.CallError
	g.Expect(errors.As(err, &call)).To(BeTrue())
	g.Expect(call.Failure).To(Equal(backend.FailureCheck))
	g.Expect(checked).To(BeTrue())
	g.Expect(l.received.Load()).To(BeZero())
	_, outcome, err = engines.Order(context.Background(), url, backend.Order{ID: "2"}, func() error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome).To(Equal(hosting.OutcomeDone))
}

// Guards against a late write of an order whose check took as long as the write
// limit, as in a process that was paused.
func TestOrderAfterSlowCheckIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listener := enginetest.NewPipeListener()
		l := &countingListener{Listener: listener}
		server := &http.Server{Handler: http.NotFoundHandler()}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		engines := backend.NewEngines(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.Dial(ctx) })
		_, outcome, err := engines.Order(context.Background(), "http://e", backend.Order{ID: "1"}, func() error {
			time.Sleep(backend.OrderWriteLimit)
			return nil
		})
		g.Expect(err).To(HaveOccurred())
		g.Expect(outcome).To(Equal(hosting.OutcomeRefused))
		g.Expect(l.received.Load()).To(BeZero())
	})
}

// Guards against an order that the engine rejected for a stale fencing token being
// reported as done or unknown.
func TestStaleFenceIsReportedAsRefused(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":"stale_fence","fence":9}`)
	}))
	_, outcome, err := backend.NewEngines(nil).Order(context.Background(), url, backend.Order{ID: "1"}, nil)
	var stale *hosting.StaleFenceError
	g.Expect(errors.As(err, &stale)).To(BeTrue())
	g.Expect(stale.Fence).To(BeEquivalentTo(9))
	g.Expect(outcome).To(Equal(hosting.OutcomeRefused))
}

// muteConn discards writes once mute is set, so that the server sends nothing.
type muteConn struct {
	net.Conn
	mute *atomic.Bool
}

func (c muteConn) Write(p []byte) (int, error) {
	if c.mute.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a call that waits for a kernel timeout when all pooled connections
// have stopped delivering while new ones work: the first call fails after
// ReadTimeout and the next one uses a new connection.
func TestUnresponsivePooledConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listener := enginetest.NewPipeListener()
		var mu sync.Mutex
		hold := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-hold
			}
		})}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		mute := &atomic.Bool{}
		services := backend.NewServices(func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := listener.Dial(ctx)
			mu.Lock()
			defer mu.Unlock()
			return muteConn{conn, mute}, err
		})
		defer services.Close()
		get := func(path string) *backend.CallError {
			resp, err := services.Do(context.Background(), "http://s", backend.ServiceRequest{Method: "GET", Path: path, Idempotent: true})
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Close()
			}
			return err
		}
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { get("/hold") })
		}
		synctest.Wait()
		close(hold)
		group.Wait()
		mu.Lock()
		mute.Store(true)
		mute = &atomic.Bool{}
		mu.Unlock()
		start := time.Now()
		err := get("/a")
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Failure).To(Equal(backend.FailureReadTimeout))
		g.Expect(time.Since(start)).To(Equal(backend.ReadTimeout))
		g.Expect(get("/b")).To(BeNil())
		g.Expect(time.Since(start)).To(Equal(backend.ReadTimeout))
	})
}

// Guards against an idle pooled connection that keeps the read timeout of its last
// exchange and is therefore closed before its reuse.
func TestIdleConnectionHasNoReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listener := enginetest.NewPipeListener()
		l := &countingListener{Listener: listener}
		server := &http.Server{Handler: &enginetest.Engine{Tokens: 1}}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		engines := backend.NewEngines(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.Dial(ctx) })
		defer engines.Close()
		for range 3 {
			stream, err := engines.Open(context.Background(), "http://e", backend.StreamRequest{ID: "a", Path: "/v1/completions"})
			g.Expect(err).To(BeNil())
			for chunk, err := stream.Next(); !chunk.Done; chunk, err = stream.Next() {
				g.Expect(err).NotTo(HaveOccurred())
			}
			stream.Finish()
			time.Sleep(backend.ReadTimeout + time.Second)
		}
		g.Expect(l.accepted.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a response that is not HTTP being reported as anything but a
// broken connection on which the request was written.
func TestNonHTTPResponseIsABrokenConnection(t *testing.T) {
	g := NewWithT(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer raw.Close()
	go func() {
		conn, err := raw.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "\x00\x01 nonsense\r\n\r\n")
		_ = conn.Close()
	}()
	_, callErr := backend.NewServices(nil).Do(context.Background(), "http://"+raw.Addr().String(), backend.ServiceRequest{Method: "GET", Path: "/"})
	g.Expect(callErr).NotTo(BeNil())
	g.Expect(callErr.Written).To(BeTrue())
	g.Expect(callErr.Failure).To(Equal(backend.FailureBroken))
}
