package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/registry"
)

// versioned returns servers from "ID=VERSION".
func versioned(servers ...string) []*registry.Server {
	var out []*registry.Server
	for _, s := range servers {
		id, version, _ := strings.Cut(s, "=")
		out = append(out, &registry.Server{ID: id, SoftwareVersion: version})
	}
	return out
}

func streamOf(ids ...string) *fakeReply { return &fakeReply{status: 200, events: events(ids...)} }

func brokenAfter(ids ...string) *fakeReply {
	return &fakeReply{status: 200, events: events(ids...), err: broken}
}

// Guards against a stream whose events come from servers of two software versions.
func TestBrokenStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2", "c=v1"), byVersion: true, budget: 5,
		runs: []any{brokenAfter("1", "2"), streamOf("3")}}
	f.serve(draft)
	g.Expect(f.ranAt).To(Equal([]string{"a", "c"}))
	g.Expect(f.placements[0].Version).To(BeEmpty())
	g.Expect(f.placements[1].Version).To(Equal("v1"))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against a stream that is bound to the version of a server that sent no event.
func TestAttemptWithoutEventBindsNoVersion(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2"), byVersion: true, budget: 5,
		runs: []any{brokenAfter(), streamOf("1")}}
	f.serve(draft)
	g.Expect(f.ranAt).To(Equal([]string{"a", "b"}))
	g.Expect(f.pinned).To(Equal([]string{"r1=v2"}))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against a stream that a client takes up, at any daemon, and that goes on at
// another version than the one that began it.
func TestTakenUpStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2", "c=v1"), byVersion: true, budget: 5,
		lastEvent: "2", resumes: "first", beganAt: map[string]string{"first": "v2"},
		runs: []any{streamOf("3")}}
	f.serve(draft)
	g.Expect(f.lookedUp).To(Equal([]string{"first"}))
	g.Expect(f.ranAt).To(Equal([]string{"b"}))
	g.Expect(f.options[0].After).To(Equal("2"))
	g.Expect(f.pinned).NotTo(ContainElement(HavePrefix("r1=")))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against a taken-up stream that goes on at a guessed version, and against a
// refusal that leaves the client in doubt whether it ran.
func TestTakenUpStreamOfUnknownVersionIsRefusedAsNotRun(t *testing.T) {
	for _, resumes := range []string{"first", ""} {
		g := NewWithT(t)
		f := &fakes{servers: versioned("a=v1"), lastEvent: "2", resumes: resumes, runs: []any{streamOf("3")}}
		f.serve(draft)
		g.Expect(f.ranAt).To(BeEmpty())
		g.Expect(f.placements).To(BeEmpty())
		g.Expect(f.answer.refused).NotTo(BeNil())
		g.Expect(f.answer.refused.Run).To(Equal(backend.RunNever))
		g.Expect(f.answer.refused.Reason).To(Equal("version_unknown"))
		g.Expect(f.answer.refused.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	}
}

// Guards against a stream whose version is recorded only after the client may have lost
// its connection and taken the stream up elsewhere.
func TestVersionIsPinnedBeforeTheFirstEvent(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1"), runs: []any{streamOf("1", "2")}}
	f.serve(draft)
	g.Expect(f.pinned).To(Equal([]string{"r1=v1"}))
	g.Expect(f.startedBefore).To(BeFalse())
}

// Guards against a scheduler with an older list of servers, or of an older build, that
// places a started stream on another version.
func TestPlacementOnAnotherVersionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2", "c=v1"), prefillOn: versioned("p=v2", "o=v1", "q=v2"), budget: 5,
		lastEvent: "2", resumes: "first", beganAt: map[string]string{"first": "v1"},
		runs: []any{streamOf("3")}}
	f.servers = append(f.servers, f.servers[0])
	f.serve(draft)
	g.Expect(f.ranAt).To(Equal([]string{"a"}))
	g.Expect(f.placements).To(HaveLen(4))
	g.Expect(f.placements[3].Avoid).To(Equal([]string{"p", "b", "q"}))
	g.Expect(f.results).To(HaveLen(4))
	g.Expect(f.answer.finished).To(BeTrue())
	g.Expect(f.taken).To(BeZero())
}

