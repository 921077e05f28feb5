package edge

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
)

const (
	// workReportInterval is the interval between reports of the work on plain servers.
	// docs/design/cost.md derives the bytes that they take.
	workReportInterval = 100 * time.Millisecond
	// workRejectedInterval is the minimum time between log lines of rejected reports.
	workRejectedInterval = 10 * time.Second
	// workForgetInterval is the interval at which servers that are gone are forgotten.
	workForgetInterval = 10 * time.Second
)

var (
	workReportsSent     = metrics.NewCounter("mimosakeel_edge_work_reports_sent_total")
	workReportsReceived = metrics.NewCounter("mimosakeel_edge_work_reports_received_total")
	workReportsRejected = metrics.NewCounter("mimosakeel_edge_work_reports_rejected_total")
)

// WorkReport carries a part of what the sender knows about the work and the speed of
// plain servers. It is sent to one of the sender's heartbeat peers per interval.
type WorkReport struct {
	// Servers is encoded by cost.Servers.
	Servers []byte `cbor:"1,keyasint"`
}

// MessageKind implements peer.Message.
func (*WorkReport) MessageKind() peer.Kind { return kindWorkReport }

// workReporter exchanges reports of the work on plain servers. It belongs to the control
// goroutine.
type workReporter struct {
	plain *plainScheduler
	// peers returns the daemons to which connections are kept for heartbeats, and live
	// the daemons that run.
	peers    func() []string
	live     func() *member.Set
	send     func(vm string, m peer.Message)
	events   *event.Recorder
	sent     time.Time
	forgot   time.Time
	rejected time.Time
}

// enableExpectedCost lets the servers of plain services be chosen by expected time, and the
// length of answers be expected per kind, if the settings say so.
func (d *Daemon) enableExpectedCost() {
	if !d.Settings.Scheduling.ExpectedCost {
		return
	}
	d.plain.costs = newPlainCosts()
	w := &workReporter{
		plain: d.plain, send: d.send, events: d.Events,
		peers: d.control.members.Peers,
		live:  func() *member.Set { return d.control.live },
	}
	d.control.workTick = w.tick
	d.control.workReported = func(from string, m *WorkReport) { w.received(time.Now(), from, m) }
}

func (w *workReporter) tick(now time.Time) {
	if now.Sub(w.sent) < workReportInterval {
		return
	}
	w.sent = now
	live, to := w.live(), ""
	// Other daemons would need another connection.
	if peers := w.peers(); len(peers) > 0 {
		if peer := peers[rand.IntN(len(peers))]; live.Contains(peer) {
			to = peer
		}
	}
	if report := w.plain.report(now, live.Len(), to != ""); report != nil {
		workReportsSent.Inc()
		w.send(to, &WorkReport{Servers: report})
	}
	if now.Sub(w.forgot) > workForgetInterval {
		w.forgot = now
		w.plain.forget(now)
	}
}

// received applies a report. Bad entries are left out and logged.
func (w *workReporter) received(now time.Time, from string, m *WorkReport) {
	workReportsReceived.Inc()
	bad := w.plain.merge(now, m.Servers)
	if bad == 0 {
		return
	}
	workReportsRejected.Add(bad)
	if now.Sub(w.rejected) > workRejectedInterval {
		w.rejected = now
		w.events.Record(event.KindFault, "work_report_rejected", from, event.F("entries", formatInt(int64(bad))),
			event.F("bytes", formatInt(int64(len(m.Servers)))))
	}
}

// report learns from overdue requests and returns a report to another daemon, or nil if
// there is none or nothing to report.
func (p *plainScheduler) report(now time.Time, daemons int, peer bool) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs.servers.SetDaemons(daemons)
	p.costs.tick(now)
	if !peer {
		return nil
	}
	return p.costs.servers.Report(now)
}

func (p *plainScheduler) merge(now time.Time, report []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.costs.servers.Merge(now, report)
}

// counts returns the number of servers about which something is known, and the number of
// observations and report entries that were not plausible.
func (p *plainScheduler) counts() (servers int, rejected uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.costs == nil {
		return 0, 0
	}
	return p.costs.servers.Len(), p.costs.servers.Rejected() + p.costs.kinds.Rejected()
}

func (p *plainScheduler) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs.servers.Forget(now)
}
