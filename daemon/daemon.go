// Package daemon assembles the packages of mimosakeel into the process that
// runs on every entry VM: one control goroutine that owns all control state,
// traffic goroutines that read immutable views, and the adapters between them.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/claim"
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

// The names of the log streams.
const (
	configStream  = table.Stream
	controlStream = "control"
	usageStream   = "usage"
)

const (
	// stopTimeout limits the release of leases and the last appends at a planned
	// stop. The wait for running requests has no time limit.
	stopTimeout = 10 * time.Second
	// announceTimeout limits the announcement to the peers that this process ends.
	announceTimeout = 500 * time.Millisecond
	// claimSpacing is the minimum time between two appends to a claim stream. With
	// 8 daemons and 4 streams in constant use it allows 50 appends per second, of
	// the 60 that all streams may have at the present size.
	claimSpacing = 640 * time.Millisecond
	// keysReloadInterval is the time between reloads of the peer certificate
	// files.
	keysReloadInterval = 30 * time.Second
)

// Platform holds the interfaces of the platform that a daemon uses.
type Platform struct {
	Log     hosting.Log
	Servers hosting.Servers
	Usage   hosting.Usage
	VMs     hosting.VMs
}

// Config holds the settings and dependencies of a daemon.
type Config struct {
	Settings settings.Settings
	Platform Platform
	Keys     *peer.Keys
	// Events records the daemon's events. Clock is the hybrid logical clock that
	// Events uses.
	Events *Recorder
	Clock  *hlc.Clock
	Pool   pool.Config
}

// Daemon is the process that runs on an entry VM.
type Daemon struct {
	settings settings.Settings
	events   *Recorder
	control  *controlLoop
	gateway  *gateway.Gateway
	grants   *grantClient
	node     *peer.Node
	keys     *peer.Keys
	log      *relayedLog
	platform Platform
	engines  *backend.Engines
	services *backend.Services
	ingress  *ingress.Gate
	listener net.Listener
	server   *ingress.Server
	appends  map[string]*appender
	gate     *freshnessGate
	orders   *orderController
	usage    *usageController
	ready    *readiness
	claims   *claim.Runner
	limits   *limiter
	peers    *peerHandler
	boxes    *peer.Outboxes

	ctx  context.Context
	stop context.CancelFunc
}

// Start opens the daemon's addresses and starts its goroutines. The caller must
// call Run afterwards.
func Start(cfg Config) (*Daemon, error) {
	s := cfg.Settings
	listener, err := net.Listen("tcp", s.Clients.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "clients.listen %s", s.Clients.Listen)
	}
	ingressGate := newIngress(s.Clients, cfg.Events)
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s,
		events:   cfg.Events,
		platform: cfg.Platform,
		keys:     cfg.Keys,
		engines:  backend.NewEngines(nil),
		services: backend.NewServices(nil),
		ingress:  ingressGate,
		listener: ingressGate.Listen(listener),
		gate:     &freshnessGate{current: table.NewCurrent()},
		ctx:      ctx,
		stop:     stop,
	}
	if err := d.assemble(cfg); err != nil {
		stop()
		ingressGate.Close()
		_ = listener.Close()
		return nil, err
	}
	d.launch()
	return d, nil
}

// appendTo returns a function that appends records to a stream. The result is
// always reported; if the queue is full, it is OutcomeRefused, because the
// record is certainly not appended.
func (d *Daemon) appendTo(stream string) func(record.Envelope, func(appendResult)) {
	return func(e record.Envelope, done func(appendResult)) {
		request := appendRequest{id: e.ID, data: record.Encode(e), done: done}
		if !d.appends[stream].submit(request) {
			go done(appendResult{stream: stream, id: e.ID, outcome: hosting.OutcomeRefused})
		}
	}
}

func gatewayConfig(s settings.Settings) gateway.Config {
	return gateway.Config{
		MaxBodyBytes:        s.Clients.BodyLimit,
		BodyTimeout:         s.Clients.BodyTimeout,
		InteractiveDeadline: s.Clients.InteractiveDeadline,
		BatchDeadline:       s.Clients.BatchDeadline,
		RetryRatio:          s.Clients.RetryBudget,
	}
}

