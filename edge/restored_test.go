package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/quarantine"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/replica"
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

// Guards against daemons that peers forget, or whose certificate they reject, because
// the store has lost their entries or holds those of earlier processes.
func TestRestoredStoreGetsMemberEntriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		sc := newScaleControl(t, 8, 5, 1)
		topics := newMemoryTopics()
		sc.announcer = newAnnouncer(topics, hosting.Topic{}, "vm-0", testMember("vm-0.a"), sc.events)
		done := make(chan struct{})
		go func() { sc.announcer.run(ctx); close(done) }()
		sc.apply(feedMembers, memberOf(t, 1, "k2"), memberOf(t, 2, "k1"))
		time.Sleep(time.Second)
		older := []hosting.KeyedRecord{memberOf(t, 0, "a"), memberOf(t, 1, "k1"), memberOf(t, 2, "k9")}
		topics.set(func() { topics.history, topics.records = 1, slices.Clone(older) })
		sc.restore(feedMembers, older...)
		time.Sleep(10 * announceRetry)
		topics.set(func() { g.Expect(topics.records).To(HaveLen(len(older)+1), "one more entry of vm-0") })
		entries := sc.memberTable.load()
		g.Expect(entries).To(HaveLen(8), "daemons that the copy lacks")
		g.Expect(entries["vm-1"].Incarnation).To(Equal("vm-1.k2"))
		g.Expect(entries["vm-2"].Incarnation).To(Equal("vm-2.k9"))
		cancel()
		<-done
	})
}

// Guards against a part of a prompt that is used again because the store has lost its
// quarantine.
func TestRestoredStoreGetsQuarantinesAgain(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 1, 0, 1)
	var written []hosting.KeyedRecord
	sc.quarantine.put = func(r hosting.KeyedRecord) { written = append(written, r) }
	quarantineOf := func(part string, left time.Duration) hosting.KeyedRecord {
		return hosting.KeyedRecord{Key: part, Value: quarantine.Entry{UntilMs: sc.clock.Now().Add(left).UnixMilli()}.Encode()}
	}
	lost, extended := quarantineOf("lost", time.Minute), quarantineOf("extended", 2*time.Minute)
	sc.apply(feedQuarantine, lost, quarantineOf("known", time.Minute), extended)
	sc.restore(feedQuarantine, quarantineOf("known", time.Minute), quarantineOf("extended", time.Minute))
	g.Expect(written).To(ConsistOf(
		HaveField("Value", lost.Value), HaveField("Value", extended.Value),
	))
	list := sc.quarantine.guard.list.Load()
	g.Expect(list.Left(sc.clock.Now(), "lost")).To(BeNumerically(">", 50*time.Second))
	g.Expect(list.Left(sc.clock.Now(), "extended")).To(BeNumerically(">", 110*time.Second))
}

// Guards against pushes that split records of the same offset, of which a peer then
// lacks some without asking for them: keys that a topic lost get the same offset.
func TestCutPushesHoldAllRecordsOfAnOffset(t *testing.T) {
	g := NewWithT(t)
	var records []hosting.KeyedRecord
	for i := range 5000 {
		records = append(records, hosting.KeyedRecord{Key: fmt.Sprintf("key-%04d-%0200d", i, i), Offset: 10 + int64(i/2500)})
	}
	records = append(records, hosting.KeyedRecord{Key: "last", Value: []byte("v"), Offset: 12})
	received := map[string]bool{}
	for end := hosting.NoOffset; end < 13; {
		from := slices.IndexFunc(records, func(r hosting.KeyedRecord) bool { return r.Offset >= end })
		push, _ := replica.Section{Records: records[from:], From: end, End: 13, Total: 13}.Cut(pushBytes)
		g.Expect(push.End).To(BeNumerically(">", end))
		for _, r := range push.Records {
			received[r.Key] = true
		}
		end = push.End
	}
	g.Expect(received).To(HaveLen(len(records)))
}

// Guards against a push of several long feeds that exceeds a frame, so that the peer
// gets none of them. All feeds are sent whole when a new history begins.
func TestPushOfAllFeedsFitsIntoAFrame(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 300, 2900, 3000)
	var push *Push
	sc.send = func(_ string, m peer.Message) { push = m.(*Push) }
	known := map[feedID]int64{}
	for range 10 {
		pull := &Pull{Ends: make([]int64, feedCount), Removals: make([]int64, feedCount)}
		for id := range pull.Ends {
			end, ok := known[feedID(id)]
			if !ok {
				end = hosting.NoOffset
			}
			pull.Ends[id], pull.Removals[id] = end, end
		}
		sc.answerPull(sc.now, "vm-1", pull)
		encoded, err := cbor.Marshal(push)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(encoded)).To(BeNumerically("<", peer.MaxFrameBytes))
		for id, f := range push.Feeds {
			if f.End != hosting.NoOffset {
				known[feedID(id)] = f.End
			}
		}
	}
	for id, f := range sc.feeds {
		if f.replica.End() != hosting.NoOffset {
			g.Expect(known[feedID(id)]).To(Equal(f.replica.End()), f.topic.String())
		}
	}
}

// Guards against a fleet that takes its present number of engines for the operators'
// estimate because the store has lost the stored one.
func TestLostBaseCountsAreStoredAgain(t *testing.T) {
	g := NewWithT(t)
	h := newDutyHarness(t, newMemoryTopics(), time.Second, UsageSettings{Window: time.Second})
	f := &fleetControl{duties: h.duties, events: h.events, services: map[string]*serviceFleet{}, baseCounts: map[string]int{}, observed: map[string]observedCount{}}
	stored := func(counts string) []hosting.KeyedRecord {
		value, err := json.Marshal(authority.Envelope{Body: json.RawMessage(counts)})
		g.Expect(err).NotTo(HaveOccurred())
		return []hosting.KeyedRecord{{Key: fleetKey, Value: value}}
	}
	f.gained(time.Now(), 1, stored(`{"llm":9,"other":4}`))
	f.gained(time.Now(), 2, stored(`{"other":5}`))
	g.Expect(f.baseCounts).To(Equal(map[string]int{"llm": 9, "other": 5}))
	g.Expect(h.machine.Queued()).To(ConsistOf(fleetKey))
	f.gained(time.Now(), 3, stored(`{"llm":8,"other":5}`))
	g.Expect(f.baseCounts).To(Equal(map[string]int{"llm": 8, "other": 5}))
	g.Expect(h.machine.Queued()).To(HaveLen(1))
}
