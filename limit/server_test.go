package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against more requests than a server has named in any time, however the
// limit changes and requests arrive.
func TestServerLimitBoundsRequestsInAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Server
		now := time.Unix(1000, 0)
		rates := rapid.Float64Range(0.1, 20)
		lowest := rates.Draw(t, "rate")
		highest := lowest
		s.Set(now, lowest)
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "named again") == 0 {
				rate := rates.Draw(t, "rate")
				highest = max(highest, rate)
				s.Set(now, rate)
			}
			if s.Wait(now) == 0 && s.Active(now) {
				s.Take(now)
				taken = append(taken, now)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				span := taken[j].Sub(taken[i]).Seconds()
				if allowed := highest*span + max(highest, 1) + 1e-3; float64(j-i+1) > allowed {
					t.Fatalf("%d requests in %.2f s, allowed %.2f", j-i+1, span, allowed)
				}
			}
		}
	})
}

// Guards against limits that outlive their server's word, that end while the server
// gets a request less often than that, and against a server that is never asked again.
func TestServerLimitEnds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var s Server
	g.Expect(s.Wait(now)).To(BeZero())
	s.Set(now, 2)
	g.Expect(s.Wait(now)).To(BeNumerically("~", time.Second/2, time.Millisecond))
	g.Expect(s.Active(now.Add(3 * time.Second))).To(BeTrue())
	g.Expect(s.Active(now.Add(4 * time.Second))).To(BeFalse())
	s.Set(now, 0.1)
	g.Expect(s.Active(now.Add(30 * time.Second))).To(BeTrue())
	s.Lift()
	s.Set(now, 0)
	g.Expect(s.Wait(now)).To(BeNumerically("~", 20*time.Second, time.Second))
	s.Lift()
	g.Expect(s.Wait(now)).To(BeZero())
	s.Exclude(now)
	g.Expect(s.Wait(now.Add(time.Second))).To(Equal(exclusion - time.Second))
	g.Expect(s.Wait(now.Add(exclusion))).To(BeZero())
}

// Guards against a server that is limited again and at once gets what it did not get
// while it was free.
func TestNewServerLimitBeginsWithoutCredit(t *testing.T) {
	g := NewWithT(t)
	var s Server
	now := time.Unix(1000, 0)
	s.Set(now, 5)
	now = now.Add(time.Minute)
	s.Set(now, 5)
	g.Expect(s.Wait(now)).To(BeNumerically(">", 100*time.Millisecond))
}
