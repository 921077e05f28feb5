// Package ingress owns the memory and the connections that the clients of a daemon take,
// who are not under anyone's control. A Gate counts what each connection takes, enforces
// the limits on request heads, bodies and times, and closes the connections that make
// the least progress when the memory or the descriptors run out.
package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// memoryShare is the part of the VM's memory for clients. The garbage collector is
	// limited to 0.62 of it; on the smallest VM (144 MB), that leaves 24 MB for answers
	// of servers and 17 MB for the rest of the daemon.
	memoryShare = 0.33
	// connCost is the memory of an idle connection: two buffers of 4 KB and the stack
	// of a goroutine.
	connCost = 10 << 10
	// connMemoryShare is the largest part of the clients' memory for idle connections.
	connMemoryShare = 0.5
	// reservedDescriptors is for files and listeners.
	reservedDescriptors = 200
	// connShare is the part of the other descriptors for clients. The rest is for
	// backend servers, peers and the store.
	connShare = 0.75
	// fallbackDescriptors applies if neither the settings nor the process have a limit.
	fallbackDescriptors = 65_536
	// sideConns bounds the connections for readiness checks and for metrics, each.
	sideConns = 64
)

// Limits are the limits on client requests.
type Limits struct {
	// HeadBytes is the longest request head.
	HeadBytes int
	// HeaderTimeout is the longest time for reading a head, IdleTimeout the longest time
	// between two requests, and without progress of an answer.
	HeaderTimeout, IdleTimeout time.Duration
}

// defaultLimits apply before the first configuration.
var defaultLimits = Limits{HeadBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

const (
	// minHeadBytes and maxHeadBytes bound a configured limit. The upper one is that of
	// net/http.
	minHeadBytes, maxHeadBytes = 256, http.DefaultMaxHeaderBytes
	minTimeout, maxTimeout     = 10 * time.Millisecond, time.Hour
)

// Config holds the settings of a Gate.
type Config struct {
	// Memory is the memory of the VM in bytes; 0 for no bound.
	Memory int64
	// Descriptors is the number of descriptors of the VM; 0 for the limit of the
	// process.
	Descriptors int
	// ChargeBodies charges bodies as they are read from the connection, for handlers
	// that don't use Body.
	ChargeBodies bool
	// Sealed is set if the bytes on the connections are encrypted. Heads are then
	// neither counted nor timed.
	Sealed bool
	// Report is told every few seconds how often a limit has taken effect; nil for nobody.
	Report func(r Report)
}

// Gate bounds the memory and the connections of clients. It is safe for concurrent use.
type Gate struct {
	config Config
	// budget is the memory for clients and used what they take.
	budget int64
	used   atomic.Int64
	limits atomic.Pointer[Limits]
	// now is the time of the Gate in nanoseconds. It moves in steps of sweepInterval and
	// stands while the process does.
	now      atomic.Int64
	counters counters
	maxConns int

	mu        sync.Mutex
	listeners []*listener
	// fullUntil is the time of the Gate until which no victims are looked for, because
	// there were none.
	fullUntil   int64
	badLimits   Limits
	done        chan struct{}
	start, stop sync.Once
}

// New returns a Gate. It runs a goroutine from the first listener until Close.
func New(c Config) *Gate {
	g := &Gate{config: c, budget: math.MaxInt64 / 2, counters: newCounters(), done: make(chan struct{})}
	if c.Memory > 0 {
		g.budget = int64(float64(c.Memory) * memoryShare)
	}
	g.maxConns = maxConns(c.Descriptors, g.budget)
	limits := defaultLimits
	g.limits.Store(&limits)
	g.now.Store(int64(sweepInterval)) // 0 means none in the fields of a Conn.
	return g
}

// maxConns returns the number of connections that the descriptors and the memory allow.
func maxConns(descriptors int, budget int64) int {
	var process syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process); err != nil || process.Cur > fallbackDescriptors {
		process.Cur = fallbackDescriptors
	}
	if descriptors <= 0 || descriptors > int(process.Cur) {
		descriptors = int(process.Cur)
	}
	own := float64(max(descriptors-reservedDescriptors, descriptors/2)) * connShare
	return max(int(min(own, float64(budget)*connMemoryShare/connCost)), 1)
}

// Close ends the goroutine of the Gate.
func (g *Gate) Close() { g.stop.Do(func() { close(g.done) }) }

// SetLimits puts limits in force, also for open connections. A field that is 0 leaves
// its last value in force. One that is out of range does so too and is reported.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := *g.limits.Load()
	bad := Limits{}
	switch {
	case l.HeadBytes < 0 || l.HeadBytes > 0 && l.HeadBytes < minHeadBytes || l.HeadBytes > maxHeadBytes:
		bad.HeadBytes = l.HeadBytes
	case l.HeadBytes > 0:
		next.HeadBytes = l.HeadBytes
	}
	setTimeout(&next.HeaderTimeout, &bad.HeaderTimeout, l.HeaderTimeout)
	setTimeout(&next.IdleTimeout, &bad.IdleTimeout, l.IdleTimeout)
	if bad != (Limits{}) && bad != g.badLimits {
		g.counters.count(reasonBadLimits)
	}
	g.badLimits = bad
	g.limits.Store(&next)
}

func setTimeout(next, bad *time.Duration, value time.Duration) {
	switch {
	case value == 0:
	case value < minTimeout || value > maxTimeout:
		*bad = value
	default:
		*next = value
	}
}

// Limits returns the limits in force.
func (g *Gate) Limits() Limits { return *g.limits.Load() }

