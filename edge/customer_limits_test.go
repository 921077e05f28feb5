package edge

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/limit"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
)

// limitNet connects the customer limits of several daemons with delays.
type limitNet struct {
	mu    sync.Mutex
	nodes map[string]*customerLimits
	inbox map[string]chan peerMessage
	cut   map[string]bool
	homes *member.Set
	asked int
}

const netDelay = 1500 * time.Microsecond

// newLimitNet returns a net of daemons that serve the given configuration. It must be
// called in a synctest bubble, and stop ends its goroutines.
func newLimitNet(t *testing.T, daemons int, cfg catalog.Config) (net *limitNet, stop func()) {
	net = &limitNet{nodes: map[string]*customerLimits{}, inbox: map[string]chan peerMessage{}, cut: map[string]bool{}}
	var candidates []member.Candidate
	for i := range daemons {
		candidates = append(candidates, member.Candidate{ID: fmt.Sprint("vm-", i)})
	}
	net.homes = member.NewSet(candidates)
	c := catalog.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	for _, vm := range net.homes.IDs() {
		events := event.NewRecorder(hlc.New(time.Now), vm, nil, zerolog.Nop())
		t.Cleanup(events.Close)
		l := newCustomerLimits(vm, DefaultSettings().CustomerLimits, events)
		l.home = limit.NewHome(time.Now().Add(-time.Hour))
		l.catalog = func() *catalog.Catalog { return c }
		l.homes = func() *member.Set { net.mu.Lock(); defer net.mu.Unlock(); return net.homes }
		l.daemons = func() (int, int) { return daemons, daemons }
		l.send = func(to string, m peer.Message) { net.send(vm, to, m) }
		net.nodes[vm], net.inbox[vm] = l, make(chan peerMessage, 1000)
	}
	for vm, l := range net.nodes {
		go net.control(ctx, l, net.inbox[vm])
	}
	return net, cancel
}

func (n *limitNet) send(from, to string, m peer.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked++
	if n.cut[from] || n.cut[to] {
		return
	}
	time.AfterFunc(netDelay, func() { n.inbox[to] <- peerMessage{from: from, message: m} })
}

// control runs what the control goroutine of a daemon does for the limits.
func (n *limitNet) control(ctx context.Context, l *customerLimits, inbox chan peerMessage) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			switch message := m.message.(type) {
			case *SliceRequest:
				l.lend(time.Now(), m.from, message)
			case *Slice:
				l.receive(m.from, message)
			}
		case <-tick.C:
			l.tick(time.Now())
		}
	}
}

func (n *limitNet) setCut(vm string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[vm] = cut
}

func limitedCustomer(rate float64, tokens bool) catalog.Customer {
	return catalog.Customer{Name: "acme", Limit: catalog.CustomerLimit{Rate: rate, Burst: rate, Tokens: tokens}}
}

// Guards against a customer that exceeds its limit through several daemons at once, a
// Retry-After that isn't true, and refused requests that use up tokens.
func TestCustomerLimitHoldsOverAllDaemons(t *testing.T) {
	for _, tokens := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			need := 1
			if tokens {
				need = 1000
			}
			customer := limitedCustomer(100*float64(need), tokens)
			net, stop := newLimitNet(t, 5, catalog.Config{Customers: []catalog.Customer{customer}})
			defer stop()
			ran, refused, again := 0, 0, 0
			began := time.Now()
			for i := range 2000 {
				l := net.nodes[net.homes.IDs()[i%5]]
				done, retryAfter, ok := l.admit(t.Context(), &customer, 1000)
				if ok {
					// A tenth never runs.
					done(i%10 != 0)
					if i%10 != 0 {
						ran++
					}
				} else {
					refused++
					g.Expect(retryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", time.Second)))
					if refused%20 == 0 {
						time.Sleep(retryAfter)
						if done, _, ok = l.admit(t.Context(), &customer, 1000); ok {
							again++
							ran++
							done(true)
						}
					}
				}
				time.Sleep(2 * time.Millisecond)
			}
			g.Expect(refused).To(BeNumerically(">", 500))
			g.Expect(again).To(BeNumerically(">=", refused/20-2))
			// The rate, the burst, the extras of a quarter of a second, and a few more for
			// refunds on their way.
			allowed := 100*time.Since(began).Seconds() + 100
			g.Expect(float64(ran)).To(And(BeNumerically(">", 0.97*allowed-5), BeNumerically("<", allowed+30)))
		})
	}
}

