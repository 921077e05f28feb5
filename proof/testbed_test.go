package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/internal/relay"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/standin/engine"
)

const (
	model         = "m"
	service       = "stamps"
	openService   = "notices"
	keyValidity   = 24 * time.Hour
	leaseDuration = 3 * time.Second
	// controlTimeout bounds one call of the test to a stand-in and one publication of
	// an edit.
	controlTimeout = 5 * time.Second
	// The daemons' ports are chosen from portCount ports starting at lowestPort.
	lowestPort   = 20_000
	portCount    = 12_000
	portAttempts = 100
)

var domains = []string{"fd-a", "fd-b"}

// testbed is a complete installation: the platform stand-in, daemons, engines and
// plain services.
type testbed struct {
	t    testing.TB
	rng  *rand.Rand
	ca   *peer.CA
	http *http.Client

	platform    *process
	platformURL string
	log         *httpapi.Client
	links       links
	daemons     []*member

	mu      sync.Mutex
	engines map[string]*engineServer
	apps    []*appServer
	serial  int
	// vmByPeerAddr maps the peer address of a daemon to its VM.
	vmByPeerAddr map[string]string
	// endedEngines holds the audits of engines that have ended.
	endedEngines []engineRecord
}

// member is a VM and its daemon process.
type member struct {
	// releasePorts releases the reserved ports before the daemon starts.
	releasePorts                func()
	vm, domain                  string
	listen, peers, settingsFile string
	platformRelay               *relay.Relay
	peerRelay                   *udpRelay
	mu                          sync.Mutex
	proc                        *process
	ready                       bool
	incarnation                 string
	version                     int64
}

// engineServer is an engine that the test started, behind a relay.
type engineServer struct {
	server hosting.Server
	proc   *process
	url    string
	relay  *relay.Relay
	// leaving is the time of the eviction notice in milliseconds since the Unix epoch;
	// 0 without a notice.
	leaving int64
}

// engineRecord is the audit of an engine together with its listing and its notice.
type engineRecord struct {
	server  hosting.Server
	leaving int64
	audit   engine.Audit
}

// appServer is a server of a plain service that the test started, behind a relay.
type appServer struct {
	name, id string
	proc     *process
	url      string
	relay    *relay.Relay
}

func (m *member) url() string { return "http://" + m.listen }

// process returns the daemon's current process.
func (m *member) process() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc
}

// up reports whether the daemon runs and is not paused.
func (m *member) up() bool {
	p := m.process()
	return p != nil && p.running() && !p.paused.Load()
}

// startTestbed starts all processes; they are ended when the test ends.
func startTestbed(t testing.TB, seed uint64, daemons int) *testbed {
	t.Helper()
	ca, err := peer.NewCA(keyValidity)
	must(t, err)
	b := &testbed{
		t: t, ca: ca, rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engineServer{},
		vmByPeerAddr: map[string]string{},
		http:         &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(b.stop)
	for i := range daemons {
		b.addMember(i)
	}
	b.startApps()
	b.startPlatform()
	for _, m := range b.daemons {
		b.prepareMember(m)
	}
	for i, domain := range domains {
		b.addEngine(domain, hosting.ClassOnDemand, true)
		b.addEngine(domain, hosting.ClassOnDemand, i == 0)
		b.addEngine(domain, hosting.ClassCheap, true)
	}
	for _, m := range b.daemons {
		b.startDaemon(m)
	}
	return b
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (b *testbed) addMember(i int) {
	m := &member{vm: fmt.Sprintf("vm-%d", i+1), domain: domains[i%len(domains)]}
	listen, releaseListen := freePort(b.t)
	peers, releasePeers := freePort(b.t)
	m.listen, m.peers = listen, peers
	m.releasePorts = func() {
		releaseListen()
		releasePeers()
	}
	relay, err := startUDPRelay(m.vm, m.peers, &b.links, b.senderOf)
	must(b.t, err)
	m.peerRelay = relay
	b.vmByPeerAddr[m.peers] = m.vm
	b.daemons = append(b.daemons, m)
}

func (b *testbed) senderOf(addr string) string { return b.vmByPeerAddr[addr] }

// freePort returns a loopback address whose port is free for TCP and UDP, and a
// function that releases the reserved port. The port lies below the ephemeral range,
// so that no outgoing connection occupies it while a daemon restarts.
func freePort(t testing.TB) (addr string, release func()) {
	t.Helper()
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			_ = l.Close()
			continue
		}
		return addr, func() {
			_ = l.Close()
			_ = c.Close()
		}
	}
	t.Fatal("no free port")
	return "", nil
}

func (b *testbed) startApps() {
	for i, name := range []string{service, service, openService} {
		a := &appServer{name: name, id: fmt.Sprintf("%s-%d", name, i+1)}
		var err error
		a.proc, a.url, err = startStandin(a.id, "app", "-name", name)
		must(b.t, err)
		a.relay, err = relay.Start(strings.TrimPrefix(a.url, "http://"))
		must(b.t, err)
		b.apps = append(b.apps, a)
	}
}

