package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a grace so short that nothing is served in it, and against one in which
// requests are answered only after the process has been killed.
func TestShutdownTimesFitIntoTheGrace(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 3 * time.Second, 8 * time.Second, time.Minute} {
		g := NewWithT(t)
		times := shutdownTimes(begin, grace)
		g.Expect(times.AcceptUntil).To(BeTemporally(">", begin), grace.String())
		g.Expect(times.PlaceUntil).To(BeTemporally(">=", begin.Add(grace*3/8)), grace.String())
		g.Expect(times.End).To(BeTemporally(">", times.PlaceUntil), grace.String())
		g.Expect(times.AcceptUntil).To(BeTemporally("<=", times.End), grace.String())
		g.Expect(times.End.Add(drainAnswerTime)).To(BeTemporally("<", begin.Add(grace)), grace.String())
	}
}
