package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// poolRoute identifies a pool of a service and the VM that schedules it. shard
// is the index of the pool among the shards of the service.
type poolRoute struct {
	name      string
	scheduler string
	shard     int
	shards    int
	// versions holds the IDs of the servers that can take streams, by software version.
	versions map[string][]string
	// expected holds the IDs of those that change their role and will take streams.
	expected map[string][]string
}

const (
	// initialPrefillRate is the prefill rate in tokens per second that is assumed of
	// an engine until it is learned from its first few prompts.
	initialPrefillRate = 50_000
	// decodePrefillFactor is the factor by which a decode engine processes a prompt
	// more slowly than a prefill engine, according to the platform's protocol.
	decodePrefillFactor = 2
	// engineDownBackoff is the time for which an engine gets no requests after a
	// connection to it has failed. If it is gone, its entry expires after three
	// heartbeats.
	engineDownBackoff = time.Second
	// crossDomainCost is the delay that is accepted to keep a request within its
	// failure domain. At the more expensive of the users' sites, the traffic of a
	// request to another domain costs a twentieth of what a generation earns.
	crossDomainCost = 25 * time.Millisecond
	// maxPrefillWait is the predicted prefill wait up to which a request is placed.
	// A request that would wait longer stays in the queue of the scheduler, which
	// knows the load of all engines. The latency objectives of generations are
	// 500 ms to 1 s.
	maxPrefillWait = 600 * time.Millisecond
)

// poolConfig returns the configuration of the pools of an engine service.
func poolConfig(e *catalog.Engine, scheduling SchedulingSettings) pool.Config {
	cfg := pool.DefaultConfig()
	cfg.Urgency = scheduling.Urgency
	cfg.ExpectedAnswers = scheduling.ExpectedCost
	// Listed engines don't send reports. The list of servers and the outcomes of
	// attempts show which engines are available.
	cfg.RunnerTimeout = 0
	cfg.DownFor = engineDownBackoff
	cfg.DecodePrefills = true
	cfg.DecodePrefillFactor = decodePrefillFactor
	cfg.PrefillRate = initialPrefillRate
	cfg.CrossDomainCost = crossDomainCost.Seconds()
	cfg.PrefillWait = maxPrefillWait
	if e.KVTokenBytes > 0 && e.LinkBytes > 0 {
		cfg.TransferRate = e.LinkBytes / float64(e.KVTokenBytes)
	}
	return cfg
}

// shardCount returns the number of pools of a service. It is derived from the
// maximum number of engines, so that it stays constant while engines come and
// go. A change would route most prompts to engines that don't have their prefix
// in the KV cache.
func shardCount(s *catalog.Service) int {
	if s.Scaling == nil {
		return 1
	}
	return pool.Shards(s.Scaling.Max * len(s.Scaling.DomainPrices))
}

// poolTable groups the engines into the pools of their services. A service has
// several pools if its engines don't fit into one. It keeps the pools, so that an
// update costs what has changed.
type poolTable struct {
	scheduling SchedulingSettings
	catalog    *catalog.Catalog
	view       *serverView
	services   map[string]*servicePools
	// specs are the pools of all services that have engines. versions and expected hold
	// the IDs of the engines of each pool that can take streams, and of those that will
	// once they have changed their role, by software version.
	specs              []schedule.PoolSpec
	versions, expected []map[string][]string
}

// servicePools are the pools of one service.
type servicePools struct {
	config   pool.Config
	memory   int
	assigner pool.Assigner
	pools    []engines
}

// engines are the engines of one pool. changes holds their changes of role.
type engines struct {
	spec    schedule.PoolSpec
	servers []*registry.Server
	changes []pendingRole
	// versions and expected are as in poolTable.
	versions, expected map[string][]string
}

// pendingRole is the change of role of an engine; zero if it keeps its role.
type pendingRole struct {
	changing bool
	// decodesAt is the time at which it is expected to be a decode engine; zero if it
	// becomes another one.
	decodesAt time.Time
}

func newPoolTable() *poolTable {
	return &poolTable{scheduling: DefaultSettings().Scheduling, services: map[string]*servicePools{}}
}

// update brings the pools up to date and reports whether any may have changed.
// rolesChanged is set if the results of pending may have changed.
func (t *poolTable) update(cat *catalog.Catalog, view *serverView, rolesChanged bool, pending func(*registry.Server) pendingRole) bool {
	if cat == nil || cat == t.catalog && view == t.view && !rolesChanged {
		return false
	}
	if cat != t.catalog {
		clear(t.services)
	}
	t.catalog, t.view, t.specs, t.versions, t.expected = cat, view, nil, nil, nil
	for _, name := range slices.Sorted(maps.Keys(view.services)) {
		service := cat.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		p := t.services[name]
		if p == nil {
			p = &servicePools{config: poolConfig(service.Engine, t.scheduling), memory: service.Engine.KVTokens}
			t.services[name] = p
		}
		p.update(service, view.ofService(name), pending)
		for i := range p.pools {
			t.specs = append(t.specs, p.pools[i].spec)
			t.versions = append(t.versions, p.pools[i].versions)
			t.expected = append(t.expected, p.pools[i].expected)
		}
	}
	return true
}

