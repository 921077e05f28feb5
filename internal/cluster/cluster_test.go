package cluster

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/table"
)

const (
	testSecret = "secret-of-acme"
	// readyTimeout fails a test that would otherwise hang.
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

func testTable() table.Table {
	return table.Table{
		Customers: []table.Customer{{
			Name: "acme", Weight: 1, RequestsPerSecond: 1000, Burst: 1000, Concurrency: 1000, TokensPerMinute: 1e9,
			Keys: []table.KeyHash{table.HashKey(testSecret)}, Models: []string{"m"}, Services: []string{"stamps"},
		}},
		Models:   []table.Model{{Name: "m", Version: "1", WeightBytes: 1}},
		Services: []table.Service{{Name: "stamps", Backends: []string{"stamps"}, MethodsIdempotent: []string{"GET"}}},
		Limits:   []table.Limit{{FailureDomain: "fd-a", OnDemandMax: 4, CheapMax: 4}, {FailureDomain: "fd-b", OnDemandMax: 4, CheapMax: 4}},
	}
}

func startCluster(t *testing.T, daemons int) *Cluster {
	t.Helper()
	c, err := Start(Config{
		Daemons:          daemons,
		FailureDomains:   []string{"fd-a", "fd-b"},
		EnginesPerDomain: 2,
		Model:            "m",
		Version:          "1",
		TimeScale:        10,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: testTable()}, "test", "edit-1"); err != nil {
		t.Fatal(err)
	}
	return c
}

// call sends a request, a POST if body is not empty, and returns the status and
// the answer. Status 0 means that there was no complete answer.
func call(t *testing.T, url, secret, body string) (int, string) {
	t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// await repeats a call until it returns the wanted status. It returns the answer.
func await(t *testing.T, want int, url, secret, body string) string {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for {
		status, answer := call(t, url, secret, body)
		if status == want {
			return answer
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: status %d, want %d: %s", url, status, want, answer)
		}
		time.Sleep(pollInterval)
	}
}

// client opens one connection per request. With keep-alive, it may dial a
// connection and never use it. A planned stop would wait for that connection,
// because http.Server.Shutdown gives connections without a request 5 s.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5,"stream":true}`

// Guards against a daemon that can't serve requests end to end, to engines or to
// plain services, or that accepts a wrong key.
func TestEveryDaemonServesModelsAndServices(t *testing.T) {
	c := startCluster(t, 2)
	for _, m := range c.Daemons {
		answer := await(t, http.StatusOK, m.URL+"/v1/chat/completions", testSecret, chatBody)
		if !strings.HasSuffix(answer, "data: [DONE]\n\n") {
			t.Errorf("%s: answer is incomplete: %s", m.VM, answer)
		}
		if status, answer := call(t, m.URL+"/services/stamps/status/7", testSecret, ""); status != http.StatusOK {
			t.Errorf("%s: service answered %d %s", m.VM, status, answer)
		}
		if status, answer := call(t, m.URL+"/v1/models", "wrong", ""); status != http.StatusUnauthorized {
			t.Errorf("%s: wrong key got %d %s", m.VM, status, answer)
		}
	}
}

// Guards against a withdrawn key that still works on some daemon.
func TestWithdrawnKeyStopsWorkingOnAllDaemons(t *testing.T) {
	c := startCluster(t, 2)
	for _, m := range c.Daemons {
		await(t, http.StatusOK, m.URL+"/v1/models", testSecret, "")
	}
	rows := testTable()
	rows.Customers[0].Keys = []table.KeyHash{table.HashKey("another")}
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: table.Table{Customers: rows.Customers}}, "test", "edit-2"); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Daemons {
		await(t, http.StatusUnauthorized, m.URL+"/v1/models", testSecret, "")
		await(t, http.StatusOK, m.URL+"/v1/models", "another", "")
	}
}

// Guards against a daemon that has no table yet and answers that a key is
// invalid; clients would not retry.
func TestDaemonWithoutTableDoesNotRejectKeys(t *testing.T) {
	c, err := Start(Config{Daemons: 1, FailureDomains: []string{"fd-a"}, Model: "m", Version: "1", TimeScale: 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	answer := await(t, http.StatusServiceUnavailable, c.Daemons[0].URL+"/v1/models", testSecret, "")
	if !strings.Contains(answer, `"run":"not_run"`) {
		t.Errorf("answer %s", answer)
	}
	await(t, http.StatusServiceUnavailable, c.Daemons[0].URL+"/readyz", testSecret, "")
}
