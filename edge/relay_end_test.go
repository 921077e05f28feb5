package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/internal/rawserver"
	"github.com/mimosakeel/mimosakeel/peer"
)

// relayingPeer relays connections to any address. It sends raw bytes, as daemons of earlier
// releases do, unless framed is set.
type relayingPeer struct{ framed bool }

func (relayingPeer) HandleMessage(string, peer.Frame) error { return nil }

func (relayingPeer) HandleCall(context.Context, string, peer.Frame) (peer.Message, error) {
	return nil, nil
}

func (p relayingPeer) OpenTunnel(_ context.Context, _ string, f peer.Frame) (peer.Message, func(*peer.Tunnel), bool) {
	request := &RelayRequest{}
	if f.Decode(request) != nil {
		return nil, nil, false
	}
	conn, err := net.Dial("tcp", request.Addr)
	if err != nil {
		return &RelayReply{Error: err.Error()}, nil, true
	}
	framed := p.framed && request.Framed
	return &RelayReply{Opened: true, Reaches: true, Framed: framed}, func(t *peer.Tunnel) { relayBytes(t, conn, framed) }, true
}

// relayedClient returns a client whose connections are relayed by another peer.
func relayedClient(t *testing.T, relay relayingPeer) *backend.Client {
	t.Helper()
	ca, err := peer.NewCA(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	listen := func(vm string, handler peer.Handler) *peer.Node {
		keys, err := ca.Keys(vm, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		node, err := peer.Listen("127.0.0.1:0", keys, handler)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close() })
		return node
	}
	far, near := listen("vm-b", relay), listen("vm-a", relayingPeer{})
	client := backend.NewClient(func(ctx context.Context, _, addr string) (net.Conn, error) {
		var reply RelayReply
		tunnel, err := near.Tunnel(ctx, far.Addr(), &RelayRequest{Addr: addr, Framed: true}, &reply)
		if err != nil {
			return nil, err
		}
		return newRelayedConn(tunnel, "vm-b", reply.Framed), nil
	}, time.Second)
	t.Cleanup(client.CloseIdle)
	return client
}

// post sends a request with a body of some size and reads the answer.
func post(client *backend.Client, addr string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	resp, failed := client.Do(req, backend.CallOptions{Fresh: true})
	if failed != nil {
		return "", failed
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(body), resp.Broken(err)
	}
	return string(body), nil
}

const unframedOK = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

var relayReleases = map[string]relayingPeer{"this release": {framed: true}, "earlier release": {}}

// Guards against an answer that looks complete because the daemon that relays the
// connection passes a reset on as an ordinary end.
func TestRelayedAnswerThatIsCutDuringTheUploadIsNotComplete(t *testing.T) {
	ends := map[string]func(conn rawserver.Conn, r *http.Request){
		"reset": func(conn rawserver.Conn, _ *http.Request) { conn.Reset() },
		"close": func(rawserver.Conn, *http.Request) {},
		"reset after a part": func(conn rawserver.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/4)
			conn.Reset()
		},
		"close after a part": func(_ rawserver.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/4)
		},
		"end before the request has arrived": func(conn rawserver.Conn, _ *http.Request) {
			_ = conn.SetReadBuffer(4 << 10) // The sockets of the relay hold the rest.
			_ = conn.CloseWrite()
			time.Sleep(2 * time.Millisecond)
		},
	}
	for release, relay := range relayReleases {
		for _, size := range []int{256 << 10, 1 << 20, 4 << 20} {
			for name, end := range ends {
				t.Run(fmt.Sprintf("%s %d KB %s", release, size>>10, name), func(t *testing.T) {
					client := relayedClient(t, relay)
					addr := rawserver.Start(t, func(conn rawserver.Conn, r *http.Request) {
						_, _ = io.WriteString(conn, unframedOK+"part")
						end(conn, r)
					})
					for range 6 {
						if got, err := post(client, addr, size); err == nil {
							t.Fatalf("%q is taken for complete", got)
						}
					}
				})
			}
		}
	}
}

