package schedule

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
)

// PoolSpec describes one pool and its runners.
type PoolSpec struct {
	Key pool.Key
	// Shards is the number of pools that the model's runners are split into.
	Shards  int
	Runners []pool.RunnerInfo
	// Config overrides the host's pool configuration; nil means no override.
	Config *pool.Config
	// Unchanged is set if the runners are the same as in the last Update.
	Unchanged bool
}

// Host runs the pools that this daemon schedules. It isn't safe for concurrent
// use.
type Host struct {
	cfg    pool.Config
	pools  map[string]*pool.Pool
	meters map[string]*demandMeter
	loads  map[string]*loadMeter
	// reply sends a message to an entry daemon without blocking.
	reply func(vm string, m peer.Message)
}

// NewHost returns a host without pools. reply sends a message to an entry daemon
// and must not block.
func NewHost(cfg pool.Config, reply func(string, peer.Message)) *Host {
	return &Host{cfg: cfg, pools: map[string]*pool.Pool{}, meters: map[string]*demandMeter{}, loads: map[string]*loadMeter{}, reply: reply}
}

// Update creates, updates and removes hosted pools so that they match those specs
// for which scheduled returns true. A removed pool loses its state.
func (h *Host) Update(now time.Time, specs []PoolSpec, scheduled func(pool.Key) bool) {
	keep := map[string]bool{}
	for _, spec := range specs {
		if !scheduled(spec.Key) {
			continue
		}
		name := spec.Key.String()
		keep[name] = true
		known := h.pools[name] != nil
		if !known {
			cfg := h.cfg
			if spec.Config != nil {
				cfg = *spec.Config
			}
			h.pools[name] = pool.New(cfg, pool.Ticket(now.UnixNano()))
			h.meters[name] = &demandMeter{model: spec.Key.Model, since: now}
			h.loads[name] = &loadMeter{since: now}
		}
		if !known || !spec.Unchanged {
			h.Step(now, name, pool.RunnersListed{Runners: spec.Runners})
		}
	}
	for name := range h.pools {
		if !keep[name] {
			delete(h.pools, name)
			delete(h.meters, name)
			delete(h.loads, name)
		}
	}
}

// Step applies an event to a pool and sends the resulting messages. It returns
// false if the pool is not hosted here.
func (h *Host) Step(now time.Time, name string, ev pool.Event) bool {
	p, ok := h.pools[name]
	if !ok {
		return false
	}
	for _, action := range p.Step(now, ev) {
		h.sendAction(name, action)
	}
	return true
}

// sendAction sends the message of an action to its entry daemon.
func (h *Host) sendAction(name string, action pool.Action) {
	switch a := action.(type) {
	case pool.Granted:
		h.reply(a.Entry, &GrantReply{Pool: name, Request: a.Request, Kind: ReplyGranted, Granted: a})
	case pool.Refused:
		if a.Reason != pool.ReasonImpossible {
			h.loads[name].refused++
		}
		h.reply(a.Entry, &GrantReply{Pool: name, Request: a.Request, Kind: ReplyRefused, Refused: a})
	case pool.Vacate:
		h.reply(a.Entry, &Vacate{Pool: name, Request: a.Request, Ticket: a.Ticket, Runner: a.Runner})
	}
}

// Request handles a grant request. If the request has to wait for its answer, the
// entry daemon is sent ReplyQueued; if the pool is not hosted here, ReplyMoved.
func (h *Host) Request(now time.Time, m *GrantRequest) {
	p, ok := h.pools[m.Pool]
	if !ok {
		h.reply(m.Request.Entry, &GrantReply{Pool: m.Pool, Request: m.Request.ID, Kind: ReplyMoved})
		return
	}
	if m.Budget > 0 {
		m.Request.Deadline = now.Add(m.Budget)
	}
	if m.Objective > 0 {
		m.Request.Objective = now.Add(m.Objective)
	}
	meter := h.meters[m.Pool]
	meter.arrived(&m.Request)
	h.loads[m.Pool].arrived(&m.Request)
	answered := false
	for _, action := range p.Step(now, pool.GrantRequested{Request: m.Request}) {
		answered = answered || isAnswerTo(action, &m.Request)
		if _, ok := action.(pool.Refused); ok {
			meter.refused(&m.Request)
		}
		h.sendAction(m.Pool, action)
	}
	if !answered {
		h.reply(m.Request.Entry, &GrantReply{Pool: m.Pool, Request: m.Request.ID, Kind: ReplyQueued})
	}
}

