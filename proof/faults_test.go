package proof

import (
	"net/http"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/relay"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
)

const (
	shortHold = 3 * time.Second
	// leaseHold is longer than a lease term and the takeover after it.
	leaseHold = 2*leaseDuration + time.Second
	// silenceHold is for faults that freeze connections or drop the data of one
	// direction without closing them, except mute_from_log.
	silenceHold = 4 * time.Second
	// evictNotice is longer than drainLimit, so that requests after the limit are
	// detected.
	evictNotice = 6 * time.Second
	stopLimit   = 40 * time.Second
	// claimAge is longer than all attempts of one piece of work together.
	claimAge = 30 * time.Second
)

// faultKind is a kind of fault with the properties that its round depends on.
type faultKind struct {
	name string
	// hold is the time from the start of the fault until it is healed.
	hold time.Duration
	// nonDisruptive states that the fault must not fail any request.
	nonDisruptive bool
	// logUnavailable states that no edit can be published during the fault.
	logUnavailable bool
	// staleServerList states that some daemon cannot read the server list during the
	// fault.
	staleServerList bool
	apply           func(b *testbed, r *round)
}

var faultKinds = []faultKind{
	{name: "kill", hold: leaseHold, apply: (*testbed).faultKill},
	{name: "pause", staleServerList: true, hold: leaseHold, apply: (*testbed).faultPause},
	{name: "cut_log", staleServerList: true, hold: leaseHold, apply: func(b *testbed, r *round) { r.victim.platformRelay.Set(relay.Cut) }},
	{name: "cut_peers", hold: shortHold, apply: (*testbed).faultCutPeers},
	{name: "cut_both", staleServerList: true, hold: leaseHold, apply: func(b *testbed, r *round) {
		r.victim.platformRelay.Set(relay.Cut)
		b.faultCutPeers(r)
	}},
	{name: "mute_to_log", staleServerList: true, hold: silenceHold, apply: func(b *testbed, r *round) { r.victim.platformRelay.Set(relay.MuteUp) }},
	{name: "mute_from_log", staleServerList: true, hold: leaseHold, apply: func(b *testbed, r *round) { r.victim.platformRelay.Set(relay.MuteDown) }},
	{name: "freeze_log", staleServerList: true, hold: silenceHold, apply: func(b *testbed, r *round) { r.victim.platformRelay.Freeze() }},
	{name: "one_way_peers", hold: silenceHold, apply: (*testbed).faultOneWayPeers},
	{name: "outage", staleServerList: true, hold: leaseHold, logUnavailable: true, apply: (*testbed).faultOutage},
	{name: "lost_answers", hold: shortHold, apply: (*testbed).faultLostAnswers},
	{name: "trim", hold: shortHold, apply: (*testbed).faultTrim},
	{name: "engine_crash", hold: shortHold, apply: (*testbed).faultEngineCrash},
	{name: "engine_freeze", hold: silenceHold, apply: (*testbed).faultEngineFreeze},
	{name: "app_freeze", hold: silenceHold, apply: (*testbed).faultAppFreeze},
	{name: "frames", hold: shortHold, apply: (*testbed).faultFrames},
	{name: "evict", hold: evictNotice + time.Second, apply: (*testbed).faultEvict},
	{name: "edits", hold: shortHold, nonDisruptive: true, apply: (*testbed).raceEdits},
	{name: "planned_stop", hold: shortHold, nonDisruptive: true, apply: (*testbed).plannedStop},
}

func (b *testbed) faultKill(r *round) {
	r.recordHeldLeases(b)
	r.victim.process().kill()
}

func (b *testbed) faultPause(r *round) {
	r.recordHeldLeases(b)
	r.victim.process().pause()
}

func (b *testbed) faultCutPeers(r *round) {
	for _, m := range b.daemons {
		if m != r.victim {
			b.links.set(m.vm, r.victim.vm, true)
			b.links.set(r.victim.vm, m.vm, true)
		}
	}
}

func (b *testbed) faultOneWayPeers(r *round) {
	out := b.rng.IntN(2) == 0
	for _, m := range b.daemons {
		if m != r.victim && out {
			b.links.set(r.victim.vm, m.vm, true)
		} else if m != r.victim {
			b.links.set(m.vm, r.victim.vm, true)
		}
	}
}

func (b *testbed) faultOutage(r *round) {
	target := []string{"", "log"}[b.rng.IntN(2)]
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultOutage, Target: target})
}

func (b *testbed) faultLostAnswers(r *round) {
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultLoseAnswer, Target: "append", Count: 30})
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultAppendTwice, Target: "control", Count: 3, Skip: 1})
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultAppendLate, Target: "claims-1", Count: 3, DelayMs: 1500})
}

