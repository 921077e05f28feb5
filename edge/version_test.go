package edge

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// versionEntry returns the entry of an engine of a version.
func versionEntry(t *testing.T, i int, version string, change func(*registry.Server)) hosting.KeyedRecord {
	s := registry.Server{ID: fmt.Sprint("i-", i), StartedMs: 1, Service: "llm", Addr: "10.1.0.1:8", Role: backend.RoleMixed, SoftwareVersion: version}
	if change != nil {
		change(&s)
	}
	return hosting.KeyedRecord{Key: s.ID, Value: encodeJSON(t, s)}
}

// Guards against a stream that can't go on because the servers of its version are in
// other pools of the service than its prompt.
func TestRequiredVersionIsSoughtInAllPools(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 200, 1)
	grants := newGrantClient("self", "fd-a")
	grants.view = sc.view.Load
	g.Expect(len(sc.view.Load().pools["llm"])).To(BeNumerically(">", 4))
	holding := func(id string) string {
		for _, spec := range sc.pools.specs {
			if slices.ContainsFunc(spec.Runners, func(r pool.RunnerInfo) bool { return r.ID == id }) {
				return spec.Key.String()
			}
		}
		return ""
	}
	sc.apply(feedServers, versionEntry(t, 7, "v2", nil))
	for i := range 50 {
		route, ok := grants.route("llm", &pool.Request{ID: fmt.Sprint(i), Affinity: uint64(i), Version: "v2"})
		g.Expect(ok).To(BeTrue())
		g.Expect(route.name).To(Equal(holding("i-7")))
	}
	_, ok := grants.route("llm", &pool.Request{ID: "a", Version: "v2", Avoid: []string{"i-7"}})
	g.Expect(ok).To(BeFalse(), "an attempt failed there")
	sc.apply(feedServers, versionEntry(t, 8, "v2", nil))
	route, _ := grants.route("llm", &pool.Request{ID: "a", Version: "v2", Avoid: []string{"i-7"}})
	g.Expect(route.name).To(Equal(holding("i-8")))

	for name, change := range map[string]func(*registry.Server){
		"draining":      func(s *registry.Server) { s.Draining = true },
		"prefills only": func(s *registry.Server) { s.Role = backend.RolePrefill },
		"updated":       func(s *registry.Server) { s.StartedMs, s.SoftwareVersion = 2, "v3" },
	} {
		sc.apply(feedServers, versionEntry(t, 7, "v2", change), versionEntry(t, 8, "v2", change))
		_, ok := grants.route("llm", &pool.Request{ID: "a", Version: "v2"})
		g.Expect(ok).To(BeFalse(), name)
	}
	_, ok = grants.route("llm", &pool.Request{ID: "a"})
	g.Expect(ok).To(BeTrue())
}

// Guards against a change of a server's version that the scheduler doesn't learn.
func TestPoolLearnsAChangedVersion(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 5, 1)
	for _, version := range []string{"v1", "v2"} {
		sc.apply(feedServers, versionEntry(t, 1, version, nil))
		var changed []string
		for _, spec := range sc.pools.specs {
			for _, r := range spec.Runners {
				if r.ID == "i-1" && !spec.Unchanged {
					changed = append(changed, r.Version)
				}
			}
		}
		g.Expect(changed).To(Equal([]string{version}))
	}
}

// Guards against a required version that is lost on the way to the scheduler of another
// daemon.
func TestRequiredVersionReachesTheScheduler(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(map[string]*registry.Server{"e": {ID: "e", SoftwareVersion: "v2"}})
	f.grants.view = func() *view {
		return &view{pools: map[string][]poolRoute{"llm": {{name: "pool", scheduler: "other", shards: 1, versions: map[string][]string{"v2": {"e"}}}}}}
	}
	asked := make(chan string, 1)
	f.grant = func(_ string, r *schedule.GrantRequest) (pool.Granted, bool) {
		asked <- r.Request.Version
		return pool.Granted{Ticket: 1, Runner: "e"}, true
	}
	request := engineRequest()
	request.Version = "v2"
	_, err := f.grants.Place(t.Context(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asked).To(Receive(Equal("v2")))

	request.Version = "v3"
	_, err = f.grants.Place(t.Context(), request)
	var refused *dispatch.Failure
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Reason).To(Equal(dispatch.ReasonNoVersion))
	g.Expect(refused.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	g.Expect(asked).NotTo(Receive())
}

// Guards against a stream of a plain service that goes on at another version.
func TestPlainPlacesOnlyAtTheRequiredVersion(t *testing.T) {
	g := NewWithT(t)
	near := &registry.Server{ID: "near", FailureDomain: "fd-a", SoftwareVersion: "v1"}
	far := &registry.Server{ID: "far", FailureDomain: "fd-b", SoftwareVersion: "v2"}
	p := newTestPlainScheduler(near, far)
	request := dispatch.PlacementRequest{Request: &dispatch.Request{Service: &catalog.Service{Name: "desk"}}, Version: "v2"}
	place, err := p.Place(t.Context(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(place.Server).To(Equal(far))
	request.Avoid = []string{"far"}
	_, err = p.Place(t.Context(), request)
	var refused *dispatch.Failure
	g.Expect(asError(err, &refused)).To(BeTrue())
	g.Expect(refused.Reason).To(Equal(dispatch.ReasonNoVersion))
}

// Guards against a server that is replaced by one of another version between placement
// and sending, under the same ID and without a start time.
func TestServerOfAnotherVersionIsNotUsable(t *testing.T) {
	g := NewWithT(t)
	listed := &registry.Server{ID: "a", SoftwareVersion: "v1"}
	s := scheduler{server: func(string) *registry.Server { return listed }}
	placed := listed
	g.Expect(s.Usable(placed)).To(BeTrue())
	listed = &registry.Server{ID: "a", SoftwareVersion: "v2"}
	g.Expect(s.Usable(placed)).To(BeFalse())
}

// Guards against a list of versions that a peer has sent and that this daemon doesn't use.
func TestVersionsOfPeersArePassedOn(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 5, 1)
	var passed hosting.KeyedPage
	var passedAt time.Time
	sc.setVersions = func(page hosting.KeyedPage, at time.Time) { passed, passedAt = page, at }
	record := hosting.KeyedRecord{Key: "version", Value: []byte("v1"), Offset: 0}
	push := &Push{Feeds: make([]FeedRecords, feedCount)}
	for id := range push.Feeds {
		push.Feeds[id].End = hosting.NoOffset
	}
	push.Feeds[feedVersions] = FeedRecords{Records: []hosting.KeyedRecord{record}, From: hosting.NoOffset, Base: hosting.NoOffset, End: 1, Total: 1}
	sc.applyPush(sc.now, "vm-1", push)
	g.Expect(passed).To(Equal(hosting.KeyedPage{End: 1, Records: []hosting.KeyedRecord{record}}))
	fresh := sc.now.Add(time.Second)
	sc.feeds[feedVersions].replica.Refresh(1, fresh)
	sc.publishServing(fresh)
	g.Expect(passedAt).To(Equal(fresh))
}
