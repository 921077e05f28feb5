package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
)

// takeUp serves a request that continues a stream after an event.
func (f *fakes) takeUp(route catalog.Route, lastEvent string) {
	logger, err := event.NewLogger(&f.log, "info")
	if err != nil {
		panic(err) // The level is a constant.
	}
	recorder := event.NewRecorder(hlc.New(time.Now), "test", nil, logger)
	defer recorder.Close()
	d := &Dispatcher{Scheduler: f, Backends: f, Budget: f, Quarantine: (*guardFake)(f), Versions: (*pinsFake)(f), Usage: f, Events: recorder, Shutdown: NewShutdown(), Steps: f.steps}
	r := &Request{ID: "r1", Route: &route, Service: &catalog.Service{Name: "s"}, Deadline: time.Now().Add(time.Minute), LastEvent: lastEvent, Resumes: "r0"}
	f.beganAt = map[string]string{"r0": ""}
	d.Serve(context.Background(), r, &f.answer)
}

var unnumbered = Event{Data: []byte("event: error\ndata: out of memory\n\n")}

// badContinuations are the outcomes of an attempt that don't continue a stream after event 2.
func badContinuations() map[string]any {
	out := map[string]any{
		"rejected":       rejected(),
		"unknown":        unknown(),
		"unsent":         unsent(),
		"breaks":         &fakeReply{status: 200, err: broken},
		"empty":          &fakeReply{status: 200},
		"from the start": &fakeReply{status: 200, events: events("1", "2", "3")},
		"repeats one":    &fakeReply{status: 200, events: events("2", "3")},
		"gap":            &fakeReply{status: 200, events: events("4")},
		"error event":    &fakeReply{status: 200, events: []Event{unnumbered}},
		"other content":  &fakeReply{status: 200, body: "{}", header: http.Header{"Content-Type": {"application/json"}}, events: []Event{{ID: "3", Data: []byte("{}\n\n")}}},
	}
	for _, status := range []int{201, 204, 206, 304, 400, 404, 409, 429, 500, 502, 503} {
		out[http.StatusText(status)] = &fakeReply{status: status, body: "error", events: events("3")}
	}
	return out
}

// Guards against anything but the next events in a stream that was begun, and against a
// stream that ends as if it were complete.
func TestStreamGetsNothingButItsContinuation(t *testing.T) {
	for name, second := range badContinuations() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), budget: 5,
				runs: []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}, second}}
			f.serve(draft)
			g.Expect(f.options).To(HaveLen(2))
			g.Expect(f.answer.events).To(Equal([]string{"id: 1\n\n", "id: 2\n\n"}))
			g.Expect(f.answer.status).To(Equal(200))
			g.Expect(f.answer.body).To(BeEmpty())
			g.Expect(f.answer.finished).To(BeFalse())
			g.Expect(f.answer.broken).To(BeTrue())
			g.Expect(f.answer.refused).To(BeNil())
		})
	}
}

// Guards against a stream that is given up although another server can continue it.
func TestStreamGoesOnAfterBadContinuation(t *testing.T) {
	for name, second := range badContinuations() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b", "c"), budget: 5,
				runs: []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}, second, &fakeReply{status: 200, events: events("3", "4")}}}
			route := draft
			route.MaxAttempts = 3
			f.serve(route)
			g.Expect(f.options).To(HaveLen(3))
			g.Expect(f.options[2].After).To(Equal("2"))
			g.Expect(f.answer.events).To(Equal([]string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n", "id: 4\n\n"}))
			g.Expect(f.answer.finished).To(BeTrue())
		})
	}
}

// Guards against a begun stream that is answered or ended like a whole one once no further
// attempt is possible.
func TestBegunStreamWithoutFurtherAttemptIsCut(t *testing.T) {
	for name, f := range map[string]*fakes{
		"no budget": {servers: servers("a", "b")},
		"no server": {servers: servers("a"), budget: 5},
		"no events with IDs": {servers: servers("a", "b"), budget: 5,
			runs: []any{&fakeReply{status: 200, events: []Event{unnumbered}, err: broken}, &fakeReply{status: 200, events: events("1")}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if f.runs == nil {
				f.runs = []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}, &fakeReply{status: 200, events: events("3")}}
			}
			f.serve(draft)
			g.Expect(f.options).To(HaveLen(1))
			g.Expect(f.answer.broken).To(BeTrue())
			g.Expect(f.answer.finished).To(BeFalse())
			g.Expect(f.answer.refused).To(BeNil())
		})
	}
}

// Guards against a stream taken up by a client that doesn't go on at the next event.
func TestTakenUpStreamGoesOnAtTheNextEvent(t *testing.T) {
	for name, reply := range map[string]*fakeReply{
		"empty":          {status: 200},
		"from the start": {status: 200, events: events("1", "2", "3")},
		"gap":            {status: 200, events: events("4")},
		"error event":    {status: 200, events: []Event{unnumbered}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), budget: 5, runs: []any{reply, &fakeReply{status: 200, events: events("3")}}}
			f.takeUp(draft, "2")
			g.Expect(f.answer.events).To(Equal([]string{"id: 3\n\n"}))
			g.Expect(f.answer.finished).To(BeTrue())
		})
	}
	t.Run("error", func(t *testing.T) {
		g := NewWithT(t)
		f := &fakes{servers: servers("a"), runs: []any{&fakeReply{status: 404, body: "unknown"}}}
		f.takeUp(draft, "2")
		g.Expect(f.answer.status).To(Equal(404))
		g.Expect(f.answer.body).To(Equal("unknown"))
	})
}

