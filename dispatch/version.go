package dispatch

import "context"

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
