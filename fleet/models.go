package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// adapterBytes is the assumed size of an adapter in bytes.
const adapterBytes = 200 << 20

// weightBucket is a token bucket for bytes loaded from the weight store. A load
// larger than the burst needs a full bucket and makes the level negative.
type weightBucket struct {
	level float64
	at    time.Time
}

// take reserves the bytes of a load and reports whether it may start.
func (b *weightBucket) take(now time.Time, bytes float64, cfg *Config) bool {
	if !b.at.IsZero() {
		b.level = min(b.level+cfg.WeightRate*max(now.Sub(b.at).Seconds(), 0), cfg.WeightBurst)
	}
	b.at = now
	if b.level < min(bytes, cfg.WeightBurst) {
		return false
	}
	b.level -= bytes
	return true
}

// planModels gives engines without a listed model the model with the largest
// deficit, starts upgrades and adapter loads, and moves engines between models.
func (f *Fleet) planModels(now time.Time) {
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.change != nil || !e.usable() {
			continue
		}
		switch m := f.models[e.Model]; {
		case m == nil:
			f.loadMostNeededModel(now, e)
		case e.Version != m.Version && m.Version != "":
			f.upgrade(now, e, m)
		default:
			f.loadAdapter(now, e, m)
		}
	}
	f.rebalance(now)
}

// loadMostNeededModel loads the model with the largest deficit onto an engine
// that has no model of the customer table.
func (f *Fleet) loadMostNeededModel(now time.Time, e *engine) {
	if m, _ := f.largestDeficit(); m != nil && f.weights.take(now, float64(m.Bytes), &f.cfg) {
		kind := changeModel
		if e.Model == "" {
			kind = changeLoad
		}
		f.beginChange(now, e, &change{kind: kind, model: m.Name, version: m.Version})
	}
}

func (f *Fleet) upgrade(now time.Time, e *engine, m *model) {
	if f.poolChanging(m.Name) || !f.weights.take(now, float64(m.Bytes), &f.cfg) {
		return
	}
	f.beginChange(now, e, &change{kind: changeModel, model: m.Name, version: m.Version})
}

func (f *Fleet) loadAdapter(now time.Time, e *engine, m *model) {
	for _, adapter := range m.Adapters {
		if slices.Contains(e.Adapters, adapter) {
			continue
		}
		if f.weights.take(now, adapterBytes, &f.cfg) {
			f.beginChange(now, e, &change{kind: changeAdapter, model: m.Name, version: m.Version, adapter: adapter})
		}
		return
	}
}

// deficit returns the number of engines that a model needs beyond those that
// have it or are loading it. It is negative if there are too many.
func (f *Fleet) deficit(m *model) float64 {
	have := 0.0
	for _, e := range f.engines {
		target := e.Model
		if e.change != nil && (e.change.kind == changeModel || e.change.kind == changeLoad) {
			target = e.change.model
		}
		withdrawn := e.change != nil && e.change.kind == changeWithdraw
		if target == m.Name && e.State == hosting.ServerLive && !withdrawn {
			have++
		}
	}
	need := m.units(f.cfg.RoleTime, f.cfg.MixedEfficiency) / f.cfg.Utilization
	return max(need, 1) - have
}

// largestDeficit returns the model with the largest deficit, or nil if there are
// no models.
func (f *Fleet) largestDeficit() (*model, float64) {
	var best *model
	most := math.Inf(-1)
	for _, name := range f.modelNames {
		if missing := f.deficit(f.models[name]); missing > most {
			best, most = f.models[name], missing
		}
	}
	return best, most
}

// rebalance moves one engine from a model with a surplus of at least one engine
// to the model with the largest deficit if that is at least one. A smaller
// difference isn't worth the cost of a load.
func (f *Fleet) rebalance(now time.Time) {
	to, missing := f.largestDeficit()
	if to == nil || missing < 1 {
		return
	}
	for _, id := range f.engineIDs {
		e := f.engines[id]
		from := f.models[e.Model]
		if from == nil || from == to || e.change != nil || !e.usable() || f.poolChanging(from.Name) || f.deficit(from) > -1 {
			continue
		}
		remaining := f.countRoles(from.Name)
		*remaining.count(e.Role)--
		if remaining.servesBothPhases() && f.weights.take(now, float64(to.Bytes), &f.cfg) {
			f.beginChange(now, e, &change{kind: changeModel, model: to.Name, version: to.Version})
			return
		}
	}
}
