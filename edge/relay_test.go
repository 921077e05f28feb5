package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/reach"
)

func memberEntries(n int) map[string]memberEntry {
	out := map[string]memberEntry{}
	for i := range n {
		out[fmt.Sprint("vm-", i)] = memberEntry{Addr: fmt.Sprint("addr-", i), FailureDomain: fmt.Sprint("fd-", i%3)}
	}
	return out
}

func relayVMs(list []reach.Relay) (out []string) {
	for _, r := range list {
		out = append(out, r.VM)
	}
	return out
}

// Guards against relays that are cut themselves, stop, are of an earlier release or are not
// heard from, and against traffic that crosses failure domains twice.
func TestRelaysAreReadyAndNear(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := newRelays()
	for i, state := range []RelayState{relayReady, relayReady, relayReady, relayCut, relayNone, relayReady} {
		r.observe(now, fmt.Sprint("vm-", i), state)
	}
	later := now.Add(relayStale / 2)
	members := memberEntries(6)
	g.Expect(relayVMs(r.rank(later, "vm-0", "fd-0", "fd-2", members))).To(SatisfyAny(
		Equal([]string{"vm-2", "vm-5", "vm-1"}), Equal([]string{"vm-5", "vm-2", "vm-1"})))
	r.failed(later, "vm-2")
	g.Expect(relayVMs(r.rank(later, "vm-0", "fd-0", "fd-2", members))).To(Equal([]string{"vm-5", "vm-1", "vm-2"}))
	delete(members, "vm-5")
	g.Expect(relayVMs(r.rank(later, "vm-0", "fd-0", "fd-2", members))).To(Equal([]string{"vm-1", "vm-2"}))
}

// Guards against daemons whose neighbours are all cut and that ask nobody else.
func TestOtherDaemonsAreAskedIfAllNeighboursAreCut(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := newRelays()
	for i := 1; i <= 8; i++ {
		r.observe(now, fmt.Sprint("vm-", i), relayCut)
	}
	list := relayVMs(r.rank(now, "vm-0", "fd-0", "fd-2", memberEntries(60)))
	g.Expect(list).To(HaveLen(reach.MaxRelays))
	for i := range 9 {
		g.Expect(list).NotTo(ContainElement(fmt.Sprint("vm-", i)))
	}
	r.learned(now, list[1], relayReady)
	g.Expect(relayVMs(r.rank(now, "vm-0", "fd-0", "fd-2", memberEntries(60)))[0]).To(Equal(list[1]))
}
