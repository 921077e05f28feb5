package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// tunnelingHandler serves tunnels that carry the bytes of one end of a pipe.
type tunnelingHandler struct {
	*recordingHandler
	serve func(*Tunnel)
}

func (h *tunnelingHandler) OpenTunnel(_ context.Context, vm string, f Frame) (Message, func(*Tunnel), bool) {
	var m textMessage
	if f.Decode(&m) != nil || m.Text != "open" {
		return nil, nil, false
	}
	return &textMessage{Text: "opened for " + vm}, h.serve, true
}

func openTunnel(t *testing.T, serve func(*Tunnel)) (tunnel *Tunnel, far *Node) {
	t.Helper()
	ca := newTestCA(t)
	far = newNode(t, ca, "vm-b", &tunnelingHandler{newHandler(), serve})
	near := newNode(t, ca, "vm-a", newHandler())
	var reply textMessage
	tunnel, err := near.Tunnel(t.Context(), far.Addr(), &textMessage{"open"}, &reply)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Text != "opened for vm-a" {
		t.Fatalf("reply %q", reply.Text)
	}
	return tunnel, far
}

// Guards against tunnels that lose bytes or the end of the bytes.
func TestTunnelCarriesBytesAndTheirEnd(t *testing.T) {
	tunnel, _ := openTunnel(t, func(far *Tunnel) {
		_, _ = io.CopyN(far, far, 5)
		_ = far.CloseWrite()
		_, _ = io.Copy(io.Discard, far)
	})
	if _, err := tunnel.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(tunnel)
	if err != nil || string(got) != "hello" {
		t.Fatalf("got %q, %v", got, err)
	}
	_ = tunnel.Close()
}

// Guards against answers that look complete, or blame the far end, because a tunnel broke.
func TestTunnelErrorsTellTheFarEndFromTheWay(t *testing.T) {
	tunnel, _ := openTunnel(t, func(far *Tunnel) {
		_, _ = far.Read(make([]byte, 1)) // A reset may overtake the reply.
		far.ResetFar()
	})
	_, _ = tunnel.Write([]byte("x"))
	if _, err := tunnel.Read(make([]byte, 1)); !errors.Is(err, ErrFarReset) {
		t.Fatalf("far end reset: %v", err)
	}
	closed := make(chan struct{})
	tunnel, _ = openTunnel(t, func(far *Tunnel) { <-closed })
	close(closed)
	if _, err := tunnel.Read(make([]byte, 1)); !errors.Is(err, ErrTunnelLost) {
		t.Fatalf("tunnel closed by the peer: %v", err)
	}
	reading := make(chan struct{})
	tunnel, far := openTunnel(t, func(far *Tunnel) { close(reading); _, _ = io.Copy(io.Discard, far) })
	<-reading
	go func() { _ = far.Close() }()
	if _, err := tunnel.Read(make([]byte, 1)); !errors.Is(err, ErrTunnelLost) {
		t.Fatalf("peer ended: %v", err)
	}
}

// Guards against tunnels that outlive their client, and against deadlines that net/http
// does not recognize.
func TestTunnelHasDeadlinesAndReportsItsClose(t *testing.T) {
	ended := make(chan error, 1)
	tunnel, _ := openTunnel(t, func(far *Tunnel) {
		_, err := io.Copy(io.Discard, far)
		ended <- err
	})
	_ = tunnel.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := tunnel.Read(make([]byte, 1))
	var timeout net.Error
	if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("deadline: %v", err)
	}
	_ = tunnel.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrTunnelLost) {
			t.Fatalf("the far end got %v", err)
		}
	case <-time.After(time.Second):
		t.Fatal("the far end did not notice the close")
	}
}

// Guards against daemons of an earlier release that are taken for relays.
func TestTunnelThroughAPeerWithoutThemFails(t *testing.T) {
	ca := newTestCA(t)
	old := newHandler()
	old.fail = errors.New("calls are not served")
	receiver := newNode(t, ca, "vm-b", old)
	sender := newNode(t, ca, "vm-a", newHandler())
	var remote *RemoteError
	if _, err := sender.Tunnel(t.Context(), receiver.Addr(), &textMessage{"open"}, &textMessage{}); !errors.As(err, &remote) {
		t.Fatalf("error %v", err)
	}
}

// refusingHandler answers requests for tunnels without serving any.
type refusingHandler struct{ *recordingHandler }

func (refusingHandler) OpenTunnel(context.Context, string, Frame) (Message, func(*Tunnel), bool) {
	return &textMessage{Text: "refused"}, nil, true
}

// Guards against refusals that get lost, so that the daemon that refused seems to be
// unreachable.
func TestRefusalOfATunnelArrives(t *testing.T) {
	ca := newTestCA(t)
	far := newNode(t, ca, "vm-b", refusingHandler{newHandler()})
	near := newNode(t, ca, "vm-a", newHandler())
	for range 100 {
		var reply textMessage
		tunnel, err := near.Tunnel(t.Context(), far.Addr(), &textMessage{"open"}, &reply)
		if err != nil || reply.Text != "refused" {
			t.Fatalf("reply %q, error %v", reply.Text, err)
		}
		_ = tunnel.Close()
	}
}
