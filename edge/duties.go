package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/authority"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
)

const (
	// dutyName is hashed to rank the challengers.
	dutyName = "duties"
	// usageKey is the key of the record that holds the usage windows.
	usageKey = "usage"
	// leaseCallTimeout bounds one call on the lease topic, so that a lost answer
	// is noticed well within the lease duration.
	leaseCallTimeout = 700 * time.Millisecond
	// countsInterval is the time between two deliveries of usage counts. If a
	// daemon is killed, its counts since the last delivery are lost.
	countsInterval = 250 * time.Millisecond
	// reportInterval is the time between two attempts to report a window.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// gatherTime is the time for which a new lease holder waits for the counts of
	// the other daemons before it closes windows. They learn of the holder within
	// two heartbeats and deliver once per countsInterval.
	gatherTime = 2*member.HeartbeatInterval + 2*countsInterval
	// usageBackups is the number of challengers that receive the counts in addition
	// to the lease holder, so that a successor already has them.
	usageBackups = 2
	// closedCopies is the number of challengers that learn which windows are closed, in
	// case the store loses the records.
	closedCopies = 8
)

// The events that the duties receive on the control goroutine.
type (
	dutyEvent  struct{ event authority.Event }
	dutyLoaded struct {
		term    int64
		records []hosting.KeyedRecord
		err     error
	}
	usageReported struct {
		window  metering.Window
		outcome hosting.Outcome
		err     error
	}
)

// UsageReport is the usage of one window by customer.
type UsageReport struct {
	Window metering.Window
	Counts metering.Counts
	// Fence is the fencing token, Reporter the VM that sends the report.
	Fence    int64
	Reporter string
	// Check runs immediately before the first byte is written; if it fails, nothing
	// is sent. The platform may not check the fencing token.
	Check func() error
}

// UsageReports accepts usage reports, one per window.
type UsageReports interface {
	// Report fails with *hosting.StaleFenceError if the platform has accepted a higher
	// fencing token.
	Report(ctx context.Context, report UsageReport) (hosting.Outcome, error)
}

// heldLease is the term that this daemon holds and its expiry. Goroutines check
// it immediately before they act under the term.
type heldLease struct {
	term  int64
	until time.Time
}

// duties runs the lease state machine and performs the tasks of the lease
// holder: it collects and reports usage, and orders backend servers and engine
// roles. A duty is a task of the current lease holder; every daemon runs the state
// machine. Only the control goroutine uses it, apart from the atomic fields.
type duties struct {
	vm          string
	incarnation string
	topics      hosting.Topics
	topic       hosting.Topic
	usage       UsageReports
	settings    UsageSettings
	events      *event.Recorder
	emit        func(any)
	ctx         context.Context
	clock       *metering.Clock
	counter     *metering.Counter
	send        func(vm string, m peer.Message)

	machine *authority.Machine
	ledger  *metering.Ledger
	// loadedTerm is the term for which the state of the previous holder has been
	// loaded.
	loadedTerm int64
	// reportable holds the closed windows that are in the store and not reported
	// yet.
	reportable map[metering.Window]bool
	// submitted holds the closed windows of each submitted record, in the order of
	// the records.
	submitted [][]metering.Window
	// reporting is set while a report is in flight.
	reporting  bool
	reportNext time.Time
	countsNext time.Time
	// closeFrom is the earliest time at which this holder closes windows.
	closeFrom time.Time
	watch     *leaseWatch
	// survey is set while the loaded ledger may lack closed windows.
	survey       *closedSurvey
	countsTo     []string
	live         *member.Set
	highCapacity *member.Set
	// storeLost is set if the last call on the lease topic failed.
	storeLost atomic.Bool
	// held is nil while this daemon may not act as the lease holder.
	held atomic.Pointer[heldLease]
	// fleet orders backend servers and engine roles.
	fleet fleetDuty
}

// fleetDuty is the part of the duties that orders backend servers and engine
// roles.
type fleetDuty interface {
	// gained starts a term with the records that earlier holders left in the topic.
	gained(now time.Time, term int64, records []hosting.KeyedRecord)
	lost()
	tick(now time.Time, term int64)
}

