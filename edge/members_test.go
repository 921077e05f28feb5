package edge

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
)

func testMember(incarnation string) memberEntry {
	return memberEntry{Incarnation: incarnation, Addr: "127.0.0.1:1", Certificate: strings.Repeat("ab", 32)}
}

func memberRecord(t *testing.T, vm, incarnation string) hosting.KeyedRecord {
	t.Helper()
	value, err := json.Marshal(testMember(incarnation))
	if err != nil {
		t.Fatal(err)
	}
	return hosting.KeyedRecord{Key: vm, Value: value}
}

// Guards against a daemon that is cut off from all others until it restarts,
// because an entry of its VM's previous process replaced its own: the store carried
// out a write of that process late, or deleted the entry.
func TestReplacedAnnouncementIsWrittenAgain(t *testing.T) {
	for name, late := range map[string]hosting.KeyedRecord{
		"late write of the previous process": memberRecord(t, "vm", "old"),
		"deleted entry":                      {Key: "vm"},
		"unreadable entry":                   {Key: "vm", Value: []byte("{")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				topics := newMemoryTopics()
				put := func(r hosting.KeyedRecord) {
					_, _, err := topics.Put(ctx, hosting.Topic{}, hosting.NoOffset, r)
					g.Expect(err).NotTo(HaveOccurred())
				}
				newest := func() (incarnation string, records int) {
					topics.mu.Lock()
					defer topics.mu.Unlock()
					e, err := decodeMember(topics.records[len(topics.records)-1].Value)
					g.Expect(err).NotTo(HaveOccurred())
					return e.Incarnation, len(topics.records)
				}
				put(memberRecord(t, "vm", "old"))
				events := event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop())
				a := newAnnouncer(topics, hosting.Topic{}, "vm", testMember("new"), events)
				reader := newFollower(topics, hosting.Topic{}, events, func(page hosting.KeyedPage, _ bool) {
					for _, r := range page.Records {
						a.observe(r)
					}
				})
				reader.setEnabled(true)
				done := make(chan struct{}, 2)
				go func() { a.run(ctx); done <- struct{}{} }()
				go func() { reader.run(ctx); done <- struct{}{} }()
				time.Sleep(3 * time.Second)
				_, written := newest()
				g.Expect(written).To(Equal(2), "an older entry needs no second write")
				put(late)
				time.Sleep(2 * announceRetry)
				incarnation, written := newest()
				g.Expect(incarnation).To(Equal("new"))
				put(memberRecord(t, "other", "x"))
				time.Sleep(3 * time.Second)
				_, after := newest()
				g.Expect(after).To(Equal(written+1), "entries of other VMs need no write")
				cancel()
				<-done
				<-done
				events.Close()
			})
		})
	}
}

// Guards against two processes of a VM that replace each other's entry: during a
// planned stop, the entry of the next process stays.
func TestStoppingProcessLeavesTheEntryOfItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newScaleControl(t, 8, 5, 1)
		topics := newMemoryTopics()
		c.announcer = newAnnouncer(topics, hosting.Topic{}, "vm-0", testMember("vm-0.a"), c.events)
		done := make(chan struct{})
		go func() { c.announcer.run(ctx); close(done) }()
		time.Sleep(time.Second)
		c.handle(c.now, stopRequested{})
		c.apply(feedMembers, memberRecord(t, "vm-0", "vm-0.b"))
		time.Sleep(5 * time.Second)
		topics.mu.Lock()
		g.Expect(topics.records).To(HaveLen(1))
		topics.mu.Unlock()
		cancel()
		<-done
	})
}

// Guards against a page in which some entries have fields of a wrong type: the
// others are used, and each bad one is counted.
func TestUnreadableServersAreCounted(t *testing.T) {
	g := NewWithT(t)
	c := newScaleControl(t, 8, 5, 1)
	before := serversUnreadable.Get()
	bad := hosting.KeyedRecord{Key: "i-bad", Value: []byte(`{"ID":"i-bad","Slots":"many"}`)}
	c.apply(feedServers, bad, serverOf(t, 6, 1, false))
	g.Expect(serversUnreadable.Get() - before).To(BeEquivalentTo(1))
	g.Expect(c.servers.Load().server("i-6")).NotTo(BeNil())
	g.Expect(c.servers.Load().server("i-bad")).To(BeNil())
}

// Guards against requests that go by the members of before, because nothing else has
// changed since a daemon joined.
func TestDaemonThatJoinsIsInTheNextView(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 2, 5, 1)
	g.Expect(sc.view.Load().live.Contains("vm-2")).To(BeFalse())
	sc.apply(feedMembers, memberOf(t, 2, "a"))
	g.Expect(sc.view.Load().live.Contains("vm-2")).To(BeTrue())
	g.Expect(sc.view.Load().routable.Contains("vm-2")).To(BeTrue())
}
