package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// unverifiedLimit is the time for which running requests continue after the
	// permit to serve requests with a key has ended. New requests are refused at
	// once; this time keeps a short interruption from ending streams.
	unverifiedLimit = 3 * time.Second
	// unverifiedInterval is the time between checks.
	unverifiedInterval = 100 * time.Millisecond
)

var unverifiedEnded = metrics.NewCounter("mimosakeel_requests_unverified_total")

// unverifiedTimer measures for how long requests that need a key have not been
// permitted.
type unverifiedTimer struct {
	// since is the time of the first check without permission, or zero while there
	// is permission.
	since time.Time
}

// exceeded reports whether running requests have to be ended.
func (u *unverifiedTimer) exceeded(now time.Time, allowed bool) bool {
	if allowed {
		u.since = time.Time{}
		return false
	}
	if u.since.IsZero() {
		u.since = now
	}
	return now.Sub(u.since) >= unverifiedLimit
}

// watch calls end repeatedly while running requests have to be ended. It runs
// on its own goroutine, because the control goroutine may be blocked.
func (g *freshnessGate) watch(ctx context.Context, end func() int) {
	tick := time.NewTicker(unverifiedInterval)
	defer tick.Stop()
	var u unverifiedTimer
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if u.exceeded(now, g.MayServeKeyed()) {
				unverifiedEnded.Add(end())
			}
		}
	}
}
