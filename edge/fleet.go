package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/provision"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// fleetInterval is the time between two decisions about the number and roles of
	// engines.
	fleetInterval = 500 * time.Millisecond
	// fleetKey is the key of the record that holds the base counts of services.
	fleetKey = "fleet"
	// baseSettleTime is the time for which the number of listed engines must stay
	// constant before it becomes the base count. Engines are listed one by one, as
	// their heartbeats arrive.
	baseSettleTime = 1500 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// roleChangeNotice is the time between the announcement of a role change and
	// its order. Nearly all streams that wait at the engine begin within it.
	roleChangeNotice = 800 * time.Millisecond
	// roleChangeLag is the further time after the last announcement of a role
	// change for which the engine gets no requests, because the list of servers
	// shows the new role late.
	roleChangeLag = 3 * time.Second
	// bootLag is the time between the boot of a new server and its entry in the
	// list of servers.
	bootLag = 2 * time.Second
	// cheapBackoff is the time for which no cheap servers are ordered in a failure
	// domain after they were refused or evicted there.
	cheapBackoff = 5 * time.Second
	// scaleDownDelay is the time for which fewer engines must suffice before some
	// are released. It is longer than an eviction of one failure domain lasts.
	scaleDownDelay = 12 * time.Second
)

// RoleOrder is an order to an engine to take a role.
type RoleOrder struct {
	Role backend.Role
	// Fence is the fencing token: the sender's term. Holder is the sender's VM.
	Fence  int64
	Holder string
	// Check runs immediately before the first byte is written. If it fails, nothing
	// is sent.
	Check func() error
}

// EngineOrders sends orders to engines.
type EngineOrders interface {
	// SetRole orders an engine to take a role. It fails with
	// *hosting.StaleFenceError if the engine has accepted a higher fencing token.
	SetRole(ctx context.Context, server *registry.Server, order RoleOrder) (hosting.Outcome, error)
}

// The answers to orders.
type (
	roleOrdered struct {
		service string
		pool    string
		order   provision.RoleOrder
		outcome hosting.Outcome
		err     error
	}
	countOrdered struct {
		service string
		plan    *serviceFleet
		order   provision.ServerOrder
		outcome hosting.Outcome
		err     error
	}
)

// fleetControl orders backend servers and engine roles while this daemon holds
// the lease. Only the control goroutine uses it.
type fleetControl struct {
	vm       string
	settings FleetSettings
	control  *control
	duties   *duties
	capacity hosting.Capacity
	engines  EngineOrders
	events   *event.Recorder

	services     map[string]*serviceFleet
	nextDecision time.Time
	// baseCounts holds the number of engines of each service when it was first
	// seen. observed holds the numbers that are not settled yet.
	baseCounts map[string]int
	observed   map[string]observedCount
	// badDemand holds the last problem of the reports of a pool, by pool.
	badDemand map[string]string
	down      downEngines
}

// observedCount is a number of engines and the time since which it has been
// constant.
type observedCount struct {
	engines int
	since   time.Time
}

// serviceFleet holds the planners of one service during a term. roles holds one
// planner per pool. need is nil and last is empty unless the plan is by demand.
type serviceFleet struct {
	need *provision.Need
	last provision.Decision
	// unanswered is the number of server orders without an answer.
	unanswered int
	// settled is set if no pool was short of a role at the last decision.
	settled  bool
	servers  *provision.Servers
	roles    map[string]*provision.Roles
	assigner pool.Assigner
}

func (f *fleetControl) gained(_ time.Time, _ int64, records []hosting.KeyedRecord) {
	clear(f.services)
	clear(f.observed)
	stored := map[string]int{}
	for _, r := range records {
		e, err := authority.Decode(r.Value)
		if err != nil || r.Key != fleetKey {
			continue
		}
		if err := json.Unmarshal(e.Body, &stored); err != nil {
			f.events.Record(event.KindFault, "fleet_unreadable", "", event.F("error", err.Error()))
		}
	}
	// The store may have lost counts of an earlier term.
	maps.Copy(f.baseCounts, stored)
	if len(f.baseCounts) > len(stored) {
		f.storeBaseCounts()
	}
	f.nextDecision = time.Time{}
}

func (f *fleetControl) storeBaseCounts() {
	body, err := json.Marshal(f.baseCounts)
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	f.duties.machine.Submit(fleetKey, body)
}

func (f *fleetControl) lost() { clear(f.services) }

func (f *fleetControl) tick(now time.Time, term int64) {
	cat := f.control.catalog.Load()
	if now.Before(f.nextDecision) || cat == nil {
		return
	}
	f.nextDecision = now.Add(fleetInterval)
	cat.Services(func(s *catalog.Service) {
		if s.Engine != nil {
			f.decide(now, term, s)
		}
	})
}

