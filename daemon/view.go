package daemon

import (
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/pool"
)

// view is an immutable snapshot of the control state for traffic goroutines.
// The control goroutine replaces it as a whole.
type view struct {
	// routable holds the VMs that can own names in rendezvous hashing. live also
	// holds those that are leaving.
	routable *member.Set
	live     *member.Set
	// addrs maps the listed VMs to their peer addresses.
	addrs map[string]string
	// peerAddrs holds the peer addresses of the live VMs except this one.
	peerAddrs []string
	// pools maps models to their pools.
	pools map[string][]poolRoute
	// schedulers maps pool names to the VMs that schedule them.
	schedulers map[string]string
	engines    map[string]engineRoute
	// services maps platform service names to the servers that take new work.
	services map[string][]gateway.ServiceBackend
}

// poolRoute is the routing information of a pool for the entry daemon.
type poolRoute struct {
	name string
	// scheduler is the VM that schedules the pool.
	scheduler string
	shard     int
	shards    int
	// usable is the number of runners that take work.
	usable   int
	fallback *pool.Fallback
}

// engineRoute is the routing information of an engine.
type engineRoute struct {
	url           string
	failureDomain string
	leaving       bool
}

func emptyView() *view {
	empty := member.NewSet(nil)
	return &view{routable: empty, live: empty}
}
