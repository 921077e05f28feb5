package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/httpstrict"
)

// errAborted is returned by writes on a connection that was closed to prevent a
// request from reaching the backend server. errUnsolicited is returned on a connection
// with bytes that arrived before the request.
var (
	errAborted     = eris.New("connection was aborted")
	errUnsolicited = eris.New("backend sent bytes that no request asked for")
)

// trackedConn is a connection to a backend server that counts the bytes written
// and applies a read timeout.
type trackedConn struct {
	*httpstrict.Conn
	set  *connSet
	addr string

	// readTimeout is the longest time in nanoseconds without any byte from the
	// backend; 0 means no timeout. Only a connection in use has a read timeout.
	readTimeout atomic.Int64
	// aborted makes all further writes fail; it is set when the connection is closed.
	aborted atomic.Bool
	// timedOut is set when a read exceeded the read timeout.
	timedOut atomic.Bool
	// malformed is set when the backend sent a malformed response.
	malformed atomic.Bool
	// requested is set from the first byte of a request to the end of its exchange.
	// Bytes that arrive at other times belong to no request.
	requested atomic.Bool
	// attached is set from attach to the first byte of the request.
	attached atomic.Bool
	// lastRead is the time of the last byte from the backend, in Unix nanoseconds.
	lastRead atomic.Int64
	// pathLost is set once the path to the backend failed.
	pathLost atomic.Bool
	// retired is set if the connection must not be used for another exchange.
	retired atomic.Bool

	// readMu guards reading, which is set while net/http waits for bytes. readChanged
	// signals its changes and aborted.
	readMu      sync.Mutex
	reading     bool
	readChanged *sync.Cond

	// mu is held during writes, so that abort returns a final count.
	mu      sync.Mutex
	written int64
	// owner is the exchange that uses the connection; nil for an idle one.
	owner *exchange
	// judged is closed once the response of the last exchange was judged.
	judged <-chan struct{}
	// check and writeLimit apply to the next write and are then reset.
	check      func() error
	writeLimit time.Duration
}

func newTrackedConn(raw net.Conn, set *connSet, addr string) *trackedConn {
	c := &trackedConn{Conn: httpstrict.Wrap(raw), set: set, addr: addr}
	c.readChanged = sync.NewCond(&c.readMu)
	return c
}

// Write writes p. Immediately before the first write of an exchange it runs the
// check of the exchange. It writes nothing on a connection with unread bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.attached.Load() {
		c.awaitRead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted.Load() {
		return 0, errAborted
	}
	if err := c.runCheck(); err != nil {
		return 0, err
	}
	if c.attached.Swap(false) {
		if c.written > 0 && unread(c.NetConn()) {
			_ = c.Close()
			return 0, errUnsolicited
		}
		c.requested.Store(true)
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if c.owner != nil && n > 0 {
		c.owner.wroteAt = time.Now()
	}
	c.notePath(err)
	return n, err
}

// notePath records a failure of the path.
func (c *trackedConn) notePath(err error) {
	var path *PathError
	if errors.As(err, &path) {
		c.pathLost.Store(true)
	}
}

// runCheck sets the write deadline before it runs the check, so that a process
// that is paused after the check does not deliver the request late.
func (c *trackedConn) runCheck() error {
	check, limit := c.check, c.writeLimit
	c.check, c.writeLimit = nil, 0
	if limit > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
	}
	if check == nil {
		return nil
	}
	start := time.Now()
	err := check()
	if err == nil && limit > 0 && time.Since(start) >= limit {
		err = eris.New("check took longer than the write deadline")
	}
	if err != nil {
		c.owner.checkErr = &checkError{err: err}
		_ = c.Close()
	}
	return err
}

func (c *trackedConn) Read(p []byte) (int, error) {
	if timeout := c.readTimeout.Load(); timeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(time.Duration(timeout))); err != nil {
			return 0, err
		}
	}
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
	var malformed *httpstrict.MalformedError
	if errors.As(err, &malformed) {
		c.malformed.Store(true)
	}
	c.notePath(err)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.set.noteHeard(c)
	}
	if n > 0 && !c.requested.Load() {
		_ = c.Close()
		return 0, errUnsolicited
	}
	return n, err
}

