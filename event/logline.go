package event

import (
	"bytes"
	"regexp"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// logStart finds the start of a line of the log. What stands before it, such as
// the time and host of a log collector, is passed over.
var logStart = regexp.MustCompile(`level=(?:debug|info|warn|error) at=`)

// logEnd is the last key of a line of the log; a line without it was cut.
const logEnd = "time"

// splitLine returns the events of a line of text: one JSON event, or lines of
// the log, of which several stand on one line if processes wrote to one file at
// the same time. A text that is neither is one piece.
func splitLine(text []byte) (pieces [][]byte, log bool) {
	if text[0] == '{' {
		return [][]byte{text}, false
	}
	starts := logStart.FindAllIndex(text, -1)
	if len(starts) == 0 {
		return [][]byte{text}, false
	}
	for i, at := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		pieces = append(pieces, text[at[0]:end])
	}
	return pieces, true
}

// DecodeLog reads one key=value line of the log. It fails with ErrMalformed,
// also if the end of the line is missing.
func DecodeLog(line []byte) (Event, error) {
	if len(line) > MaxLineBytes {
		return Event{}, eris.Wrapf(ErrMalformed, "%d bytes exceed %d", len(line), MaxLineBytes)
	}
	var e Event
	var err error
	last := ""
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() && err == nil {
		for decoder.ScanKeyval() && err == nil {
			last = string(decoder.Key())
			err = e.set(last, string(decoder.Value()))
		}
	}
	switch {
	case decoder.Err() != nil:
		return Event{}, eris.Wrapf(ErrMalformed, "%v", decoder.Err())
	case err != nil:
		return Event{}, eris.Wrapf(ErrMalformed, "%v", err)
	case last != logEnd:
		return Event{}, eris.Wrap(ErrMalformed, "the end of the line is missing")
	case e.Process == "" || e.What == "" || e.Kind == "":
		return Event{}, eris.Wrap(ErrMalformed, "process, what and kind are required")
	}
	return e, nil
}

// set sets the part of an event that a key of the log names.
func (e *Event) set(key, value string) error {
	switch key {
	case "level":
	case logEnd:
		if _, err := time.Parse(time.RFC3339, value); err != nil {
			return eris.New("the end of the line is missing")
		}
	case "at":
		return e.At.UnmarshalText([]byte(value))
	case "process":
		e.Process = value
	case "kind":
		e.Kind = Kind(value)
	case "what":
		e.What = value
	case "id":
		e.ID = value
	default:
		e.Fields = append(e.Fields, Field{key, value})
	}
	return nil
}

// Field returns the value of a field, empty if there is none.
func (e Event) Field(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Is reports whether the event is one of the given verbs.
func (e Event) Is(what ...string) bool {
	for _, w := range what {
		if e.What == w {
			return true
		}
	}
	return false
}

// excerpt is the start of a text, for messages.
func excerpt(text []byte) string {
	const most = 60
	if len(text) <= most {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:most]), "") + "..."
}
