// Package httpstrict makes net/http's client for HTTP/1.1 refuse responses that net/http
// reads leniently: heads and trailers that break the grammar of RFC 9110 and RFC 9112, and
// bodies without a length whose connection did not end in order.
package httpstrict

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

var (
	// ErrUnsolicited is returned for bytes that belong to no response.
	ErrUnsolicited = errors.New("bytes arrived that no request asked for")
	// ErrCutOff is returned instead of the end of a body without a length if the connection
	// ended before the server had the whole request.
	ErrCutOff = errors.New("connection ended before the request was delivered")
)

// Conn is a client's connection that checks the responses of the server. It checks nothing
// before the first call of Begin.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response parser
	begun    bool

	// writeMu is held during writes, so that the progress includes all of them.
	writeMu sync.Mutex
	request progress
}

// Wrap returns a connection that checks the responses on conn.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin makes the connection expect the response to a request, of which nothing has been
// written. It closes the connection if the previous response has not ended.
func (c *Conn) Begin(req *http.Request) {
	c.writeMu.Lock()
	length := bodyLength(req)
	c.request = progress{bodyLeft: length, bodiless: length == 0}
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.response.state != stateIdle {
		_ = c.Conn.Close()
		return
	}
	c.begun = true
	c.response.begin(req.Method == http.MethodHead)
}

// Read implements net.Conn. It fails with a *MalformedError, ErrNotHTTP, ErrUnsolicited or
// ErrCutOff if the bytes must not be used; the connection is then closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	used, untilClose, failed := c.check(p[:n])
	switch {
	case failed != nil:
		_ = c.Conn.Close()
		return 0, failed
	case used < n:
		_ = c.Conn.Close() // What follows the response is not read.
		return used, nil
	case errors.Is(err, io.EOF) && untilClose && !c.endedInOrder():
		return n, ErrCutOff
	}
	return n, err
}

// check returns how many bytes belong to the response, and whether its body ends with the
// connection.
func (c *Conn) check(data []byte) (used int, untilClose bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		return len(data), false, nil
	}
	used, err = c.response.scan(data)
	if err == nil && used == 0 && len(data) > 0 {
		err = ErrUnsolicited
	}
	return used, c.response.state == stateUntilClose, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	c.request.wrote(p[:n])
	return n, err
}

// endedInOrder closes a connection that the server has ended, and reports whether the end
// also ends the response. A reset is reported once: if a write gets the error, the read sees
// an ordinary end. The server then does not have the whole request.
func (c *Conn) endedInOrder() bool {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // Ends a write in progress.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	inOrder := c.request.done() && (c.request.bodiless || !Undelivered(c.Conn))
	_ = c.Conn.Close()
	return inOrder
}

// progress counts the bytes of a request that are still to be written.
type progress struct {
	// matched is the number of bytes of headEnd that were written last; the head has ended
	// once all were.
	matched  int
	bodyLeft int64
	// bodiless is set if the request has no body. A server that answers it has all of it.
	bodiless bool
}

const headEnd = "\r\n\r\n"

func (r *progress) wrote(data []byte) {
	for ; r.matched < len(headEnd) && len(data) > 0; data = data[1:] {
		switch data[0] {
		case headEnd[r.matched]:
			r.matched++
		case '\r':
			r.matched = 1
		default:
			r.matched = 0
		}
	}
	r.bodyLeft -= int64(len(data))
}

func (r *progress) done() bool { return r.matched == len(headEnd) && r.bodyLeft == 0 }

// unknownLength is the length of a body whose end can't be found by counting. The request
// then never counts as written in full.
const unknownLength = 1<<63 - 1

// bodyLength returns the length of a request's body.
func bodyLength(req *http.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength > 0:
		return req.ContentLength
	}
	return unknownLength
}
