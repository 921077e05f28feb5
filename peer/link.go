package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// sendTimeout bounds the write of a one-way message. A peer that accepts no data
// for this long makes the send fail, so that a frozen peer does not block the
// sender.
const sendTimeout = 500 * time.Millisecond

// link is the outgoing connection to one address. It dials on first use and
// again after a failure.
type link struct {
	node   *Node
	addr   string
	config *quic.Config

	// dialMu is held while dialing, so that concurrent users share one dial.
	dialMu sync.Mutex
	// sendMu is held while a one-way message is written, which keeps the messages
	// in order.
	sendMu sync.Mutex

	mu   sync.Mutex
	conn *quic.Conn
	// messages is the stream of one-way messages on conn; nil before the first.
	messages *quic.SendStream
	// open is the number of open tunnels.
	open int
}

// connection returns the open connection and dials if there is none.
func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	if conn := l.live(); conn != nil {
		return conn, nil
	}
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	if conn := l.live(); conn != nil {
		return conn, nil
	}
	conn, err := l.node.dial(ctx, l.addr, l.config)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.messages = nil
	return conn, nil
}

// live returns the connection if it is open, nil otherwise.
func (l *link) live() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil {
		return nil
	}
	return l.conn
}

// reset closes the connection; the next use dials again.
func (l *link) reset() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.messages = nil
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(codeClosed, "")
	}
}

// send writes a one-way message. Delivery is not confirmed.
func (l *link) send(ctx context.Context, f Frame) error {
	conn, err := l.connection(ctx)
	if err != nil {
		return err
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	stream, err := l.messageStream(ctx, conn)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	return writeFrame(countingWriter{stream}, f)
}

// messageStream returns the stream of one-way messages and opens it if needed.
// The caller holds sendMu.
func (l *link) messageStream(ctx context.Context, conn *quic.Conn) (*quic.SendStream, error) {
	l.mu.Lock()
	stream := l.messages
	current := l.conn == conn
	l.mu.Unlock()
	if stream != nil && current {
		return stream, nil
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.messages = stream
	}
	return stream, nil
}

// call sends a request on a new stream and returns the reply. The end of ctx
// cancels both directions of the stream.
func (l *link) call(ctx context.Context, f Frame) (Frame, error) {
	conn, err := l.connection(ctx)
	if err != nil {
		return Frame{}, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return Frame{}, err
	}
	release := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer release()
	if err := writeFrame(countingWriter{stream}, f); err != nil {
		return Frame{}, err
	}
	if err := stream.Close(); err != nil {
		return Frame{}, err
	}
	reply, err := readFrame(countingReader{stream})
	if err != nil && ctx.Err() != nil {
		return Frame{}, ctx.Err()
	}
	return reply, err
}
