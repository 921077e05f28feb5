package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"
)

const testValidity = time.Hour

type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

func (*textMessage) MessageKind() Kind { return 7 }

type recordingHandler struct {
	messages chan string
	fail     error
}

func (h *recordingHandler) HandleMessage(vm string, f Frame) error {
	var m textMessage
	if err := f.Decode(&m); err != nil {
		return err
	}
	h.messages <- vm + ":" + m.Text
	return nil
}

func (h *recordingHandler) HandleCall(_ context.Context, vm string, f Frame) (Message, error) {
	if h.fail != nil {
		return nil, h.fail
	}
	var m textMessage
	if err := f.Decode(&m); err != nil {
		return nil, err
	}
	return &textMessage{Text: vm + "/" + m.Text}, nil
}

func newHandler() *recordingHandler {
	return &recordingHandler{messages: make(chan string, 64)}
}

func newNode(t *testing.T, ca *CA, vm string, h Handler) *Node {
	t.Helper()
	keys, err := ca.Keys(vm, testValidity)
	if err != nil {
		t.Fatal(err)
	}
	node, err := Listen("127.0.0.1:0", keys, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	return node
}

func newTestCA(t *testing.T) *CA {
	t.Helper()
	ca, err := NewCA(testValidity)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Guards against reordered one-way messages and against a wrong sender VM being
// passed to the handler.
func TestMessagesArriveInOrderWithTheSendersVM(t *testing.T) {
	ca := newTestCA(t)
	h := newHandler()
	receiver := newNode(t, ca, "vm-b", h)
	sender := newNode(t, ca, "vm-a", newHandler())
	for _, text := range []string{"1", "2", "3"} {
		if err := sender.Send(t.Context(), receiver.Addr(), &textMessage{text}); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"vm-a:1", "vm-a:2", "vm-a:3"} {
		if got := <-h.messages; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// Guards against a call that loses its reply or the text of the error that the
// remote handler returned.
func TestCallReturnsReplyOrRemoteError(t *testing.T) {
	ca := newTestCA(t)
	h := newHandler()
	receiver := newNode(t, ca, "vm-b", h)
	sender := newNode(t, ca, "vm-a", newHandler())
	var reply textMessage
	if err := sender.Call(t.Context(), receiver.Addr(), &textMessage{"x"}, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Text != "vm-a/x" {
		t.Fatalf("reply %q", reply.Text)
	}
	failing := newHandler()
	failing.fail = errors.New("not here")
	other := newNode(t, ca, "vm-c", failing)
	var remote *RemoteError
	err := sender.Call(t.Context(), other.Addr(), &textMessage{"x"}, &reply)
	if !errors.As(err, &remote) || remote.Text != "not here" {
		t.Fatalf("error %v", err)
	}
}

// Guards against a daemon that accepts a peer whose certificate another CA has
// issued.
func TestCertificateOfAnotherCAIsRejected(t *testing.T) {
	h := newHandler()
	receiver := newNode(t, newTestCA(t), "vm-b", h)
	untrusted := newNode(t, newTestCA(t), "vm-x", newHandler())
	var reply textMessage
	if err := untrusted.Call(t.Context(), receiver.Addr(), &textMessage{"x"}, &reply); err == nil {
		t.Fatal("call with a certificate of another CA succeeded")
	}
}

// Guards against a key rotation that closes the open connections.
func TestKeyRotationKeepsConnections(t *testing.T) {
	ca := newTestCA(t)
	h := newHandler()
	receiver := newNode(t, ca, "vm-b", h)
	sender := newNode(t, ca, "vm-a", newHandler())
	if err := sender.Send(t.Context(), receiver.Addr(), &textMessage{"before"}); err != nil {
		t.Fatal(err)
	}
	conn := sender.link(receiver.Addr()).live()
	renewed, err := ca.Keys("vm-b", testValidity)
	if err != nil {
		t.Fatal(err)
	}
	receiver.keys.current.Store(renewed.current.Load())
	if err := sender.Send(t.Context(), receiver.Addr(), &textMessage{"after"}); err != nil {
		t.Fatal(err)
	}
	if sender.link(receiver.Addr()).live() != conn {
		t.Fatal("rotation replaced the connection")
	}
	<-h.messages
	if got := <-h.messages; got != "vm-a:after" {
		t.Fatalf("got %q", got)
	}
}

// Guards against a receiver that crashes on invalid bytes from a peer, accepts
// them, or stops serving other peers afterwards.
func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	ca := newTestCA(t)
	h := newHandler()
	receiver := newNode(t, ca, "vm-b", h)
	bad := newNode(t, ca, "vm-bad", newHandler())
	good := newNode(t, ca, "vm-good", newHandler())
	conn, err := bad.link(receiver.Addr()).connection(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := conn.OpenUniStreamSync(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Write([]byte("\x00\x00\x00\x04junk")); err != nil {
		t.Fatal(err)
	}
	<-conn.Context().Done()
	if err := good.Send(t.Context(), receiver.Addr(), &textMessage{"still"}); err != nil {
		t.Fatal(err)
	}
	if got := <-h.messages; got != "vm-good:still" {
		t.Fatalf("got %q", got)
	}
}

// Guards against a send that reuses a connection whose remote end has been
// closed, instead of dialing the restarted peer.
func TestSendReachesRestartedPeer(t *testing.T) {
	ca := newTestCA(t)
	first := newNode(t, ca, "vm-b", newHandler())
	addr := first.Addr()
	sender := newNode(t, ca, "vm-a", newHandler())
	if err := sender.Send(t.Context(), addr, &textMessage{"1"}); err != nil {
		t.Fatal(err)
	}
	conn := sender.link(addr).live()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	<-conn.Context().Done()
	keys, err := ca.Keys("vm-b", testValidity)
	if err != nil {
		t.Fatal(err)
	}
	h := newHandler()
	second, err := Listen(addr, keys, h)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if err := sender.Send(t.Context(), addr, &textMessage{"2"}); err != nil {
		t.Fatal(err)
	}
	if got := <-h.messages; got != "vm-a:2" {
		t.Fatalf("got %q", got)
	}
}

// FuzzReadFrame guards against panics and unbounded reads on invalid input, and
// against decoded frames that can't be encoded again.
func FuzzReadFrame(f *testing.F) {
	frame, err := Encode(&textMessage{"seed"})
	if err != nil {
		f.Fatal(err)
	}
	var valid bytes.Buffer
	if err := writeFrame(&valid, frame); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := writeFrame(&out, decoded); err != nil {
			t.Fatalf("decoded frame does not encode: %v", err)
		}
	})
}
