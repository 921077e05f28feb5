package proof

import (
	"net"
	"sync"
	"time"
)

// udpIdle is the time without replies after which a session ends.
const udpIdle = 30 * time.Second

// links holds the cut links between daemons. A link is a directed pair of VMs.
type links struct {
	mu  sync.Mutex
	cut map[[2]string]bool
}

func (l *links) blocked(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{from, to}]
}

func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = map[[2]string]bool{}
	}
	l.cut[[2]string{from, to}] = cut
}

func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = nil
}

// udpRelay relays the packets of all other daemons to one daemon and drops those of
// cut links. A daemon sends from the address that it listens on, which identifies
// the sender.
type udpRelay struct {
	to     string
	target *net.UDPAddr
	conn   *net.UDPConn
	links  *links
	// sender maps the address of a daemon to its VM.
	sender func(addr string) string

	mu sync.Mutex
	// sessions maps the address of a sender to its connection to the target.
	sessions map[string]*net.UDPConn
}

func startUDPRelay(to string, target string, l *links, sender func(string) string) (*udpRelay, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	r := &udpRelay{to: to, target: addr, conn: conn, links: l, sender: sender, sessions: map[string]*net.UDPConn{}}
	go r.run()
	return r, nil
}

func (r *udpRelay) addr() string { return r.conn.LocalAddr().String() }

func (r *udpRelay) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.links.blocked(r.sender(from.String()), r.to) {
			continue
		}
		if session := r.session(from); session != nil {
			_, _ = session.Write(buffer[:n])
		}
	}
}

func (r *udpRelay) session(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sessions[from.String()]; s != nil {
		return s
	}
	s, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.sessions[from.String()] = s
	go r.relayReplies(s, from)
	return s
}

// relayReplies relays the target's packets to the sender of a session.
func (r *udpRelay) relayReplies(s *net.UDPConn, from *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		_ = s.SetReadDeadline(time.Now().Add(udpIdle))
		n, err := s.Read(buffer)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			break
		}
		if err != nil {
			// Reads fail while the target daemon does not run. The session stays open for
			// its restart.
			time.Sleep(10 * time.Millisecond)
			if r.sessionClosed(from, s) {
				return
			}
			continue
		}
		if !r.links.blocked(r.to, r.sender(from.String())) {
			_, _ = r.conn.WriteToUDP(buffer[:n], from)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[from.String()] == s {
		delete(r.sessions, from.String())
	}
	_ = s.Close()
}

func (r *udpRelay) sessionClosed(from *net.UDPAddr, s *net.UDPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[from.String()] != s
}

func (r *udpRelay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.conn.Close()
	for key, s := range r.sessions {
		_ = s.Close()
		delete(r.sessions, key)
	}
}
