// Package cluster runs daemons in one process on loopback, together with
// stand-ins for the platform and the backend servers. The demo and tests use it.
package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/daemon"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/standin"
	"github.com/mimosakeel/mimosakeel/standin/app"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
)

const (
	loopback = "127.0.0.1:0"
	// keyValidity is longer than any run, so that no certificate expires.
	keyValidity = 24 * time.Hour
)

// Config describes a cluster.
type Config struct {
	// Daemons is the number of daemons; they are spread over the failure
	// domains in turn.
	Daemons        int
	FailureDomains []string
	// EnginesPerDomain and CheapPerDomain are the numbers of on-demand and cheap
	// engines that run in each failure domain at the start.
	EnginesPerDomain int
	CheapPerDomain   int
	// Model and Version are the model and the version that engines start with.
	Model     string
	Version   string
	TimeScale float64
	Platform  fake.Config
	// Adjust, if set, changes the settings of daemon i before it starts.
	Adjust func(i int, s *settings.Settings)
	// Events, if set, returns the writer for the timeline of daemon i.
	Events func(i int) io.Writer
}

// Cluster is a set of running daemons and stand-ins.
type Cluster struct {
	Platform     *fake.Platform
	PlatformHost *standin.Host
	App          *app.App
	Daemons      []*Member

	cfg     Config
	ca      *peer.CA
	appHost *standin.Host
}

// Member is one running daemon of a cluster.
type Member struct {
	VM     string
	Daemon *daemon.Daemon
	URL    string

	stop context.CancelFunc
	done chan error
}

// Start starts the stand-ins and the daemons. If it fails, it stops all of them
// again.
func Start(cfg Config) (*Cluster, error) {
	ca, err := peer.NewCA(keyValidity)
	if err != nil {
		return nil, err
	}
	c := &Cluster{cfg: cfg, ca: ca}
	if err := c.startStandins(); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range cfg.Daemons {
		if err := c.startDaemon(i); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startStandins() error {
	host, service, err := standin.StartApp(loopback, "stamps")
	if err != nil {
		return err
	}
	c.appHost, c.App = host, service
	cfg := c.cfg.Platform
	cfg.FailureDomains = c.cfg.FailureDomains
	cfg.Servers = append(cfg.Servers, hosting.Server{
		ID: "app-1", Kind: hosting.KindApp, Service: "stamps", FailureDomain: c.cfg.FailureDomains[0],
		Class: hosting.ClassOnDemand, URL: host.URL, State: hosting.ServerLive,
	})
	for i := range c.cfg.Daemons {
		addr, err := freeUDPAddr()
		if err != nil {
			return err
		}
		cfg.VMs = append(cfg.VMs, hosting.VM{
			ID: vmName(i), Addr: addr, FailureDomain: c.domain(i), State: hosting.VMLive,
		})
	}
	c.cfg.Platform = cfg
	engineConfig := engine.ServerConfig{Engine: engine.Default("engine", c.cfg.Model), TimeScale: c.cfg.TimeScale}
	engineConfig.Engine.Version = c.cfg.Version
	platformHost, p, err := standin.StartPlatform(loopback, cfg, engineConfig)
	if err != nil {
		return err
	}
	c.PlatformHost, c.Platform = platformHost, p
	for _, domain := range c.cfg.FailureDomains {
		p.SetServerCounts(domain, c.cfg.EnginesPerDomain, c.cfg.CheapPerDomain)
	}
	return nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func (c *Cluster) domain(i int) string { return c.cfg.FailureDomains[i%len(c.cfg.FailureDomains)] }

// freeUDPAddr returns a loopback address with a port that was free when it was
// chosen. The port is not reserved.
func freeUDPAddr() (string, error) {
	conn, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "free UDP port")
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// Settings returns the settings of daemon i.
func (c *Cluster) Settings(i int) settings.Settings {
	s := settings.Default()
	s.Process.VM = vmName(i)
	s.Process.FailureDomain = c.domain(i)
	s.Process.Region = "local"
	s.Process.DrainGrace = 0
	s.Clients.Listen = loopback
	s.Peers.Listen = c.cfg.Platform.VMs[i].Addr
	s.Platform.URL = c.PlatformHost.URL
	s.Platform.OrdersCheckFence = !c.cfg.Platform.OrdersIgnoreFence
	s.Platform.UsageChecksFence = !c.cfg.Platform.UsageIgnoresFence
	if c.cfg.Adjust != nil {
		c.cfg.Adjust(i, &s)
	}
	return s
}

func (c *Cluster) startDaemon(i int) error {
	keys, err := c.ca.Keys(vmName(i), keyValidity)
	if err != nil {
		return err
	}
	client := httpapi.New(c.PlatformHost.URL, nil)
	clock := hlc.New(time.Now)
	var timeline io.Writer
	if c.cfg.Events != nil {
		timeline = c.cfg.Events(i)
	}
	events := event.NewRecorder(clock, vmName(i), timeline, zerolog.Nop())
	d, err := daemon.Start(daemon.Config{
		Settings: c.Settings(i),
		Platform: daemon.Platform{Log: client, Servers: client.Servers(), Usage: client, VMs: client.VMs()},
		Keys:     keys,
		Events:   daemon.NewRecorder(events),
		Clock:    clock,
		Pool:     pool.DefaultConfig(),
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{VM: vmName(i), Daemon: d, URL: "http://" + d.Addr(), stop: stop, done: make(chan error, 1)}
	go func() {
		err := d.Run(ctx)
		events.Close()
		m.done <- err
	}()
	c.Daemons = append(c.Daemons, m)
	return nil
}

// Stop performs a planned stop of the daemon and waits until it has ended.
func (m *Member) Stop() error {
	m.stop()
	return <-m.done
}

// Stop stops all daemons and then the stand-ins.
func (c *Cluster) Stop() {
	for _, m := range c.Daemons {
		_ = m.Stop()
	}
	c.Daemons = nil
	if c.PlatformHost != nil {
		c.PlatformHost.Stop()
	}
	if c.appHost != nil {
		c.appHost.Stop()
	}
}

// Log returns a client of the platform's log service.
func (c *Cluster) Log() hosting.Log { return httpapi.New(c.PlatformHost.URL, nil) }

// String lists the addresses of the platform and the daemons, one per line.
func (c *Cluster) String() string {
	lines := []string{"platform " + c.PlatformHost.URL}
	for _, m := range c.Daemons {
		lines = append(lines, m.VM+" "+m.URL)
	}
	return strings.Join(lines, "\n")
}

// Servers returns the platform's server list.
func (c *Cluster) Servers(ctx context.Context) ([]hosting.Server, error) {
	return httpapi.New(c.PlatformHost.URL, nil).Servers().List(ctx)
}

// StopDaemon removes daemon i from Daemons, performs its planned stop and waits
// until it has ended.
func (c *Cluster) StopDaemon(i int) error {
	m := c.Daemons[i]
	c.Daemons = append(c.Daemons[:i:i], c.Daemons[i+1:]...)
	return m.Stop()
}
