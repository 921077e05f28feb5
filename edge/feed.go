package edge

import (
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/replica"
)

const (
	// readersPerTopic is the number of daemons that read a topic from the store and
	// distribute its records to the others.
	readersPerTopic = 2
	// staleAfter is the age of a replica after which a daemon reads the topic
	// itself. It exceeds the readers' maximum wait plus one heartbeat interval.
	staleAfter = 1500 * time.Millisecond
	// noticeInterval is the minimum time between two notices of a reader. It is below
	// the readers' maximum wait.
	noticeInterval = 600 * time.Millisecond
	// unavailableMargin is the further time after which the store counts as
	// unavailable. A daemon that reads the topic itself gets an answer within it.
	unavailableMargin = 700 * time.Millisecond
	// pullInterval is the minimum time between two pulls of the same records.
	pullInterval = 150 * time.Millisecond
	// pushBytes limits the size of the records of one push, so that it fits into a
	// frame.
	pushBytes = peer.MaxFrameBytes / 2
)

// feedID identifies a topic that all daemons replicate. The values are indexes
// on the wire.
type feedID int

// The feeds.
const (
	feedConfig feedID = iota
	feedServers
	feedMembers
	feedQuarantine
	feedVersions
	feedCount
)

// feed is the local replica of one topic and the follower that reads the topic.
type feed struct {
	topic    hosting.Topic
	replica  *replica.Replica
	follower *follower
	// pulled is the time of the last pull, and pulledEnd is the end offset that the
	// peer had announced.
	pulled    time.Time
	pulledEnd int64
	// read is the time of the last page that this daemon has read from the store, and
	// noticed that of its last notice.
	read, noticed time.Time
	// gap is set if a peer couldn't send all records that the replica lacks. Only the
	// store can.
	gap bool
}

// FeedState is the state of a daemon's replica of a topic.
type FeedState struct {
	// End is the end offset of the sender's replica. It is hosting.NoOffset if the
	// sender offers no records.
	End int64 `cbor:"1,keyasint"`
	// Age is the time since the replica was last known to be complete.
	Age time.Duration `cbor:"2,keyasint"`
	// Version is the version of the configuration in force, in the state of its feed. It
	// may be higher than that of the store, if the store has lost it.
	Version int64 `cbor:"3,keyasint,omitempty"`
}

// FeedRecords is a section of the sender's replica of a topic. End is hosting.NoOffset
// if there is none.
type FeedRecords struct {
	Records []hosting.KeyedRecord `cbor:"1,keyasint,omitempty"`
	End     int64                 `cbor:"2,keyasint"`
	Total   int64                 `cbor:"3,keyasint"`
	From    int64                 `cbor:"4,keyasint"`
	Base    int64                 `cbor:"5,keyasint"`
}

func feedRecords(s replica.Section) FeedRecords {
	return FeedRecords{Records: s.Records, From: s.From, Base: s.Base, End: s.End, Total: s.Total}
}

func (r FeedRecords) section() replica.Section {
	return replica.Section{Records: r.Records, From: r.From, Base: r.Base, End: r.End, Total: r.Total}
}

// gossipRounds returns the number of heartbeat rounds after which new records
// have reached all daemons.
func gossipRounds(daemons int) int {
	if daemons <= member.MaxPeers+1 {
		return 1
	}
	return int(math.Ceil(math.Log(float64(daemons)) / math.Log(member.MaxPeers)))
}

// sendsNotices reports whether the readers of a feed send notices to all daemons. The time
// within which its records must take effect doesn't depend on the number of daemons.
func (id feedID) sendsNotices() bool { return id == feedConfig || id == feedServers }

// readThreshold returns the age of a replica after which one of n daemons reads
// the topic itself. What the readers tell the others stays below it.
func readThreshold(id feedID, n int) time.Duration {
	if id.sendsNotices() || n <= member.MaxPeers+1 {
		return staleAfter
	}
	return staleAfter + time.Duration(gossipRounds(n))*member.HeartbeatInterval
}

