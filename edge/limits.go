package edge

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// limitRefresh is the interval at which a limit that stays the same is passed on
	// again.
	limitRefresh = 100 * time.Millisecond
	// plainLimitRefresh is limitRefresh for the other daemons that use a plain server.
	plainLimitRefresh = 2 * time.Second
	// limitForget is the time without an answer after which a limit is forgotten.
	limitForget = 10 * time.Second
	// maxPlainTold bounds the daemons that are told the limit of a plain server. The
	// others hear it from the server.
	maxPlainTold = 32
)

// serverLimits remembers the limits that servers name in their answers to this
// daemon. It is safe for concurrent use.
type serverLimits struct {
	events *event.Recorder
	// pass passes on a limit that is new, has changed, was lifted, or was named again
	// after limitRefresh.
	pass func(server *registry.Server, limit float64, limited bool)

	// count is the number of entries of named.
	count atomic.Int64
	mu    sync.Mutex
	named map[string]namedLimit
}

type namedLimit struct {
	server *registry.Server
	limit  float64
	heard  time.Time
	passed time.Time
}

func newServerLimits(events *event.Recorder) *serverLimits {
	return &serverLimits{events: events, named: map[string]namedLimit{}}
}

// ServerAnswered records what an answer of a server says about its limit.
func (l *serverLimits) ServerAnswered(server *registry.Server, limit float64, limited bool) {
	if !limited && l.count.Load() == 0 {
		return
	}
	if l.update(time.Now(), server, limit, limited) {
		l.pass(server, limit, limited)
	}
}

// update reports whether the limit has to be passed on.
func (l *serverLimits) update(now time.Time, server *registry.Server, limit float64, limited bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.count.Store(int64(len(l.named))) }()
	known, ok := l.named[server.ID]
	if !limited {
		if ok {
			delete(l.named, server.ID)
			l.events.Record(event.KindConfig, "server_limit_lifted", server.ID)
		}
		return ok
	}
	same := ok && known.limit == limit
	if !same {
		l.events.Record(event.KindFault, "server_limit", server.ID, event.F("per_second", strconv.FormatFloat(limit, 'g', -1, 64)))
	}
	pass := !same || now.Sub(known.passed) >= limitRefresh
	next := namedLimit{server: server, limit: limit, heard: now, passed: known.passed}
	if pass {
		next.passed = now
	}
	l.named[server.ID] = next
	l.forget(now)
	return pass
}

func (l *serverLimits) forget(now time.Time) {
	for id, n := range l.named {
		if now.Sub(n.heard) > limitForget {
			delete(l.named, id)
		}
	}
}

// recent returns all limits that servers have named lately.
func (l *serverLimits) recent(now time.Time) []namedLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	return slices.Collect(maps.Values(l.named))
}

// limitNamed passes a server's limit on to the daemons that place requests on it.
// The limit holds for all daemons together, so only the scheduler of an engine uses
// it. The other daemons place nothing there by themselves meanwhile.
func (c *control) limitNamed(now time.Time, server *registry.Server, limit float64, limited bool) {
	for _, route := range c.view.Load().pools[server.Service] {
		if route.scheduler != c.vm {
			c.host.Step(now, route.name, pool.RunnerLimited{Runner: server.ID, Limited: limited, Excluded: true})
		}
		c.send(route.scheduler, &ServerLimit{Pool: route.name, Server: server.ID, Limit: limit, Limited: limited})
	}
	if server.Role != "" {
		return
	}
	told, known := c.plainTold[server.ID]
	if known && told.limit == limit && limited && now.Sub(told.passed) < plainLimitRefresh {
		return
	}
	maps.DeleteFunc(c.plainTold, func(_ string, n namedLimit) bool { return now.Sub(n.passed) > limitForget })
	c.plainTold[server.ID] = namedLimit{limit: limit, passed: now}
	if !limited {
		delete(c.plainTold, server.ID)
	}
	for _, vm := range c.live.Ranks("limit/"+server.ID, maxPlainTold) {
		if vm != c.vm {
			c.send(vm, &ServerLimit{Server: server.ID, Limit: limit, Limited: limited})
		}
	}
}

// plainShare returns the part of a plain server's limit that this daemon may use:
// a few daemons share it, so that each part allows a request now and then.
func (c *control) plainShare(server string, limit float64) float64 {
	daemons := c.view.Load().live.Ranks("limit/"+server, max(int(limit), 1))
	if !slices.Contains(daemons, c.vm) {
		return 0
	}
	return limit / float64(len(daemons))
}

// ServerAnswered records what an answer of a server says about the requests that it
// takes.
func (d *Daemon) ServerAnswered(server *registry.Server, limit float64, limited bool) {
	d.limits.ServerAnswered(server, limit, limited)
}
