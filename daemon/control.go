package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// inboxSize is the maximum number of events that wait for the control
	// goroutine.
	inboxSize = 8192
	// tickInterval is the time between ticks of the state machines; waitingTick
	// applies while requests wait for grants.
	tickInterval = 50 * time.Millisecond
	waitingTick  = 2 * time.Millisecond
	// rebuildInterval is the time after which pools are rebuilt without a change,
	// so that engines whose information has expired are removed from them.
	rebuildInterval = time.Second
	// processTimeout is the time without a heartbeat after which the closing of
	// usage windows no longer waits for a listed process. Usage that the process
	// counted in that time is reported as late.
	processTimeout = 30 * time.Second
)

var (
	inboxDropped  = metrics.NewCounter("mimosakeel_control_events_dropped_total")
	controlEvents = metrics.NewCounter("mimosakeel_control_events_total")
)

// peerMessage is a one-way message from a peer, or from this daemon to itself.
type peerMessage struct {
	from    string
	message peer.Message
}

// query runs a function on the control goroutine.
type query struct{ run func(now time.Time) }

// controlLoop owns all control state. Only its goroutine changes the fields
// below view; traffic goroutines read view and send events to inbox.
type controlLoop struct {
	self  string
	inbox chan any
	view  atomic.Pointer[view]

	inventory  *inventory
	members    *member.Members
	host       *schedule.Host
	pollers    *enginePollers
	config     *configFold
	components []component
	fresh      *freshnessController
	// hasAuthority reports whether this daemon has authority over a failure
	// domain.
	hasAuthority func(domain string) bool
	// processes holds the latest known incarnation of each listed VM.
	processes map[string]process
	clock     *hlc.Clock
	// send delivers a message to a VM.
	send        func(vm string, m peer.Message)
	incarnation string
	dirty       bool
	waiting     bool
	rebuilt     time.Time
}

// process is an incarnation from which a heartbeat was received.
type process struct {
	incarnation   string
	lastHeartbeat time.Time
}

// component is a state machine with its adapter, driven by the control
// goroutine.
type component interface {
	// handle processes an event and reports whether the event was meant for the
	// component.
	handle(now time.Time, ev any) bool
	// tick advances the time of the state machine.
	tick(now time.Time)
	// membership reports new sets of routable and live VMs.
	membership(now time.Time, routable, live *member.Set)
}

// emit queues an event for the control goroutine. If the inbox is full, it
// drops events that carry soft state and blocks for all others, for example log
// pages, because a fold must not miss a page.
func (c *controlLoop) emit(ev any) {
	if !isSoftState(ev) {
		c.inbox <- ev
		return
	}
	select {
	case c.inbox <- ev:
	default:
		inboxDropped.Inc()
	}
}

// isSoftState reports whether an event may be lost. Copies of usage deltas and the
// announcement that a process ends are sent only once.
func isSoftState(ev any) bool {
	switch ev := ev.(type) {
	case logPage, query, orderAppended, orderAnswered, stopLeases, usageAppended, usageReported:
		return false
	case peerMessage:
		switch m := ev.message.(type) {
		case *UsageCopy:
			return false
		case *Heartbeat:
			return !m.Stopped
		}
	}
	return true
}

// ask runs a function on the control goroutine and returns its result. The
// function may still run after the context has ended, so it must not write to
// variables of the caller.
func ask[T any](ctx context.Context, c *controlLoop, run func(now time.Time) T) (T, error) {
	var zero T
	answer := make(chan T, 1)
	q := query{run: func(now time.Time) { answer <- run(now) }}
	select {
	case c.inbox <- q:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// run handles events until the context ends.
func (c *controlLoop) run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.inbox:
			controlEvents.Inc()
			c.handle(time.Now(), ev)
		case <-timer.C:
			c.tick(time.Now())
			timer.Reset(c.interval())
		}
		if c.dirty {
			c.dirty = false
			c.rebuild(time.Now())
		}
	}
}

func (c *controlLoop) interval() time.Duration {
	if c.waiting {
		return waitingTick
	}
	return tickInterval
}

func (c *controlLoop) tick(now time.Time) {
	c.memberActions(now, c.members.Step(now, member.Tick{}))
	c.waiting = c.host.Tick(now)
	for _, p := range c.components {
		p.tick(now)
	}
	c.dirty = c.dirty || now.Sub(c.rebuilt) >= rebuildInterval
}

