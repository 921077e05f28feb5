package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/versionpin"
)

const (
	// inboxSize is the maximum number of events that wait for the control
	// goroutine.
	inboxSize = 4096
	// tickInterval is the time between ticks of the state machines.
	tickInterval = 50 * time.Millisecond
	// minHeartbeatSpacing is the minimum time between a heartbeat and one that is
	// sent early because there are new records, for each round that a record takes
	// to all daemons. A larger deployment has more records and groups more of them.
	minHeartbeatSpacing = 60 * time.Millisecond
)

// The inputs of the control goroutine besides peerMessage.
type (
	feedPage struct {
		feed  feedID
		page  hosting.KeyedPage
		reset bool
	}
	controlTask   struct{ run func(now time.Time) }
	stopRequested struct{}
)

// control owns the control state of the daemon. Only the control goroutine
// accesses the fields that are not safe for concurrent use. The goroutines that
// serve requests read the atomic pointers.
type control struct {
	vm          string
	incarnation string
	source      Source
	events      *event.Recorder
	inbox       chan any
	// send delivers a message to a VM, also to this one, without blocking.
	send func(vm string, m peer.Message)
	// disconnect closes the connection to a VM whose entry has changed.
	disconnect func(vm string)

	catalog atomic.Pointer[catalog.Catalog]
	// setIngress puts the limits of a new configuration on clients in force.
	setIngress  func(ingress.Limits)
	servers     atomic.Pointer[serverView]
	view        atomic.Pointer[view]
	memberTable *memberTable
	announcer   *announcer
	// loaded is closed once the configuration and the list of servers are known, and
	// the quarantines too, for which it waits at most quarantineLoadWait after started.
	loaded  chan struct{}
	started time.Time
	// serversReplica is the state of the local replica of the list of servers.
	serversReplica replicaState

	feeds            [feedCount]*feed
	storeUnavailable bool
	registry         *registry.ServerList
	members          *member.Members
	duties           *duties
	fleet            *fleetControl
	quarantine       *quarantineControl
	customerLimits   *customerLimits
	// setServing passes on the versions that servers have, and was last called at
	// servingAt.
	setServing func(serving map[versionpin.Version]bool, longestStream time.Duration, fresh bool)
	servingAt  time.Time
	// setVersions passes on a copy of the topic of versions that was up to date at a time.
	setVersions func(page hosting.KeyedPage, at time.Time)
	// limitPlain applies the limit of a plain server.
	limitPlain func(server string, limit float64, limited bool)
	// plainTold holds the limits of plain servers that other daemons were told.
	plainTold map[string]namedLimit
	// workTick sends reports of the work on plain servers, and workReported applies
	// one of another daemon.
	workTick     func(now time.Time)
	workReported func(from string, m *WorkReport)
	// downTold holds the engines of which the lease holder was told that they are down.
	downTold downEngines
	// schedulersChanged is called when pools have got another scheduler or a scheduler
	// was restarted.
	schedulersChanged func(now time.Time)
	// relayState returns the RelayState of this daemon, and relayObserved records that of
	// another one.
	relayState    func() RelayState
	relayObserved func(now time.Time, vm string, state RelayState)
	// schedulerLeft is called when the process on a VM stops, has ended or was replaced.
	schedulerLeft func(vm string)
	// left holds the VMs for which schedulerLeft is called after the next publish.
	left  []string
	clock *metering.Clock
	// pools holds the pools of the services in force.
	pools *poolTable
	// roleChanges holds the engines that change their role, by server ID.
	roleChanges map[string]roleChange
	// roleChangeTime is how long the last change of role took.
	roleChangeTime time.Duration
	// rolesChanged is set if roleChanges has changed since the last publish.
	rolesChanged bool
	live         *member.Set
	routable     *member.Set
	host         *schedule.Host
	// highCapacity is the set of routable daemons on the larger VMs. They schedule
	// pools, read the topics for the other daemons, and rank first as challengers
	// for the lease.
	highCapacity *member.Set
	dirty        bool
	// peerEnds holds the end offsets of the peers' replicas as far as known.
	peerEnds map[string]*[feedCount]int64
	// heartbeatDue requests an early heartbeat, because there are new records.
	heartbeatDue  bool
	heartbeatSent time.Time
	stopping      bool
	// demandNext is the time of the next reports of the pools' loads.
	demandNext time.Time
	// leaving holds the incarnations that have begun a planned stop, by VM.
	leaving map[string]string
}

