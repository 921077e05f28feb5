package daemon

import (
	"time"

	"github.com/mimosakeel/mimosakeel/claim"
	"github.com/mimosakeel/mimosakeel/fleet"
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/limit"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/usage"
)

// assemble creates the components of the daemon. It starts no goroutines except
// the peer listener, whose handler only queues events.
func (d *Daemon) assemble(cfg Config) error {
	now := time.Now()
	vm := d.settings.Process.VM
	self := lease.Identity{Incarnation: d.settings.Incarnation(now), VM: vm}
	d.control = d.newControlLoop(cfg, self)
	if err := d.connect(cfg); err != nil {
		return err
	}
	d.appends = map[string]*appender{}
	for _, stream := range d.streams() {
		d.appends[stream] = newAppender(d.platform.Log, stream)
	}
	d.claims = claim.NewRunner(claim.Config{Spacing: claimSpacing}, self.Incarnation, d.platform.Log)
	d.usage = d.newUsage(self)
	d.orders = d.newOrders(self)
	d.gateway = d.newGateway()
	d.addComponents(now, cfg, self)
	return nil
}

func (d *Daemon) newControlLoop(cfg Config, self lease.Identity) *controlLoop {
	c := &controlLoop{
		self:        self.VM,
		incarnation: self.Incarnation,
		inbox:       make(chan any, inboxSize),
		inventory:   newInventory(self.VM),
		members:     member.New(self.VM),
		processes:   map[string]process{},
		clock:       cfg.Clock,
		send:        d.send,
	}
	c.view.Store(emptyView())
	return c
}

// connect creates the clients of schedulers, customer homes and the log, and
// the connection to other daemons.
func (d *Daemon) connect(cfg Config) error {
	c := d.control
	rows := directory{d.gate.current}
	d.log = &relayedLog{Log: d.platform.Log, view: c.view.Load, observe: func(r directRead) { c.emit(r) }}
	d.grants = newGrantClient(c.self, cfg.Pool, c.view.Load, rows.weight, d.send)
	d.limits = newLimiter(c.self, c.view.Load, d.gate.current, d.send)
	d.peers = &peerHandler{emit: c.emit, grants: d.grants, limits: d.limits, log: d.log}
	node, err := peer.Listen(d.settings.Peers.Listen, d.keys, d.peers)
	if err != nil {
		return err
	}
	d.node = node
	d.log.node = node
	d.boxes = peer.NewOutboxes(d.ctx, node)
	return nil
}

func (d *Daemon) newGateway() *gateway.Gateway {
	return gateway.New(gatewayConfig(d.settings), gateway.Dependencies{
		Directory: directory{d.gate.current},
		Freshness: d.gate,
		Limiter:   d.limits,
		Usage:     d.usage.totals,
		Claims:    d.claims,
		Scheduler: d.grants,
		Backends:  newServiceBackends(d.control.view.Load, d.gate.current),
		Events:    d.events,
		Clock:     gateway.SystemClock{},
		Engines:   d.engines,
		Services:  d.services,
	})
}

// addComponents creates the control state that depends on the gateway.
func (d *Daemon) addComponents(now time.Time, cfg Config, self lease.Identity) {
	c := d.control
	c.host = schedule.NewHost(cfg.Pool, d.send)
	c.pollers = newEnginePollers(d.ctx, d.engines, c.emit)
	c.fresh = newFreshnessController(self.VM, d.settings.Config.WithdrawalBound, d.gate, d.events)
	c.config = d.newConfigFold(d.gate.current, self.Incarnation)
	c.hasAuthority = func(domain string) bool { return d.orders.hasAuthority(time.Now(), domain) }
	fleets := newFleetController(fleetConfig(), d.orders, c.inventory, d.gate.current)
	fleets.localDemand = c.host.Demand
	d.orders.closed = fleets.closed
	homes := &limitHomes{self: self.VM, limiter: d.limits, home: limit.NewHome(now), send: d.send}
	d.ready = &readiness{gate: d.gate, config: c.config, orders: d.orders, usage: d.usage, set: d.gateway.SetReady}
	c.components = []component{d.orders, d.usage, fleets, claimNotifier{d.claims}, homes, c.fresh, d.ready}
}

// newOrders returns the order controller with its effects.
func (d *Daemon) newOrders(self lease.Identity) *orderController {
	cfg := order.Default()
	cfg.Lease = leaseConfig(d.settings)
	o := newOrderController(cfg, self, d.settings.Platform.OrdersCheckFence)
	sender := &orderSender{ctx: d.ctx, self: self.Incarnation, engines: d.engines, servers: d.platform.Servers, events: d.events}
	o.send = sender.send
	o.append = d.appendTo(controlStream)
	o.emit = d.control.emit
	o.events = d.events
	return o
}

// newUsage returns the usage controller with its effects.
func (d *Daemon) newUsage(self lease.Identity) *usageController {
	cfg := usage.Default()
	cfg.Lease = leaseConfig(d.settings)
	cfg.ChecksFence = d.settings.Platform.UsageChecksFence
	u := newUsageController(cfg, self, d.settings.Usage.Window)
	u.append = d.appendTo(usageStream)
	u.report = d.platform.Usage.Report
	u.send = d.send
	u.emit = d.control.emit
	u.events = d.events
	u.live = d.control.liveIncarnations
	return u
}

// fleetConfig returns the parameters of the fleet decisions. All engines keep
// the mixed role, because the gateway does not hand streams over from a prefill
// to a decode engine yet.
func fleetConfig() fleet.Config {
	cfg := fleet.DefaultConfig()
	cfg.MixedEfficiency = 1
	return cfg
}

func leaseConfig(s settings.Settings) lease.Config {
	cfg := lease.Default()
	cfg.Duration = s.Lease.Duration
	cfg.Renewal = s.Lease.Renew
	cfg.Margin = s.Lease.Margin
	cfg.CheckpointEvery = s.CheckpointInterval()
	return cfg
}