// send delivers a message to a VM, which may be this one, without blocking.
func (d *Daemon) send(vm string, m peer.Message) {
	if vm == d.settings.Process.VM {
		d.peers.dispatch(vm, m)
		return
	}
	if addr, ok := d.control.view.Load().addrs[vm]; ok {
		d.boxes.Send(addr, m)
	}
}

func (d *Daemon) launch() {
	go d.control.run(d.ctx)
	go d.grants.run(d.ctx)
	go d.gate.watch(d.ctx, d.gateway.Sessions().EndUnverified)
	go pollLists(d.ctx, d.platform.VMs, d.platform.Servers, d.control.emit)
	go d.reloadKeys()
	for _, a := range d.appends {
		go a.run(d.ctx)
	}
	d.tail(configStream, d.log, readWait)
	d.tail(controlStream, d.platform.Log, readWait)
	d.tail(usageStream, d.platform.Log, readWait)
	go func() { _ = d.claims.Run(d.ctx) }()
}

// streams returns the log streams to which the control goroutine appends.
func (d *Daemon) streams() []string { return []string{configStream, controlStream, usageStream} }

func (d *Daemon) tail(stream string, log hosting.Log, wait time.Duration) {
	t := &tailer{log: log, stream: stream, wait: wait, emit: d.control.emit, events: d.events}
	go t.run(d.ctx)
}

func (d *Daemon) reloadKeys() {
	for d.ctx.Err() == nil {
		sleep(d.ctx, keysReloadInterval)
		if err := d.keys.Reload(); err != nil {
			d.events.fault("peer_keys_not_reloaded", err)
		}
	}
}

// Addr returns the address for clients.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// PeerAddr returns the UDP address for other daemons.
func (d *Daemon) PeerAddr() string { return d.node.Addr() }

// Run serves clients until the context ends. Then it makes a planned stop: it
// reports not ready, waits for the load balancer, completes all requests and
// releases its leases.
func (d *Daemon) Run(ctx context.Context) error {
	d.server = ingress.NewServer(&http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: d.settings.Clients.HeaderTimeout,
	}, d.ingress, d.listener)
	defer d.ingress.Close()
	failed := make(chan error, 1)
	go func() { failed <- d.serve() }()
	select {
	case err := <-failed:
		d.close()
		return err
	case <-ctx.Done():
	}
	d.shutdown()
	return nil
}

func (d *Daemon) serve() error {
	s := d.settings.Clients
	var err error
	if s.TLSCert != "" {
		err = d.server.ServeTLS(d.listener, s.TLSCert, s.TLSKey)
	} else {
		err = d.server.Serve()
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve clients")
}

func (d *Daemon) shutdown() {
	d.events.process("stopping")
	d.ready.stopping.Store(true)
	d.gateway.SetReady(false)
	sleep(context.Background(), d.settings.Process.DrainGrace)
	_ = d.gateway.Drain(context.Background())
	if d.settings.Clients.TLSCert != "" {
		// Clients of HTTP/2 are told to go away.
		_ = d.server.Shutdown(context.Background())
	} else {
		_ = d.server.Stop(context.Background())
	}
	d.releaseLeases()
	d.announceEnd()
	d.close()
	d.events.process("stopped")
}

// releaseLeases releases all leases, so that another daemon takes over at once,
// and waits until all outcomes of claims are in the log.
func (d *Daemon) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.control.emit(stopLeases{})
	released := false
	for !released && ctx.Err() == nil {
		sleep(ctx, tickInterval)
		released, _ = ask(ctx, d.control, func(time.Time) bool { return d.orders.released() && d.usage.idle() })
	}
	_ = d.claims.Drain(ctx)
}

// announceEnd informs the live peers that this process ends, so that usage
// windows and claims do not wait for it. A lost announcement only delays them.
func (d *Daemon) announceEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	beat := &Heartbeat{Incarnation: d.control.incarnation, Clock: d.control.clock.Now(), Stopped: true}
	var calls sync.WaitGroup
	for _, addr := range d.control.view.Load().peerAddrs {
		calls.Go(func() { _ = d.node.Send(ctx, addr, beat) })
	}
	calls.Wait()
}

func (d *Daemon) close() {
	d.stop()
	_ = d.listener.Close()
	_ = d.node.Close()
	d.engines.Close()
	d.services.Close()
}