// Guards against a stream that begins at a version of which a restarted daemon can't
// learn.
func TestStreamBeginsOnlyAtAConfirmedVersion(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2"), unconfirmed: map[string]bool{"v1": true}, runs: []any{streamOf("1")}}
	f.serve(draft)
	g.Expect(f.ranAt).To(Equal([]string{"b"}))
	g.Expect(f.placements[1].Avoid).To(Equal([]string{"a"}))

	f = &fakes{servers: versioned("a=v1", "b=v1"), unconfirmed: map[string]bool{"v1": true}}
	f.serve(draft)
	g.Expect(f.confirmed).To(Equal([]string{"v1"}), "waits once")
	g.Expect(f.ranAt).To(BeEmpty())
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunNever))
}

// Guards against requests that wait for a version although they can't be taken up.
func TestRequestThatCannotBeResumedIsServedAtAnyVersion(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1"), lastEvent: "2", resumes: "first", runs: []any{streamOf("1")}}
	f.serve(oneShot)
	g.Expect(f.lookedUp).To(BeEmpty())
	g.Expect(f.confirmed).To(BeEmpty())
	g.Expect(f.pinned).To(BeEmpty())
	g.Expect(f.answer.finished).To(BeTrue())

	f = &fakes{servers: versioned("a=v1"), lastEvent: "2", runs: []any{&fakeReply{status: 200, body: "ok"}}}
	f.serve(lookup)
	g.Expect(f.lookedUp).To(BeEmpty())
	g.Expect(f.answer.body).To(Equal("ok"))
}

// Guards against a log that doesn't tell at which version a stream began, went on or was
// refused.
func TestVersionsOfAStreamAreLogged(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("a=v1", "b=v2", "c=v1"), byVersion: true, budget: 5,
		runs: []any{brokenAfter("1"), brokenAfter("2"), streamOf("3")}}
	f.serve(draft)
	fields := func(names ...string) (out []string) {
		for _, e := range f.logEvents(g) {
			line := e.What
			for _, name := range names {
				line += " " + e.Field(name)
			}
			out = append(out, line)
		}
		return out
	}
	g.Expect(fields("version", "required")).To(Equal([]string{"placed v1 ", "retried v1 v1", "placed v1 v1", "failed v1 v1"}))

	f = &fakes{lastEvent: "2", resumes: "first"}
	f.serve(draft)
	g.Expect(fields("reason", "resumes", "lookup")).To(Equal([]string{"failed version_unknown first not known"}))
	f = &fakes{lastEvent: "2", resumes: "first", beganAt: map[string]string{"first": "v3"}}
	f.serve(draft)
	g.Expect(fields("required", "resumes")).To(Equal([]string{"failed v3 first"}))
}

// Guards against take-ups that are counted twice or not at all.
func TestTakeUpsAreCountedByResult(t *testing.T) {
	g := NewWithT(t)
	known := map[string]string{"first": "v1"}
	for want, f := range map[string]*fakes{
		takeUpWentOn:  {servers: versioned("a=v1", "b=v1"), budget: 5, beganAt: known, runs: []any{brokenAfter("3"), streamOf("4")}},
		takeUpUnknown: {servers: versioned("a=v1")},
		takeUpFailed:  {servers: versioned("a=v1"), beganAt: known, runs: []any{brokenAfter()}},
	} {
		f.lastEvent, f.resumes = "2", "first"
		before := takeUps(want)
		f.serve(draft)
		g.Expect(takeUps(want)).To(Equal(before+1), want)
	}
	g.Expect(takeUpResult(&Failure{Reason: ReasonNoVersion})).To(Equal(takeUpNoVersion))
}

func takeUps(result string) uint64 {
	return metrics.GetOrCreateCounter(`mimosakeel_dispatch_take_ups_total{result="` + result + `"}`).Get()
}

// Guards against an import of KV cache that another version wrote, which a scheduler of
// an older build may ask for, and against a server that counts as failed although it was
// not asked.
func TestUnfitServersAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: versioned("b=v2", "a=v1"), fetch: versioned("c=v2")[0], lastEvent: "2", resumes: "first",
		beganAt: map[string]string{"first": "v1"}, runs: []any{streamOf("3")}}
	f.serve(draft)
	g.Expect(f.ranAt).To(Equal([]string{"a"}))
	g.Expect(f.options[0].Fetch).To(BeNil())
	g.Expect(f.results[0].Failed).To(BeNil())
}