func newDuties(vm, incarnation string, lease time.Duration, u UsageSettings) *duties {
	return &duties{
		vm:           vm,
		incarnation:  incarnation,
		settings:     u,
		machine:      authority.NewMachine(authority.DefaultConfig(lease), vm, incarnation, time.Now().UnixNano()),
		ledger:       metering.NewLedger(metering.Config{Length: u.Window, Grace: u.Grace, Due: u.Due}),
		loadedTerm:   hosting.NoOffset,
		reportable:   map[metering.Window]bool{},
		watch:        newLeaseWatch(bootNow(), u.Window+u.Due+gatherTime),
		live:         member.NewSet(nil),
		highCapacity: member.NewSet(nil),
	}
}

// updateRank updates this daemon's rank among the challengers. Daemons on larger
// VMs come first, but every routable daemon is a challenger, because the store
// may refuse the calls of some.
func (d *duties) updateRank(highCapacity, routable, live *member.Set) {
	d.highCapacity, d.live = highCapacity, live
	rank := slices.Index(highCapacity.Ranks(dutyName, highCapacity.Len()), d.vm)
	if rank < 0 {
		if rank = slices.Index(routable.Ranks(dutyName, routable.Len()), d.vm); rank >= 0 {
			rank += highCapacity.Len()
		}
	}
	d.step(authority.Rank{Rank: rank})
}

// step steps the lease state machine and carries out its actions.
func (d *duties) step(ev authority.Event) {
	now := bootNow()
	actions := d.machine.Step(now, ev)
	d.publishAuthority(now)
	for _, action := range actions {
		switch a := action.(type) {
		case authority.Append:
			go d.append(a)
		case authority.ReadTopic:
			go d.read(a)
		case authority.Gained:
			d.events.Record(event.KindLease, "gained", formatInt(a.Term))
			go d.load(a.Term)
		case authority.Lost:
			d.events.Record(event.KindLease, "lost", formatInt(a.Term))
			d.loadedTerm, d.submitted, d.survey = hosting.NoOffset, nil, nil
			d.fleet.lost()
		case authority.RecordAppended:
			d.recordAppended(a.Key)
		}
	}
}

// publishAuthority updates held, which other goroutines check.
func (d *duties) publishAuthority(now time.Time) {
	term, ok := d.machine.Authority(now)
	if !ok {
		d.held.Store(nil)
		return
	}
	d.held.Store(&heldLease{term: term, until: d.machine.Expiry()})
}

// termCheck returns a function that fails once a term has ended or expired.
func (d *duties) termCheck(term int64) func() error {
	return func() error {
		p := d.held.Load()
		if p == nil || p.term != term || !bootNow().Before(p.until) {
			return errNoAuthority
		}
		return nil
	}
}

var errNoAuthority = eris.New("lease term has ended")

func (d *duties) append(a authority.Append) {
	ctx, cancel := context.WithTimeout(d.ctx, leaseCallTimeout)
	defer cancel()
	offset, outcome, err := d.topics.Put(ctx, d.topic, a.At, a.Record)
	var conflict *hosting.ConflictError
	ev := authority.Appended{Nonce: a.Nonce, Offset: offset, Outcome: outcome, Conflict: asError(err, &conflict)}
	if err != nil && !ev.Conflict {
		d.storeFailed("append", a.At, err)
	} else {
		d.storeAnswered()
	}
	d.emit(dutyEvent{event: ev})
}

func (d *duties) read(a authority.ReadTopic) {
	ctx, cancel := context.WithTimeout(d.ctx, leaseCallTimeout)
	defer cancel()
	page, err := d.readFrom(ctx, a.From)
	if err != nil {
		d.storeFailed("read", a.From, err)
		d.emit(dutyEvent{event: authority.ReadFailed{}})
		return
	}
	d.storeAnswered()
	d.emit(dutyEvent{event: authority.Read{End: page.End, Records: page.Records}})
}

// storeFailed records a failed call on the lease topic. Only the first of
// consecutive failures becomes an event.
func (d *duties) storeFailed(call string, offset int64, err error) {
	if !d.storeLost.Swap(true) {
		d.events.Record(event.KindFault, "duty_store_lost", d.topic.String(), event.F("call", call),
			event.F("offset", hosting.FormatPosition(offset)), event.F("error", err.Error()))
	}
}

func (d *duties) storeAnswered() {
	if d.storeLost.Swap(false) {
		d.events.Record(event.KindConfig, "duty_store_regained", d.topic.String())
	}
}