// Listen returns a listener for clients, whose connections the Gate bounds. Attach must
// be called with its server.
func (g *Gate) Listen(l net.Listener) net.Listener { return g.listen(l, g.maxConns) }

// ListenAside returns a listener with a small number of connections of its own, which
// clients can't use up: for readiness checks and metrics.
func (g *Gate) ListenAside(l net.Listener) net.Listener { return g.listen(l, sideConns) }

func (g *Gate) listen(inner net.Listener, most int) net.Listener {
	l := &listener{Listener: inner, gate: g, max: most, conns: map[*Conn]struct{}{}}
	g.start.Do(func() { go g.run() })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// CloseIdle closes the connections on which no request is in progress or has begun to
// arrive, except new ones. It doesn't wait until they are closed.
func (g *Gate) CloseIdle() {
	now := g.now.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		for c := range l.conns {
			c.closeIfIdle(now, newConnGrace)
		}
	}
}

type connKey struct{}

// Attach sets the hooks by which a server tells the Gate about its connections. It keeps
// the hook ConnState.
func (g *Gate) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := connOf(c); conn != nil {
			switch state {
			case http.StateActive:
				conn.requestBegins()
			case http.StateIdle:
				conn.requestEnds()
			}
		}
		if next != nil {
			next(c, state)
		}
	}
}

// connOf returns the Conn below a connection of a server, which TLS may wrap.
func connOf(c net.Conn) *Conn {
	if sealed, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = sealed.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// listener counts and registers the connections that it accepts.
type listener struct {
	net.Listener
	gate *Gate
	max  int
	// conns is guarded by gate.mu.
	conns map[*Conn]struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // The client may be gone.
	}
}

// slotBatch is the part of the connections that are closed together, so that a flood of
// new ones does not search all others each time.
const slotBatch = 64

func (l *listener) admit(inner net.Conn) *Conn {
	g := l.gate
	g.mu.Lock()
	var victims []*Conn
	if len(l.conns) >= l.max {
		victims = retireVictims(slotVictims(g.candidates(l), 1+l.max/slotBatch))
	}
	var c *Conn
	if len(l.conns) < l.max {
		c = &Conn{Conn: inner, gate: g, listener: l}
		c.since.Store(g.now.Load())
		c.progressAt.Store(g.now.Load())
		g.used.Add(connCost)
		l.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	for _, v := range victims {
		_ = v.Conn.Close() // The client may be gone.
		g.counters.count(reasonSlots)
	}
	if c == nil {
		g.counters.count(reasonFull)
	}
	return c
}

// candidates describes the connections of a listener, or of all if it is nil. g.mu is
// held.
func (g *Gate) candidates(only *listener) []candidate {
	now := g.now.Load()
	var out []candidate
	for _, l := range g.listeners {
		if only != nil && l != only {
			continue
		}
		for c := range l.conns {
			out = append(out, c.candidate(now))
		}
	}
	return out
}

// noVictimsTime is the time for which no victims are looked for after there were none.
const noVictimsTime = sweepInterval

// charge adds memory to what a connection takes. It reports false, and adds nothing, if
// the budget does not allow it even after other connections were closed. A connection is
// always allowed what it needs while no other takes more than an idle one.
func (g *Gate) charge(c *Conn, n int64) bool {
	if !c.add(n) {
		return false
	}
	if g.used.Load() <= g.budget {
		return true
	}
	g.relieve(c)
	if g.used.Load() <= g.budget || g.alone(c) {
		return true
	}
	c.add(-n)
	return false
}

// relieve closes connections until the budget holds, or until there are none to close.
func (g *Gate) relieve(self *Conn) {
	g.mu.Lock()
	var victims []*Conn
	// A part beyond the need is freed, so that the next request needs no search.
	need := g.used.Load() - g.budget + g.budget/16
	if now := g.now.Load(); need > g.budget/16 && now >= g.fullUntil {
		victims = memoryVictims(g.candidates(nil), need)
		if len(victims) == 0 {
			g.fullUntil = now + int64(noVictimsTime)
		}
	}
	victims = slices.DeleteFunc(victims, func(v *Conn) bool { return v == self })
	victims = retireVictims(victims)
	g.mu.Unlock()
	for _, v := range victims {
		_ = v.Conn.Close() // The client may be gone.
		g.counters.count(reasonMemory)
	}
}

// retireVictims retires the connections that are still in the phase in which they were
// chosen, and returns them. gate.mu is held.
func retireVictims(chosen []*Conn) []*Conn {
	return slices.DeleteFunc(chosen, func(v *Conn) bool {
		if !v.retireFrom(v.judged) {
			return true
		}
		delete(v.listener.conns, v)
		return false
	})
}

// alone reports whether no other connection takes more memory than an idle one.
func (g *Gate) alone(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := int64(0)
	for _, l := range g.listeners {
		idle += int64(len(l.conns)) * connCost
	}
	return g.used.Load()-idle <= c.charged()
}

// Metrics adds the metrics of the Gate to a set.
func (g *Gate) Metrics(set *metrics.Set) {
	set.NewGauge("mimosakeel_ingress_memory_bytes", func() float64 { return float64(g.used.Load()) })
	set.NewGauge("mimosakeel_ingress_memory_limit_bytes", func() float64 { return float64(g.budget) })
	set.NewGauge("mimosakeel_ingress_connections", func() float64 { return float64(g.open()) })
	set.NewGauge("mimosakeel_ingress_connections_limit", func() float64 { return float64(g.maxConns) })
	g.counters.register(set)
}

func (g *Gate) open() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		n += len(l.conns)
	}
	return n
}
