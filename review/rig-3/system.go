// Command rig-3 plays the cases of the third review: it starts daemons as processes
// before stand-ins of the platform and checks one rule from outside.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/relay"
	"github.com/mimosakeel/mimosakeel/platform/standin"
)

//go:embed names.json
var namesJSON []byte

// names holds the names of the platform's wire that the stand-ins use.
var names struct {
	RequestID, TimeLeft, Tokens, Model, Parts, Servers, Duties, Lease, Usage string
}

const (
	engineService = "llm"
	plainService  = "desk"
	customer      = "acme"
	customerKey   = "key-acme-0"
	zone          = "z"
	// beatInterval is the interval at which servers write their entries.
	beatInterval = 1200 * time.Millisecond
	readyTimeout = 15 * time.Second
	stopTimeout  = 10 * time.Second
)

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// system holds the processes and stand-ins of a case.
type system struct {
	record   *record
	dir      string
	store    *standin.Store
	cloud    *standin.Cloud
	operator *standin.Operator
	storeURL string
	cloudURL string
	daemons  []*daemon

	mu      sync.Mutex
	servers []*server
	closers []func()
}

// server is a backend server that writes its entry regularly.
type server struct {
	*standin.Server
	system   *system
	stop     chan struct{}
	stopOnce sync.Once
}

// daemon is a daemon process with its link to the store.
type daemon struct {
	name      string
	clients   string
	readiness string
	store     *relay.Relay
	settings  string
	process   *exec.Cmd
	ended     chan struct{}
}

// newSystem starts the store and the cloud API.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, dir: dir, store: standin.NewStore(), cloud: standin.NewCloud()}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(dir) })
	s.operator = standin.NewOperator(s.store)
	s.operator.Engines, s.operator.Plain = []string{engineService}, []string{plainService}
	s.operator.Keys[customer] = []string{customerKey}
	s.operator.TimeoutMs = 6000
	s.operator.Write()
	if s.storeURL, err = s.serve(s.store); err != nil {
		return s, err
	}
	s.cloudURL, err = s.serve(s.cloud)
	return s, err
}

// serve serves a stand-in on a free loopback port and returns its address.
func (s *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	web := &http.Server{Handler: handler}
	go func() { _ = web.Serve(listener) }() // Ends with Close.
	s.closers = append(s.closers, func() { _ = web.Close() })
	return listener.Addr().String(), nil
}

// addServer starts a backend server. wrap may change its handler; nil keeps it.
func (s *system) addServer(cfg standin.ServerConfig, wrap func(http.Handler) http.Handler) (*server, error) {
	cfg.Zone = zone
	inner, err := standin.StartServer(cfg)
	if err != nil {
		return nil, err
	}
	s.closers = append(s.closers, inner.Close)
	if wrap != nil {
		addr, err := s.serve(wrap(inner))
		if err != nil {
			return nil, err
		}
		inner.Advertise(addr)
	}
	sv := &server{Server: inner, system: s, stop: make(chan struct{})}
	sv.beat()
	go func() {
		tick := time.NewTicker(beatInterval)
		defer tick.Stop()
		for {
			select {
			case <-sv.stop:
				return
			case <-tick.C:
				sv.beat()
			}
		}
	}()
	s.closers = append(s.closers, sv.silence)
	s.mu.Lock()
	s.servers = append(s.servers, sv)
	s.mu.Unlock()
	return sv, nil
}

// addServerAt starts a backend server at the address of a host. wrap may change its
// handler; nil keeps it.
func (s *system) addServerAt(cfg standin.ServerConfig, at *host, wrap func(http.Handler) http.Handler) (*server, error) {
	var wrapped http.Handler
	sv, err := s.addServer(cfg, func(inner http.Handler) http.Handler {
		wrapped = inner
		if wrap != nil {
			wrapped = wrap(inner)
		}
		return wrapped
	})
	if err != nil {
		return nil, err
	}
	sv.Advertise(at.addr)
	if err := at.up(wrapped); err != nil {
		return nil, err
	}
	sv.beat()
	return sv, nil
}

// beat writes the server's entry.
func (sv *server) beat() { sv.system.store.Put(names.Servers, sv.ID(), sv.Entry()) }

// silence ends the writing of entries.
func (sv *server) silence() { sv.stopOnce.Do(func() { close(sv.stop) }) }

// startGap is the time between the start of the first daemon and that of the others.
const startGap = 250 * time.Millisecond

// startDaemons starts daemons and waits until they are ready. The daemon named first starts
// before the others; empty for any order.
func (s *system) startDaemons(count int, first string) error {
	addresses, err := freeAddresses(4 * count)
	if err != nil {
		return err
	}
	for i := range count {
		link, err := relay.Start(s.storeURL)
		if err != nil {
			return err
		}
		s.closers = append(s.closers, link.Close)
		a := addresses[4*i:]
		d := &daemon{name: daemonNames(count)[i], clients: a[0], readiness: a[1], store: link}
		// The bounds of the users' small sites.
		text, err := json.Marshal(map[string]any{
			"vm": d.name, "failure_domain": zone, "clients": a[0], "readiness": a[1], "peers": a[2], "metrics": a[3],
			"store": link.Addr(), "cloud": s.cloudURL, "cores": 0.4, "memory_mb": 284, "max_descriptors": 4100, "stop_grace": "8s",
			"retry": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
			"lease": "3000ms", "usage": map[string]any{"window": "5s", "due": "10s"},
			"fleet": map[string]any{"on_demand": 0, "cheap": 0},
		})
		if err != nil {
			return err
		}
		d.settings = filepath.Join(s.dir, d.name+".json")
		if err := os.WriteFile(d.settings, text, 0o600); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if d.name == first {
			if err := s.start(d); err != nil {
				return err
			}
			time.Sleep(startGap)
		}
	}
	for _, d := range s.daemons {
		if d.name != first {
			if err := s.start(d); err != nil {
				return err
			}
		}
	}
	return s.awaitReady()
}

// daemonNames returns the names of a number of daemons.
func daemonNames(count int) (out []string) {
	for i := range count {
		out = append(out, fmt.Sprint("vm-", i+1))
	}
	return out
}

// start starts a daemon with the command of the deploy file.
func (s *system) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(s.logDir(), d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/mimosakeel", "edge")
	process.Env = []string{"MIMOSAKEEL_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = process, ended
	go func() {
		_ = process.Wait() // Cases kill daemons.
		_ = log.Close()
		close(ended)
	}()
	s.record.add("%s starts", d.name)
	return nil
}

// logDir returns the folder for the logs of daemons.
func (s *system) logDir() string {
	if dir := os.Getenv("RIG_LOGS"); dir != "" {
		return dir
	}
	return s.dir
}

func (s *system) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.daemons {
		for {
			resp, err := client.Get("http://" + d.readiness + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// signal sends a signal to a daemon.
func (s *system) signal(d *daemon, sig syscall.Signal) {
	s.record.add("%s gets %v", d.name, sig)
	_ = d.process.Process.Signal(sig) // It may have ended.
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, d := range s.daemons {
		if d.process == nil {
			continue
		}
		_ = d.process.Process.Kill() // It may have ended.
		select {
		case <-d.ended:
		case <-time.After(stopTimeout):
		}
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP. They
// lie below the ephemeral range.
func freeAddresses(n int) (out []string, err error) {
	for range 100 * n {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprint("127.0.0.1:", 16_000+rand.IntN(16_000))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		packets, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = packets.Close()
		out = append(out, addr)
	}
	return nil, fmt.Errorf("no %d free ports", n)
}