// readFrom reads the records from an offset on. It reads the newest record of
// each key instead if from is hosting.NoOffset or records from there on were
// trimmed.
func (d *duties) readFrom(ctx context.Context, from int64) (hosting.KeyedPage, error) {
	if from != hosting.NoOffset {
		page, err := d.topics.Follow(ctx, d.topic, from, 0)
		var trimmed *hosting.TrimmedError
		var lost *hosting.HistoryError
		if !asError(err, &trimmed) && !asError(err, &lost) {
			return page, err
		}
	}
	return d.topics.Newest(ctx, d.topic)
}

// load reads the records that earlier holders left in the topic.
func (d *duties) load(term int64) {
	ctx, cancel := context.WithTimeout(d.ctx, leaseCallTimeout)
	defer cancel()
	page, err := d.topics.Newest(ctx, d.topic)
	d.emit(dutyLoaded{term: term, records: page.Records, err: err})
}

// handle handles an input of the duties and reports whether ev was one.
func (d *duties) handle(now time.Time, ev any) bool {
	switch ev := ev.(type) {
	case dutyEvent:
		d.step(ev.event)
	case dutyLoaded:
		d.applyLoaded(now, ev)
	case usageReported:
		d.reported(ev)
	default:
		return false
	}
	return true
}

func (d *duties) applyLoaded(now time.Time, ev dutyLoaded) {
	term, ok := d.machine.Authority(bootNow())
	if !ok || term != ev.term {
		return
	}
	if ev.err != nil {
		d.events.Record(event.KindFault, "duty_load_failed", formatInt(term), event.F("error", ev.err.Error()))
		go d.load(term)
		return
	}
	if !d.loadLedger(ev.records) {
		d.askClosed(term)
	}
	clear(d.reportable)
	for _, c := range d.ledger.Unreported() {
		d.reportable[c.Window] = true
	}
	d.loadedTerm = term
	d.closeFrom = now.Add(gatherTime)
	d.fleet.gained(now, term, ev.records)
}

// loadLedger loads the usage ledger of the previous holder. It returns false if the ledger
// may lack windows that were closed: the store has none, or continues from an older copy.
func (d *duties) loadLedger(records []hosting.KeyedRecord) (complete bool) {
	for _, r := range records {
		e, err := authority.Decode(r.Value)
		if err != nil || r.Key != usageKey {
			continue
		}
		if err := d.ledger.Load(e.Body); err != nil {
			d.events.Record(event.KindFault, "usage_unreadable", "", event.F("error", err.Error()))
			break
		}
		return e.History == hosting.History(r.Offset)
	}
	d.ledger.Reset()
	return false
}

// tick steps the lease, delivers usage counts, and performs the due tasks of the
// lease holder.
func (d *duties) tick(now time.Time) {
	d.step(authority.Tick{})
	d.watchLease()
	d.deliverCounts(now)
	term, ok := d.machine.Authority(bootNow())
	if !ok || term != d.loadedTerm {
		return
	}
	if d.survey != nil && !now.Before(d.closeFrom) {
		d.restoreClosed()
	}
	if trueTime := d.clock.Now(); !now.Before(d.closeFrom) && (d.ledger.Close(trueTime) || d.ledger.NeedsDraft(trueTime)) {
		d.submit()
	}
	d.report(now, term)
	d.fleet.tick(now, term)
}

// submit queues a record of the usage ledger for the store. It holds the counts
// of open windows, and the closed windows, which are reported only after it is
// stored.
func (d *duties) submit() {
	var windows []metering.Window
	for _, c := range d.ledger.Unreported() {
		windows = append(windows, c.Window)
	}
	d.submitted = append(d.submitted, windows)
	d.machine.Submit(usageKey, d.ledger.Encode())
}

func (d *duties) recordAppended(key string) {
	if key != usageKey || len(d.submitted) == 0 {
		return
	}
	var stored []metering.Closed
	for _, c := range d.ledger.Unreported() {
		if slices.Contains(d.submitted[0], c.Window) && !d.reportable[c.Window] {
			d.reportable[c.Window] = true
			stored = append(stored, c)
		}
	}
	d.submitted = d.submitted[1:]
	if len(stored) == 0 {
		return
	}
	d.ledger.NoteClosed(stored)
	for _, vm := range d.highCapacity.Ranks(dutyName, closedCopies) {
		if vm != d.vm {
			d.send(vm, &UsageCounts{Incarnation: d.incarnation, Closed: stored})
		}
	}
}

