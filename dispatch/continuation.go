package dispatch

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
)

// isEventStream reports whether an answer may be a stream of events: its content type says
// so or is absent.
func isEventStream(header http.Header) bool {
	value := header.Get("Content-Type")
	if value == "" {
		return true
	}
	kind, _, err := mime.ParseMediaType(value)
	return err == nil && kind == "text/event-stream"
}

// eventSequence checks that the events of an answer follow each other, also where an
// attempt continues the stream of an earlier one or of the client's earlier request.
type eventSequence struct {
	// delivered is set once an event of the current attempt was accepted.
	delivered bool
	// unnumbered is set if the last event had no ID, so that the stream can't be
	// continued behind it.
	unnumbered bool
	// gaps is set once a server left out numbers within one attempt, so that a
	// continuation may do so as well.
	gaps bool
}

// accept reports whether an event may follow the event with the ID last, which is empty if
// there is none. The IDs of a stream increase; the first event of a continuation must be
// the next one.
func (s *eventSequence) accept(last string, ev Event) bool {
	if isComment(ev.Data) {
		return true
	}
	joins := !s.delivered && last != ""
	if joins && ev.ID == "" {
		return false
	}
	before, errBefore := strconv.ParseUint(last, 10, 64)
	number, errNumber := strconv.ParseUint(ev.ID, 10, 64)
	switch {
	case last == "" || ev.ID == "":
	case errBefore != nil || errNumber != nil:
		if ev.ID == last {
			return false
		}
	case number <= before, joins && number > before+1 && !s.gaps:
		return false
	case number > before+1 && !joins:
		s.gaps = true
	}
	s.delivered, s.unnumbered = true, ev.ID == ""
	return true
}

// isComment reports whether an event consists of comments only, which servers send to
// keep a connection open.
func isComment(data []byte) bool {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
