package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an answer that stopped in its head and counts as a success.
func TestAnswerThatStopsInItsHeadFails(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	cuts := make(chan int, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, answer[:<-cuts])
			_ = conn.Close()
		}
	}()
	url := "http://" + listener.Addr().String()
	services := NewServices(nil)
	client := NewClient(nil, time.Second)
	for cut := range len(answer) {
		cuts <- cut
		if resp, err := services.Do(context.Background(), url, ServiceRequest{ID: "r", Method: http.MethodPost, Path: "/"}); err == nil {
			t.Errorf("plain service: %q is status %d", answer[:cut], resp.Status)
		}
		cuts <- cut
		req, _ := http.NewRequest(http.MethodPost, url, nil)
		if resp, err := client.Do(req, CallOptions{Fresh: true}); err == nil {
			t.Errorf("server: %q is status %d", answer[:cut], resp.StatusCode)
		}
	}
}
