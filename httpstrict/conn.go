// Package httpstrict makes net/http's client for HTTP/1.1 refuse responses that net/http
// reads leniently: heads and trailers that break the grammar of RFC 9110 and RFC 9112.
package httpstrict

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// ErrUnsolicited is returned for bytes that belong to no response.
var ErrUnsolicited = errors.New("bytes arrived that no request asked for")

// Conn is a client's connection that checks the responses of the server. It checks nothing
// before the first call of Begin.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response parser
	begun    bool
}

// Wrap returns a connection that checks the responses on conn.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin makes the connection expect the response to a request, of which nothing has been
// written. It closes the connection if the response before has not ended.
func (c *Conn) Begin(req *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.response.state != stateIdle {
		_ = c.Conn.Close()
		return
	}
	c.begun = true
	c.response.begin(req.Method == http.MethodHead)
}

// Read implements net.Conn. It fails with a *MalformedError, ErrNotHTTP or ErrUnsolicited if
// the bytes must not be used; the connection is then closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	used, failed := c.check(p[:n])
	switch {
	case failed != nil:
		_ = c.Conn.Close()
		return 0, failed
	case used < n:
		_ = c.Conn.Close() // What follows the response is not read.
		return used, nil
	}
	return n, err
}

// check returns how many bytes belong to the response.
func (c *Conn) check(data []byte) (used int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		return len(data), nil
	}
	used, err = c.response.scan(data)
	if err == nil && used == 0 && len(data) > 0 {
		err = ErrUnsolicited
	}
	return used, err
}
