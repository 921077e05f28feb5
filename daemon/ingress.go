package daemon

import (
	"math"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/mimosakeel/mimosakeel/ingress"
	"github.com/mimosakeel/mimosakeel/settings"
)

// clientIdleTimeout is the time after which a connection without a request is closed.
// Clients of this daemon have no configured one; load balancers and pools usually close
// idle connections earlier.
const clientIdleTimeout = 10 * time.Minute

// newIngress returns the owner of the memory and the connections of clients. The memory
// is that of the Go runtime's limit (GOMEMLIMIT); without it, only connections, heads
// and times are bounded.
func newIngress(s settings.Clients, events *Recorder) *ingress.Gate {
	memory := debug.SetMemoryLimit(-1)
	if memory == math.MaxInt64 {
		memory = 0
	}
	gate := ingress.New(ingress.Config{Memory: memory, Sealed: s.TLSCert != "", ChargeBodies: true, Report: events.clientsLimited})
	gate.SetLimits(ingress.Limits{
		HeadBytes: http.DefaultMaxHeaderBytes,
		// The server itself closes the connection at the header timeout.
		HeaderTimeout: s.HeaderTimeout + time.Second,
		IdleTimeout:   clientIdleTimeout,
	})
	return gate
}
