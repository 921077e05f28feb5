// Package edge implements the daemon that serves typed requests in front of the
// backend servers that the platform's store lists. It follows the configuration
// and the servers in the store, exchanges their state with the other daemons,
// and schedules and executes requests.
package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/reach"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/replica"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/versionpin"
)

// Source names the topics of the store and decodes the records of the platform.
type Source struct {
	ConfigTopic  hosting.Topic
	ConfigKey    string
	DecodeConfig func(data []byte) (catalog.Config, error)
	ServerTopic  hosting.Topic
	DecodeServer registry.Decode
	// MemberTopic holds the entry of every daemon, by VM.
	MemberTopic hosting.Topic
	// QuarantineTopic holds the parts of prompts that crash servers.
	QuarantineTopic hosting.Topic
	// VersionTopic and StreamTopic hold the software versions of servers and of streams.
	VersionTopic, StreamTopic hosting.Topic
	// LeaseTopic holds the lease that selects the daemon that reports usage and
	// orders servers, and the decisions of its holders.
	LeaseTopic hosting.Topic
}

// Config holds the settings of a daemon and the interfaces that it uses.
type Config struct {
	Settings Settings
	Topics   hosting.Topics
	Source   Source
	Backends dispatch.Backends
	Usage    UsageReports
	Capacity hosting.Capacity
	Engines  EngineOrders
	// Dial opens connections to backend servers over the own path. Connections are those
	// that requests use, which DialServer has opened; nil if they are not known.
	Dial        backend.DialFunc
	Connections Connections
	Events      *event.Recorder
	// ClientHandler returns the HTTP handler for clients.
	ClientHandler func(d *Daemon) http.Handler
}

// Daemon is the edge daemon of one VM.
type Daemon struct {
	Config
	control    *control
	grants     *grantClient
	plain      *plainScheduler
	versions   *versionpin.Pins
	dispatcher *dispatch.Dispatcher
	node       *peer.Node
	outboxes   *peer.Outboxes
	limits     *serverLimits
	dialer     *reach.Dialer
	relays     *relays
	// relaying is the number of connections that this daemon relays for others.
	relaying atomic.Int64

	customerLimits *customerLimits
	counter        *metering.Counter
	clock          *metering.Clock
	budget         *retryBudget
	metrics        *metrics.Set
	ingress        *ingress.Gate
	stopping       atomic.Bool
	active         atomic.Int64
}

