package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/registry"
)

// stoppedFakes are fakes whose placement, or run, lasts until its context ends.
type stoppedFakes struct {
	*fakes
	placed bool
}

func (f *stoppedFakes) Place(ctx context.Context, r PlacementRequest) (*Placement, error) {
	if f.placed {
		return f.fakes.Place(ctx, r)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *stoppedFakes) Run(ctx context.Context, _ *registry.Server, _ *Request, _ RunOptions) (Reply, *AttemptError) {
	<-ctx.Done()
	return nil, &AttemptError{Run: backend.RunUnknown, Reason: "cancelled", Sent: true, Err: ctx.Err()}
}

// Guards against requests that a stopping process keeps until it ends, and that get no
// answer, or one that doesn't say whether they have run.
func TestStoppingProcessAnswersEveryRequest(t *testing.T) {
	for name, c := range map[string]struct {
		placed           bool
		arrives, allowed time.Duration
		answered         time.Duration
		run              backend.Run
		reason           string
	}{
		"waits for a place":             {false, -time.Second, time.Minute, 6 * time.Second, backend.RunNever, reasonStopping},
		"runs":                          {true, -time.Second, time.Minute, 7 * time.Second, backend.RunUnknown, reasonStopping},
		"runs and has a deadline":       {true, -time.Second, 4 * time.Second, 3 * time.Second, backend.RunUnknown, "deadline"},
		"arrives while clients may":     {false, time.Second, time.Minute, 6 * time.Second, backend.RunNever, reasonStopping},
		"arrives too late":              {true, 3 * time.Second, 6 * time.Second, 3 * time.Second, backend.RunNever, reasonStopping},
		"arrives late with little time": {true, 3 * time.Second, time.Second, 4 * time.Second, backend.RunUnknown, "deadline"},
		"arrives after the last place":  {false, 6500 * time.Millisecond, 100 * time.Millisecond, 6500 * time.Millisecond, backend.RunNever, reasonStopping},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &stoppedFakes{fakes: &fakes{servers: servers("a"), quarantinedAfter: -1}, placed: c.placed}
				shutdown := NewShutdown()
				d := &Dispatcher{Scheduler: f, Backends: f, Budget: f, Quarantine: (*guardFake)(f.fakes), Usage: f, Shutdown: shutdown}
				begin := time.Now().Add(2 * time.Second)
				time.AfterFunc(time.Until(begin), func() {
					shutdown.Begin(ShutdownTimes{AcceptUntil: begin.Add(2 * time.Second), PlaceUntil: begin.Add(6 * time.Second), End: begin.Add(7 * time.Second)})
				})
				time.Sleep(time.Until(begin.Add(c.arrives)))
				route := catalog.Route{Kind: catalog.KindNonIdempotent, MaxAttempts: 1}
				d.Serve(t.Context(), &Request{ID: "r", Route: &route, Service: &catalog.Service{Name: "s"}, Deadline: time.Now().Add(c.allowed)}, &f.answer)
				g.Expect(time.Since(begin)).To(Equal(c.answered))
				g.Expect(f.answer.refused.Run).To(Equal(c.run))
				g.Expect(f.answer.refused.Reason).To(Equal(c.reason))
				time.Sleep(time.Until(begin.Add(8 * time.Second)))
			})
		})
	}
}
