// Package ingresstest holds the reads of connections, so that tests can act while a
// request is being read.
package ingresstest

import (
	"net"
	"sync"
)

// Listener holds one read of its only connection: the first that begins, or that returns
// bytes, after the first answer.
type Listener struct {
	net.Listener
	// BeforeRead holds the read before it takes bytes from the connection, instead of
	// before it returns them.
	BeforeRead bool

	answer, hold      sync.Once
	answered          chan struct{}
	reached, released chan struct{}
}

// Listen returns a Listener around another one.
func Listen(l net.Listener, beforeRead bool) *Listener {
	return &Listener{Listener: l, BeforeRead: beforeRead, answered: make(chan struct{}), reached: make(chan struct{}), released: make(chan struct{})}
}

// Reached is closed once the read is held.
func (l *Listener) Reached() <-chan struct{} { return l.reached }

// Release lets the read go on.
func (l *Listener) Release() { close(l.released) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

type conn struct {
	net.Conn
	listener *Listener
}

// NetConn returns the connection below, as that of a tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Write(p []byte) (int, error) {
	// The server may read the next request before the write returns.
	c.listener.answer.Do(func() { close(c.listener.answered) })
	return c.Conn.Write(p)
}

func (c *conn) Read(p []byte) (int, error) {
	if c.listener.BeforeRead {
		c.listener.wait()
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.wait()
	}
	return n, err
}

func (l *Listener) wait() {
	select {
	case <-l.answered:
		l.hold.Do(func() {
			close(l.reached)
			<-l.released
		})
	default:
	}
}
