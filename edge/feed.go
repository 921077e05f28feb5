package edge

import (
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/replica"
)

const (
	// readersPerTopic is the number of daemons that read a topic for all.
	readersPerTopic = 2
	// staleAfter is the age of what is known of a topic after which a daemon
	// reads it itself. The readers' wait and one heartbeat fit into it.
	staleAfter = 1500 * time.Millisecond
	// lostMargin is the time beyond that after which the store counts as away: a
	// daemon that reads itself gets its answer within it.
	lostMargin = 700 * time.Millisecond
	// pullInterval is the least time between two pulls of the same records.
	pullInterval = 150 * time.Millisecond
	// pushBytes bounds the records of one push, so that it fits into a frame.
	pushBytes = peer.MaxFrameBytes / 2
)

// feedID names a topic that all daemons have a copy of.
type feedID int

// The feeds.
const (
	feedConfig feedID = iota
	feedServers
	feedMembers
	feedCount
)

// feed is the copy of one topic and the goroutine that reads it.
type feed struct {
	topic    hosting.Topic
	replica  *replica.Replica
	follower *follower
	// pulled is the time of the last pull, pulledEnd the end that it asked for.
	pulled    time.Time
	pulledEnd int64
}

// FeedState is what a daemon knows of a topic.
type FeedState struct {
	// End is the offset up to which the sender has it; hosting.NoOffset if the
	// sender has nothing to pass on.
	End int64 `cbor:"1,keyasint"`
	// Age is the time since that was known to be all.
	Age time.Duration `cbor:"2,keyasint"`
}

// FeedRecords are records of a topic that are complete up to End.
type FeedRecords struct {
	Records []hosting.KeyedRecord `cbor:"1,keyasint,omitempty"`
	End     int64                 `cbor:"2,keyasint"`
}

// hops is the number of heartbeats that news takes to reach all daemons.
func hops(daemons int) int {
	if daemons <= member.MaxPeers+1 {
		return 1
	}
	return int(math.Ceil(math.Log(float64(daemons)) / math.Log(member.MaxPeers)))
}

// stale is the age after which a daemon among n reads a topic itself.
func stale(n int) time.Duration {
	return staleAfter + time.Duration(hops(n)-1)*member.HeartbeatInterval
}

// tickFeeds decides which topics this daemon reads, and whether the store is
// away: it is if nobody has read the servers for a while.
func (c *control) tickFeeds(now time.Time) {
	limit := stale(c.live.Len())
	for id, f := range c.feeds {
		reader := false
		for _, vm := range c.strong.Ranks("read/"+f.topic.String(), readersPerTopic) {
			reader = reader || vm == c.vm
		}
		age := now.Sub(f.replica.Fresh())
		f.follower.allow(reader || f.replica.End() == hosting.NoOffset || age > limit)
		if feedID(id) == feedServers && f.replica.End() != hosting.NoOffset {
			c.serversCopy.set(f.replica.End(), f.replica.Fresh())
			c.storeAway(now, age > limit+lostMargin)
		}
	}
}

// storeAway notes when the store is lost and regained.
func (c *control) storeAway(now time.Time, away bool) {
	if away == c.away {
		return
	}
	c.away = away
	if away {
		c.registry.StoreLost()
		c.recordFault("store_away", "")
		return
	}
	c.registry.StoreRegained(now)
	c.recordConfig("store_back", "")
}

// feedRead takes what this daemon has read itself.
func (c *control) feedRead(now time.Time, ev feedRead) {
	f := c.feeds[ev.feed]
	var changed []hosting.KeyedRecord
	if ev.reset {
		changed = f.replica.Reset(ev.page)
	} else {
		changed = f.replica.Apply(ev.page.Records, ev.page.End)
	}
	c.takeRecords(now, ev.feed, changed, true)
	f.replica.Refresh(ev.page.End, now)
	if ev.feed == feedServers {
		c.storeAway(now, false)
	}
	f.follower.know(f.replica.End())
}

// takeRecords puts new records of a topic in effect.
func (c *control) takeRecords(now time.Time, id feedID, records []hosting.KeyedRecord, fromStore bool) {
	if len(records) == 0 {
		return
	}
	c.beatNow = true
	switch id {
	case feedConfig:
		for _, r := range records {
			if r.Key == c.source.ConfigKey && r.Value != nil {
				c.putConfig(r.Value)
			}
		}
	case feedServers:
		if fromStore {
			c.reportUnreadable(c.registry.FromStore(now, records))
		} else {
			c.reportUnreadable(c.registry.FromPeer(now, records))
		}
		c.dirty = true
	case feedMembers:
		for _, vm := range c.book.apply(records, c.events) {
			c.forget(vm)
		}
		c.listMembers(now)
	}
}

// feedStates is what peers may ask for: nothing of the servers while removals
// are held back here.
func (c *control) feedStates(now time.Time) []FeedState {
	out := make([]FeedState, len(c.feeds))
	for id, f := range c.feeds {
		out[id] = FeedState{End: f.replica.End(), Age: now.Sub(f.replica.Fresh())}
		if feedID(id) == feedServers && c.registry.Holding(now) {
			out[id].End = hosting.NoOffset
		}
	}
	return out
}

// learnFeeds compares a peer's state with the own one, and asks for what this
// daemon lacks.
func (c *control) learnFeeds(now time.Time, from string, states []FeedState) {
	pull := &Pull{Ends: make([]int64, len(c.feeds))}
	behind := false
	for id, f := range c.feeds {
		pull.Ends[id] = math.MaxInt64
		if id >= len(states) || states[id].End == hosting.NoOffset || states[id].Age < 0 {
			continue
		}
		s := states[id]
		f.replica.Refresh(s.End, now.Add(-s.Age))
		if s.End <= f.replica.End() || (s.End <= f.pulledEnd && now.Sub(f.pulled) < pullInterval) {
			continue
		}
		f.pulled, f.pulledEnd = now, s.End
		pull.Ends[id] = f.replica.End()
		behind = true
	}
	if behind {
		c.send(from, pull)
	}
}

// push answers a peer that is behind.
func (c *control) push(now time.Time, to string, m *Pull) {
	states := c.feedStates(now)
	out := &Push{Feeds: make([]FeedRecords, len(c.feeds))}
	for id, f := range c.feeds {
		out.Feeds[id].End = hosting.NoOffset
		if id < len(m.Ends) && m.Ends[id] < states[id].End {
			out.Feeds[id] = cutRecords(f.replica.Since(m.Ends[id]), states[id].End)
		}
	}
	c.send(to, out)
}

// cutRecords keeps the first records that fit into a push. They are complete up
// to the last one, because they are in the order of their offsets.
func cutRecords(records []hosting.KeyedRecord, end int64) FeedRecords {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value)
		if size > pushBytes && i > 0 {
			return FeedRecords{Records: records[:i], End: records[i-1].Offset + 1}
		}
	}
	return FeedRecords{Records: records, End: end}
}

// takePush takes records from a peer.
func (c *control) takePush(now time.Time, m *Push) {
	for id, f := range c.feeds {
		if id >= len(m.Feeds) || m.Feeds[id].End <= f.replica.End() {
			continue
		}
		changed := f.replica.Apply(m.Feeds[id].Records, m.Feeds[id].End)
		c.takeRecords(now, feedID(id), changed, false)
		f.follower.know(f.replica.End())
	}
}
