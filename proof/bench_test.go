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
	// controlTimeout bounds one call of the test itself.
	controlTimeout = 5 * time.Second
	// The free ports for daemons are sought from here on.
	lowestPort   = 20_000
	portCount    = 12_000
	portAttempts = 100
)

var domains = []string{"fd-a", "fd-b"}

// bench is a whole installation.
type bench struct {
	t    testing.TB
	rng  *rand.Rand
	ca   *peer.CA
	http *http.Client

	platform    *process
	platformURL string
	log         *httpapi.Client
	links       links
	daemons     []*member

	mu       sync.Mutex
	engines  map[string]*engineServer
	apps     []*appServer
	serial   int
	bySender map[string]string
	// ended holds the audits of ended engines.
	ended []engineRecord
}

// member is a VM with its daemon.
type member struct {
	// release gives up the reserved ports before the first start.
	release             func()
	vm, domain          string
	listen, peers, file string
	platformFace        *relay.Relay
	peerFace            *udpRelay
	mu                  sync.Mutex
	proc                *process
	ready               bool
	incarnation         string
	version             int64
}

// engineServer is an engine that the test started.
type engineServer struct {
	server hosting.Server
	proc   *process
	url    string
	face   *relay.Relay
	// leaving is the time of the notice in milliseconds.
	leaving int64
}

// engineRecord is what an engine saw.
type engineRecord struct {
	server  hosting.Server
	leaving int64
	audit   engine.Audit
}

type appServer struct {
	name, id string
	proc     *process
	url      string
	face     *relay.Relay
}

func (m *member) url() string { return "http://" + m.listen }

// process returns the daemon's current process.
func (m *member) process() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc
}

func (m *member) up() bool {
	p := m.process()
	return p != nil && p.running() && !p.stopped.Load()
}

func startBench(t testing.TB, seed uint64, daemons int) *bench {
	t.Helper()
	ca, err := peer.NewCA(keyValidity)
	must(t, err)
	b := &bench{
		t: t, ca: ca, rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engineServer{},
		bySender: map[string]string{},
		http:     &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
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

func (b *bench) addMember(i int) {
	m := &member{vm: fmt.Sprintf("vm-%d", i+1), domain: domains[i%len(domains)]}
	listen, releaseListen := freePort(b.t)
	peers, releasePeers := freePort(b.t)
	m.listen, m.peers = listen, peers
	m.release = func() {
		releaseListen()
		releasePeers()
	}
	relay, err := startUDPRelay(m.vm, m.peers, &b.links, b.senderOf)
	must(b.t, err)
	m.peerFace = relay
	b.bySender[m.peers] = m.vm
	b.daemons = append(b.daemons, m)
}

func (b *bench) senderOf(addr string) string { return b.bySender[addr] }

// freePort returns an address whose port nothing uses for TCP or UDP, and a
// function that gives the reserved port up. The port lies below the range from
// which the kernel takes ports for outgoing connections, so that a daemon finds
// it free again after a restart.
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

func (b *bench) startApps() {
	for i, name := range []string{service, service, openService} {
		a := &appServer{name: name, id: fmt.Sprintf("%s-%d", name, i+1)}
		var err error
		a.proc, a.url, err = startStandin(a.id, "app", "-name", name)
		must(b.t, err)
		a.face, err = relay.Start(strings.TrimPrefix(a.url, "http://"))
		must(b.t, err)
		b.apps = append(b.apps, a)
	}
}

func (b *bench) startPlatform() {
	args := []string{"platform", "-failure-domains", strings.Join(domains, ","), "-keep-trimmed"}
	for _, m := range b.daemons {
		args = append(args, "-vm", m.vm+","+m.peerFace.addr()+","+m.domain)
	}
	for i, a := range b.apps {
		args = append(args, "-app", fmt.Sprintf("%s,%s,%s,%s", a.id, a.name, domains[i%len(domains)], a.face.URL()))
	}
	var err error
	b.platform, b.platformURL, err = startStandin("platform", args...)
	must(b.t, err)
	b.log = httpapi.New(b.platformURL, nil)
}

// addEngine starts an engine process and lists it.
func (b *bench) addEngine(domain string, class hosting.ServerClass, checksFence bool) *engineServer {
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
	face, err := relay.Start(strings.TrimPrefix(url, "http://"))
	must(b.t, err)
	e := &engineServer{proc: proc, url: url, face: face, server: hosting.Server{
		ID: id, FailureDomain: domain, Class: class, Kind: hosting.KindEngine, URL: face.URL(),
		State: hosting.ServerLive, ChecksFence: checksFence,
	}}
	b.mu.Lock()
	b.engines[id] = e
	b.mu.Unlock()
	must(b.t, b.control(http.MethodPut, "/control/servers", e.server))
	return e
}

// endEngine cuts an engine off, keeps its audit and ends its process. Callers
// see a crash.
func (b *bench) endEngine(e *engineServer) {
	e.face.Set(relay.Cut)
	record := b.engineAudit(e)
	e.proc.kill()
	e.face.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = append(b.ended, record)
	delete(b.engines, e.server.ID)
}

func (b *bench) engineAudit(e *engineServer) engineRecord {
	record := engineRecord{server: e.server, leaving: e.leaving}
	must(b.t, b.get(e.url+"/audit", &record.audit))
	return record
}

// prepareMember writes the settings and keys of a daemon.
func (b *bench) prepareMember(m *member) {
	var err error
	m.platformFace, err = relay.Start(strings.TrimPrefix(b.platformURL, "http://"))
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
		"platform": section{"url": m.platformFace.URL(), "orders_check_fence": true, "usage_checks_fence": true},
		"log":      section{"retention": "2m"},
		"lease":    section{"duration": leaseDuration.String(), "renew": "1s", "margin": "500ms"},
		"usage":    section{"window": "5s"},
		"events":   section{"file": filepath.Join(dir, "events.json")},
	})
	must(b.t, err)
	m.file = write("settings.json", file)
}

func (b *bench) startDaemon(m *member) {
	m.release()
	p, err := startProcess(m.vm, binaries.daemon, "serve", "-config", m.file)
	must(b.t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proc = p
}

// awaitUp waits until a daemon answers.
func (b *bench) awaitUp(m *member) {
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

func (b *bench) stop() {
	for _, m := range b.daemons {
		if p := m.process(); p != nil {
			p.kill()
		}
		if m.platformFace != nil {
			m.platformFace.Close()
		}
		m.peerFace.close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines {
		e.proc.kill()
		e.face.Close()
	}
	for _, a := range b.apps {
		a.proc.kill()
		a.face.Close()
	}
	if b.platform != nil {
		b.platform.kill()
	}
}
