package edge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/quarantine"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// contentOf returns the content of a request whose prompt has shared parts.
func contentOf(parts ...string) dispatch.Content {
	p := &dispatch.Prompt{}
	for _, id := range append(parts, "own") {
		p.Parts = append(p.Parts, dispatch.Part{ID: id})
	}
	return dispatch.Content{Fingerprint: strings.Join(parts, "+"), Parts: p.SharedParts()}
}

// Guards against servers that count as crashed although only connections broke, and
// against reports that leave out some of the requests of a crashed server.
func TestOnlyServersThatRefuseConnectionsAreReported(t *testing.T) {
	server := &registry.Server{ID: "i-1", StartedMs: 7, Addr: "addr"}
	cases := map[string]struct {
		dial    error
		server  registry.Server
		reports int
	}{
		"refused":   {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, *server, 2},
		"accepted":  {nil, *server, 0},
		"timed out": {eris.New("i/o timeout"), *server, 0},
		"draining":  {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, registry.Server{ID: "i-1", Draining: true}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var mu sync.Mutex
				var reports []*CrashReport
				guard := newContentGuard(time.Now)
				guard.dial = func(context.Context, string, string) (net.Conn, error) {
					if c.dial != nil {
						return nil, c.dial
					}
					client, _ := net.Pipe()
					return client, nil
				}
				guard.report = func(m *CrashReport) {
					mu.Lock()
					defer mu.Unlock()
					reports = append(reports, m)
				}
				guard.Lost(&c.server, contentOf("a"), dispatch.Progress{Flowed: time.Second})
				guard.Lost(&c.server, contentOf("a", "b"), dispatch.Progress{})
				guard.Lost(&c.server, contentOf(), dispatch.Progress{Prefill: true})
				time.Sleep(2 * crashCheckDelay)
				guard.Lost(&c.server, contentOf("late"), dispatch.Progress{})
				time.Sleep(2 * crashCheckMemory)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(reports).To(HaveLen(c.reports))
				if c.reports > 0 {
					g.Expect(reports[0]).To(Equal(&CrashReport{Server: "i-1/7", Suspects: []quarantine.Suspect{
						{Part: "a"}, {Part: "request:a", Depth: 1, Flowing: true, Request: true},
						{Part: "b", Depth: 1}, {Part: "request:a+b", Depth: 2, Request: true}, {Part: "request:", Flowing: true, Request: true},
					}}))
					g.Expect(reports[1].Suspects).To(Equal([]quarantine.Suspect{{Part: "late"}, {Part: "request:late", Depth: 1, Request: true}}))
				}
				guard.mu.Lock()
				defer guard.mu.Unlock()
				g.Expect(guard.checks).To(BeEmpty())
			})
		})
	}
}

// Guards against IDs of parts that are too long for a record of the store.
func TestLongPartsAreQuarantinedToo(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 500)
	g.Expect(len(partKey(long))).To(BeNumerically("<=", maxPartBytes))
	g.Expect(partKey(long)).NotTo(Equal(partKey(long + "y")))
	guard := newContentGuard(time.Now)
	list, _ := guard.list.Load().With(time.Now(), partKey(long), quarantine.Entry{UntilMs: time.Now().Add(time.Minute).UnixMilli()})
	guard.list.Store(list)
	left, part := guard.Left(contentOf(long))
	g.Expect(left).To(BeNumerically(">", 0))
	g.Expect(part).To(Equal("part " + long))
	own := &dispatch.Request{Prompt: &dispatch.Prompt{Parts: []dispatch.Part{{ID: "a"}, {ID: long}}}}
	left, _ = guard.Left(own.Content())
	g.Expect(left).To(BeZero(), "the last part belongs to one request only")
}

// controlNetwork connects the control states of several daemons. Messages arrive in
// order once deliver is called.
type controlNetwork struct {
	daemons map[string]*scaleControl
	queue   []sentFrom
	stored  []hosting.KeyedRecord
}

type sentFrom struct {
	from, to string
	message  peer.Message
}

