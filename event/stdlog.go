package event

import (
	"io"
	"log"
	"strings"
)

// CaptureStandardLog redirects the standard logger, which libraries use, to the
// recorder, so that the log contains only key=value lines. Each message becomes one
// event.
func CaptureStandardLog(r *Recorder) {
	log.SetFlags(0)
	log.SetOutput(lineWriter(func(line string) { r.Record(KindFault, "library", "", F("message", line)) }))
}

// lineWriter calls the function with the text of each write, without surrounding
// white space.
type lineWriter func(line string)

var _ io.Writer = lineWriter(nil)

// Write implements io.Writer.
func (w lineWriter) Write(text []byte) (int, error) {
	w(strings.TrimSpace(string(text)))
	return len(text), nil
}
