// Package fleet decides, for one failure domain, the role, model and version of
// each engine and the number of servers. It is a state machine without I/O: it
// outputs the wanted commands and server counts, and package order turns the
// commands into orders under the failure domain's lease.
package fleet

import (
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// Config holds the planning parameters of a failure domain.
type Config struct {
	// LeadTime is the time from ordering a server to its first grant. RoleTime is
	// the time for which a role change takes an engine out of service after its
	// drain.
	LeadTime, RoleTime time.Duration
	// Payback is the time within which the gain of a role change must exceed its
	// cost.
	Payback time.Duration
	// MinStay is the minimum time between two role changes of an engine.
	MinStay time.Duration
	// DrainTimeout is the time after which a drain with running streams is
	// abandoned and the engine is undrained. Withdrawals have no timeout.
	DrainTimeout time.Duration
	// CommandTimeout is the time after which a command without a result is sent
	// again.
	CommandTimeout time.Duration
	// HoldDown is the time for which fewer servers must suffice before a server
	// is withdrawn.
	HoldDown time.Duration
	// CheapBackoff is the time for which no cheap servers are ordered after an
	// order was not fulfilled or several cheap servers were evicted.
	CheapBackoff time.Duration
	// Utilization is the planned share of the capacity in use, from 0 to 1.
	Utilization float64
	// MixedEfficiency is the usable share of a mixed engine's capacity, from 0
	// to 1. It is below 1 because prefill work delays decoding.
	MixedEfficiency float64
	// WeightRate and WeightBurst limit the loads from the weight store, in bytes
	// per second and in bytes.
	WeightRate, WeightBurst float64
	// MinServers is the minimum number of on-demand servers.
	MinServers int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		LeadTime: 60 * time.Second, RoleTime: 5 * time.Second, Payback: 60 * time.Second,
		MinStay: 30 * time.Second, DrainTimeout: 60 * time.Second, CommandTimeout: 30 * time.Second,
		HoldDown: 2 * time.Minute, CheapBackoff: 2 * time.Minute,
		Utilization: 0.8, MixedEfficiency: 0.85,
		WeightRate: 1 << 30, WeightBurst: 200 << 30, MinServers: 1,
	}
}

// Engine is the reported state of an engine of the failure domain.
type Engine struct {
	ID      string
	Class   hosting.ServerClass
	State   hosting.ServerState
	Role    backend.Role
	Model   string
	Version string
	// Adapters lists the loaded adapters of the model.
	Adapters []string
	// Streams is the number of running and waiting requests.
	Streams int
	// Drained is set while the engine accepts no requests because of a drain
	// order.
	Drained bool
}

// Model is a row of the customer table's model list.
type Model struct {
	Name, Version string
	// Bytes is the size of the weights in bytes.
	Bytes    int64
	Adapters []string
}

// Event is an input of Fleet.
type Event interface{ isEvent() }

// EnginesListed replaces the list of engines.
type EnginesListed struct{ Engines []Engine }

// ModelsChanged replaces the models of the customer table.
type ModelsChanged struct{ Models []Model }

// LimitsChanged replaces the server limits of the customer table.
type LimitsChanged struct{ OnDemandMax, CheapMax int }

// DemandReported reports the demand for a model since the last report.
type DemandReported struct {
	Model string
	// Prefill and Decode are the arriving work in tokens per second, including
	// refused requests.
	Prefill, Decode float64
	// BatchShare is the share of the work, from 0 to 1, that may be refused
	// after an eviction.
	BatchShare float64
	// PrefillRate and DecodeRate are the measured throughput of one engine that
	// does only this kind of work, in tokens per second.
	PrefillRate, DecodeRate float64
}

// SpareReported reports how much of this failure domain's work the other
// failure domains can take over, in engines.
type SpareReported struct{ Engines float64 }

// CommandDone reports the result of a WantCommand. A result whose Seq is not
// that of the target's current command is ignored.
type CommandDone struct {
	Target string
	Seq    uint64
	Done   bool
}

// Tick advances the time. Send it about once per second.
type Tick struct{}

func (EnginesListed) isEvent()  {}
func (ModelsChanged) isEvent()  {}
func (LimitsChanged) isEvent()  {}
func (DemandReported) isEvent() {}
func (SpareReported) isEvent()  {}
func (CommandDone) isEvent()    {}
func (Tick) isEvent()           {}

// Action is an output of Fleet.
type Action interface{ isAction() }

// WantCommand is a command for an engine. Each target has at most one wanted
// command; a new one replaces it.
type WantCommand struct {
	Target string
	// Seq identifies the command in its CommandDone.
	Seq     uint64
	Command backend.Command
	Role    backend.Role
	Model   string
	Version string
	Adapter string
}

// WantServers is the number of servers that the failure domain should have, by
// class.
type WantServers struct{ OnDemand, Cheap int }

func (WantCommand) isAction() {}
func (WantServers) isAction() {}

// Fleet is the planning state machine of one failure domain. It is not safe for
// concurrent use.
type Fleet struct {
	cfg     Config
	engines map[string]*engine
	// engineIDs and modelNames are the sorted keys of engines and models, so
	// that decisions are deterministic.
	engineIDs    []string
	models       map[string]*model
	modelNames   []string
	limits       LimitsChanged
	spareEngines float64
	weights      weightBucket
	servers      serverPlan
	lastSeq      uint64
	actions      []Action
}