// tickFeeds decides which topics this daemon reads, and whether the store is
// unavailable: neither this daemon nor a peer has refreshed the list of servers
// within the threshold plus unavailableMargin.
func (c *control) tickFeeds(now time.Time) {
	for id, f := range c.feeds {
		reader := false
		for _, vm := range c.highCapacity.Ranks("read/"+f.topic.String(), readersPerTopic) {
			reader = reader || vm == c.vm
		}
		if reader && feedID(id).sendsNotices() {
			c.sendNotice(now, feedID(id))
		}
		f.follower.retryLimit.Store(int64(readRetryLimit(reader, c.live.Len())))
		age := now.Sub(f.replica.Fresh())
		limit := readThreshold(feedID(id), c.live.Len())
		longest := limit + f.follower.wait - followWait
		f.follower.setEnabled(reader || f.gap || f.replica.End() == hosting.NoOffset || age > longest)
		if feedID(id) == feedServers && f.replica.End() != hosting.NoOffset {
			c.serversReplica.set(f.replica.End(), f.replica.Fresh())
			c.setStoreUnavailable(now, age > limit+unavailableMargin)
		}
	}
}

// sendNotice tells all daemons how fresh the replica of a reader is, so that none reads
// the topic itself although heartbeats take several rounds. In a full mesh heartbeats
// suffice.
func (c *control) sendNotice(now time.Time, id feedID) {
	f := c.feeds[id]
	if c.live.Len() <= member.MaxPeers+1 || !f.read.After(f.noticed) || now.Sub(f.noticed) < noticeInterval {
		return
	}
	state := c.feedStates(now)[id]
	if state.End == hosting.NoOffset {
		return
	}
	f.noticed = now
	for _, vm := range c.live.IDs() {
		if vm != c.vm {
			c.send(vm, &FeedNotice{Feed: int(id), State: state})
		}
	}
}

// applyNotice applies a reader's notice. Records that this daemon lacks reach it with
// heartbeats.
func (c *control) applyNotice(now time.Time, m *FeedNotice) {
	if m.Feed < 0 || m.Feed >= len(c.feeds) || m.State.End == hosting.NoOffset || m.State.Age < 0 {
		return
	}
	c.feeds[m.Feed].replica.Refresh(m.State.End, now.Add(-m.State.Age))
}

// setStoreUnavailable records when the store becomes unavailable and available.
func (c *control) setStoreUnavailable(now time.Time, unavailable bool) {
	if unavailable == c.storeUnavailable {
		return
	}
	c.storeUnavailable = unavailable
	if unavailable {
		c.registry.StoreLost()
		c.recordFault("store_away", "")
		return
	}
	c.registry.StoreRegained(now)
	c.recordConfig("store_back", "")
}

// applyPage applies a page that this daemon has read from the store.
func (c *control) applyPage(now time.Time, ev feedPage) {
	f := c.feeds[ev.feed]
	f.gap, f.read = false, now
	if ev.feed == feedServers {
		c.setStoreUnavailable(now, false)
	}
	if ev.reset {
		c.replaceReplica(now, ev.feed, replica.Section{Records: ev.page.Records, From: hosting.NoOffset, Base: ev.page.End, End: ev.page.End, Total: ev.page.End}, true)
	} else {
		c.applyRecords(now, ev.feed, f.replica.Apply(ev.page.Records, ev.page.End), true)
	}
	f.replica.Refresh(ev.page.End, now)
	f.follower.setKnownEnd(f.replica.End())
}

// replaceReplica replaces the replica of a topic. A new history of the store, which
// has begun with an older copy, is entered in this way only: records that neither
// the copy nor their writers have written again are gone.
func (c *control) replaceReplica(now time.Time, id feedID, s replica.Section, fromStore bool) {
	f := c.feeds[id]
	before := f.replica.End()
	changed, kept := f.replica.Replace(s)
	if before != hosting.NoOffset && hosting.History(s.End) > hosting.History(before) {
		c.recordFault("history_lost", f.topic.String(), event.F("known_end", hosting.FormatPosition(before)),
			event.F("end", hosting.FormatPosition(s.End)), event.F("changed", formatInt(int64(len(changed)))),
			event.F("kept", formatInt(int64(len(kept)))))
		switch {
		case id == feedServers && fromStore:
			c.registry.HistoryLost(now)
		case id == feedMembers:
			c.announcer.historyLost(s.End)
		case id == feedQuarantine && fromStore:
			for _, r := range kept {
				c.quarantine.put(hosting.KeyedRecord{Key: r.Key, Value: r.Value})
			}
		}
	}
	// Of the keys that a peer's section lacks, the peer doesn't know when they were
	// removed: they count as read from the store, so that entries which have only
	// expired during an outage stay in use for a while.
	sameHistory := hosting.History(s.End) == hosting.History(before)
	c.applyRecords(now, id, changed, fromStore || sameHistory)
}

