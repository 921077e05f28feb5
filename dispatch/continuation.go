package dispatch

import (
	"mime"
	"net/http"
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
