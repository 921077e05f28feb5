package edge

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/httpstrict"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/reach"
)

const (
	// maxRelayed bounds the connections that a daemon relays for others.
	maxRelayed = 512
	// relayCheckInterval is the time between two checks whether a planned stop may end.
	relayCheckInterval = 10 * time.Millisecond
	// relayBufferBytes is the size of the buffer for each direction.
	relayBufferBytes = 16 << 10
	// relayStale is the age of a heartbeat from which on its sender is not asked.
	relayStale = 3*member.HeartbeatInterval + 100*time.Millisecond
	// relayForget is the age of a heartbeat from which on its sender is forgotten.
	relayForget = time.Minute
	// relayBackoff is the time for which a daemon that failed as a relay is asked last.
	relayBackoff = time.Second
)

var (
	relayedTotal   = metrics.NewCounter(`mimosakeel_edge_relayed_connections_total{result="opened"}`)
	relayedRefused = metrics.NewCounter(`mimosakeel_edge_relayed_connections_total{result="refused"}`)
	relayBuffers   = sync.Pool{New: func() any { b := make([]byte, relayBufferBytes); return &b }}
)

// RelayState says in a heartbeat whether its sender opens connections for others. Daemons
// of earlier releases send none.
type RelayState uint8

const (
	// relayNone is the state of a daemon that relays nothing.
	relayNone RelayState = iota
	// relayReady is the state of a daemon that reaches servers.
	relayReady
	// relayCut is the state of a daemon that has lost its own paths to servers.
	relayCut
)

// RelayRequest asks a daemon to open a connection to a backend server.
type RelayRequest struct {
	Addr string `cbor:"1,keyasint"`
	// Framed asks for the frames of relayframe.go. Daemons of earlier releases send raw
	// bytes only.
	Framed bool `cbor:"2,keyasint,omitempty"`
}

// RelayReply answers a RelayRequest. The bytes of the connection follow if Opened is set.
type RelayReply struct {
	Opened bool `cbor:"1,keyasint,omitempty"`
	// Refused is set if the server's machine refused the connection.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Reaches is set if the sender tried, and opens connections to other servers.
	Reaches bool   `cbor:"3,keyasint,omitempty"`
	Error   string `cbor:"4,keyasint,omitempty"`
	// Framed is set if the server's bytes come in frames.
	Framed bool `cbor:"5,keyasint,omitempty"`
}

// MessageKind implements peer.Message.
func (*RelayRequest) MessageKind() peer.Kind { return kindRelayRequest }

// MessageKind implements peer.Message.
func (*RelayReply) MessageKind() peer.Kind { return kindRelayReply }

// relays knows the daemons that relay connections. It is safe for concurrent use.
type relays struct {
	mu    sync.Mutex
	peers map[string]relayPeer
}

type relayPeer struct {
	state RelayState
	heard time.Time
	// avoidUntil is the end of the back-off after a failure.
	avoidUntil time.Time
}

func newRelays() *relays { return &relays{peers: map[string]relayPeer{}} }

// observe records the state in a heartbeat.
func (r *relays) observe(now time.Time, vm string, state RelayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[vm]
	p.state, p.heard = state, now
	r.peers[vm] = p
}

// relayObserved applies the state in a heartbeat of another daemon.
func (d *Daemon) relayObserved(now time.Time, vm string, state RelayState) {
	d.relays.observe(now, vm, state)
	switch state {
	case relayNone:
		d.Connections.RetireRelayed("", vm)
	case relayCut:
		d.Connections.PathLost(vm, "", now.Add(-quietBefore))
	}
}

func (r *relays) failed(now time.Time, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[vm]
	p.avoidUntil = now.Add(relayBackoff)
	r.peers[vm] = p
}

// ready returns the daemons that may be asked, and whether each has failed lately.
func (r *relays) ready(now time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for vm, p := range r.peers {
		switch {
		case now.Sub(p.heard) >= relayForget:
			delete(r.peers, vm)
		case p.state == relayReady && now.Sub(p.heard) < relayStale:
			out[vm] = now.Before(p.avoidUntil)
		}
	}
	return out
}