func newControlNetwork(t *testing.T, vms ...string) *controlNetwork {
	n := &controlNetwork{daemons: map[string]*scaleControl{}}
	for _, vm := range vms {
		c := newScaleControlOf(t, vm, len(vms), 4, 1)
		c.send = func(to string, m peer.Message) { n.queue = append(n.queue, sentFrom{vm, to, m}) }
		c.host, c.pools = schedule.NewHost(pool.DefaultConfig(), c.send), newPoolTable()
		c.publish(time.Now())
		c.quarantine.put = func(r hosting.KeyedRecord) { n.stored = append(n.stored, r) }
		n.daemons[vm] = c
	}
	return n
}

func (n *controlNetwork) deliver(now time.Time) {
	for len(n.queue) > 0 {
		m := n.queue[0]
		n.queue = n.queue[1:]
		if c := n.daemons[m.to]; c != nil {
			c.handleMessage(now, peerMessage{from: m.from, message: m.message, at: now})
		}
	}
}

func (n *controlNetwork) left(vm, part string) time.Duration {
	left, _ := n.daemons[vm].quarantine.guard.Left(contentOf(part))
	return left
}

// Guards against a quarantine that does not reach all daemons or the store, and
// against one of a part that only another daemon has served.
func TestAllDaemonsQuarantineThePartThatCrashesServers(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2")
	now := time.Now()
	n.daemons["vm-2"].quarantine.guard.Served(contentOf("first", "deep"))
	for i := range DefaultSettings().Quarantine.Crashes {
		reporter := n.daemons["vm-"+formatInt(int64(i%2))]
		reporter.quarantine.report(now, &CrashReport{Server: formatInt(int64(i)), Suspects: []quarantine.Suspect{{Part: "first"}, {Part: "bad", Depth: 1}, {Part: "deep", Depth: 2}}})
		now = now.Add(100 * time.Millisecond)
		n.deliver(now)
	}
	for vm := range n.daemons {
		g.Expect(n.left(vm, "bad")).To(BeNumerically("~", DefaultSettings().Quarantine.For, time.Second), vm)
		g.Expect(n.left(vm, "first")).To(BeZero(), vm)
		g.Expect(n.left(vm, "deep")).To(BeZero(), vm)
	}
	g.Expect(n.stored).NotTo(BeEmpty())
	g.Expect(n.stored[0].Key).To(Equal("bad"))
}

// Guards against a decision that waits for ever for a daemon that does not answer.
func TestSilentDaemonDelaysNoQuarantine(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2")
	silent := n.daemons["vm-0"].quarantine.collectors()[0]
	for vm := range n.daemons {
		if vm != silent {
			silent = vm
		}
	}
	now := time.Now()
	reporter := n.daemons[silent]
	for i := range DefaultSettings().Quarantine.Crashes {
		reporter.quarantine.report(now, &CrashReport{Server: formatInt(int64(i)), Suspects: []quarantine.Suspect{{Part: "bad"}}})
		now = now.Add(100 * time.Millisecond)
		delete(n.daemons, silent)
		n.deliver(now)
	}
	collector := n.daemons[reporter.quarantine.collectors()[0]]
	if collector == nil {
		collector = n.daemons[reporter.quarantine.collectors()[1]]
	}
	g.Expect(collector.quarantine.guard.list.Load().Len()).To(BeZero())
	collector.quarantine.tick(now.Add(inquiryWait))
	g.Expect(collector.quarantine.guard.list.Load().Len()).To(Equal(1))
}

// Guards against quarantines that a restarted daemon does not take from the store,
// unreadable records that end others, and records that stay for ever.
func TestQuarantinesOfTheStoreAreInForce(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0")
	c := n.daemons["vm-0"]
	entry := quarantine.Entry{UntilMs: time.Now().Add(time.Minute).UnixMilli(), FoundBy: "vm-9"}
	old := quarantine.Entry{UntilMs: time.Now().Add(-48 * time.Hour).UnixMilli()}
	c.apply(feedQuarantine, hosting.KeyedRecord{Key: "bad", Value: entry.Encode()}, hosting.KeyedRecord{Key: "old", Value: old.Encode()},
		hosting.KeyedRecord{Key: "bad", Value: []byte("{")})
	g.Expect(n.left("vm-0", "bad")).To(BeNumerically(">", 50*time.Second))
	g.Expect(n.left("vm-0", "old")).To(BeZero())
	c.quarantine.tick(time.Now())
	g.Expect(n.stored).To(Equal([]hosting.KeyedRecord{{Key: "old"}}))
	c.apply(feedQuarantine, hosting.KeyedRecord{Key: "bad"})
	g.Expect(n.left("vm-0", "bad")).To(BeZero())
}

