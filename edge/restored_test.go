package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/registry"
)

func entryOf(tb testing.TB, id string, sequence int64, draining bool) hosting.KeyedRecord {
	tb.Helper()
	return hosting.KeyedRecord{Key: id, Value: encodeJSON(tb, registry.Server{
		ID: id, StartedMs: 1, Service: "desk", Addr: "10.9.9.9:8", Slots: 6, Draining: draining, Sequence: sequence,
	})}
}

// restore lets a control read all records of a topic in the next history of the store.
func (sc *scaleControl) restore(id feedID, records ...hosting.KeyedRecord) {
	history := hosting.History(sc.control.feeds[id].replica.End()) + 1
	for i := range records {
		records[i].Offset = hosting.Position(history, int64(i))
	}
	page := hosting.KeyedPage{End: hosting.Position(history, int64(len(records))), Records: records}
	sc.control.applyPage(sc.now, feedPage{feed: id, page: page, reset: true})
	sc.control.publish(sc.now)
}

// Guards against a server that has left, or drains, and is in use again because the
// store continues from an older copy.
func TestRestoredStoreDoesNotBringBackServers(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 1, 0, 1)
	sc.apply(feedServers, entryOf(t, "left", 4, false), entryOf(t, "drains", 4, false))
	sc.apply(feedServers, hosting.KeyedRecord{Key: "left"}, entryOf(t, "drains", 5, true))
	sc.restore(feedServers, entryOf(t, "left", 4, false), entryOf(t, "drains", 4, false), entryOf(t, "new", 1, false))
	servers := sc.control.servers.Load()
	g.Expect(servers.server("left")).To(BeNil())
	g.Expect(servers.server("drains").Draining).To(BeTrue())
	g.Expect(servers.server("new")).NotTo(BeNil())
	again := entryOf(t, "left", 5, false)
	again.Offset = sc.control.feeds[feedServers].replica.End()
	sc.control.applyPage(sc.now, feedPage{feed: feedServers, page: hosting.KeyedPage{End: again.Offset + 1, Records: []hosting.KeyedRecord{again}}})
	sc.settle()
	g.Expect(sc.control.servers.Load().server("left")).NotTo(BeNil(), "a server that was only silent has written its entry again")
}

// Guards against servers that are dropped at once because the copy of the store lacks
// their entries.
func TestRestoredStoreKeepsServersUntilTheyWriteAgain(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 1, 0, 1)
	sc.apply(feedServers, entryOf(t, "a", 1, false))
	sc.restore(feedServers)
	g.Expect(sc.control.servers.Load().server("a")).NotTo(BeNil())
	sc.now = sc.now.Add(registry.RemovalDelay + time.Millisecond)
	sc.control.publish(sc.now)
	g.Expect(sc.control.servers.Load().server("a")).To(BeNil())
}