// view is an immutable snapshot of the members and pools for the goroutines that
// serve requests.
type view struct {
	routable *member.Set
	live     *member.Set
	// homes holds the daemons among which the customers with limits are distributed:
	// those on larger VMs, whose answers are prompt.
	homes *member.Set
	// pools holds the pools of each service.
	pools map[string][]poolRoute
}

func newControl(vm, incarnation string, source Source, events *event.Recorder, table *memberTable) *control {
	c := &control{
		vm:          vm,
		incarnation: incarnation,
		source:      source,
		events:      events,
		inbox:       make(chan any, inboxSize),
		loaded:      make(chan struct{}),
		started:     time.Now(),
		memberTable: table,
		registry:    registry.NewServerList(source.DecodeServer),
		members:     member.New(vm),
		pools:       newPoolTable(),
		roleChanges: map[string]roleChange{},
		leaving:     map[string]string{},
		plainTold:   map[string]namedLimit{},
		limitPlain:  func(string, float64, bool) {},
		setServing:  func(map[versionpin.Version]bool, time.Duration, bool) {},
		setVersions: func(hosting.KeyedPage, time.Time) {},

		workTick:          func(time.Time) {},
		workReported:      func(string, *WorkReport) {},
		schedulersChanged: func(time.Time) {},
		schedulerLeft:     func(string) {},
		relayState:        func() RelayState { return relayNone },
		relayObserved:     func(time.Time, string, RelayState) {},
		peerEnds:          map[string]*[feedCount]int64{},
	}
	c.serversReplica.end.Store(hosting.NoOffset)
	empty := member.NewSet(nil)
	c.live, c.routable, c.highCapacity = empty, empty, empty
	c.servers.Store(&serverView{})
	c.view.Store(&view{routable: empty, live: empty, homes: empty})
	c.customerLimits = newCustomerLimits(vm, DefaultSettings().CustomerLimits, events)
	c.customerLimits.catalog = c.catalog.Load
	c.customerLimits.homes = func() *member.Set { return c.view.Load().homes }
	c.customerLimits.daemons = c.daemonCounts
	c.customerLimits.send = func(vm string, m peer.Message) { c.send(vm, m) }
	return c
}

// emit passes an event to the control goroutine. If the inbox is full, messages
// of peers are dropped, because they carry soft state only. All other events
// block until there is room.
func (c *control) emit(ev any) {
	if _, soft := ev.(peerMessage); !soft {
		c.inbox <- ev
		return
	}
	select {
	case c.inbox <- ev:
	default:
		inboxDropped.Inc()
	}
}

func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.inbox:
			c.handle(time.Now(), ev)
		case <-tick.C:
			c.tick(time.Now())
		}
		if c.dirty {
			c.dirty = false
			c.publish(time.Now())
		}
		c.signalLoaded()
		if c.heartbeatDue && time.Since(c.heartbeatSent) >= minHeartbeatSpacing*time.Duration(gossipRounds(c.live.Len())) {
			c.sendHeartbeat(member.SendHeartbeat{Peers: c.peersBehind(time.Now())})
		}
	}
}

func (c *control) tick(now time.Time) {
	c.memberActions(c.members.Step(now, member.Tick{}))
	c.tickFeeds(now)
	c.host.Tick(now)
	c.duties.tick(now)
	c.reportDemand(now)
	c.quarantine.tick(now)
	c.customerLimits.tick(now)
	c.workTick(now)
	if c.dropFinishedRoleChanges(now) {
		c.rolesChanged = true
	}
	c.dirty = c.dirty || c.rolesChanged || c.registry.Changed(now)
	if now.Sub(c.servingAt) >= servingInterval {
		c.publishServing(now)
	}
}