// Guards against requests that hang or are refused while the home of their customer
// is silent, and against daemons that admit without bound when they reach none.
func TestSilentHomeOfACustomerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		customer := limitedCustomer(1e6, true)
		net, stop := newLimitNet(t, 5, catalog.Config{Customers: []catalog.Customer{customer}})
		defer stop()
		home, deputy := newRankedHomes().of(net.homes, "acme")
		var l *customerLimits
		for vm, node := range net.nodes {
			if vm != home && vm != deputy {
				l = node
			}
		}
		serve := func(n, tokens int) (admitted int, longest time.Duration) {
			for range n {
				began := time.Now()
				if done, _, ok := l.admit(t.Context(), &customer, tokens); ok {
					admitted++
					done(true)
				}
				longest = max(longest, time.Since(began))
				time.Sleep(10 * time.Millisecond)
			}
			return admitted, longest
		}
		admitted, longest := serve(50, 5000)
		g.Expect(admitted).To(Equal(50))
		g.Expect(longest).To(BeNumerically("<", 10*time.Millisecond))
		net.setCut(home, true)
		admitted, longest = serve(50, 5000)
		g.Expect(admitted).To(Equal(50))
		g.Expect(longest).To(BeNumerically("<", 50*time.Millisecond))
		net.setCut(deputy, true)
		began := time.Now()
		admitted, longest = serve(200, 60_000)
		// A fifth of the rate and of the level, and slices that are left.
		g.Expect(float64(admitted * 60_000)).To(And(BeNumerically(">", 1e6), BeNumerically("<", 2e5*time.Since(began).Seconds()+1e6)))
		g.Expect(longest).To(BeNumerically("<", 300*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, _, ok := l.admit(ctx, &customer, 1e6)
		g.Expect(ok).To(BeFalse())
		g.Expect(l.borrower.Home("acme")).To(Equal(home))
		net.setCut(home, false)
		time.Sleep(time.Second)
		_, longest = serve(20, 1000)
		g.Expect(longest).To(BeNumerically("<", 10*time.Millisecond))
	})
}

// Guards against an unusable limit that replaces the last good one or is logged with
// each configuration, and against limits that stay in force after their withdrawal.
func TestUnusableCustomerLimitKeepsTheLastGoodOne(t *testing.T) {
	g := NewWithT(t)
	events := event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop())
	defer events.Close()
	l := newCustomerLimits("vm", DefaultSettings().CustomerLimits, events)
	var current *catalog.Catalog
	apply := func(customer catalog.Customer) catalog.CustomerLimit {
		cfg := catalog.Config{Customers: []catalog.Customer{customer}}
		l.configChanged(&cfg, current)
		current = catalog.New(cfg)
		return current.CustomerNamed("acme").Limit
	}
	bad := customerLimitsBad.Get()
	broken := catalog.Customer{Name: "acme", LimitError: errors.New("rate_per_s is negative")}
	g.Expect(apply(broken)).To(BeZero())
	good := limitedCustomer(1000, true)
	g.Expect(apply(good).Rate).To(Equal(1000.0))
	g.Expect(apply(broken)).To(Equal(good.Limit))
	g.Expect(apply(broken)).To(Equal(good.Limit))
	g.Expect(customerLimitsBad.Get() - bad).To(BeEquivalentTo(2))
	g.Expect(apply(limitedCustomer(500, true)).Rate).To(Equal(500.0))
	g.Expect(apply(catalog.Customer{Name: "acme"})).To(BeZero())
}

