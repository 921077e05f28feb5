package fault

import (
	"net"
	"sync"
)

// Listener wraps a net.Listener and tracks its open connections, so that they
// can be frozen or reset. Connections accepted later work normally.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener returns a Listener that accepts connections from inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, frozen: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Freeze permanently stops the traffic on all open connections: data in both
// directions is discarded, but the connections stay open. It returns the number
// of open connections.
func (l *Listener) Freeze() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.freezeOnce.Do(func() { close(c.frozen) })
	}
	return len(l.conns)
}

// Reset closes all open connections; TCP peers receive an RST.
func (l *Listener) Reset() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// conn is an accepted connection that can be frozen.
type conn struct {
	net.Conn
	listener   *Listener
	freezeOnce sync.Once
	frozen     chan struct{}
	closeOnce  sync.Once
}

func (c *conn) isFrozen() bool {
	select {
	case <-c.frozen:
		return true
	default:
		return false
	}
}

// Read discards data that arrives on a frozen connection. On a frozen
// connection it returns only when the connection closes or its deadline passes.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isFrozen() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write reports success but discards the data on a frozen connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.isFrozen() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
