package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that is written on a connection with a response that arrived
// while it was idle, or with the response before: it must reach the server on another one.
func TestRequestIsNotWrittenBehindUnsolicitedBytes(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	second := make(chan int, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if n > 0 {
						second <- n
					}
					const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
					if _, err := io.WriteString(conn, answer+answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	client := NewClient(nil, time.Second)
	for range 300 {
		req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, callErr := client.Do(req, CallOptions{})
		g.Expect(callErr).To(BeNil())
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
	}
	g.Expect(second).To(BeEmpty())
}
