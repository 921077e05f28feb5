package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/ingress/ingresstest"
)

// serve runs a server whose handler reads bodies of up to 1 MB and answers with their
// size, behind a Gate. It counts the requests that reached the handler.
func serve(t *testing.T, c Config, l Limits, bodyTime time.Duration) (g *Gate, addr string, handled *atomic.Int64) {
	t.Helper()
	g = New(c)
	g.SetLimits(l)
	handled = &atomic.Int64{}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		body, err := Body(r, 1<<20, time.Now().Add(bodyTime))
		switch {
		case errors.Is(err, ErrTimeout):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
		case errors.Is(err, ErrBusy):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		case r.URL.Path == "/large":
			_, _ = w.Write(make([]byte, 32<<20)) // The client may close the connection.
		default:
			fmt.Fprint(w, len(body))
		}
	})}
	g.Attach(server)
	go func() { _ = server.Serve(g.Listen(inner)) }() // Serve returns after Close.
	t.Cleanup(func() { _ = server.Close(); g.Close() })
	return g, inner.Addr().String(), handled
}

func connect(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// answer returns the status of the next answer, or 0 if the connection is closed first.
func answer(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second)) // Fails only if it is closed.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const post = "POST / HTTP/1.1\r\nHost: a\r\n"

// Guards against heads and bodies that wait without end, and refusals of requests that
// run nevertheless.
func TestLateRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{HeadBytes: 1024, HeaderTimeout: 400 * time.Millisecond, IdleTimeout: 800 * time.Millisecond}
	gate, addr, handled := serve(t, Config{}, limits, 400*time.Millisecond)
	silent := connect(t, addr, "")
	g.Expect(answer(connect(t, addr, post))).To(Equal(http.StatusRequestTimeout))
	g.Expect(answer(connect(t, addr, post+strings.Repeat("a: b\r\n", 4000)))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(handled.Load()).To(BeZero())
	g.Expect(answer(connect(t, addr, post+"Content-Length: 9\r\n\r\nab"))).To(Equal(http.StatusRequestTimeout))
	g.Expect(answer(silent)).To(BeZero())
	g.Expect(answer(connect(t, addr, post+"Content-Length: 2\r\n\r\nab"))).To(Equal(http.StatusOK))
	g.Eventually(gate.open, 5*time.Second).Should(BeZero())
	g.Expect(gate.used.Load()).To(BeZero(), "memory that is not given back")
}

// Guards against a body that ends one byte beyond the limit, and against one that ends
// too early.
func TestBodiesOfTheWrongSizeAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, addr, _ := serve(t, Config{}, Limits{}, time.Minute)
	chunked := func(size int) string {
		return post + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	g.Expect(answer(connect(t, addr, chunked(1<<20)))).To(Equal(http.StatusOK))
	g.Expect(answer(connect(t, addr, chunked(1<<20+1)))).To(Equal(http.StatusBadRequest))
	short := connect(t, addr, post+"Content-Length: 5\r\n\r\nab")
	g.Expect(short.(*net.TCPConn).CloseWrite()).To(Succeed())
	g.Expect(answer(short)).To(Equal(http.StatusBadRequest))
}

// Guards against connections that are closed although sound clients may still reuse
// them: up to four fifths of the idle timeout.
func TestIdleConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	_, addr, _ := serve(t, Config{Memory: 144e6}, limits, time.Second)
	c := connect(t, addr, post+"Content-Length: 2\r\n\r\nab")
	for range 2 {
		g.Expect(answer(c)).To(Equal(http.StatusOK))
		time.Sleep(limits.IdleTimeout * 4 / 5)
		_, err := io.WriteString(c, post+"Content-Length: 2\r\n\r\nab")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(answer(c)).To(Equal(http.StatusOK))
}

// Guards against an idle timeout that closes a connection whose next request has arrived.
func TestIdleTimeoutServesARequestThatHasArrived(t *testing.T) {
	for _, beforeRead := range []bool{false, true} {
		t.Run(fmt.Sprint("beforeRead=", beforeRead), func(t *testing.T) {
			g := NewWithT(t)
			gate := New(Config{})
			t.Cleanup(gate.Close)
			gate.SetLimits(Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Second})
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				time.Sleep(20 * time.Millisecond) // The server starts to read ahead.
			})}
			gate.Attach(server)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			held := ingresstest.Listen(inner, beforeRead)
			go func() { _ = server.Serve(gate.Listen(held)) }() // Serve returns after Close.
			t.Cleanup(func() { _ = server.Close() })
			c := connect(t, inner.Addr().String(), post+"\r\n")
			g.Expect(answer(c)).To(Equal(http.StatusOK))
			time.Sleep(700 * time.Millisecond)
			_, err = io.WriteString(c, post+"\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(held.Reached(), 5*time.Second).Should(BeClosed())
			time.Sleep(time.Second)
			held.Release()
			g.Expect(answer(c)).To(Equal(http.StatusOK))
		})
	}
}

