// Package relay is a TCP proxy that injects network faults: resets, dropped data
// and delays. It is used by tests and experiments.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode selects the fault that a relay injects.
type Mode int32

// The modes.
const (
	// Pass forwards all data.
	Pass Mode = iota
	// Cut resets open connections and every new one.
	Cut
	// MuteUp drops the data from client to server, on open and new connections.
	MuteUp
	// MuteDown drops the data from server to client, on open and new
	// connections.
	MuteDown
)

const dialTimeout = time.Second

// Relay forwards connections to a target address. It is safe for concurrent
// use.
type Relay struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// delay is the forwarding delay per direction, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one relayed connection: the client's and the one to the target.
type pair struct {
	client, server net.Conn
	// lostUp and lostDown are set once bytes of that direction were dropped. TCP
	// delivers in order, so no later byte of the direction may be forwarded.
	lostUp, lostDown atomic.Bool
}

// Start listens on a free loopback port and forwards connections to target.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// URL returns the relay's address as an HTTP URL.
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
		r.closePair(p)
		return
	}
	go r.forward(p, client, server, MuteUp, &p.lostUp)
	r.forward(p, server, client, MuteDown, &p.lostDown)
}

// forward copies the data of one direction. When a direction ends, the whole
// connection is reset, unless bytes of the direction were dropped: its end then
// never arrives either.
func (r *Relay) forward(p *pair, from, to net.Conn, mute Mode, lost *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && Mode(r.mode.Load()) == mute {
			lost.Store(true)
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if n > 0 && !lost.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				r.closePair(p)
				return
			}
		}
		if err != nil {
			if !lost.Load() {
				r.closePair(p)
			}
			return
		}
	}
}

func (r *Relay) closePair(p *pair) {
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
	reset(p.client)
	reset(p.server)
}

// reset closes a TCP connection with RST instead of FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Set changes the mode for open and new connections.
func (r *Relay) Set(mode Mode) {
	r.mode.Store(int32(mode))
	if mode == Cut {
		r.ResetAll()
	}
}

// SetDelay sets the forwarding delay of each direction.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// ResetAll resets the open connections.
func (r *Relay) ResetAll() {
	for _, p := range r.openPairs() {
		r.closePair(p)
	}
}

func (r *Relay) openPairs() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pairs []*pair
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

// Freeze drops all further data of the open connections without closing them.
// New connections are not affected.
func (r *Relay) Freeze() {
	for _, p := range r.openPairs() {
		p.lostUp.Store(true)
		p.lostDown.Store(true)
	}
}

// Close stops listening and resets the open connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetAll()
}

// Heal returns to mode Pass without delay and resets the connections that lost
// bytes.
func (r *Relay) Heal() {
	r.Set(Pass)
	r.SetDelay(0)
	for _, p := range r.openPairs() {
		if p.lostUp.Load() || p.lostDown.Load() {
			r.closePair(p)
		}
	}
}
