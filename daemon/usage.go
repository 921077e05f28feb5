package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/usage"
)

const (
	// usageSubject is the log subject of the only usage shard.
	usageSubject = "usage/0"
	// usageInterval is the time between steps of the collector.
	usageInterval = 100 * time.Millisecond
	// reportTimeout limits one usage report.
	reportTimeout = 5 * time.Second
)

// UsageCopy asks a peer to keep a copy of a delta until it is in the log.
type UsageCopy struct {
	Delta usage.Delta `cbor:"1,keyasint"`
}

// UsageConfirmed informs a peer that all deltas up to number UpTo are in the
// log.
type UsageConfirmed struct {
	Incarnation string `cbor:"1,keyasint"`
	UpTo        int64  `cbor:"2,keyasint"`
}

// MessageKind implements peer.Message.
func (*UsageCopy) MessageKind() peer.Kind { return kindUsageCopy }

// MessageKind implements peer.Message.
func (*UsageConfirmed) MessageKind() peer.Kind { return kindUsageConfirmed }

// usageAppended is the event that an append of the usage machine has ended.
type usageAppended struct{ result appendResult }

// usageReported is the event that a usage report has ended.
type usageReported struct{ result usage.SendResult }

// usageController collects this daemon's usage. While it holds the lease, it
// also closes and reports usage windows. It belongs to the control goroutine.
type usageController struct {
	cfg  usage.Config
	self lease.Identity
	// window is the length of a usage window in seconds.
	window int64
	totals *usageTotals
	append func(record.Envelope, func(appendResult))
	report func(context.Context, hosting.UsageReport) (hosting.Outcome, error)
	send   func(vm string, m peer.Message)
	emit   func(any)
	events *Recorder
	// live returns the incarnations that may still add usage.
	live func(now time.Time) []string

	fold
	state     *usage.State
	machine   *usage.Machine
	collector *usage.Collector
	copies    *usage.PeerCopies
	rank      int
	// copyVM is the peer that keeps copies of the deltas, or empty.
	copyVM    string
	routable  *member.Set
	vms       []string
	appendSeq int
	next      time.Time
	// stopping is set by a planned stop. stopped is set when the lease is
	// released.
	stopping, stopped bool
}

func newUsageController(cfg usage.Config, self lease.Identity, window time.Duration) *usageController {
	size := int64(window / time.Second)
	collector := usage.DefaultCollector()
	u := &usageController{
		cfg:       cfg,
		self:      self,
		window:    size,
		totals:    newUsageTotals(),
		collector: usage.NewCollector(collector, self.Incarnation, size),
		copies:    usage.NewPeerCopies(collector.MaxSealed),
		rank:      -1,
		routable:  member.NewSet(nil),
	}
	u.newStream = u.bindStream
	return u
}

func (u *usageController) handle(now time.Time, ev any) bool {
	switch ev := ev.(type) {
	case logPage:
		if ev.stream != usageStream {
			return false
		}
		u.page(now, ev)
	case usageAppended:
		r := ev.result
		u.step(now, usage.LeaseEvent{Event: lease.Appended{ID: r.id, Offset: r.offset, Outcome: r.outcome}})
	case usageReported:
		u.step(now, ev.result)
	case vmsListed:
		u.listVMs(now, ev.vms)
	case incarnationEnded:
		u.adoptCopies(ev.incarnation)
	case stopLeases:
		u.stopping = true
		u.collector.Flush()
		u.collect(now)
		u.step(now, usage.LeaseEvent{Event: lease.Stop{}})
	case peerMessage:
		return u.message(ev.message)
	default:
		return false
	}
	return true
}

func (u *usageController) message(m peer.Message) bool {
	switch m := m.(type) {
	case *UsageCopy:
		u.copies.Store(m.Delta)
	case *UsageConfirmed:
		u.copies.Confirm(m.Incarnation, m.UpTo)
	default:
		return false
	}
	return true
}

// adoptCopies appends the copied deltas of an incarnation that ended before
// they were in the log.
func (u *usageController) adoptCopies(incarnation string) {
	for _, delta := range u.copies.Adopt(incarnation) {
		u.appendDelta(delta)
	}
}

func (u *usageController) listVMs(now time.Time, vms []hosting.VM) {
	u.vms = nil
	for _, vm := range vms {
		u.vms = append(u.vms, vm.ID)
	}
	u.step(now, usage.LeaseEvent{Event: lease.VMList{VMs: u.vms}})
}