// Guards against sound answers that a relay breaks.
func TestRelayedAnswersArrive(t *testing.T) {
	answers := map[string]func(conn rawserver.Conn, r *http.Request){
		"head early, no length": func(conn rawserver.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, unframedOK+"he")
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "llo")
		},
		"late, no length": func(conn rawserver.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, unframedOK+"hello")
		},
		"early, with a length": func(conn rawserver.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"with a length": func(conn rawserver.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
		},
	}
	for release, relay := range relayReleases {
		for name, answer := range answers {
			for _, size := range []int{0, 600, 64 << 10, 1 << 20, 4 << 20} {
				if release == "earlier release" && name[len(name)-9:] == "no length" && size > 0 {
					continue // Nothing tells that the server has got the whole request.
				}
				t.Run(fmt.Sprintf("%s %s %d bytes", release, name, size), func(t *testing.T) {
					client := relayedClient(t, relay)
					addr := rawserver.Start(t, answer)
					for range 6 {
						got, err := post(client, addr, size)
						NewWithT(t).Expect(err).NotTo(HaveOccurred())
						NewWithT(t).Expect(got).To(Equal("hello"))
					}
				})
			}
		}
	}
}

// Guards against frames that are read wrongly because of how their bytes arrive, and against
// an end of the tunnel that is taken for one of the server's bytes.
func TestRelayFramesAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	var wire bytes.Buffer
	text := bytes.Repeat([]byte("0123456789"), 5000)
	g.Expect(copyFrames(&wire, bytes.NewReader(text))).To(Succeed())
	unended := bytes.Clone(wire.Bytes())
	g.Expect(writeRelayEnd(&wire, 77)).To(Succeed())
	for _, reader := range []io.Reader{bytes.NewReader(wire.Bytes()), iotest.OneByteReader(bytes.NewReader(wire.Bytes()))} {
		frames := newRelayFrameReader(reader)
		got, err := io.ReadAll(frames)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(text))
		g.Expect(frames.delivered).To(BeEquivalentTo(77))
	}
	for _, cut := range []int{0, 1, 4, len(unended) - 1, len(unended)} {
		_, err := io.ReadAll(newRelayFrameReader(bytes.NewReader(unended[:cut])))
		g.Expect(err).To(MatchError(peer.ErrTunnelLost), "%d bytes", cut)
	}
	wire.Reset()
	g.Expect(writeRelayEnd(&wire, farWasReset)).To(Succeed())
	_, err := io.ReadAll(newRelayFrameReader(&wire))
	g.Expect(err).To(MatchError(peer.ErrFarReset))
}

// earlierRequest and earlierReply are the messages of releases without frames.
type (
	earlierRequest struct {
		Addr string `cbor:"1,keyasint"`
	}
	earlierReply struct {
		Opened  bool   `cbor:"1,keyasint,omitempty"`
		Refused bool   `cbor:"2,keyasint,omitempty"`
		Reaches bool   `cbor:"3,keyasint,omitempty"`
		Error   string `cbor:"4,keyasint,omitempty"`
	}
)

func (*earlierRequest) MessageKind() peer.Kind { return kindRelayRequest }
func (*earlierReply) MessageKind() peer.Kind   { return kindRelayReply }

// Guards against messages that daemons of different releases can't read.
func TestRelayMessagesAreReadAcrossReleases(t *testing.T) {
	for _, c := range []struct{ sent, want, got peer.Message }{
		{&RelayRequest{Addr: "a", Framed: true}, &earlierRequest{Addr: "a"}, &earlierRequest{}},
		{&earlierRequest{Addr: "a"}, &RelayRequest{Addr: "a"}, &RelayRequest{}},
		{&RelayReply{Opened: true, Reaches: true, Framed: true}, &earlierReply{Opened: true, Reaches: true}, &earlierReply{}},
		{&earlierReply{Opened: true, Reaches: true}, &RelayReply{Opened: true, Reaches: true}, &RelayReply{}},
	} {
		g := NewWithT(t)
		frame, err := peer.Encode(c.sent)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(frame.Decode(c.got)).To(Succeed())
		g.Expect(c.got).To(Equal(c.want))
	}
}
