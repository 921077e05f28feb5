package member

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	testseed.Fix(11, 60)
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%4)}
	}
	return out
}

// Guards against assignments that move between remaining VMs when a VM is removed.
func TestOwnerMovesOnlyNamesOfChangedVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "n")
		all := candidates(n)
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]Candidate{}, all[:gone]...), all[gone+1:]...)
		before, after := NewSet(all), NewSet(rest)
		for i := range 50 {
			name := fmt.Sprintf("pool-%d", i)
			ranks := before.Ranks(name, 3)
			if ranks[0] != before.Owner(name) {
				t.Fatalf("rank 0 of %s is %s, owner is %s", name, ranks[0], before.Owner(name))
			}
			want := before.Owner(name)
			if want == all[gone].ID {
				want = ranks[1]
			}
			if got := after.Owner(name); got != want {
				t.Fatalf("%s moved to %s, want %s", name, got, want)
			}
		}
	})
}

// cluster delivers heartbeats between state machines without a network.
type cluster struct {
	now      time.Time
	members  []*Members
	live     []*Set
	index    map[string]int
	blocked  func(from, to int) bool
	bytes    []int
	inFlight []delivery
}

type delivery struct {
	to    int
	event HeartbeatReceived
}

func newCluster(n int) *cluster {
	c := &cluster{now: start, index: map[string]int{}, live: make([]*Set, n), bytes: make([]int, n)}
	var list []hosting.VM
	for i, v := range candidates(n) {
		list = append(list, hosting.VM{ID: v.ID, FailureDomain: v.FailureDomain, State: hosting.VMLive})
		c.members = append(c.members, New(v.ID))
		c.index[v.ID] = i
	}
	c.blocked = func(int, int) bool { return false }
	for i, m := range c.members {
		c.apply(i, m.Step(c.now, ListUpdated{list}))
	}
	return c
}

func (c *cluster) apply(i int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case LiveChanged:
			c.live[i] = a.Routable
		case SendHeartbeat:
			encoded, _ := cbor.Marshal(a.Rumours)
			for _, peer := range a.Peers {
				c.bytes[i] += len(encoded)
				if to := c.index[peer]; !c.blocked(i, to) {
					c.inFlight = append(c.inFlight, delivery{to, HeartbeatReceived{c.members[i].self, a.Rumours}})
				}
			}
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(100 * time.Millisecond)
		for i, m := range c.members {
			if !c.blocked(i, i) {
				c.apply(i, m.Step(c.now, Tick{}))
			}
		}
		for len(c.inFlight) > 0 {
			d := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.apply(d.to, c.members[d.to].Step(c.now, d.event))
		}
	}
}

// Guards against daemons that disagree about the live set for longer than the
// heartbeat timeout and a few hops, after crashes, partitions and their end.
func TestLiveSetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "n")
		c := newCluster(n)
		c.run(3 * time.Second)
		side := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "side")
		c.blocked = func(from, to int) bool {
			return side[from] == 2 || side[to] == 2 || side[from] != side[to]
		}
		c.run(6 * time.Second)
		for i, s := range side {
			for j := range n {
				want := i == j || side[j] == s
				if s != 2 && connected(c, side, i) && c.live[i].Contains(c.members[j].self) != want {
					t.Fatalf("vm %d (side %d) sees vm %d (side %d) as live=%v", i, s, j, side[j], !want)
				}
			}
		}
		c.blocked = func(int, int) bool { return false }
		c.run(6 * time.Second)
		for i := range n {
			if c.live[i].Len() != n {
				t.Fatalf("after the partition vm %d sees %d of %d VMs as live", i, c.live[i].Len(), n)
			}
		}
	})
}

// connected reports whether the heartbeat graph of i's side is connected. On a
// small side, two VMs may have no path of heartbeats between them.
func connected(c *cluster, side []int, i int) bool {
	m := c.members[i]
	reached := map[string]bool{m.self: true}
	queue := []string{m.self}
	for len(queue) > 0 {
		for _, p := range m.graph[queue[0]] {
			if side[c.index[p]] == side[i] && !reached[p] {
				reached[p] = true
				queue = append(queue, p)
			}
		}
		queue = queue[1:]
	}
	count := 0
	for _, s := range side {
		if s == side[i] {
			count++
		}
	}
	return len(reached) == count
}

// Guards against a broken link between two live VMs that takes one of them out of
// service permanently or repeatedly.
func TestSilenceReportOverBrokenLinkIsRefuted(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.run(2 * time.Second)
	c.blocked = func(from, to int) bool { return from+to == 1 && from != to }
	c.run(4 * time.Second)
	version := c.members[5].vms["vm-0"].version
	c.run(20 * time.Second)
	for i := range c.live {
		g.Expect(c.live[i].Len()).To(Equal(8), "as seen by vm %d", i)
	}
	g.Expect(c.members[5].vms["vm-0"].version).To(Equal(version))
}

// Guards against assigning new pools to a VM that is about to stop.
func TestLeavingVMIsNotRoutable(t *testing.T) {
	g := NewWithT(t)
	m := New("a")
	actions := m.Step(start, ListUpdated{[]hosting.VM{{ID: "a", State: hosting.VMLive}, {ID: "b", State: hosting.VMLeaving}}})
	changed := actions[len(actions)-1].(LiveChanged)
	g.Expect(changed.Routable.IDs()).To(Equal([]string{"a"}))
	g.Expect(changed.Live.Len()).To(Equal(2))
}

// Guards against heartbeat traffic that grows with the number of daemons. The
// budget for all control traffic is 12 KB/s per daemon (section 1.7 of the
// design).
func TestHeartbeatTrafficAt320(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(320)
	c.run(2 * time.Second)
	for _, m := range c.members {
		g.Expect(len(m.Peers())).To(BeNumerically("<=", MaxPeers))
	}
	c.blocked = func(from, to int) bool { return from%5 == 0 || to%5 == 0 }
	for i := range c.bytes {
		c.bytes[i] = 0
	}
	c.run(6 * time.Second)
	worst := 0
	for i := range c.bytes {
		worst = max(worst, c.bytes[i])
		if i%5 != 0 {
			g.Expect(c.live[i].Len()).To(Equal(256), "as seen by vm %d", i)
		}
	}
	t.Logf("rumours while 64 of 320 VMs fail: %d bytes/s per daemon", worst/6)
	g.Expect(worst / 6).To(BeNumerically("<", 6000))
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{8, 80, 320} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewSet(candidates(n))
			b.ReportAllocs()
			for b.Loop() {
				s.Owner("llama-70b/fd-2")
			}
		})
	}
}
