package cluster

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// stamp sends a stamp request with an idempotency key and returns the status and
// the answer. Status 0 means that there was no complete answer.
func stamp(t *testing.T, url, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/services/stamps/stamps", strings.NewReader(`{"door":7}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testSecret)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", key)
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

// Guards against a non-idempotent request that runs twice, because several
// daemons receive it with the same idempotency key at the same time.
func TestConcurrentStampsWithOneKeyRunOnce(t *testing.T) {
	c := startCluster(t, 2)
	for _, m := range c.Daemons {
		await(t, http.StatusOK, m.URL+"/services/stamps/status/7", testSecret, "")
	}
	const attempts = 4
	answers := make([]string, attempts)
	var calls sync.WaitGroup
	for i := range attempts {
		calls.Go(func() {
			url := c.Daemons[i%len(c.Daemons)].URL
			status := 0
			for status != http.StatusOK && status != http.StatusCreated {
				status, answers[i] = stamp(t, url, "door-7")
			}
		})
	}
	calls.Wait()
	runs := 0
	for _, run := range c.App.Audit() {
		if strings.HasSuffix(run.Path, "/stamps") {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the service ran the request %d times", runs)
	}
	for _, answer := range answers {
		if answer != answers[0] {
			t.Errorf("answers differ: %q and %q", answers[0], answer)
		}
	}
}