// New returns a daemon. It starts no work before Run.
func New(cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{Config: cfg, relays: newRelays()}
	if d.Connections == nil {
		d.Connections = noConnections{}
	}
	d.dialer = d.newDialer()
	d.Connections.OnHeard(func() { d.dialer.Table.Heard(time.Now()) })
	incarnation := s.VM + "." + strconv.FormatInt(time.Now().UnixMilli(), 36)
	d.control = newControl(s.VM, incarnation, cfg.Source, cfg.Events, newMemberTable())
	d.control.pools.scheduling = s.Scheduling
	d.control.send = d.send
	d.control.disconnect = d.disconnect
	d.control.relayState = d.relayState
	d.control.relayObserved = d.relayObserved
	d.control.feeds = d.newFeeds()
	d.control.host = schedule.NewHost(pool.DefaultConfig(), d.send)
	d.grants = newGrantClient(s.VM, s.FailureDomain)
	d.grants.view = d.control.view.Load
	d.grants.server = d.server
	d.grants.send = d.send
	d.grants.serversFields, d.grants.events = d.control.serversReplica.fields, cfg.Events
	d.grants.isDown = d.isDown
	d.grants.noteCache = func(pool string, runners []string, blocks []uint64) {
		d.control.emit(controlTask{run: func(now time.Time) { d.control.host.NoteCache(now, pool, runners, blocks) }})
	}
	d.counter = metering.NewCounter(s.Usage.Window)
	d.clock = metering.NewClock(bootNow, time.Now)
	d.control.clock = d.clock
	guard := newContentGuard(d.clock.Now)
	guard.dial = d.DialServer
	d.control.quarantine = newQuarantineControl(d.control, s.Quarantine, guard)
	guard.report = func(m *CrashReport) {
		d.control.emit(controlTask{run: func(now time.Time) { d.control.quarantine.report(now, m) }})
	}
	d.control.duties = d.newDuties(incarnation)
	d.customerLimits = d.control.customerLimits
	d.customerLimits.settings = s.CustomerLimits
	d.customerLimits.borrower.Timeout = s.CustomerLimits.HomeTimeout
	d.limits = newServerLimits(cfg.Events)
	d.plain = newPlainScheduler(s.FailureDomain)
	d.limits.pass = func(server *registry.Server, limit float64, limited bool) {
		d.plain.setLimit(server.ID, limit, limited)
		d.control.emit(controlTask{run: func(now time.Time) { d.control.limitNamed(now, server, limit, limited) }})
	}
	d.plain.share = d.control.plainShare
	d.control.limitPlain = d.plain.setLimit
	d.control.schedulersChanged = func(now time.Time) {
		for _, n := range d.limits.recent(now) {
			d.control.limitNamed(now, n.server, n.limit, true)
		}
	}
	d.plain.servers = func(service string) []*registry.Server { return d.control.servers.Load().ofService(service) }
	d.enableExpectedCost()
	d.plain.serversFields = d.control.serversReplica.fields
	d.control.schedulerLeft = d.grants.schedulerLeft
	d.budget = newRetryBudget(s.Retry, d.retryShares)
	d.versions = d.newVersionPins()
	d.control.setServing, d.control.setVersions = d.versions.SetServing, d.versions.SetVersions
	d.dispatcher = &dispatch.Dispatcher{
		Scheduler:  scheduler{engines: d.grants, plain: d.plain, server: d.server},
		Backends:   cfg.Backends,
		Budget:     d.budget,
		Quarantine: guard,
		Versions:   d.versions,
		Usage:      d,
		Events:     cfg.Events,
		Shutdown:   dispatch.NewShutdown(),
		Steps:      dispatch.NewEventSteps(),
	}
	d.ingress = d.newIngress()
	d.control.setIngress = d.ingress.SetLimits
	d.metrics = d.newMetrics()
	return d
}

// minRetryShares is the minimum number of daemons that the extra retries are
// divided among. It keeps the share small while this daemon does not know all
// others yet.
const minRetryShares = 8

// retryShares returns the number of daemons that the extra retries are divided
// among. It counts each member twice, because a process that was replaced may
// already have used its share.
func (d *Daemon) retryShares() int { return 2 * max(len(d.control.memberTable.load()), minRetryShares) }

func (d *Daemon) newDuties(incarnation string) *duties {
	s := d.Settings
	out := newDuties(s.VM, incarnation, s.Lease, s.Usage)
	out.topics, out.topic = d.Topics, d.Source.LeaseTopic
	out.usage, out.events = d.Config.Usage, d.Events
	out.emit = d.control.emit
	out.clock, out.counter = d.clock, d.counter
	out.send = d.send
	d.control.fleet = d.newFleet(out)
	out.fleet = d.control.fleet
	return out
}

func (d *Daemon) newFleet(duties *duties) *fleetControl {
	return &fleetControl{
		vm:         d.Settings.VM,
		settings:   d.Settings.Fleet,
		control:    d.control,
		duties:     duties,
		capacity:   d.Capacity,
		engines:    d.Engines,
		events:     d.Events,
		services:   map[string]*serviceFleet{},
		baseCounts: map[string]int{},
		observed:   map[string]observedCount{},
		badDemand:  map[string]string{},
	}
}

// RequestStarted implements dispatch.Usage. It counts a request of a customer.
func (d *Daemon) RequestStarted(customer string) { d.counter.CountRequest(customer, d.clock.Now()) }

// scheduler passes each request to the scheduler for engines or for plain
// services.
type scheduler struct {
	engines *grantClient
	plain   *plainScheduler
	server  func(id string) *registry.Server
}

func (s scheduler) Place(ctx context.Context, r dispatch.PlacementRequest) (*dispatch.Placement, error) {
	if r.Request.Service.Engine != nil {
		return s.engines.Place(ctx, r)
	}
	return s.plain.Place(ctx, r)
}

