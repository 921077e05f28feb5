package event

import (
	"bytes"
	"regexp"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// logStart matches the start of a log line. Text before it, such as the time and
// host that a log collector adds, is ignored.
var logStart = regexp.MustCompile(`level=(?:debug|info|warn|error) at=`)

// logEnd is the last key of a log line; a line without it is truncated.
const logEnd = "time"

// splitLine splits a line of text into encoded events: one JSON event, or one or
// more log lines. A line of text contains several log lines if several processes
// wrote to the same file at the same time. Text that is neither is returned as one
// piece. log reports whether the pieces are log lines.
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

// DecodeLog decodes one key=value line of the log. It fails with ErrMalformed if
// the line is invalid or truncated.
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

// set sets the part of the event that corresponds to a key of a log line.
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

// Field returns the value of the field with the given key, empty if there is none.
func (e Event) Field(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Is reports whether the name of the event, What, is one of the given names.
func (e Event) Is(names ...string) bool {
	for _, w := range names {
		if e.What == w {
			return true
		}
	}
	return false
}

// excerpt returns the start of a text, for error messages.
func excerpt(text []byte) string {
	const maxBytes = 60
	if len(text) <= maxBytes {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:maxBytes]), "") + "..."
}
