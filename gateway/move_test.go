package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// stopFirstEngine announces to the request that its first engine is about to
// stop.
func (e *testEnv) stopFirstEngine() {
	e.mu.Lock()
	leaving := e.granted[0].OnEngineStopping
	e.mu.Unlock()
	leaving()
}

func (e *testEnv) refuse(r *Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusal = r
}

// Guards against a stream that loses or repeats tokens, counts as failed or
// uses the retry budget when it is moved before its engine stops.
func TestStreamMovesBeforeItsEngineStops(t *testing.T) {
	for name, body := range map[string]string{"streamed": streamBody, "whole": chatBody} {
		t.Run(name, func(t *testing.T) {
			first := &enginetest.Engine{Tokens: 6, Delay: time.Second}
			second := &enginetest.Engine{Tokens: 6}
			runWithGateway(t, Config{}, func(e *testEnv) {
				g := NewWithT(e.t)
				budget := e.gateway.retryBudget.balance.Load()
				time.AfterFunc(2500*time.Millisecond, e.stopFirstEngine)
				got := e.send("POST", "/v1/chat/completions", body)
				if body == streamBody {
					text, whole := streamText(got.body)
					g.Expect(whole).To(BeTrue())
					g.Expect(text).To(Equal(enginetest.Text(6)))
				} else {
					g.Expect(got.body).To(ContainSubstring(`"content":"` + enginetest.Text(6) + `"`))
				}
				g.Expect(second.Requests()).To(HaveLen(1))
				g.Expect(second.Requests()[0].ResumeFrom).To(Equal(2))
				g.Expect(e.releases()).To(HaveLen(2))
				g.Expect(e.releases()[1].Failure).To(Equal(ReasonMoved))
				g.Expect(e.gateway.retryBudget.balance.Load()).To(BeNumerically(">=", budget))
				for _, reason := range retryReasons {
					g.Expect(e.gateway.metrics.failures[reason].Get()).To(BeZero())
				}
				g.Expect(e.gateway.metrics.moves.Get()).To(BeEquivalentTo(1))
				g.Expect(e.usageEntries()[0].TokensOut).To(BeEquivalentTo(6))
			}, first, second)
		})
	}
}

// Guards against a stream that ends because no other engine can take it
// although its own engine still runs, and against a grant that is never
// released.
func TestStreamStaysUntilAnotherEngineIsGranted(t *testing.T) {
	first := &enginetest.Engine{Tokens: 6, Delay: time.Second}
	second := &enginetest.Engine{Tokens: 6}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		time.AfterFunc(1500*time.Millisecond, func() {
			e.refuse(&Refusal{Status: 503, Code: "no_engine"})
			e.stopFirstEngine()
		})
		time.AfterFunc(3400*time.Millisecond, func() { e.refuse(nil) })
		text, whole := streamText(e.send("POST", "/v1/chat/completions", streamBody).body)
		g.Expect(whole).To(BeTrue())
		g.Expect(text).To(Equal(enginetest.Text(6)))
		g.Expect(second.Requests()).To(HaveLen(1))
		g.Expect(second.Requests()[0].ResumeFrom).To(Equal(3))

		e.refuse(nil)
		time.AfterFunc(500*time.Millisecond, func() {
			e.refuse(&Refusal{Status: 503, Code: "no_engine"})
			e.stopFirstEngine()
		})
		_, whole = streamText(e.send("POST", "/v1/chat/completions", streamBody).body)
		g.Expect(whole).To(BeTrue())
	}, first, second)
}