func (c *control) handle(now time.Time, ev any) {
	switch ev := ev.(type) {
	case controlTask:
		ev.run(now)
	case feedPage:
		c.applyPage(now, ev)
	case stopRequested:
		c.stop()
	case peerMessage:
		c.handleMessage(now, ev)
	case roleOrdered, countOrdered:
		c.fleet.handle(now, ev)
	default:
		c.duties.handle(now, ev)
	}
}

func (c *control) reportUndecodable(bad []registry.UndecodableEntry) {
	for _, b := range bad {
		serversUnreadable.Inc()
		c.events.Record(event.KindFault, "server_unreadable", b.ID, event.F("error", b.Err.Error()))
	}
}

// updateMemberList passes the members to the membership state machine. A process
// that has begun a planned stop is marked as leaving.
func (c *control) updateMemberList(now time.Time) {
	vms := c.memberTable.vms()
	entries := c.memberTable.load()
	for i := range vms {
		if incarnation, ok := c.leaving[vms[i].ID]; ok && incarnation == entries[vms[i].ID].Incarnation {
			vms[i].State = hosting.VMLeaving
		}
	}
	c.memberActions(c.members.Step(now, member.ListUpdated{VMs: vms}))
}

// stop starts a planned stop: it releases the lease, marks this daemon as
// leaving, and announces that in heartbeats at once.
func (c *control) stop() {
	c.stopping = true
	c.leaving[c.vm] = c.incarnation
	c.announcer.yield()
	c.duties.step(authority.Stop{})
	c.updateMemberList(time.Now())
	c.sendHeartbeat(member.SendHeartbeat{Peers: c.members.Peers()})
}

// applyConfig puts a configuration in force if its version is higher than the
// current one.
func (c *control) applyConfig(raw []byte) {
	cfg, err := c.source.DecodeConfig(raw)
	if err != nil {
		c.events.Record(event.KindFault, "config_unreadable", "", event.F("error", err.Error()))
		return
	}
	if old := c.catalog.Load(); old != nil && old.Version() >= cfg.Version {
		return
	}
	c.customerLimits.configChanged(&cfg, c.catalog.Load())
	c.catalog.Store(catalog.New(cfg))
	if c.setIngress != nil {
		c.setIngress(ingressLimits(cfg.Limits))
	}
	c.dirty = true
	c.events.Record(event.KindConfig, "in_force", formatInt(cfg.Version))
}

func (c *control) memberActions(actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.LiveChanged:
			c.liveChanged(a)
		case member.SendHeartbeat:
			c.sendHeartbeat(a)
		}
	}
}

func (c *control) liveChanged(a member.LiveChanged) {
	for _, vm := range c.live.IDs() {
		if !a.Live.Contains(vm) {
			c.host.EntryGone(time.Now(), vm)
		}
	}
	change := memberChange(c.live, a.Live)
	before := c.routable
	c.live, c.routable = a.Live, a.Routable
	c.highCapacity = c.highCapacityMembers()
	c.duties.updateRank(c.highCapacity, c.routable, c.live)
	c.dirty = true
	for _, vm := range before.IDs() {
		if !c.routable.Contains(vm) {
			c.noteLeft(vm)
		}
	}
	c.events.Record(event.KindConfig, "members_changed", "", change...)
}

// noteLeft records that the process on another VM stops, has ended or was replaced. The
// requests that wait for its scheduler are placed by those of the next view.
func (c *control) noteLeft(vm string) {
	if vm != c.vm {
		c.left, c.dirty = append(c.left, vm), true
	}
}

