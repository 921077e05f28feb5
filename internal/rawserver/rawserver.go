// Package rawserver provides a server for tests that answers with raw bytes and ends its
// connections as it likes.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Conn is a connection of a client.
type Conn struct{ *net.TCPConn }

// Reset closes the connection with a reset. Bytes that the client has not read may be lost.
func (c Conn) Reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Start serves the first request of each connection on a free loopback port until the test
// ends. serve gets the request once its head was read; the connection is closed when it
// returns. Start returns the server's address.
func Start(t testing.TB, serve func(conn Conn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(Conn{conn.(*net.TCPConn)}, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
