package registry

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
)

var start = time.Unix(1_700_000_000, 0)

// decodePlain uses the value as the server's address. It fails for "bad".
func decodePlain(id string, value []byte) (Server, error) {
	if string(value) == "bad" {
		return Server{}, errors.New("unreadable")
	}
	return Server{ID: id, Addr: string(value)}, nil
}

func put(offset int64, key, value string) hosting.KeyedRecord {
	return hosting.KeyedRecord{Key: key, Value: []byte(value), Offset: offset}
}

func drop(offset int64, key string) hosting.KeyedRecord {
	return hosting.KeyedRecord{Key: key, Offset: offset}
}

func addresses(b *ServerList, now time.Time) []string {
	var out []string
	for _, s := range b.Servers(now) {
		out = append(out, s.ID+"="+s.Addr)
	}
	return out
}

// Guards against an entry that can't be decoded, for example one of another
// writer, and that hides the other entries or leaves its previous value in use.
func TestUndecodableEntryIsIgnored(t *testing.T) {
	g := NewWithT(t)
	b := NewServerList(decodePlain)
	bad := b.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1"), put(1, "b", "bad"), put(2, "c", "3"), put(3, "a", "bad")})
	g.Expect(bad).To(HaveLen(2))
	g.Expect(addresses(b, start)).To(Equal([]string{"c=3"}))
}

// Guards against live servers that are dropped because their entries expired
// during an outage of the store, and against expired servers that stay in use for
// ever.
func TestExpiredEntriesAreKeptBrieflyAfterOutage(t *testing.T) {
	g := NewWithT(t)
	b := NewServerList(decodePlain)
	b.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1"), put(1, "b", "2")})
	b.StoreLost()
	back := start.Add(10 * time.Second)
	b.StoreRegained(back)
	b.FromStore(back, []hosting.KeyedRecord{drop(2, "a"), drop(3, "b")})
	g.Expect(addresses(b, back.Add(RemovalDelay-time.Millisecond))).To(Equal([]string{"a=1", "b=2"}))
	b.FromStore(back.Add(time.Second), []hosting.KeyedRecord{put(4, "a", "1")})
	g.Expect(addresses(b, back.Add(RemovalDelay+time.Second))).To(Equal([]string{"a=1"}))
	g.Expect(b.HasDelayedRemovals(back.Add(RemovalDelay + time.Second))).To(BeFalse())
}

// Guards against a removed server that stays in use for longer than the time in which
// it may get requests: the delay counts from the end of the outage, not from when the
// removal was read.
func TestRemovalDelayCountsFromTheOutage(t *testing.T) {
	g := NewWithT(t)
	b := NewServerList(decodePlain)
	b.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1")})
	b.StoreLost()
	b.StoreRegained(start)
	late := start.Add(RemovalDelay - 10*time.Millisecond)
	b.FromStore(late, []hosting.KeyedRecord{drop(1, "a")})
	g.Expect(addresses(b, late)).To(Equal([]string{"a=1"}))
	g.Expect(addresses(b, start.Add(RemovalDelay))).To(BeEmpty())
	g.Expect(b.HasDelayedRemovals(start.Add(RemovalDelay))).To(BeFalse())
}

func decodeVersioned(id string, value []byte) (Server, error) {
	s := Server{ID: id}
	return s, json.Unmarshal(value, &s)
}

func encodeVersion(started, sequence int64, draining bool) []byte {
	value, err := json.Marshal(Server{StartedMs: started, Sequence: sequence, Draining: draining})
	if err != nil {
		panic(err)
	}
	return value
}

// Guards against entries of an older copy of the store that bring back a server that
// has left or drains, and against newer entries that count as outdated.
func TestEntriesOlderThanKnownOnesAreOutdated(t *testing.T) {
	g := NewWithT(t)
	l := NewServerList(decodeVersioned)
	entry := func(id string, value []byte) hosting.KeyedRecord { return hosting.KeyedRecord{Key: id, Value: value} }
	l.FromStore(start, []hosting.KeyedRecord{
		entry("left", encodeVersion(5, 1, false)), entry("left", encodeVersion(5, 7, false)), drop(3, "left"),
		entry("drains", encodeVersion(5, 3, false)), entry("drains", encodeVersion(5, 4, true)),
		entry("restarted", encodeVersion(9, 1, false)),
	})
	l.TakeChanges(start)
	for id, values := range map[string][][]byte{
		"left":      {encodeVersion(5, 7, false), encodeVersion(5, 1, true), encodeVersion(4, 9, false)},
		"drains":    {encodeVersion(5, 3, false)},
		"restarted": {encodeVersion(8, 50, false)},
	} {
		for _, value := range values {
			g.Expect(l.Outdated(id, value)).To(BeTrue(), "%s %s", id, value)
		}
	}
	for id, value := range map[string][]byte{
		"left": encodeVersion(5, 8, false), "drains": encodeVersion(5, 4, true), "restarted": encodeVersion(10, 0, false),
		"unknown": encodeVersion(1, 1, false), "unreadable": []byte("x"),
	} {
		g.Expect(l.Outdated(id, value)).To(BeFalse(), id)
	}
	l.FromStore(start.Add(departedMemory), []hosting.KeyedRecord{entry("other", encodeVersion(1, 1, false)), drop(9, "other")})
	g.Expect(l.Outdated("left", encodeVersion(5, 7, false))).To(BeFalse(), "versions of servers that left long ago")
	g.Expect(l.Outdated("drains", encodeVersion(5, 3, false))).To(BeTrue())
}

// Guards against live servers that are dropped at once because the store has lost
// their entries in an outage that this daemon did not notice.
func TestEntriesLostWithAHistoryAreKeptBriefly(t *testing.T) {
	g := NewWithT(t)
	l := NewServerList(decodePlain)
	l.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1")})
	l.HistoryLost(start)
	l.FromStore(start, []hosting.KeyedRecord{drop(2, "a")})
	g.Expect(addresses(l, start.Add(RemovalDelay-time.Millisecond))).To(Equal([]string{"a=1"}))
	g.Expect(addresses(l, start.Add(RemovalDelay))).To(BeEmpty())
}

// Guards against a removal that takes effect late although the store is readable.
func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	g := NewWithT(t)
	b := NewServerList(decodePlain)
	b.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1"), drop(1, "a")})
	g.Expect(addresses(b, start)).To(BeEmpty())
}

// Guards against a server that stays in use after a peer has reported its removal,
// because this daemon can't reach the store.
func TestRemovalByPeerIsImmediate(t *testing.T) {
	g := NewWithT(t)
	b := NewServerList(decodePlain)
	b.FromStore(start, []hosting.KeyedRecord{put(0, "a", "1")})
	b.StoreLost()
	b.FromPeer(start, []hosting.KeyedRecord{drop(1, "a")})
	g.Expect(addresses(b, start)).To(BeEmpty())
}
