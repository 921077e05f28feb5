package edge

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// maxVersionPins bounds the streams that versionPins remembers.
const maxVersionPins = 1 << 16

// versionPins remembers the versions of the streams that began at this process. It
// implements dispatch.VersionPins.
type versionPins struct {
	mu sync.Mutex
	// recent replaces older when it holds half of the bound.
	recent, older map[pinnedStream]string
}

// pinnedStream identifies a stream by its service and the request that began it.
type pinnedStream struct{ service, request string }

func newVersionPins() *versionPins { return &versionPins{recent: map[pinnedStream]string{}} }

// Confirm implements dispatch.VersionPins. This process asks no store.
func (p *versionPins) Confirm(context.Context, string, string) error { return nil }

// Pin implements dispatch.VersionPins.
func (p *versionPins) Pin(service, request, version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) >= maxVersionPins/2 {
		p.recent, p.older = map[pinnedStream]string{}, p.recent
	}
	p.recent[pinnedStream{service, request}] = version
}

// Lookup implements dispatch.VersionPins.
func (p *versionPins) Lookup(_ context.Context, service, request string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := pinnedStream{service, request}
	for _, versions := range []map[pinnedStream]string{p.recent, p.older} {
		if version, ok := versions[stream]; ok {
			return version, nil
		}
	}
	return "", eris.Errorf("no stream of service %q is known that request %q began", service, request)
}