// Guards against take-ups that all fail at servers whose event IDs increase by more than
// one: a request that takes a stream up has seen no other events.
func TestTakenUpStreamGoesOnWhereNumbersAreLeftOut(t *testing.T) {
	for name, test := range map[string]struct {
		reply *fakeReply
		// known holds steps of other streams of the version.
		known idSteps
		want  []string
	}{
		"every third":                      {reply: &fakeReply{events: events("6", "9", "12")}, want: []string{"6", "9", "12"}},
		"larger ones follow":               {reply: &fakeReply{events: events("5", "9", "10")}, want: []string{"5", "9", "10"}},
		"comments between":                 {reply: &fakeReply{events: []Event{{ID: "6", Data: []byte("id: 6\n\n")}, {Data: []byte(": \n\n")}, {ID: "9", Data: []byte("id: 9\n\n")}}}, want: []string{"6", "", "9"}},
		"known step, one event":            {reply: &fakeReply{events: events("6")}, known: idSteps{count: 1, largest: 3}, want: []string{"6"}},
		"several left out":                 {reply: &fakeReply{events: events("6", "7", "8")}},
		"more left out than usual":         {reply: &fakeReply{events: events("9", "12", "15")}},
		"more than ever, many known":       {reply: &fakeReply{events: events("9", "15", "21")}, known: idSteps{count: enoughSteps, largest: 3}},
		"none left out elsewhere":          {reply: &fakeReply{events: events("6", "9", "12")}, known: idSteps{count: enoughSteps, largest: 1}},
		"one event that explains nothing":  {reply: &fakeReply{events: events("6")}},
		"breaks before it is clear":        {reply: &fakeReply{events: events("6"), err: broken}},
		"an event without a number behind": {reply: &fakeReply{events: append(events("6"), unnumbered)}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			test.reply.status = 200
			f := &fakes{servers: servers("a"), budget: 5, runs: []any{test.reply}, steps: NewEventSteps()}
			f.steps.learn("s", "", test.known)
			f.takeUp(draft, "3")
			var got []string
			for _, data := range f.answer.events {
				id, _ := strings.CutPrefix(strings.TrimSpace(data), "id: ")
				got = append(got, strings.TrimPrefix(id, ":"))
			}
			g.Expect(got).To(Equal(test.want))
			g.Expect(f.answer.finished).To(Equal(test.want != nil))
		})
	}
}

// Guards against a stream of which only one event arrived before it broke, and that can't
// go on in the same answer where numbers are left out.
func TestStreamGoesOnAfterItsFirstEventWhereNumbersAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), budget: 5,
		runs: []any{&fakeReply{status: 200, events: events("3"), err: broken}, &fakeReply{status: 200, events: events("6", "9")}}}
	f.serve(draft)
	g.Expect(f.answer.events).To(Equal([]string{"id: 3\n\n", "id: 6\n\n", "id: 9\n\n"}))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against steps that are not remembered for the version, or are for another one.
func TestStepsAreRememberedByVersion(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200, events: events("3", "6", "8")}}, steps: NewEventSteps()}
	f.serve(draft)
	g.Expect(f.steps.of("s", "")).To(Equal(idSteps{count: 2, largest: 3}))
	g.Expect(f.steps.of("s", "v2").count).To(BeZero())
	for i := range 2 * maxStepVersions {
		f.steps.learn("s", strconv.Itoa(i), idSteps{count: 1, largest: 1})
	}
	g.Expect(len(f.steps.versions)).To(BeNumerically("<=", maxStepVersions))
}

// Guards against a stream that fails since its client named an event on a route whose
// streams can't be continued.
func TestLastEventOfOtherRoutesIsNoDemand(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200, events: events("1", "2")}}}
	f.takeUp(oneShot, "2")
	g.Expect(f.answer.events).To(HaveLen(2))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against an event that a server writes twice.
func TestRepeatedEventIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), budget: 5,
		runs: []any{&fakeReply{status: 200, events: events("1", "2", "2")}, &fakeReply{status: 200, events: events("3")}}}
	f.serve(draft)
	g.Expect(f.answer.events).To(Equal([]string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against streams that are cut although they are sound: with numbers left out by
// their server, IDs that are no numbers, or comments.
func TestSoundStreamsAreContinued(t *testing.T) {
	comment := Event{Data: []byte(": still here\n\n")}
	for name, parts := range map[string][2][]Event{
		"numbers left out": {events("5", "9"), events("14")},
		"no numbers":       {events("a", "b"), events("c")},
		"comments":         {append(events("1"), comment), append([]Event{comment}, events("2")...)},
		"only a comment":   {{comment}, events("1")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), budget: 5,
				runs: []any{&fakeReply{status: 200, events: parts[0], err: broken}, &fakeReply{status: 200, events: parts[1]}}}
			f.serve(draft)
			g.Expect(f.answer.events).To(HaveLen(len(parts[0]) + len(parts[1])))
			g.Expect(f.answer.finished).To(BeTrue())
		})
	}
}