// report sends the first closed window that is stored but not reported yet.
func (d *duties) report(now time.Time, term int64) {
	if d.reporting || now.Before(d.reportNext) {
		return
	}
	for _, c := range d.ledger.Unreported() {
		if !d.reportable[c.Window] {
			continue
		}
		d.reporting = true
		go d.sendReport(term, c)
		return
	}
}

func (d *duties) sendReport(term int64, c metering.Closed) {
	ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
	defer cancel()
	report := UsageReport{Window: c.Window, Counts: c.Counts, Fence: term, Reporter: d.vm, Check: d.termCheck(term)}
	outcome, err := d.usage.Report(ctx, report)
	d.emit(usageReported{window: c.Window, outcome: outcome, err: err})
}

func (d *duties) reported(ev usageReported) {
	d.reporting = false
	if ev.outcome == hosting.OutcomeDone {
		d.ledger.Confirm(ev.window)
		delete(d.reportable, ev.window)
		d.events.Record(event.KindOrder, "usage_reported", formatInt(int64(ev.window)))
		return
	}
	d.reportNext = time.Now().Add(reportInterval)
	d.events.Record(event.KindFault, "usage_report_failed", formatInt(int64(ev.window)),
		event.F("outcome", ev.outcome.String()), event.F("error", errorText(ev.err)))
}

// deliverCounts sends this daemon's usage counts to the lease holder and to its
// likely successors. It sends nothing if neither the counts nor the receivers
// have changed.
func (d *duties) deliverCounts(now time.Time) {
	if now.Before(d.countsNext) {
		return
	}
	d.countsNext = now.Add(countsInterval)
	since := metering.WindowAt(d.clock.Now().Add(-d.settings.Due), d.settings.Window)
	counts, changed := d.counter.Take(since)
	to := d.collectors()
	if !changed && slices.Equal(to, d.countsTo) {
		return
	}
	old := d.countsTo
	d.countsTo = to
	for _, vm := range to {
		d.send(vm, &UsageCounts{Incarnation: d.incarnation, Windows: counts})
		if !slices.Contains(old, vm) {
			d.sendCollectedCounts(vm)
		}
	}
}

// sendCollectedCounts sends a new collector the counts that this daemon has
// collected from other processes, some of which have ended.
func (d *duties) sendCollectedCounts(vm string) {
	if vm == d.vm {
		return
	}
	for process, windows := range d.ledger.Open() {
		if process != d.incarnation {
			d.send(vm, &UsageCounts{Incarnation: process, Windows: windows})
		}
	}
}

// collectors returns the VMs that receive the usage counts of this daemon: the
// first challengers and the lease holder, if known.
func (d *duties) collectors() []string {
	out := d.highCapacity.Ranks(dutyName, usageBackups)
	if s, ok := d.machine.Observation(); ok && s.Term != hosting.NoOffset && !slices.Contains(out, s.VM) {
		out = append(out, s.VM)
	}
	return out
}

// leaseObservation is an observation of the lease on the wire. It carries an age
// instead of a time, because the clocks of two VMs differ.
type leaseObservation struct {
	End      int64         `cbor:"1,keyasint"`
	VM       string        `cbor:"2,keyasint"`
	Term     int64         `cbor:"3,keyasint"`
	Released bool          `cbor:"4,keyasint,omitempty"`
	Age      time.Duration `cbor:"5,keyasint"`
}

// leaseObservation returns the observation of the lease for peers, or nil if
// nothing is known.
func (d *duties) leaseObservation() *leaseObservation {
	s, ok := d.machine.Observation()
	if !ok {
		return nil
	}
	return &leaseObservation{End: s.End, VM: s.VM, Term: s.Term, Released: s.Released, Age: bootNow().Sub(s.At)}
}

// observeLease passes a peer's observation to the lease state machine.
func (d *duties) observeLease(s *leaseObservation) {
	if s == nil || s.Age < 0 {
		return
	}
	d.step(authority.ObservationReceived{Observation: authority.Observation{
		End: s.End, VM: s.VM, Term: s.Term, Released: s.Released, At: bootNow().Add(-s.Age),
	}})
}
