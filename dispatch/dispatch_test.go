package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/registry"
)

// fakes implements the scheduler, backends, retry budget, usage and client of one
// request.
type fakes struct {
	// prefillOn and servers are the servers of the placements in order.
	prefillOn []*registry.Server
	servers   []*registry.Server
	// prefills and runs are the outcomes of the calls in order.
	prefills []*AttemptError
	runs     []any // *AttemptError or *fakeReply
	steps    *EventSteps
	unusable map[string]bool
	budget   int

	placements []PlacementRequest
	results    []Result
	options    []RunOptions
	ranAt      []string
	released   []string
	charged    int
	taken      int
	began      []string
	answer     fakeAnswer
	log        bytes.Buffer

	// quarantinedAfter is the number of calls of Left after which part "bad" is
	// quarantined; -1 means never.
	quarantinedAfter int
	left             int
	served           int
	// byVersion makes Place skip the servers of versions that were not asked for.
	byVersion bool
	skipped   int
	fetch     *registry.Server
	// lastEvent and resumes belong to the request.
	lastEvent, resumes string
	// beganAt holds the versions at which streams began, by request, and unconfirmed
	// those that Confirm rejects. pinned and startedBefore tell what Pin got, and
	// whether the answer had already been started.
	beganAt       map[string]string
	unconfirmed   map[string]bool
	confirmed     []string
	pinned        []string
	startedBefore bool
	lookedUp      []string

	lost        []string
	lostPrefill []bool
	flowed      []bool
}

// pinsFake implements VersionPins.
type pinsFake fakes

func (f *pinsFake) Confirm(_ context.Context, _, version string) error {
	f.confirmed = append(f.confirmed, version)
	if f.unconfirmed[version] {
		return errors.New("not confirmed")
	}
	return nil
}

func (f *pinsFake) Pin(_, request, version string) {
	f.pinned = append(f.pinned, request+"="+version)
	f.startedBefore = f.startedBefore || f.answer.status != 0
}

func (f *pinsFake) Lookup(_ context.Context, _, request string) (string, error) {
	f.lookedUp = append(f.lookedUp, request)
	version, ok := f.beganAt[request]
	if !ok {
		return "", errors.New("not known")
	}
	return version, nil
}

// guardFake implements Quarantine.
type guardFake fakes

func (f *guardFake) Left(c Content) (time.Duration, string) {
	f.left++
	for _, part := range c.Parts {
		if part.ID == "bad" && f.left > f.quarantinedAfter {
			return time.Minute, part.ID
		}
	}
	return 0, ""
}

func (f *guardFake) Served(Content) { f.served++ }

func (f *guardFake) Lost(s *registry.Server, _ Content, p Progress) {
	f.lost = append(f.lost, s.ID)
	f.flowed = append(f.flowed, p.Flowed > 0)
	f.lostPrefill = append(f.lostPrefill, p.Prefill)
}

type fakeAnswer struct {
	status   int
	body     string
	events   []string
	finished bool
	broken   bool
	refused  *Failure
}

func (a *fakeAnswer) Whole(status int, _ http.Header, body []byte) error {
	a.status, a.body = status, string(body)
	return nil
}

func (a *fakeAnswer) Start(status int, _ http.Header) error { a.status = status; return nil }

func (a *fakeAnswer) Event(data []byte) error {
	a.events = append(a.events, string(data))
	return nil
}

func (a *fakeAnswer) Finish() error     { a.finished = true; return nil }
func (a *fakeAnswer) Refuse(f *Failure) { a.refused = f }
func (a *fakeAnswer) Abort()            { a.broken = true }

type fakeReply struct {
	status int
	header http.Header
	body   string
	events []Event
	// err is returned after the last event; nil means a clean end.
	err    error
	closed bool
}

func (r *fakeReply) Status() int           { return r.status }
func (r *fakeReply) Header() http.Header   { return r.header }
func (r *fakeReply) Body() ([]byte, error) { return []byte(r.body), r.err }
func (r *fakeReply) Close()                { r.closed = true }