// keepConfig is the replica.Keep of the configuration topic.
func (c *control) keepConfig(record, later hosting.KeyedRecord) bool {
	if record.Key != c.source.ConfigKey || record.Value == nil {
		return false
	}
	ours, err := c.source.DecodeConfig(record.Value)
	if err != nil || later.Value == nil {
		return err == nil
	}
	theirs, err := c.source.DecodeConfig(later.Value)
	return err != nil || ours.Version > theirs.Version
}

// keepServer is the replica.Keep of the server topic: a server that has left, or that
// drains, is not in use again because the store has lost that entry.
func (c *control) keepServer(_, later hosting.KeyedRecord) bool {
	return later.Value != nil && c.registry.Outdated(later.Key, later.Value)
}

// applyRecords puts new records of a topic into effect.
func (c *control) applyRecords(now time.Time, id feedID, records []hosting.KeyedRecord, fromStore bool) {
	if len(records) == 0 {
		return
	}
	c.heartbeatDue = true
	switch id {
	case feedConfig:
		for _, r := range records {
			if r.Key == c.source.ConfigKey && r.Value != nil {
				c.applyConfig(r.Value)
			}
		}
	case feedServers:
		if fromStore {
			c.reportUndecodable(c.registry.FromStore(now, records))
		} else {
			c.reportUndecodable(c.registry.FromPeer(now, records))
		}
		c.dirty = c.dirty || c.registry.Changed(now)
	case feedMembers:
		for _, r := range records {
			c.announcer.observe(r)
		}
		changed := c.memberTable.apply(records, c.events)
		for _, vm := range changed {
			c.forgetPeerEnds(vm)
			c.disconnect(vm)
			c.noteLeft(vm)
		}
		if len(changed) > 0 {
			c.schedulersChanged(now)
		}
		c.updateMemberList(now)
	case feedQuarantine:
		c.quarantine.applyRecords(records)
	case feedVersions:
		c.publishVersions()
	}
}

// feedStates returns the states of the replicas that peers may pull from. The
// list of servers is not offered while this daemon delays removals of
// servers.
func (c *control) feedStates(now time.Time) []FeedState {
	out := make([]FeedState, len(c.feeds))
	for id, f := range c.feeds {
		out[id] = FeedState{End: f.replica.End(), Age: now.Sub(f.replica.Fresh())}
		if !f.replica.Complete() || (feedID(id) == feedServers && c.registry.HasDelayedRemovals(now)) {
			out[id].End = hosting.NoOffset
		}
	}
	if cat := c.catalog.Load(); cat != nil {
		out[feedConfig].Version = cat.Version()
	}
	return out
}

// peersBehind returns the peers that are not known to have all records that this
// daemon offers. Only they need an early heartbeat.
func (c *control) peersBehind(now time.Time) []string {
	states := c.feedStates(now)
	var out []string
	for _, vm := range c.members.Peers() {
		ends := c.peerEnds[vm]
		for id := range states {
			if states[id].End != hosting.NoOffset && (ends == nil || ends[id] < states[id].End) {
				out = append(out, vm)
				break
			}
		}
	}
	return out
}

// notePeerEnd records that a peer's replica of a topic reaches at least an offset.
func (c *control) notePeerEnd(vm string, id int, end int64) {
	ends := c.peerEnds[vm]
	if ends == nil {
		ends = &[feedCount]int64{}
		for i := range ends {
			ends[i] = hosting.NoOffset
		}
		c.peerEnds[vm] = ends
	}
	ends[id] = max(ends[id], end)
}

// forgetPeerEnds drops what is known of the replicas of a VM whose process may have
// ended.
func (c *control) forgetPeerEnds(vm string) { delete(c.peerEnds, vm) }