func (c *trackedConn) setReading(reading bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.reading = reading
	c.readChanged.Broadcast()
}

// awaitRead waits until net/http reads the connection. It then holds no byte that
// arrived before.
func (c *trackedConn) awaitRead() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for !c.reading && !c.aborted.Load() {
		c.readChanged.Wait()
	}
}

// markAborted makes all further writes fail.
func (c *trackedConn) markAborted() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.aborted.Store(true)
	c.readChanged.Broadcast()
}

func (c *trackedConn) Close() error {
	c.markAborted()
	c.set.remove(c)
	return c.Conn.Close()
}

// abort closes the connection, waits for a write in progress and returns the
// final number of bytes written.
func (c *trackedConn) abort() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// attach assigns the connection to one exchange and returns the number of bytes
// written before it.
func (c *trackedConn) attach(x *exchange, readTimeout time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.judged = x, x.judged
	c.requested.Store(false)
	c.attached.Store(true)
	c.check, c.writeLimit = x.check, x.writeLimit
	c.setReadTimeout(readTimeout)
	return c.written
}

// awaitJudged waits until the response of the last exchange was judged. net/http returns
// a connection to its pool before the caller has seen a response without a body.
func (c *trackedConn) awaitJudged() {
	c.mu.Lock()
	judged := c.judged
	c.mu.Unlock()
	if judged != nil {
		<-judged
	}
}

// detach removes the timeouts that x set, unless another exchange already owns the
// connection.
func (c *trackedConn) detach(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x {
		return
	}
	c.owner = nil
	c.requested.Store(false)
	c.setReadTimeout(0)
	_ = c.SetWriteDeadline(time.Time{})
	if c.retired.Load() {
		_ = c.Close() // net/http opens another one.
	}
}

// setReadTimeout sets the read timeout. It also applies to a read in progress.
func (c *trackedConn) setReadTimeout(timeout time.Duration) {
	c.readTimeout.Store(int64(timeout))
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.SetReadDeadline(deadline)
}

// closeIfIdle closes the connection if no exchange owns it. An exchange that takes it
// meanwhile writes nothing.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.owner == nil
	if idle {
		c.markAborted()
	}
	c.mu.Unlock()
	if idle {
		_ = c.Close() // The server may be gone.
	}
}

// connSet holds the open connections by address.
type connSet struct {
	mu    sync.Mutex
	conns map[string]map[*trackedConn]struct{}
	// heard is called when bytes have arrived on a connection over the own path.
	heard atomic.Pointer[func()]
}

func newConnSet() *connSet {
	return &connSet{conns: map[string]map[*trackedConn]struct{}{}}
}

func (s *connSet) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.addr] == nil {
		s.conns[c.addr] = map[*trackedConn]struct{}{}
	}
	s.conns[c.addr][c] = struct{}{}
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns[c.addr], c)
	if len(s.conns[c.addr]) == 0 {
		delete(s.conns, c.addr)
	}
}

