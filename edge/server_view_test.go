package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
)

// Guards against snapshots of servers and pools that differ from those built from
// scratch, after any sequence of changes, delayed removals, outages of the store,
// role changes and configurations.
func TestIncrementalViewsEqualFullOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(1_700_000_000, 0)
		current := map[string]registry.Server{}
		list := registry.NewServerList(func(id string, _ []byte) (registry.Server, error) { return current[id], nil })
		view, table, changing := (&serverView{}).with(nil), newPoolTable(), map[string]bool{}
		isChanging := func(s *registry.Server) pendingRole { return pendingRole{changing: changing[s.ID]} }
		newCatalog := func() *catalog.Catalog {
			scaling := &catalog.Scaling{Max: rapid.SampledFrom([]int{1, 40, 70}).Draw(t, "max"), DomainPrices: map[string]float64{"a": 1}}
			return catalog.New(catalog.Config{Services: []catalog.Service{
				{Name: "llm", Engine: &catalog.Engine{}, Scaling: scaling}, {Name: "other", Engine: &catalog.Engine{}}, {Name: "desk"},
			}})
		}
		cat := newCatalog()
		offset, rolesChanged := int64(0), false
		// listed holds the runners of each pool as the host knows them.
		listed := map[string][]pool.RunnerInfo{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var records []hosting.KeyedRecord
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				list.StoreLost()
			case 2:
				list.StoreRegained(now)
			case 3:
				cat = newCatalog()
			case 4:
				id := fmt.Sprint("i-", rapid.IntRange(0, 79).Draw(t, "id"))
				changing[id], rolesChanged = !changing[id], true
			default:
				for range rapid.IntRange(1, 40).Draw(t, "records") {
					id := fmt.Sprint("i-", rapid.IntRange(0, 79).Draw(t, "id"))
					record := hosting.KeyedRecord{Key: id, Offset: offset}
					offset++
					if rapid.IntRange(0, 3).Draw(t, "put") > 0 {
						record.Value = []byte("entry")
						current[id] = registry.Server{
							ID: id, Service: rapid.SampledFrom([]string{"llm", "llm", "llm", "other", "desk", "unknown"}).Draw(t, "service"),
							Draining: rapid.Bool().Draw(t, "draining"), Role: rapid.SampledFrom([]backend.Role{"", backend.RoleDecode}).Draw(t, "role"),
							Sequence: offset,
						}
					}
					records = append(records, record)
					if rapid.Bool().Draw(t, "peer") {
						list.FromPeer(now, records)
					} else {
						list.FromStore(now, records)
					}
					records = nil
				}
			}
			changed := list.Changed(now)
			changes := list.TakeChanges(now)
			g.Expect(changed).To(Equal(len(changes) > 0))
			if changed {
				view = view.with(changes)
			}
			if table.update(cat, view, rolesChanged, isChanging) {
				for _, spec := range table.specs {
					if !spec.Unchanged {
						listed[spec.Key.String()] = spec.Runners
					}
				}
			}
			rolesChanged = false

			var all []registry.Change
			for _, s := range list.Servers(now) {
				all = append(all, registry.Change{ID: s.ID, Server: s})
			}
			full := (&serverView{}).with(all)
			g.Expect(view.len()).To(Equal(len(all)))
			g.Expect(view.services).To(Equal(full.services))
			for _, c := range all {
				g.Expect(view.server(c.ID)).To(BeIdenticalTo(c.Server))
			}
			fullTable := newPoolTable()
			fullTable.update(cat, full, true, isChanging)
			g.Expect(table.specs).To(HaveLen(len(fullTable.specs)))
			for i, spec := range fullTable.specs {
				g.Expect(table.specs[i].Key).To(Equal(spec.Key))
				g.Expect(table.specs[i].Shards).To(Equal(spec.Shards))
				g.Expect(table.specs[i].Runners).To(Equal(spec.Runners))
				g.Expect(listed[spec.Key.String()]).To(Equal(spec.Runners))
			}
		}
	})
}

// Guards against snapshots that change under the goroutines that read them.
func TestServerViewIsImmutable(t *testing.T) {
	g := NewWithT(t)
	first := (&serverView{}).with([]registry.Change{
		{ID: "a", Server: &registry.Server{ID: "a", Service: "s"}}, {ID: "b", Server: &registry.Server{ID: "b", Service: "s"}},
	})
	a := first.server("a")
	second := first.with([]registry.Change{{ID: "a", Old: a}, {ID: "c", Server: &registry.Server{ID: "c", Service: "s"}}})
	g.Expect(first.server("a")).To(BeIdenticalTo(a))
	g.Expect(first.ofService("s")).To(HaveLen(2))
	g.Expect(second.server("a")).To(BeNil())
	g.Expect(second.ofService("s")).To(HaveLen(2))
	g.Expect(second.len()).To(Equal(2))
}

// Guards against work for entries that say nothing new: they must neither publish a
// new view nor cause an early heartbeat, whatever the number of servers.
func TestRepeatedEntriesChangeNothing(t *testing.T) {
	g := NewWithT(t)
	c := newScaleControl(t, 8, 300, 5)
	servers, view := c.servers.Load(), c.view.Load()
	var records []hosting.KeyedRecord
	for i := range 300 {
		records = append(records, serverOf(t, i, 1, false))
	}
	c.apply(feedServers, records...)
	g.Expect(c.servers.Load()).To(BeIdenticalTo(servers))
	g.Expect(c.view.Load()).To(BeIdenticalTo(view))
}
