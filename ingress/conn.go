package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase = int32

const (
	// phaseNew: no byte has arrived yet.
	phaseNew phase = iota
	// phaseIdle: between two requests.
	phaseIdle
	// phaseHead: a head has begun.
	phaseHead
	// phaseBody: the head is complete, the body is not.
	phaseBody
	// phaseServe: a request has arrived completely and is being served.
	phaseServe
	// phaseLate: a head did not arrive in time and is about to be refused.
	phaseLate
	// phaseRefused: a request was refused before net/http has seen it.
	phaseRefused
	// phaseClosing: nothing has arrived, and the connection is closed unless something
	// has arrived by the end of its read.
	phaseClosing
	// phaseRetired: the connection is closed and takes no memory.
	phaseRetired
)

const (
	// headSlop is how far a head may exceed the limit, which clients count without the
	// request line and the line ends. net/http allows as much.
	headSlop = 4096
	// parsedCopies is the number of parsed copies of a head: of net/http, of the
	// request without its system fields, and of an attempt.
	parsedCopies = 3
	// lineCost is the memory of a parsed header line beyond its bytes: a heap of 14 to 15 MB
	// was measured for a head of 1 MB that consists of lines of some 7 bytes.
	lineCost = 100
	// lingerTime and lingerBytes bound how long and how much is read after a refusal.
	// Without it, the kernel may drop the answer because unread bytes are left.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 64 << 10
	// finalReadTime is how long an idle connection is read once more before it is closed,
	// because a read whose deadline has passed doesn't return bytes that have arrived.
	finalReadTime = 5 * time.Millisecond
	// newConnGrace is the time that a client has for its first request although the daemon
	// closes idle connections.
	newConnGrace = 5 * time.Second
	// retryAfter is the Retry-After of a request for which there is no memory, in
	// seconds: other clients' requests that stall are closed within it.
	retryAfter = 1
)

var (
	errBusy    = errors.New("ingress: clients take too much memory")
	errRetired = errors.New("ingress: connection was closed in favour of others")
	errUnread  = errors.New("ingress: client does not read its answer")
	past       = time.Unix(1, 0)
)