func (r *fakeReply) Next() (Event, error) {
	if len(r.events) == 0 {
		if r.err != nil {
			return Event{}, r.err
		}
		return Event{}, io.EOF
	}
	ev := r.events[0]
	r.events = r.events[1:]
	return ev, nil
}

func (f *fakes) Place(_ context.Context, r PlacementRequest) (*Placement, error) {
	f.placements = append(f.placements, r)
	at := len(f.placements) - 1 + f.skipped
	for f.byVersion && r.Version != "" && at < len(f.servers) && f.servers[at].SoftwareVersion != r.Version {
		f.skipped++
		at++
	}
	if at >= len(f.servers) {
		return nil, &Failure{Run: backend.RunNever, Reason: "no_server", RetryAfter: time.Second}
	}
	p := &Placement{Server: f.servers[at], Fetch: f.fetch}
	if at < len(f.prefillOn) && !r.Whole {
		p.Prefill = f.prefillOn[at]
	}
	return p, nil
}

func (f *fakes) Usable(s *registry.Server) bool { return !f.unusable[s.ID] }
func (f *fakes) Prefilled(*Placement)           {}
func (f *fakes) Started(*Placement)             {}
func (f *fakes) Done(_ *Placement, r Result)    { f.results = append(f.results, r) }
func (f *fakes) Arrived(string)                 {}
func (f *fakes) Has(string) bool                { return f.budget > 0 }
func (f *fakes) Charge(string)                  { f.charged++ }
func (f *fakes) State(string) (int, float64)    { return f.taken, float64(f.taken + f.budget) }
func (f *fakes) RequestStarted(customer string) { f.began = append(f.began, customer) }
func (f *fakes) Release(h Handle)               { f.released = append(f.released, h.ID) }

func (f *fakes) Take(string) bool {
	if f.budget == 0 {
		return false
	}
	f.budget--
	f.taken++
	return true
}

func (f *fakes) Prefill(_ context.Context, s *registry.Server, _ *Request, _ RunOptions) (Handle, *AttemptError) {
	var out *AttemptError
	if len(f.prefills) > 0 {
		out, f.prefills = f.prefills[0], f.prefills[1:]
	}
	if out != nil {
		return Handle{}, out
	}
	return Handle{Server: s, ID: "h-" + s.ID}, nil
}

func (f *fakes) Run(_ context.Context, s *registry.Server, _ *Request, o RunOptions) (Reply, *AttemptError) {
	f.options = append(f.options, o)
	f.ranAt = append(f.ranAt, s.ID)
	out := f.runs[0]
	f.runs = f.runs[1:]
	if failed, ok := out.(*AttemptError); ok {
		return nil, failed
	}
	return out.(*fakeReply), nil
}

func (f *fakes) serve(route catalog.Route) { f.servePrompt(route, nil) }

func (f *fakes) servePrompt(route catalog.Route, prompt *Prompt) {
	logger, err := event.NewLogger(&f.log, "info")
	if err != nil {
		panic(err) // The level is a constant.
	}
	events := event.NewRecorder(hlc.New(time.Now), "test", nil, logger)
	defer events.Close()
	d := &Dispatcher{Scheduler: f, Backends: f, Budget: f, Quarantine: (*guardFake)(f), Versions: (*pinsFake)(f), Usage: f, Events: events, Shutdown: NewShutdown(), Steps: f.steps}
	r := &Request{
		ID: "r1", Customer: "acme", Route: &route, Service: &catalog.Service{Name: "s"},
		Prompt: prompt, Deadline: time.Now().Add(time.Minute),
		LastEvent: f.lastEvent, Resumes: f.resumes,
	}
	d.Serve(context.Background(), r, &f.answer)
}

func servers(ids ...string) []*registry.Server {
	var out []*registry.Server
	for _, id := range ids {
		out = append(out, &registry.Server{ID: id})
	}
	return out
}

func events(ids ...string) []Event {
	var out []Event
	for _, id := range ids {
		out = append(out, Event{ID: id, Data: []byte("id: " + id + "\n\n")})
	}
	return out
}

