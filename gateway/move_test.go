package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// stopFirstEngine announces to the request that its first engine is about to
// stop.
func (w *testEnv) stopFirstEngine() {
	w.mu.Lock()
	leaving := w.granted[0].OnEngineStopping
	w.mu.Unlock()
	leaving()
}

func (w *testEnv) refuse(r *Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusal = r
}

// Guards against a stream that loses or repeats tokens, counts as failed or
// uses the retry budget when it is moved before its engine stops.
func TestStreamMovesBeforeItsEngineStops(t *testing.T) {
	for name, body := range map[string]string{"streamed": streamBody, "whole": chatBody} {
		t.Run(name, func(t *testing.T) {
			first := &enginetest.Engine{Tokens: 6, Delay: time.Second}
			second := &enginetest.Engine{Tokens: 6}
			runWithGateway(t, Config{}, func(w *testEnv) {
				g := NewWithT(w.t)
				budget := w.gateway.retryBudget.balance.Load()
				time.AfterFunc(2500*time.Millisecond, w.stopFirstEngine)
				got := w.send("POST", "/v1/chat/completions", body)
				if body == streamBody {
					text, whole := streamText(got.body)
					g.Expect(whole).To(BeTrue())
					g.Expect(text).To(Equal(enginetest.Text(6)))
				} else {
					g.Expect(got.body).To(ContainSubstring(`"content":"` + enginetest.Text(6) + `"`))
				}
				g.Expect(second.Requests()).To(HaveLen(1))
				g.Expect(second.Requests()[0].ResumeFrom).To(Equal(2))
				g.Expect(w.releases()).To(HaveLen(2))
				g.Expect(w.releases()[1].Failure).To(Equal(ReasonMoved))
				g.Expect(w.gateway.retryBudget.balance.Load()).To(BeNumerically(">=", budget))
				for _, reason := range retryReasons {
					g.Expect(w.gateway.metrics.failures[reason].Get()).To(BeZero())
				}
				g.Expect(w.gateway.metrics.moves.Get()).To(BeEquivalentTo(1))
				g.Expect(w.usageEntries()[0].TokensOut).To(BeEquivalentTo(6))
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
	runWithGateway(t, Config{}, func(w *testEnv) {
		g := NewWithT(w.t)
		time.AfterFunc(1500*time.Millisecond, func() {
			w.refuse(&Refusal{Status: 503, Code: "no_engine"})
			w.stopFirstEngine()
		})
		time.AfterFunc(3400*time.Millisecond, func() { w.refuse(nil) })
		text, whole := streamText(w.send("POST", "/v1/chat/completions", streamBody).body)
		g.Expect(whole).To(BeTrue())
		g.Expect(text).To(Equal(enginetest.Text(6)))
		g.Expect(second.Requests()).To(HaveLen(1))
		g.Expect(second.Requests()[0].ResumeFrom).To(Equal(3))

		w.refuse(nil)
		time.AfterFunc(500*time.Millisecond, func() {
			w.refuse(&Refusal{Status: 503, Code: "no_engine"})
			w.stopFirstEngine()
		})
		_, whole = streamText(w.send("POST", "/v1/chat/completions", streamBody).body)
		g.Expect(whole).To(BeTrue())
	}, first, second)
}