func (s scheduler) schedulerOf(p *dispatch.Placement) interface {
	Prefilled(*dispatch.Placement)
	Started(*dispatch.Placement)
	Done(*dispatch.Placement, dispatch.Result)
} {
	if p.Ticket != nil {
		return s.engines
	}
	return s.plain
}

// Usable implements dispatch.Scheduler. It checks the server against the current
// list of servers.
func (s scheduler) Usable(server *registry.Server) bool {
	now := s.server(server.ID)
	return now != nil && now.StartedMs == server.StartedMs && now.SoftwareVersion == server.SoftwareVersion && !now.Draining
}

func (s scheduler) Prefilled(p *dispatch.Placement)               { s.schedulerOf(p).Prefilled(p) }
func (s scheduler) Started(p *dispatch.Placement)                 { s.schedulerOf(p).Started(p) }
func (s scheduler) Done(p *dispatch.Placement, r dispatch.Result) { s.schedulerOf(p).Done(p, r) }

// startWait is the maximum time for which a request waits for the first
// configuration and list of servers. A daemon reads both within 0.1 s of its
// start, and most clients give up after waiting for a second.
const startWait = time.Second

// AwaitLoaded waits until the first configuration and list of servers are known,
// the context ends, or startWait has passed.
func (d *Daemon) AwaitLoaded(ctx context.Context) {
	select {
	case <-d.control.loaded:
		return
	default:
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-d.control.loaded:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Catalog returns the configuration in force, or nil before the first one.
func (d *Daemon) Catalog() *catalog.Catalog { return d.control.catalog.Load() }

// Stopping reports whether a planned stop has begun.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

func (d *Daemon) server(id string) *registry.Server { return d.control.servers.Load().server(id) }

// Serve executes a request and writes its answer. It returns when the request
// has ended.
func (d *Daemon) Serve(ctx context.Context, r *dispatch.Request, answer dispatch.Answer) {
	d.active.Add(1)
	defer d.active.Add(-1)
	d.dispatcher.Serve(ctx, r, answer)
}

// send delivers a message to a VM, also to this one, without blocking.
func (d *Daemon) send(vm string, m peer.Message) {
	if vm == d.Settings.VM {
		d.deliver(vm, m)
		return
	}
	if addr, ok := d.control.memberTable.addr(vm); ok {
		d.outboxes.Send(addr, m)
	}
}

// disconnect closes the connection to a VM whose entry has changed.
func (d *Daemon) disconnect(vm string) {
	if addr, ok := d.control.memberTable.addr(vm); ok {
		go d.node.Forget(addr)
	}
}

// deliver passes a grant reply or a slice to the waiting requests and any other
// message to the control goroutine.
func (d *Daemon) deliver(from string, m peer.Message) {
	if reply, ok := m.(*schedule.GrantReply); ok {
		d.grants.deliver(from, reply)
		return
	}
	if slice, ok := m.(*Slice); ok {
		d.customerLimits.receive(from, slice)
		return
	}
	if copies, ok := m.(*StreamCopies); ok {
		d.versions.Receive(&copies.Copies)
		return
	}
	d.control.emit(peerMessage{from: from, message: m, at: time.Now()})
}

// HandleMessage implements peer.Handler. It ignores unknown kinds, which come
// from newer versions.
func (d *Daemon) HandleMessage(vm string, f peer.Frame) error {
	m := newMessage(f.Kind)
	if m == nil {
		return nil
	}
	if err := f.Decode(m); err != nil {
		return err
	}
	d.deliver(vm, m)
	return nil
}

// HandleCall implements peer.Handler.
func (d *Daemon) HandleCall(context.Context, string, peer.Frame) (peer.Message, error) {
	return nil, eris.New("calls are not served")
}

// Run serves requests until the context ends, and then drains the daemon. It
// returns an error if a listener fails.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if err := d.join(work); err != nil {
		return err
	}
	defer d.node.Close()
	defer d.ingress.Close()
	clients, failed, err := d.listen()
	if err != nil {
		return err
	}
	d.control.duties.ctx = work
	d.control.quarantine.put = func(r hosting.KeyedRecord) { go d.putQuarantine(work, r) }
	go d.versions.Run(work)
	go d.watchPaths(work)
	go d.control.run(work)
	for _, f := range d.control.feeds {
		go f.follower.run(work)
	}
	d.Events.Record(event.KindConfig, "started", d.control.incarnation)
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	d.drain(clients)
	return nil
}

