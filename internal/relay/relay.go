// Package relay passes TCP connections on and disturbs them on order, for tests
// and experiments.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a relay does with traffic.
type Mode int32

// The modes.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Cut resets open connections and accepts none.
	Cut
	// MuteUp drops what callers send, on new connections too.
	MuteUp
	// MuteDown drops what the callee answers.
	MuteDown
)

const dialTimeout = time.Second

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// delay is the time in nanoseconds for which data is held back.
	delay atomic.Int64

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	client, server net.Conn
	// lost is set once bytes of a direction were dropped; no later byte of it
	// may be delivered, as on a connection whose packets get lost.
	lostUp, lostDown atomic.Bool
}

// Start listens on loopback and passes connections on to a target address.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr is the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// URL is the relay's address as an HTTP URL.
func (r *Relay) URL() string { return "http://" + r.Addr() }

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	if Mode(r.mode.Load()) == Cut {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	p := &pair{client: client, server: server}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	if Mode(r.mode.Load()) == Cut {
		r.end(p)
		return
	}
	go r.copy(p, client, server, MuteUp, &p.lostUp)
	r.copy(p, server, client, MuteDown, &p.lostDown)
}

// copy passes one direction on. The end of a direction with lost bytes isn't
// passed on either.
func (r *Relay) copy(p *pair, from, to net.Conn, mute Mode, lost *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && Mode(r.mode.Load()) == mute {
			lost.Store(true)
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if n > 0 && !lost.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				r.end(p)
				return
			}
		}
		if err != nil {
			if !lost.Load() {
				r.end(p)
			}
			return
		}
	}
}

func (r *Relay) end(p *pair) {
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
	reset(p.client)
	reset(p.server)
}

// reset closes without a lingering FIN exchange.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Set changes the mode, also for open connections.
func (r *Relay) Set(mode Mode) {
	r.mode.Store(int32(mode))
	if mode == Cut {
		r.ResetAll()
	}
}

// SetDelay holds data back for a time, in both directions.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// ResetAll resets the open connections.
func (r *Relay) ResetAll() {
	for _, p := range r.open() {
		r.end(p)
	}
}

func (r *Relay) open() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pairs []*pair
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

// Freeze silences the open connections for good; new ones work.
func (r *Relay) Freeze() {
	for _, p := range r.open() {
		p.lostUp.Store(true)
		p.lostDown.Store(true)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetAll()
}

// Heal passes everything on again and resets the connections that lost bytes.
func (r *Relay) Heal() {
	r.Set(Pass)
	r.SetDelay(0)
	for _, p := range r.open() {
		if p.lostUp.Load() || p.lostDown.Load() {
			r.end(p)
		}
	}
}
