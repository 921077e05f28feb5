package edge

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// limitRefresh is the interval at which a limit that stays the same is passed on
	// again.
	limitRefresh = time.Second
	// limitForget is the time without an answer after which a limit is forgotten.
	limitForget = time.Minute
)

// ServerLimit says how many requests a server takes.
type ServerLimit struct {
	Pool   string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Limit is the number of requests per second from all daemons together.
	Limit float64 `cbor:"3,keyasint"`
	// Limited is false if the server no longer names a limit.
	Limited bool `cbor:"4,keyasint,omitempty"`
}

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
	if l.update(time.Now(), server.ID, limit, limited) {
		l.pass(server, limit, limited)
	}
}

// update reports whether the limit has to be passed on.
func (l *serverLimits) update(now time.Time, server string, limit float64, limited bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.count.Store(int64(len(l.named))) }()
	known, ok := l.named[server]
	if !limited {
		if ok {
			delete(l.named, server)
			l.events.Record(event.KindConfig, "server_limit_lifted", server)
		}
		return ok
	}
	if !ok || known.limit != limit {
		l.events.Record(event.KindFault, "server_limit", server, event.F("per_second", strconv.FormatFloat(limit, 'g', -1, 64)))
	}
	if ok && known.limit == limit && now.Sub(known.passed) < limitRefresh {
		known.heard = now
		l.named[server] = known
		return false
	}
	l.named[server] = namedLimit{limit: limit, heard: now, passed: now}
	for id, n := range l.named {
		if now.Sub(n.heard) > limitForget {
			delete(l.named, id)
		}
	}
	return true
}

// ServerAnswered records what an answer of a server says about the requests that it
// takes.
func (d *Daemon) ServerAnswered(server *registry.Server, limit float64, limited bool) {
	d.limits.ServerAnswered(server, limit, limited)
}
