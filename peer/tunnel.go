package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// tunnelIdleTimeout and tunnelKeepAlive bound the time until the tunnels through a
	// frozen or unreachable peer fail.
	tunnelIdleTimeout = 1500 * time.Millisecond
	tunnelKeepAlive   = 400 * time.Millisecond
	// tunnelStreamWindow and tunnelConnWindow bound the bytes of one tunnel, and of all
	// tunnels through one peer, that were received and not read.
	tunnelStreamWindow = 512 << 10
	tunnelConnWindow   = 2 << 20
	// refusalReadTimeout is the time in which the other daemon reads a refusal.
	refusalReadTimeout = time.Second
	// tunnelLinger is the time for which the connection to a peer without tunnels is kept.
	tunnelLinger = 5 * time.Second
)

// codeFarReset tells that the far end of a tunnel was reset.
const codeFarReset quic.StreamErrorCode = 3

// Errors of tunnels.
var (
	// ErrFarReset means that the far end of the tunnel was reset.
	ErrFarReset = eris.New("the far end of the tunnel was reset")
	// ErrTunnelLost means that the tunnel itself failed, which says nothing about its far
	// end.
	ErrTunnelLost = eris.New("tunnel was lost")
)

// TunnelHandler is implemented by handlers that serve tunnels.
type TunnelHandler interface {
	// OpenTunnel handles the request for a tunnel and returns the reply and the function
	// that serves the tunnel; nil refuses it. ok is false if the frame requests no tunnel.
	OpenTunnel(ctx context.Context, vm string, f Frame) (reply Message, serve func(*Tunnel), ok bool)
}

// Tunnel carries bytes in both directions between two daemons. It implements net.Conn.
// An end of the bytes and a reset arrive as such at the other daemon.
type Tunnel struct {
	stream *quic.Stream
	conn   *quic.Conn
	once   sync.Once
	closed func()
}

func newTunnel(conn *quic.Conn, stream *quic.Stream, closed func()) *Tunnel {
	return &Tunnel{stream: stream, conn: conn, closed: closed}
}

// Read implements net.Conn.
func (t *Tunnel) Read(p []byte) (int, error) {
	n, err := t.stream.Read(p)
	bytesReceived.Add(n)
	return n, tunnelError(err)
}

// Write implements net.Conn.
func (t *Tunnel) Write(p []byte) (int, error) {
	n, err := t.stream.Write(p)
	bytesSent.Add(n)
	return n, tunnelError(err)
}

// tunnelError returns ErrFarReset or ErrTunnelLost for errors of the stream. The end of
// the bytes and an exceeded deadline are returned as they are.
func tunnelError(err error) error {
	var timeout net.Error
	var reset *quic.StreamError
	switch {
	case errors.As(err, &reset):
		if reset.Remote && reset.ErrorCode == codeFarReset {
			return ErrFarReset
		}
		return eris.Wrap(ErrTunnelLost, err.Error())
	case isConnError(err):
		return eris.Wrap(ErrTunnelLost, err.Error())
	case errors.As(err, &timeout):
		return err
	}
	return err
}

// isConnError reports whether the connection below a stream has failed.
func isConnError(err error) bool {
	var idle *quic.IdleTimeoutError
	var closed *quic.ApplicationError
	var transport *quic.TransportError
	var stateless *quic.StatelessResetError
	return errors.As(err, &idle) || errors.As(err, &closed) || errors.As(err, &transport) || errors.As(err, &stateless) || errors.Is(err, net.ErrClosed)
}

// CloseWrite ends the bytes in this direction.
func (t *Tunnel) CloseWrite() error { return t.stream.Close() }

// Close implements net.Conn. The other daemon gets a reset unless the bytes have ended.
func (t *Tunnel) Close() error {
	t.end(codeCancelled)
	return nil
}

// ResetFar ends the tunnel because its far end was reset.
func (t *Tunnel) ResetFar() { t.end(codeFarReset) }

func (t *Tunnel) end(code quic.StreamErrorCode) {
	t.once.Do(func() {
		t.stream.CancelRead(code)
		t.stream.CancelWrite(code)
		t.closed()
	})
}

