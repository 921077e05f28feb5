package daemon

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/record"
)

const (
	ordersPrefix = "orders/"
	// platformTarget is the order target of the platform's server interface. It
	// can't collide with the id of a server, which contains no slash.
	platformTarget = "platform/servers"
	// leaseCandidates is the number of daemons that may claim a lease. A daemon
	// beyond it waits until a change of the live set makes it a candidate.
	leaseCandidates = 8
)

// orderController runs the order machine of every failure domain. It belongs to
// the control goroutine.
type orderController struct {
	cfg                 order.Config
	self                lease.Identity
	platformChecksFence bool
	// The fields below perform the actions of the machines.
	append func(e record.Envelope, done func(appendResult))
	send   func(domain string, s order.Send, url string, answer func(order.AnswerResult))
	emit   func(any)
	events *Recorder
	closed func(now time.Time, domain string, c order.Closed)

	fold
	states   map[string]*order.State
	machines map[string]*order.Machine
	ranks    map[string]int
	routable *member.Set
	servers  []hosting.Server
	vms      []string
	// stopping is set by a planned stop. Machines that are created later are
	// stopped at once.
	stopping bool
	stopped  map[string]bool
}

// orderAnswered is the event that an order.Send has ended.
type orderAnswered struct {
	domain string
	result order.SendResult
}

// orderAppended is the event that an append of an order machine has ended.
type orderAppended struct {
	domain string
	result appendResult
}

// stopLeases is the event that requests the release of all leases.
type stopLeases struct{}

func newOrderController(cfg order.Config, self lease.Identity, checks bool) *orderController {
	o := &orderController{
		cfg:                 cfg,
		self:                self,
		platformChecksFence: checks,
		states:              map[string]*order.State{},
		machines:            map[string]*order.Machine{},
		ranks:               map[string]int{},
		routable:            member.NewSet(nil),
		stopped:             map[string]bool{},
	}
	o.newStream = o.bindStream
	return o
}

func (o *orderController) handle(now time.Time, ev any) bool {
	switch ev := ev.(type) {
	case logPage:
		if ev.stream != controlStream {
			return false
		}
		o.page(now, ev)
	case orderAnswered:
		o.step(now, ev.domain, ev.result)
	case orderAppended:
		r := ev.result
		o.step(now, ev.domain, order.LeaseEvent{Event: lease.Appended{ID: r.id, Offset: r.offset, Outcome: r.outcome}})
	case serversListed:
		o.servers = ev.servers
		o.listTargets(now)
	case vmsListed:
		o.listVMs(now, ev.vms)
	case stopLeases:
		o.stopping = true
		o.stepAll(now, order.LeaseEvent{Event: lease.Stop{}})
	default:
		return false
	}
	return true
}

func (o *orderController) tick(now time.Time) {
	o.stepAll(now, order.LeaseEvent{Event: lease.Tick{}})
}

func (o *orderController) membership(now time.Time, routable, _ *member.Set) {
	o.routable = routable
	for domain := range o.machines {
		o.updateRank(now, domain)
	}
}

// updateRank informs a machine of the position of this daemon in the rendezvous
// order.
func (o *orderController) updateRank(now time.Time, domain string) {
	ranks := o.routable.Ranks(ordersPrefix+domain, leaseCandidates)
	rank := slices.Index(ranks, o.self.VM)
	if old, ok := o.ranks[domain]; ok && old == rank {
		return
	}
	o.ranks[domain] = rank
	o.step(now, domain, order.LeaseEvent{Event: lease.Rank{Rank: rank}})
}

// page folds a page and passes to each machine the decisions on its subject.
// Machines without a decision are also informed that the log was read.
func (o *orderController) page(now time.Time, p logPage) {
	decisions, err := o.apply(p)
	if err != nil {
		o.events.fault("control_stream_stopped", err)
	}
	if o.stopErr != nil {
		// Without reads the machines lose their authority and claim no lease.
		return
	}
	byDomain := map[string][]record.Decision{}
	for _, d := range decisions {
		domain := strings.TrimPrefix(d.Entry.Subject, ordersPrefix)
		byDomain[domain] = append(byDomain[domain], d)
		o.events.decision(d)
	}
	for _, domain := range slices.Sorted(maps.Keys(o.machines)) {
		o.step(now, domain, order.LeaseEvent{Event: lease.Read{Decisions: byDomain[domain]}})
	}
}