// closeIdle closes the idle connections to the address of x. If one connection
// stopped delivering data, the other open ones may have stopped as well.
func (s *connSet) closeIdle(x *exchange) {
	x.mu.Lock()
	used := x.used
	x.mu.Unlock()
	if used == nil {
		return
	}
	addr := used.addr
	s.mu.Lock()
	conns := make([]*trackedConn, 0, len(s.conns[addr]))
	for c := range s.conns[addr] {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// exchange tracks one request through the transport. net/http may try several
// connections; the exchange permits that only while no byte of the request was
// written.
type exchange struct {
	request *http.Request
	// readTimeout is the longest time without a byte from the backend; 0 means no
	// timeout. reusedReadTimeout, if not 0, replaces it on a connection from the
	// pool, which may have stopped delivering while it was idle.
	readTimeout       time.Duration
	reusedReadTimeout time.Duration
	// fresh requests a new connection that is closed after the exchange.
	fresh      bool
	check      func() error
	writeLimit time.Duration
	// repeatable is set if the caller repeats the call elsewhere once the path is lost.
	repeatable bool
	// wroteAt is the time of the last write. The connection's mu guards it.
	wroteAt time.Time
	// accept reports whether the connection may be used again after this response; nil
	// means always.
	accept func(*http.Response) bool
	cancel context.CancelFunc
	// judged is closed once accept was called or the exchange failed.
	judged chan struct{}

	mu sync.Mutex
	// conn is the current connection; nil after release or abort.
	conn *trackedConn
	// used is the last connection, also after release.
	used *trackedConn
	// writtenBefore is the number of bytes that earlier exchanges wrote on conn.
	writtenBefore int64
	wrote         bool
	// timedOut, malformed, pathLost and checkErr record why a connection failed.
	// net/http may return the error of a retry that gotConn prevented instead.
	timedOut  bool
	malformed bool
	pathLost  bool
	checkErr  error
}

// trace returns a context that makes net/http report the connections of the
// request to x.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:     x.gotConn,
		PutIdleConn: func(error) { x.release() },
	})
}

// gotConn attaches a connection that net/http has chosen for the request. It
// cancels the request if bytes were already written on an earlier connection.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic("backend: connection was not opened by this package's dialer")
	}
	conn.awaitJudged()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortLocked()
	if x.wrote {
		// net/http retries requests that it considers idempotent after a
		// connection failed. Whether to retry is the caller's decision.
		conn.abort()
		x.cancel()
		return
	}
	x.conn, x.used = conn, conn
	readTimeout := x.readTimeout
	if info.Reused && x.reusedReadTimeout > 0 {
		readTimeout = x.reusedReadTimeout
	}
	conn.Begin(x.request)
	x.writtenBefore = conn.attach(x, readTimeout)
}

// reject closes the connection, also if net/http has returned it to the pool.
func (x *exchange) reject() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortLocked()
	_ = x.used.Close()
}

// firstOnConn reports whether no request was written on the connection before.
func (x *exchange) firstOnConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.writtenBefore == 0
}

// unwritten reports whether no byte of the request was written.
func (x *exchange) unwritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && !x.conn.requested.Load()
}

// release detaches the connection when net/http has completed the exchange and
// tries to return the connection to the pool.
func (x *exchange) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return
	}
	x.conn.detach(x)
	x.conn = nil
	x.wrote = true
}

// abort ends the exchange after a failure: it closes the connection and
// reports whether any byte of the request was written. After abort nothing
// more is written.
func (x *exchange) abort() (wrote bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortLocked()
	return x.wrote
}

func (x *exchange) abortLocked() {
	if x.conn == nil {
		return
	}
	if x.conn.abort() > x.writtenBefore {
		x.wrote = true
	}
	x.timedOut = x.timedOut || x.conn.timedOut.Load()
	x.malformed = x.malformed || x.conn.malformed.Load()
	x.pathLost = x.pathLost || x.conn.pathLost.Load()
	x.conn = nil
}

// setReadTimeout changes the read timeout of the exchange in progress; 0 means no
// timeout.
func (x *exchange) setReadTimeout(timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.setReadTimeout(timeout)
	}
}

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// transport sends requests over tracked connections.
type transport struct {
	pooled *http.Transport
	// fresh opens a new connection for each request.
	fresh *http.Transport
	set   *connSet
}

func newTransport(dial DialFunc, idle time.Duration) *transport {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	set := newConnSet()
	t := &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idle,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,
		// A server may send header lines without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dial(ctx, network, dialAddress(addr))
			if err != nil {
				return nil, err
			}
			c := newTrackedConn(raw, set, addr)
			set.add(c)
			return c, nil
		},
	}
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	return &transport{pooled: t, fresh: fresh, set: set}
}

// close closes the pooled connections.
func (t *transport) close() {
	t.pooled.CloseIdleConnections()
}
