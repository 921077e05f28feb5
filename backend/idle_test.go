package backend

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type sinkConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *sinkConn) Write(p []byte) (int, error)        { return len(p), nil }
func (c *sinkConn) Close() error                       { c.closed.Store(true); return nil }
func (c *sinkConn) SetReadDeadline(t time.Time) error  { return nil }
func (c *sinkConn) SetWriteDeadline(t time.Time) error { return nil }

// Guards against an idle connection that is closed after another request has taken it and
// was written.
func TestCloseIdleLeavesAConnectionThatHasJustBeenTaken(t *testing.T) {
	cut, refused, total := 0, 0, 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); total++ {
		set := newConnSet()
		inner := &sinkConn{}
		c := newTrackedConn(inner, set, "a:1")
		c.reading = true
		set.add(c)
		failed, next := &exchange{used: c}, &exchange{}
		var start atomic.Bool
		var wg sync.WaitGroup
		wg.Go(func() {
			for !start.Load() {
				runtime.Gosched()
			}
			for range total % 128 {
				_ = start.Load()
			}
			set.closeIdle(failed)
		})
		start.Store(true)
		for range total / 128 % 512 {
			_ = start.Load()
		}
		c.attach(next, 0)
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		wg.Wait()
		switch {
		case err == nil && inner.closed.Load():
			cut++
		case err != nil:
			refused++
		}
	}
	t.Logf("%d connections, %d closed before the write", total, refused)
	if cut > 0 {
		t.Errorf("%d of %d connections were closed after a request was written", cut, total)
	}
}
