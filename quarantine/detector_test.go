package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func suspects(parts ...string) []Suspect {
	var out []Suspect
	for depth, part := range parts {
		out = append(out, Suspect{Part: part, Depth: depth})
	}
	return out
}

// crashSeries records crashes 100 ms apart, each of another server.
func crashSeries(d *Detector, n int, parts ...string) {
	for i := range n {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: suspects(parts...)})
	}
}

// Guards against the wrong part in quarantine: what the requests share with sound
// ones, and what ran beside them, must not be accused.
func TestCauseIsCulpritAndNotWhatRanBeside(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	for i := range 3 {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: suspects("popular", "bad")})
		d.Crashed(at(100*i+5), Crash{Server: fmt.Sprint("s", i), Suspects: suspects("popular", fmt.Sprint("beside", i))})
	}
	g.Expect(d.Suspected(at(300))).To(Equal([]string{"bad", "popular"}))
	d.Served("popular", at(150))
	part, ok := d.Culprit(at(300))
	g.Expect(ok).To(BeTrue())
	g.Expect(part).To(Equal("bad"))
	d.Explained("bad")
	_, ok = d.Culprit(at(300))
	g.Expect(ok).To(BeFalse())
}

// Guards against an accused first part, which most requests share, if nobody knows
// when it was last served.
func TestDeepestOfEqualPartsIsCulprit(t *testing.T) {
	d := NewDetector(3, 0)
	crashSeries(d, 3, "first", "second")
	part, _ := d.Culprit(at(300))
	NewWithT(t).Expect(part).To(Equal("second"))
}

// Guards against parts that are accused because many servers were evicted or lost
// power at the same moment.
func TestCrashesAtTheSameMomentCountOnce(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	for i := range 9 {
		d.Crashed(at(4*i), Crash{Server: fmt.Sprint("s", i), Suspects: suspects("new")})
	}
	g.Expect(d.Suspected(at(100))).To(BeEmpty())
}

// Guards against parts that are accused while they are served: only crashes after
// the last answer count, and more of them are needed.
func TestServedPartNeedsMoreCrashes(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	crashSeries(d, 8, "popular")
	d.Served("popular", at(-1000))
	g.Expect(d.Suspected(at(900))).To(BeEmpty())
	d.Crashed(at(900), Crash{Server: "last", Suspects: suspects("popular")})
	g.Expect(d.Suspected(at(1000))).To(Equal([]string{"popular"}))
	d.Served("popular", at(950))
	g.Expect(d.Suspected(at(1000))).To(BeEmpty())
}

// Guards against a report on a crash that is explained already, which accuses the
// parts beside the cause.
func TestLateReportsOnExplainedCrashesAccuseNoOther(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	crashSeries(d, 3, "bad")
	d.Explained("bad")
	crashSeries(d, 3, "beside")
	g.Expect(d.Suspected(at(400))).To(BeEmpty())
}

// Guards against a part that crashes several servers again each time its quarantine
// ends.
func TestSingleCrashSufficesAfterAQuarantine(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	d.Quarantined("bad")
	crashSeries(d, 1, "popular", "bad")
	part, _ := d.Culprit(at(100))
	g.Expect(part).To(Equal("bad"))
	d.Forget("bad")
	g.Expect(d.Suspected(at(100))).To(BeEmpty())
}

// Guards against crashes that count for ever, and against unbounded memory.
func TestCrashesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	crashSeries(d, 3, "bad")
	g.Expect(d.Suspected(at(0).Add(CrashMemory + time.Second))).To(BeEmpty())
	crashSeries(d, 2*maxCrashes, "x")
	g.Expect(d.log).To(HaveLen(maxCrashes))
	var many []string
	for i := range 2 * maxSuspects {
		many = append(many, fmt.Sprint("p", i))
	}
	d.Crashed(at(1e6), Crash{Server: "many", Suspects: suspects(many...)})
	g.Expect(d.log[len(d.log)-1].parts).To(HaveLen(maxSuspects))
}

// Guards against quarantine for no crash: 0 crashes turn it off.
func TestZeroCrashesAccuseNothing(t *testing.T) {
	d := NewDetector(0, 0)
	d.Quarantined("bad")
	crashSeries(d, 9, "bad")
	NewWithT(t).Expect(d.Suspected(at(900))).To(BeEmpty())
}

// Guards against any order of crashes, answers and inquiries that accuses a sound
// part or never the cause. Servers crash exactly when a request with the cause runs,
// and other requests run beside it; all that end are answered.
func TestOnlyTheCauseIsCulprit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDetector(3, 0)
		part := rapid.IntRange(0, 7)
		depth := rapid.IntRange(0, 1).Draw(t, "depth of the cause")
		served := map[string]time.Time{}
		prompt := func(bad bool) []Suspect {
			parts := []string{fmt.Sprint("first", part.Draw(t, "first")%3), fmt.Sprint("second", part.Draw(t, "second"))}
			if bad {
				parts[depth] = "bad"
			}
			return suspects(parts...)
		}
		for i := range 3 {
			for _, p := range []string{"first", "second"} {
				for j := range 8 {
					served[fmt.Sprint(p, j)] = at(100*i - 1)
				}
			}
			d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: prompt(true)})
			for range rapid.IntRange(0, 6).Draw(t, "beside") {
				d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: prompt(false)})
			}
		}
		for _, p := range d.Suspected(at(300)) {
			if when, ok := served[p]; ok {
				d.Served(p, when)
			}
		}
		if got, _ := d.Culprit(at(300)); got != "bad" {
			t.Fatalf("accused %q", got)
		}
		d.Explained("bad")
		if got, ok := d.Culprit(at(300)); ok {
			t.Fatalf("accused %q besides", got)
		}
	})
}