// learned records what a daemon has answered to a RelayRequest. In large deployments most
// daemons send this one no heartbeats.
func (r *relays) learned(now time.Time, vm string, state RelayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[vm]
	p.state, p.heard = state, now
	if state == relayReady {
		p.avoidUntil = time.Time{}
	}
	r.peers[vm] = p
}

// unknown returns up to n members whose state is not known, chosen at random.
func (r *relays) unknown(now time.Time, n int, vm string, members map[string]memberEntry) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range members { // The order of a map is random enough.
		if p, heard := r.peers[id]; len(out) < n && id != vm && (!heard || now.Sub(p.heard) >= relayStale && now.After(p.avoidUntil)) {
			out = append(out, id)
		}
	}
	return out
}

// any reports whether other daemons relay connections at all.
func (r *relays) any(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.state != relayNone && now.Sub(p.heard) < relayForget {
			return true
		}
	}
	return false
}

// rank orders the members that may be asked for a connection to a server in a failure
// domain, those that have failed lately last. Traffic crosses domains once if the relay is
// in that domain or in the own one.
func (r *relays) rank(now time.Time, vm, own, server string, members map[string]memberEntry) []reach.Relay {
	type ranked struct {
		reach.Relay
		distance, tie int
	}
	var list []ranked
	for id, failed := range r.ready(now) {
		m, listed := members[id]
		if !listed || id == vm {
			continue
		}
		distance := 2
		switch m.FailureDomain {
		case server:
			distance = 0
		case own:
			distance = 1
		}
		if failed {
			distance = 3
		}
		list = append(list, ranked{reach.Relay{VM: id, Addr: m.Addr}, distance, rand.Int()})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.tie, b.tie)) })
	out := make([]reach.Relay, len(list))
	for i := range list {
		out[i] = list[i].Relay
	}
	for _, id := range r.unknown(now, reach.MaxRelays-len(out), vm, members) {
		out = append(out, reach.Relay{VM: id, Addr: members[id].Addr})
	}
	return out
}

// newDialer returns the dialer for connections to servers.
func (d *Daemon) newDialer() *reach.Dialer {
	return &reach.Dialer{
		Table:  reach.NewTable(),
		Direct: d.Config.Dial,
		Relays: func(addr string) []reach.Relay {
			domain := ""
			if s := d.control.servers.Load().atAddr(addr); s != nil {
				domain = s.FailureDomain
			}
			return d.relays.rank(time.Now(), d.Settings.VM, d.Settings.FailureDomain, domain, d.control.memberTable.load())
		},
		Alone: func() bool { return !d.relays.any(time.Now()) },
		Open:  d.openRelayed,
		OnBroken: func(addr string, silent bool, since time.Time) {
			if silent {
				d.pathLost(addr, since)
			}
		},
		OnHealed: func(addr string) { d.Connections.RetireRelayed(addr, "") },
		Servers:  func(n int) []string { return d.control.servers.Load().sample(n) },
		Events:   d.Events,
	}
}

// DialServer opens a connection to a backend server, through another daemon if the own
// path to it is broken.
func (d *Daemon) DialServer(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.dialer.Dial(ctx, network, addr)
}

// quietBefore is the time before an attempt to open a connection for which an open one
// has delivered nothing if the path loses its packets too.
const quietBefore = 300 * time.Millisecond

// pathLost ends the use of connections that no longer deliver.
func (d *Daemon) pathLost(addr string, since time.Time) {
	if d.dialer.Table.Cut() {
		d.Connections.PathLost("", "", time.Now())
		return
	}
	d.Connections.PathLost("", addr, since.Add(-quietBefore))
}

