package ingress

import (
	"net"
	"strings"
	"testing"
)

// repeatedConn delivers one request again and again and discards answers.
type repeatedConn struct {
	net.Conn
	data string
}

func (c *repeatedConn) Read(p []byte) (int, error)  { return copy(p, c.data), nil }
func (c *repeatedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *repeatedConn) Close() error                { return nil }

// BenchmarkOrdinaryRequest measures what a Conn adds to a request of 2 KB: reading,
// charging its head and its body, writing an answer and the end of the request. It must
// allocate nothing.
func BenchmarkOrdinaryRequest(b *testing.B) {
	g := New(Config{Memory: 144e6})
	head := post + strings.Repeat("X-Usual-Header-Line: some value of thirty bytes...\r\n", 10) + "Content-Length: 2048\r\n\r\n"
	inner := &repeatedConn{data: head + strings.Repeat("x", 2048)}
	l := g.listen(nil, 10).(*listener)
	c := l.admit(inner)
	buffer, answer := make([]byte, 4096), make([]byte, 512)
	b.ReportAllocs()
	for range b.N {
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
		c.requestBegins()
		g.charge(c, 2048)
		if _, err := c.Write(answer); err != nil {
			b.Fatal(err)
		}
		c.requestEnds()
	}
}
