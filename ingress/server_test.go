package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/ingress/ingresstest"
)

// Guards against a planned stop that closes a connection on which a request is being read.
func TestStopAnswersTheRequestThatIsBeingRead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		// behindGate holds the read between the gate and the server, before holds it before
		// it takes bytes.
		behindGate, before bool
		// early is the part of the head that is sent before the stop begins.
		early string
	}{
		"head read by the gate":       {behindGate: true, early: head},
		"head read":                   {early: head},
		"head in the socket":          {before: true, early: head},
		"first byte read by the gate": {behindGate: true, early: head[:1]},
		"first byte read":             {early: head[:1]},
		"first byte in the socket":    {before: true, early: head[:1]},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(Config{})
			defer gate.Close()
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(closePollInterval) // The server starts to read ahead.
				fmt.Fprint(w, "served")
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var held *ingresstest.Listener
			var gated net.Listener
			if c.behindGate {
				held = ingresstest.Listen(gate.Listen(listener), c.before)
				gated = held
			} else {
				held = ingresstest.Listen(listener, c.before)
				gated = gate.Listen(held)
			}
			clients := NewServer(&http.Server{Handler: handler}, gate, gated)
			go func() { _ = clients.Serve() }() // It returns once the listener is closed.
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			g.Expect(roundTrip(conn, reader, head)).To(Equal("served"))

			_, err = io.WriteString(conn, c.early)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(held.Reached(), 5*time.Second).Should(BeClosed())
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			go func() { stopped <- clients.Stop(ctx) }()
			time.Sleep(10 * closePollInterval)
			held.Release()
			g.Expect(roundTrip(conn, reader, head[len(c.early):])).To(Equal("served"))
			g.Eventually(stopped, 3*time.Second).Should(Receive(BeNil()))
		})
	}
}

// roundTrip sends the rest of a request and returns the body of its answer.
func roundTrip(w io.Writer, r *bufio.Reader, rest string) (string, error) {
	if _, err := io.WriteString(w, rest); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// heldAccept holds the first connection before Accept returns it.
type heldAccept struct {
	net.Listener
	once              sync.Once
	reached, released chan struct{}
}

func (l *heldAccept) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.once.Do(func() {
			close(l.reached)
			<-l.released
		})
	}
	return c, err
}

// Guards against a planned stop that ends before a connection that was accepted is served.
func TestStopWaitsForAnAcceptedConnection(t *testing.T) {
	g := NewWithT(t)
	gate := New(Config{})
	defer gate.Close()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	held := &heldAccept{Listener: inner, reached: make(chan struct{}), released: make(chan struct{})}
	clients := NewServer(&http.Server{Handler: handler}, gate, gate.Listen(held))
	go func() { _ = clients.Serve() }() // It returns once the listener is closed.
	conn, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	<-held.reached
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- clients.Stop(ctx) }()
	g.Consistently(stopped, 200*time.Millisecond).ShouldNot(Receive(), "the process exits with a request that has arrived")
	close(held.released)
	g.Expect(roundTrip(conn, bufio.NewReader(conn), "")).To(Equal("served"))
}

// Guards against a request that is passed on and cut by a planned stop. Clients send heads
// in pieces around the moment at which idle connections are closed.
func TestStopCutsNoRequestThatIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	const clientsPerRound = 60
	var handled, answered, cut, crossed atomic.Int64
	rounds := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); rounds++ {
		gate := New(Config{})
		var seen sync.Map
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen.Store(r.URL.Path, true)
			handled.Add(1)
			select {
			case <-r.Context().Done():
				cut.Add(1)
			case <-time.After(time.Millisecond):
			}
			fmt.Fprint(w, "served")
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		clients := NewServer(&http.Server{Handler: handler}, gate, gate.Listen(listener))
		go func() { _ = clients.Serve() }() // It returns once the listener is closed.
		begin := time.Now().Add(40 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range clientsPerRound {
			wg.Go(func() {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				send := func(path, gap string) bool {
					head := "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
					if gap != "" {
						if _, err := io.WriteString(conn, head[:9]); err != nil {
							return false
						}
						head = head[9:]
						time.Sleep(50 * time.Microsecond)
					}
					body, err := roundTrip(conn, reader, head)
					return err == nil && body == "served"
				}
				if !send("/first/"+strconv.Itoa(i), "") {
					return
				}
				time.Sleep(time.Until(begin) + time.Duration(i-clientsPerRound/2)*300*time.Microsecond)
				path := "/second/" + strconv.Itoa(i)
				if send(path, "x") {
					answered.Add(1)
				} else if _, ran := seen.Load(path); ran {
					t.Errorf("round %d: %s was passed on and not answered", rounds, path)
				} else {
					crossed.Add(1)
				}
			})
		}
		time.Sleep(time.Until(begin))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		g.Expect(clients.Stop(ctx)).To(Succeed())
		cancel()
		wg.Wait()
		gate.Close()
	}
	t.Logf("%d rounds, %d handled, %d second requests answered, %d crossed the close, %d cancelled", rounds, handled.Load(), answered.Load(), crossed.Load(), cut.Load())
	g.Expect(cut.Load()).To(BeZero())
}
