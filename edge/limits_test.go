package edge

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// Guards against limits that are passed on with every answer, and against changes
// that are not passed on.
func TestLimitsArePassedOnWhenTheyChange(t *testing.T) {
	g := NewWithT(t)
	l := newServerLimits(event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop()))
	now := time.Now()
	a, b := &registry.Server{ID: "a"}, &registry.Server{ID: "b"}
	g.Expect(l.update(now, a, 0, false)).To(BeFalse())
	g.Expect(l.update(now, a, 2, true)).To(BeTrue())
	g.Expect(l.update(now, a, 2, true)).To(BeFalse())
	g.Expect(l.update(now, a, 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), a, 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), a, 0, false)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), a, 0, false)).To(BeFalse())
	g.Expect(l.update(now, a, 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(2*limitForget), b, 3, true)).To(BeTrue())
	recent := l.recent(now.Add(2 * limitForget))
	g.Expect(recent).To(HaveLen(1))
	g.Expect(recent[0].server).To(Equal(b))
}

// Guards against a plain server's limit that each daemon uses in full, against shares
// so small that nobody may send, and against requests that wait for the limit although
// it is known that they can't be served.
func TestDaemonsShareThePlainServersLimit(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2", "vm-3", "vm-4")
	total, users := 0.0, 0
	for _, c := range n.daemons {
		share := c.plainShare("i-0", 2.5)
		total += share
		if share > 0 {
			users++
		}
		p := newPlainScheduler("fd")
		p.share = c.plainShare
		p.servers = func(string) []*registry.Server { return []*registry.Server{{ID: "i-0"}} }
		request := dispatch.PlacementRequest{Request: &dispatch.Request{Service: &catalog.Service{Name: "desk"}}}
		_, err := p.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		p.setLimit("i-0", 2.5, true)
		_, err = p.Place(context.Background(), request)
		var refused *dispatch.Failure
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(refused.Reason).To(Equal("server_limits"))
		g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		p.setLimit("i-0", 0, false)
		_, err = p.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(users).To(Equal(2))
	g.Expect(total).To(BeNumerically("~", 2.5, 1e-9))
}

// Guards against a scheduler that does not learn a limit from the daemon that heard it,
// and against daemons beside it that place requests on the server by themselves.
func TestSchedulerLearnsTheLimitOfAnEngine(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2")
	now := time.Now()
	scheduler := n.daemons["vm-0"].scheduler(n.poolOf("i-1"))
	var reporter *scaleControl
	for vm, c := range n.daemons {
		if vm != scheduler {
			reporter = c
		}
	}
	reporter.limitNamed(now, &registry.Server{ID: "i-1", Service: "llm", Role: "mixed"}, 2, true)
	n.deliver(now)
	g.Expect(n.grantsOn(scheduler, "i-1", now.Add(600*time.Millisecond), 6)).To(Equal(1))
	g.Expect(n.grantsOn(reporter.vm, "i-1", now.Add(600*time.Millisecond), 6)).To(BeZero())
}

// poolOf returns the name of the pool with a runner.
func (n *controlNetwork) poolOf(runner string) string {
	for _, spec := range n.daemons["vm-0"].pools.specs {
		if slices.ContainsFunc(spec.Runners, func(r pool.RunnerInfo) bool { return r.ID == runner }) {
			return spec.Key.String()
		}
	}
	return ""
}

// grantsOn requests grants from the pool of a daemon and returns how many of them name
// a runner.
func (n *controlNetwork) grantsOn(vm, runner string, now time.Time, requests int) int {
	c := n.daemons[vm]
	n.queue = nil
	for i := range requests {
		c.host.Request(now, &schedule.GrantRequest{Pool: n.poolOf(runner), Request: pool.Request{
			ID: formatInt(int64(i)), Entry: "client", Customer: "c", PromptTokens: 100, MaxTokens: 5,
		}})
	}
	granted := 0
	for _, m := range n.queue {
		if r, ok := m.message.(*schedule.GrantReply); ok && r.Kind == schedule.ReplyGranted && r.Granted.Runner == runner {
			granted++
		}
	}
	n.queue = nil
	return granted
}

// Guards against plain servers that get the whole share of a daemon at once, and
// against a limit that is forgotten while its server has no requests.
func TestPlainLimitIsCountedAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPlainScheduler("fd")
		p.servers = func(string) []*registry.Server { return []*registry.Server{{ID: "i-0"}, {ID: "i-1"}} }
		request := dispatch.PlacementRequest{Request: &dispatch.Request{Service: &catalog.Service{Name: "desk"}}}
		place := func() map[string]int {
			counts := map[string]int{}
			for range 10 {
				placed, err := p.Place(context.Background(), request)
				g.Expect(err).NotTo(HaveOccurred())
				counts[placed.Server.ID]++
				p.Done(placed, dispatch.Result{OK: true})
			}
			return counts
		}
		p.setLimit("i-0", 0.2, true)
		g.Expect(place()["i-0"]).To(BeZero())
		time.Sleep(6 * time.Second)
		g.Expect(place()["i-0"]).To(BeNumerically("<=", 1))
		p.setLimit("i-0", 0.2, true)
		time.Sleep(11 * faultHalfLife)
		p.dropIdle(time.Now())
		g.Expect(p.state["i-0"].limit.Active(time.Now())).To(BeTrue())
	})
}

// Guards against daemons that are not told the limit of a plain server, and against
// one that is told with each answer.
func TestOtherUsersAreToldThePlainServersLimit(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2")
	told := map[string][]bool{}
	for vm, c := range n.daemons {
		c.limitPlain = func(_ string, _ float64, limited bool) { told[vm] = append(told[vm], limited) }
	}
	now := time.Now()
	plain := &registry.Server{ID: "i-0", Service: "desk"}
	c := n.daemons["vm-0"]
	c.limitNamed(now, plain, 2, true)
	c.limitNamed(now.Add(plainLimitRefresh/2), plain, 2, true)
	n.deliver(now)
	g.Expect(told).To(Equal(map[string][]bool{"vm-1": {true}, "vm-2": {true}}))
	c.limitNamed(now.Add(plainLimitRefresh), plain, 2, true)
	c.limitNamed(now.Add(plainLimitRefresh), plain, 0, false)
	n.deliver(now)
	g.Expect(told["vm-1"]).To(Equal([]bool{true, true, false}))
}

// Guards against a scheduler that does not know the limits of engines because it has
// taken over, or was restarted, after they were named.
func TestNewSchedulersAreToldTheLimits(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2")
	c := n.daemons["vm-0"]
	changes := 0
	c.schedulersChanged = func(time.Time) { changes++ }
	owner := c.scheduler(n.poolOf("i-1"))
	restarted := c.memberTable.load()[owner]
	restarted.Certificate = strings.Repeat("cd", 32)
	c.apply(feedMembers, hosting.KeyedRecord{Key: owner, Value: encodeJSON(t, restarted)})
	g.Expect(changes).To(BeNumerically(">", 0), "after a restart")
	changes = 0
	c.highCapacity = member.NewSet([]member.Candidate{{ID: "vm-7", FailureDomain: "fd-0"}})
	c.dirty = true
	c.publish(time.Now())
	g.Expect(changes).To(Equal(1), "after a change of the scheduler")
	c.publish(time.Now())
	g.Expect(changes).To(Equal(1), "without a change")
}