func (f *fleetControl) decide(now time.Time, term int64, s *catalog.Service) {
	plan := f.services[s.Name]
	if plan == nil {
		plan = &serviceFleet{roles: map[string]*provision.Roles{}}
		f.services[s.Name] = plan
	}
	listed := f.control.servers.Load().ofService(s.Name)
	engines := f.provisionEngines(now, listed)
	base, known := f.baseCount(now, s.Name, len(engines))
	byDemand := f.settings.Plan == planDemand
	if byDemand != (plan.need != nil) {
		// The setting has changed.
		plan.servers, plan.need, plan.last = nil, nil, provision.Decision{}
	}
	if byDemand && s.Scaling != nil {
		f.orderByDemand(now, term, s, plan, engines)
	}
	if !byDemand && known && plan.servers == nil && s.Scaling != nil && f.settings.OnDemand+f.settings.Cheap > 0 {
		plan.servers = provision.NewServers(f.serverConfig(s.Scaling, base))
	}
	if !byDemand && plan.servers != nil {
		for _, o := range plan.servers.Step(now, engines) {
			f.orderCount(term, s.Name, plan, o)
		}
	}
	byID := map[string]provision.Engine{}
	for _, e := range engines {
		byID[e.ID] = e
	}
	ids := make([]string, 0, len(engines))
	for _, e := range engines {
		ids = append(ids, e.ID)
	}
	var changing []ChangingEngine
	plan.settled = true
	for i, shard := range plan.assigner.AssignEven(ids, shardCount(s)) {
		name := pool.Key{Model: s.Name, Shard: i}.String()
		roles := plan.roles[name]
		if roles == nil {
			roles = provision.NewRoles(f.roleConfig(s.Engine))
			plan.roles[name] = roles
		}
		members := make([]provision.Engine, 0, len(shard))
		for _, id := range shard {
			members = append(members, byID[id])
		}
		for _, o := range roles.Step(now, members) {
			f.orderRole(term, s.Name, name, o)
		}
		plan.settled = plan.settled && roles.Settled(now, members)
		for _, o := range roles.Changing(now, members) {
			changing = append(changing, ChangingEngine(o))
		}
	}
	if len(changing) > 0 {
		f.broadcast(&RolesChanging{Engines: changing})
	}
}

// baseCount returns the number of engines that the service had when it was first
// seen, which is the operators' estimate of its needs. It is kept in the store,
// because a successor finds a fleet that has already been changed. It returns
// false until the number has settled.
func (f *fleetControl) baseCount(now time.Time, service string, engines int) (int, bool) {
	if n, ok := f.baseCounts[service]; ok {
		return n, true
	}
	c, ok := f.observed[service]
	if !ok || c.engines != engines {
		f.observed[service] = observedCount{engines: engines, since: now}
		return 0, false
	}
	if engines == 0 || now.Sub(c.since) < baseSettleTime {
		return 0, false
	}
	f.baseCounts[service] = engines
	f.storeBaseCounts()
	f.events.Record(event.KindOrder, "fleet_base", service, event.F("engines", formatInt(int64(engines))))
	return engines, true
}

func scaledCount(ratio float64, of int) int { return int(math.Round(ratio * float64(of))) }

func (f *fleetControl) serverConfig(s *catalog.Scaling, base int) provision.ServerConfig {
	return provision.ServerConfig{
		OnDemand:     scaledCount(f.settings.OnDemand, base),
		Cheap:        scaledCount(f.settings.Cheap, base),
		Floor:        scaledCount(f.settings.Floor, base),
		Min:          s.Min,
		Max:          s.Max,
		Prices:       s.DomainPrices,
		Boot:         s.Boot + bootLag,
		CheapBackoff: cheapBackoff,
		HoldDown:     scaleDownDelay,
	}
}

func (f *fleetControl) roleConfig(e *catalog.Engine) provision.RoleConfig {
	cfg := provision.DefaultRoleConfig(e.StageSwitch)
	cfg.DecodeShare = f.settings.DecodeShare
	return cfg
}

func (f *fleetControl) provisionEngines(now time.Time, servers []*registry.Server) []provision.Engine {
	out := make([]provision.Engine, 0, len(servers))
	for _, s := range servers {
		out = append(out, provision.Engine{
			ID: s.ID, Born: s.StartedMs, FailureDomain: s.FailureDomain, Version: s.SoftwareVersion,
			Role: s.Role, Cheap: s.Cheap,
			Down: f.down.has(now, s), Leaving: s.Draining, Evicted: s.Draining && s.StopsIn > 0,
		})
	}
	return out
}

// broadcast sends a message to all live daemons, including this one.
func (f *fleetControl) broadcast(m *RolesChanging) {
	for _, vm := range f.control.live.IDs() {
		f.control.send(vm, m)
	}
}

