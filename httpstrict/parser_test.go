package httpstrict

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Guards against responses whose judgement depends on how their bytes arrive, and against a
// wrong end of a response.
func TestResponsesEndWhereTheyShould(t *testing.T) {
	const rest = "HTTP/1.1 503 x\r\n\r\n"
	cases := map[string]struct {
		response string
		bodiless bool
		// open is set if the body ends with the connection.
		open bool
	}{
		"length":        {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
		"empty":         {response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"chunks":        {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"no content":    {response: "HTTP/1.1 204 x\r\nContent-Length: 5\r\n\r\n"},
		"not modified":  {response: "HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"HEAD":          {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", bodiless: true},
		"interim":       {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nh"},
		"until close":   {response: "HTTP/1.1 200 OK\r\n\r\nhello", open: true},
		"until close 0": {response: "HTTP/1.0 200\r\nContent-Type: x\r\n\r\nhello", open: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.response+rest); size++ {
				p := parser{}
				p.begin(c.bodiless)
				data, used := []byte(c.response+rest), 0
				for len(data) > 0 {
					step := min(size, len(data))
					n, err := p.scan(data[:step])
					if err != nil {
						t.Fatalf("in steps of %d: %v", size, err)
					}
					used += n
					if n < step {
						break
					}
					data = data[step:]
				}
				want := len(c.response)
				if c.open {
					want += len(rest)
				}
				if used != want || (p.state == stateUntilClose) != c.open {
					t.Fatalf("in steps of %d: the response has %d bytes, not %d; state %d", size, used, want, p.state)
				}
			}
		})
	}
}

// Guards against lines without end that take memory.
func TestLinesAreBounded(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "} {
		p := parser{}
		p.begin(false)
		data := []byte(start + strings.Repeat("0", 2*maxLineBytes))
		var failed *MalformedError
		for err := error(nil); err == nil && len(data) > 0; data = data[min(1000, len(data)):] {
			if _, err = p.scan(data[:min(1000, len(data))]); err != nil && !errors.As(err, &failed) {
				t.Fatal(err)
			}
		}
		if failed == nil || cap(p.line) > 2*maxLineBytes {
			t.Errorf("after %q: error %v, %d bytes are held", start, failed, cap(p.line))
		}
	}
}

// bytesConn is a connection on which bytes arrive before its end.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)       { return c.Reader.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against responses that pass the check and break its rules once net/http has read
// them, and against a disagreement about where a response ends.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n y\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		request, _ := http.NewRequest(http.MethodGet, "http://h/", nil)
		if head {
			request.Method = http.MethodHead
		}
		conn := Wrap(&bytesConn{Reader: iotest.HalfReader(bytes.NewReader(data))})
		conn.Begin(request)
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, request)
		for err == nil && response.StatusCode < 200 {
			response, err = http.ReadResponse(reader, request)
		}
		if err != nil {
			return
		}
		if response.StatusCode > 599 {
			t.Fatalf("status %d", response.StatusCode)
		}
		checkFields(t, response.Header)
		if _, err := io.ReadAll(response.Body); err != nil {
			return
		}
		checkFields(t, response.Trailer)
		if state := conn.response.state; state != stateIdle && state != stateUntilClose {
			t.Fatalf("net/http takes the response for complete in state %d", state)
		}
		if extra, _ := reader.Peek(1); len(extra) > 0 {
			t.Fatalf("net/http takes byte %q for one behind the response", extra)
		}
	})
}

func checkFields(t *testing.T, fields http.Header) {
	for name, values := range fields {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				t.Fatalf("field %q with the value %q", name, value)
			}
		}
	}
}
