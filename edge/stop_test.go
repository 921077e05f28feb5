package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/ingress"
)

// pausedListener pauses one read of its connection, after the first answer.
type pausedListener struct {
	net.Listener
	*readPause
}

// readPause holds one read, before or after it takes bytes from the connection.
type readPause struct {
	before            bool
	answered          chan struct{}
	reached, released chan struct{}
}

type pausedConn struct {
	net.Conn
	*readPause
	paused bool
}

func (l pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &pausedConn{Conn: conn, readPause: l.readPause}, err
}

// NetConn returns the connection below, as that of a tls.Conn does.
func (c *pausedConn) NetConn() net.Conn { return c.Conn }

func (c *pausedConn) Write(p []byte) (int, error) {
	defer func() {
		select {
		case <-c.answered:
		default:
			close(c.answered)
		}
	}()
	return c.Conn.Write(p)
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if c.before {
		c.pause()
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pause()
	}
	return n, err
}

func (c *pausedConn) pause() {
	select {
	case <-c.answered:
	default:
		return
	}
	if !c.paused {
		c.paused = true
		close(c.reached)
		<-c.released
	}
}

// Guards against a planned stop that closes a connection on which a request is being read.
func TestStopAnswersTheRequestThatIsBeingRead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		// behindGate pauses between the gate and the server, before pauses before the read.
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
			gate := ingress.New(ingress.Config{})
			defer gate.Close()
			clients := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(drainPollInterval) // The server starts to read ahead.
				fmt.Fprint(w, "served")
			}), gate)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			pause := &readPause{before: c.before, answered: make(chan struct{}), reached: make(chan struct{}), released: make(chan struct{})}
			if c.behindGate {
				clients.listener = pausedListener{gate.Listen(listener), pause}
			} else {
				clients.listener = gate.Listen(pausedListener{listener, pause})
			}
			go func() { _ = clients.Serve(clients.listener) }() // It returns once the listener is closed.
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			g.Expect(roundTrip(conn, reader, head)).To(Equal("served"))

			_, err = io.WriteString(conn, c.early)
			g.Expect(err).NotTo(HaveOccurred())
			<-pause.reached
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			go func() { stopped <- clients.stop(ctx) }()
			time.Sleep(10 * drainPollInterval)
			close(pause.released)
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
