package replica

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(1, 300)
	os.Exit(m.Run())
}

func put(offset int64, key, value string) hosting.KeyedRecord {
	return hosting.KeyedRecord{Key: key, Value: []byte(value), Offset: offset}
}

func drop(offset int64, key string) hosting.KeyedRecord {
	return hosting.KeyedRecord{Key: key, Offset: offset}
}

func values(r *Replica) map[string]string {
	out := map[string]string{}
	for _, record := range r.Since(0, 0).Records {
		if record.Value != nil {
			out[record.Key] = string(record.Value)
		}
	}
	return out
}

// Guards against an outdated page that reverts the copy, and against a key that
// stays in the copy although its record was deleted and trimmed between two reads.
func TestResetIgnoresOldPagesAndDeletesMissingKeys(t *testing.T) {
	g := NewWithT(t)
	r := New(nil)
	r.Apply([]hosting.KeyedRecord{put(0, "a", "1"), put(1, "b", "2")}, 2)
	changed, _ := r.Reset(hosting.KeyedPage{End: 1, Records: []hosting.KeyedRecord{put(0, "a", "1")}})
	g.Expect(changed).To(BeEmpty())
	g.Expect(values(r)).To(Equal(map[string]string{"a": "1", "b": "2"}))
	changed, _ = r.Reset(hosting.KeyedPage{End: 5, Records: []hosting.KeyedRecord{put(4, "b", "9")}})
	g.Expect(changed).To(HaveLen(2))
	g.Expect(values(r)).To(Equal(map[string]string{"b": "9"}))
}

// Guards against a copy that counts as fresh although it lacks records of the
// topic, and against an older time that replaces a newer one.
func TestRefreshNeedsACompleteCopy(t *testing.T) {
	g := NewWithT(t)
	r := New(nil)
	now := time.Unix(1000, 0)
	r.Apply([]hosting.KeyedRecord{put(0, "a", "1")}, 1)
	r.Refresh(2, now)
	g.Expect(r.Fresh().IsZero()).To(BeTrue())
	r.Refresh(1, now)
	r.Refresh(1, now.Add(-time.Second))
	g.Expect(r.Fresh()).To(Equal(now))
}

// Guards against a copy whose content depends on whether records are delivered
// out of order, more than once, or from the store or a peer. After a restart, a peer
// that is behind must not bring back a server that left or a key that was withdrawn.
func TestAnyDeliveryGivesTheSameCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []hosting.KeyedRecord
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				log = append(log, drop(int64(i), key))
			} else {
				log = append(log, put(int64(i), key, fmt.Sprint(i)))
			}
		}
		want := New(nil)
		want.Apply(log, int64(len(log)))
		got := New(nil)
		deliveries := rapid.IntRange(0, 6).Draw(t, "deliveries")
		// Deliveries after the complete one are late and must change nothing.
		complete := rapid.IntRange(0, deliveries).Draw(t, "complete")
		for i := range deliveries + 1 {
			if i == complete {
				got.Apply(want.Since(0, 0).Records, want.End())
				continue
			}
			from := rapid.IntRange(0, len(log)).Draw(t, "from")
			to := rapid.IntRange(from, len(log)).Draw(t, "to")
			got.Apply(log[from:to], int64(to))
		}
		if !maps.Equal(values(got), values(want)) {
			t.Fatalf("got %v, want %v", values(got), values(want))
		}
	})
}

// Guards against a copy that ignores a new history of the store, whose offsets are
// lower, or that loses records which are newer than those of that history.
func TestNewHistoryReplacesTheCopy(t *testing.T) {
	g := NewWithT(t)
	in := func(offset int64) int64 { return hosting.Position(1, offset) }
	newer := func(record, later hosting.KeyedRecord) bool {
		return record.Key == "kept" && string(record.Value) > string(later.Value)
	}
	r := New(newer)
	r.Apply([]hosting.KeyedRecord{put(0, "kept", "5"), put(1, "gone", "2"), put(2, "old", "3"), put(3, "kept", "8")}, 4)
	changed, kept := r.Reset(hosting.KeyedPage{End: in(2), Records: []hosting.KeyedRecord{put(in(0), "kept", "5"), put(in(1), "old", "3")}})
	g.Expect(changed).To(ConsistOf(put(in(1), "old", "3"), drop(in(1), "gone")))
	g.Expect(kept).To(ConsistOf(put(in(0), "kept", "8")))
	g.Expect(r.End()).To(Equal(in(2)))

	late := New(newer)
	late.Apply([]hosting.KeyedRecord{put(in(0), "kept", "5"), put(in(1), "old", "3")}, in(2))
	g.Expect(late.Apply(r.Since(hosting.NoOffset, hosting.NoOffset).Records, in(2))).To(ConsistOf(put(in(0), "kept", "8"), drop(in(1), "gone")))
	g.Expect(r.Apply([]hosting.KeyedRecord{put(in(0), "kept", "5")}, in(2))).To(BeEmpty())
	g.Expect(values(late)["kept"]).To(Equal("8"))

	g.Expect(r.Apply([]hosting.KeyedRecord{put(in(2), "kept", "6")}, in(3))).To(HaveLen(1), "a record that was written in the new history")
	empty, _ := r.Reset(hosting.KeyedPage{End: hosting.Position(2, 0)})
	g.Expect(empty).To(ConsistOf(drop(hosting.Position(2, 0)-1, "old")))
	g.Expect(r.Apply([]hosting.KeyedRecord{put(hosting.Position(2, 0), "old", "1")}, hosting.Position(2, 1))).To(HaveLen(1))
}