// Guards against slice messages of a faulty daemon that change a level, and against
// answers of daemons that were not asked.
func TestBadSliceMessagesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	events := event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop())
	defer events.Close()
	l := newCustomerLimits("vm", DefaultSettings().CustomerLimits, events)
	before := sliceMessagesBad.Get()
	l.lend(time.Now(), "other", &SliceRequest{limit.SliceRequest{Customer: "acme", Debt: math.Inf(-1)}})
	l.receive("other", &Slice{limit.Slice{Customer: "acme", Tokens: math.NaN()}})
	g.Expect(sliceMessagesBad.Get() - before).To(BeEquivalentTo(2))
	customer := limitedCustomer(1000, true)
	l.borrower.NoteHome(time.Now(), "acme", "home", "deputy")
	d := l.borrower.Take(time.Now(), "acme", limitsOf(customer.Limit), 10, false)
	l.receive("other", &Slice{limit.Slice{Customer: "acme", Seq: d.Ask.Seq, Tokens: 1000, Lifetime: time.Second}})
	g.Expect(l.borrower.Take(time.Now(), "acme", limitsOf(customer.Limit), 10, true).Verdict).To(Equal(limit.Pending))
}

// Guards against two homes that lend the same limit: daemons that a home can't reach may
// have one of their own, and a daemon that is not the home must not answer as one.
func TestHomeLendsOnlyItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net, stop := newLimitNet(t, 5, catalog.Config{Customers: []catalog.Customer{limitedCustomer(1000, true)}})
		defer stop()
		home, deputy := newRankedHomes().of(net.homes, "acme")
		l := net.nodes[home]
		l.daemons = func() (int, int) { return 3, 6 }
		g.Expect(l.limits("acme").TokenBurst).To(BeNumerically("~", 520, 0.1))
		g.Expect(l.limits("acme").TokensPerMinute).To(BeNumerically("~", 31_200, 1))
		answers := 0
		for vm, node := range net.nodes {
			node.send = func(string, peer.Message) { answers++ }
			node.lend(time.Now(), "x", &SliceRequest{limit.SliceRequest{Customer: "acme", Seq: 1, TokensMin: 1, Deputy: vm != home && vm != deputy}})
		}
		g.Expect(answers).To(Equal(1))
	})
}

// Guards against a request that leaves while it waits and is counted as waiting for ever,
// so that the daemon borrows for it.
func TestAbandonedRequestNoLongerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		customer := limitedCustomer(1000, true)
		net, stop := newLimitNet(t, 2, catalog.Config{Customers: []catalog.Customer{customer}})
		defer stop()
		home, deputy := newRankedHomes().of(net.homes, "acme")
		net.setCut(home, true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		_, _, ok := net.nodes[deputy].admit(ctx, &customer, 900)
		g.Expect(ok).To(BeFalse())
		net.setCut(home, false)
		time.Sleep(time.Second)
		d, _ := net.nodes[deputy].take("acme", limitsOf(customer.Limit), 20, false)
		g.Expect(d.Ask.TokensDue).To(Equal(20.0))
	})
}

// The cost of a request at 9,300 customers and 320 daemons, with the work of the home.
// BenchmarkQuota of package limit has that of the ticks.
func BenchmarkCustomerAdmit(b *testing.B) {
	events := event.NewRecorder(hlc.New(time.Now), "vm-0", nil, zerolog.Nop())
	defer events.Close()
	var candidates []member.Candidate
	for i := range 320 {
		candidates = append(candidates, member.Candidate{ID: fmt.Sprint("vm-", i)})
	}
	homes := member.NewSet(candidates)
	l := newCustomerLimits("vm-0", DefaultSettings().CustomerLimits, events)
	l.home = limit.NewHome(time.Now().Add(-time.Hour))
	customers := make([]catalog.Customer, 9300)
	for i := range customers {
		customers[i] = limitedCustomer(1e6, true)
		customers[i].Name = fmt.Sprint("customer-", i)
	}
	c := catalog.New(catalog.Config{Customers: customers})
	l.catalog = func() *catalog.Catalog { return c }
	l.homes = func() *member.Set { return homes }
	l.daemons = func() (int, int) { return 320, 320 }
	l.send = func(to string, m peer.Message) {
		switch m := m.(type) {
		case *SliceRequest:
			// Plays the home of each customer.
			l.vm = to
			l.lend(time.Now(), "vm-0", m)
		case *Slice:
			l.receive(l.vm, m)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if done, _, ok := l.admit(b.Context(), &customers[i*7919%len(customers)], 8000); ok {
			done(true)
		}
	}
}
