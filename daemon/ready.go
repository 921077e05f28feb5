package daemon

import (
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/member"
)

// readiness updates the answer of /readyz. A daemon is ready while it has a
// table, can follow all log streams and may serve requests that need a key.
// Otherwise load balancers should prefer another daemon.
type readiness struct {
	gate     *freshnessGate
	config   *configFold
	orders   *orderController
	usage    *usageController
	set      func(bool)
	stopping atomic.Bool
}

func (r *readiness) ready() bool {
	return !r.stopping.Load() &&
		r.config.ready() &&
		r.orders.stopErr == nil &&
		r.usage.stopErr == nil &&
		r.gate.MayServeKeyed()
}

func (r *readiness) tick(time.Time) { r.set(r.ready()) }

func (*readiness) handle(time.Time, any) bool { return false }

func (*readiness) membership(time.Time, *member.Set, *member.Set) {}
