package cluster

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

// reports returns the figures of each reported usage window. It fails the test
// if a window was reported twice with different figures.
func (c *Cluster) reports(t *testing.T) map[int64][]hosting.UsageFigure {
	t.Helper()
	windows := map[int64][]hosting.UsageFigure{}
	for _, entry := range c.Platform.Audit().Reports {
		r := entry.Report
		if old, ok := windows[r.Window]; ok && !reflect.DeepEqual(old, r.Figures) {
			t.Fatalf("window %d was reported as %v and as %v", r.Window, old, r.Figures)
		}
		windows[r.Window] = r.Figures
	}
	return windows
}

func total(windows map[int64][]hosting.UsageFigure) (requests, tokensOut int64) {
	for _, figures := range windows {
		for _, f := range figures {
			requests += f.Requests
			tokensOut += f.TokensOut
		}
	}
	return requests, tokensOut
}

// Guards against usage that is lost, counted twice or reported twice with
// different figures when the daemon that served the requests stops.
func TestUsageIsReportedOnceAndCompletely(t *testing.T) {
	c, err := Start(Config{
		Daemons:          2,
		FailureDomains:   []string{"fd-a", "fd-b"},
		EnginesPerDomain: 1,
		Model:            "m",
		Version:          "1",
		TimeScale:        10,
		Adjust:           func(_ int, s *settings.Settings) { s.Usage.Window = time.Second },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: testTable()}, "test", "edit-1"); err != nil {
		t.Fatal(err)
	}
	const perDaemon, tokens = 4, 5
	served := int64(0)
	for _, m := range c.Daemons {
		for range perDaemon {
			await(t, http.StatusOK, m.URL+"/v1/chat/completions", testSecret, chatBody)
			served++
		}
	}
	if err := c.StopDaemon(0); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(readyTimeout)
	requests, out := int64(0), int64(0)
	for requests < served && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
		requests, out = total(c.reports(t))
	}
	if requests != served || out != served*tokens {
		t.Errorf("reported %d requests and %d tokens, served %d and %d", requests, out, served, served*tokens)
	}
}
