package backend

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialConfig holds the timeouts that bound how long a dead connection remains
// undetected.
type DialConfig struct {
	// ConnectTimeout is the timeout for opening a connection.
	ConnectTimeout time.Duration
	// UserTimeout is the longest time for which sent data may remain
	// unacknowledged by the remote kernel (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveInterval is the interval of the TCP keep-alive probes on an idle
	// connection. The connection fails at the first probe that is due after UserTimeout,
	// whatever the number of unanswered probes.
	KeepAliveInterval time.Duration
}

// ToleratedSilence returns the longest silence of the remote kernel that fails no
// connection. Linux compares UserTimeout with the time since the last byte, which may be
// up to an interval longer than the silence.
func (c DialConfig) ToleratedSilence() time.Duration {
	probes := max((c.UserTimeout+c.KeepAliveInterval-1)/c.KeepAliveInterval, 2)
	return min((probes-1)*c.KeepAliveInterval, c.UserTimeout)
}

// unansweredProbes is the number of unanswered keep-alive probes after which the
// kernel closes a connection without UserTimeout.
const unansweredProbes = 2

// NewDialer returns a function that opens TCP connections. The kernel fails a
// connection when the remote end is gone or a NAT or firewall on the path has lost
// its state.
func NewDialer(c DialConfig) DialFunc {
	dialer := &net.Dialer{
		Timeout:         c.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveInterval, Interval: c.KeepAliveInterval, Count: unansweredProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, addr)
	}
}

// withPeer returns a copy of a request whose host names the peer and the address:
// net/http keeps the connections of each host apart.
func withPeer(req *http.Request, peer string) *http.Request {
	out, target := *req, *req.URL
	if out.Host == "" {
		out.Host = target.Host
	}
	target.Host = peerPrefix + hex.EncodeToString([]byte(target.Host+"/"+peer))
	out.URL = &target
	return &out
}

// peerPrefix begins the host of a request that withPeer returned.
const peerPrefix = "peer-"

// dialAddress returns the address to dial for the host and port of a request.
func dialAddress(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	encoded, ok := strings.CutPrefix(host, peerPrefix)
	if !ok {
		return addr
	}
	decoded, err := hex.DecodeString(encoded)
	if err != nil {
		return addr
	}
	address, _, _ := strings.Cut(string(decoded), "/")
	return address
}

// unread reports whether the remote end has sent bytes that were not read, or has closed
// the connection. It reports false for connections without a file descriptor.
func unread(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	_ = raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil
	})
	return found
}
