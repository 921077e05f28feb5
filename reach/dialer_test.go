package reach

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
)

var refused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// world is a dialer whose paths the test controls.
type world struct {
	*Dialer
	// direct and relay are the errors of the own path and of each relay, and others those
	// of the own paths to other servers. errSilent never answers.
	direct error
	others map[string]error
	relay  map[string]error
	opens  atomic.Int32

	mu     sync.Mutex
	broken []bool
}

var errSilent = errors.New("silent")

type namedConn struct {
	net.Conn
	way string
}

func newWorld(t *testing.T, relays ...string) *world {
	events := event.NewRecorder(hlc.New(time.Now), "vm-0", nil, zerolog.Nop())
	t.Cleanup(events.Close)
	w := &world{relay: map[string]error{}, others: map[string]error{}}
	answer := func(ctx context.Context, err error, way string) (net.Conn, error) {
		if errors.Is(err, errSilent) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, err
		}
		w.opens.Add(1)
		near, _ := net.Pipe()
		return &namedConn{near, way}, nil
	}
	w.Dialer = &Dialer{
		Table: NewTable(),
		Direct: func(ctx context.Context, _, addr string) (net.Conn, error) {
			if addr == "server" {
				return answer(ctx, w.direct, "direct")
			}
			return answer(ctx, w.others[addr], addr)
		},
		Relays: func(string) (out []Relay) {
			for _, vm := range relays {
				out = append(out, Relay{VM: vm})
			}
			return out
		},
		Alone: func() bool { return len(relays) == 0 },
		Open: func(ctx context.Context, r Relay, _ string) (net.Conn, error) {
			return answer(ctx, w.relay[r.VM], r.VM)
		},
		OnBroken: func(_ string, silent bool, _ time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.broken = append(w.broken, silent)
		},
		OnHealed: func(string) {},
		Events:   events,
	}
	return w
}

func (w *world) dial(t *testing.T) (way string, took time.Duration, err error) {
	t.Helper()
	begin := time.Now()
	conn, err := w.Dial(t.Context(), "tcp", "server")
	if err != nil {
		return "", time.Since(begin), err
	}
	return conn.(*namedConn).way, time.Since(begin), nil
}

func isPathError(err error) bool {
	var path *backend.PathError
	return errors.As(err, &path)
}

// Guards against relays that are asked while the own path works.
func TestWorkingPathIsUsed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1")
	way, _, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("direct"))
	time.Sleep(2 * relayAfter)
	g.Expect(w.opens.Load()).To(BeEquivalentTo(1))
}

// Guards against requests that wait for a path that is broken, and against servers that
// are blamed for it.
func TestBrokenPathIsBypassed(t *testing.T) {
	for name, direct := range map[string]error{"refused": refused, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t, "vm-1", "vm-2")
			w.direct = direct
			w.relay["vm-1"] = &RelayError{Text: "cut too"}
			way, took, err := w.dial(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(way).To(Equal("vm-2"))
			g.Expect(took).To(BeNumerically("<", relayAfter+nextAfter))
			g.Eventually(func() []bool { w.mu.Lock(); defer w.mu.Unlock(); return w.broken }).Should(Equal([]bool{direct == errSilent}))
			w.relay["vm-1"] = nil
			_, took, err = w.dial(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(took).To(BeNumerically("<", relayAfter/2), "the second one does not wait for the own path")
		})
	}
}

// Guards against servers that are taken from all daemons by one that does not reach them.
func TestServerIsDownOnlyIfAWitnessSaysSo(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1")
	w.direct, w.relay["vm-1"] = refused, &RelayError{Refused: true, Reaches: false, Text: "refused"}
	_, _, err := w.dial(t)
	g.Expect(isPathError(err)).To(BeTrue(), "the relay reaches no server itself")
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeFalse())

	w.relay["vm-1"] = &RelayError{Refused: true, Reaches: true, Text: "refused"}
	_, _, err = w.dial(t)
	g.Expect(isPathError(err)).To(BeFalse())
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())

	w.relay["vm-1"] = errors.New("can't be reached")
	for _, server := range []string{"a", "b"} {
		w.Table.Failed(time.Now(), server)
		w.others[server] = refused
	}
	_, _, err = w.dial(t)
	g.Expect(isPathError(err)).To(BeTrue(), "nobody answers, and this daemon reaches no server")
	w.others["a"] = nil
	_, _, err = w.dial(t)
	g.Expect(isPathError(err)).To(BeFalse(), "nobody answers, but this daemon reaches another server")

	alone := newWorld(t)
	alone.direct = refused
	_, _, err = alone.dial(t)
	g.Expect(isPathError(err)).To(BeFalse(), "there is nobody to ask")
}

// Guards against relays that stand still and hold a request up.
func TestSilentRelayIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1", "vm-2")
	w.direct, w.relay["vm-1"] = refused, errSilent
	way, took, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("vm-2"))
	g.Expect(took).To(BeNumerically("<", relayAfter+2*nextAfter))
}

// Guards against connections that outlive the attempt that opened them.
func TestWayThatComesLateIsClosed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1")
	closed := make(chan struct{})
	w.Direct = func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(2 * relayAfter)
		near, far := net.Pipe()
		go func() { _, _ = far.Read(make([]byte, 1)); close(closed) }()
		return near, nil
	}
	way, _, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("vm-1"))
	g.Eventually(closed).Should(BeClosed())
}

// Guards against relays that take over because all servers are far away.
func TestDistantServerIsReachedOverTheOwnPath(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1")
	const distance = 3 * relayAfter
	w.Table.Opened(time.Now(), "server", distance)
	direct := w.Direct
	w.Direct = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(distance)
		return direct(ctx, network, addr)
	}
	way, _, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("direct"))
}

// Guards against a relay that has just been cut and takes a server from all daemons.
func TestCutDaemonAsksASecondRelay(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1", "vm-2")
	for _, server := range []string{"a", "b"} {
		w.Table.Failed(time.Now(), server)
		w.others[server] = refused
	}
	w.direct, w.relay["vm-1"] = refused, &RelayError{Refused: true, Reaches: true, Text: "refused"}
	way, _, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("vm-2"))
}

// Guards against daemons that are cut from some servers only and take these from all
// daemons.
func TestServerIsUpIfOneOfThreeRelaysReachesIt(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1", "vm-2", "vm-3")
	w.Table.Opened(time.Now(), "other", 0)
	w.direct = refused
	w.relay["vm-1"] = &RelayError{Refused: true, Reaches: true, Text: "refused"}
	w.relay["vm-2"] = w.relay["vm-1"]
	way, _, err := w.dial(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way).To(Equal("vm-3"))
}

// Guards against requests that wait for a relay that stands still, although two daemons say
// that the server is down.
func TestSilentRelayDoesNotDelayTheVerdict(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, "vm-1", "vm-2", "vm-3")
	w.Table.Opened(time.Now(), "other", 0)
	w.direct, w.relay["vm-3"] = refused, errSilent
	w.relay["vm-1"] = &RelayError{Refused: true, Reaches: true, Text: "refused"}
	w.relay["vm-2"] = w.relay["vm-1"]
	_, took, err := w.dial(t)
	g.Expect(isPathError(err)).To(BeFalse())
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
	g.Expect(took).To(BeNumerically("<", relayAfter+2*nextAfter))
}
