package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// engineInfoTimeout is the time after which information about an engine expires
// unless it is repeated.
const engineInfoTimeout = 10 * time.Second

// engineState is the state of one engine as known to the control goroutine.
type engineState struct {
	info EngineInfo
	// load is the last load report to this daemon. It is empty if another daemon
	// probes the engine.
	load backend.Load
	// at is the time of the last information, or zero if there was none.
	at time.Time
}

// inventory holds the known servers, VMs and engines. It belongs to the control
// goroutine.
type inventory struct {
	self      string
	servers   map[string]hosting.Server
	engines   map[string]*engineState
	vms       []hosting.VM
	routable  *member.Set
	live      *member.Set
	fallbacks map[string]*pool.Fallback
}

func newInventory(self string) *inventory {
	empty := member.NewSet(nil)
	return &inventory{
		self:      self,
		servers:   map[string]hosting.Server{},
		engines:   map[string]*engineState{},
		routable:  empty,
		live:      empty,
		fallbacks: map[string]*pool.Fallback{},
	}
}

func (v *inventory) setServers(list []hosting.Server) {
	v.servers = make(map[string]hosting.Server, len(list))
	for _, s := range list {
		v.servers[s.ID] = s
	}
	maps.DeleteFunc(v.engines, func(id string, _ *engineState) bool {
		_, listed := v.servers[id]
		return !listed
	})
}

// updateEngine stores information about a listed engine and reports whether
// anything has changed on which the pools depend.
func (v *inventory) updateEngine(now time.Time, info EngineInfo) bool {
	s, listed := v.servers[info.Engine]
	if !listed || s.Kind != hosting.KindEngine {
		return false
	}
	state, known := v.engines[info.Engine]
	if !known {
		state = &engineState{}
		v.engines[info.Engine] = state
	}
	changed := state.info != info
	state.info = info
	state.at = now
	return changed
}

// pools groups the engines by model. All runners of a model form one pool up to
// pool.MaxRunners, because one scheduler with exact counts places requests
// better than several. Beyond that there is a pool per failure domain and
// shard.
func (v *inventory) pools(now time.Time) []schedule.PoolSpec {
	byModel := map[string][]string{}
	for id, e := range v.engines {
		if e.info.Model != "" && now.Sub(e.at) < engineInfoTimeout {
			byModel[e.info.Model] = append(byModel[e.info.Model], id)
		}
	}
	var specs []schedule.PoolSpec
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		ids := byModel[model]
		if len(ids) <= pool.MaxRunners {
			specs = append(specs, v.shards(model, "", ids)...)
			continue
		}
		byDomain := map[string][]string{}
		for _, id := range ids {
			domain := v.servers[id].FailureDomain
			byDomain[domain] = append(byDomain[domain], id)
		}
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			specs = append(specs, v.shards(model, domain, byDomain[domain])...)
		}
	}
	return specs
}

func (v *inventory) shards(model, domain string, ids []string) []schedule.PoolSpec {
	var specs []schedule.PoolSpec
	shards := pool.Assign(ids)
	for i, shard := range shards {
		spec := schedule.PoolSpec{Key: pool.Key{Model: model, FailureDomain: domain, Shard: i}, Shards: len(shards)}
		for _, id := range shard {
			spec.Runners = append(spec.Runners, v.runner(id))
		}
		specs = append(specs, spec)
	}
	return specs
}

func (v *inventory) runner(id string) pool.RunnerInfo {
	server := v.servers[id]
	engine := v.engines[id].info
	info := pool.RunnerInfo{
		ID:       id,
		Role:     engine.Role,
		Class:    server.Class,
		State:    server.State,
		Changing: engine.Changing,
		KVTotal:  engine.KVTotal,
	}
	if info.Role == "" {
		info.Role = backend.RoleMixed
	}
	if server.LeaveAtMs > 0 {
		info.LeaveAt = time.UnixMilli(server.LeaveAtMs)
	}
	return info
}

func (v *inventory) scheduler(key pool.Key) string {
	return v.routable.OwnerIn(key.FailureDomain, key.String())
}

// fallback returns the fallback of a pool, which is kept when the view is
// replaced.
func (v *inventory) fallback(name string) *pool.Fallback {
	f, ok := v.fallbacks[name]
	if !ok {
		f = pool.NewFallback()
		v.fallbacks[name] = f
	}
	return f
}

// build returns a view of the current state.
func (v *inventory) build(specs []schedule.PoolSpec) *view {
	out := &view{
		routable:   v.routable,
		live:       v.live,
		addrs:      map[string]string{},
		pools:      map[string][]poolRoute{},
		schedulers: map[string]string{},
		engines:    map[string]engineRoute{},
		services:   map[string][]gateway.ServiceBackend{},
	}
	for _, vm := range v.vms {
		out.addrs[vm.ID] = vm.Addr
		if vm.ID != v.self && v.live.Contains(vm.ID) {
			out.peerAddrs = append(out.peerAddrs, vm.Addr)
		}
	}
	for _, spec := range specs {
		out.addPool(v, spec)
	}
	for id, s := range v.servers {
		out.addServer(id, s)
	}
	return out
}

func (out *view) addPool(v *inventory, spec schedule.PoolSpec) {
	name := spec.Key.String()
	route := poolRoute{
		name:      name,
		scheduler: v.scheduler(spec.Key),
		shard:     spec.Key.Shard,
		shards:    spec.Shards,
		usable:    usable(spec.Runners),
		fallback:  v.fallback(name),
	}
	out.schedulers[name] = route.scheduler
	out.pools[spec.Key.Model] = append(out.pools[spec.Key.Model], route)
}

func usable(runners []pool.RunnerInfo) int {
	n := 0
	for i := range runners {
		if runners[i].State == hosting.ServerLive && !runners[i].Changing {
			n++
		}
	}
	return n
}

func (out *view) addServer(id string, s hosting.Server) {
	if s.Kind == hosting.KindEngine {
		out.engines[id] = engineRoute{
			url:           s.URL,
			failureDomain: s.FailureDomain,
			leaving:       s.State == hosting.ServerLeaving,
		}
		return
	}
	if s.State == hosting.ServerLive {
		out.services[s.Service] = append(out.services[s.Service], gateway.ServiceBackend{ID: id, URL: s.URL})
	}
}

// sameServers reports whether a list equals the current list.
func (v *inventory) sameServers(list []hosting.Server) bool {
	if len(list) != len(v.servers) {
		return false
	}
	for _, s := range list {
		if old, ok := v.servers[s.ID]; !ok || old != s {
			return false
		}
	}
	return true
}

// updateLoad stores an engine's load report.
func (v *inventory) updateLoad(load backend.Load) {
	if state, ok := v.engines[load.Engine]; ok {
		state.load = load
	}
}
