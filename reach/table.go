// Package reach opens connections to backend servers, over this daemon's own path or
// through another daemon that reaches them, and learns from the results which servers
// this daemon reaches itself.
//
// A connection that can't be opened says as much of the path as of the server. A path
// counts as broken only if another daemon opens a connection to the same server
// meanwhile, and a server counts as down only if a daemon that reaches others can't open
// one either.
package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// probeInterval is the minimum time between two attempts to use a broken path again.
	probeInterval = 250 * time.Millisecond
	// minCut is the number of broken paths from which on this daemon counts as cut from
	// all servers, if nothing has arrived over its own paths since.
	minCut = 2
	// forgetAfter is the time without an attempt after which a server is forgotten.
	forgetAfter = 30 * time.Second
	// maxServers bounds the servers whose paths are remembered.
	maxServers = 4096
)

// Table holds what a daemon knows about its own paths to the servers. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*path
	// opened is the last time at which a connection was opened over an own path, and
	// heard the last at which bytes arrived over one.
	opened, heard time.Time
	cut           bool
}

// path is the own path to one server.
type path struct {
	tried time.Time
	// failed is the time of the last failed attempt; zero if the last one succeeded.
	failed time.Time
	// broken is the time at which the path was last shown to be broken; zero if it isn't.
	broken time.Time
	probed time.Time
	// took is how long the last connection took to open; 0 if none was opened.
	took time.Duration
}

// NewTable returns a table of a daemon that is taken to reach all servers.
func NewTable() *Table { return &Table{servers: map[string]*path{}} }

// Way says how to open a connection to a server.
type Way struct {
	// Direct is set if the own path is to be tried, and Relay if other daemons are to be
	// asked at once, without waiting for the own path.
	Direct, Relay bool
	// Usual is how long the last connection over the own path took to open; 0 if unknown.
	Usual time.Duration
}

// Choose returns the way to open a connection. A broken path is tried again every
// probeInterval, and at once after another path has healed.
func (t *Table) Choose(now time.Time, addr string) Way {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(now, addr)
	p.tried = now
	if p.broken.IsZero() && !t.cut {
		return Way{Direct: true, Usual: p.took}
	}
	if now.Sub(p.probed) < probeInterval && !t.opened.After(p.probed) {
		return Way{Relay: true, Usual: p.took}
	}
	p.probed = now
	return Way{Direct: true, Relay: true, Usual: p.took}
}

// Opened records that a connection was opened over the own path, and how long that took.
// It reports whether the path was broken before.
func (t *Table) Opened(now time.Time, addr string, took time.Duration) (healed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(now, addr)
	healed = !p.broken.IsZero() || t.cut
	p.failed, p.broken, p.took = time.Time{}, time.Time{}, took
	t.opened, t.cut = now, false
	return healed
}

// Failed records that a connection could not be opened over the own path.
func (t *Table) Failed(now time.Time, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(now, addr).failed = now
}

// Broken records that a connection was opened through another daemon while the own path
// failed. It reports whether the path was not known to be broken.
func (t *Table) Broken(now time.Time, addr string) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(now, addr)
	news = p.broken.IsZero()
	p.failed, p.broken = now, now
	if news {
		p.probed = now
	}
	t.cut = t.cut || t.brokenSince(t.latest()) >= min(minCut, t.recent(now))
	return news
}

// Heard records that bytes have arrived over the own path.
func (t *Table) Heard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard, t.cut = now, false
}

// LastHeard returns the last time at which bytes have arrived, or a connection was opened,
// over an own path.
func (t *Table) LastHeard() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest()
}

// Cut reports whether this daemon reaches no server over its own paths.
func (t *Table) Cut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// Reaches reports whether this daemon opens connections to servers, as far as it knows.
func (t *Table) Reaches() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := 0
	for _, p := range t.servers {
		if p.failed.After(t.opened) {
			failed++
		}
	}
	return failed < minCut
}

// OpenedSince reports whether a connection was opened over an own path since a time.
func (t *Table) OpenedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened.After(at)
}

// candidates returns the servers that may show whether this daemon reaches any: those
// listed and those used lately, without one. Servers whose last attempt failed come last.
func (t *Table) candidates(listed []string, without string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var working, unknown, failed []string
	seen := map[string]bool{without: true}
	for addr, p := range t.servers {
		switch {
		case addr == without:
		case p.failed.IsZero():
			working = append(working, addr)
		default:
			failed = append(failed, addr)
		}
		seen[addr] = true
	}
	for _, addr := range listed {
		if !seen[addr] {
			unknown = append(unknown, addr)
		}
	}
	return slices.Concat(working, unknown, failed)
}

// Counts returns the numbers of servers that were used lately and of those whose own path
// is broken.
func (t *Table) Counts() (servers, broken int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers), t.brokenSince(time.Time{})
}

func (t *Table) latest() time.Time {
	if t.heard.After(t.opened) {
		return t.heard
	}
	return t.opened
}

func (t *Table) brokenSince(at time.Time) (n int) {
	for _, p := range t.servers {
		if p.broken.After(at) {
			n++
		}
	}
	return n
}

// recent returns the number of servers that were tried lately.
func (t *Table) recent(now time.Time) (n int) {
	for _, p := range t.servers {
		if now.Sub(p.tried) < forgetAfter {
			n++
		}
	}
	return max(n, 1)
}

func (t *Table) path(now time.Time, addr string) *path {
	p := t.servers[addr]
	if p != nil {
		return p
	}
	for known, p := range t.servers {
		if now.Sub(p.tried) >= forgetAfter || len(t.servers) >= maxServers {
			delete(t.servers, known)
		}
	}
	p = &path{tried: now}
	t.servers[addr] = p
	return p
}
