package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

const (
	// inboxSize bounds the events that wait for the control goroutine.
	inboxSize = 4096
	// tickInterval is the time between ticks of the state machines.
	tickInterval = 50 * time.Millisecond
	// beatSpacing is the least time between two heartbeats that pass news on.
	beatSpacing = 30 * time.Millisecond
)

// The inputs of the control goroutine besides peerMessage.
type (
	feedRead struct {
		feed  feedID
		page  hosting.KeyedPage
		reset bool
	}
	query     struct{ run func(now time.Time) }
	stopAsked struct{}
)

// control owns all control state. Only its goroutine touches the fields below
// inbox; traffic reads the atomic pointers.
type control struct {
	vm          string
	incarnation string
	source      Source
	events      *event.Recorder
	inbox       chan any
	// send delivers a message to a VM, also to this one, without blocking.
	send func(vm string, m peer.Message)
	// forget closes the connection to a VM that has a new address or process.
	forget func(vm string)

	catalog atomic.Pointer[catalog.Catalog]
	servers atomic.Pointer[serverView]
	view    atomic.Pointer[view]
	book    *memberBook
	// loaded is closed once the configuration and the servers are known.
	loaded chan struct{}
	// serversCopy is the state of the copy of the servers.
	serversCopy copyState

	feeds    [feedCount]*feed
	away     bool
	registry *registry.Book
	members  *member.Members
	duties   *duties
	fleet    *fleetControl
	clock    *metering.Clock
	// changing holds the engines that change their role.
	changing map[string]changingEngine
	live     *member.Set
	routable *member.Set
	host     *schedule.Host
	// strong are the routable daemons on the larger VMs, which work for others.
	strong *member.Set
	dirty  bool
	// beatNow asks for a heartbeat at once, because there is news.
	beatNow  bool
	beaten   time.Time
	stopping bool
	// leaving holds the processes that end as planned, by VM.
	leaving map[string]string
}

// view is what traffic sees of the other daemons. It never changes.
type view struct {
	routable *member.Set
	live     *member.Set
	// pools are the pools of each service.
	pools map[string][]poolRoute
}

// serverView is what traffic sees of the servers. It never changes.
type serverView struct {
	byID      map[string]*registry.Server
	byService map[string][]*registry.Server
}

func newServerView(servers []*registry.Server) *serverView {
	v := &serverView{byID: map[string]*registry.Server{}, byService: map[string][]*registry.Server{}}
	for _, s := range servers {
		v.byID[s.ID] = s
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	return v
}

func newControl(vm, incarnation string, source Source, events *event.Recorder, book *memberBook) *control {
	c := &control{
		vm:          vm,
		incarnation: incarnation,
		source:      source,
		events:      events,
		inbox:       make(chan any, inboxSize),
		loaded:      make(chan struct{}),
		book:        book,
		registry:    registry.NewBook(source.DecodeServer),
		members:     member.New(vm),
		changing:    map[string]changingEngine{},
		leaving:     map[string]string{},
	}
	c.serversCopy.end.Store(hosting.NoOffset)
	empty := member.NewSet(nil)
	c.live, c.routable, c.strong = empty, empty, empty
	c.servers.Store(newServerView(nil))
	c.view.Store(&view{routable: empty, live: empty})
	return c
}

// emit hands an event to the control goroutine. Messages of peers are soft
// state and dropped when the inbox is full; everything else waits.
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
		c.noteLoaded()
		if c.beatNow && time.Since(c.beaten) >= beatSpacing {
			c.beat(member.SendHeartbeat{Peers: c.members.Peers()})
		}
	}
}

func (c *control) tick(now time.Time) {
	c.memberActions(c.members.Step(now, member.Tick{}))
	c.tickFeeds(now)
	c.host.Tick(now)
	c.duties.tick(now)
	if c.registry.Holding(now) || c.dropChanged(now) {
		c.dirty = true
	}
}

func (c *control) handle(now time.Time, ev any) {
	switch ev := ev.(type) {
	case query:
		ev.run(now)
	case feedRead:
		c.feedRead(now, ev)
	case stopAsked:
		c.stop()
	case peerMessage:
		c.message(now, ev)
	case roleOrdered, countOrdered:
		c.fleet.handle(now, ev)
	default:
		c.duties.handle(now, ev)
	}
}

func (c *control) reportUnreadable(bad []registry.Unreadable) {
	for _, b := range bad {
		c.events.Record(event.KindFault, "server_unreadable", b.ID, event.F("error", b.Err.Error()))
	}
}

// listMembers tells the state machine of the members who there is.
func (c *control) listMembers(now time.Time) {
	vms := c.book.vms()
	entries := c.book.load()
	for i := range vms {
		if incarnation, ok := c.leaving[vms[i].ID]; ok && incarnation == entries[vms[i].ID].Incarnation {
			vms[i].State = hosting.VMLeaving
		}
	}
	c.memberActions(c.members.Step(now, member.ListUpdated{VMs: vms}))
}

// stop hands over what this daemon does for others, and tells them at once.
func (c *control) stop() {
	c.stopping = true
	c.leaving[c.vm] = c.incarnation
	c.duties.step(authority.Stop{})
	c.listMembers(time.Now())
	c.beat(member.SendHeartbeat{Peers: c.members.Peers()})
}

