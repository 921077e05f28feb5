package daemon

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/fleet"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// fleetInterval is the time between two decisions about a failure domain.
	fleetInterval = time.Second
	// demandTimeout is the time without a heartbeat after which the demand that a
	// scheduler reported is ignored.
	demandTimeout = 5 * time.Second
)

// fleetController decides on servers and engine commands for the failure
// domains whose lease this daemon holds. It belongs to the control goroutine.
type fleetController struct {
	cfg         fleet.Config
	orders      *orderController
	inventory   *inventory
	current     *table.Current
	localDemand func(now time.Time) []schedule.ModelDemand
	domains     map[string]*domainFleet
	demand      map[string]reportedDemand
	next        time.Time
}

// domainFleet is the state of one failure domain while this daemon holds its
// lease.
type domainFleet struct {
	fleet *fleet.Fleet
	// version is the table version that the fleet has seen. The initial -2 differs
	// from every version, including record.NoOffset for the empty table.
	version   int64
	requested map[string]requestedCommand
}

type requestedCommand struct {
	seq     uint64
	command order.Command
}

type reportedDemand struct {
	at     time.Time
	models []schedule.ModelDemand
}

func newFleetController(cfg fleet.Config, orders *orderController, inventory *inventory, current *table.Current) *fleetController {
	return &fleetController{
		cfg:       cfg,
		orders:    orders,
		inventory: inventory,
		current:   current,
		domains:   map[string]*domainFleet{},
		demand:    map[string]reportedDemand{},
	}
}

func (f *fleetController) handle(now time.Time, ev any) bool {
	m, ok := ev.(peerMessage)
	if !ok {
		return false
	}
	if beat, ok := m.message.(*Heartbeat); ok {
		f.demand[m.from] = reportedDemand{at: now, models: beat.Demand}
		return true
	}
	return false
}

func (f *fleetController) membership(time.Time, *member.Set, *member.Set) {}

func (f *fleetController) tick(now time.Time) {
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(fleetInterval)
	for domain := range f.orders.machines {
		if !f.orders.hasAuthority(now, domain) {
			delete(f.domains, domain)
			continue
		}
		f.decide(now, domain)
	}
}

// decide updates the fleet of one failure domain and issues the orders that it
// requests.
func (f *fleetController) decide(now time.Time, domain string) {
	d := f.domains[domain]
	if d == nil {
		d = &domainFleet{fleet: fleet.New(f.cfg), version: -2, requested: map[string]requestedCommand{}}
		f.domains[domain] = d
	}
	snapshot := f.current.Load()
	if snapshot.Version() != d.version {
		d.version = snapshot.Version()
		f.step(now, domain, fleet.ModelsChanged{Models: fleetModels(snapshot)})
		f.step(now, domain, limitsChanged(snapshot, domain))
	}
	f.step(now, domain, fleet.EnginesListed{Engines: f.inventory.fleetEngines(domain)})
	share := domainShare(snapshot, domain)
	for _, m := range f.totalDemand(now) {
		f.step(now, domain, fleet.DemandReported{
			Model:       m.Model,
			Prefill:     m.Prefill * share,
			Decode:      m.Decode * share,
			BatchShare:  m.BatchShare,
			PrefillRate: m.PrefillRate,
			DecodeRate:  m.DecodeRate,
		})
	}
	f.step(now, domain, fleet.SpareReported{Engines: f.spareEngines(now, domain)})
	f.step(now, domain, fleet.Tick{})
}

func fleetModels(s *table.Snapshot) []fleet.Model {
	var models []fleet.Model
	for _, m := range s.Table().Models {
		models = append(models, fleet.Model{Name: m.Name, Version: m.Version, Bytes: m.WeightBytes, Adapters: m.Adapters})
	}
	return models
}

func limitsChanged(s *table.Snapshot, domain string) fleet.LimitsChanged {
	row, ok := s.Limit(domain)
	if !ok {
		return fleet.LimitsChanged{}
	}
	return fleet.LimitsChanged{OnDemandMax: row.OnDemandMax, CheapMax: row.CheapMax}
}

// domainShare returns the fraction of the demand that a failure domain serves:
// its fraction of all servers that the table allows.
func domainShare(s *table.Snapshot, domain string) float64 {
	own, total := 0, 0
	for _, l := range s.Table().Limits {
		total += l.OnDemandMax + l.CheapMax
		if l.FailureDomain == domain {
			own = l.OnDemandMax + l.CheapMax
		}
	}
	if total == 0 {
		return 0
	}
	return float64(own) / float64(total)
}

// totalDemand returns the demand of all schedulers per model.
func (f *fleetController) totalDemand(now time.Time) map[string]schedule.ModelDemand {
	total := map[string]schedule.ModelDemand{}
	for vm, r := range f.demand {
		if now.Sub(r.at) >= demandTimeout {
			delete(f.demand, vm)
			continue
		}
		addDemand(total, r.models)
	}
	addDemand(total, f.localDemand(now))
	return total
}

