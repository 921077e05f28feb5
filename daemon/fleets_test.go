package daemon

import (
	"testing"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// Guards against orders to an engine whose load a new lease holder has not read
// yet. Such an engine was drained and then loaded with the model that it
// already had.
func TestEngineWithoutLoadReportGetsNoOrders(t *testing.T) {
	v := newInventory("vm-1")
	server := hosting.Server{ID: "e1", Kind: hosting.KindEngine, FailureDomain: "fd-a", State: hosting.ServerLive}
	v.setServers([]hosting.Server{server})
	if got := v.fleetEngine(server).State; got != hosting.ServerStarting {
		t.Errorf("without a report the engine counts as %s", got)
	}
	v.updateEngine(time0, EngineInfo{Engine: "e1", Model: "m", Role: backend.RoleMixed})
	v.updateLoad(backend.Load{Engine: "e1", Model: "m", Role: backend.RoleMixed, Version: "2"})
	if got := v.fleetEngine(server); got.State != hosting.ServerLive || got.Version != "2" {
		t.Errorf("with a report the engine is %+v", got)
	}
}

// Guards against calls to a server of a plain service that is leaving or has
// not started.
func TestOnlyLiveServersOfAServiceGetWork(t *testing.T) {
	v := newInventory("vm-1")
	var list []hosting.Server
	for _, state := range []hosting.ServerState{hosting.ServerStarting, hosting.ServerLive, hosting.ServerLeaving} {
		list = append(list, hosting.Server{ID: string(state), Kind: hosting.KindApp, Service: "stamps", State: state})
	}
	v.setServers(list)
	got := v.build(nil).services["stamps"]
	if len(got) != 1 || got[0].ID != string(hosting.ServerLive) {
		t.Errorf("servers that get work: %+v", got)
	}
}