func (f *fleetControl) orderRole(term int64, service, poolName string, o provision.RoleOrder) {
	server := f.control.servers.Load().server(o.ID)
	if server == nil {
		return
	}
	go func() {
		// The engine refuses the requests that still wait there when the order
		// arrives. The daemons send it no more requests from now on, and the waiting
		// requests begin during the notice.
		sleep(f.duties.ctx, roleChangeNotice)
		ctx, cancel := context.WithTimeout(f.duties.ctx, orderTimeout)
		defer cancel()
		order := RoleOrder{Role: o.Role, Fence: term, Holder: f.vm, Check: f.duties.termCheck(term)}
		outcome, err := f.engines.SetRole(ctx, server, order)
		f.control.emit(roleOrdered{service: service, pool: poolName, order: o, outcome: outcome, err: err})
	}()
}

func (f *fleetControl) orderCount(term int64, service string, plan *serviceFleet, o provision.ServerOrder) {
	plan.unanswered++
	go func() {
		ctx, cancel := context.WithTimeout(f.duties.ctx, orderTimeout)
		defer cancel()
		order := hosting.CapacityOrder{
			Service: service, FailureDomain: o.FailureDomain, Class: o.Class, Count: o.Count, Fence: term, Sender: f.vm,
			Check: f.duties.termCheck(term),
		}
		outcome, err := f.capacity.SetCount(ctx, order)
		f.control.emit(countOrdered{service: service, plan: plan, order: o, outcome: outcome, err: err})
	}()
}

// handle handles the answers to orders.
func (f *fleetControl) handle(now time.Time, ev any) {
	switch ev := ev.(type) {
	case roleOrdered:
		f.events.Record(event.KindOrder, "role_ordered", ev.order.ID, event.F("role", string(ev.order.Role)),
			event.F("outcome", ev.outcome.String()), event.F("error", errorText(ev.err)))
		// A later term may not have planned the pool yet.
		if plan := f.services[ev.service]; plan != nil && plan.roles[ev.pool] != nil && ev.outcome == hosting.OutcomeRefused {
			plan.roles[ev.pool].OrderFailed(ev.order)
		}
	case countOrdered:
		ev.plan.unanswered--
		f.events.Record(event.KindOrder, "servers_ordered", ev.service, event.F("domain", ev.order.FailureDomain),
			event.F("class", string(ev.order.Class)), event.F("count", formatInt(int64(ev.order.Count))),
			event.F("outcome", ev.outcome.String()), event.F("error", errorText(ev.err)))
		plan := f.services[ev.service]
		if plan == nil || plan.servers == nil {
			return
		}
		switch ev.outcome {
		case hosting.OutcomeRefused:
			plan.servers.OrderRefused(now, ev.order)
		case hosting.OutcomeUnknown:
			plan.servers.OrderOutcomeUnknown(ev.order)
		}
	}
}

// roleChange is a role change that is in progress. born is the engine's
// registry.Server.StartedMs, which identifies its process, role is the new role,
// began is the time of the first announcement, and until is the time at which the entry
// expires.
type roleChange struct {
	born         int64
	role         backend.Role
	began, until time.Time
}

// addRoleChanges records the role changes that the lease holder has announced.
func (c *control) addRoleChanges(now time.Time, m *RolesChanging) {
	for _, e := range m.Engines {
		change, ok := c.roleChanges[e.ID]
		if !ok || change.born != e.Born || change.role != e.Role {
			change = roleChange{born: e.Born, role: e.Role, began: now}
			c.rolesChanged, c.dirty = true, true
		}
		change.until = now.Add(fleetInterval + roleChangeNotice + roleChangeLag)
		c.roleChanges[e.ID] = change
	}
}

// dropFinishedRoleChanges removes the role changes that are complete or expired,
// and those of engines that are gone. It reports whether there were any.
func (c *control) dropFinishedRoleChanges(now time.Time) bool {
	dropped := false
	for id, e := range c.roleChanges {
		server := c.servers.Load().server(id)
		if server != nil && server.StartedMs == e.born && server.Role == e.role {
			c.roleChangeTime = max(now.Sub(e.began), roleChangeNotice)
		}
		if now.After(e.until) || server == nil || server.StartedMs != e.born || server.Role == e.role {
			delete(c.roleChanges, id)
			dropped = true
		}
	}
	return dropped
}

// pendingRole returns the change of role of a server.
func (c *control) pendingRole(s *registry.Server) pendingRole {
	e, ok := c.roleChanges[s.ID]
	if !ok || e.born != s.StartedMs || e.role == s.Role {
		return pendingRole{}
	}
	out := pendingRole{changing: true}
	if e.role == backend.RoleDecode {
		out.decodesAt = e.began.Add(cmp.Or(c.roleChangeTime, roleChangeNotice+roleChangeLag))
	}
	return out
}