// openRelayed opens a connection through another daemon.
func (d *Daemon) openRelayed(ctx context.Context, relay reach.Relay, addr string) (net.Conn, error) {
	var reply RelayReply
	tunnel, err := d.node.Tunnel(ctx, relay.Addr, &RelayRequest{Addr: addr, Framed: true}, &reply)
	if errors.Is(err, peer.ErrFarReset) {
		return nil, &reach.RelayError{Text: "the server reset the new connection"}
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			d.relays.failed(time.Now(), relay.VM)
			d.Events.Record(event.KindFault, "relay_failed", relay.VM, event.F("error", err.Error()), event.F("asked_last_for", relayBackoff.String()))
		}
		return nil, err
	}
	if reply.Opened || reply.Reaches {
		d.relays.learned(time.Now(), relay.VM, relayReady)
	} else {
		d.relays.learned(time.Now(), relay.VM, relayCut)
	}
	if !reply.Opened {
		_ = tunnel.Close()
		return nil, &reach.RelayError{Refused: reply.Refused, Reaches: reply.Reaches, Text: reply.Error}
	}
	return newRelayedConn(tunnel, relay.VM, reply.Framed), nil
}

// relayedConn is a connection to a server through another daemon.
type relayedConn struct {
	*peer.Tunnel
	vm string
	// frames reads the server's bytes; nil if they come unframed.
	frames *relayFrameReader
	// written is the number of bytes for the server.
	written atomic.Int64
}

func newRelayedConn(tunnel *peer.Tunnel, vm string, framed bool) *relayedConn {
	c := &relayedConn{Tunnel: tunnel, vm: vm}
	if framed {
		c.frames = newRelayFrameReader(tunnel)
	}
	return c
}

// RelayVM implements backend.Relayed.
func (c *relayedConn) RelayVM() string { return c.vm }

func (c *relayedConn) Read(p []byte) (n int, err error) {
	if c.frames != nil {
		n, err = c.frames.Read(p)
	} else {
		n, err = c.Tunnel.Read(p)
	}
	return n, relayedError("read", err)
}

func (c *relayedConn) Write(p []byte) (int, error) {
	n, err := c.Tunnel.Write(p)
	c.written.Add(int64(n))
	return n, relayedError("write", err)
}

// Undelivered implements httpstrict.DeliveryReporter. A daemon of an earlier release does
// not tell what it has delivered.
func (c *relayedConn) Undelivered() bool {
	return c.frames == nil || c.frames.delivered < uint64(c.written.Load())
}

// relayedError tells resets by the server from failures of the way to it.
func relayedError(op string, err error) error {
	switch {
	case errors.Is(err, peer.ErrFarReset):
		return &net.OpError{Op: op, Net: "tcp", Err: syscall.ECONNRESET}
	case errors.Is(err, peer.ErrTunnelLost):
		return &backend.PathError{Err: err}
	}
	return err
}

// OpenTunnel implements peer.TunnelHandler. It connects to listed servers only, and only
// over the own path, so that no connection passes through two daemons.
func (d *Daemon) OpenTunnel(ctx context.Context, vm string, f peer.Frame) (peer.Message, func(*peer.Tunnel), bool) {
	if f.Kind != kindRelayRequest {
		return nil, nil, false
	}
	request, err := d.admitRelay(f)
	if err != nil {
		relayedRefused.Inc()
		return &RelayReply{Error: err.Error()}, nil, true
	}
	conn, reaches, err := d.dialer.OpenForOther(ctx, request.Addr)
	if err != nil {
		relayedRefused.Inc()
		return &RelayReply{Refused: errors.Is(err, syscall.ECONNREFUSED), Reaches: reaches, Error: err.Error()}, nil, true
	}
	relayedTotal.Inc()
	d.relaying.Add(1)
	return &RelayReply{Opened: true, Reaches: true, Framed: request.Framed}, func(t *peer.Tunnel) {
		defer d.relaying.Add(-1)
		relayBytes(t, conn, request.Framed)
	}, true
}

