package versionpin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func always(string) bool { return true }

func recordedIDs(s *Streams, now time.Time) (out []string) {
	batch, _ := s.Batch(now, always)
	for _, group := range batch.Groups {
		out = append(out, group.Requests...)
	}
	return out
}

// Guards against streams of a frozen daemon that nobody records, and against records that
// each stream brings more than once.
func TestHeldStreamsAreRecordedUnlessTheirDaemonDoes(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1000, 0)
	s := NewStreams()
	s.Hold(begin, "llm", "a", "v1")
	s.Hold(begin, "llm", "b", "v1")
	s.Release(begin.Add(100*time.Millisecond), "llm", "b")
	g.Expect(recordedIDs(s, begin.Add(recordCopiesAfter/2))).To(BeEmpty())
	g.Expect(recordedIDs(s, begin.Add(recordCopiesAfter))).To(Equal([]string{"a"}))
	g.Expect(recordedIDs(s, begin.Add(2*recordCopiesAfter))).To(BeEmpty())
	version, known, err := s.Lookup("llm", "b")
	g.Expect([]any{version, known, err}).To(Equal([]any{"v1", true, nil}))
}

// Guards against copies that are kept for good while one version serves.
func TestHeldStreamsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1000, 0)
	s := NewStreams()
	s.Hold(begin, "llm", "a", "v1")
	never := func(string) bool { return false }
	s.Batch(begin.Add(time.Second), never)
	g.Expect(s.held["llm"]).To(HaveLen(1))
	s.Batch(begin.Add(s.remembered()+time.Second), never)
	g.Expect(s.held["llm"]).To(BeEmpty())
}

// Guards against a stream that counts as one of two versions because a copy says so.
func TestCopyOfAnotherVersionMakesAStreamAmbiguous(t *testing.T) {
	s := NewStreams()
	s.Pin(time.Unix(1000, 0), "llm", "a", "v1")
	s.Hold(time.Unix(1000, 0), "llm", "a", "v2")
	if _, known, err := s.Lookup("llm", "a"); !known || err == nil {
		t.Fatalf("known %t, %v", known, err)
	}
}
