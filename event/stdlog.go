package event

import (
	"io"
	"log"
	"strings"
)

// CaptureStandardLog sends what libraries write to the standard logger to the
// recorder, one event per line, so that the log holds key=value lines only.
func CaptureStandardLog(r *Recorder) {
	log.SetFlags(0)
	log.SetOutput(lineWriter(func(line string) { r.Record(KindFault, "library", "", F("message", line)) }))
}

// lineWriter passes each call on as one line of text.
type lineWriter func(line string)

var _ io.Writer = lineWriter(nil)

// Write implements io.Writer.
func (w lineWriter) Write(text []byte) (int, error) {
	w(strings.TrimSpace(string(text)))
	return len(text), nil
}
