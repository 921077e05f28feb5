package versionpin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/hosting"
)

func listing(history int64, versions ...Version) hosting.KeyedPage {
	out := hosting.KeyedPage{End: hosting.Position(history, int64(len(versions)))}
	for i, v := range versions {
		r := versionPut(v, stateServing)
		r.Offset = hosting.Position(history, int64(i))
		out.Records = append(out.Records, r)
	}
	return out
}

// only returns the only version of the service, or nothing if there is none.
func only(v *Versions) string {
	name, ok := v.Only("llm")
	if !ok {
		return ""
	}
	return name
}

func completeIn(page hosting.KeyedPage, history int64) hosting.KeyedPage {
	page.Records = append(page.Records, hosting.KeyedRecord{Key: completeKey, Value: encode(history), Offset: page.End})
	page.End++
	return page
}

// Guards against a version that is taken for the only one in a store that continues from
// a copy without the others.
func TestRestoredTopicProvesNothingUntilItIsComplete(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v1, v2 := Version{"llm", "v1"}, Version{"llm", "v2"}
	v := NewVersions()
	v.Replace(now, completeIn(listing(0, v1), 0), now)
	g.Expect(only(v)).To(Equal("v1"))
	v.SetServing(now, map[Version]bool{v1: true, v2: true}, true)

	now = now.Add(2 * maxCarryAge)
	v.Replace(now, completeIn(listing(1, v1), 0), now)
	g.Expect(only(v)).To(BeEmpty())
	g.Expect(v.Due(now.Add(time.Hour))).To(BeEmpty(), "a version is not confirmed")
	v.SetServing(now, map[Version]bool{v1: true}, true)
	g.Expect(v.Due(now.Add(retireMargin - time.Millisecond))).To(BeEmpty())
	due := v.Due(now.Add(retireMargin))
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].At).To(Equal(v.End()))
	g.Expect(v.Written(now, due[0].Record, due[0].At)).To(BeTrue())
	g.Expect(only(v)).To(Equal("v1"))

	v.Replace(now, listing(2), now)
	_, starts := v.StartsEmpty()
	g.Expect(starts).To(BeFalse(), "the copy is from before the first record")
}

// Guards against a restored list that counts as complete without all versions that the
// lost one had, and against one that is not known to be complete for long.
func TestVersionsAreCarriedOverToARestoredTopic(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v1, v2 := Version{"llm", "v1"}, Version{"llm", "v2"}
	v := NewVersions()
	v.Replace(now, completeIn(listing(1, v1, v2), 1), now)
	v.SetServing(now, map[Version]bool{v1: true}, true)
	v.Replace(now, completeIn(listing(2, v1), 1), now)
	g.Expect(v.Unconfirmed()).To(ConsistOf(v2))
	g.Expect(v.Due(now.Add(carryAfter))).To(BeEmpty())
	v.Lost(now, 3)
	v.Replace(now, completeIn(listing(3), 1), now)
	g.Expect(v.Unconfirmed()).To(ConsistOf(v1, v2))
	for _, version := range v.Unconfirmed() {
		g.Expect(v.Written(now, versionPut(version, stateServing), v.End())).To(BeTrue())
	}
	g.Expect(v.Due(now.Add(carryAfter - 1))).To(BeEmpty())
	due := v.Due(now.Add(carryAfter))
	g.Expect(due).To(ConsistOf(HaveField("Record.Key", completeKey)))
	g.Expect(v.Written(now, due[0].Record, due[0].At)).To(BeTrue())
	g.Expect(only(v)).To(BeEmpty())
	g.Expect(v.Unconfirmed()).To(BeEmpty())
}

// Guards against versions that are removed while a daemon may use them.
func TestVersionIsRemovedInTwoSteps(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v1, v2 := Version{"llm", "v1"}, Version{"llm", "v2"}
	v := NewVersions()
	v.LongestStream = 5 * time.Second
	v.Replace(now, completeIn(listing(0, v1, v2), 0), now)
	v.SetServing(now, map[Version]bool{v2: true}, true)
	retire := now.Add(retireMargin + 2*v.LongestStream)
	g.Expect(v.Due(retire.Add(-time.Millisecond))).To(BeEmpty())
	due := v.Due(retire)
	g.Expect(due).To(ConsistOf(And(HaveField("Version", v1), HaveField("At", v.End()))))
	g.Expect(v.Written(retire, due[0].Record, v.End())).To(BeTrue())
	g.Expect(v.Confirmed(v1)).To(BeFalse())
	g.Expect(only(v)).To(BeEmpty(), "a retiring version is still listed")
	remove := retire.Add(removeAfter)
	g.Expect(v.Due(remove.Add(-time.Millisecond))).To(BeEmpty())
	v.SetServing(remove, map[Version]bool{v2: true}, false)
	g.Expect(v.Due(remove)).To(BeEmpty(), "the list of servers is not fresh")
	v.SetServing(remove, map[Version]bool{v2: true}, true)
	due = v.Due(remove.Add(retireMargin + 2*v.LongestStream))
	g.Expect(due).To(ConsistOf(HaveField("Record.Value", BeNil())))
	g.Expect(v.Written(remove, due[0].Record, v.End())).To(BeTrue())
	g.Expect(only(v)).To(Equal("v2"))
}