// faultTrim kills a daemon, trims the log and restarts the daemon, which must start
// from checkpoints and the remaining records. Streams with checkpoints are trimmed to
// their end. Claims are trimmed only if they are older than claimAge, when no client
// retries their requests any more: a claim is valid only while the platform retains
// it, so younger ones must not be trimmed.
func (b *testbed) faultTrim(r *round) {
	r.recordHeldLeases(b)
	r.victim.process().kill()
	for _, stream := range []string{"config", "control", "usage", "claims-0", "claims-1", "claims-2", "claims-3"} {
		limit := time.Now()
		if strings.HasPrefix(stream, "claims") {
			limit = limit.Add(-claimAge)
		}
		below := int64(0)
		for _, record := range b.history(stream) {
			if record.AtMs < limit.UnixMilli() {
				below = record.Offset + 1
			}
		}
		b.inject(b.platformURL, fault.Fault{Kind: fake.FaultTrim, Target: stream, Value: float64(below)})
	}
	b.startDaemon(r.victim)
}

// anyEngine returns a random engine of the class, or nil if there is none.
func (b *testbed) anyEngine(class hosting.ServerClass) *engineServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, e := range b.engines {
		if e.server.Class == class {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return b.engines[pickSorted(b.rng, ids)]
}

// faultEngineCrash kills an engine. The platform keeps listing it until the fault is
// healed and then lists a replacement.
func (b *testbed) faultEngineCrash(r *round) {
	e := b.anyEngine(hosting.ClassOnDemand)
	b.endEngine(e)
	r.onHeal(func() {
		must(b.t, b.control(http.MethodDelete, "/control/servers/"+e.server.ID, nil))
		b.addEngine(e.server.FailureDomain, e.server.Class, e.server.ChecksFence)
	})
}

func (b *testbed) faultEngineFreeze(r *round) {
	b.anyEngine(hosting.ClassOnDemand).relay.Freeze()
}

func (b *testbed) faultAppFreeze(r *round) {
	a := b.apps[b.rng.IntN(len(b.apps))]
	a.relay.Freeze()
	b.inject(a.url, fault.Fault{Kind: "close_after", Count: 2})
	b.inject(a.url, fault.Fault{Kind: "cut_answer", Count: 2})
	b.inject(a.url, fault.Fault{Kind: "close_before", Count: 2})
	r.onHeal(func() { b.inject(a.url, fault.Fault{Kind: fault.KindClear}) })
}

func (b *testbed) faultFrames(r *round) {
	kinds := []string{
		engine.FaultDropFrame, engine.FaultDuplicateFrame, engine.FaultLateFrame, engine.FaultMisroutedFrame,
		engine.FaultGarbageFrame, engine.FaultWrongID, engine.FaultCutStream, engine.FaultNoEnd,
	}
	b.mu.Lock()
	var urls []string
	for _, e := range b.engines {
		urls = append(urls, e.url)
	}
	b.mu.Unlock()
	for _, url := range urls {
		for _, kind := range kinds {
			b.inject(url, fault.Fault{Kind: kind, Count: 4, Skip: 5})
		}
		r.onHeal(func() { b.inject(url, fault.Fault{Kind: fault.KindClear}) })
	}
}

// faultEvict evicts the cheap servers of a failure domain.
func (b *testbed) faultEvict(r *round) {
	domain := domains[b.rng.IntN(len(domains))]
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultEvict, Target: domain, DelayMs: evictNotice.Milliseconds()})
	b.mu.Lock()
	var evicted []*engineServer
	for _, e := range b.engines {
		if e.server.FailureDomain == domain && e.server.Class == hosting.ClassCheap {
			e.leaving = time.Now().UnixMilli()
			evicted = append(evicted, e)
		}
	}
	b.mu.Unlock()
	r.onHeal(func() {
		for _, e := range evicted {
			b.endEngine(e)
			b.addEngine(domain, hosting.ClassCheap, true)
		}
	})
}

// plannedStop stops a daemon with SIGTERM and restarts it. The daemon must end with
// exit code 0 within stopLimit.
func (b *testbed) plannedStop(r *round) {
	r.recordHeldLeases(b)
	p := r.victim.process()
	if !p.terminate(stopLimit) {
		r.checker.fail("P11", "%s did not stop within %s", r.victim.vm, stopLimit)
		p.kill()
	} else if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		r.checker.fail("P11", "%s stopped with exit code %d", r.victim.vm, code)
	}
	b.startDaemon(r.victim)
}

// heal ends all faults, restarts daemons that have ended and resumes paused ones.
func (b *testbed) heal(r *round) {
	b.links.heal()
	b.inject(b.platformURL, fault.Fault{Kind: fault.KindClear})
	for _, m := range b.daemons {
		m.platformRelay.Heal()
		switch p := m.process(); {
		case !p.running():
			b.startDaemon(m)
		case p.paused.Load():
			p.resume()
		}
	}
	for _, a := range b.apps {
		a.relay.Heal()
	}
	b.mu.Lock()
	for _, e := range b.engines {
		e.relay.Heal()
	}
	b.mu.Unlock()
	for _, undo := range r.undo {
		undo()
	}
}
