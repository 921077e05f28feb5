package ingress

import (
	"bytes"
	"strings"
)

// framing follows the message boundaries of one HTTP/1.x connection, so that the size of
// a head is known before net/http parses it. It only counts: net/http decides whether a
// message is valid. Where both could disagree, framing reports the connection as broken,
// and the caller stops reading from it.
type framing struct {
	state framingState
	// line holds the beginning of the current logical header line or chunk size line.
	line    [maxKeptLine]byte
	lineLen int
	// lineSize is the size of the current physical line without its end.
	lineSize int64
	// lineFirst is the first byte of the current physical line.
	lineFirst byte
	// headBytes and headLines count the current head.
	headBytes, headLines int64
	// lastHeadBytes is the size of the last complete head.
	lastHeadBytes  int64
	hasRequestLine bool
	chunked        bool
	hasLength      bool
	// left is the number of bytes that are left of the body or of the current chunk.
	left int64
	// trailerBytes counts the lines behind a chunked body.
	trailerBytes int64
	// heads and bodies count complete heads and complete bodies, bodies without bytes
	// included.
	heads, bodies int64
}

type framingState uint8

const (
	inHead framingState = iota
	inLength
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

const (
	// maxKeptLine is the part of a line that framing needs: the longer of the two header
	// names, white space and a number of 19 digits.
	maxKeptLine = 64
	// maxChunkLine and maxTrailerBytes are the limits of net/http, which buffers 4,096
	// bytes.
	maxChunkLine    = 4096
	maxTrailerBytes = 4096
)

// counted is what one slice of bytes added.
type counted struct {
	// headBytes and headLines belong to heads, bodyBytes are content of bodies.
	headBytes, headLines, bodyBytes int64
}

// advance consumes bytes in the order in which they were read. ok is false if the bytes
// are not valid HTTP/1.x framing.
func (f *framing) advance(p []byte) (c counted, ok bool) {
	for len(p) > 0 {
		switch f.state {
		case inHead:
			n, complete := f.nextLine(p)
			c.headBytes += int64(n)
			f.headBytes += int64(n)
			p = p[n:]
			if complete {
				c.headLines++
				if !f.headLine() {
					return c, false
				}
			}
		case inLength, inChunk:
			n := min(int64(len(p)), f.left)
			c.bodyBytes += n
			f.left -= n
			p = p[n:]
			if f.left == 0 {
				f.bodyPartEnds()
			}
		case inChunkEnd:
			n := min(int64(len(p)), f.left)
			f.left -= n
			p = p[n:]
			if f.left == 0 {
				f.state = inChunkSize
			}
		case inChunkSize:
			n, complete := f.nextLine(p)
			p = p[n:]
			if f.lineSize > maxChunkLine || complete && !f.chunkLine() {
				return c, false
			}
		case inTrailer:
			n, complete := f.nextLine(p)
			f.trailerBytes += int64(n)
			p = p[n:]
			if f.trailerBytes > maxTrailerBytes {
				return c, false
			}
			if complete {
				empty := f.lineEmpty()
				f.startLine()
				if empty {
					f.bodyEnds()
				}
			}
		}
	}
	return c, true
}

// nextLine consumes bytes up to the end of the line, or all if the line goes on. It
// keeps the beginning of the line.
func (f *framing) nextLine(p []byte) (n int, complete bool) {
	end := bytes.IndexByte(p, '\n')
	n = end + 1
	if end < 0 {
		n = len(p)
		end = n
	}
	// A line that begins with white space continues the one before.
	if f.lineSize == 0 && end > 0 && f.state == inHead && f.lineLen > 0 && p[0] != ' ' && p[0] != '\t' {
		f.field()
		f.lineLen = 0
	}
	if f.lineSize == 0 && end > 0 {
		f.lineFirst = p[0]
	}
	if f.lineLen < maxKeptLine {
		f.lineLen += copy(f.line[f.lineLen:], p[:end])
	}
	f.lineSize += int64(end)
	return n, n > end
}

// lineEmpty reports whether the current physical line is empty but for a carriage
// return.
func (f *framing) lineEmpty() bool {
	return f.lineSize == 0 || f.lineSize == 1 && f.lineFirst == '\r'
}

func (f *framing) startLine() { f.lineLen, f.lineSize = 0, 0 }

// headLine handles a complete line of a head.
func (f *framing) headLine() bool {
	f.headLines++
	empty := f.lineEmpty()
	if !empty {
		if !f.hasRequestLine {
			f.hasRequestLine = true
			f.lineLen = 0 // The request line is no field.
		}
		f.lineSize = 0
		return true
	}
	if !f.hasRequestLine { // Empty lines before a request.
		f.startLine()
		return true
	}
	f.field()
	f.startLine()
	f.heads++
	f.lastHeadBytes, f.headBytes = f.headBytes, 0
	switch {
	case f.chunked:
		f.state = inChunkSize
	case f.left > 0:
		f.state = inLength
	default:
		f.bodyEnds()
	}
	return true
}

// field evaluates the kept header line. A field that net/http refuses is left out.
func (f *framing) field() {
	kept := f.line[:f.lineLen]
	if len(kept) == 0 || (kept[0]|0x20 != 'c' && kept[0]|0x20 != 't') {
		return
	}
	colon := bytes.IndexByte(kept, ':')
	if colon < 0 {
		return
	}
	switch {
	case strings.EqualFold(string(kept[:colon]), "Transfer-Encoding"):
		f.chunked = true
	case strings.EqualFold(string(kept[:colon]), "Content-Length") && !f.hasLength:
		f.hasLength = true
		f.left = parseNumber(bytes.TrimSpace(kept[colon+1:]), 10)
	}
}

// chunkLine handles a complete chunk size line.
func (f *framing) chunkLine() bool {
	size, _, _ := bytes.Cut(f.line[:f.lineLen], []byte{';'})
	size = bytes.TrimRight(size, " \t\r\n")
	f.startLine()
	f.left = parseNumber(size, 16)
	switch {
	case f.left < 0:
		return false
	case f.left == 0:
		f.state, f.trailerBytes = inTrailer, 0
	default:
		f.state = inChunk
	}
	return true
}

// bodyPartEnds handles the end of a body with a length, or of a chunk.
func (f *framing) bodyPartEnds() {
	if f.state == inLength {
		f.bodyEnds()
		return
	}
	f.state, f.left = inChunkEnd, int64(len("\r\n"))
}

func (f *framing) bodyEnds() {
	*f = framing{heads: f.heads, bodies: f.bodies + 1, lastHeadBytes: f.lastHeadBytes}
}

// parseNumber parses digits of a base up to 16; it returns -1 for anything else and for
// numbers beyond 63 bits.
func parseNumber(digits []byte, base int64) int64 {
	if len(digits) == 0 || len(digits) > 19 {
		return -1
	}
	n := int64(0)
	for _, c := range digits {
		var d int64
		switch {
		case c >= '0' && c <= '9':
			d = int64(c - '0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			d = int64(c|0x20-'a') + 10
		default:
			return -1
		}
		if d >= base || n > (1<<63-1-d)/base {
			return -1
		}
		n = n*base + d
	}
	return n
}