// bindStream starts a new fold and binds all machines to it.
func (o *orderController) bindStream(first int64) *record.Stream {
	o.states = map[string]*order.State{}
	stream := record.NewStream(first, func(subject string) record.State {
		if !strings.HasPrefix(subject, ordersPrefix) {
			return nil
		}
		return o.state(strings.TrimPrefix(subject, ordersPrefix))
	})
	for domain, m := range o.machines {
		m.Rebind(stream.Chain(ordersPrefix+domain), o.state(domain))
	}
	return stream
}

func (o *orderController) state(domain string) *order.State {
	s, ok := o.states[domain]
	if !ok {
		s = order.NewState()
		o.states[domain] = s
	}
	return s
}

// ensureMachine creates the machine of a failure domain if it is missing and
// the stream has been read.
func (o *orderController) ensureMachine(now time.Time, domain string) {
	if o.machines[domain] != nil || o.stream == nil || domain == "" {
		return
	}
	chain := o.stream.Chain(ordersPrefix + domain)
	o.machines[domain] = order.NewMachine(o.cfg, o.self, chain, o.state(domain))
	o.updateRank(now, domain)
	o.step(now, domain, order.LeaseEvent{Event: lease.VMList{VMs: o.vms}})
	if o.stopping {
		o.step(now, domain, order.LeaseEvent{Event: lease.Stop{}})
	}
}

func (o *orderController) listVMs(now time.Time, vms []hosting.VM) {
	o.vms = nil
	for _, vm := range vms {
		o.vms = append(o.vms, vm.ID)
	}
	for _, vm := range vms {
		o.ensureMachine(now, vm.FailureDomain)
	}
	o.stepAll(now, order.LeaseEvent{Event: lease.VMList{VMs: o.vms}})
}

// listTargets passes to each machine the order targets of its failure domain.
func (o *orderController) listTargets(now time.Time) {
	targets := map[string][]order.Target{}
	for _, s := range o.servers {
		o.ensureMachine(now, s.FailureDomain)
		if s.Kind == hosting.KindEngine && s.State != hosting.ServerStarting {
			targets[s.FailureDomain] = append(targets[s.FailureDomain],
				order.Target{ID: s.ID, Kind: order.TargetEngine, ChecksFence: s.ChecksFence})
		}
	}
	for domain := range o.machines {
		all := append(targets[domain], order.Target{ID: platformTarget, Kind: order.TargetPlatform, ChecksFence: o.platformChecksFence})
		o.step(now, domain, order.Targets{Targets: all})
	}
}

func (o *orderController) stepAll(now time.Time, ev order.Event) {
	for _, domain := range slices.Sorted(maps.Keys(o.machines)) {
		o.step(now, domain, ev)
	}
}

func (o *orderController) step(now time.Time, domain string, ev order.Event) {
	m := o.machines[domain]
	if m == nil {
		return
	}
	for _, action := range m.Step(now, ev) {
		o.act(now, domain, action)
	}
}

func (o *orderController) act(now time.Time, domain string, action order.Action) {
	switch a := action.(type) {
	case order.Send:
		o.send(domain, a, o.url(a.Target.ID), func(r order.AnswerResult) {
			o.emit(orderAnswered{domain: domain, result: order.SendResult{Send: a.Send, Result: r}})
		})
	case order.Closed:
		o.events.intentClosed(domain, a)
		o.closed(now, domain, a)
	case order.LeaseAction:
		o.leaseAction(domain, a.Action)
	}
}

func (o *orderController) leaseAction(domain string, action lease.Action) {
	switch a := action.(type) {
	case lease.Append:
		o.append(a.Envelope, func(r appendResult) { o.emit(orderAppended{domain: domain, result: r}) })
	case lease.Gained:
		o.events.lease(ordersPrefix+domain, "gained", a.Term)
	case lease.Lost:
		o.events.lease(ordersPrefix+domain, "lost", a.Term)
	case lease.Stopped:
		o.stopped[domain] = true
	}
}

func (o *orderController) url(server string) string {
	for _, s := range o.servers {
		if s.ID == server {
			return s.URL
		}
	}
	return ""
}

// requestCommand requests a command at a target. Only the lease holder acts on it.
func (o *orderController) requestCommand(now time.Time, domain, target string, c order.Command) {
	o.step(now, domain, order.CommandRequest{Target: target, Command: c})
}

// hasAuthority reports whether this daemon has authority over a failure domain.
func (o *orderController) hasAuthority(now time.Time, domain string) bool {
	m := o.machines[domain]
	if m == nil {
		return false
	}
	_, ok := m.Authority(now)
	return ok
}

// released reports whether all machines have released their leases after a
// planned stop.
func (o *orderController) released() bool {
	return len(o.stopped) == len(o.machines)
}
