package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// Guards against a lease holder that counts on engines which other daemons know to be down,
// until their entries expire.
func TestHolderIsToldOfEnginesThatAreDown(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 4, 1)
	sc.duties.observeLease(&leaseObservation{End: 5, VM: "vm-1", Term: 4})
	var sent []string
	sc.send = func(vm string, m peer.Message) {
		if down, ok := m.(*EngineDown); ok {
			sent = append(sent, vm+" "+down.Server)
		}
	}
	engine := sc.servers.Load().ofService("llm")[0]
	release := func(at time.Duration) {
		now := sc.now.Add(at)
		sc.handleMessage(now, peerMessage{from: "vm-2", message: &schedule.Release{Pool: "pool//llm/0", Ticket: 1, Down: engine.ID}})
	}
	release(0)
	release(engineDownBackoff / 4)
	g.Expect(sent).To(Equal([]string{"vm-1 " + engine.ID}))
	release(engineDownBackoff)
	g.Expect(sent).To(HaveLen(2), "it is still down")

	sc.handleMessage(sc.now, peerMessage{from: "vm-2", message: &EngineDown{Server: engine.ID}})
	sc.handleMessage(sc.now, peerMessage{from: "vm-2", message: &EngineDown{Server: "unlisted"}})
	isDown := func(at time.Duration, s *registry.Server) bool {
		for _, e := range sc.fleet.provisionEngines(sc.now.Add(at), []*registry.Server{s}) {
			return e.Down
		}
		return false
	}
	g.Expect(isDown(downMemory-1, engine)).To(BeTrue())
	g.Expect(isDown(downMemory, engine)).To(BeFalse())
	restarted := *engine
	restarted.StartedMs++
	g.Expect(isDown(0, &restarted)).To(BeFalse(), "another process under the same ID")
}