func (c *controlLoop) handle(now time.Time, ev any) {
	switch ev := ev.(type) {
	case query:
		ev.run(now)
		return
	case peerMessage:
		c.handleMessage(now, ev)
	case vmsListed:
		c.listVMs(now, ev.vms)
	case serversListed:
		c.listServers(ev.servers)
	case engineLoad:
		c.handleEngineLoad(now, ev)
	case engineCache:
		c.host.CacheEvents(now, ev.engine, ev.from, ev.events)
	case logPage:
		if ev.stream == configStream {
			c.config.page(now, ev)
		}
	}
	c.notify(now, ev)
}

func (c *controlLoop) listVMs(now time.Time, vms []hosting.VM) {
	if !slices.Equal(c.inventory.vms, vms) {
		c.inventory.vms = vms
		c.dirty = true
	}
	c.endUnlisted(now, vms)
	c.memberActions(now, c.members.Step(now, member.ListUpdated{VMs: vms}))
}

// endUnlisted ends the processes of VMs that are no longer listed.
func (c *controlLoop) endUnlisted(now time.Time, vms []hosting.VM) {
	for vm, p := range c.processes {
		listed := slices.ContainsFunc(vms, func(v hosting.VM) bool { return v.ID == vm })
		if !listed {
			c.processEnded(now, vm, p)
		}
	}
}

// processEnded notifies the scheduler host and all components that a process
// has ended.
func (c *controlLoop) processEnded(now time.Time, vm string, p process) {
	delete(c.processes, vm)
	c.host.EntryGone(now, vm)
	c.notify(now, incarnationEnded{p.incarnation})
}

// liveIncarnations returns the incarnations that may still add usage.
func (c *controlLoop) liveIncarnations(now time.Time) []string {
	live := []string{c.incarnation}
	for vm, p := range c.processes {
		if vm != c.self && now.Sub(p.lastHeartbeat) < processTimeout {
			live = append(live, p.incarnation)
		}
	}
	return live
}

func (c *controlLoop) notify(now time.Time, ev any) {
	for _, p := range c.components {
		p.handle(now, ev)
	}
}

func (c *controlLoop) listServers(servers []hosting.Server) {
	if c.inventory.sameServers(servers) {
		return
	}
	c.inventory.setServers(servers)
	c.dirty = true
}

func (c *controlLoop) memberActions(now time.Time, actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.LiveChanged:
			c.liveChanged(now, a)
		case member.SendHeartbeat:
			c.sendHeartbeats(now, a)
		}
	}
}

func (c *controlLoop) liveChanged(now time.Time, a member.LiveChanged) {
	for _, vm := range c.inventory.live.IDs() {
		if !a.Live.Contains(vm) {
			c.host.EntryGone(now, vm)
		}
	}
	c.inventory.routable = a.Routable
	c.inventory.live = a.Live
	c.dirty = true
	// Without a rank the checkpointer answers no anchor request and writes no
	// checkpoint, and then no daemon could start on a trimmed log.
	c.config.checkpointer.SetRank(slices.Index(a.Routable.Ranks(table.Subject, leaseCandidates), c.self))
	for _, p := range c.components {
		p.membership(now, a.Routable, a.Live)
	}
}

// sendHeartbeats sends a heartbeat to each peer.
func (c *controlLoop) sendHeartbeats(now time.Time, a member.SendHeartbeat) {
	seq, statement := c.fresh.beginRound(now)
	beat := Heartbeat{
		Incarnation:   c.incarnation,
		Clock:         c.clock.Now(),
		Seq:           seq,
		Statement:     statement,
		ConfigVersion: c.config.current.Load().Version(),
		Rumours:       a.Rumours,
		Engines:       c.probedEngines(now),
		Pools:         c.host.Summaries(now),
		Demand:        c.host.Demand(now),
	}
	for _, vm := range a.Peers {
		own := beat
		own.Echo = c.fresh.lastSeq[vm]
		c.send(vm, &own)
	}
	c.updateFallbacks(beat.Pools)
}

