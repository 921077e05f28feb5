// Command rig plays the cases of the review that need real processes. It starts the
// project's daemons as processes, and the project's stand-ins of the platform in its
// own process, all on loopback addresses.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// names holds the names of the platform's wire that a case uses itself.
var names struct {
	ServersTopic  string
	OperatorTopic string
	RequestID     string
	TimeLeft      string
	Tokens        string
	Model         string
	PromptParts   string
	Stage         string
	StagePrefill  string
	KVSource      string
}

//go:embed names.json
var namesFile []byte

// cases are the cases by name. Each one reports whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"usage":  usageCase,
	"drain":  drainCase,
	"revoke": revokeCase,
	"stop":   stopCase,
}

func main() {
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	program := flag.String("program", "target/mimosakeel", "program of the daemon")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	code, err := play(*name, *program, *recordFile, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}

func play(name, program, recordFile string, trouble bool) (int, error) {
	run, ok := cases[name]
	if !ok {
		return exitNotRun, fmt.Errorf("no case %q", name)
	}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		return exitNotRun, err
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := os.Create(recordFile)
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = out.Close() }()
	r := newRig(dir, program, out, trouble)
	defer r.close()
	broken, err := run(r)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun, err
	case broken:
		r.note("result: the rule was broken")
		return exitBroken, nil
	}
	r.note("result: the rule held")
	return exitHeld, nil
}

// rig is the deployment of one case.
type rig struct {
	trouble  bool
	dir      string
	program  string
	begin    time.Time
	store    *standin.Store
	cloud    *standin.Cloud
	operator *standin.Operator
	closers  []func()

	mu     sync.Mutex
	record io.Writer
}

func newRig(dir, program string, record io.Writer, trouble bool) *rig {
	r := &rig{trouble: trouble, dir: dir, program: program, begin: time.Now(), store: standin.NewStore(), cloud: standin.NewCloud(), record: record}
	r.operator = standin.NewOperator(r.store)
	return r
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the rig has started, the last one first.
func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// serve serves a stand-in on a free loopback port.
func (r *rig) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	r.closers = append(r.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// server starts a backend server and writes its entry to the store.
func (r *rig) server(cfg standin.ServerConfig) (*standin.Server, error) {
	s, err := standin.StartServer(cfg)
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, s.Close)
	r.store.Put(names.ServersTopic, s.ID(), s.Entry())
	return s, nil
}

// noteRuns writes what ran on the servers to the record, and returns the runs.
func (r *rig) noteRuns(servers []*standin.Server) []standin.Run {
	runs := standin.AllRuns(servers)
	for _, run := range runs {
		r.note("%s of %q ran on %s at %.4f s", run.Request, run.Tenant, run.Server, run.Begin.Sub(r.begin).Seconds())
	}
	return runs
}

// daemon is one process of the project's daemon.
type daemon struct {
	vm        string
	clients   string
	readiness string
	settings  string
	log       string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// settings are the settings of a daemon as deploy/edge.json renders them for a small
// deployment.
func settings(vm, zone, store, cloud string, ports []string, usageWindow string) map[string]any {
	return map[string]any{
		"vm": vm, "failure_domain": zone, "clients": ports[0], "readiness": ports[1], "peers": ports[2], "metrics": ports[3],
		"store": store, "cloud": cloud, "cores": 0.4, "stop_grace": "8s", "lease": "3000ms",
		"retry": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
		"usage": map[string]any{"window": usageWindow, "due": "10s"},
	}
}

// start writes the settings of a daemon, starts it and waits until it is ready.
func (r *rig) start(vm, zone, store, cloud, usageWindow string) (*daemon, error) {
	ports, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(settings(vm, zone, store, cloud, ports, usageWindow))
	if err != nil {
		return nil, err
	}
	d := &daemon{vm: vm, clients: ports[0], readiness: ports[1], settings: filepath.Join(r.dir, vm+".json"), log: filepath.Join(r.dir, vm+".log")}
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, func() { d.signal(syscall.SIGKILL) })
	return d, r.restart(d)
}

// restart starts the process of a daemon with the command of the deploy file and waits
// until it is ready.
func (r *rig) restart(d *daemon) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(r.program, "edge")
	process.Env = append(os.Environ(), "MIMOSAKEEL_CONFIG="+d.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	d.mu.Lock()
	d.process, d.ended = process, ended
	d.mu.Unlock()
	return d.awaitReady(10 * time.Second)
}

// signal sends a signal to the process. After SIGKILL it waits for its end.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-d.ended
	}
}

func (d *daemon) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + d.readiness + "/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("daemon " + d.vm + " is not ready")
}

const (
	// firstPort and lastPort bound the ports of the daemons. They lie below the
	// ephemeral range, so that no outgoing connection takes one during a restart.
	firstPort, lastPort = 16_000, 32_000
	portAttempts        = 200
)

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) (out []string, err error) {
	for range portAttempts {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
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
	return nil, errors.New("no free ports")
}
