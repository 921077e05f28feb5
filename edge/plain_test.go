package edge

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/registry"
)

func newTestPlainScheduler(servers ...*registry.Server) *plainScheduler {
	p := newPlainScheduler("fd-a")
	p.servers = func(string) []*registry.Server { return servers }
	return p
}

func placePlain(t *testing.T, p *plainScheduler, avoid ...string) *dispatch.Placement {
	t.Helper()
	request := dispatch.PlacementRequest{Request: &dispatch.Request{Service: &catalog.Service{Name: "desk"}}, Avoid: avoid}
	place, err := p.Place(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return place
}

// Guards against unnecessary traffic between failure domains, and against a
// burst whose requests all go to one server.
func TestPlainPrefersOwnFailureDomainUntilLoaded(t *testing.T) {
	g := NewWithT(t)
	near := &registry.Server{ID: "near", FailureDomain: "fd-a"}
	far := &registry.Server{ID: "far", FailureDomain: "fd-b"}
	p := newTestPlainScheduler(near, far)
	g.Expect(placePlain(t, p).Server).To(Equal(near))
	g.Expect(placePlain(t, p).Server).To(Equal(far))
}

// Guards against placing requests on a server that reports itself healthy but
// fails part of its requests.
func TestPlainAvoidsServersThatFail(t *testing.T) {
	g := NewWithT(t)
	near := &registry.Server{ID: "near", FailureDomain: "fd-a"}
	far := &registry.Server{ID: "far", FailureDomain: "fd-b"}
	p := newTestPlainScheduler(near, far)
	place := placePlain(t, p)
	p.Done(place, dispatch.Result{Reason: "broken", Failed: near})
	g.Expect(placePlain(t, p).Server).To(Equal(far))
}

// Guards against placing a request on a server that is leaving or has already
// failed it, and against waiting when no server is left.
func TestPlainSkipsLeavingAndFailedServers(t *testing.T) {
	g := NewWithT(t)
	a, b := &registry.Server{ID: "a"}, &registry.Server{ID: "b", Draining: true}
	p := newTestPlainScheduler(a, b)
	g.Expect(placePlain(t, p).Server).To(Equal(a))
	request := dispatch.PlacementRequest{Request: &dispatch.Request{Service: &catalog.Service{Name: "desk"}}, Avoid: []string{"a"}}
	_, err := p.Place(context.Background(), request)
	var refused *dispatch.Failure
	g.Expect(asError(err, &refused)).To(BeTrue())
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against open-request counts that do not return to zero when all
// requests have ended.
func TestPlainCountsReturnToZero(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlainScheduler(&registry.Server{ID: "a"})
	for range 50 {
		p.Done(placePlain(t, p), dispatch.Result{OK: true})
	}
	g.Expect(p.stateOf("a").open).To(BeZero())
}
