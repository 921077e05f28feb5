// Package distance adds latency to network connections, so that processes on one
// machine see the round-trip times of a network between VMs.
package distance

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxQueued bounds the number of delayed writes that are queued on one
	// connection. Further calls of Write block.
	maxQueued = 1024
	// lingerTime bounds, in addition to the delay, how long a closed connection
	// tries to write queued data to a peer that doesn't read.
	lingerTime = time.Second
)

// Conn returns a connection that delivers each write to inner after delay.
// Write returns without waiting for the delay, so bandwidth is not limited. To
// simulate a round-trip time, delay the writes of only one end by the whole
// time: a call takes as long as with half of it on each end.
func Conn(inner net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return inner
	}
	c := &conn{Conn: inner, delay: delay, queue: make(chan packet, maxQueued), closing: make(chan struct{})}
	go c.forward()
	return c
}

// packet is the data of one write and the time at which it is delivered.
type packet struct {
	data []byte
	due  time.Time
}

type conn struct {
	net.Conn
	delay     time.Duration
	queue     chan packet
	closeOnce sync.Once
	closing   chan struct{}
	mu        sync.Mutex
	writeErr  error
}

// Write queues a copy of the data. It fails with the error of an earlier
// delayed write, if any, or with net.ErrClosed after Close.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	err := c.writeErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if c.closed() {
		return 0, net.ErrClosed
	}
	next := packet{append([]byte(nil), data...), time.Now().Add(c.delay)}
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	case c.queue <- next:
		return len(data), nil
	}
}

func (c *conn) closed() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// forward writes queued data to inner when it is due. After Close it writes the
// rest of the queue and closes inner.
func (c *conn) forward() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case next := <-c.queue:
			c.write(next)
		case <-c.closing:
			c.flush()
			return
		}
	}
}

func (c *conn) write(next packet) {
	time.Sleep(time.Until(next.due))
	if _, err := c.Conn.Write(next.data); err != nil {
		c.mu.Lock()
		c.writeErr = err
		c.mu.Unlock()
	}
}

func (c *conn) flush() {
	for {
		select {
		case next := <-c.queue:
			c.write(next)
		default:
			return
		}
	}
}

// Close returns at once. Queued data is still delivered before the underlying
// connection is closed.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closing) })
	_ = c.SetWriteDeadline(time.Now().Add(c.delay + lingerTime))
	// A deadline in the past unblocks a pending Read at once, not only when the
	// queue has been written.
	return c.SetReadDeadline(time.Unix(1, 0))
}

// DialContext returns a dial function that adds roundTrip to the round-trip
// time of its connections.
func DialContext(roundTrip time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Conn(inner, roundTrip), nil
	}
}

// Listener wraps a listener and adds roundTrip to the round-trip time of the
// connections that it accepts.
func Listener(inner net.Listener, roundTrip time.Duration) net.Listener {
	return &listener{inner, roundTrip}
}

type listener struct {
	net.Listener
	roundTrip time.Duration
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn(inner, l.roundTrip), nil
}
