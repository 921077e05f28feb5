package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// Guards against streams that continue although it is unknown whether their key
// was withdrawn, and against an interrupted stream that looks complete.
func TestUnverifiedKeysEndTheirStreams(t *testing.T) {
	engine := &enginetest.Engine{Tokens: 100, Delay: 20 * time.Second}
	runWithGateway(t, Config{}, func(e *testEnv) {
		g := NewWithT(e.t)
		time.AfterFunc(30*time.Second, func() { g.Expect(e.gateway.Sessions().EndUnverified()).To(Equal(1)) })
		got := e.send("POST", "/v1/chat/completions", streamBody)
		_, whole := streamText(got.body)
		g.Expect(whole).To(BeFalse())
		g.Expect(got.body).To(ContainSubstring(`"code":"authorization_unverified"`))
		time.Sleep(time.Second)
		g.Expect(engine.Canceled()).To(HaveLen(1))
		g.Expect(e.gateway.Outstanding()).To(BeZero())
		g.Expect(e.gateway.Sessions().EndUnverified()).To(BeZero())
	}, engine)
}

// Guards against an attempt that starts after the key was withdrawn or its
// state became unknown. This happens if the key is checked only when the
// request arrives, and the process is paused later.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	changes := map[string]func(e *testEnv){
		"key_state_unknown": func(e *testEnv) { e.keysUnverified.Store(true) },
		"key_withdrawn":     func(e *testEnv) { e.removeKeys() },
	}
	for code, change := range changes {
		t.Run(code, func(t *testing.T) {
			var env *testEnv
			breaking := &enginetest.Engine{Tokens: 6, RewriteFrames: func(_ *http.Request, i int, frame string) ([]string, bool) {
				if i == 2 {
					change(env)
				}
				return []string{frame}, i != 2
			}}
			second := &enginetest.Engine{Tokens: 6}
			runWithGateway(t, Config{}, func(e *testEnv) {
				g := NewWithT(e.t)
				env = e
				got := e.send("POST", "/v1/chat/completions", streamBody)
				_, whole := streamText(got.body)
				g.Expect(whole).To(BeFalse())
				g.Expect(got.body).To(ContainSubstring(`"code":"` + code + `"`))
				g.Expect(second.Requests()).To(BeEmpty())
			}, breaking, second)
		})
	}
}

// removeKeys removes all keys from the directory without ending the running
// requests.
func (e *testEnv) removeKeys() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys = nil
}