// isAnswerTo reports whether an action answers a request.
func isAnswerTo(action pool.Action, r *pool.Request) bool {
	switch a := action.(type) {
	case pool.Granted:
		return a.Entry == r.Entry && a.Request == r.ID
	case pool.Refused:
		return a.Entry == r.Entry && a.Request == r.ID
	}
	return false
}

// Progress applies the progress of streams.
func (h *Host) Progress(now time.Time, m *Progress) {
	for _, t := range m.Tickets {
		if t.Prefilled > 0 {
			h.Step(now, m.Pool, pool.Prefilled{Ticket: t.Ticket, Took: t.Prefilled})
		}
		if t.Tokens == 0 && t.FirstToken == 0 && t.Prefilled > 0 {
			continue
		}
		h.Step(now, m.Pool, pool.Progressed{
			Ticket:        t.Ticket,
			Tokens:        t.Tokens,
			FirstToken:    t.FirstToken,
			BetweenTokens: t.BetweenTokens,
		})
	}
}

// Release closes a ticket and marks its runner as down if the attempt failed
// because of it.
func (h *Host) Release(now time.Time, m *Release) {
	if m.Down != "" {
		h.Step(now, m.Pool, pool.RunnerDown{Runner: m.Down})
	}
	if meter := h.meters[m.Pool]; meter != nil {
		meter.answered(m.Tokens)
	}
	h.Step(now, m.Pool, pool.Released{Ticket: m.Ticket, Tokens: m.Tokens})
}

// EntryGone ends all requests and tickets of the entry daemon on a VM that died.
func (h *Host) EntryGone(now time.Time, vm string) {
	for name := range h.pools {
		h.Step(now, name, pool.EntryGone{Entry: vm})
	}
}

// Load passes a load report to all hosted pools. Only the pool with the runner
// uses it.
func (h *Host) Load(now time.Time, load backend.Load) {
	for name := range h.pools {
		h.Step(now, name, pool.LoadReported{Load: load})
	}
}

// CacheEvents passes the cache events of an engine to all hosted pools. from is
// the number of the first event that was requested.
func (h *Host) CacheEvents(now time.Time, engine string, from uint64, events backend.CacheEvents) {
	for name := range h.pools {
		h.Step(now, name, pool.CacheReported{Runner: engine, From: from, Events: events})
	}
}

// Down marks an engine as down in all hosted pools.
func (h *Host) Down(now time.Time, engine string) {
	for name := range h.pools {
		h.Step(now, name, pool.RunnerDown{Runner: engine})
	}
}

// Tick applies timeouts and deadlines in all hosted pools and reports whether any
// request waits for a grant.
func (h *Host) Tick(now time.Time) (waiting bool) {
	for name, p := range h.pools {
		h.Step(now, name, pool.Tick{})
		waiting = waiting || p.Waiting() > 0
	}
	return waiting
}

// Summaries returns the summaries of the hosted pools.
func (h *Host) Summaries(now time.Time) []PoolSummary {
	out := make([]PoolSummary, 0, len(h.pools))
	for name, p := range h.pools {
		out = append(out, PoolSummary{Pool: name, Summary: p.Summary(now)})
	}
	return out
}

// Demand returns the arrival rates of work at the hosted pools.
func (h *Host) Demand(now time.Time) []ModelDemand {
	var out []ModelDemand
	for name, p := range h.pools {
		out = append(out, h.meters[name].rates(now, p))
	}
	return out
}

// Cancel withdraws a request of an entry daemon that has no grant yet.
func (h *Host) Cancel(now time.Time, entry string, m *GrantCancel) {
	h.Step(now, m.Pool, pool.Cancelled{Entry: entry, Request: m.Request})
}

// NoteCache records the prefix blocks that runners cache because another daemon
// placed a request there.
func (h *Host) NoteCache(now time.Time, name string, runners []string, blocks []uint64) {
	h.Step(now, name, pool.CacheNoted{Runners: runners, Blocks: blocks})
}