func (b *testbed) startPlatform() {
	args := []string{"platform", "-failure-domains", strings.Join(domains, ","), "-keep-trimmed"}
	for _, m := range b.daemons {
		args = append(args, "-vm", m.vm+","+m.peerRelay.addr()+","+m.domain)
	}
	for i, a := range b.apps {
		args = append(args, "-app", fmt.Sprintf("%s,%s,%s,%s", a.id, a.name, domains[i%len(domains)], a.relay.URL()))
	}
	var err error
	b.platform, b.platformURL, err = startStandin("platform", args...)
	must(b.t, err)
	b.log = httpapi.New(b.platformURL, nil)
}

// addEngine starts an engine process behind a relay and adds it to the platform's
// server list.
func (b *testbed) addEngine(domain string, class hosting.ServerClass, checksFence bool) *engineServer {
	b.mu.Lock()
	b.serial++
	id := fmt.Sprintf("e%d-%s-%s", b.serial, domain, class)
	b.mu.Unlock()
	args := []string{"engine", "-id", id, "-model", model}
	if !checksFence {
		args = append(args, "-ignore-fence")
	}
	proc, url, err := startStandin(id, args...)
	must(b.t, err)
	engineRelay, err := relay.Start(strings.TrimPrefix(url, "http://"))
	must(b.t, err)
	e := &engineServer{proc: proc, url: url, relay: engineRelay, server: hosting.Server{
		ID: id, FailureDomain: domain, Class: class, Kind: hosting.KindEngine, URL: engineRelay.URL(),
		State: hosting.ServerLive, ChecksFence: checksFence,
	}}
	b.mu.Lock()
	b.engines[id] = e
	b.mu.Unlock()
	must(b.t, b.control(http.MethodPut, "/control/servers", e.server))
	return e
}

// endEngine cuts the connections of an engine, records its audit and kills it.
// Callers see a crash.
func (b *testbed) endEngine(e *engineServer) {
	e.relay.Set(relay.Cut)
	record := b.engineAudit(e)
	e.proc.kill()
	e.relay.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endedEngines = append(b.endedEngines, record)
	delete(b.engines, e.server.ID)
}

func (b *testbed) engineAudit(e *engineServer) engineRecord {
	record := engineRecord{server: e.server, leaving: e.leaving}
	must(b.t, b.get(e.url+"/audit", &record.audit))
	return record
}

// prepareMember starts the relay between a daemon and the platform and writes the
// daemon's settings and TLS keys.
func (b *testbed) prepareMember(m *member) {
	var err error
	m.platformRelay, err = relay.Start(strings.TrimPrefix(b.platformURL, "http://"))
	must(b.t, err)
	dir := filepath.Join(binaries.dir, fmt.Sprintf("%s-%d", m.vm, processSerial.Add(1)))
	must(b.t, os.MkdirAll(dir, 0o700))
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		must(b.t, os.WriteFile(path, data, 0o600))
		return path
	}
	ca, _, err := b.ca.PEM()
	must(b.t, err)
	cert, key, err := b.ca.Issue(m.vm, keyValidity)
	must(b.t, err)
	type section map[string]any
	file, err := json.Marshal(section{
		"process": section{"vm": m.vm, "failure_domain": m.domain, "region": "local", "drain_grace": "600ms"},
		"clients": section{"listen": m.listen},
		"peers": section{
			"listen": m.peers, "ca": write("ca.pem", ca), "cert": write("cert.pem", cert), "key": write("key.pem", key),
		},
		"platform": section{"url": m.platformRelay.URL(), "orders_check_fence": true, "usage_checks_fence": true},
		"log":      section{"retention": "2m"},
		"lease":    section{"duration": leaseDuration.String(), "renew": "1s", "margin": "500ms"},
		"usage":    section{"window": "5s"},
		"events":   section{"file": filepath.Join(dir, "events.json")},
	})
	must(b.t, err)
	m.settingsFile = write("settings.json", file)
}

func (b *testbed) startDaemon(m *member) {
	m.releasePorts()
	p, err := startProcess(m.vm, binaries.daemon, "serve", "-config", m.settingsFile)
	must(b.t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proc = p
}

// awaitUp waits until a daemon answers status requests. It fails the test if the
// process ends or startTimeout has passed.
func (b *testbed) awaitUp(m *member) {
	b.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		if _, err := b.status(m); err == nil {
			return
		}
		if p := m.process(); !p.running() || time.Now().After(deadline) {
			output, _ := os.ReadFile(p.output)
			b.t.Fatalf("%s does not start: %s", m.vm, output)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *testbed) stop() {
	for _, m := range b.daemons {
		if p := m.process(); p != nil {
			p.kill()
		}
		if m.platformRelay != nil {
			m.platformRelay.Close()
		}
		m.peerRelay.close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines {
		e.proc.kill()
		e.relay.Close()
	}
	for _, a := range b.apps {
		a.proc.kill()
		a.relay.Close()
	}
	if b.platform != nil {
		b.platform.kill()
	}
}
