package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
)

// Guards against streams that are refused because the only decode engine of their version
// has ended, while another one is about to take its role.
func TestPoolIsToldWhenAnEngineWillDecode(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 5, 1)
	grants := newGrantClient("self", "fd-a")
	grants.view = sc.view.Load
	has := func() bool {
		_, ok := grants.route("llm", &pool.Request{ID: "a", Version: "v2"})
		return ok
	}
	decodesAt := func() time.Time {
		for _, spec := range sc.pools.specs {
			for _, r := range spec.Runners {
				if r.ID == "i-7" {
					return r.DecodesAt
				}
			}
		}
		return time.Time{}
	}
	list := func(role backend.Role) {
		sc.apply(feedServers, versionEntry(t, 7, "v2", func(s *registry.Server) { s.Role = role }))
	}
	announce := func(role backend.Role) {
		sc.handle(sc.now, peerMessage{from: "vm-1", message: &RolesChanging{Engines: []ChangingEngine{{ID: "i-7", Born: 1, Role: role}}}})
		sc.settle()
	}
	pass := func(d time.Duration) {
		sc.now = sc.now.Add(d)
		sc.tick(sc.now)
		sc.settle()
	}

	list(backend.RolePrefill)
	g.Expect(has()).To(BeFalse())
	announce(backend.RoleDecode)
	g.Expect(has()).To(BeTrue())
	g.Expect(decodesAt()).To(Equal(sc.now.Add(roleChangeNotice + roleChangeLag)))

	expected := decodesAt()
	sc.now = sc.now.Add(time.Second)
	announce(backend.RoleDecode)
	g.Expect(decodesAt()).To(Equal(expected), "announced again")
	sc.now = sc.now.Add(time.Second)
	list(backend.RoleDecode)
	pass(0)
	g.Expect(has()).To(BeTrue())
	g.Expect(decodesAt()).To(BeZero())

	announce(backend.RolePrefill)
	g.Expect(has()).To(BeFalse(), "it will not decode")
	list(backend.RolePrefill)
	pass(roleChangeNotice)
	list(backend.RolePrefill)
	announce(backend.RoleDecode)
	g.Expect(decodesAt()).To(Equal(sc.now.Add(roleChangeNotice)), "as long as the last change took")
	pass(fleetInterval + roleChangeNotice + roleChangeLag + 1)
	g.Expect(has()).To(BeFalse(), "it has not changed its role")
}
