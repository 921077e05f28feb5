package limit

import (
	"os"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	testseed.Fix(13, 2000)
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// cluster simulates daemons that serve one customer, whose home is daemon 0.
type cluster struct {
	now         time.Time
	limits      Limits
	home        *Home
	daemons     []*Borrower
	unreachable []bool
	running     []int
	partitioned bool
	admitted    []time.Time
	messages    int
}

func newCluster(n int, limits Limits) *cluster {
	c := &cluster{now: start, limits: limits, home: NewHome(start.Add(-time.Hour)), unreachable: make([]bool, n), running: make([]int, n)}
	for range n {
		c.daemons = append(c.daemons, NewBorrower())
	}
	return c
}

func (c *cluster) send(i int, req SliceRequest) {
	c.messages++
	if !c.unreachable[i] {
		c.daemons[i].Receive(c.now, c.home.Lend(c.now, string(rune('a'+i)), req, c.limits, i, len(c.daemons)))
	}
}

// request sends one client request to daemon i and returns the final decision.
func (c *cluster) request(i, tokens int) Decision {
	d := c.daemons[i].Take(c.now, "c", c.limits, tokens, false)
	if d.Ask != nil {
		c.send(i, *d.Ask)
	}
	if d.Verdict == Pending {
		if d = c.daemons[i].Take(c.now, "c", c.limits, tokens, true); d.Verdict == Pending {
			d = c.daemons[i].TakeShare(c.now, "c", c.limits, tokens, i, len(c.daemons))
		}
	}
	if d.Verdict == Admitted {
		c.running[i]++
		c.admitted = append(c.admitted, c.now)
	}
	return d
}

func (c *cluster) renew() {
	for i, b := range c.daemons {
		for _, req := range b.Renew(c.now, func(string) Limits { return c.limits }) {
			c.send(i, req)
		}
	}
}

func (c *cluster) totalRunning() int {
	sum := 0
	for _, r := range c.running {
		sum += r
	}
	return sum
}

// Guards against a customer that exceeds the bounds in the package comment: the
// limit while all daemons reach the home, twice the limit under partitions.
func TestBoundsUnderPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{RequestsPerSecond: 10, Burst: 5, Concurrency: rapid.IntRange(1, 9).Draw(t, "concurrency")}
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "daemons"), limits)
		daemon := func(t *rapid.T) int { return rapid.IntRange(0, len(c.daemons)-1).Draw(t, "i") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				c.renew()
				factor := 1
				if c.partitioned {
					factor = 2
				}
				if c.totalRunning() > factor*limits.Concurrency {
					t.Fatalf("%d requests running, limit is %d, partitions: %v", c.totalRunning(), limits.Concurrency, c.partitioned)
				}
				for i, from := range c.admitted {
					window := c.now.Sub(from) + SliceTTL
					bound := float64(factor) * (limits.Burst + limits.RequestsPerSecond*window.Seconds())
					if n := len(c.admitted) - i; float64(n) > bound+1 {
						t.Fatalf("%d requests admitted in %v, bound %g, partitions: %v", n, window-SliceTTL, bound, c.partitioned)
					}
				}
			},
			"request": func(t *rapid.T) {
				i := daemon(t)
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					c.request(i, 10)
				}
			},
			"done": func(t *rapid.T) {
				i := daemon(t)
				if c.running[i] > 0 {
					c.running[i]--
					c.daemons[i].Done(c.now, "c", 10, 10)
				}
			},
			"cut": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
					i := daemon(t)
					c.unreachable[i] = !c.unreachable[i]
					c.partitioned = true
				}
			},
		})
	})
}

// Guards against messages for idle customers. With 9,300 customers and 320 daemons
// they would exceed the budget for control traffic.
func TestIdleCustomerSendsNoMessages(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3, Limits{RequestsPerSecond: 10, Burst: 5, Concurrency: 4, TokensPerMinute: 6000})
	g.Expect(c.request(1, 10).Verdict).To(Equal(Admitted))
	c.daemons[1].Done(c.now, "c", 10, 10)
	for range 20 {
		c.now = c.now.Add(SliceTTL / 2)
		c.renew()
	}
	sent := c.messages
	c.now = c.now.Add(2 * HoldTime)
	c.renew()
	c.home.Forget(c.now, func(string) Limits { return c.limits })
	g.Expect(c.messages).To(Equal(sent))
	g.Expect(c.home.Len()).To(BeZero())
	g.Expect(c.daemons[1].customers).To(BeEmpty())
}

// Guards against a RetryAfter after which a request is refused again, and against
// admitting a customer less than its rate.
func TestRequestAfterRetryAfterIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3, Limits{RequestsPerSecond: 10, Burst: 5, TokensPerMinute: 60_000})
	admitted := 0
	for range 200 {
		d := c.request(1, 50)
		if d.Verdict == Admitted {
			admitted++
			c.daemons[1].Done(c.now, "c", 50, 50)
			continue
		}
		g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
		c.now = c.now.Add(d.RetryAfter)
		g.Expect(c.request(1, 50).Verdict).To(Equal(Admitted))
		c.daemons[1].Done(c.now, "c", 50, 50)
		admitted++
	}
	seconds := c.now.Sub(start).Seconds()
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.9*10*seconds))
}

// Guards against a customer that exceeds its token limit with answers longer than
// estimated.
func TestTokensBeyondTheEstimateAreCharged(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, Limits{TokensPerMinute: 6000})
	used := 0
	for c.now.Before(start.Add(5 * time.Minute)) {
		if c.request(1, 10).Verdict == Admitted {
			c.daemons[1].Done(c.now, "c", 10, 500)
			used += 500
		}
		c.now = c.now.Add(50 * time.Millisecond)
	}
	g.Expect(used).To(BeNumerically("<=", 6000*5+1000+6*500))
	g.Expect(used).To(BeNumerically(">=", 6000*4))
}

// Guards against a slice that is twice as large as the demand, because a request
// that waited for the home is counted again.
func TestWaitingRequestIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{RequestsPerSecond: 100, Burst: 100, TokensPerMinute: 6000}
	b := NewBorrower()
	first := b.Take(start, "c", limits, 10, false)
	g.Expect(first.Ask.Requests).To(Equal(1.0))
	b.Receive(start, Slice{Customer: "c", Seq: first.Ask.Seq, Requests: 1, Tokens: 10})
	g.Expect(b.Take(start, "c", limits, 10, true).Verdict).To(Equal(Admitted))
	later := start.Add(SliceTTL)
	second := b.Take(later, "c", limits, 10, false)
	g.Expect(second.Ask.Requests).To(Equal(1.0))
	g.Expect(second.Ask.Tokens).To(Equal(10.0))
}

// Guards against a request that waits for the home although its daemon could have
// asked for more tokens while earlier requests used them up.
func TestSliceIsRenewedBeforeItsTokensRunOut(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{TokensPerMinute: 60_000}
	b := NewBorrower()
	first := b.Take(start, "c", limits, 10, false)
	b.Receive(start, Slice{Customer: "c", Seq: first.Ask.Seq, Tokens: 100})
	now := start.Add(askInterval)
	var early *SliceRequest
	for range 10 {
		d := b.Take(now, "c", limits, 10, false)
		g.Expect(d.Verdict).To(Equal(Admitted))
		if early == nil {
			early = d.Ask
		}
	}
	g.Expect(early).NotTo(BeNil())
}
