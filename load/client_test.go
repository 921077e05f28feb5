package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/onsi/gomega"
)

// Guards against coordinated omission: the times of a request that is sent late
// must be measured from its planned arrival, not from the sending.
func TestTimesAreMeasuredFromThePlannedArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	service := engine.NewServer(engine.ServerConfig{Engine: engine.Default("e", "m"), TimeScale: 100})
	defer service.Close()
	server := httptest.NewServer(service)
	defer server.Close()
	const late = 5 * time.Second
	c := &client{
		base:        server.URL,
		http:        http.DefaultClient,
		workload:    Workload{Model: "m", Customers: []Customer{{Name: "c"}}},
		start:       time.Now().Add(-late),
		idleTimeout: time.Minute,
	}
	arrival := Arrival{Kind: KindInteractive, Prefix: -1, PromptTokens: 30, OutputTokens: 5}
	result := c.do(context.Background(), arrival)
	g.Expect(result.Outcome).To(gomega.Equal(OutcomeWhole))
	g.Expect(result.Lag).To(gomega.BeNumerically(">=", late))
	g.Expect(result.FirstToken).To(gomega.BeNumerically(">=", late))
	g.Expect(result.Total).To(gomega.BeNumerically(">=", result.FirstToken))
	g.Expect(result.Good()).To(gomega.BeFalse())
}