// admitRelay decides whether this daemon opens a connection for another one.
func (d *Daemon) admitRelay(f peer.Frame) (*RelayRequest, error) {
	request := &RelayRequest{}
	if err := f.Decode(request); err != nil {
		return nil, err
	}
	switch {
	case d.stopping.Load():
		return nil, eris.New("the daemon is stopping")
	case d.relaying.Load() >= maxRelayed:
		return nil, eris.New("too many connections are relayed")
	case d.control.servers.Load().atAddr(request.Addr) == nil:
		return nil, eris.Errorf("no server is listed at %s", request.Addr)
	}
	return request, nil
}

// relayBytes passes bytes on in both directions until both have ended.
func relayBytes(t *peer.Tunnel, server net.Conn, framed bool) {
	up := &relayUplink{server: server}
	fromServer := make(chan struct{})
	go func() {
		defer close(fromServer)
		if framed {
			up.passFramed(t)
			return
		}
		up.passRaw(t)
	}()
	_ = copyBytes(up, t) // Ends with the tunnel or with a failed write, which up holds.
	if up.failed() {
		// Closing the tunnel would drop what the server has sent before.
		_, _ = io.Copy(io.Discard, t)
	}
	// An end of the bytes is no half-close: HTTP clients close both directions at once.
	_ = server.Close()
	_ = t.Close()
	<-fromServer
}

// passFramed passes the server's bytes on in frames, and then how they ended.
func (u *relayUplink) passFramed(t *peer.Tunnel) {
	err := copyFrames(t, u.server)
	switch delivered, inOrder := u.end(); {
	case resetByServer(err) || err == nil && !inOrder:
		err = writeRelayEnd(t, farWasReset)
	case err == nil:
		err = writeRelayEnd(t, delivered)
	}
	if err != nil {
		_ = t.Close()
		return
	}
	_ = t.CloseWrite() // The other daemon closes the tunnel when it has read the end.
}

// passRaw is passFramed for a daemon of an earlier release. It can't be told how much has
// been delivered.
func (u *relayUplink) passRaw(t *peer.Tunnel) {
	err := copyBytes(t, u.server)
	switch _, inOrder := u.end(); {
	case resetByServer(err) || err == nil && !inOrder:
		t.ResetFar()
	case err == nil:
		_ = t.CloseWrite()
	default:
		_ = t.Close()
	}
}

// resetByServer reports whether an error shows that the server has reset the connection.
func resetByServer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// relayUplink writes the bytes of the other daemon to the server.
type relayUplink struct {
	server net.Conn

	mu        sync.Mutex
	delivered uint64
	err       error
}

// Write implements io.Writer.
func (u *relayUplink) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.server.Write(p)
	u.delivered += uint64(n)
	u.err = err
	return n, err
}

func (u *relayUplink) failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err != nil
}

// end ends the writes once the server has ended the connection. It returns the number of
// bytes that were written, and whether the server has got all of them. A reset is reported
// once: if a write got the error, the read has seen an ordinary end.
func (u *relayUplink) end() (delivered uint64, inOrder bool) {
	_ = u.server.SetWriteDeadline(time.Unix(1, 0)) // Ends a write in progress.
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.delivered, u.err == nil && !httpstrict.Undelivered(u.server)
}

func copyBytes(to io.Writer, from io.Reader) error {
	buffer := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	// The wrappers keep io from using buffers of its own.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, *buffer)
	return err
}

// relayState returns the state that heartbeats announce.
func (d *Daemon) relayState() RelayState {
	switch {
	case d.stopping.Load():
		return relayNone
	case d.dialer.Table.Reaches():
		return relayReady
	}
	return relayCut
}

// awaitRelayed waits until the connections that this daemon relays are closed. The other
// daemons close those that are idle when they hear of the stop.
func (d *Daemon) awaitRelayed(ctx context.Context) {
	tick := time.NewTicker(relayCheckInterval)
	defer tick.Stop()
	for d.relaying.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
