package dispatch

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
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
//
// IDs increase, by one or by more. Where an attempt continues a stream, a larger step may
// be a number that servers of this version leave out or an event that is lost. Steps that
// were seen within attempts tell. If none were seen, the first event is held back until the
// second one shows the step of this server.
type eventSequence struct {
	// delivered is set once an event of the current attempt was accepted.
	delivered bool
	// unnumbered is set if the last event had no ID, so that the stream can't be
	// continued behind it.
	unnumbered bool
	// steps holds the steps that servers made within attempts of this request.
	steps idSteps
	// known holds the steps that servers of the same version made in other requests.
	known idSteps
	// held holds the first event of a continuation whose step is not explained yet, and
	// the comments behind it. heldStep is its step.
	held     []Event
	heldStep uint64
}

// begin starts a new attempt at a server of whose version the steps are known.
func (s *eventSequence) begin(known idSteps) {
	s.delivered, s.held, s.known = false, nil, known
}

// accept returns the events to pass on once ev has arrived behind the event with the ID
// last, which is empty if there is none. ok is false if ev, or a held event, doesn't follow.
func (s *eventSequence) accept(last string, ev Event) (pass []Event, ok bool) {
	if isComment(ev.Data) {
		if len(s.held) > 0 {
			s.hold(ev)
			return nil, true
		}
		return []Event{ev}, true
	}
	joins := !s.delivered && last != ""
	if len(s.held) > 0 {
		return s.resolve(ev)
	}
	if joins && ev.ID == "" {
		return nil, false
	}
	before, errBefore := strconv.ParseUint(last, 10, 64)
	number, errNumber := strconv.ParseUint(ev.ID, 10, 64)
	switch {
	case last == "" || ev.ID == "":
	case errBefore != nil || errNumber != nil:
		if ev.ID == last {
			return nil, false
		}
	case number <= before:
		return nil, false
	case joins:
		switch s.judge(number - before) {
		case stepLost:
			return nil, false
		case stepUnknown:
			s.heldStep = number - before
			s.hold(ev)
			return nil, true
		}
	default:
		s.steps.add(number - before)
	}
	s.delivered, s.unnumbered = true, ev.ID == ""
	return []Event{ev}, true
}

// hold keeps an event. Its data is valid until the next one is read only.
func (s *eventSequence) hold(ev Event) {
	ev.Data = slices.Clone(ev.Data)
	s.held = append(s.held, ev)
}

// resolve decides on the held event by the step to the event behind it.
func (s *eventSequence) resolve(ev Event) (pass []Event, ok bool) {
	first, errFirst := strconv.ParseUint(s.held[0].ID, 10, 64)
	number, errNumber := strconv.ParseUint(ev.ID, 10, 64)
	if errFirst != nil || errNumber != nil || number <= first || number-first < s.heldStep {
		return nil, false
	}
	s.steps.add(number - first)
	pass = append(s.held, ev)
	s.held, s.delivered, s.unnumbered = nil, true, false
	return pass, true
}

// undecided reports whether an event is held back.
func (s *eventSequence) undecided() bool { return len(s.held) > 0 }

// stepVerdict says what the first step of a continuation means.
type stepVerdict int

const (
	stepFollows stepVerdict = iota
	stepLost
	stepUnknown
)

// judge judges the step to the first event of a continuation.
func (s *eventSequence) judge(step uint64) stepVerdict {
	if step == 1 {
		return stepFollows
	}
	if s.steps.largest > 1 && s.steps.count < enoughSteps {
		return stepFollows // This stream has left numbers out, by how many isn't known yet.
	}
	if verdict := s.steps.judge(step); verdict != stepUnknown {
		return verdict
	}
	return s.known.judge(step)
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
