package edge

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/peer"
)

// The bytes of a server come through a tunnel in frames: four bytes of length, then the
// bytes. A frame of length 0 ends them and is followed by the number of bytes that the
// server has got, in eight bytes. The daemon that asked for the connection can't know that
// number: what it has written may still be on the way when the server ends the connection.
const (
	relayLengthBytes = 4
	relayCountBytes  = 8
)

// farWasReset takes the place of the number if the server has reset the connection. Unlike a
// reset of the tunnel it comes after all bytes of the server.
const farWasReset = math.MaxUint64

// copyFrames passes the server's bytes on in frames until they end.
func copyFrames(to io.Writer, server io.Reader) error {
	pooled := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := server.Read(buffer[relayLengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := to.Write(buffer[:relayLengthBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeRelayEnd writes the last frame.
func writeRelayEnd(to io.Writer, delivered uint64) error {
	var end [relayLengthBytes + relayCountBytes]byte
	binary.BigEndian.PutUint64(end[relayLengthBytes:], delivered)
	_, err := to.Write(end[:])
	return err
}

// relayFrameReader reads the bytes of a server from frames. It returns io.EOF after the last
// frame only.
type relayFrameReader struct {
	reader *bufio.Reader
	// left is the number of bytes until the end of the current frame.
	left  uint32
	ended bool
	// delivered is the number of bytes that the server has got, once the frames have ended.
	delivered uint64
}

func newRelayFrameReader(from io.Reader) *relayFrameReader {
	return &relayFrameReader{reader: bufio.NewReader(from)}
}

// Read implements io.Reader. It may be called again after an exceeded deadline.
func (r *relayFrameReader) Read(p []byte) (int, error) {
	if r.left == 0 && !r.ended {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(len(p), int(r.left))])
	r.left -= uint32(n)
	return n, missingEnd(err)
}

// next reads the length of a frame. Nothing is consumed before all of it has arrived.
func (r *relayFrameReader) next() error {
	header, err := r.reader.Peek(relayLengthBytes)
	if err != nil {
		return missingEnd(err)
	}
	if r.left = binary.BigEndian.Uint32(header); r.left > 0 {
		_, err = r.reader.Discard(relayLengthBytes)
		return err
	}
	end, err := r.reader.Peek(relayLengthBytes + relayCountBytes)
	if err != nil {
		return missingEnd(err)
	}
	r.delivered = binary.BigEndian.Uint64(end[relayLengthBytes:])
	if r.delivered == farWasReset {
		return peer.ErrFarReset
	}
	r.ended = true
	return nil
}

// missingEnd replaces the end of a tunnel that came before the last frame.
func missingEnd(err error) error {
	if err == io.EOF {
		return eris.Wrap(peer.ErrTunnelLost, "the frames have no end")
	}
	return err
}
