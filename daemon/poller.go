package daemon

import (
	"context"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// listInterval is the time between reads of the VM list and the server list.
	listInterval = 500 * time.Millisecond
	// listTimeout limits one such read of both lists.
	listTimeout = 2 * time.Second
	// hostedPollInterval is the time between load reports of engines whose pool
	// this daemon schedules. probePollInterval applies to engines that it only
	// probes for the others.
	hostedPollInterval = 250 * time.Millisecond
	probePollInterval  = time.Second
	// pollTimeout limits one poll of an engine.
	pollTimeout = time.Second
)

// vmsListed is the event that the VM list was read.
type vmsListed struct{ vms []hosting.VM }

// serversListed is the event that the server list was read.
type serversListed struct{ servers []hosting.Server }

// engineLoad is the event that a load report was received, or that the attempt
// failed with err.
type engineLoad struct {
	engine string
	load   backend.Load
	err    error
}

// engineCache is the event that cache events of an engine were received,
// starting at number from.
type engineCache struct {
	engine string
	from   uint64
	events backend.CacheEvents
}

// pollLists reads both lists of the platform until the context ends. If a read
// fails, the last list stays in use.
func pollLists(ctx context.Context, vms hosting.VMs, servers hosting.Servers, emit func(any)) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		if list, err := vms.List(call); err == nil {
			emit(vmsListed{list})
		}
		if list, err := servers.List(call); err == nil {
			emit(serversListed{list})
		}
		cancel()
		sleep(ctx, listInterval)
	}
}

// enginePoller polls one engine.
type enginePoller struct {
	engines *backend.Engines
	engine  string
	url     string
	hosted  bool
	emit    func(any)
	next    uint64
}

func (p *enginePoller) run(ctx context.Context) {
	interval := probePollInterval
	if p.hosted {
		interval = hostedPollInterval
	}
	for ctx.Err() == nil {
		p.poll(ctx)
		sleep(ctx, interval)
	}
}

func (p *enginePoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.engines.Load(ctx, p.url)
	p.emit(engineLoad{engine: p.engine, load: load, err: err})
	if err != nil || !p.hosted {
		return
	}
	from := p.next
	events, err := p.engines.CacheEvents(ctx, p.url, from)
	if err != nil {
		return
	}
	p.next = events.Next
	p.emit(engineCache{engine: p.engine, from: from, events: events})
}

// enginePollers starts and stops the pollers of a changing set of engines. It
// belongs to the control goroutine.
type enginePollers struct {
	ctx     context.Context
	engines *backend.Engines
	emit    func(any)
	running map[string]runningPoller
}

type runningPoller struct {
	url    string
	hosted bool
	stop   context.CancelFunc
}

func newEnginePollers(ctx context.Context, engines *backend.Engines, emit func(any)) *enginePollers {
	return &enginePollers{ctx: ctx, engines: engines, emit: emit, running: map[string]runningPoller{}}
}

// pollTarget is one engine to poll.
type pollTarget struct {
	url    string
	hosted bool
}

// reconcile starts and stops pollers so that the running ones match want.
func (p *enginePollers) reconcile(want map[string]pollTarget) {
	for id, r := range p.running {
		if w, ok := want[id]; !ok || w.url != r.url || w.hosted != r.hosted {
			r.stop()
			delete(p.running, id)
		}
	}
	for id, w := range want {
		if _, ok := p.running[id]; ok {
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		p.running[id] = runningPoller{url: w.url, hosted: w.hosted, stop: stop}
		poller := &enginePoller{engines: p.engines, engine: id, url: w.url, hosted: w.hosted, emit: p.emit}
		go poller.run(ctx)
	}
}
