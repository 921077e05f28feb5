package compare

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
)

// Intervals and timeouts copied from the daemon.
const (
	pollInterval     = 250 * time.Millisecond
	summaryInterval  = 500 * time.Millisecond
	progressInterval = 100 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	fastTickInterval = 2 * time.Millisecond
	listLag          = 500 * time.Millisecond
	schedulerTimeout = 5 * time.Millisecond
	// takeoverDelay is the heartbeat timeout, after which another daemon takes
	// over as scheduler.
	takeoverDelay = 2 * time.Second
	// adoptDelay is the time from the takeover until the entry daemons report
	// their open streams to the new scheduler.
	adoptDelay = time.Second
)

// scheduler runs the state machine of one pool.
type scheduler struct {
	cluster *cluster
	// domain is the failure domain, -1 for all.
	domain int
	config func() pool.Config
	pool   *pool.Pool
	// down is set from the stop of the scheduler to the start of its successor.
	down bool
	// usable is the number of listed runners that take work.
	usable int
	// fastTickPending is set while a tick after fastTickInterval is scheduled.
	fastTickPending bool
	fallbacks       []*pool.Fallback
}

func (c *cluster) addScheduler(domain int, config func() pool.Config) {
	s := &scheduler{cluster: c, domain: domain, config: config, pool: pool.New(config(), 0)}
	for range entryCount {
		s.fallbacks = append(s.fallbacks, pool.NewFallback())
	}
	c.schedulers = append(c.schedulers, s)
	c.every(tickInterval, func() { s.step(pool.Tick{}) })
	c.every(summaryInterval, s.publishSummary)
}

// step applies an event to the pool and sends the resulting actions to the entry
// daemons.
func (s *scheduler) step(ev pool.Event) {
	if s.down {
		return
	}
	c := s.cluster
	for _, action := range s.pool.Step(c.now, ev) {
		c.after(c.profile.BetweenDomains, func() { c.handleAction(s, action) })
	}
	s.scheduleFastTick()
}

// scheduleFastTick ticks at fastTickInterval while requests wait.
func (s *scheduler) scheduleFastTick() {
	if s.fastTickPending || s.pool.Waiting() == 0 {
		return
	}
	s.fastTickPending = true
	s.cluster.after(fastTickInterval, func() {
		s.fastTickPending = false
		s.step(pool.Tick{})
	})
}

// publishSummary sends the pool's summary to the fallbacks of the entry daemons.
func (s *scheduler) publishSummary() {
	if s.down {
		return
	}
	summary := s.pool.Summary(s.cluster.now)
	for _, f := range s.fallbacks {
		f.Update(summary, entryCount)
	}
}

// listRunners sends the scheduler the current runners of its pool.
func (s *scheduler) listRunners() {
	var runners []pool.RunnerInfo
	s.usable = 0
	for _, e := range s.cluster.engines {
		if !e.gone && (s.domain < 0 || s.domain == e.domain) {
			runners = append(runners, e.info)
			if e.info.State == hosting.ServerLive && !e.info.Changing {
				s.usable++
			}
		}
	}
	s.step(pool.RunnersListed{Runners: runners})
}

// restart stops the scheduler. Its successor starts with an empty pool after
// takeoverDelay.
func (s *scheduler) restart() {
	c := s.cluster
	s.down = true
	c.after(takeoverDelay, func() {
		s.down = false
		s.pool = pool.New(s.config(), pool.Ticket(c.now.UnixNano()))
		s.listRunners()
		c.repeatRequests(s)
	})
	c.after(takeoverDelay+adoptDelay, func() { c.reportOpenStreams(s) })
}

// listRunnersLater sends all schedulers their runners after listLag.
func (c *cluster) listRunnersLater() {
	c.after(listLag, func() {
		for _, s := range c.schedulers {
			s.listRunners()
		}
	})
}

// handleAction handles an action of a scheduler at the entry daemon.
func (c *cluster) handleAction(s *scheduler, action pool.Action) {
	switch a := action.(type) {
	case pool.Granted:
		if r := c.calls[a.Request]; r != nil {
			r.handleGrant(s, &a)
			return
		}
		c.after(c.profile.BetweenDomains, func() { s.step(pool.Released{Ticket: a.Ticket}) })
	case pool.Refused:
		if r := c.calls[a.Request]; r != nil && r.state == requesting {
			r.handleRefusal(a.Reason)
		}
	case pool.Vacate:
		if r := c.calls[a.Request]; r != nil && r.state == running && r.ticket == a.Ticket {
			r.vacate()
		}
	}
}

// repeatRequests sends the waiting grant requests of a failed scheduler to its
// successor.
func (c *cluster) repeatRequests(s *scheduler) {
	for _, id := range sortedKeys(c.calls) {
		if r := c.calls[id]; r.state == requesting && r.scheduler == s {
			r.requestGrant()
		}
	}
}

// reportOpenStreams reports the open streams of a failed scheduler to its
// successor.
func (c *cluster) reportOpenStreams(s *scheduler) {
	for _, id := range sortedKeys(c.calls) {
		r := c.calls[id]
		if r.state != running || r.scheduler != s || r.ticket != 0 && r.pool == s.pool {
			continue
		}
		r.ticket = 0
		r.pool = s.pool
		s.step(pool.Adopted{Request: r.grantRequest(), Runner: r.runner, Tokens: r.position - r.basePosition})
	}
}

// reportProgress sends the progress of all open streams to their schedulers.
func (c *cluster) reportProgress() {
	for _, id := range sortedKeys(c.calls) {
		r := c.calls[id]
		if r.state != running || r.ticket == 0 || r.pool != r.scheduler.pool {
			continue
		}
		ev := pool.Progressed{Ticket: r.ticket, Tokens: r.position - r.basePosition, FirstToken: r.firstAfterGrant}
		if n := r.position - r.reported; n > 1 && r.reported > r.basePosition {
			ev.BetweenTokens = r.lastToken.Sub(r.reportedAt) / time.Duration(n)
		}
		r.reported, r.reportedAt = r.position, r.lastToken
		s := r.scheduler
		c.after(c.profile.BetweenDomains, func() { s.step(ev) })
	}
}

// staticRole returns the role of an engine in a layout with the given number of
// prefill engines; 0 means that all are mixed.
func staticRole(index, prefill int) backend.Role {
	switch {
	case prefill == 0:
		return backend.RoleMixed
	case index < prefill:
		return backend.RolePrefill
	default:
		return backend.RoleDecode
	}
}
