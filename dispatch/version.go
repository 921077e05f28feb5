package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

// ReasonNoVersion is the reason of a request that is refused because no server of the
// required software version can take it.
const ReasonNoVersion = "no_server_of_version"

// VersionPins remembers the software version of the servers that began streams. What
// servers of two versions write does not fit together in one stream.
type VersionPins interface {
	// Confirm makes sure that a restarted daemon can learn that a service has servers
	// of this version. No stream may begin at a version before. It returns at once
	// once the version is confirmed; otherwise it waits for the platform's store,
	// until ctx ends.
	Confirm(ctx context.Context, service, version string) error
	// Pin records, before the first event of a stream reaches the client, that the
	// stream of a request began at a version. It does not block.
	Pin(service, request, version string)
	// Lookup returns the version at which a stream began. An error means that it is
	// not known, and that going on at any version would be a guess.
	Lookup(ctx context.Context, service, request string) (version string, err error)
}

const (
	// reasonVersionUnknown is the reason of a request that takes up a stream of which it
	// is not known at which version it began.
	reasonVersionUnknown = "version_unknown"
	// versionRetryAfter is the Retry-After value of such a request. Another daemon may
	// know the version, and this one may learn it from the store.
	versionRetryAfter = 200 * time.Millisecond
	// confirmTimeout bounds the wait of one attempt for Confirm. Servers of other
	// versions may be confirmed already.
	confirmTimeout = 250 * time.Millisecond
)

// versionBinding is the software version to which a stream is bound.
type versionBinding struct {
	// applies is set if the stream may go on at another server.
	applies bool
	// takesUp is set if the client takes up a stream that began in an earlier request.
	takesUp bool
	// bound is set once the version is known, which may be empty.
	bound   bool
	version string
	// unconfirmed holds the versions that Confirm did not confirm in time.
	unconfirmed []string
}

func newVersionBinding(r *Request) versionBinding {
	applies := r.Route.Kind == catalog.KindStreaming && r.Route.Resumable
	return versionBinding{applies: applies, takesUp: applies && r.LastEvent != ""}
}

// lookUpVersion binds a request that takes up a stream to the version that began it.
func (c *call) lookUpVersion(ctx context.Context) *Failure {
	if !c.binding.takesUp {
		return nil
	}
	placing, end := endWith(ctx, c.Shutdown.placing)
	defer end()
	version, err := c.Versions.Lookup(placing, c.request.Service.Name, c.request.Resumes)
	switch {
	case err == nil:
		c.binding.bound, c.binding.version = true, version
		return nil
	case ctx.Err() != nil:
		return c.contextFailure(ctx)
	case errors.Is(context.Cause(placing), errStopping):
		return stoppingFailure(c.runState())
	}
	return &Failure{Run: backend.RunNever, Reason: reasonVersionUnknown, RetryAfter: versionRetryAfter, Inputs: []event.Field{event.F("lookup", err.Error())}}
}

// bindVersion binds the stream to the version of the server that sent its first event.
func (c *call) bindVersion(place *Placement) {
	if !c.binding.applies {
		return
	}
	began := c.request.ID
	if c.binding.takesUp {
		began = c.request.Resumes
	}
	c.binding.bound, c.binding.version = true, place.Server.SoftwareVersion
	if began != "" {
		c.Versions.Pin(c.request.Service.Name, began, c.binding.version)
	}
}

// checkVersion returns the error of a placement whose servers must not get the request
// because of their version, or nil. The scheduler may know an older list of servers, or
// may be of a build that ignores the version.
func (c *call) checkVersion(ctx context.Context, place *Placement) *AttemptError {
	if !c.binding.applies {
		return nil
	}
	if !c.binding.bound {
		return c.confirmVersion(ctx, place.Server)
	}
	if place.Fetch != nil && place.Fetch.SoftwareVersion != c.binding.version {
		place.Fetch = nil
	}
	for _, s := range []*registry.Server{place.Server, place.Prefill} {
		if s != nil && s.SoftwareVersion != c.binding.version {
			err := eris.Errorf("server %s has version %q, the stream %q", s.ID, s.SoftwareVersion, c.binding.version)
			return &AttemptError{Run: backend.RunNever, Reason: "other_version", Server: s, Unfit: true, Err: err}
		}
	}
	return nil
}

// confirmVersion returns an error if a stream may not begin at a server, because a
// restarted daemon could not learn of its version.
func (c *call) confirmVersion(ctx context.Context, server *registry.Server) *AttemptError {
	version := server.SoftwareVersion
	err := errNotConfirmed
	if !slices.Contains(c.binding.unconfirmed, version) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err = c.Versions.Confirm(ctx, c.request.Service.Name, version); err == nil {
			return nil
		}
		c.binding.unconfirmed = append(c.binding.unconfirmed, version)
	}
	return &AttemptError{Run: backend.RunNever, Reason: "version_not_confirmed", Server: server, Unfit: true, Err: err}
}

var errNotConfirmed = eris.New("the version was not confirmed before")
