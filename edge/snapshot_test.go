package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/registry"
)

// exchange lets a control learn of another one's replicas, and carries the messages
// between the two until neither sends any.
func exchange(to, from *scaleControl) {
	vms := map[string]*scaleControl{to.vm: to, from.vm: from}
	type sent struct {
		from, to string
		message  peer.Message
	}
	var queue []sent
	for vm, c := range vms {
		c.send = func(receiver string, m peer.Message) { queue = append(queue, sent{vm, receiver, m}) }
	}
	to.handle(to.now, peerMessage{from: from.vm, message: &Heartbeat{Feeds: from.feedStates(from.now)}})
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		if c := vms[next.to]; c != nil {
			c.handle(c.now, peerMessage{from: next.from, message: next.message})
			c.settle()
		}
	}
}

// startFrom lets a control read a topic from the store for the first time.
func (c *scaleControl) startFrom(id feedID, end int64, records ...hosting.KeyedRecord) {
	c.handle(c.now, feedPage{feed: id, page: hosting.KeyedPage{End: end, Records: records}, reset: true})
	c.settle()
}

// Guards against a server that left but stays in use: a daemon that has started after
// the removal, and doesn't know of it, offers its list of servers as complete to one
// that has not read the removal yet.
func TestRemovalReachesDaemonsThroughOneThatStartedAfterIt(t *testing.T) {
	g := NewWithT(t)
	behind := newScaleControl(t, 2, 0, 1)
	behind.apply(feedServers, entryOf(t, "left", 1, false), entryOf(t, "stays", 1, false))
	g.Expect(behind.servers.Load().server("left")).NotTo(BeNil())

	started := newScaleControlOf(t, "vm-1", 2, 0, 1)
	stays := entryOf(t, "stays", 1, false)
	stays.Offset = 1
	started.startFrom(feedServers, 3, stays)

	exchange(behind, started)
	g.Expect(behind.servers.Load().server("left")).To(BeNil())
	g.Expect(behind.servers.Load().server("stays")).NotTo(BeNil())
	g.Expect(behind.feeds[feedServers].replica.End()).To(Equal(int64(3)))
}

// Guards against servers that all daemons drop at once after an outage of the store: a
// daemon that starts right after it offers a list without the entries that have expired
// meanwhile.
func TestListOfStartedDaemonDoesNotEndRemovalDelays(t *testing.T) {
	g := NewWithT(t)
	behind := newScaleControl(t, 2, 0, 1)
	behind.apply(feedServers, entryOf(t, "expired", 1, false))
	behind.setStoreUnavailable(behind.now, true)
	behind.setStoreUnavailable(behind.now, false)

	started := newScaleControlOf(t, "vm-1", 2, 0, 1)
	started.startFrom(feedServers, 2)
	exchange(behind, started)
	g.Expect(behind.servers.Load().server("expired")).NotTo(BeNil())
	behind.now = behind.now.Add(registry.RemovalDelay + time.Millisecond)
	behind.publish(behind.now)
	g.Expect(behind.servers.Load().server("expired")).To(BeNil(), "it has not written its entry again")
}

// Guards against a daemon that takes the records after an offset for the whole topic:
// they answer a pull of the process before it on the same VM.
func TestAnswerToTheProcessBeforeIsNotAWholeTopic(t *testing.T) {
	g := NewWithT(t)
	started := newScaleControl(t, 2, 0, 1)
	started.feeds = (&Daemon{control: started.control}).newFeeds()
	latest := entryOf(t, "new", 1, false)
	latest.Offset = 7
	push := &Push{Feeds: make([]FeedRecords, feedCount)}
	for id := range push.Feeds {
		push.Feeds[id].End = hosting.NoOffset
	}
	push.Feeds[feedServers] = FeedRecords{Records: []hosting.KeyedRecord{latest}, From: 7, Base: 2, End: 8, Total: 8}
	started.handle(started.now, peerMessage{from: "vm-1", message: push})
	g.Expect(started.feeds[feedServers].replica.End()).To(Equal(hosting.NoOffset))
	started.feeds[feedServers].replica.Reset(hosting.KeyedPage{End: 1})
	started.feeds[feedServers].replica.Refresh(1, started.now)
	started.handle(started.now, peerMessage{from: "vm-1", message: push})
	started.highCapacity = member.NewSet(nil)
	started.tickFeeds(started.now)
	g.Expect(started.feeds[feedServers].follower.enabled.Load()).To(BeTrue(), "the daemon reads the topic itself")
}

// Guards against a list of servers that no peer can send in one push, so that a daemon
// that starts while the store is away never completes it, or misses a removal between
// two pushes.
func TestLongTopicIsTakenOverInParts(t *testing.T) {
	g := NewWithT(t)
	const servers = 6000
	full := newScaleControl(t, 2, servers, 1)
	end := full.offsets[feedServers]
	var newest []hosting.KeyedRecord
	for i := range servers {
		r := serverOf(t, i, 1, false)
		r.Offset = int64(i)
		newest = append(newest, r)
	}
	full.feeds[feedServers].replica.Reset(hosting.KeyedPage{End: end, Records: newest})
	started := newScaleControlOf(t, "vm-1", 2, 0, 1)
	started.feeds = (&Daemon{control: started.control}).newFeeds()
	exchange(started, full)
	taken := started.feeds[feedServers].replica
	g.Expect(taken.End()).To(BeNumerically(">", 0))
	g.Expect(taken.Complete()).To(BeFalse(), "the list doesn't fit into one push")
	g.Expect(started.feedStates(started.now)[feedServers].End).To(Equal(hosting.NoOffset), "an incomplete list is not offered")
	full.apply(feedServers, hosting.KeyedRecord{Key: "i-0"})
	for range 10 {
		started.feeds[feedServers].pulled = time.Time{}
		exchange(started, full)
	}
	g.Expect(taken.Complete()).To(BeTrue())
	g.Expect(started.registry.Servers(started.now)).To(HaveLen(servers - 1))
}