// Guards against answers that are kept for a client that reads nothing, and against slow
// readers that are cut off.
func TestUnreadAnswersEndAndSlowReadersDoNot(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	gate, addr, _ := serve(t, Config{}, limits, time.Second)
	request := strings.Replace(post, "/ ", "/large ", 1) + "\r\n"
	unread, slow := connect(t, addr, request), connect(t, addr, request)
	defer func() { _ = unread.Close() }()
	total, buffer := 0, make([]byte, 256<<10)
	for i, begin := 0, time.Now(); time.Since(begin) < 6*time.Second; i++ {
		n, err := slow.Read(buffer)
		g.Expect(err).NotTo(HaveOccurred())
		total += n
		if time.Sleep(50 * time.Millisecond); i%40 == 39 {
			time.Sleep(limits.IdleTimeout / 2) // The client accepts nothing for a while.
		}
	}
	g.Expect(gate.counters.total[reasonUnread].Load()).To(BeEquivalentTo(1))
	rest, err := io.Copy(io.Discard, slow)
	g.Expect(err == nil || total+int(rest) >= 32<<20).To(BeTrue())
	g.Expect(total + int(rest)).To(BeNumerically(">=", 32<<20))
}

// Guards against stalled bodies that keep others from being served, and against a lone
// request that is refused because it needs more than the budget.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	gate, addr, _ := serve(t, Config{Memory: 3 << 20}, Limits{}, time.Minute)
	g.Expect(gate.budget).To(BeNumerically("<", 1<<20))
	lone := post + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20)
	g.Expect(answer(connect(t, addr, lone))).To(Equal(http.StatusOK))
	for range 8 {
		connect(t, addr, post+"Content-Length: 200000\r\n\r\n"+strings.Repeat("x", 190_000))
	}
	g.Eventually(func(g Gomega) {
		g.Expect(answer(connect(t, addr, post+"Content-Length: 190000\r\n\r\n"+strings.Repeat("x", 190_000)))).To(Equal(http.StatusOK))
		// The first requests may be served before the stalled bodies were read.
		g.Expect(gate.counters.total[reasonMemory].Load()).NotTo(BeZero())
	}, 20*time.Second).Should(Succeed())
}

// Guards against a full listener that admits nobody, or closes a connection whose
// request is being served.
func TestSilentConnectionsGiveWay(t *testing.T) {
	g := NewWithT(t)
	gate, addr, _ := serve(t, Config{Descriptors: 16}, Limits{}, time.Minute)
	g.Expect(gate.maxConns).To(Equal(6))
	for range 30 {
		connect(t, addr, "")
	}
	g.Eventually(func() int { return answer(connect(t, addr, post+"\r\n")) }, 20*time.Second).Should(Equal(http.StatusOK))
	g.Expect(gate.open()).To(BeNumerically("<=", 6))
}

// Guards against victims that make progress or run, and against the wrong order.
func TestVictimsMakeTheLeastProgress(t *testing.T) {
	g := NewWithT(t)
	stalled, trickling, fast, young, running, unread, idle, silent := &Conn{}, &Conn{}, &Conn{}, &Conn{}, &Conn{}, &Conn{}, &Conn{}, &Conn{}
	all := func() []candidate {
		return []candidate{
			{conn: fast, phase: phaseBody, extra: 10, age: 5 * time.Second, rate: 1 << 20},
			{conn: trickling, phase: phaseBody, extra: 10, age: 5 * time.Second, rate: 10},
			{conn: running, phase: phaseServe, extra: 10, age: time.Minute, stalled: time.Minute},
			{conn: stalled, phase: phaseHead, extra: 10, age: 5 * time.Second, stalled: 4 * time.Second},
			{conn: young, phase: phaseHead, extra: 10, age: 100 * time.Millisecond},
			{conn: unread, phase: phaseServe, extra: 10, age: time.Minute, stalled: time.Minute, unread: true},
			{conn: idle, phase: phaseIdle, age: time.Minute, stalled: time.Minute},
			{conn: silent, phase: phaseNew, age: time.Second, stalled: time.Second},
		}
	}
	g.Expect(memoryVictims(all(), 1000)).To(HaveExactElements(BeIdenticalTo(unread), BeIdenticalTo(stalled), BeIdenticalTo(trickling)))
	g.Expect(memoryVictims(all(), 15)).To(HaveLen(2))
	g.Expect(slotVictims(all(), 2)).To(HaveExactElements(BeIdenticalTo(silent), BeIdenticalTo(unread)))
	g.Expect(slotVictims(all(), 10)).To(HaveLen(5))
}

// Guards against a configuration without limits, or with bad ones, that changes those in
// force.
func TestBadLimitsLeaveTheLastOnes(t *testing.T) {
	g := NewWithT(t)
	gate := New(Config{})
	g.Expect(gate.Limits()).To(Equal(defaultLimits))
	good := Limits{HeadBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	gate.SetLimits(good)
	for range 2 {
		gate.SetLimits(Limits{HeadBytes: -1, HeaderTimeout: -time.Second, IdleTimeout: 1000 * time.Hour})
	}
	g.Expect(gate.counters.total[reasonBadLimits].Load()).To(BeEquivalentTo(1))
	gate.SetLimits(Limits{HeadBytes: 10})
	gate.SetLimits(Limits{HeadBytes: 1 << 30})
	gate.SetLimits(Limits{})
	g.Expect(gate.Limits()).To(Equal(good))
}