var (
	booking  = catalog.Route{Name: "booking", Kind: catalog.KindNonIdempotent, MaxAttempts: 2}
	lookup   = catalog.Route{Name: "lookup", Kind: catalog.KindIdempotent, MaxAttempts: 2}
	draft    = catalog.Route{Name: "draft", Kind: catalog.KindStreaming, Resumable: true, MaxAttempts: 2}
	oneShot  = catalog.Route{Name: "review", Kind: catalog.KindStreaming, MaxAttempts: 2}
	broken   = &backend.CallError{Failure: backend.FailureBroken, Written: true}
	unknown  = func() *AttemptError { return &AttemptError{Run: backend.RunUnknown, Reason: "broken", Sent: true} }
	rejected = func() *AttemptError { return &AttemptError{Run: backend.RunNever, Reason: "rejected_503", Sent: true} }
	unsent   = func() *AttemptError { return &AttemptError{Run: backend.RunNever, Reason: "connect"} }
)

// Guards against a booking that runs twice, and against a failure that claims the
// request did not run after an attempt that may have run.
func TestUncertainNonIdempotentIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), runs: []any{unknown(), &fakeReply{status: 200}}, budget: 5}
	f.serve(booking)
	g.Expect(f.options).To(HaveLen(1))
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunUnknown))
}

// Guards against a booking that fails without another attempt although no server
// can have run it.
func TestRequestThatDidNotRunIsRepeated(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), runs: []any{rejected(), &fakeReply{status: 200, body: "ok"}}, budget: 5}
	f.serve(booking)
	g.Expect(f.answer.body).To(Equal("ok"))
	g.Expect(f.taken).To(Equal(1))
	g.Expect(f.placements[1].Avoid).To(Equal([]string{"a"}))
}

// Guards against more attempts than the route allows.
func TestAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b", "c"), runs: []any{unknown(), unknown(), &fakeReply{status: 200}}, budget: 5}
	f.serve(lookup)
	g.Expect(f.options).To(HaveLen(2))
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunUnknown))
}

// Guards against attempts that count towards the limit or the retry budget
// although nothing was sent to a server.
func TestUnsentAttemptsAreFree(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b", "c"), runs: []any{unsent(), unsent(), &fakeReply{status: 200, body: "ok"}}}
	f.serve(booking)
	g.Expect(f.answer.body).To(Equal("ok"))
	g.Expect(f.taken).To(BeZero())
}

// Guards against repeated attempts beyond the retry budget, which multiply the
// load on failing servers.
func TestRepeatNeedsBudget(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), runs: []any{unknown(), &fakeReply{status: 200}}}
	f.serve(lookup)
	g.Expect(f.options).To(HaveLen(1))
	g.Expect(f.answer.refused.Reason).To(Equal(reasonBudget))
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunUnknown))
}

// Guards against the loss of a server's error answer: if no further attempt is
// allowed, the client must get that answer.
func TestServerFailureIsPassedOn(t *testing.T) {
	for name, budget := range map[string]int{"no budget": 0, "no attempts": 5} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakes{servers: servers("a", "b"), budget: budget,
				runs: []any{&fakeReply{status: 500, body: "first"}, &fakeReply{status: 500, body: "second"}}}
			f.serve(lookup)
			g.Expect(f.answer.refused).To(BeNil())
			g.Expect(f.answer.status).To(Equal(500))
			if budget == 0 {
				g.Expect(f.answer.body).To(Equal("first"))
			} else {
				g.Expect(f.answer.body).To(Equal("second"))
			}
		})
	}
}

// Guards against a broken stream that looks complete to the client.
func TestBrokenStreamClosesConnection(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), budget: 5,
		runs: []any{&fakeReply{status: 200, events: events("1", "2"), err: broken}, &fakeReply{status: 200}}}
	f.serve(oneShot)
	g.Expect(f.options).To(HaveLen(1))
	g.Expect(f.answer.events).To(HaveLen(2))
	g.Expect(f.answer.broken).To(BeTrue())
	g.Expect(f.answer.finished).To(BeFalse())
}