// putConfig puts a newer configuration in force; versions only rise.
func (c *control) putConfig(raw []byte) {
	cfg, err := c.source.DecodeConfig(raw)
	if err != nil {
		c.events.Record(event.KindFault, "config_unreadable", "", event.F("error", err.Error()))
		return
	}
	if old := c.catalog.Load(); old != nil && old.Version() >= cfg.Version {
		return
	}
	c.catalog.Store(catalog.New(cfg))
	c.dirty = true
	c.events.Record(event.KindConfig, "in_force", formatInt(cfg.Version))
}

func (c *control) memberActions(actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.LiveChanged:
			c.liveChanged(a)
		case member.SendHeartbeat:
			c.beat(a)
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
	c.live, c.routable = a.Live, a.Routable
	c.strong = c.strongMembers()
	c.duties.membership(c.strong, c.routable)
	c.dirty = true
	c.events.Record(event.KindConfig, "members_changed", "", change...)
}

func (c *control) beat(a member.SendHeartbeat) {
	c.beatNow, c.beaten = false, time.Now()
	beat := &Heartbeat{
		Incarnation: c.incarnation,
		Rumours:     a.Rumours,
		Feeds:       c.feedStates(time.Now()),
		Stopping:    c.stopping,
		Wall:        time.Now().UnixMilli(),
		Lease:       c.duties.sighting(),
	}
	for _, vm := range a.Peers {
		c.send(vm, beat)
	}
}

func (c *control) message(now time.Time, ev peerMessage) {
	switch m := ev.message.(type) {
	case *Heartbeat:
		c.heartbeat(now, ev.from, m)
	case *Pull:
		c.push(now, ev.from, m)
	case *RolesChanging:
		c.noteChanging(now, m)
	case *UsageCounts:
		c.duties.ledger.Merge(m.Incarnation, m.Windows)
	case *Push:
		c.takePush(now, m)
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
				event.F("for", engineDownFor.String()))
		}
		c.host.Release(now, m)
	}
}

func (c *control) heartbeat(now time.Time, from string, m *Heartbeat) {
	c.memberActions(c.members.Step(now, member.HeartbeatReceived{From: from, Rumours: m.Rumours}))
	if m.Stopping && c.leaving[from] != m.Incarnation {
		c.leaving[from] = m.Incarnation
		c.listMembers(now)
	}
	c.clock.Observe(from, time.UnixMilli(m.Wall))
	c.duties.see(m.Lease)
	c.learnFeeds(now, from, m.Feeds)
}

// publish gives traffic a new view of servers, members and pools.
func (c *control) publish(now time.Time) {
	servers := c.registry.Servers(now)
	c.logServerChanges(servers)
	c.servers.Store(newServerView(servers))
	sets := c.pools(servers)
	c.host.Update(now, sets, func(pool.Key) bool { return true })
	next := &view{routable: c.routable, live: c.live, pools: map[string][]poolRoute{}}
	for _, set := range sets {
		name := set.Key.String()
		next.pools[set.Key.Model] = append(next.pools[set.Key.Model], poolRoute{
			name:      name,
			scheduler: c.scheduler(name),
			shard:     set.Key.Shard,
			shards:    set.Shards,
		})
	}
	c.view.Store(next)
}

// noteLoaded lets requests pass that came before the first configuration and
// list of servers.
func (c *control) noteLoaded() {
	if c.catalog.Load() == nil || c.feeds[feedServers].replica.End() == hosting.NoOffset {
		return
	}
	select {
	case <-c.loaded:
	default:
		close(c.loaded)
	}
}

// strongShare is the part of the largest VM's processor time from which on a VM
// works for others.
const strongShare = 0.5

// strongMembers returns the routable daemons on VMs that can carry work for
// others.
func (c *control) strongMembers() *member.Set {
	entries := c.book.load()
	most := 0.0
	for _, vm := range c.routable.IDs() {
		most = max(most, entries[vm].Cores)
	}
	var out []member.Candidate
	for _, vm := range c.routable.IDs() {
		if entries[vm].Cores >= strongShare*most {
			out = append(out, member.Candidate{ID: vm, FailureDomain: entries[vm].FailureDomain})
		}
	}
	return member.NewSet(out)
}

// scheduler returns the VM that schedules a pool.
func (c *control) scheduler(pool string) string {
	if owner := c.strong.Owner(pool); owner != "" {
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
func (c *control) logServerChanges(servers []*registry.Server) {
	old := c.servers.Load().byID
	for _, s := range servers {
		was := old[s.ID]
		if was != nil && was.Born == s.Born && was.Leaving == s.Leaving && was.Role == s.Role && was.Addr == s.Addr {
			continue
		}
		c.events.Record(event.KindConfig, "server", s.ID, event.F("service", s.Service), event.F("role", string(s.Role)),
			event.F("leaving", formatBool(s.Leaving)), event.F("cheap", formatBool(s.Cheap)), event.F("domain", s.FailureDomain))
	}
	for id := range old {
		if !slices.ContainsFunc(servers, func(s *registry.Server) bool { return s.ID == id }) {
			c.events.Record(event.KindConfig, "server_gone", id)
		}
	}
}