// Guards against a key that stays in the copy because another copy knows an older
// removal of it, but not that it was written and removed again.
func TestOldRemovalDoesNotHideALaterOne(t *testing.T) {
	g := NewWithT(t)
	r := New(nil)
	r.Apply([]hosting.KeyedRecord{drop(0, "a"), put(1, "a", "1")}, 2)
	changed, _ := r.Replace(Section{Records: []hosting.KeyedRecord{drop(0, "a")}, From: hosting.NoOffset, Base: 3, End: 3, Total: 3})
	g.Expect(changed).To(ConsistOf(drop(2, "a")))
	g.Expect(values(r)).To(BeEmpty())
}

// Guards against a copy that counts as fresh although it has only a part of another
// copy, and against a section that leaves records out.
func TestPartOfACopyIsNotFresh(t *testing.T) {
	g := NewWithT(t)
	r := New(nil)
	now := time.Unix(1000, 0)
	g.Expect(r.Fit(Section{From: 3, End: 5, Total: 5})).To(Equal(FitGap))
	r.Continue(Section{Records: []hosting.KeyedRecord{put(1, "a", "1")}, From: hosting.NoOffset, Base: 1, End: 2, Total: 5})
	r.Refresh(2, now)
	g.Expect(r.Fresh().IsZero()).To(BeTrue())
	g.Expect(r.Fit(Section{From: 3, End: 5, Total: 5})).To(Equal(FitGap))
	r.Continue(Section{Records: []hosting.KeyedRecord{put(4, "a", "2")}, From: 2, Base: 1, End: 5, Total: 5})
	r.Refresh(5, now)
	g.Expect(r.Fresh()).To(Equal(now))
}

// topicModel is a topic of the store: all of its records, of which reads of the newest
// ones show no removals.
type topicModel []hosting.KeyedRecord

// at returns the values of the topic when it ended at an offset.
func (m topicModel) at(end int64) map[string]string {
	out := map[string]string{}
	for _, record := range m[:end] {
		delete(out, record.Key)
		if record.Value != nil {
			out[record.Key] = string(record.Value)
		}
	}
	return out
}

func (m topicModel) newest() hosting.KeyedPage {
	page := hosting.KeyedPage{End: int64(len(m))}
	for i, record := range m {
		later := slices.ContainsFunc(m[i+1:], func(r hosting.KeyedRecord) bool { return r.Key == record.Key })
		if record.Value != nil && !later {
			page.Records = append(page.Records, record)
		}
	}
	return page
}

// Guards against copies that miss a removal for good, or claim to be complete without
// it, whatever the order in which daemons start, read the store and pull sections, of
// which some are cut or answer the process before.
func TestCompleteCopiesHoldTheStateOfTheTopic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var topic topicModel
		copies := []*Replica{New(nil), New(nil), New(nil)}
		any := func(name string) int { return rapid.IntRange(0, len(copies)-1).Draw(t, name) }
		var answers []Section
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := copies[any("copy")]
			switch rapid.SampledFrom([]string{"write", "remove", "read", "read anew", "pull", "pull", "late answer", "restart"}).Draw(t, "step") {
			case "write":
				topic = append(topic, put(int64(len(topic)), fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), fmt.Sprint(len(topic))))
			case "remove":
				topic = append(topic, drop(int64(len(topic)), fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))))
			case "read":
				if c.End() != hosting.NoOffset {
					c.Apply(topic[c.End():], int64(len(topic)))
				}
			case "read anew":
				c.Reset(topic.newest())
			case "pull":
				from := copies[any("from")]
				if !from.Complete() || from.End() <= c.End() {
					continue
				}
				s := from.Since(c.End(), c.RemovalsFrom())
				s, _ = s.Cut(rapid.IntRange(1, 20).Draw(t, "bytes"))
				answers = append(answers, s)
				apply(c, s)
			case "late answer":
				if len(answers) > 0 {
					apply(c, rapid.SampledFrom(answers).Draw(t, "answer"))
				}
			case "restart":
				copies[any("restarted")] = New(nil)
			}
			for i, c := range copies {
				if c.Complete() && !maps.Equal(values(c), topic.at(c.End())) {
					t.Fatalf("copy %d holds %v at %d, the topic %v", i, values(c), c.End(), topic.at(c.End()))
				}
			}
		}
	})
}

// apply applies a section like a daemon that receives it.
func apply(r *Replica, s Section) {
	if s.End <= r.End() {
		return
	}
	switch r.Fit(s) {
	case FitContinues:
		r.Continue(s)
	case FitReplaces:
		r.Replace(s)
	case FitGap:
	}
}
