package backend

import (
	"net"
	"time"
)

// Relayed is implemented by connections that another daemon has opened.
type Relayed interface {
	// RelayVM returns the VM of that daemon.
	RelayVM() string
}

// relayVM returns the VM of the daemon that has opened a connection; empty if it is this
// one.
func relayVM(conn net.Conn) string {
	if relayed, ok := conn.(Relayed); ok {
		return relayed.RelayVM()
	}
	return ""
}

// OnHeard sets the function that is called when bytes have arrived over the own path.
func (c *Client) OnHeard(heard func()) { c.transport.set.heard.Store(&heard) }

func (s *connSet) noteHeard(c *trackedConn) {
	if heard := s.heard.Load(); heard != nil && relayVM(c.NetConn()) == "" {
		(*heard)()
	}
}

// all returns the connections for which keep returns true.
func (s *connSet) all(keep func(c *trackedConn) bool) (out []*trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conns := range s.conns {
		for c := range conns {
			if keep(c) {
				out = append(out, c)
			}
		}
	}
	return out
}

// PathLost ends the use of connections to an address, or to all if it is empty, on which
// nothing has arrived since a time: those that the daemon on a VM has opened, or those
// over the own path if vm is empty. Calls that may be repeated fail, the others go on.
func (c *Client) PathLost(vm, addr string, since time.Time) {
	lost := c.transport.set.all(func(conn *trackedConn) bool {
		return relayVM(conn.NetConn()) == vm && (addr == "" || dialAddress(conn.addr) == addr) && conn.lastRead.Load() < since.UnixNano()
	})
	for _, conn := range lost {
		conn.losePath()
	}
}

// losePath closes the connection unless a call uses it that can't be repeated.
func (c *trackedConn) losePath() {
	c.retired.Store(true)
	if !c.mu.TryLock() {
		return // A write is in progress.
	}
	failing := c.owner != nil && c.owner.repeatable
	c.mu.Unlock()
	if failing {
		c.pathLost.Store(true)
		_ = c.Close() // The read in progress fails.
		return
	}
	c.closeIfIdle()
}

// RetireRelayed closes connections to an address that other daemons have opened, or those
// of one daemon, once no call uses them. Empty arguments match all.
func (c *Client) RetireRelayed(addr, vm string) {
	for _, conn := range c.transport.set.all(func(conn *trackedConn) bool {
		by := relayVM(conn.NetConn())
		return by != "" && (vm == "" || by == vm) && (addr == "" || dialAddress(conn.addr) == addr)
	}) {
		conn.retired.Store(true)
		conn.closeIfIdle()
	}
}

// Waiting returns the addresses of calls that have waited for a byte over the own path
// for some time.
func (c *Client) Waiting(now time.Time, longer time.Duration) []string {
	seen := map[string]bool{}
	var out []string
	for _, conn := range c.transport.set.all(func(conn *trackedConn) bool { return relayVM(conn.NetConn()) == "" }) {
		addr := dialAddress(conn.addr)
		if !seen[addr] && conn.waitsSince(now.Add(-longer)) {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// waitsSince reports whether a request was written before a time and nothing has arrived
// since.
func (c *trackedConn) waitsSince(at time.Time) bool {
	if !c.mu.TryLock() {
		return false // A write is in progress.
	}
	defer c.mu.Unlock()
	return c.owner != nil && !c.owner.wroteAt.IsZero() && c.owner.wroteAt.Before(at) && c.lastRead.Load() < at.UnixNano()
}
