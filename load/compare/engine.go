package compare

import (
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/standin/engine"
)

// simEngine runs the core of one stand-in engine in virtual time.
type simEngine struct {
	cluster *cluster
	domain  int
	info    pool.RunnerInfo
	core    *engine.Core
	// gone is set when the engine has crashed or was evicted.
	gone bool
	// wakeAt is the time of the next planned call of advance; zero if none.
	wakeAt  time.Time
	started time.Time
	ended   time.Time
	// tasks are the requests in the engine by their keys.
	tasks map[string]*task
	// transfers are the functions to call at the end of KV transfers and role
	// changes, by key.
	transfers map[string]func(blocks []uint64)
	// deliveredTokens counts the prompt and output tokens of delivered work.
	deliveredTokens float64
	// nextCacheEvent is the number of the first cache event not yet reported.
	nextCacheEvent uint64
}

// task is one submission of a call to an engine.
type task struct {
	call *call
	// onToken is called for each token, onDone at the end.
	onToken func(at time.Time, position int)
	onDone  func()
	// onRefused is called if the engine refuses the request, onFailed if it fails
	// or aborts the request.
	onRefused, onFailed func()
}

func (c *cluster) addEngine(domain int, id string, class hosting.ServerClass) *simEngine {
	e := &simEngine{
		cluster:   c,
		domain:    domain,
		started:   c.now,
		info:      pool.RunnerInfo{ID: id, Class: class, State: hosting.ServerLive},
		tasks:     map[string]*task{},
		transfers: map[string]func([]uint64){},
	}
	c.engines = append(c.engines, e)
	c.byID[id] = e
	return e
}

// start creates the core of the engine in a role. Role changes take 1 ms with the
// oracle policy.
func (e *simEngine) start(role backend.Role) {
	cfg := engine.Default(e.info.ID, modelName)
	cfg.Role = role
	if e.cluster.policy.Oracle {
		cfg.RoleChange = time.Millisecond
	}
	e.info.Role, e.info.KVTotal = role, cfg.KVTokens
	e.core = engine.NewCore(cfg, e.cluster.now)
}

// submit submits a request to the engine.
func (e *simEngine) submit(req engine.Request, t *task) {
	if e.gone {
		t.onFailed()
		return
	}
	req.Key = e.cluster.nextKey()
	req.Model = modelName
	if err := e.core.Submit(e.cluster.now, req); err != nil {
		t.onRefused()
		return
	}
	e.tasks[req.Key] = t
	t.call.key = req.Key
	e.advance()
}

func (e *simEngine) cancel(key string) {
	if _, ok := e.tasks[key]; !ok {
		return
	}
	delete(e.tasks, key)
	e.core.Cancel(e.cluster.now, key)
	e.advance()
}

// advance handles the events of the core up to now and schedules the next call.
func (e *simEngine) advance() {
	for _, ev := range e.core.Advance(e.cluster.now) {
		e.deliver(ev)
	}
	next := e.core.Next()
	if e.gone || next.IsZero() || (!e.wakeAt.Before(e.cluster.now) && !next.Before(e.wakeAt) && !e.wakeAt.IsZero()) {
		return
	}
	e.wakeAt = next
	e.cluster.at(next, func() {
		if !e.gone && e.wakeAt.Equal(e.cluster.now) {
			e.wakeAt = time.Time{}
			e.advance()
		}
	})
}

func (e *simEngine) deliver(ev engine.Event) {
	switch ev.Kind {
	case engine.EventTransferred, engine.EventChanged:
		if done := e.transfers[ev.Key]; done != nil {
			delete(e.transfers, ev.Key)
			done(ev.Blocks)
		}
		return
	}
	t := e.tasks[ev.Key]
	if t == nil {
		return
	}
	switch ev.Kind {
	case engine.EventTokens:
		t.onToken(ev.At, ev.Position)
	case engine.EventDone:
		delete(e.tasks, ev.Key)
		t.onDone()
	case engine.EventAborted:
		delete(e.tasks, ev.Key)
		t.onFailed()
	}
}

// stop stops the engine. Its requests fail and its transfers end without blocks.
func (e *simEngine) stop() {
	if e.gone {
		return
	}
	e.gone = true
	e.ended = e.cluster.now
	for _, key := range sortedKeys(e.tasks) {
		t := e.tasks[key]
		e.cluster.after(e.cluster.profile.BetweenDomains, t.onFailed)
	}
	e.tasks = map[string]*task{}
	for _, key := range sortedKeys(e.transfers) {
		done := e.transfers[key]
		e.cluster.after(e.cluster.profile.BetweenDomains, func() { done(nil) })
	}
	e.transfers = map[string]func([]uint64){}
}

// transferKV transfers the KV cache of blocks from one engine to another. It calls
// done at the end, also if one of the engines is gone.
func (c *cluster) transferKV(from, to *simEngine, blocks []uint64, done func()) {
	if from.gone || to.gone {
		done()
		return
	}
	key := c.nextKey()
	from.transfers[key] = func(sent []uint64) {
		if to.gone {
			done()
			return
		}
		to.transfers[key] = func([]uint64) { done() }
		to.core.Import(c.now, key, sent)
		to.advance()
	}
	from.core.Export(c.now, key, blocks)
	from.advance()
}

// setRole changes the role and calls done when the engine takes work again.
func (e *simEngine) setRole(role backend.Role, done func()) {
	key := e.cluster.nextKey()
	e.transfers[key] = func([]uint64) {
		e.info.Role = role
		done()
	}
	if err := e.core.SetRole(e.cluster.now, key, role); err != nil {
		delete(e.transfers, key)
		return
	}
	e.advance()
}

// poll sends the engine's load and its new cache events to the scheduler.
func (e *simEngine) poll(s *scheduler) {
	if e.gone {
		return
	}
	load := e.core.Load(e.cluster.now)
	events := e.core.CacheEvents(e.cluster.now, e.nextCacheEvent)
	report := pool.CacheReported{Runner: e.info.ID, From: e.nextCacheEvent, Events: events}
	e.nextCacheEvent = events.Next
	e.advance()
	e.cluster.after(e.cluster.profile.BetweenDomains, func() {
		s.step(pool.LoadReported{Load: load})
		s.step(report)
	})
}

func (c *cluster) nextKey() string {
	c.lastKey++
	return strconv.Itoa(c.lastKey)
}