// pullMissing compares the replicas of a peer with those of this daemon and
// pulls the missing records.
func (c *control) pullMissing(now time.Time, from string, states []FeedState) {
	pull := &Pull{Ends: make([]int64, len(c.feeds)), Removals: make([]int64, len(c.feeds))}
	behind := false
	for id, f := range c.feeds {
		pull.Ends[id], pull.Removals[id] = math.MaxInt64, math.MaxInt64
		if id >= len(states) || states[id].End == hosting.NoOffset || states[id].Age < 0 {
			continue
		}
		s := states[id]
		c.notePeerEnd(from, id, s.End)
		f.replica.Refresh(s.End, now.Add(-s.Age))
		if feedID(id) == feedConfig && s.End <= f.replica.End() && s.Version > c.configVersion() && now.Sub(f.pulled) >= pullInterval {
			// The store has lost a version that the peer still has.
			f.pulled, behind = now, true
			pull.Ends[id], pull.Removals[id] = hosting.NoOffset, hosting.NoOffset
			continue
		}
		if s.End <= f.replica.End() || (s.End <= f.pulledEnd && now.Sub(f.pulled) < pullInterval) {
			continue
		}
		f.pulled, f.pulledEnd = now, s.End
		pull.Ends[id], pull.Removals[id] = f.replica.End(), f.replica.RemovalsFrom()
		behind = true
	}
	if behind {
		c.send(from, pull)
	}
}

func (c *control) configVersion() int64 {
	if cat := c.catalog.Load(); cat != nil {
		return cat.Version()
	}
	return -1
}

// answerPull sends a peer the records that it lacks.
func (c *control) answerPull(now time.Time, to string, m *Pull) {
	states := c.feedStates(now)
	out := &Push{Feeds: make([]FeedRecords, len(c.feeds))}
	used := 0
	for id, f := range c.feeds {
		out.Feeds[id].End = hosting.NoOffset
		if id >= len(m.Ends) || id >= len(m.Removals) || m.Ends[id] >= states[id].End || used > pushBytes {
			continue
		}
		section, size := f.replica.Since(m.Ends[id], m.Removals[id]).Cut(pushBytes - used)
		if used > 0 && used+size > pushBytes {
			continue // The peer asks again for the feeds that it still lacks.
		}
		used += size
		out.Feeds[id] = feedRecords(section)
		c.notePeerEnd(to, id, section.End)
	}
	c.send(to, out)
}

// applyPush applies the records of a push.
func (c *control) applyPush(now time.Time, from string, m *Push) {
	for id, f := range c.feeds {
		if id < len(m.Feeds) {
			c.notePeerEnd(from, id, m.Feeds[id].End)
		}
		if id >= len(m.Feeds) {
			continue
		}
		if section := m.Feeds[id].section(); section.End > f.replica.End() || feedID(id) == feedConfig {
			c.applySection(now, feedID(id), from, section)
		}
		f.follower.setKnownEnd(f.replica.End())
	}
}

// applySection applies a section of a peer's replica.
func (c *control) applySection(now time.Time, id feedID, from string, s replica.Section) {
	f := c.feeds[id]
	switch f.replica.Fit(s) {
	case replica.FitContinues:
		c.applyRecords(now, id, f.replica.Continue(s), false)
	case replica.FitReplaces:
		if s.End < f.replica.End() {
			// The peer has a version of the configuration that the store has lost.
			c.applyRecords(now, id, f.replica.Apply(s.Records, s.End), false)
			return
		}
		c.recordConfig("topic_replaced", f.topic.String(), event.F("from", from), event.F("known_end", hosting.FormatPosition(f.replica.End())),
			event.F("base", hosting.FormatPosition(s.Base)), event.F("end", hosting.FormatPosition(s.End)),
			event.F("records", formatInt(int64(len(s.Records)))))
		c.replaceReplica(now, id, s, false)
	case replica.FitGap:
		if f.gap {
			return
		}
		f.gap = true
		c.recordConfig("topic_gap", f.topic.String(), event.F("from", from), event.F("known_end", hosting.FormatPosition(f.replica.End())),
			event.F("section_from", hosting.FormatPosition(s.From)), event.F("end", hosting.FormatPosition(s.End)))
	}
}
