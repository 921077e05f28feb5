package edge

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/provision"
)

const (
	// demandInterval is the time between two reports of a pool's load to the lease
	// holder.
	demandInterval = 500 * time.Millisecond
	// demandPools is the number of pools of all services from which on the reports
	// are less frequent. A report has about 250 bytes, so the holder receives at most
	// 10 KB/s.
	demandPools = 20
	// demandMissed is the number of intervals after which a report is outdated.
	demandMissed = 5
	// demandPeriod is the time over which loads are remembered. The users' load swings
	// by half within 13 s.
	demandPeriod = 13 * time.Second
	// demandHold is the time after the first reports for which a lease holder releases
	// no servers: it has not seen a full swing of the load yet.
	demandHold = 12 * time.Second
	// maxBadDemand bounds the pools whose invalid reports are remembered.
	maxBadDemand = 1024
	// defaultObjective is the latency objective of routes that have none.
	defaultObjective = time.Second
)

// planDemand and planRatio are the values of FleetSettings.Plan.
const (
	planRatio  = "ratio"
	planDemand = "demand"
)

var (
	demandReports = metrics.NewCounter("mimosakeel_edge_demand_reports_total")
	demandInvalid = metrics.NewCounter("mimosakeel_edge_demand_reports_invalid_total")
	demandHolding = metrics.NewCounter("mimosakeel_edge_fleet_holding_total")
)

// PoolDemand tells the lease holder the load of a pool. Its scheduler sends it.
type PoolDemand struct {
	Pool    string           `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint"`
	Load    provision.Report `cbor:"3,keyasint"`
}

// MessageKind implements peer.Message.
func (*PoolDemand) MessageKind() peer.Kind { return kindPoolDemand }

// demandIntervalOf returns the time between two reports of a pool in a deployment
// with the given number of pools.
func demandIntervalOf(pools int) time.Duration {
	return demandInterval * time.Duration(max((pools+demandPools-1)/demandPools, 1))
}

// reportDemand sends the lease holder the loads of the pools that this daemon
// schedules.
func (c *control) reportDemand(now time.Time) {
	if c.fleet.settings.Plan != planDemand || now.Before(c.demandNext) {
		return
	}
	c.demandNext = now.Add(demandIntervalOf(len(c.pools.specs)))
	holder, known := c.duties.machine.Observation()
	for service, routes := range c.view.Load().pools {
		for _, route := range routes {
			if route.scheduler != c.vm {
				continue
			}
			load, ok := c.host.PoolLoad(now, route.name)
			if ok && known && holder.VM != "" && !holder.Released {
				c.send(holder.VM, &PoolDemand{Pool: route.name, Service: service, Load: load})
			}
		}
	}
}

// addDemand passes the load of a pool to the plan of its service. Reports are
// ignored unless they come from the pool's scheduler, and without effect unless
// this daemon holds the lease.
func (f *fleetControl) addDemand(now time.Time, from string, m *PoolDemand) {
	plan := f.services[m.Service]
	if plan == nil || plan.need == nil {
		return
	}
	problem := m.Load.Problem()
	if problem == "" && f.schedulerOf(m) != from {
		problem = "scheduler"
	}
	if problem != "" {
		demandInvalid.Inc()
		if f.badDemand[m.Pool] != problem {
			// One line per pool and reason.
			if len(f.badDemand) >= maxBadDemand {
				clear(f.badDemand)
			}
			f.badDemand[m.Pool] = problem
			f.events.Record(event.KindFault, "demand_report_invalid", m.Service, event.F("pool", m.Pool),
				event.F("from", from), event.F("field", problem))
		}
		return
	}
	delete(f.badDemand, m.Pool)
	demandReports.Inc()
	plan.need.Report(now, m.Pool, m.Load)
}

