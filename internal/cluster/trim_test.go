package cluster

import (
	"net/http"
	"testing"

	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/mimosakeel/mimosakeel/table"
)

// Guards against a daemon that starts after the log was trimmed and never gets
// the table, because no other daemon answers its anchor request with a
// checkpoint.
func TestDaemonStartsOnATrimmedLog(t *testing.T) {
	c := startCluster(t, 3)
	for _, m := range c.Daemons {
		await(t, http.StatusOK, m.URL+"/v1/models", testSecret, "")
	}
	last := len(c.Daemons) - 1
	if err := c.Daemons[last].Stop(); err != nil {
		t.Fatal(err)
	}
	c.Daemons = c.Daemons[:last]
	c.Platform.Inject(fault.Fault{Kind: fake.FaultTrim, Target: table.Stream, Value: 1})
	if err := c.startDaemon(last); err != nil {
		t.Fatal(err)
	}
	await(t, http.StatusOK, c.Daemons[last].URL+"/v1/models", testSecret, "")
}
