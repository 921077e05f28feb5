package proof

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// startTimeout bounds the time from the start of a process until it prints its URL
// or answers.
const startTimeout = 20 * time.Second

// process is a child process whose output goes to a file.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	// endExpected is set when the test itself ends the process. Otherwise its end is
	// reported as a crash.
	endExpected atomic.Bool
	paused      atomic.Bool
	output      string
}

// processSerial numbers log files and settings directories.
var processSerial atomic.Int64

// children holds all started processes, so that none outlives the test.
var children struct {
	mu   sync.Mutex
	list []*process
}

// endChildren kills the child processes that still run. It covers interrupts and
// timeouts, which skip the cleanup of the tests.
func endChildren() {
	children.mu.Lock()
	defer children.mu.Unlock()
	for _, p := range children.list {
		p.signal(syscall.SIGKILL)
	}
}

// startProcess starts a child process with its output in a log file.
func startProcess(name, binary string, args ...string) (*process, error) {
	output := filepath.Join(binaries.dir, fmt.Sprintf("%03d-%s.log", processSerial.Add(1), name))
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	p := &process{name: name, cmd: exec.Command(binary, args...), ended: make(chan struct{}), output: output}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	children.mu.Lock()
	children.list = append(children.list, p)
	children.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// startStandin starts a stand-in, waits until it prints its URL, and returns the
// URL.
func startStandin(name string, args ...string) (*process, string, error) {
	p, err := startProcess(name, binaries.standin, args...)
	if err != nil {
		return nil, "", err
	}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if url := announcedURL(p.output); url != "" {
			return p, url, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.kill()
	return nil, "", fmt.Errorf("%s printed no URL", name)
}

// announcedURL returns the URL in a log file; empty if there is none.
func announcedURL(output string) string {
	file, err := os.Open(output)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		for _, field := range strings.Fields(lines.Text()) {
			if url, ok := strings.CutPrefix(field, "url="); ok {
				return url
			}
		}
	}
	return ""
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.endExpected.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) pause() {
	p.paused.Store(true)
	p.signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	p.signal(syscall.SIGCONT)
	p.paused.Store(false)
}

// terminate sends SIGTERM and reports whether the process ended within the limit.
func (p *process) terminate(limit time.Duration) bool {
	p.endExpected.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}