// Conn is a client connection whose memory and times its Gate bounds. Its reader is
// net/http, which reads in one goroutine at a time.
type Conn struct {
	net.Conn
	gate     *Gate
	listener *listener

	phase atomic.Int32
	// since is the time of the Gate at which the connection began to wait, or a request
	// began. progressAt is that of the last byte from the client.
	since, progressAt atomic.Int64
	// useful counts the bytes of heads and of the content of bodies.
	useful atomic.Int64
	// bodyDeadline is the time in nanoseconds since the Unix epoch by which a body must
	// have arrived; 0 for none. expired is set once it has passed.
	bodyDeadline atomic.Int64
	expired      atomic.Bool
	// writing is the time of the Gate at which the client last accepted a byte of the
	// answer that is being written; 0 if none is. probed is the time of the last probe.
	writing, probed atomic.Int64
	// unread is set while the client has accepted nothing between two probes.
	unread atomic.Bool
	// ownDeadline is set while the handler has set a write deadline. The client is
	// then not probed.
	ownDeadline atomic.Bool

	mu sync.Mutex
	// extra is the memory beyond connCost; retired is set once nothing is charged.
	extra   int64
	retired bool
	// interrupted is set while a deadline in the past ends reads.
	interrupted bool

	// The following belong to the goroutine that reads.

	framing framing
	// served is the number of requests that have ended.
	served int64
	// lastCost is the charge of the last bytes that were read.
	lastCost int64
	// broken is set if no further byte may be read.
	broken bool

	// The following are guarded by gate.mu.

	seen int64
	rate float64
	// judged is the phase in which the connection was last considered for closing.
	judged phase
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.broken {
		return 0, io.EOF
	}
	if c.phase.Load() == phaseLate {
		return 0, c.refuse(http.StatusRequestTimeout, reasonHeadTime, p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.phase.Load() == phaseClosing {
		n, err = c.finalRead(p, err)
	}
	if n > 0 {
		if !c.begin() {
			return 0, errRetired
		}
		c.progressAt.Store(c.gate.now.Load())
		if c.gate.config.Sealed {
			c.useful.Add(int64(n))
			return n, err
		}
		if failed := c.take(p[:n]); failed != nil {
			return 0, failed
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() == phaseLate {
		return 0, c.refuse(http.StatusRequestTimeout, reasonHeadTime, p)
	}
	return n, err
}

// finalRead reads once more what may have arrived on a connection whose read was ended
// because it is idle.
func (c *Conn) finalRead(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTime)); err != nil {
		return 0, err
	}
	if n, _ := c.Conn.Read(p); n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// begin notes that bytes have arrived. A connection that was about to be closed because
// it is idle stays open. It reports false if the connection is closed.
func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.phase.Load()
	next := phaseHead
	if c.gate.config.Sealed {
		next = phaseIdle
	}
	if p == phaseClosing || !c.gate.config.Sealed && (p == phaseNew || p == phaseIdle) {
		c.since.Store(c.gate.now.Load())
		return c.moveLocked(p, next)
	}
	return p != phaseRetired
}

// move changes the phase, unless it is another one meanwhile. A read that was to end
// because of the old phase goes on.
func (c *Conn) move(from, to phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moveLocked(from, to)
}

func (c *Conn) moveLocked(from, to phase) bool {
	if !c.phase.CompareAndSwap(from, to) {
		return false
	}
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // Fails only if it is closed.
	}
	return true
}

// interruptRead ends the read in progress, unless the phase is another one meanwhile.
func (c *Conn) interruptRead(judged phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.Load() == judged {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(past) // Fails only if it is closed.
	}
}

// closeIfIdle closes the connection unless a request has begun to arrive. The goroutine
// that reads decides, so that no request is read and then closed. A connection on which
// nothing has arrived yet is closed only if it is older than minNewAge.
func (c *Conn) closeIfIdle(now int64, minNewAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.phase.Load() == phaseNew
	if isNew && time.Duration(now-c.since.Load()) < minNewAge {
		return
	}
	if c.phase.CompareAndSwap(phaseIdle, phaseClosing) || isNew && c.phase.CompareAndSwap(phaseNew, phaseClosing) {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(past) // Fails only if it is closed.
	}
}

// SetReadDeadline implements net.Conn. A connection that is about to be closed keeps the
// deadline that ends its read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.Load() == phaseClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// take counts and charges bytes that were read. If it returns an error, they must not
// reach net/http.
func (c *Conn) take(p []byte) error {
	before := c.phase.Load()
	if before == phaseLate {
		return c.refuse(http.StatusRequestTimeout, reasonHeadTime, p)
	}
	counted, ok := c.framing.advance(p)
	if !ok {
		c.broken = true // net/http sees the bytes and refuses them.
		c.gate.counters.count(reasonFraming)
	}
	c.useful.Add(counted.headBytes + counted.bodyBytes)
	c.lastCost = parsedCopies * (counted.headBytes + lineCost*counted.headLines)
	if c.gate.config.ChargeBodies {
		c.lastCost += 2 * counted.bodyBytes // Readers double their buffers.
	}
	if before == phaseHead {
		limit := int64(c.gate.Limits().HeadBytes) + headSlop
		if c.framing.headBytes > limit || c.framing.lastHeadBytes > limit {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize, p)
		}
	}
	if c.lastCost > 0 && !c.gate.charge(c, c.lastCost) {
		switch before {
		case phaseHead:
			return c.refuse(http.StatusServiceUnavailable, reasonHeadMemory, p)
		case phaseBody:
			c.gate.counters.count(reasonBodyMemory)
			return errBusy
		}
		c.broken = true // A request behind the one that is served; it is not read on.
	}
	if before == phaseHead && c.framing.heads > c.served {
		if !c.move(phaseHead, c.arrived()) {
			return c.refuse(http.StatusRequestTimeout, reasonHeadTime, p)
		}
	} else if before == phaseBody && c.framing.bodies > c.served {
		c.move(phaseBody, phaseServe) // Fails only if it is retired.
	}
	return nil
}

// arrived returns the phase of a request whose head is complete.
func (c *Conn) arrived() phase {
	if c.framing.bodies > c.served {
		return phaseServe
	}
	return phaseBody
}