// engine is the reported state of an engine and its running change.
type engine struct {
	Engine
	change *change
	// roleChanges counts the engine's role changes within the mix shift
	// shiftNumber.
	roleChanges, shiftNumber int
	// roleChangedAt is the start of the last role change.
	roleChangedAt time.Time
}

// model is the demand and throughput of one model in this failure domain.
type model struct {
	Model
	listed          bool
	prefill, decode Forecast
	batchShare      float64
	// prefillRate and decodeRate are the throughput of one engine in tokens per
	// second.
	prefillRate, decodeRate float64
	mix                     mixShift
}

const (
	// initialPrefillRate and initialDecodeRate are the assumed throughput of one
	// engine, in tokens per second, until it is measured.
	initialPrefillRate = 8000.0
	initialDecodeRate  = 2000.0
)

// New returns the state machine of a failure domain without engines or models.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg: cfg, engines: map[string]*engine{}, models: map[string]*model{},
		weights: weightBucket{level: cfg.WeightBurst},
	}
}

// Step applies an event and returns the resulting actions. The returned slice is
// valid until the next call.
func (f *Fleet) Step(now time.Time, event Event) []Action {
	f.actions = f.actions[:0]
	switch ev := event.(type) {
	case EnginesListed:
		f.setEngines(now, ev.Engines)
	case ModelsChanged:
		f.setModels(ev.Models)
	case LimitsChanged:
		f.limits = ev
	case DemandReported:
		f.recordDemand(now, &ev)
	case SpareReported:
		f.spareEngines = max(ev.Engines, 0)
	case CommandDone:
		f.commandDone(now, &ev)
	case Tick:
		f.decide(now)
	}
	return f.actions
}

func (f *Fleet) emit(a Action) { f.actions = append(f.actions, a) }

// decide advances the running changes and plans new ones. It starts at most one
// role change per model and tick.
func (f *Fleet) decide(now time.Time) {
	for _, id := range f.engineIDs {
		f.advanceChange(now, f.engines[id])
	}
	f.planServers(now)
	f.planModels(now)
	for _, name := range f.modelNames {
		f.planRoles(now, f.models[name])
	}
}

// setEngines replaces the list of engines and keeps the state of those still
// listed. Duplicate IDs are ignored.
func (f *Fleet) setEngines(now time.Time, list []Engine) {
	kept := make(map[string]*engine, len(list))
	f.engineIDs = f.engineIDs[:0]
	evicted := 0
	for _, info := range list {
		if kept[info.ID] != nil {
			continue
		}
		e := f.engines[info.ID]
		if e == nil {
			e = &engine{}
		}
		if info.Role == "" {
			info.Role = backend.RoleMixed
		}
		if e.State == hosting.ServerLive && info.State == hosting.ServerLeaving && info.Class == hosting.ClassCheap {
			evicted++
		}
		e.Engine = info
		kept[info.ID] = e
		f.engineIDs = append(f.engineIDs, info.ID)
	}
	slices.Sort(f.engineIDs)
	f.engines = kept
	f.servers.seed(f.countServers(hosting.ClassOnDemand), f.countServers(hosting.ClassCheap))
	f.servers.recordEvictions(now, evicted, &f.cfg)
}

func (f *Fleet) setModels(list []Model) {
	for _, m := range f.models {
		m.listed = false
	}
	f.modelNames = f.modelNames[:0]
	for _, row := range list {
		m := f.ensureModel(row.Name)
		m.Model = row
		m.listed = true
	}
	for name, m := range f.models {
		if m.listed {
			f.modelNames = append(f.modelNames, name)
		} else {
			delete(f.models, name)
		}
	}
	slices.Sort(f.modelNames)
}

func (f *Fleet) ensureModel(name string) *model {
	m := f.models[name]
	if m == nil {
		m = &model{
			prefill: NewForecast(fastTime, slowTime), decode: NewForecast(fastTime, slowTime),
			prefillRate: initialPrefillRate, decodeRate: initialDecodeRate,
		}
		f.models[name] = m
	}
	return m
}

func (f *Fleet) recordDemand(now time.Time, ev *DemandReported) {
	m := f.models[ev.Model]
	if m == nil {
		return
	}
	m.prefill.Observe(now, ev.Prefill)
	m.decode.Observe(now, ev.Decode)
	m.batchShare = min(max(ev.BatchShare, 0), 1)
	m.prefillRate = plausibleRate(ev.PrefillRate, m.prefillRate)
	m.decodeRate = plausibleRate(ev.DecodeRate, m.decodeRate)
	m.mix.observe(m.prefillUnits(0), m.decodeUnits(0))
}

// plausibleRate limits the change of a throughput to 10% per report, so that
// an outlier has little effect.
func plausibleRate(measured, known float64) float64 {
	if !(measured > 0) {
		return known
	}
	return min(max(measured, 0.9*known), 1.1*known)
}

// usable reports whether the engine is live and not drained.
func (e *engine) usable() bool {
	return e.State == hosting.ServerLive && !e.Drained
}
