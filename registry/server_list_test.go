package registry

import (
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