func (c *control) sendHeartbeat(a member.SendHeartbeat) {
	c.heartbeatDue, c.heartbeatSent = false, time.Now()
	heartbeat := &Heartbeat{
		Incarnation: c.incarnation,
		Rumours:     a.Rumours,
		Feeds:       c.feedStates(time.Now()),
		Stopping:    c.stopping,
		Wall:        time.Now().UnixMilli(),
		Lease:       c.duties.leaseObservation(),
		Relay:       c.relayState(),
	}
	for _, vm := range a.Peers {
		c.send(vm, heartbeat)
	}
}

func (c *control) handleMessage(now time.Time, ev peerMessage) {
	switch m := ev.message.(type) {
	case *Heartbeat:
		c.handleHeartbeat(now, ev.from, m)
	case *Pull:
		c.answerPull(now, ev.from, m)
	case *RolesChanging:
		c.addRoleChanges(now, m)
	case *EngineDown:
		c.fleet.down.note(now, c.servers.Load().server(m.Server))
	case *PoolDemand:
		c.fleet.addDemand(now, ev.from, m)
	case *UsageCounts:
		c.duties.ledger.Merge(m.Incarnation, m.Windows)
		c.duties.ledger.NoteClosed(m.Closed)
	case *ClosedInquiry:
		c.duties.answerClosed(ev.from, m)
	case *ClosedWindows:
		c.duties.closedAnswered(ev.from, m)
	case *Push:
		c.applyPush(now, ev.from, m)
	case *FeedNotice:
		c.applyNotice(now, m)
	case *CrashReport:
		c.quarantine.crashed(now, m)
	case *ServedInquiry:
		c.quarantine.answerInquiry(now, ev.from, m)
	case *PartsServed:
		c.quarantine.partsServed(now, ev.from, m)
	case *Quarantined:
		c.quarantine.add(m.Part, m.Entry)
	case *ServerLimit:
		if m.Pool == "" {
			c.limitPlain(m.Server, m.Limit, m.Limited)
		} else {
			c.host.Step(now, m.Pool, pool.RunnerLimited{Runner: m.Server, Limit: m.Limit, Limited: m.Limited})
		}
	case *SliceRequest:
		c.customerLimits.lend(now, ev.from, m)
	case *WorkReport:
		c.workReported(ev.from, m)
	case *schedule.GrantRequest:
		m.Request.Entry = ev.from
		c.host.Request(now, m)
	case *schedule.GrantCancel:
		c.host.Cancel(now, ev.from, m)
	case *schedule.Progress:
		c.host.Progress(now, m)
	case *schedule.Release:
		if m.Down != "" {
			c.recordFault("server_down", m.Down, event.F("reported_by", ev.from), event.F("pool", m.Pool),
				event.F("for", engineDownBackoff.String()))
			c.reportDown(now, m.Down)
		}
		c.host.Release(now, m)
	}
}

func (c *control) handleHeartbeat(now time.Time, from string, m *Heartbeat) {
	c.memberActions(c.members.Step(now, member.HeartbeatReceived{From: from, Rumours: m.Rumours}))
	if m.Stopping && c.leaving[from] != m.Incarnation {
		c.leaving[from] = m.Incarnation
		c.updateMemberList(now)
	}
	c.clock.Observe(from, time.UnixMilli(m.Wall))
	c.duties.observeLease(m.Lease)
	c.relayObserved(now, from, m.Relay)
	c.pullMissing(now, from, m.Feeds)
}