// join listens on the peer address and writes the daemon's member entry to the
// store in the background.
func (d *Daemon) join(ctx context.Context) error {
	keys, fingerprint, err := peer.NewPinnedKeys(d.Settings.VM, d.control.memberTable.pin)
	if err != nil {
		return err
	}
	d.node, err = peer.Listen(d.Settings.Peers, keys, d)
	if err != nil {
		return err
	}
	d.outboxes = peer.NewOutboxes(ctx, d.node)
	entry := memberEntry{
		Incarnation:   d.control.incarnation,
		Addr:          d.Settings.Peers,
		FailureDomain: d.Settings.FailureDomain,
		Certificate:   fingerprint.String(),
		Cores:         d.Settings.Cores,
	}
	d.control.announcer = newAnnouncer(d.Topics, d.Source.MemberTopic, d.Settings.VM, entry, d.Events)
	go d.control.announcer.run(ctx)
	return nil
}

// listen serves clients, the readiness check and, if configured, the metrics.
// Errors of the servers arrive on failed.
func (d *Daemon) listen() (clients *ingress.Server, failed chan error, err error) {
	failed = make(chan error, 3)
	listener, err := listen(d.Settings.Clients)
	if err != nil {
		return nil, nil, err
	}
	clients = ingress.NewServer(&http.Server{Handler: d.ClientHandler(d)}, d.ingress, d.ingress.Listen(listener))
	aside := map[string]http.Handler{d.Settings.Readiness: http.HandlerFunc(d.readiness)}
	if addr := d.Settings.Metrics; addr != "" {
		aside[addr] = d.metricsRoutes()
	}
	for addr, handler := range aside {
		listener, err := listen(addr)
		if err != nil {
			return nil, nil, err
		}
		server := &http.Server{Handler: handler}
		d.ingress.Attach(server)
		go func() { failed <- server.Serve(d.ingress.ListenAside(listener)) }()
	}
	go func() { failed <- clients.Serve() }()
	return clients, failed, nil
}

func listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	return listener, eris.Wrapf(err, "listen on %s", addr)
}

// newFeeds returns the feeds of the topics that all daemons replicate.
func (d *Daemon) newFeeds() (feeds [feedCount]*feed) {
	topics := [feedCount]hosting.Topic{
		feedConfig:     d.Source.ConfigTopic,
		feedServers:    d.Source.ServerTopic,
		feedMembers:    d.Source.MemberTopic,
		feedQuarantine: d.Source.QuarantineTopic,
		feedVersions:   d.Source.VersionTopic,
	}
	keep := map[feedID]replica.Keep{
		feedConfig:     d.control.keepConfig,
		feedServers:    d.control.keepServer,
		feedMembers:    keepMember,
		feedQuarantine: keepQuarantine,
	}
	for id, topic := range topics {
		read := func(page hosting.KeyedPage, reset bool) {
			d.control.emit(feedPage{feed: feedID(id), page: page, reset: reset})
		}
		feeds[id] = &feed{topic: topic, replica: replica.New(keep[feedID(id)]), follower: newFollower(d.Topics, topic, d.Events, read)}
	}
	feeds[feedQuarantine].follower.wait = quarantineWait
	feeds[feedVersions].follower.wait = quarantineWait
	feeds[feedServers].follower.spacing = serverReadSpacing
	return feeds
}

// metricsPath is the path under which the metrics address serves the metrics.
const metricsPath = "/metrics"

func (d *Daemon) metricsRoutes() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc(metricsPath, d.ServeMetrics).Methods(http.MethodGet)
	return routes
}

func (d *Daemon) readiness(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.Catalog() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