// schedulerOf returns the VM that schedules the pool of a report, "" if there is no
// such pool.
func (f *fleetControl) schedulerOf(m *PoolDemand) string {
	for _, route := range f.control.view.Load().pools[m.Service] {
		if route.name == m.Pool {
			return route.scheduler
		}
	}
	return ""
}

// needConfig returns the parameters of the decision about a service, which change
// with the configuration and the settings.
func (f *fleetControl) needConfig(s *catalog.Service) provision.NeedConfig {
	sc := s.Scaling
	price := 0.0
	for _, p := range sc.DomainPrices {
		price += p / float64(len(sc.DomainPrices))
	}
	lead := sc.Boot + bootLag
	return provision.NeedConfig{
		Max: sc.Max * len(sc.DomainPrices), Domains: len(sc.DomainPrices),
		OnDemandPrice: price, CheapPrice: price * sc.CheapPrice,
		LostCost:            f.settings.LostCost,
		Objective:           shortestObjective(f.control.catalog.Load(), s.Name),
		Roles:               f.roleConfig(s.Engine),
		DecodePrefillFactor: decodePrefillFactor,
		Lead:                lead,
		Period:              demandPeriod,
		Hold:                demandHold,
		ReportAge:           demandMissed * demandIntervalOf(len(f.control.pools.specs)),
		Outage:              cheapBackoff + lead,
	}
}

// shortestObjective returns the shortest latency objective of the routes to a
// service.
func shortestObjective(cat *catalog.Catalog, service string) time.Duration {
	shortest := time.Duration(0)
	cat.Routes(func(r *catalog.Route) {
		for _, share := range r.Shares {
			if share.Service == service && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
				shortest = r.Objective
			}
		}
	})
	if shortest == 0 {
		return defaultObjective
	}
	return shortest
}

// orderByDemand steps the plan of a service by its demand and sends the orders.
func (f *fleetControl) orderByDemand(now time.Time, term int64, s *catalog.Service, plan *serviceFleet, engines []provision.Engine) {
	if plan.need == nil {
		plan.need = provision.NewNeed()
		plan.servers = provision.NewServers(f.demandConfig(s.Scaling))
	}
	plan.need.Configure(f.needConfig(s))
	var pools []string
	for _, route := range f.control.view.Load().pools[s.Name] {
		pools = append(pools, route.name)
	}
	d := plan.need.Step(now, pools, engines, plan.settled)
	if d.Holding {
		demandHolding.Inc()
	}
	if d.Act && (d.Counts != plan.last.Counts || d.Holding != plan.last.Holding) {
		f.events.Record(event.KindOrder, "fleet_need", s.Name,
			event.F("on_demand", formatInt(int64(d.OnDemand))), event.F("cheap", formatInt(int64(d.Cheap))),
			event.F("mean", formatRatio(d.Mean)), event.F("peak", formatRatio(d.Peak)),
			event.F("floor", formatInt(int64(d.Floor))), event.F("holding", formatBool(d.Holding)))
	}
	plan.last = d
	if !d.Act {
		return
	}
	for class, count := range map[hosting.ServerClass]int{hosting.ClassOnDemand: d.OnDemand, hosting.ClassCheap: d.Cheap} {
		name := `mimosakeel_edge_fleet_wanted{service=` + strconv.Quote(s.Name) + `,class=` + strconv.Quote(string(class)) + `}`
		metrics.GetOrCreateGauge(name, nil).Set(float64(count))
	}
	if plan.unanswered > 0 {
		// Two orders for a group at the same time may arrive in the wrong order.
		return
	}
	for _, o := range plan.servers.StepTo(now, engines, d.Wanted) {
		f.orderCount(term, s.Name, plan, o)
	}
}

// demandConfig returns the planning parameters of the plan by demand. Need decides
// how long servers stay, so the plan itself holds nothing down.
func (f *fleetControl) demandConfig(s *catalog.Scaling) provision.ServerConfig {
	cfg := f.serverConfig(s, 0)
	cfg.HoldDown = 0
	return cfg
}
