package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// keepAlivePeriod and idleTimeout bound the time until a dead connection is
	// detected, such as one whose state a NAT or firewall on the path has lost.
	keepAlivePeriod = time.Second
	idleTimeout     = 3 * time.Second
	// handshakeTimeout bounds a dial.
	handshakeTimeout = 2 * time.Second
	// maxPeerStreams is the maximum number of open streams per connection from a
	// peer, for bidirectional and unidirectional streams each. It bounds the calls
	// in flight.
	maxPeerStreams = 4096
	// callReadTimeout is the time in which a caller must send its whole request.
	callReadTimeout = 5 * time.Second
)

// Error codes of QUIC connections and streams.
const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeMalformed quic.ApplicationErrorCode = 1
	codeCancelled quic.StreamErrorCode      = 2
)

var (
	connectionsOpened = metrics.NewCounter("mimosakeel_peer_connections_opened_total")
	framesMalformed   = metrics.NewCounter("mimosakeel_peer_frames_malformed_total")
	bytesSent         = metrics.NewCounter("mimosakeel_peer_bytes_sent_total")
	bytesReceived     = metrics.NewCounter("mimosakeel_peer_bytes_received_total")
)

// Handler handles incoming messages and calls. Its methods run on the goroutines
// that read from connections and must be safe for concurrent use.
type Handler interface {
	// HandleMessage handles a one-way message. vm is the VM that the certificate
	// of the sender names. An error closes the connection.
	HandleMessage(vm string, f Frame) error
	// HandleCall returns the reply to a call. The text of an error is sent to the
	// caller as a RemoteError.
	HandleCall(ctx context.Context, vm string, f Frame) (Message, error)
}

// Node is the endpoint of one daemon in the peer network: it accepts incoming
// connections and keeps one outgoing connection per address.
type Node struct {
	keys      *Keys
	handler   Handler
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
	// tunnels holds the connections that carry tunnels.
	tunnels map[string]*link
}

// Listen opens the UDP address and serves incoming connections until Close.
func Listen(addr string, keys *Keys, handler Handler) (*Node, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %s", addr)
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on peer address %s", addr)
	}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.Listen(keys.serverConfig(), quicConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		keys:      keys,
		handler:   handler,
		transport: transport,
		listener:  listener,
		ctx:       ctx,
		stop:      stop,
		links:     map[string]*link{},
		tunnels:   map[string]*link{},
	}
	n.wg.Go(n.accept)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxPeerStreams,
		MaxIncomingUniStreams: maxPeerStreams,

		MaxStreamReceiveWindow:     tunnelStreamWindow,
		MaxConnectionReceiveWindow: tunnelConnWindow,
	}
}

// Addr returns the local UDP address.
func (n *Node) Addr() string { return n.transport.Conn.LocalAddr().String() }

// Close closes all connections and waits for the handlers to return.
func (n *Node) Close() error {
	n.stop()
	_ = n.listener.Close()
	err := n.transport.Close()
	_ = n.transport.Conn.Close()
	n.wg.Wait()
	return err
}

// accept serves each incoming connection on a goroutine until Close.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serve(conn) })
	}
}

// serve reads messages and calls from one incoming connection.
func (n *Node) serve(conn *quic.Conn) {
	vm := commonName(conn.ConnectionState().TLS)
	if vm == "" {
		_ = conn.CloseWithError(codeMalformed, "certificate names no VM")
		return
	}
	var streams sync.WaitGroup
	defer streams.Wait()
	streams.Go(func() { n.serveMessages(conn, vm) })
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		streams.Go(func() { n.serveCall(conn, stream, vm) })
	}
}

// serveMessages reads the streams of one-way messages one after the other, which
// keeps the order of the messages. Invalid data closes the connection.
func (n *Node) serveMessages(conn *quic.Conn, vm string) {
	for {
		stream, err := conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		if err := n.readMessages(stream, vm); err != nil {
			framesMalformed.Inc()
			_ = conn.CloseWithError(codeMalformed, err.Error())
			return
		}
	}
}

// readMessages handles the messages of one stream. It returns nil when the
// stream or the connection ends, and an error for invalid data or from the
// handler.
func (n *Node) readMessages(stream *quic.ReceiveStream, vm string) error {
	reader := countingReader{stream}
	for {
		f, err := readFrame(reader)
		switch {
		case eris.Is(err, ErrMalformedFrame), eris.Is(err, ErrFrameTooLarge):
			return err
		case err != nil:
			return nil
		}
		if err := n.handler.HandleMessage(vm, f); err != nil {
			return err
		}
	}
}

// serveCall reads the request of one call and writes the reply. Invalid data
// closes the connection.
func (n *Node) serveCall(conn *quic.Conn, stream *quic.Stream, vm string) {
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(callReadTimeout))
	request, err := readFrame(countingReader{stream})
	if err != nil {
		if eris.Is(err, ErrMalformedFrame) || eris.Is(err, ErrFrameTooLarge) {
			framesMalformed.Inc()
			_ = conn.CloseWithError(codeMalformed, err.Error())
		}
		return
	}
	if n.serveTunnel(conn, stream, vm, request) {
		return
	}
	reply, err := n.handler.HandleCall(stream.Context(), vm, request)
	if err != nil {
		reply = &RemoteError{Text: err.Error()}
	}
	frame, err := Encode(reply)
	if err != nil {
		frame, _ = Encode(&RemoteError{Text: err.Error()})
	}
	_ = writeFrame(countingWriter{stream}, frame)
}

// Send sends a one-way message, in order with earlier ones to the same address.
// It dials if there is no connection. Delivery is not confirmed.
func (n *Node) Send(ctx context.Context, addr string, m Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	l := n.link(addr)
	if err := l.send(ctx, frame); err != nil {
		l.reset()
		return eris.Wrapf(err, "send to peer %s", addr)
	}
	return nil
}

// Call sends a request on a separate stream and decodes the reply into reply.
// The context bounds the whole call. It fails with *RemoteError if the peer's
// handler returned an error.
func (n *Node) Call(ctx context.Context, addr string, request, reply Message) error {
	frame, err := Encode(request)
	if err != nil {
		return err
	}
	l := n.link(addr)
	answer, err := l.call(ctx, frame)
	if err != nil {
		return eris.Wrapf(err, "call peer %s", addr)
	}
	if answer.Kind != kindRemoteError {
		return answer.Decode(reply)
	}
	remote := &RemoteError{}
	if err := answer.Decode(remote); err != nil {
		return err
	}
	return remote
}

// Forget closes the connections to an address whose VM is gone.
func (n *Node) Forget(addr string) {
	n.mu.Lock()
	closing := []*link{n.links[addr], n.tunnels[addr]}
	delete(n.links, addr)
	delete(n.tunnels, addr)
	n.mu.Unlock()
	for _, l := range closing {
		if l != nil {
			l.reset()
		}
	}
}

// link returns the outgoing connection to an address and creates it if needed;
// it does not dial.
func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[addr]
	if !ok {
		l = &link{node: n, addr: addr, config: quicConfig()}
		n.links[addr] = l
	}
	return l
}

func (n *Node) dial(ctx context.Context, addr string, config *quic.Config) (*quic.Conn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "resolve")
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := n.transport.Dial(ctx, udpAddr, n.keys.clientConfig(), config)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	connectionsOpened.Inc()
	return conn, nil
}

// commonName returns the VM that the peer certificate names, empty if there is
// no certificate.
func commonName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

type countingReader struct{ r io.Reader }

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	bytesReceived.Add(n)
	return n, err
}

type countingWriter struct{ w io.Writer }

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	bytesSent.Add(n)
	return n, err
}