func (p *servicePools) update(service *catalog.Service, listed []*registry.Server, pending func(*registry.Server) pendingRole) {
	byID := make(map[string]*registry.Server, len(listed))
	ids := make([]string, len(listed))
	for i, s := range listed {
		ids[i], byID[s.ID] = s.ID, s
	}
	shards := p.assigner.AssignEven(ids, shardCount(service))
	for len(p.pools) < len(shards) {
		p.pools = append(p.pools, engines{spec: schedule.PoolSpec{
			Key: pool.Key{Model: service.Name, Shard: len(p.pools)}, Config: &p.config,
		}})
	}
	p.pools = p.pools[:len(shards)]
	for i, shard := range shards {
		e := &p.pools[i]
		e.spec.Shards = len(shards)
		// A new pool has no runner list yet.
		e.spec.Unchanged = e.set(shard, byID, pending) && e.spec.Runners != nil
		if !e.spec.Unchanged {
			e.spec.Runners = e.runners(p.memory)
			e.versions, e.expected = e.streamVersions()
		}
	}
}

// set replaces the engines of the pool. It reports whether they are the same as
// before.
func (e *engines) set(ids []string, byID map[string]*registry.Server, pending func(*registry.Server) pendingRole) bool {
	same := len(ids) == len(e.servers)
	servers, changes := make([]*registry.Server, len(ids)), make([]pendingRole, len(ids))
	for i, id := range ids {
		servers[i] = byID[id]
		changes[i] = pending(servers[i])
		same = same && servers[i] == e.servers[i] && changes[i] == e.changes[i]
	}
	if !same {
		e.servers, e.changes = servers, changes
	}
	return same
}

func (e *engines) runners(memory int) []pool.RunnerInfo {
	out := make([]pool.RunnerInfo, len(e.servers))
	for i, s := range e.servers {
		out[i] = runnerInfo(s, memory)
		out[i].Changing, out[i].DecodesAt = e.changes[i].changing, e.changes[i].decodesAt
	}
	return out
}

func (e *engines) streamVersions() (now, expected map[string][]string) {
	now, expected = map[string][]string{}, map[string][]string{}
	for i, s := range e.servers {
		switch {
		case s.Draining:
		case !e.changes[i].changing && s.Role != backend.RolePrefill:
			now[s.SoftwareVersion] = append(now[s.SoftwareVersion], s.ID)
		case !e.changes[i].decodesAt.IsZero():
			expected[s.SoftwareVersion] = append(expected[s.SoftwareVersion], s.ID)
		}
	}
	return now, expected
}

func runnerInfo(s *registry.Server, memory int) pool.RunnerInfo {
	info := pool.RunnerInfo{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Version:       s.SoftwareVersion,
		Role:          s.Role,
		Class:         hosting.ClassOnDemand,
		State:         hosting.ServerLive,
		KVTotal:       memory,
	}
	if info.Role == "" {
		info.Role = backend.RoleMixed
	}
	if s.Cheap {
		info.Class = hosting.ClassCheap
	}
	if s.Draining {
		info.State = hosting.ServerLeaving
	}
	return info
}

// poolRequest returns the request that a pool schedules.
func poolRequest(id, entry, domain string, n dispatch.PlacementRequest) pool.Request {
	r := n.Request
	request := pool.Request{
		ID:            id,
		Entry:         entry,
		Customer:      r.Customer,
		Priority:      pool.Interactive,
		MaxTokens:     1,
		FailureDomain: domain,
		Avoid:         n.Avoid,
		Whole:         n.Whole,
		Deadline:      r.Deadline,
		Rank:          r.Priority,
		Version:       n.Version,
	}
	if r.Route != nil && r.Route.Objective > 0 && !r.Arrived.IsZero() {
		request.Objective = r.Arrived.Add(r.Route.Objective)
	}
	p := r.Prompt
	if p == nil {
		return request
	}
	request.PromptTokens = p.Tokens
	request.MaxTokens = max(p.MaxOutput, 1)
	hash := xxhash.New()
	_, _ = hash.WriteString(p.Model)
	for _, part := range p.Parts {
		// The KV cache of a part depends on all parts before it, so each hash covers
		// the whole prefix.
		_, _ = hash.WriteString("/" + part.ID)
		request.Blocks = append(request.Blocks, hash.Sum64())
		request.BlockTokens = append(request.BlockTokens, part.Tokens)
	}
	if n := len(request.Blocks); n > 1 {
		// The last part is specific to the request and not shared.
		request.Affinity = request.Blocks[n-2]
	}
	return request
}