// Guards against crashes that nobody remembers because the daemons that collected the
// reports were restarted one after the other.
func TestNewCollectorsLearnEarlierCrashes(t *testing.T) {
	g := NewWithT(t)
	n := newControlNetwork(t, "vm-0", "vm-1", "vm-2", "vm-3")
	reporter := ""
	collectors := n.daemons["vm-0"].quarantine.collectors()
	for vm := range n.daemons {
		if !slices.Contains(collectors, vm) {
			reporter = vm
		}
	}
	now := time.Now()
	crashes := DefaultSettings().Quarantine.Crashes
	for i := range crashes {
		q := n.daemons[reporter].quarantine
		q.report(now, &CrashReport{Server: formatInt(int64(i)), Suspects: []quarantine.Suspect{{Part: "bad"}}})
		n.deliver(now)
		now = now.Add(time.Second)
		if i < crashes-1 {
			g.Expect(n.left(reporter, "bad")).To(BeZero())
		}
		for _, vm := range collectors {
			// The process of the VM is replaced by a new one.
			old := n.daemons[vm].quarantine
			old.detector = quarantine.NewDetector(DefaultSettings().Quarantine.Crashes, DefaultSettings().Quarantine.RequestCrashes)
			index, _ := strconv.Atoi(strings.TrimPrefix(vm, "vm-"))
			n.daemons[reporter].apply(feedMembers, memberOf(t, index, "b"+formatInt(int64(i))))
		}
		for range 2 {
			for _, c := range n.daemons {
				c.quarantine.tick(now)
			}
			n.deliver(now)
			now = now.Add(evaluationInterval)
		}
	}
	g.Expect(n.left(reporter, "bad")).To(BeNumerically(">", 0))
}

// Measures the reports of 300 daemons on the loss of 60 servers, of which each had
// requests of all daemons.
func BenchmarkCrashReports(b *testing.B) {
	const daemons, lost = 300, 60
	c := newScaleControl(b, daemons, 230, 5)
	for b.Loop() {
		q := newQuarantineControl(c.control, DefaultSettings().Quarantine, newContentGuard(time.Now))
		now := time.Now()
		for i := range daemons * lost {
			m := &CrashReport{Server: formatInt(int64(i % lost))}
			for part := range 12 {
				m.Suspects = append(m.Suspects, quarantine.Suspect{Part: formatInt(int64((i*7 + part*31) % 2000))})
			}
			q.crashed(now.Add(time.Duration(i)*20*time.Microsecond), m)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*daemons*lost), "us/report")
}

// Guards against a part whose ID names a whole request, of another customer for example.
func TestPartsAreNoRequests(t *testing.T) {
	NewWithT(t).Expect(partKey(requestKey("ab12"))).NotTo(Equal(requestKey("ab12")))
}

// Guards against a quarantined request that is sent, and against others that are not.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	guard := newContentGuard(time.Now)
	bad := dispatch.Request{Customer: "acme", Method: "POST", Host: "h", Target: "/a?q", Body: []byte("body")}
	list, _ := guard.list.Load().With(time.Now(), requestKey(bad.Content().Fingerprint), quarantine.Entry{UntilMs: time.Now().Add(time.Minute).UnixMilli()})
	guard.list.Store(list)
	repeat := bad
	repeat.ID = "another"
	left, what := guard.Left(repeat.Content())
	g.Expect(left).To(BeNumerically(">", 50*time.Second))
	g.Expect(what).To(Equal("content " + bad.Content().Fingerprint))
	for name, change := range map[string]func(r *dispatch.Request){
		"customer": func(r *dispatch.Request) { r.Customer = "other" },
		"method":   func(r *dispatch.Request) { r.Method = "PUT" },
		"host":     func(r *dispatch.Request) { r.Host = "i" },
		"target":   func(r *dispatch.Request) { r.Target = "/a" },
		"body":     func(r *dispatch.Request) { r.Body = []byte("Body") },
		"boundary": func(r *dispatch.Request) { r.Target, r.Body = "/a?qb", []byte("ody") },
	} {
		other := bad
		change(&other)
		left, _ := guard.Left(other.Content())
		g.Expect(left).To(BeZero(), name)
	}
}
