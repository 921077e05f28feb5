package httpstrict

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// DeliveryReporter is implemented by connections that know whether the remote end has all
// bytes that were written.
type DeliveryReporter interface {
	// Undelivered reports whether the remote end may lack some of the written bytes. It is
	// called once the remote end has ended the connection, while nothing is written.
	Undelivered() bool
}

// Undelivered reports whether the remote end of a connection lacks some of the written
// bytes, as far as that is known. The remote end must have ended the connection: the segment
// that ends a TCP connection acknowledges all bytes that have arrived before.
func Undelivered(conn net.Conn) bool {
	for {
		if reporter, ok := conn.(DeliveryReporter); ok {
			return reporter.Undelivered()
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			unacknowledged = n
		}
	})
	return unacknowledged > 0
}
