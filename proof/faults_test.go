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
	// leaseHold outlasts a lease and its takeover.
	leaseHold   = 2*leaseDuration + time.Second
	silenceHold = 4 * time.Second
	// evictNotice is longer than leaveLimit, so that late work would show.
	evictNotice = 6 * time.Second
	stopLimit   = 40 * time.Second
	// claimAge outlasts all attempts of one piece of work.
	claimAge = 30 * time.Second
)

// faultKind is one kind of fault round.
type faultKind struct {
	name string
	// hold is the time until everything heals.
	hold time.Duration
	// calm says that no request may break.
	calm bool
	// noLog says that no edit can be published meanwhile.
	noLog bool
	// unlisted says that some daemon can't read the server list meanwhile.
	unlisted bool
	apply    func(b *bench, r *round)
}

var faultKinds = []faultKind{
	{name: "kill", hold: leaseHold, apply: (*bench).faultKill},
	{name: "pause", unlisted: true, hold: leaseHold, apply: (*bench).faultPause},
	{name: "cut_log", unlisted: true, hold: leaseHold, apply: func(b *bench, r *round) { r.victim.platformFace.Set(relay.Cut) }},
	{name: "cut_peers", hold: shortHold, apply: (*bench).faultCutPeers},
	{name: "cut_both", unlisted: true, hold: leaseHold, apply: func(b *bench, r *round) {
		r.victim.platformFace.Set(relay.Cut)
		b.faultCutPeers(r)
	}},
	{name: "mute_to_log", unlisted: true, hold: silenceHold, apply: func(b *bench, r *round) { r.victim.platformFace.Set(relay.MuteUp) }},
	{name: "mute_from_log", unlisted: true, hold: leaseHold, apply: func(b *bench, r *round) { r.victim.platformFace.Set(relay.MuteDown) }},
	{name: "freeze_log", unlisted: true, hold: silenceHold, apply: func(b *bench, r *round) { r.victim.platformFace.Freeze() }},
	{name: "one_way_peers", hold: silenceHold, apply: (*bench).faultOneWayPeers},
	{name: "outage", unlisted: true, hold: leaseHold, noLog: true, apply: (*bench).faultOutage},
	{name: "lost_answers", hold: shortHold, apply: (*bench).faultLostAnswers},
	{name: "trim", hold: shortHold, apply: (*bench).faultTrim},
	{name: "engine_crash", hold: shortHold, apply: (*bench).faultEngineCrash},
	{name: "engine_freeze", hold: silenceHold, apply: (*bench).faultEngineFreeze},
	{name: "app_freeze", hold: silenceHold, apply: (*bench).faultAppFreeze},
	{name: "frames", hold: shortHold, apply: (*bench).faultFrames},
	{name: "evict", hold: evictNotice + time.Second, apply: (*bench).faultEvict},
	{name: "edits", hold: shortHold, calm: true, apply: (*bench).raceEdits},
	{name: "planned_stop", hold: shortHold, calm: true, apply: (*bench).plannedStop},
}

func (b *bench) faultKill(r *round) {
	r.noteVictim(b)
	r.victim.process().kill()
}

func (b *bench) faultPause(r *round) {
	r.noteVictim(b)
	r.victim.process().pause()
}

func (b *bench) faultCutPeers(r *round) {
	for _, m := range b.daemons {
		if m != r.victim {
			b.links.set(m.vm, r.victim.vm, true)
			b.links.set(r.victim.vm, m.vm, true)
		}
	}
}

func (b *bench) faultOneWayPeers(r *round) {
	out := b.rng.IntN(2) == 0
	for _, m := range b.daemons {
		if m != r.victim && out {
			b.links.set(r.victim.vm, m.vm, true)
		} else if m != r.victim {
			b.links.set(m.vm, r.victim.vm, true)
		}
	}
}

func (b *bench) faultOutage(r *round) {
	target := []string{"", "log"}[b.rng.IntN(2)]
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultOutage, Target: target})
}

func (b *bench) faultLostAnswers(r *round) {
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultLoseAnswer, Target: "append", Count: 30})
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultAppendTwice, Target: "control", Count: 3, Skip: 1})
	b.inject(b.platformURL, fault.Fault{Kind: fake.FaultAppendLate, Target: "claims-1", Count: 3, DelayMs: 1500})
}

// faultTrim trims the streams that have checkpoints to the end, those of claims
// to the age at which no client repeats a request any more, and lets a daemon
// start on what is left. A claim is valid for the platform's retention only, so
// no younger claim may be trimmed.
func (b *bench) faultTrim(r *round) {
	r.noteVictim(b)
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

// anyEngine returns an engine of the class, or nil.
func (b *bench) anyEngine(class hosting.ServerClass) *engineServer {
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

// faultEngineCrash ends an engine; the platform lists it for a while and then
// another one in its place.
func (b *bench) faultEngineCrash(r *round) {
	e := b.anyEngine(hosting.ClassOnDemand)
	b.endEngine(e)
	r.atHeal(func() {
		must(b.t, b.control(http.MethodDelete, "/control/servers/"+e.server.ID, nil))
		b.addEngine(e.server.FailureDomain, e.server.Class, e.server.ChecksFence)
	})
}

func (b *bench) faultEngineFreeze(r *round) {
	b.anyEngine(hosting.ClassOnDemand).face.Freeze()
}

func (b *bench) faultAppFreeze(r *round) {
	a := b.apps[b.rng.IntN(len(b.apps))]
	a.face.Freeze()
	b.inject(a.url, fault.Fault{Kind: "close_after", Count: 2})
	b.inject(a.url, fault.Fault{Kind: "cut_answer", Count: 2})
	b.inject(a.url, fault.Fault{Kind: "close_before", Count: 2})
	r.atHeal(func() { b.inject(a.url, fault.Fault{Kind: fault.KindClear}) })
}

func (b *bench) faultFrames(r *round) {
	kinds := []string{
		engine.FaultDropFrame, engine.FaultDuplicateFrame, engine.FaultLateFrame, engine.FaultCrossFrame,
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
		r.atHeal(func() { b.inject(url, fault.Fault{Kind: fault.KindClear}) })
	}
}

// faultEvict evicts the cheap servers of a failure domain.
func (b *bench) faultEvict(r *round) {
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
	r.atHeal(func() {
		for _, e := range evicted {
			b.endEngine(e)
			b.addEngine(domain, hosting.ClassCheap, true)
		}
	})
}

// plannedStop stops a daemon as planned and replaces it.
func (b *bench) plannedStop(r *round) {
	r.noteVictim(b)
	p := r.victim.process()
	if !p.terminate(stopLimit) {
		r.verdict.fail("P11", "%s did not stop within %s", r.victim.vm, stopLimit)
		p.kill()
	} else if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		r.verdict.fail("P11", "%s stopped with exit code %d", r.victim.vm, code)
	}
	b.startDaemon(r.victim)
}

// heal ends all faults.
func (b *bench) heal(r *round) {
	b.links.heal()
	b.inject(b.platformURL, fault.Fault{Kind: fault.KindClear})
	for _, m := range b.daemons {
		m.platformFace.Heal()
		switch p := m.process(); {
		case !p.running():
			b.startDaemon(m)
		case p.stopped.Load():
			p.resume()
		}
	}
	for _, a := range b.apps {
		a.face.Heal()
	}
	b.mu.Lock()
	for _, e := range b.engines {
		e.face.Heal()
	}
	b.mu.Unlock()
	for _, undo := range r.undo {
		undo()
	}
}
