package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var ruleLimits = Limits{TokensPerMinute: 60e6, TokenBurst: 1e6}

// Guards against extras that add up to more than the bound allows, slices that hold
// scarce tokens for long, and a lowered limit that leaves a higher level.
func TestQuotaHomeBoundsWhatItLends(t *testing.T) {
	g := NewWithT(t)
	home := NewHome(start.Add(-time.Hour))
	lent := 0.0
	for i := range 20 {
		lent += home.Lend(start, string(rune('a'+i)), SliceRequest{Customer: "c", Seq: 1, Tokens: 1e6}, ruleLimits, 0, 1).Tokens
	}
	g.Expect(lent).To(BeNumerically("~", 1e6*extraTime.Seconds(), 1000))
	plenty := home.Lend(start, "x", SliceRequest{Customer: "d", Seq: 1, TokensMin: 1e5}, ruleLimits, 0, 1)
	g.Expect(plenty.Lifetime).To(Equal(quotaLifetime))
	scarce := home.Lend(start, "x", SliceRequest{Customer: "d", Seq: 2, TokensMin: 6e5}, ruleLimits, 0, 1)
	g.Expect(scarce.Lifetime).To(Equal(contendedLifetime))
	lowered := Limits{TokensPerMinute: 6e6, TokenBurst: 1e5}
	g.Expect(home.Lend(start, "x", SliceRequest{Customer: "d", Seq: 3}, lowered, 0, 1).Level).To(BeNumerically("<=", 1e5))
}

// Guards against a second request in advance before the home has answered, a small
// request that is refused for a large one, and tokens of a deputy that the home is
// never charged for.
func TestQuotaBorrowerAsksAndSettles(t *testing.T) {
	g := NewWithT(t)
	b := NewBorrower()
	b.Daemons = 10
	take := func(now time.Time, tokens int) Decision {
		b.NoteHome(now, "c", "h", "d")
		return b.Take(now, "c", ruleLimits, tokens, false)
	}
	first := take(start, 1000)
	g.Expect(first.Verdict).To(Equal(Pending))
	b.ReceiveFrom(start, "h", Slice{Customer: "c", Seq: first.Ask.Seq, Tokens: 1000, Level: 9e5, Lifetime: quotaLifetime})
	g.Expect(b.Take(start, "c", ruleLimits, 1000, true).Verdict).To(Equal(Admitted))
	advance := take(start, 50_000)
	g.Expect(advance.Verdict).To(Equal(Admitted))
	g.Expect(advance.Ask.Debt).To(Equal(50_000.0))
	g.Expect(take(start, 50_000).Verdict).To(Equal(Pending))

	// The home refuses the large request only.
	b.ReceiveFrom(start, "h", Slice{Customer: "c", Seq: advance.Ask.Seq})
	large := take(start.Add(askInterval), 80_000)
	b.ReceiveFrom(start.Add(askInterval), "h", Slice{Customer: "c", Seq: large.Ask.Seq, RetryAfter: time.Second})
	g.Expect(take(start.Add(askInterval), 80_000).Verdict).To(Equal(Refused))
	small := take(start.Add(askInterval), 500)
	g.Expect(small.Verdict).To(Equal(Pending))

	// The home is silent, and the deputy lends.
	now := start.Add(askInterval + b.Timeout)
	asked := b.Take(now, "c", ruleLimits, 500, true)
	g.Expect(asked.To).To(Equal("d"))
	g.Expect(asked.Ask.Deputy).To(BeTrue())
	b.ReceiveFrom(now, "d", Slice{Customer: "c", Seq: asked.Ask.Seq, Tokens: 7000, Lifetime: quotaLifetime})
	now = now.Add(askInterval)
	settled := b.Settle(now)
	g.Expect(settled).To(HaveLen(1))
	g.Expect(settled[0].Debt).To(Equal(7000.0))
}

// Guards against requests that nobody answers while a new home does not know yet that it
// is one: the former one stands in for it for some seconds.
func TestFormerHomeOfAQuotaIsItsDeputy(t *testing.T) {
	g := NewWithT(t)
	home := NewHome(start.Add(-time.Hour))
	home.Lend(start, "x", SliceRequest{Customer: "c", Seq: 1, TokensMin: 1e5}, ruleLimits, 0, 1)
	home.OwnershipChanged(start, func(string) bool { return false })
	home.Deputize(start, "c")
	lent := home.Lend(start, "x", SliceRequest{Customer: "c", Seq: 2, TokensMin: 1e5, Deputy: true}, ruleLimits, 0, 1)
	g.Expect(lent.Tokens).To(Equal(1e5))
	home.Observe(start.Add(time.Second))
	home.Observe(start.Add(2 * time.Second))
	home.Observe(start.Add(3 * time.Second))
	g.Expect(home.Len()).To(BeZero())
}