// refuse answers a request that net/http has not seen, so that it certainly does not
// run, and closes the connection. It returns the error for the reader, and uses its
// buffer.
func (c *Conn) refuse(status int, why reason, buffer []byte) error {
	c.broken = true
	c.settle()
	if c.phase.Swap(phaseRefused) == phaseRetired {
		c.phase.Store(phaseRetired)
		return errRetired
	}
	c.gate.counters.count(why)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.Itoa(retryAfter) + "\r\n"
	}
	end := time.Now().Add(lingerTime)
	// Errors mean that the client is gone.
	_ = c.Conn.SetDeadline(end)
	_, _ = io.WriteString(c.Conn, text+"\r\n")
	_ = c.CloseWrite()
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		left -= n
	}
	return io.EOF
}

// requestBegins is called when net/http has read a head.
func (c *Conn) requestBegins() {
	if c.gate.config.Sealed {
		c.since.Store(c.gate.now.Load())
		for _, p := range []phase{phaseNew, phaseIdle, phaseClosing} {
			c.move(p, phaseServe)
		}
		return
	}
	if c.framing.heads <= c.served { // net/http has found a head where there is none.
		c.broken = true
		c.phase.CompareAndSwap(phaseHead, phaseServe)
	}
}

// requestEnds is called when net/http has answered a request and goes on reading.
func (c *Conn) requestEnds() {
	c.settle()
	c.bodyDeadline.Store(0)
	c.expired.Store(false)
	c.served++
	now := c.gate.now.Load()
	next := phaseIdle
	if !c.gate.config.Sealed {
		if c.framing.bodies < c.served { // net/http has found an end where there is none.
			c.broken = true
			c.gate.counters.count(reasonFraming)
		}
		switch {
		case c.framing.heads > c.served:
			next = c.arrived()
		case c.framing.headBytes > 0:
			next = phaseHead
		}
		if next != phaseIdle {
			// What follows arrived with the last bytes. It is at most one buffer of
			// net/http, so that a failed charge is bearable.
			c.gate.charge(c, c.lastCost)
		}
	}
	c.since.Store(now)
	c.progressAt.Store(now)
	for {
		p := c.phase.Load()
		if p == phaseRetired || c.phase.CompareAndSwap(p, next) {
			return
		}
	}
}

// Write implements net.Conn. It ends when the client has accepted no byte for the idle
// timeout.
func (c *Conn) Write(p []byte) (n int, err error) {
	if c.unread.Load() {
		c.unread.Store(false)
	}
	c.writing.Store(c.gate.now.Load())
	defer c.writing.Store(0)
	for {
		part, err := c.Conn.Write(p[n:])
		n += part
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.ownDeadline.Load() {
			return n, err
		}
		// The sweep has interrupted the write to see whether it moves.
		now := c.gate.now.Load()
		switch {
		case part > 0:
			c.unread.Store(false)
			c.writing.Store(now)
		case now-c.writing.Load() >= int64(c.gate.Limits().IdleTimeout):
			c.gate.counters.count(reasonUnread)
			return n, errUnread
		default:
			c.unread.Store(now-c.writing.Load() >= int64(minIdleAge))
		}
		if err := c.Conn.SetWriteDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, as net/http does before it closes a connection.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.retire()
	delete(c.listener.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// retire ends all charges of the connection. The caller closes it.
func (c *Conn) retire() {
	c.phase.Store(phaseRetired)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retired {
		c.gate.used.Add(-c.extra - connCost)
		c.extra, c.retired = 0, true
	}
}

// retireFrom retires the connection if it is still in a phase. A request may have begun
// to arrive since the connection was judged, and is then served.
func (c *Conn) retireFrom(judged phase) bool {
	if !c.phase.CompareAndSwap(judged, phaseRetired) {
		return false
	}
	c.retire()
	return true
}

// add charges memory; it reports false if the connection is retired.
func (c *Conn) add(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.extra += n
	c.gate.used.Add(n)
	return true
}

// settle ends the charges of a request.
func (c *Conn) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.used.Add(-c.extra)
	c.extra = 0
}

func (c *Conn) charged() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extra
}

// candidate describes the connection at a time of the Gate. gate.mu is held.
func (c *Conn) candidate(now int64) candidate {
	c.judged = c.phase.Load()
	return candidate{
		conn:    c,
		phase:   c.judged,
		extra:   c.charged(),
		age:     time.Duration(now - c.since.Load()),
		stalled: time.Duration(now - c.progressAt.Load()),
		rate:    c.rate,
		unread:  c.writing.Load() != 0 && c.unread.Load(),
	}
}