// Guards against streams that begin at a version that was removed while the daemon did
// not read the topic.
func TestVersionIsConfirmedAgainAfterReadsHaveFailed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v1, v2 := Version{"llm", "v1"}, Version{"llm", "v2"}
	v := NewVersions()
	v.Replace(now, completeIn(listing(0, v1, v2), 0), now)
	v.SetServing(now, map[Version]bool{v1: true}, true)
	v.SetServing(now.Add(removeAfter), map[Version]bool{v1: true, v2: true}, true)
	g.Expect(v.Confirmed(v1)).To(BeTrue())
	g.Expect(v.Unconfirmed()).To(ConsistOf(v2))
	v.Apply(now, hosting.KeyedPage{End: v.End()})
	g.Expect(v.Unconfirmed()).To(BeEmpty())
}

// Guards against a stream ID under which streams of two versions began, on one daemon or
// on two, that a look-up gives one of them for.
func TestAmbiguousStreamIsUnknown(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	one, other := NewStreams(), NewStreams()
	one.Pin(now, "llm", "a", "v1")
	one.Pin(now, "llm", "a", "v2")
	one.Pin(now, "llm", "b", "v1")
	batch, taken := one.Batch(now, func(string) bool { return true })
	g.Expect(taken).To(HaveLen(3))
	other.Pin(now, "llm", "b", "v2")
	for _, group := range batch.Groups {
		for _, request := range group.Requests {
			other.Read(now, group.Service, request, group.Version)
		}
	}
	for request, s := range map[string]*Streams{"a": one, "b": other} {
		_, known, err := s.Lookup("llm", request)
		g.Expect(known).To(BeTrue())
		g.Expect(err).To(MatchError(errAmbiguous))
	}
	_, known, err := other.Lookup("llm", "a")
	g.Expect(known).To(BeTrue())
	g.Expect(err).To(MatchError(errAmbiguous))
}

// Guards against streams that are forgotten while they run, and against memory that grows
// without bound.
func TestRunningStreamsAreRecordedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := NewStreams()
	s.LongestStream = time.Minute
	all := func(string) bool { return true }
	s.Pin(now, "llm", "a", "v1")
	_, taken := s.Batch(now, all)
	s.NotRecorded(taken)
	_, taken = s.Batch(now, all)
	g.Expect(taken).To(HaveLen(1))
	s.Recorded(now, taken)
	_, taken = s.Batch(now.Add(recordAgainAfter-1), all)
	g.Expect(taken).To(BeEmpty())
	_, taken = s.Batch(now.Add(recordAgainAfter), all)
	g.Expect(taken).To(HaveLen(1))
	s.Recorded(now.Add(time.Minute), taken)
	_, taken = s.Batch(now.Add(time.Minute+recordAgainAfter), all)
	g.Expect(taken).To(BeEmpty())
	for i := range 2 * maxStreams {
		s.Pin(now, "llm", fmt.Sprint(i), "v1")
	}
	g.Expect(len(s.byKey)).To(BeNumerically("<=", maxStreams))
	g.Expect(len(s.order)).To(BeNumerically("<=", maxStreams))
}

// Guards against a look-up that rests on a read from before the client took the stream
// up, and on a poll that is late.
func TestLookupReadsAfterTheTakeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t, 1)
		defer s.stop()
		began, late := s.daemons[0], s.daemons[1]
		s.store.set(func() { s.store.latePolls = "vm-1" })
		g.Expect(began.Confirm(context.Background(), simService, "v2")).To(Succeed())
		began.Pin(simService, "stream", "v2")
		_, err := late.Lookup(context.Background(), simService, "unknown")
		g.Expect(err).To(HaveOccurred())
		g.Expect(late.Lookup(context.Background(), simService, "stream")).To(Equal("v2"))
	})
}

// Guards against callers that share a read that began before their call.
func TestSharedReadBeginsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reads, began := 0, make(chan time.Time, 10)
		s := &sharedRead{spacing: func() time.Duration { return 20 * time.Millisecond }, read: func(context.Context) error {
			began <- time.Now()
			reads++
			time.Sleep(100 * time.Millisecond)
			return nil
		}}
		ctx := context.Background()
		go func() { _ = s.do(ctx, ctx) }()
		time.Sleep(time.Millisecond)
		<-began
		called := time.Now()
		for range 5 {
			go func() { _ = s.do(ctx, ctx) }()
		}
		g.Expect(s.do(ctx, ctx)).To(Succeed())
		g.Expect(<-began).To(BeTemporally(">=", called))
		g.Expect(reads).To(Equal(2))
		synctest.Wait()
	})
}

// Guards against a version that is guessed for a stream that began elsewhere.
func TestOnlyRecordedStreamsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t, 1)
		defer s.stop()
		s.release()
		time.Sleep(2 * simLag)
		d := s.daemons[0]
		d.Pin(simService, "r1", "v1")
		g.Expect(d.Lookup(t.Context(), simService, "r1")).To(Equal("v1"))
		for _, request := range []string{"r2", ""} {
			_, err := d.Lookup(t.Context(), simService, request)
			g.Expect(err).To(HaveOccurred())
		}
		_, err := d.Lookup(t.Context(), "other", "r1")
		g.Expect(err).To(HaveOccurred())
		g.Expect(s.daemons[1].Lookup(t.Context(), simService, "r1")).To(Equal("v1"))
	})
}

// Guards against a daemon that begins no stream while the store turns it away, although
// its peers know the versions.
func TestListOfPeersConfirmsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t, 1)
		defer s.stop()
		s.store.set(func() { s.store.cut["vm-0"] = true })
		s.kill(0)
		s.start(0)
		d := s.daemons[0]
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(d.Confirm(ctx, simService, "v1")).NotTo(Succeed())
		d.SetVersions(listing(1, Version{simService, "v1"}), time.Now())
		g.Expect(d.Confirm(t.Context(), simService, "v1")).To(Succeed())
	})
}
