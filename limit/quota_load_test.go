package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testRates = []float64{200_000, 600_000, 1_500_000}

// quotaFailures are failures of the home of a customer, daemon 0, after ten seconds.
// The members give it up after two seconds, and know that it is back after half a
// second.
var quotaFailures = map[string]func(s *quotaSim){
	"none": func(*quotaSim) {},
	"killed": func(s *quotaSim) {
		s.daemons[0].down = true
		s.run(2 * time.Second)
		s.moveHome(0, 1, 2, 1)
	},
	"frozen": func(s *quotaSim) {
		s.daemons[0].paused = s.now.Add(5 * time.Second)
		s.run(2 * time.Second)
		s.moveHome(0, 1, 2, 1)
		s.run(3500 * time.Millisecond)
		s.moveHome(0, 0, 1, 1)
	},
	"split": func(s *quotaSim) {
		cut := append([]*testDaemon{s.daemons[0]}, s.daemons[2:28]...)
		for _, d := range cut {
			d.side = 1
		}
		s.run(2 * time.Second)
		s.moveHome(0, 1, 2, 55./82+.02)
		s.moveHome(1, 0, 3, 27./82+.02)
		s.run(6 * time.Second)
		for _, d := range cut {
			d.side = 0
		}
		s.run(500 * time.Millisecond)
		s.moveHome(0, 0, 1, 1)
	},
}

// play runs a load of a multiple of the limit for 30 s with a failure.
func play(seed uint64, rate, factor float64, failure string) *quotaSim {
	s := newQuotaSim(seed, rate)
	s.load(rate*factor, 30*time.Second)
	s.run(10 * time.Second)
	quotaFailures[failure](s)
	s.run(start.Add(35 * time.Second).Sub(s.now))
	return s
}

func (s *quotaSim) total() float64 {
	sum := 0.0
	for _, a := range s.admitted {
		sum += a.tokens
	}
	return sum
}

// Guards against a customer that runs more than the invariant allows at ten times its
// limit, and against one that gets much less than its limit, with and without a failure
// of its home.
func TestQuotaInvariantAtTenTimesTheLimit(t *testing.T) {
	for failure := range quotaFailures {
		t.Run(failure, func(t *testing.T) {
			g := NewWithT(t)
			for i, rate := range testRates {
				s := play(uint64(i), rate, 10, failure)
				share := s.total() / s.owed
				t.Logf("rate %g: %.3f of the bound, %.3f of the limit, %.2f messages per request", rate, s.worst(s.limits, start), share, float64(s.messages)/float64(s.requests))
				g.Expect(s.worst(s.limits, start)).To(BeNumerically("<=", 1))
				if failure == "none" {
					g.Expect(share).To(BeNumerically(">=", 0.99))
				}
				g.Expect(share).To(BeNumerically(">=", 0.9))
			}
		})
	}
}

// Guards against refusals of customers at 1/1.8 of their limit, whose requests are
// large beside the part of one daemon: with and without failures they lose less than
// 1% in all. A failure counts like the home of one customer in three fails in 30 s.
func TestQuotaBelowTheLimitIsServed(t *testing.T) {
	lost, owed := 0.0, 0.0
	for _, failure := range []string{"none", "killed", "frozen", "split"} {
		for i, rate := range testRates {
			s := play(uint64(i)+10, rate, 1/1.8, failure)
			t.Logf("%s, rate %g: lost %.4f, %.2f messages per request, %.2f of the requests waited", failure, rate, s.lost/s.owed,
				float64(s.messages)/float64(s.requests), float64(s.waited)/float64(s.requests))
			NewWithT(t).Expect(s.worst(s.limits, start)).To(BeNumerically("<=", 1))
			lost, owed = lost+s.lost, owed+s.owed
			if failure == "none" {
				NewWithT(t).Expect(s.lost / s.owed).To(BeNumerically("<", 0.001))
			}
		}
	}
	t.Logf("lost in all: %.4f", lost/owed)
	NewWithT(t).Expect(lost / owed).To(BeNumerically("<", 0.01))
}

// Guards against a lowered limit that is exceeded in a window that begins after all
// daemons were reached, and against limits that change twice in a second.
func TestQuotaLoweredLimitIsBinding(t *testing.T) {
	for i, rate := range testRates {
		s := newQuotaSim(uint64(i)+20, rate)
		s.load(rate*10, 30*time.Second)
		s.run(10 * time.Second)
		changed := s.now
		low := s.limits
		for step, factor := range []float64{3, 0.25} {
			low = Limits{TokensPerMinute: rate * 60 * factor, TokenBurst: rate * factor}
			for _, d := range s.daemons {
				s.after(time.Duration(500*step+s.rng.IntN(500))*time.Millisecond, func() { d.limits = low })
			}
			s.run(500 * time.Millisecond)
		}
		s.run(24 * time.Second)
		share := s.worst(low, changed.Add(3*time.Second))
		t.Logf("rate %g: %.3f of the lowered bound", rate, share)
		NewWithT(t).Expect(share).To(BeNumerically("<=", 1))
	}
}

