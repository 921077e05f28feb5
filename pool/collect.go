package pool

import (
	"math"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

const (
	// surplusHalfLife is the half-life of the correction from a load report. It
	// decays so that a runner whose reports stop is not avoided for long.
	surplusHalfLife = time.Second
	// maxCacheEvents bounds the cache events that are applied from one report.
	maxCacheEvents = 4096
)

// loadState is the state of a runner's load reports. It corrects the exact counts
// of granted work.
type loadState struct {
	// seq and atMs are the sequence number and the sender's time of the last
	// accepted report.
	seq  uint64
	atMs int64
	// surplus is the reported prefill work in excess of the exact count, in
	// tokens, at the time at.
	surplus float64
	at      time.Time
}

// decayedSurplus returns the surplus after its decay, in tokens.
func (l *loadState) decayedSurplus(now time.Time) float64 {
	if l.surplus == 0 {
		return 0
	}
	age := max(now.Sub(l.at), 0)
	return l.surplus * math.Exp2(-age.Seconds()/surplusHalfLife.Seconds())
}

// reportLoad applies a load report. A report that is newer neither in sequence
// number nor in time is ignored. A newer sequence number with an earlier time
// only shows that the runner is alive; an older one with a later time means that
// the engine restarted, and the report is used. Implausible counts are ignored.
// A report can only increase the predicted wait, within Config.CorrectionBound;
// it never changes the exact counts.
func (p *Pool) reportLoad(now time.Time, load *backend.Load) {
	r := p.runnerByID(load.Engine)
	if r == nil {
		return
	}
	if load.Seq <= r.load.seq && load.AtMs <= r.load.atMs {
		return
	}
	r.markAlive(now)
	restarted := load.Seq < r.load.seq && load.AtMs > r.load.atMs
	if load.AtMs < r.load.atMs && !restarted {
		return
	}
	r.load.seq, r.load.atMs = load.Seq, load.AtMs
	r.leaving = load.Leaving
	if load.KVTotal > 0 && plausible(load.KVTotal) {
		r.reportedKV = load.KVTotal
	}
	if !plausible(load.PrefillTokens) {
		return
	}
	r.load.surplus = max(float64(load.PrefillTokens-r.prefill), 0)
	r.load.at = now
}

// plausible reports whether a token count from a report is within [0, MaxTokens].
func plausible(tokens int) bool { return tokens >= 0 && tokens <= MaxTokens }

// markAlive records a report or a new listing of the runner and clears down.
func (r *runner) markAlive(now time.Time) {
	r.lastHeard = now
	r.down = false
}

// reportCache applies cache events to the prefix index. Events before nextEvent
// have already been applied. After a gap the index is kept, because a wrong entry
// costs one cache miss, while a cleared index would cost many.
func (p *Pool) reportCache(now time.Time, ev *CacheReported) {
	r := p.runnerByID(ev.Runner)
	if r == nil {
		return
	}
	r.markAlive(now)
	if ev.Events.Next < r.nextEvent && ev.From < r.nextEvent {
		// The engine restarted: its cache is empty and its event numbers start
		// from 0 again.
		p.prefixes.removeRunner(r.slot)
		r.nextEvent = 0
	}
	for _, e := range ev.Events.Events[:min(len(ev.Events.Events), maxCacheEvents)] {
		if e.Seq < r.nextEvent {
			continue
		}
		r.nextEvent = e.Seq + 1
		switch e.Op {
		case backend.CacheStore:
			p.prefixes.store(e.Block, r.slot)
		case backend.CacheEvict:
			p.prefixes.evict(e.Block, r.slot)
		}
	}
}

// listRunners replaces the runner list. Runners that left the list keep their
// slot until their last ticket is closed. Runners beyond MaxRunners are not used.
func (p *Pool) listRunners(now time.Time, list []RunnerInfo) {
	seen := [MaxRunners]bool{}
	for i := range list {
		if r := p.runnerByID(list[i].ID); r != nil {
			seen[r.slot] = true
		}
	}
	// Runners that have left make room for new ones.
	for _, r := range p.runners {
		if r != nil && !seen[r.slot] {
			p.dropRunner(r)
		}
	}
	for i := range list {
		r := p.runnerByID(list[i].ID)
		if r == nil {
			r = p.addRunner(now, list[i].ID)
		}
		if r != nil {
			p.updateRunner(now, r, &list[i])
		}
	}
}

// addRunner assigns a free slot to a new runner. It returns nil if there is none.
func (p *Pool) addRunner(now time.Time, id string) *runner {
	for slot, r := range p.runners {
		if r != nil {
			continue
		}
		r = &runner{slot: slot, lastHeard: now, prefillStart: now, predictor: p.poolPredictor}
		r.info.ID = id
		p.runners[slot] = r
		p.slots[id] = slot
		return r
	}
	return nil
}

// updateRunner applies a runner's entry in a new list. If the runner now stops at
// a known time, its streams are asked to move.
func (p *Pool) updateRunner(now time.Time, r *runner, info *RunnerInfo) {
	changed := !r.info.LeaveAt.Equal(info.LeaveAt) || r.info.State != info.State
	if info.Role != r.info.Role && r.info.Role != "" || info.Version != r.info.Version {
		// A change of the role or of the software empties the engine's cache.
		p.prefixes.removeRunner(r.slot)
	}
	if !r.listed {
		r.markAlive(now)
	}
	r.listed = true
	r.info = *info
	r.info.KVTotal = min(max(info.KVTotal, 0), MaxTokens*MaxRunners)
	if changed && leaving(info) {
		p.requestMoves(r)
	}
}

// dropRunner removes a runner from the list and frees its slot once it has no
// open tickets.
func (p *Pool) dropRunner(r *runner) {
	r.listed = false
	if r.open > 0 {
		return
	}
	p.prefixes.removeRunner(r.slot)
	delete(p.slots, r.info.ID)
	p.runners[r.slot] = nil
}

func (p *Pool) runnerByID(id string) *runner {
	slot, ok := p.slots[id]
	if !ok {
		return nil
	}
	return p.runners[slot]
}
