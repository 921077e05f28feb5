package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxFrameBytes is the maximum size of an encoded frame. Senders split larger
// transfers.
const MaxFrameBytes = 1 << 20

// frameHeaderBytes is the size of the length prefix.
const frameHeaderBytes = 4

// Errors of the codec.
var (
	ErrFrameTooLarge  = eris.New("frame is larger than 1 MiB")
	ErrMalformedFrame = eris.New("malformed frame")
)

// Kind is the type of a message.
type Kind uint16

// Message is a typed message between daemons.
type Message interface {
	// MessageKind returns the kind under which the receiver decodes it.
	MessageKind() Kind
}

// Frame is an encoded message with its kind.
type Frame struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// RemoteError is the error that the peer returned for a call.
type RemoteError struct {
	Text string `cbor:"1,keyasint"`
}

func (e *RemoteError) Error() string { return "peer: " + e.Text }

// MessageKind implements Message.
func (*RemoteError) MessageKind() Kind { return kindRemoteError }

// kindRemoteError is reserved for the transport.
const kindRemoteError Kind = 0

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{MaxNestedLevels: 16, DupMapKey: cbor.DupMapKeyEnforcedAPF}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame of a message.
func Encode(m Message) (Frame, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return Frame{}, eris.Wrapf(err, "encode message kind %d", m.MessageKind())
	}
	return Frame{Kind: m.MessageKind(), Body: body}, nil
}

// Decode decodes the frame's body into target. It fails with ErrMalformedFrame
// if the body is invalid or target is of another kind.
func (f Frame) Decode(target Message) error {
	if f.Kind != target.MessageKind() {
		return eris.Wrapf(ErrMalformedFrame, "kind %d, want %d", f.Kind, target.MessageKind())
	}
	if err := decMode.Unmarshal(f.Body, target); err != nil {
		return eris.Wrapf(ErrMalformedFrame, "kind %d: %v", f.Kind, err)
	}
	return nil
}

// writeFrame writes the length prefix and the frame in one call, so that a
// small frame is not split over two packets.
func writeFrame(w io.Writer, f Frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	if len(data) > MaxFrameBytes {
		return eris.Wrapf(ErrFrameTooLarge, "%d bytes", len(data))
	}
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	buf = append(buf, data...)
	_, err = w.Write(buf)
	return err
}

// readFrame reads one frame. It returns io.EOF if the stream ends before a
// frame, and ErrMalformedFrame or ErrFrameTooLarge for invalid data.
func readFrame(r io.Reader) (Frame, error) {
	var f Frame
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			return f, eris.Wrap(ErrMalformedFrame, "truncated length")
		}
		return f, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return f, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return f, err
	}
	if uint32(len(data)) != size {
		return f, eris.Wrapf(ErrMalformedFrame, "got %d of %d bytes", len(data), size)
	}
	if err := decMode.Unmarshal(data, &f); err != nil {
		return f, eris.Wrap(ErrMalformedFrame, fmt.Sprint(err))
	}
	return f, nil
}