// Guards against served parts that are forgotten early or kept for ever.
func TestServedPartsAreRememberedForAWhile(t *testing.T) {
	g := NewWithT(t)
	s := NewServed()
	s.Add(at(0), "a")
	s.Add(at(1000), "b")
	g.Expect(s.Last(at(0).Add(servedMemory), "b")).To(Equal(at(1000)))
	g.Expect(s.Last(at(0).Add(3*servedMemory), "b")).To(BeZero())
	for i := range 3 * maxServed {
		s.Add(at(0).Add(4*servedMemory), fmt.Sprint(i))
	}
	g.Expect(len(s.current) + len(s.previous)).To(BeNumerically("<=", 2*maxServed))
}

// Guards against quarantines that a later record shortens, a wrong clock extends, or
// an unreadable record ends.
func TestListKeepsTheLaterEnd(t *testing.T) {
	g := NewWithT(t)
	var l *List
	l, changed := l.With(start, "a", Entry{UntilMs: start.Add(time.Minute).UnixMilli()})
	g.Expect(changed).To(BeTrue())
	l, changed = l.With(start, "a", Entry{UntilMs: start.Add(time.Second).UnixMilli()})
	g.Expect(changed).To(BeFalse())
	l, changed = l.With(start, "a", Entry{UntilMs: start.Add(61 * time.Second).UnixMilli()})
	g.Expect(changed).To(BeFalse())
	g.Expect(l.Left(start, "a")).To(Equal(time.Minute))
	extended, changed := l.With(start, "a", Entry{UntilMs: start.Add(2 * time.Minute).UnixMilli()})
	g.Expect(changed).To(BeTrue())
	g.Expect(extended.Left(start, "a")).To(Equal(2 * time.Minute))
	g.Expect(l.Left(start, "b")).To(BeZero())
	l, _ = l.With(start, "b", Entry{UntilMs: start.Add(1000 * time.Hour).UnixMilli()})
	g.Expect(l.Left(start, "b")).To(Equal(maxUntil))
	g.Expect(l.Active(start.Add(time.Hour))).To(Equal(1))
	g.Expect(l.Outdated(start.Add(repeatMemory + time.Hour))).To(Equal([]string{"a"}))
	g.Expect(l.Without("a").Len()).To(Equal(1))
	_, err := DecodeEntry([]byte("{"))
	g.Expect(err).To(HaveOccurred())
	for i := range 2 * maxEntries {
		l, _ = l.With(start, fmt.Sprint(i), Entry{UntilMs: start.Add(time.Minute).UnixMilli()})
	}
	g.Expect(l.Len()).To(Equal(maxEntries))
	e, err := DecodeEntry(Entry{UntilMs: 5, FoundBy: "vm-1"}.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e).To(Equal(Entry{UntilMs: 5, FoundBy: "vm-1"}))
}

// Guards against a part of long answers that is accused because its servers happened
// to crash: what was being answered is less suspect than what was not.
func TestFlowingAnswersAccuseLess(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(3, 0)
	for i := range 12 {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: []Suspect{{Part: "long", Flowing: true}}})
		if i == 2 {
			g.Expect(d.Suspected(at(300))).To(BeEmpty())
		}
	}
	g.Expect(d.Suspected(at(1200))).To(Equal([]string{"long"}))
	for i := range 3 {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: []Suspect{{Part: "mixed", Flowing: true}, {Part: "mixed"}}})
	}
	g.Expect(d.Suspected(at(1200))).To(ContainElement("mixed"))
}

func request(key string, depth int) Suspect { return Suspect{Part: key, Depth: depth, Request: true} }

// Guards against a request that needs as many crashes as a part of a prompt, which many
// requests share, and against its attempts that count once because the next server
// ends at once.
func TestWholeRequestNeedsItsOwnNumberOfCrashes(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(9, 3)
	for i := range 3 {
		_, ok := d.Culprit(at(10 * i))
		g.Expect(ok).To(BeFalse())
		d.Crashed(at(10*i), Crash{Server: fmt.Sprint("s", i), Suspects: []Suspect{request("r", 0), request(fmt.Sprint("beside", i), 0)}})
	}
	key, ok := d.Culprit(at(100))
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal("r"))
	d.Explained("r")
	_, ok = d.Culprit(at(100))
	g.Expect(ok).To(BeFalse())
	g.Expect(NewDetector(9, 0).Suspected(at(100))).To(BeEmpty())
}

// Guards against a sound request that clients repeat often, and that is refused because
// it was on servers that crashed.
func TestServedRequestNeedsMoreCrashes(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(9, 3)
	for i := range 8 {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: []Suspect{request("often", 0)}})
		d.Served("often", at(-50))
	}
	g.Expect(d.Suspected(at(900))).To(BeEmpty(), "served shortly before")
	d.Served("often", at(750))
	d.Crashed(at(1000), Crash{Server: "s9", Suspects: []Suspect{request("often", 0)}})
	g.Expect(d.Suspected(at(1100))).To(BeEmpty(), "served meanwhile")
}

// Guards against a part that crashes servers and is not found because requests with it
// were found before.
func TestPartRemainsSuspectBesideItsRequests(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector(4, 3)
	crashed := func(i int, key string) {
		d.Crashed(at(100*i), Crash{Server: fmt.Sprint("s", i), Suspects: append(suspects("bad"), request(key, 1))})
	}
	for i := range 3 {
		crashed(i, "r")
	}
	key, _ := d.Culprit(at(300))
	g.Expect(key).To(Equal("r"))
	d.Explained("r")
	crashed(3, "other")
	key, ok := d.Culprit(at(400))
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal("bad"))
	d.Explained("bad")
	g.Expect(d.Suspected(at(400))).To(BeEmpty())
}