func (c *controlLoop) updateFallbacks(pools []schedule.PoolSummary) {
	for _, p := range pools {
		if f, ok := c.inventory.fallbacks[p.Pool]; ok {
			f.Update(p.Summary, c.inventory.live.Len())
		}
	}
}

// probedEngines returns information about the engines that this daemon probes.
func (c *controlLoop) probedEngines(now time.Time) []EngineInfo {
	var infos []EngineInfo
	for id, e := range c.inventory.engines {
		if c.probes(id) && now.Sub(e.at) < engineInfoTimeout {
			infos = append(infos, e.info)
		}
	}
	return infos
}

// probes reports whether this daemon probes an engine on behalf of all daemons.
func (c *controlLoop) probes(engine string) bool {
	domain := c.inventory.servers[engine].FailureDomain
	return c.inventory.routable.OwnerIn(domain, "probe/"+engine) == c.self
}

func (c *controlLoop) isScheduler(key pool.Key) bool { return c.inventory.scheduler(key) == c.self }

func (c *controlLoop) handleEngineLoad(now time.Time, ev engineLoad) {
	if ev.err != nil {
		c.host.Down(now, ev.engine)
		return
	}
	if ev.load.Engine != ev.engine {
		return
	}
	c.host.Load(now, ev.load)
	c.inventory.updateLoad(ev.load)
	info := EngineInfo{
		Engine:   ev.engine,
		Model:    ev.load.Model,
		Role:     ev.load.Role,
		KVTotal:  ev.load.KVTotal,
		Changing: ev.load.Leaving,
	}
	c.dirty = c.inventory.updateEngine(now, info) || c.dirty
}

// rebuild publishes a new view after a change of the servers, the VMs, the live
// set or the engine information.
func (c *controlLoop) rebuild(now time.Time) {
	c.rebuilt = now
	specs := c.inventory.pools(now)
	c.host.Update(now, specs, c.isScheduler)
	c.view.Store(c.inventory.build(specs))
	c.pollers.reconcile(c.wantedPollers(specs))
}

func (c *controlLoop) wantedPollers(specs []schedule.PoolSpec) map[string]pollTarget {
	want := map[string]pollTarget{}
	for id, s := range c.inventory.servers {
		polled := c.probes(id) || c.hasAuthority(s.FailureDomain)
		if s.Kind == hosting.KindEngine && s.State != hosting.ServerStarting && polled {
			want[id] = pollTarget{url: s.URL}
		}
	}
	for _, spec := range specs {
		if !c.isScheduler(spec.Key) {
			continue
		}
		for _, r := range spec.Runners {
			want[r.ID] = pollTarget{url: c.inventory.servers[r.ID].URL, hosted: true}
		}
	}
	return want
}

// handleMessage handles a one-way message.
func (c *controlLoop) handleMessage(now time.Time, ev peerMessage) {
	switch m := ev.message.(type) {
	case *Heartbeat:
		c.handleHeartbeat(now, ev.from, m)
	case *schedule.GrantRequest:
		m.Request.Entry = ev.from
		c.host.Request(now, m)
		c.waiting = true
	case *schedule.GrantCancel:
		c.host.Step(now, m.Pool, pool.Cancelled{Entry: ev.from, Request: m.Request})
	case *schedule.Progress:
		c.host.Progress(now, m)
	case *schedule.Release:
		c.host.Release(now, m)
	case *schedule.Adopt:
		m.Request.Entry = ev.from
		c.host.Step(now, m.Pool, pool.Adopted{Request: m.Request, Runner: m.Runner, Tokens: m.Tokens})
	}
}

func (c *controlLoop) handleHeartbeat(now time.Time, from string, m *Heartbeat) {
	c.memberActions(now, c.members.Step(now, member.HeartbeatReceived{From: from, Rumours: m.Rumours}))
	_ = c.clock.Observe(m.Clock) // a clock far ahead is ignored
	if old, ok := c.processes[from]; ok && old.incarnation != m.Incarnation {
		c.processEnded(now, from, old)
	}
	if m.Stopped {
		c.processEnded(now, from, process{incarnation: m.Incarnation})
		return
	}
	c.processes[from] = process{incarnation: m.Incarnation, lastHeartbeat: now}
	for _, info := range m.Engines {
		c.dirty = c.inventory.updateEngine(now, info) || c.dirty
	}
	c.updateFallbacks(m.Pools)
}
