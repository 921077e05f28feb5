package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against servers that have ended and are taken for servers behind a broken path,
// because several end at a time: their crashes are not reported, and they get further
// requests.
func TestServersThatEndTogetherAreDown(t *testing.T) {
	for name, ended := range map[string]int{"two": 2, "a third": 3, "all but one": 8} {
		for relays, witness := range map[string]error{
			"no relay answers":               errors.New("can't be reached"),
			"the relay is of an old release": &RelayError{Refused: true, Text: "refused"},
			"the relay says so too":          &RelayError{Refused: true, Reaches: true, Text: "refused"},
		} {
			t.Run(name+", "+relays, func(t *testing.T) {
				g := NewWithT(t)
				w := newWorld(t, "vm-1")
				w.direct, w.relay["vm-1"] = refused, witness
				for i := range 8 {
					w.Table.Opened(time.Now(), fmt.Sprint("s", i), 0)
				}
				for i := range ended - 1 {
					server := fmt.Sprint("s", i)
					w.others[server] = refused
					w.Table.Failed(time.Now(), server)
				}
				for range 3 {
					_, took, err := w.dial(t)
					g.Expect(isPathError(err)).To(BeFalse())
					g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
					g.Expect(took).To(BeNumerically("<", proofTimeout))
				}
				g.Expect(w.Table.Reaches()).To(BeTrue(), "as told to the other daemons")
			})
		}
	}
}

// Guards against a daemon that is cut and blames servers, although it was told of, or has
// used, other servers shortly before.
func TestDaemonThatIsCutBlamesNoServer(t *testing.T) {
	for name, direct := range map[string]error{"refused": refused, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t, "vm-1")
			w.direct, w.relay["vm-1"] = refused, errors.New("can't be reached")
			w.Servers = func(int) []string { return []string{"server", "s0", "s1", "s2", "s3"} }
			for i := range 4 {
				w.others[fmt.Sprint("s", i)] = direct
			}
			w.Table.Opened(time.Now(), "s0", 0)
			w.Table.Heard(time.Now())
			_, _, err := w.dial(t)
			g.Expect(isPathError(err)).To(BeTrue())
			g.Expect(w.Reaches(t.Context(), "server", time.Now())).To(BeFalse())
		})
	}
}

// Guards against a storm of connections when many requests fail at the same server.
func TestFailuresShareAProof(t *testing.T) {
	for name, others := range map[string]error{"reaches others": nil, "cut": refused} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t)
			w.direct = refused
			var mu sync.Mutex
			tried := 0
			direct := w.Direct
			w.Direct = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr != "server" {
					mu.Lock()
					tried++
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
				return direct(ctx, network, addr)
			}
			w.Servers = func(int) []string { return []string{"a", "b", "c"} }
			for _, server := range w.Servers(3) {
				w.others[server] = others
			}
			var all sync.WaitGroup
			for range 50 {
				all.Go(func() { _, _ = w.Dial(t.Context(), "tcp", "server") })
			}
			all.Wait()
			mu.Lock()
			defer mu.Unlock()
			g.Expect(tried).To(BeNumerically("<=", 2*proofServers))
		})
	}
}
