package edge

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/cost"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// maxScored bounds the servers that one decision compares. Larger services are
	// sampled, so that a decision takes microseconds.
	maxScored = 16
	// maxPlainKinds bounds the kinds of requests that are remembered: 9,300 customers, and
	// the routes and size classes.
	maxPlainKinds = 12_000
	// unknownWork is the assumed work of a request of which nothing is known. Only its
	// ratio to the work of other requests matters.
	unknownWork = 50 * time.Millisecond
	// faultRateCost is the factor by which the expected time rises on a server of
	// which all attempts fail. A failed attempt often can't be repeated.
	faultRateCost = 20
	// minWorkSlots is the number of slots that is assumed of a server that names none.
	minWorkSlots = 1
	// overdueFactor is the multiple of the predicted time from which on an open request
	// counts as an observation that its server is slow, again after each doubling.
	overdueFactor = 2
)

// plainCosts predicts the time of a request on each server of a plain service from the
// learned work of its kind, the learned speed of the servers and the outstanding work
// of all daemons there. It serves loads at which many daemons with few requests each
// share few servers of different speeds. plainScheduler guards it by its mutex.
type plainCosts struct {
	kinds   *cost.Kinds
	servers *cost.Servers
	open    map[*dispatch.Placement]*openWork
	// random returns an exponentially distributed random number with mean 1.
	random func() float64
}

// openWork is a placed request whose answer is awaited.
type openWork struct {
	kind   cost.Kind
	server cost.ServerID
	begun  time.Time
	// answered is the time at which the answer began; zero before.
	answered time.Time
	// known is set if the cost of the kind was known.
	known bool
	// mean and typical are the expected work and wait the expected wait, in seconds at
	// the usual speed.
	mean, typical, wait float64
	slowness            float64
	// overdue is the age from which on the request shows that the server is slow.
	overdue time.Duration
}

func newPlainCosts() *plainCosts {
	return &plainCosts{
		kinds: cost.NewKinds(maxPlainKinds), servers: cost.NewServers(),
		open: map[*dispatch.Placement]*openWork{}, random: rand.ExpFloat64,
	}
}

func kindOf(r *dispatch.Request) cost.Kind {
	k := cost.Kind{Model: r.Service.Name, Size: cost.SizeClass(len(r.Body)), Customer: r.Customer}
	if r.Route != nil {
		k.Route = r.Route.Name
	}
	return k
}

// expect returns a placement that awaits a server, with the expected work of the request.
func (c *plainCosts) expect(r *dispatch.Request) openWork {
	w := openWork{kind: kindOf(r), mean: unknownWork.Seconds(), typical: unknownWork.Seconds()}
	if e := c.kinds.Expect(w.kind); e.Known {
		w.mean, w.typical, w.known = e.Mean, e.Typical, true
	}
	return w
}

// estimate is the prediction of a request on one server.
type estimate struct {
	load cost.Load
	// wait is the predicted wait, in seconds at the usual speed.
	wait float64
	// total is the predicted time until the answer in seconds, with the time that a
	// failure is expected to cost.
	total float64
}

func serverID(s *registry.Server) cost.ServerID { return cost.IDOf(s.ID, s.StartedMs) }

// estimate predicts the time that a request takes on a server. The request waits for
// the outstanding work if all slots are busy, whose probability rises steeply as the
// outstanding requests approach the slots.
func (c *plainCosts) estimate(now time.Time, w *openWork, server *registry.Server) estimate {
	e := estimate{load: c.servers.Load(now, serverID(server))}
	slots := float64(max(server.Slots, minWorkSlots))
	busy := min(e.load.Open/slots, 1)
	e.wait = busy * busy * busy * busy * e.load.Seconds / slots
	e.total = e.load.Slowness * (w.mean + e.wait) * (1 + faultRateCost*e.load.FaultRate)
	return e
}

// begin records that a request was placed.
func (c *plainCosts) begin(now time.Time, p *dispatch.Placement, w openWork, e estimate) {
	w.begun, w.server, w.wait, w.slowness = now, serverID(p.Server), e.wait, e.load.Slowness
	w.overdue = time.Duration(overdueFactor * e.load.Slowness * (w.mean + w.wait) * float64(time.Second))
	c.open[p] = &w
	c.servers.Begin(now, w.server, w.mean)
}

// started records that the answer began. Whether the client reads it quickly says
// nothing about the server.
func (c *plainCosts) started(now time.Time, p *dispatch.Placement) {
	if w := c.open[p]; w != nil && w.answered.IsZero() {
		w.answered = now
	}
}

// end records the end of a request and learns from the time that it took. A failed
// attempt says nothing about the speed: a server may fail fast. One that the client gave
// up shows only that the server was slow, if it was.
func (c *plainCosts) end(now time.Time, p *dispatch.Placement, r dispatch.Result) {
	w := c.open[p]
	if w == nil {
		return
	}
	delete(c.open, p)
	c.servers.End(now, w.server, w.mean)
	if r.Failed != nil {
		c.servers.Fault(now, w.server)
		return
	}
	if w.answered.IsZero() {
		w.answered = now
	}
	took := w.answered.Sub(w.begun)
	if !r.OK {
		if took > w.overdue {
			c.observeSpeed(now, w, took)
		}
		return
	}
	if c.kinds.Observe(w.kind, took.Seconds()/w.slowness*w.typical/(w.typical+w.wait)) && w.known {
		c.observeSpeed(now, w, took)
	}
}

// observeSpeed compares a time with the usual time, including the predicted wait.
func (c *plainCosts) observeSpeed(now time.Time, w *openWork, took time.Duration) {
	c.servers.Observe(now, w.server, took.Seconds()/(w.typical+w.wait))
}

// tick learns from requests that are overdue, so that a server that hangs is noticed
// before its answers arrive.
func (c *plainCosts) tick(now time.Time) {
	for _, w := range c.open {
		age := now.Sub(w.begun)
		if !w.answered.IsZero() || age < w.overdue {
			continue
		}
		w.overdue *= 2
		if w.known {
			c.observeSpeed(now, w, age)
		}
	}
}

// weigh returns a random number whose minimum over the servers chooses each with a
// probability proportional to score^-8: servers that differ by a tenth get similar
// shares, and one that takes half as long gets nearly all. All daemons know the same
// reports, so that they would all choose the same server if each took the best one. With
// the power of 4, requests wait a third longer in the test under load; with 12, shares
// swing more between equal servers.
func (c *plainCosts) weigh(score float64) float64 {
	square := score * score
	return c.random() * square * square * square * square
}

// fields returns the inputs of a decision for logs.
func (e *estimate) fields(w *openWork) []event.Field {
	ms := func(v float64) string { return strconv.FormatFloat(v*1e3, 'f', 1, 64) }
	return []event.Field{
		event.F("work_ms", ms(w.mean)), event.F("expected_ms", ms(e.total)), event.F("slowness", formatRatio(e.load.Slowness)),
		event.F("open_all", formatRatio(e.load.Open)), event.F("backlog_ms", ms(e.load.Seconds)), event.F("fault_rate", formatRatio(e.load.FaultRate)),
	}
}
