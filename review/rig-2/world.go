package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

//go:embed names.json
var namesJSON []byte

// names holds the names of the platform's wire that the cases use.
type names struct {
	Request     string         `json:"request"`
	Deadline    string         `json:"deadline"`
	Tokens      string         `json:"tokens"`
	Model       string         `json:"model"`
	Parts       string         `json:"parts"`
	Expect      string         `json:"expect"`
	Instance    string         `json:"instance"`
	Signature   string         `json:"signature"`
	NotExecuted string         `json:"not_executed"`
	Servers     string         `json:"servers"`
	Report      string         `json:"report"`
	Order       string         `json:"order"`
	Entry       map[string]any `json:"entry"`
	ReportBody  string         `json:"report_body"`
}

const (
	zone          = "z"
	engineService = "llm"
	plainService  = "desk"
	customer      = "acme"
	apiKey        = "key-acme-0"
	// beatInterval is the interval at which servers write their entries.
	beatInterval = 1200 * time.Millisecond
	// readyTimeout bounds the start of a daemon.
	readyTimeout = 15 * time.Second
	// requestTimeout is the time that a consumer waits, and the timeout of all routes.
	requestTimeout = 3 * time.Second
	// firstPort and lastPort lie below the ephemeral ports.
	firstPort, lastPort = 16_000, 32_000
)

// world holds the stand-ins and the daemons of a case.
type world struct {
	names    names
	dir      string
	program  string
	store    *standin.Store
	cloud    *standin.Cloud
	operator *standin.Operator
	begin    time.Time
	daemons  []*daemon
	closers  []func()

	mu     sync.Mutex
	record io.Writer
	// requests numbers the requests.
	requests int
}

// daemon is one process of the project.
type daemon struct {
	clients, readiness string
	// settings is the file with the settings of the process.
	settings string
	process  *exec.Cmd
}

// start starts the process, which writes its log beside its settings.
func (d *daemon) start(program string) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // The process has its own descriptor.
	d.process = exec.Command(program, "edge")
	d.process.Env = append(os.Environ(), "MIMOSAKEEL_CONFIG="+d.settings)
	d.process.Stdout, d.process.Stderr = log, log
	return d.process.Start()
}

func newWorld(dir, program string, record io.Writer) *world {
	w := &world{dir: dir, program: program, record: record, begin: time.Now(), store: standin.NewStore(), cloud: standin.NewCloud()}
	if err := json.Unmarshal(namesJSON, &w.names); err != nil {
		panic(err) // The file is embedded.
	}
	w.operator = standin.NewOperator(w.store)
	w.operator.Keys[customer] = []string{apiKey}
	w.operator.TimeoutMs = requestTimeout.Milliseconds()
	return w
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) nextRequest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("q%08x", w.requests)
}

// serve serves a stand-in on a free loopback port.
func (w *world) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }() // Serve returns after Close.
	w.closers = append(w.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// addServer starts a sound server and publishes its entry.
func (w *world) addServer(c standin.ServerConfig) (*standin.Server, error) {
	c.Zone, c.ChecksFence, c.StageSwitch = zone, true, 300*time.Millisecond
	s, err := standin.StartServer(c)
	if err != nil {
		return nil, err
	}
	w.closers = append(w.closers, s.Close)
	w.beat(func() error {
		w.store.Put(w.names.Servers, s.ID(), s.Entry())
		return nil
	})
	return s, nil
}

// beat calls publish now and at each interval at which servers write their entries.
func (w *world) beat(publish func() error) {
	if err := publish(); err != nil {
		w.note("entry not written: %v", err)
	}
	done := make(chan struct{})
	w.closers = append(w.closers, func() { close(done) })
	go func() {
		tick := time.NewTicker(beatInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			if err := publish(); err != nil {
				w.note("entry not written: %v", err)
			}
		}
	}()
}

// publish writes the entry of an engine to the store.
func (w *world) publish(id, address string, born time.Time, sequence int) error {
	entry := map[string]any{}
	for k, v := range w.names.Entry {
		switch v {
		case "SERVICE":
			v = engineService
		case "ADDRESS":
			v = address
		case "ZONE":
			v = zone
		}
		entry[k] = v
	}
	entry["born"], entry["sequence"] = born.UnixMilli(), sequence
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	w.store.Put(w.names.Servers, id, data)
	return nil
}

// startDaemons starts n daemons with the command of the deploy file and waits until they
// are ready. Their settings are the template's, filled in for a small deployment.
func (w *world) startDaemons(n int) error {
	store, err := w.serve(w.store)
	if err != nil {
		return err
	}
	cloud, err := w.serve(w.cloud)
	if err != nil {
		return err
	}
	// All are drawn at once, so that none is drawn twice.
	all, err := freeAddresses(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		addresses := all[4*i:]
		vm := fmt.Sprint("vm-", i)
		settings, err := json.Marshal(map[string]any{
			"vm": vm, "failure_domain": zone, "clients": addresses[0], "readiness": addresses[1],
			"metrics": addresses[2], "peers": addresses[3], "store": store, "cloud": cloud,
			"cores": 0.4, "memory_mb": 284, "max_descriptors": 4100, "stop_grace": "8s", "lease": "3000ms",
			"retry": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
			"usage": map[string]any{"window": "5s", "due": "10s"},
			// The servers here can't be ordered, and have these roles from the start.
			"fleet": map[string]any{"on_demand": 0, "cheap": 0, "decode_share": 0.6},
		})
		if err != nil {
			return err
		}
		file := filepath.Join(w.dir, vm+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return err
		}
		d := &daemon{clients: addresses[0], readiness: addresses[1], settings: file}
		if err := d.start(w.program); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		if err := w.awaitReady(d); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a daemon is ready.
func (w *world) awaitReady(d *daemon) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + d.readiness + "/")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("daemon %s is ready", d.clients)
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", d.clients, readyTimeout)
}

// close ends the daemons, each by its own process, and the stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
	}
	for _, c := range w.closers {
		c()
	}
}

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) (out []string, err error) {
	for range 500 {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue // The port is in use.
		}
		defer listener.Close()
		packets, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = packets.Close() // No data was written.
		out = append(out, addr)
	}
	return nil, fmt.Errorf("no %d free ports", n)
}