// Guards against a resumed stream with a missing or repeated event, a first reply
// that is not closed and usage that is counted twice.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	first := &fakeReply{status: 200, events: events("1", "2"), err: broken}
	f := &fakes{servers: servers("a", "b"), budget: 5,
		runs: []any{first, &fakeReply{status: 200, events: events("3")}}}
	f.serve(draft)
	g.Expect(f.options[1].After).To(Equal("2"))
	g.Expect(first.closed).To(BeTrue())
	g.Expect(f.answer.events).To(Equal([]string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}))
	g.Expect(f.answer.finished).To(BeTrue())
	g.Expect(f.began).To(Equal([]string{"acme"}))
}

// Guards against a stream that ends cleanly before its first event and is taken
// for a complete answer.
func TestEmptyStreamIsFailure(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a"), runs: []any{&fakeReply{status: 200}}}
	f.serve(oneShot)
	g.Expect(f.answer.refused.Run).To(Equal(backend.RunUnknown))
}

// Guards against a second prefill on a separate server, which would be another
// request to a backend server: the second attempt must go to a server that does
// the prefill itself.
func TestSecondAttemptNeedsNoSeparatePrefill(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), prefillOn: servers("p", "q"), budget: 1,
		runs: []any{unknown(), &fakeReply{status: 200, events: events("1")}}}
	f.serve(draft)
	g.Expect(f.placements[1].Whole).To(BeTrue())
	g.Expect(f.answer.finished).To(BeTrue())
	g.Expect(f.taken).To(Equal(1))
	g.Expect(f.released).To(Equal([]string{"h-p"}))
}

// Guards against a second attempt at an address that looks like the first one, so that a
// late answer to the first one would be taken for its own.
func TestSecondAttemptAtAddressIsMarked(t *testing.T) {
	g := NewWithT(t)
	p := &registry.Server{ID: "p", Addr: "10.0.0.1:80"}
	a := &registry.Server{ID: "a", Addr: "10.0.0.1:80"}
	b := &registry.Server{ID: "b", Addr: "10.0.0.2:80"}
	f := &fakes{servers: []*registry.Server{b, a, b}, prefillOn: []*registry.Server{p}, budget: 5,
		runs: []any{rejected(), rejected(), &fakeReply{status: 200, events: events("1")}}}
	route := draft
	route.MaxAttempts = 3
	f.serve(route)
	g.Expect(f.answer.finished).To(BeTrue())
	g.Expect([]bool{f.options[0].Again, f.options[1].Again, f.options[2].Again}).To(Equal([]bool{false, true, true}))
}

// Guards against a rejected prefill that is not charged to the retry budget.
func TestRejectedPrefillIsCharged(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), prefillOn: servers("p", "q"), prefills: []*AttemptError{rejected()},
		runs: []any{&fakeReply{status: 200, events: events("1")}}}
	f.serve(draft)
	g.Expect(f.charged).To(Equal(1))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against a request that is sent to a server which was listed as leaving
// during the prefill on another server.
func TestServerThatLeftGetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := &fakes{servers: servers("a", "b"), prefillOn: servers("p"), unusable: map[string]bool{"a": true},
		runs: []any{&fakeReply{status: 200, events: events("1")}}}
	f.serve(draft)
	g.Expect(f.options).To(HaveLen(1))
	g.Expect(f.placements[1].Avoid).To(Equal([]string{"a"}))
	g.Expect(f.released).To(Equal([]string{"h-p"}))
	g.Expect(f.answer.finished).To(BeTrue())
}

// Guards against a placement without a call of Done.
func TestEveryPlacementEnds(t *testing.T) {
	for _, runs := range [][]any{
		{&fakeReply{status: 200, body: "ok"}},
		{unknown(), &fakeReply{status: 200}},
		{rejected(), rejected()},
		{&fakeReply{status: 500}, &fakeReply{status: 200}},
		{&fakeReply{status: 200, err: errors.New("cut")}, unsent(), &fakeReply{status: 200}},
	} {
		f := &fakes{servers: servers("a", "b", "c"), runs: slices.Clone(runs), budget: 5}
		f.serve(lookup)
		placed := min(len(f.placements), len(f.servers))
		if len(f.results) != placed {
			t.Errorf("%d placements, %d results", placed, len(f.results))
		}
	}
}
