// Package registry keeps the list of backend servers from the entries that the
// servers write to the platform's store.
package registry

import (
	"reflect"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Server is the decoded entry of one incarnation of a backend server.
type Server struct {
	// ID and StartedMs together identify the incarnation, because a server may
	// restart under the same ID.
	ID string
	// StartedMs is the Unix time in milliseconds at which the server started.
	StartedMs     int64
	Service       string
	Addr          string
	FailureDomain string
	// SoftwareVersion is the version of the server's software, not of the weights.
	SoftwareVersion string
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Draining marks a server that is about to stop and gets no new requests.
	Draining bool
	// StopsIn is the time until a draining server stops, as of when the entry was
	// written; 0 if unknown.
	StopsIn time.Duration
	// Cheap marks a server that may be evicted at short notice.
	Cheap bool
	// ColdRemaining is the time for which the server is still slow after its
	// start, as of when the entry was written.
	ColdRemaining time.Duration
	// Role is the stage that an engine runs; empty for plain services.
	Role   backend.Role
	Models []Model
	// Sequence numbers the entries that the server has written.
	Sequence int64
}

// sameAs reports whether two entries differ in nothing but their sequence number.
func (s *Server) sameAs(other *Server) bool {
	a, b := *s, *other
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Model is a model that an engine has loaded.
type Model struct {
	Name string
	// Version is the version of the weights.
	Version int64
}