func (u *usageController) membership(now time.Time, routable, _ *member.Set) {
	u.routable = routable
	u.copyVM = ""
	for _, vm := range routable.Ranks("usage-copy/"+u.self.VM, 2) {
		if vm != u.self.VM && u.copyVM == "" {
			u.copyVM = vm
		}
	}
	rank := slices.Index(routable.Ranks(usageSubject, leaseCandidates), u.self.VM)
	if rank != u.rank {
		u.rank = rank
		u.step(now, usage.LeaseEvent{Event: lease.Rank{Rank: rank}})
	}
}

func (u *usageController) page(now time.Time, p logPage) {
	decisions, err := u.apply(p)
	if err != nil {
		u.events.fault("usage_stream_stopped", err)
	}
	if u.stopErr != nil {
		// Without reads the machine loses its authority and claims no lease.
		return
	}
	for _, d := range decisions {
		u.events.usage(d)
	}
	if upTo := u.collector.ObserveLogged(decisions); upTo > 0 && u.copyVM != "" {
		u.send(u.copyVM, &UsageConfirmed{Incarnation: u.self.Incarnation, UpTo: upTo})
	}
	u.step(now, usage.LeaseEvent{Event: lease.Read{Decisions: decisions}})
}

// bindStream starts a new fold and binds the machine to it.
func (u *usageController) bindStream(first int64) *record.Stream {
	u.state = usage.NewState(u.window)
	stream := record.NewStream(first, func(subject string) record.State {
		if subject != usageSubject {
			return nil
		}
		return u.state
	})
	chain := stream.Chain(usageSubject)
	if u.machine != nil {
		u.machine.Rebind(chain, u.state)
		return stream
	}
	u.machine = usage.NewMachine(u.cfg, u.self, chain, u.state)
	now := time.Now()
	u.step(now, usage.LeaseEvent{Event: lease.Rank{Rank: u.rank}})
	u.step(now, usage.LeaseEvent{Event: lease.VMList{VMs: u.vms}})
	if u.stopping {
		u.step(now, usage.LeaseEvent{Event: lease.Stop{}})
	}
	return stream
}

func (u *usageController) tick(now time.Time) {
	if now.Before(u.next) {
		return
	}
	u.next = now.Add(usageInterval)
	u.step(now, usage.Live{Incarnations: u.live(now)})
	u.collect(now)
}

// collect moves the usage that traffic goroutines have counted into deltas.
func (u *usageController) collect(now time.Time) {
	for key, sum := range u.totals.takeAll() {
		u.collector.Add(now, key.customer, key.resource, sum)
	}
	for _, a := range u.collector.Step(now) {
		if a.Copy && u.copyVM != "" {
			u.send(u.copyVM, &UsageCopy{Delta: a.Delta})
		}
		if a.Append {
			u.appendDelta(a.Delta)
		}
	}
}

// appendDelta appends a delta. The fold counts it only once, even if it is
// appended several times.
func (u *usageController) appendDelta(d usage.Delta) {
	u.appendSeq++
	u.append(record.Envelope{
		Format:  record.Format,
		ID:      fmt.Sprintf("%s/delta/%d", u.self.Incarnation, u.appendSeq),
		Kind:    usage.KindDelta,
		Subject: usageSubject,
		Prev:    record.NoOffset,
		Seen:    record.NoOffset,
		Author:  u.self.Incarnation,
		Body:    record.EncodeBody(d),
	}, func(appendResult) {})
}

func (u *usageController) step(now time.Time, ev usage.Event) {
	if u.machine == nil {
		return
	}
	for _, action := range u.machine.Step(now, ev) {
		switch a := action.(type) {
		case usage.Send:
			u.sendReport(a)
		case usage.LeaseAction:
			u.leaseAction(a.Action)
		}
	}
}

func (u *usageController) leaseAction(action lease.Action) {
	switch a := action.(type) {
	case lease.Append:
		u.append(a.Envelope, func(r appendResult) { u.emit(usageAppended{r}) })
	case lease.Gained:
		u.events.lease(usageSubject, "gained", a.Term)
	case lease.Lost:
		u.events.lease(usageSubject, "lost", a.Term)
	case lease.Stopped:
		u.stopped = true
	}
}

// sendReport sends one usage report on its own goroutine.
func (u *usageController) sendReport(s usage.Send) {
	go func() {
		result := usage.SendResult{Send: s.Send}
		defer func() { u.emit(usageReported{result}) }()
		if !time.Now().Before(s.AuthorityEnd) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		outcome, err := u.report(ctx, s.Report)
		result.Done = outcome == hosting.OutcomeDone
		u.events.reported(s.Report, outcome, err)
	}()
}

// idle reports whether all usage is in the log and the lease is released.
func (u *usageController) idle() bool {
	deltas, rows := u.collector.Unlogged()
	return deltas == 0 && rows == 0 && (u.machine == nil || u.stopped)
}
