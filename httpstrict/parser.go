package httpstrict

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxLineBytes bounds a line of a head, a trailer or a chunk size.
	maxLineBytes = 64 << 10
	// maxQuotedBytes bounds the part of a line that an error quotes.
	maxQuotedBytes = 64
	// maxSizeDigits bounds the digits of a chunk size, which then fits into an int64.
	maxSizeDigits = 15
)

// MalformedError reports a response that breaks the grammar of HTTP/1.1.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// ErrNotHTTP is returned for bytes that are not the start of a response of any version.
var ErrNotHTTP = errors.New("server does not speak HTTP")

// malformed returns a MalformedError that quotes the start of the offending text.
func malformed(reason string, text []byte) error {
	return &MalformedError{Reason: fmt.Sprintf("%s: %q", reason, text[:min(len(text), maxQuotedBytes)])}
}

// state is what the next byte of a connection belongs to.
type state int

const (
	// stateIdle is the state while no response is due.
	stateIdle state = iota
	stateStatusLine
	stateFields
	// stateBody is the state within a body of known length.
	stateBody
	stateChunkSize
	stateChunkData
	// stateChunkEnd is the state before the CRLF behind the data of a chunk.
	stateChunkEnd
	stateTrailers
	// stateUntilClose is the state within a body that ends with the connection.
	stateUntilClose
)

// parser follows the bytes of one connection and finds the errors in heads, chunk sizes and
// trailers. It stores at most one line.
type parser struct {
	state state
	// line holds the start of a line whose end has not arrived.
	line []byte
	// left is the number of bytes until the end of the body or chunk.
	left int64
	// bodiless is set if the request's method allows no body in its response.
	bodiless bool
	head     head
}

// head holds what the framing of the body depends on.
type head struct {
	minor  byte
	status int
	// length is the Content-Length; negative if there is none.
	length  int64
	chunked bool
}

// begin makes the parser expect the response to a request.
func (p *parser) begin(bodiless bool) {
	p.state, p.bodiless = stateStatusLine, bodiless
}

// scan returns how many of the next bytes of the connection belong to the response. They
// are fewer than given if the response ends before.
func (p *parser) scan(data []byte) (n int, err error) {
	for n < len(data) {
		switch p.state {
		case stateIdle:
			return n, nil
		case stateUntilClose:
			return len(data), nil
		case stateBody, stateChunkData:
			step := min(int64(len(data)-n), p.left)
			n += int(step)
			if p.left -= step; p.left == 0 {
				p.bodyEnded()
			}
		default:
			line, used, err := p.readLine(data[n:])
			n += used
			if err != nil || line == nil {
				return n, err
			}
			if err := p.take(line); err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

func (p *parser) bodyEnded() {
	if p.state == stateChunkData {
		p.state = stateChunkEnd
		return
	}
	p.state = stateIdle
}

// readLine returns the next line without its CRLF, or nil if its end has not arrived. The
// line is valid until the next call.
func (p *parser) readLine(data []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(data, '\n')
	used = end + 1
	if end < 0 {
		used = len(data)
	}
	if len(p.line)+used > maxLineBytes {
		return nil, used, malformed("line is too long", append(p.line, data[:min(used, maxQuotedBytes)]...))
	}
	line = data[:used]
	if len(p.line) > 0 || end < 0 {
		p.line = append(p.line, line...)
		line = p.line
	}
	if end < 0 {
		return nil, used, nil
	}
	p.line = p.line[:0]
	// RFC 9112, section 2.2, lets a recipient take a lone LF for the end of a line, which
	// would make two lines of a value with an LF.
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, used, malformed("line does not end in CRLF", line)
	}
	return text, used, nil
}

// take handles a whole line.
func (p *parser) take(line []byte) (err error) {
	switch p.state {
	case stateStatusLine:
		p.head, err = parseStatusLine(line)
		p.state = stateFields
	case stateFields:
		if len(line) == 0 {
			p.headEnded()
			return nil
		}
		return p.head.takeField(line)
	case stateChunkSize:
		p.left, err = parseChunkSize(line)
		p.state = stateChunkData
		if p.left == 0 {
			p.state = stateTrailers
		}
	case stateChunkEnd:
		if len(line) > 0 {
			return malformed("chunk is longer than its size", line)
		}
		p.state = stateChunkSize
	case stateTrailers:
		if len(line) == 0 {
			p.state = stateIdle
			return nil
		}
		_, _, err = parseField(line)
	}
	return err
}

// headEnded chooses how the body is framed, as RFC 9112, section 6.3, demands.
func (p *parser) headEnded() {
	h := p.head
	switch {
	case h.status < 200:
		p.state = stateStatusLine
	case p.bodiless || h.status == 204 || h.status == 304:
		p.state = stateIdle
	case h.chunked:
		p.state = stateChunkSize
	case h.length == 0:
		p.state = stateIdle
	case h.length > 0:
		p.state, p.left = stateBody, h.length
	default:
		p.state = stateUntilClose
	}
}

// parseStatusLine accepts the status codes that RFC 9110 defines: 2xx to 5xx for final
// responses and 1xx for interim ones, except for 101, because no request asks for another
// protocol.
func parseStatusLine(line []byte) (head, error) {
	if !bytes.HasPrefix(line, []byte("HTTP/")) {
		return head{}, ErrNotHTTP
	}
	version, rest, _ := strings.Cut(string(line), " ")
	if len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigits(version[len("HTTP/1."):]) {
		return head{}, malformed("status line has no HTTP/1 version", line)
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || !isDigits(code) || status < 100 || status > 599 || status == 101 {
		return head{}, malformed("status code is not one of a response", line)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return head{}, malformed("reason phrase holds control bytes", line)
	}
	return head{minor: version[len("HTTP/1.")], status: status, length: -1}, nil
}

// takeField checks a field of a head and records what it says about the body.
func (h *head) takeField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil || (h.length >= 0 && h.length != int64(length)) {
			return malformed("Content-Length is not one number", line)
		}
		h.length = int64(length)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") || h.minor == '0' {
			return malformed("transfer coding is not supported", line)
		}
		h.chunked = true
	default:
		return nil
	}
	if h.chunked && h.length >= 0 {
		return malformed("body has both a Content-Length and a transfer coding", line)
	}
	return nil
}

// parseField splits a field line. A line that begins with a blank continues the one before
// for lenient readers; RFC 9112, section 5.2, lets a gateway refuse it.
func parseField(line []byte) (name, value string, err error) {
	name, value, found := strings.Cut(string(line), ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return "", "", malformed("field name is not a token", line)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", "", malformed("field value holds control bytes", line)
	}
	return name, strings.Trim(value, " \t"), nil
}

// parseChunkSize returns the size of a chunk. Extensions are ignored.
func parseChunkSize(line []byte) (int64, error) {
	digits, extension, _ := strings.Cut(string(line), ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || len(digits) > maxSizeDigits {
		return 0, malformed("chunk size is not a hexadecimal number", line)
	}
	if !httpguts.ValidHeaderFieldValue(extension) {
		return 0, malformed("chunk extension holds control bytes", line)
	}
	return int64(size), nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