// publish updates the scheduler and stores new snapshots of the servers, members
// and pools.
func (c *control) publish(now time.Time) {
	if changes := c.registry.TakeChanges(now); len(changes) > 0 {
		c.logServerChanges(changes)
		c.servers.Store(c.servers.Load().with(changes))
		c.publishServing(now)
	}
	if c.pools.update(c.catalog.Load(), c.servers.Load(), c.rolesChanged, c.pendingRole) {
		c.host.Update(now, c.pools.specs, func(pool.Key) bool { return true })
	}
	c.rolesChanged = false
	next := &view{routable: c.routable, live: c.live, homes: c.highCapacity, pools: map[string][]poolRoute{}}
	for i, spec := range c.pools.specs {
		name := spec.Key.String()
		next.pools[spec.Key.Model] = append(next.pools[spec.Key.Model], poolRoute{
			name:      name,
			scheduler: c.scheduler(name),
			shard:     spec.Key.Shard,
			shards:    spec.Shards,
			versions:  c.pools.versions[i],
			expected:  c.pools.expected[i],
		})
	}
	changed := schedulersDiffer(c.view.Load(), next)
	if !sameHomes(c.view.Load(), next) {
		c.customerLimits.homesChanged(now, next.homes)
	}
	c.view.Store(next)
	if changed {
		c.schedulersChanged(now)
	}
	for _, vm := range c.left {
		c.schedulerLeft(vm)
	}
	c.left = nil
}

// schedulersDiffer reports whether a pool of next had another scheduler in old.
func schedulersDiffer(old, next *view) bool {
	for service, routes := range next.pools {
		for i, route := range routes {
			before := old.pools[service]
			if i < len(before) && before[i].scheduler != route.scheduler {
				return true
			}
		}
	}
	return false
}

// quarantineLoadWait is the time after the start from which on requests no longer
// wait for the first read of the quarantines.
const quarantineLoadWait = 500 * time.Millisecond

// signalLoaded closes loaded once the configuration, the list of servers and, for a
// limited time, the quarantines are known, so that waiting requests continue.
func (c *control) signalLoaded() {
	if c.catalog.Load() == nil || c.feeds[feedServers].replica.End() == hosting.NoOffset {
		return
	}
	if c.feeds[feedQuarantine].replica.End() == hosting.NoOffset && time.Since(c.started) < quarantineLoadWait {
		return
	}
	select {
	case <-c.loaded:
	default:
		close(c.loaded)
	}
}

// highCapacityShare is the fraction of the largest VM's cores from which on a VM
// counts as high-capacity.
const highCapacityShare = 0.5

// highCapacityMembers returns the routable daemons on high-capacity VMs.
func (c *control) highCapacityMembers() *member.Set {
	entries := c.memberTable.load()
	most := 0.0
	for _, vm := range c.routable.IDs() {
		most = max(most, entries[vm].Cores)
	}
	var out []member.Candidate
	for _, vm := range c.routable.IDs() {
		if entries[vm].Cores >= highCapacityShare*most {
			out = append(out, member.Candidate{ID: vm, FailureDomain: entries[vm].FailureDomain})
		}
	}
	return member.NewSet(out)
}

// scheduler returns the VM that schedules a pool. It is this VM if no
// high-capacity daemon is known.
func (c *control) scheduler(pool string) string {
	if owner := c.highCapacity.Owner(pool); owner != "" {
		return owner
	}
	return c.vm
}

func (c *control) recordFault(what, id string, fields ...event.Field) {
	c.events.Record(event.KindFault, what, id, fields...)
}

func (c *control) recordConfig(what, id string, fields ...event.Field) {
	c.events.Record(event.KindConfig, what, id, fields...)
}

// logServerChanges records which servers joined, left or changed their state.
func (c *control) logServerChanges(changes []registry.Change) {
	for _, change := range changes {
		s, was := change.Server, change.Old
		switch {
		case s == nil:
			c.events.Record(event.KindConfig, "server_gone", change.ID)
		case was != nil && was.StartedMs == s.StartedMs && was.Draining == s.Draining && was.Role == s.Role && was.Addr == s.Addr && was.SoftwareVersion == s.SoftwareVersion:
		default:
			c.events.Record(event.KindConfig, "server", s.ID, event.F("service", s.Service), event.F("role", string(s.Role)),
				event.F("leaving", formatBool(s.Draining)), event.F("cheap", formatBool(s.Cheap)), event.F("domain", s.FailureDomain), event.F("version", s.SoftwareVersion))
		}
	}
}
