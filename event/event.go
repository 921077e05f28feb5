// Package event records the events of a process in a timeline of JSON lines and
// in its log. It merges the timelines or logs of several processes, prints them as
// text or as a self-contained HTML page, and explains the course of one request.
package event

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hlc"
)

// MaxLineBytes is the maximum size of one line that can be decoded.
const MaxLineBytes = 64 << 10

// ErrMalformed reports a line that does not encode an event.
var ErrMalformed = eris.New("malformed event")

// Kind is the category of an event. The HTML page groups its rows by kind.
type Kind string

// The kinds of events.
const (
	KindRequest Kind = "request"
	KindLease   Kind = "lease"
	KindOrder   Kind = "order"
	KindConfig  Kind = "config"
	KindFault   Kind = "fault"
)

// Kinds are all kinds in the order of their rows on the HTML page.
var Kinds = []Kind{KindRequest, KindLease, KindOrder, KindConfig, KindFault}

// Field is a key and value that describe an event further.
type Field struct {
	Key, Value string
}

// F returns a field.
func F(key, value string) Field { return Field{key, value} }

// Event is an event in a process.
type Event struct {
	At hlc.Timestamp
	// Process is the incarnation of the process.
	Process string
	Kind    Kind
	// What is the name of the event, mostly a verb such as "acquired" or "refused".
	What string
	// ID identifies the subject of the event, such as a request, lease, order, server
	// or configuration version.
	ID string
	// Fields are further details. Decode sorts them by key.
	Fields []Field
}

// wireEvent is the JSON form of an Event.
type wireEvent struct {
	At      hlc.Timestamp     `json:"at"`
	Process string            `json:"process"`
	Kind    Kind              `json:"kind"`
	What    string            `json:"what"`
	ID      string            `json:"id,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Encode returns the event as one JSON line without its line feed.
func Encode(e Event) []byte {
	wire := wireEvent{At: e.At, Process: e.Process, Kind: e.Kind, What: e.What, ID: e.ID}
	if len(e.Fields) > 0 {
		wire.Fields = make(map[string]string, len(e.Fields))
	}
	for _, f := range e.Fields {
		wire.Fields[f.Key] = f.Value
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return data
}

// Decode decodes one JSON line. It fails with ErrMalformed.
func Decode(line []byte) (Event, error) {
	if len(line) > MaxLineBytes {
		return Event{}, eris.Wrapf(ErrMalformed, "%d bytes exceed %d", len(line), MaxLineBytes)
	}
	var wire wireEvent
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return Event{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if decoder.More() {
		return Event{}, eris.Wrap(ErrMalformed, "data after the event")
	}
	if wire.Process == "" || wire.What == "" || !slices.Contains(Kinds, wire.Kind) {
		return Event{}, eris.Wrap(ErrMalformed, "process, what and a known kind are required")
	}
	e := Event{At: wire.At, Process: wire.Process, Kind: wire.Kind, What: wire.What, ID: wire.ID}
	for key, value := range wire.Fields {
		e.Fields = append(e.Fields, Field{key, value})
	}
	slices.SortFunc(e.Fields, func(a, b Field) int { return cmp.Compare(a.Key, b.Key) })
	return e, nil
}
