package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// messages returns the number of complete requests and the size of their bodies that
// net/http finds in bytes.
func messages(data string) (requests, body int64) {
	reader := bufio.NewReader(strings.NewReader(data))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return requests, body
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return requests, body
		}
		requests++
		body += n
	}
}

func advanceInParts(data string, part int) (f framing, total counted, ok bool) {
	ok = true
	for len(data) > 0 && ok {
		n := min(part, len(data))
		var c counted
		c, ok = f.advance([]byte(data[:n]))
		total.headBytes += c.headBytes
		total.headLines += c.headLines
		total.bodyBytes += c.bodyBytes
		data = data[n:]
	}
	return f, total, ok
}

var sequences = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\nHost: a\n\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloPOST / HTTP/1.1\r\nHost: a\r\ncontent-length:  2 \r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\nTrailer: x\r\n\r\n1\r\na\r\n0\r\nx: y\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 200) + "\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nX-Content-Length: 9\r\nY: Content-Length: 4\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576000\r\n\r\nabc",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\nabc",
}

// Guards against bytes that are counted as part of another message than net/http takes
// them for, also if they arrive in parts.
func TestFramingFindsTheMessagesOfNetHTTP(t *testing.T) {
	for _, data := range sequences {
		for part := 1; part <= len(data); part++ {
			g := NewWithT(t)
			requests, body := messages(data)
			f, total, ok := advanceInParts(data, part)
			g.Expect(ok).To(BeTrue(), "%q", data)
			g.Expect(f.bodies).To(Equal(requests), "%q in parts of %d", data, part)
			if strings.HasSuffix(data, "abc") {
				body = int64(len("abc")) // An incomplete body.
			}
			g.Expect(total.bodyBytes).To(Equal(body), "%q in parts of %d", data, part)
		}
	}
}

// Guards against chunk lines that net/http refuses and that hide a head.
func TestFramingRefusesMalformedChunks(t *testing.T) {
	for _, line := range []string{"G\r\n", "\r\n", "-1\r\n", "A /x HTTP/1.1\r\n", "8000000000000000\r\n", "1" + strings.Repeat(" ", 5000)} {
		_, _, ok := advanceInParts("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+line, 7)
		NewWithT(t).Expect(ok).To(BeFalse(), "%q", line)
	}
}

// FuzzFraming checks that the result does not depend on the parts in which bytes arrive,
// and that no byte is counted twice.
func FuzzFraming(f *testing.F) {
	for _, data := range sequences {
		f.Add(data, 1)
		f.Add(data, 7)
	}
	f.Fuzz(func(t *testing.T, data string, part int) {
		if part < 1 || part > 4096 {
			return
		}
		one, whole, okWhole := advanceInParts(data, max(len(data), 1))
		two, parts, okParts := advanceInParts(data, part)
		if okWhole != okParts {
			t.Fatalf("whole %v, parts %v", okWhole, okParts)
		}
		if okWhole && (one != two || whole != parts) {
			t.Fatalf("whole %+v %+v, parts %+v %+v", one, whole, two, parts)
		}
		if whole.headBytes+whole.bodyBytes > int64(len(data)) || one.bodies > one.heads {
			t.Fatalf("%+v of %d bytes", whole, len(data))
		}
		// A request that net/http reads is found, so that none is served uncounted.
		if requests, _ := messages(data); okWhole && requests > 0 && one.heads == 0 {
			t.Fatalf("net/http finds %d requests, framing none", requests)
		}
	})
}