// Guards against the loss of tokens whose requests never ran: a customer whose requests
// are refused by a full pool half of the time has the limit for the others.
func TestQuotaOfRequestsThatNeverRanIsRefunded(t *testing.T) {
	s := newQuotaSim(30, 600_000)
	s.runs = func() bool { return s.rng.IntN(2) == 0 }
	s.load(1.6*600_000, 30*time.Second)
	s.run(32 * time.Second)
	ran := s.total() / 30 / 600_000
	t.Logf("%.3f of the limit ran, %.3f of the bound", ran, s.worst(s.limits, start))
	g := NewWithT(t)
	g.Expect(ran).To(BeNumerically(">", 0.75))
	g.Expect(s.worst(s.limits, start)).To(BeNumerically("<=", 1))
}

// Guards against a message per request within a slice, and against tokens that are lost
// because a daemon did not use them.
func TestQuotaSliceServesManyRequestsAndReturns(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{TokensPerMinute: 60e6, TokenBurst: 1e6}
	home, b := NewHome(start.Add(-time.Hour)), NewBorrower()
	now, messages := start, 0
	ask := func(req *SliceRequest) {
		if req != nil {
			messages++
			b.ReceiveFrom(now, "h", home.Lend(now, "d", *req, limits, 0, 1))
		}
	}
	for range 2000 {
		now = now.Add(time.Millisecond)
		b.NoteHome(now, "c", "h", "")
		d := b.Take(now, "c", limits, 200, false)
		ask(d.Ask)
		if d.Verdict == Pending {
			d = b.Take(now, "c", limits, 200, true)
		}
		g.Expect(d.Verdict).To(Equal(Admitted))
		b.Finish(now, "c", 200, true)
	}
	g.Expect(messages).To(BeNumerically("<", 50))
	// The home gets no new tokens, so that its level shows what is returned.
	limits.TokensPerMinute = 1e-6
	account := home.accounts["c"]
	for range 25 {
		now = now.Add(askInterval)
		for _, req := range b.Settle(now) {
			ask(&req)
		}
	}
	g.Expect(b.unsettled).To(BeEmpty())
	g.Expect(account.extras).To(BeZero())
	g.Expect(account.tokens.level).To(BeNumerically(">", 900_000))
}

// Guards against a home that wakes up after others have lent the limits of its
// customers, and lends them again.
func TestQuotaOfAStalledHomeStartsEmpty(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{TokensPerMinute: 60e6, TokenBurst: 1e6}
	home := NewHome(start.Add(-time.Hour))
	g.Expect(home.Observe(start)).To(BeFalse())
	g.Expect(home.Lend(start, "d", SliceRequest{Customer: "c", Seq: 1, TokensMin: 9e5}, limits, 0, 1).Tokens).To(Equal(9e5))
	woken := start.Add(5 * time.Second)
	g.Expect(home.Observe(woken)).To(BeTrue())
	late := home.Lend(woken, "d", SliceRequest{Customer: "c", Seq: 2, TokensMin: 9e5}, limits, 0, 1)
	g.Expect(late.Tokens).To(BeZero())
	g.Expect(late.RetryAfter).To(BeNumerically("~", 900*time.Millisecond, 10*time.Millisecond))
}

// Guards against amounts of a faulty daemon that empty or fill an account.
func TestBadQuotaAmountsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		for _, req := range []SliceRequest{{Tokens: bad}, {TokensMin: bad}, {TokensDue: bad}, {Level: bad}, {Held: bad}, {Returns: []Return{{Tokens: bad}}}} {
			g.Expect(req.Check()).NotTo(Succeed(), fmt.Sprint(req))
		}
		g.Expect((&Slice{Tokens: bad}).Check()).NotTo(Succeed())
	}
	g.Expect((&SliceRequest{Debt: math.NaN()}).Check()).NotTo(Succeed())
	g.Expect((&SliceRequest{LevelAge: -1}).Check()).NotTo(Succeed())
	g.Expect((&Slice{Lifetime: time.Hour}).Check()).NotTo(Succeed())
	g.Expect((&SliceRequest{Debt: -5, Tokens: 3, Returns: []Return{{1, 2}}}).Check()).To(Succeed())
}

// The cost of a request at 1,000 requests per second of 9,300 customers, with the
// messages and ticks of that time, on the daemon that is the home of all.
func BenchmarkQuota(b *testing.B) {
	limits := Limits{TokensPerMinute: 60e6, TokenBurst: 1e6}
	home, borrower := NewHome(start.Add(-time.Hour)), NewBorrower()
	names := make([]string, 9300)
	for i := range names {
		names[i] = fmt.Sprint("customer", i)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		name := names[i*7919%len(names)]
		borrower.NoteHome(now, name, "h", "")
		d := borrower.Take(now, name, limits, 8000, false)
		if d.Ask != nil {
			borrower.ReceiveFrom(now, "h", home.Lend(now, "d", *d.Ask, limits, 0, 1))
		}
		if d.Verdict == Pending {
			d = borrower.Take(now, name, limits, 8000, true)
		}
		if d.Verdict == Admitted {
			borrower.Finish(now, name, 8000, true)
		}
		if i%100 == 0 {
			home.Observe(now)
			for _, req := range borrower.Settle(now) {
				borrower.ReceiveFrom(now, "h", home.Lend(now, "d", req, limits, 0, 1))
			}
		}
	}
}