func addDemand(total map[string]schedule.ModelDemand, models []schedule.ModelDemand) {
	for _, m := range models {
		sum := total[m.Model]
		work := sum.Prefill + m.Prefill
		if work > 0 {
			m.BatchShare = (sum.BatchShare*sum.Prefill + m.BatchShare*m.Prefill) / work
		}
		m.Prefill = work
		m.Decode += sum.Decode
		m.PrefillRate = max(m.PrefillRate, sum.PrefillRate)
		m.DecodeRate = max(m.DecodeRate, sum.DecodeRate)
		total[m.Model] = m
	}
}

// spareEngines returns the number of on-demand engines of the other failure
// domains that are not needed for the share of the demand of their own domain.
func (f *fleetController) spareEngines(now time.Time, domain string) float64 {
	snapshot := f.current.Load()
	needed := 0.0
	for _, m := range f.totalDemand(now) {
		if m.PrefillRate > 0 && m.DecodeRate > 0 {
			needed += m.Prefill/m.PrefillRate + m.Decode/m.DecodeRate
		}
	}
	spare := 0.0
	for _, l := range snapshot.Table().Limits {
		if l.FailureDomain == domain {
			continue
		}
		onDemand := float64(f.inventory.count(l.FailureDomain, hosting.ClassOnDemand))
		spare += max(onDemand-needed*domainShare(snapshot, l.FailureDomain), 0)
	}
	return spare
}

func (f *fleetController) step(now time.Time, domain string, ev fleet.Event) {
	for _, action := range f.domains[domain].fleet.Step(now, ev) {
		switch a := action.(type) {
		case fleet.WantServers:
			f.orders.requestCommand(now, domain, platformTarget, order.Command{OnDemand: a.OnDemand, Cheap: a.Cheap})
		case fleet.WantCommand:
			f.requestCommand(now, domain, a)
		}
	}
}

func (f *fleetController) requestCommand(now time.Time, domain string, a fleet.WantCommand) {
	command := order.Command{
		Name:    string(a.Command),
		Role:    string(a.Role),
		Model:   a.Model,
		Version: a.Version,
		Adapter: a.Adapter,
	}
	f.domains[domain].requested[a.Target] = requestedCommand{seq: a.Seq, command: command}
	f.orders.requestCommand(now, domain, a.Target, command)
}

// closed reports the end of an intent to the fleet that requested it.
func (f *fleetController) closed(now time.Time, domain string, c order.Closed) {
	d := f.domains[domain]
	if d == nil {
		return
	}
	requested, ok := d.requested[c.Intent.Target]
	if !ok || requested.command != c.Intent.Command {
		return
	}
	delete(d.requested, c.Intent.Target)
	f.step(now, domain, fleet.CommandDone{Target: c.Intent.Target, Seq: requested.seq, Done: c.Result == order.ResultDone})
}

// fleetEngines returns the engines of a failure domain as input for the fleet.
func (v *inventory) fleetEngines(domain string) []fleet.Engine {
	var engines []fleet.Engine
	for _, s := range v.servers {
		if s.FailureDomain != domain || s.Kind != hosting.KindEngine {
			continue
		}
		engines = append(engines, v.fleetEngine(s))
	}
	return engines
}

// fleetEngine returns one engine as input for the fleet. An engine without a
// load report to this daemon counts as starting, because its model, version and
// streams are unknown and no correct order can be derived.
func (v *inventory) fleetEngine(s hosting.Server) fleet.Engine {
	e := fleet.Engine{ID: s.ID, Class: s.Class, State: s.State, Role: backend.RoleMixed}
	state, ok := v.engines[s.ID]
	if !ok || state.load.Engine == "" {
		if e.State == hosting.ServerLive {
			e.State = hosting.ServerStarting
		}
		return e
	}
	e.Role = state.load.Role
	e.Model = state.load.Model
	e.Version = state.load.Version
	e.Adapters = adaptersOf(state.load)
	e.Streams = state.load.Running + state.load.Waiting
	e.Drained = state.load.Leaving
	return e
}

// adaptersOf returns the adapters that an engine serves besides its model.
func adaptersOf(load backend.Load) []string {
	var adapters []string
	for _, name := range load.Models {
		if name != load.Model {
			adapters = append(adapters, name)
		}
	}
	return adapters
}

// count returns the number of live engine servers of a class in a failure
// domain.
func (v *inventory) count(domain string, class hosting.ServerClass) int {
	count := 0
	for _, s := range v.servers {
		if s.FailureDomain == domain && s.Kind == hosting.KindEngine && s.Class == class && s.State == hosting.ServerLive {
			count++
		}
	}
	return count
}