// LocalAddr implements net.Conn.
func (t *Tunnel) LocalAddr() net.Addr { return t.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It returns the address of the other daemon.
func (t *Tunnel) RemoteAddr() net.Addr { return t.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (t *Tunnel) SetDeadline(at time.Time) error { return t.stream.SetDeadline(at) }

// SetReadDeadline implements net.Conn.
func (t *Tunnel) SetReadDeadline(at time.Time) error { return t.stream.SetReadDeadline(at) }

// SetWriteDeadline implements net.Conn.
func (t *Tunnel) SetWriteDeadline(at time.Time) error { return t.stream.SetWriteDeadline(at) }

// tunnelConfig bounds what tunnels buffer. Messages have connections of their own, so
// that tunnels whose bytes are not read don't hold them up.
func tunnelConfig() *quic.Config {
	c := quicConfig()
	c.MaxIdleTimeout, c.KeepAlivePeriod = tunnelIdleTimeout, tunnelKeepAlive
	return c
}

// Tunnel opens a tunnel through the peer at an address and decodes the peer's answer
// into reply. It fails with *RemoteError if the peer serves no tunnels.
func (n *Node) Tunnel(ctx context.Context, addr string, request, reply Message) (*Tunnel, error) {
	frame, err := Encode(request)
	if err != nil {
		return nil, err
	}
	l := n.tunnelLink(addr)
	conn, err := l.connection(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "tunnel through peer %s", addr)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "tunnel through peer %s", addr)
	}
	l.tunnelOpened()
	t := newTunnel(conn, stream, l.tunnelClosed)
	if err := t.request(ctx, frame, reply); err != nil {
		_ = t.Close()
		return nil, eris.Wrapf(err, "tunnel through peer %s", addr)
	}
	return t, nil
}

// request sends the request for a tunnel and reads the answer.
func (t *Tunnel) request(ctx context.Context, f Frame, reply Message) error {
	release := context.AfterFunc(ctx, func() { _ = t.SetDeadline(time.Unix(1, 0)) })
	defer release()
	if err := writeFrame(countingWriter{t.stream}, f); err != nil {
		return tunnelError(err)
	}
	answer, err := readFrame(countingReader{t.stream})
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		return tunnelError(err)
	case !release():
		return ctx.Err()
	case answer.Kind != kindRemoteError:
		return answer.Decode(reply)
	}
	remote := &RemoteError{}
	if err := answer.Decode(remote); err != nil {
		return err
	}
	return remote
}

// serveTunnel answers a request for a tunnel and serves it. It returns false if the frame
// requests none.
func (n *Node) serveTunnel(conn *quic.Conn, stream *quic.Stream, vm string, request Frame) bool {
	handler, ok := n.handler.(TunnelHandler)
	if !ok {
		return false
	}
	reply, serve, ok := handler.OpenTunnel(stream.Context(), vm, request)
	if !ok {
		return false
	}
	t := newTunnel(conn, stream, func() {})
	defer t.Close()
	_ = stream.SetReadDeadline(time.Time{})
	frame, err := Encode(reply)
	if err == nil {
		err = writeFrame(countingWriter{stream}, frame)
	}
	switch {
	case serve != nil && err == nil:
		serve(t)
	case err == nil:
		_ = t.CloseWrite()
		// Closing the tunnel before the other daemon has read the reply would drop it.
		_ = t.SetReadDeadline(time.Now().Add(refusalReadTimeout))
		_, _ = io.Copy(io.Discard, t)
	}
	return true
}

// tunnelLink returns the connection for tunnels to an address; it does not dial.
func (n *Node) tunnelLink(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.tunnels[addr]
	if !ok {
		l = &link{node: n, addr: addr, config: tunnelConfig()}
		n.tunnels[addr] = l
	}
	return l
}

func (l *link) tunnelOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
}

// tunnelClosed closes the connection some time after its last tunnel.
func (l *link) tunnelClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open--; l.open > 0 {
		return
	}
	conn := l.conn
	time.AfterFunc(tunnelLinger, func() {
		l.mu.Lock()
		unused := l.open == 0 && l.conn == conn
		l.mu.Unlock()
		if unused {
			l.reset()
		}
	})
}
