package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
)

// Guards against limits that are passed on with every answer, and against changes
// that are not passed on.
func TestLimitsArePassedOnWhenTheyChange(t *testing.T) {
	g := NewWithT(t)
	l := newServerLimits(event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.Nop()))
	now := time.Now()
	g.Expect(l.update(now, "a", 0, false)).To(BeFalse())
	g.Expect(l.update(now, "a", 2, true)).To(BeTrue())
	g.Expect(l.update(now, "a", 2, true)).To(BeFalse())
	g.Expect(l.update(now, "a", 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), "a", 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), "a", 0, false)).To(BeTrue())
	g.Expect(l.update(now.Add(limitRefresh), "a", 0, false)).To(BeFalse())
	g.Expect(l.update(now, "gone", 1, true)).To(BeTrue())
	g.Expect(l.update(now.Add(2*limitForget), "b", 1, true)).To(BeTrue())
	g.Expect(l.named).To(HaveLen(1))
}
