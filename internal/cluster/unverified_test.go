package cluster

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/mimosakeel/mimosakeel/table"
)

// Guards against streams that continue indefinitely on a daemon that can't check
// whether their key was withdrawn, and against streams that end because of a
// short outage of the log. Two VMs in the VM list never answer, so the daemon
// may not serve without the log.
func TestStreamsEndWhenTheirKeyCannotBeVerified(t *testing.T) {
	c, err := Start(Config{
		Daemons: 1, FailureDomains: []string{"fd-a"}, EnginesPerDomain: 1, Model: "m", Version: "1", TimeScale: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	vms := c.cfg.Platform.VMs
	for _, id := range []string{"vm-x", "vm-y"} {
		addr, err := freeUDPAddr()
		if err != nil {
			t.Fatal(err)
		}
		vms = append(vms, hosting.VM{ID: id, Addr: addr, FailureDomain: "fd-a", State: hosting.VMLive})
	}
	c.Platform.SetVMs(vms)
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: testTable()}, "test", "edit-1"); err != nil {
		t.Fatal(err)
	}
	url := c.Daemons[0].URL
	await(t, http.StatusOK, url+"/v1/chat/completions", testSecret, chatBody)

	readDuringOutage := func(outage time.Duration) error {
		start := sync.OnceFunc(func() {
			c.Platform.Inject(fault.Fault{Kind: fake.FaultOutage, Target: "log", ForMs: outage.Milliseconds()})
		})
		return streamLongAnswer(t, url, "prompt", start)
	}
	if err := readDuringOutage(3500 * time.Millisecond); err != nil {
		t.Errorf("the stream ended during a short outage: %v", err)
	}
	await(t, http.StatusOK, url+"/v1/models", testSecret, "")
	if err := readDuringOutage(0); err == nil || !strings.Contains(err.Error(), "authorization_unverified") {
		t.Errorf("the stream ended with: %v", err)
	}
	if status, _ := call(t, url+"/v1/models", testSecret, ""); status != http.StatusServiceUnavailable {
		t.Errorf("a new request got %d", status)
	}
}
