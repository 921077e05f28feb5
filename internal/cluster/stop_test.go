package cluster

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a planned stop that closes a connection on which a request has begun to
// arrive, instead of answering it.
func TestPlannedStopAnswersARequestThatIsBeingRead(t *testing.T) {
	c, err := Start(Config{
		Daemons: 1, FailureDomains: []string{"fd-a"}, EnginesPerDomain: 1, Model: "m", Version: "1", TimeScale: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.Daemons[0].URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	const head = "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"
	exchange := func(text string) (*http.Response, error) {
		if _, err := io.WriteString(conn, text); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if _, err := exchange(head); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, head[:len(head)-1]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- c.StopDaemon(0) }()
	time.Sleep(200 * time.Millisecond)
	if _, err := exchange(head[len(head)-1:]); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
