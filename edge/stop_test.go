package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/ingress/ingresstest"
)

// Guards against a planned stop that closes a connection on which a request is being read.
func TestStopAnswersTheRequestThatIsBeingRead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		// behindGate holds the read between the gate and the server, before holds it before
		// it takes bytes.
		behindGate, before bool
		// early is the part of the head that is sent before the stop begins.
		early string
	}{
		"head read by the gate":       {behindGate: true, early: head},
		"head read":                   {early: head},
		"head in the socket":          {before: true, early: head},
		"first byte read by the gate": {behindGate: true, early: head[:1]},
		"first byte read":             {early: head[:1]},
		"first byte in the socket":    {before: true, early: head[:1]},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := ingress.New(ingress.Config{})
			defer gate.Close()
			clients := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(drainPollInterval) // The server starts to read ahead.
				fmt.Fprint(w, "served")
			}), gate)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var held *ingresstest.Listener
			if c.behindGate {
				held = ingresstest.Listen(gate.Listen(listener), c.before)
				clients.listener = held
			} else {
				held = ingresstest.Listen(listener, c.before)
				clients.listener = gate.Listen(held)
			}
			go func() { _ = clients.Serve(clients.listener) }() // It returns once the listener is closed.
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			g.Expect(roundTrip(conn, reader, head)).To(Equal("served"))

			_, err = io.WriteString(conn, c.early)
			g.Expect(err).NotTo(HaveOccurred())
			<-held.Reached()
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			go func() { stopped <- clients.stop(ctx) }()
			time.Sleep(10 * drainPollInterval)
			held.Release()
			g.Expect(roundTrip(conn, reader, head[len(c.early):])).To(Equal("served"))
			g.Eventually(stopped, 3*time.Second).Should(Receive(BeNil()))
		})
	}
}

// roundTrip sends the rest of a request and returns the body of its answer.
func roundTrip(w io.Writer, r *bufio.Reader, rest string) (string, error) {
	if _, err := io.WriteString(w, rest); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
