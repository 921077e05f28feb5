package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// eagerConn is the connection of a client that sends its next request as soon as it has an
// answer.
type eagerConn struct {
	net.Conn
	mu      sync.Mutex
	changed *sync.Cond
	closed  bool
	unread  string
}

const eagerRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func newEagerConn() *eagerConn {
	side, _ := net.Pipe()
	c := &eagerConn{Conn: side, unread: eagerRequest}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *eagerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unread == "" && !c.closed {
		c.changed.Wait()
	}
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *eagerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += eagerRequest
	c.changed.Broadcast()
	return len(p), nil
}

func (c *eagerConn) SetReadDeadline(time.Time) error  { return nil }
func (c *eagerConn) SetWriteDeadline(time.Time) error { return nil }

func (c *eagerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

// eagerListener accepts one eagerConn first.
type eagerListener struct {
	net.Listener
	once sync.Once
}

func (l *eagerListener) Accept() (c net.Conn, err error) {
	l.once.Do(func() { c = newEagerConn() })
	if c != nil {
		return c, nil
	}
	return l.Listener.Accept()
}

// Guards against a planned stop that never ends because a client sends its next request as
// soon as it has an answer.
func TestStopEndsDespiteAnEagerClient(t *testing.T) {
	g := NewWithT(t)
	gate := New(Config{})
	defer gate.Close()
	var handled atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	clients := NewServer(&http.Server{Handler: handler}, gate, gate.Listen(&eagerListener{Listener: inner}))
	go func() { _ = clients.Serve() }() // It returns once the listener is closed.
	g.Eventually(handled.Load).Should(BeNumerically(">", 10))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	g.Expect(clients.Stop(ctx)).To(Succeed())
}
