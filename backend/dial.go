package backend

import (
	"context"
	"net"
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
	// connection. The connection fails after unansweredProbes without an answer.
	KeepAliveInterval time.Duration
}

// unansweredProbes is the number of unanswered keep-alive probes after which the
// kernel closes a connection.
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
