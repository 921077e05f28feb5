package edge

import (
	"time"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
)

// maxWatchPause is the longest pause between two ticks in which a daemon can't have missed
// a lease holder. A holder closes windows only after gatherTime.
const maxWatchPause = time.Second

// ClosedInquiry asks which usage windows lease holders have closed. A new holder sends it
// to all daemons if the store may have lost the records.
type ClosedInquiry struct {
	// Term is the term of the sender.
	Term int64 `cbor:"1,keyasint"`
}

// ClosedWindows answers a ClosedInquiry.
type ClosedWindows struct {
	// Term is the term of the inquiry.
	Term int64 `cbor:"1,keyasint"`
	// Closed holds the windows that a holder has closed and stored.
	Closed []metering.Closed `cbor:"2,keyasint"`
	// Running is the time since the sender's process started, and Watched the time for
	// which it has heard from the other daemons without interruption.
	Running time.Duration `cbor:"3,keyasint"`
	Watched time.Duration `cbor:"4,keyasint"`
	// Holders holds the time since each VM was last known to hold the lease.
	Holders map[string]time.Duration `cbor:"5,keyasint"`
}

// MessageKind implements peer.Message.
func (*ClosedInquiry) MessageKind() peer.Kind { return kindClosedInquiry }

// MessageKind implements peer.Message.
func (*ClosedWindows) MessageKind() peer.Kind { return kindClosedWindows }

// leaseWatch records for how long this daemon would have heard of every lease holder. All
// times are of the boot clock, which also counts the time for which the VM is suspended.
type leaseWatch struct {
	started time.Time
	// since is the end of the last interruption: a pause of this process, or the loss of
	// more than half of the daemons.
	since    time.Time
	lastTick time.Time
	// keep is the time for which holders and peers are remembered.
	keep time.Duration
	// holders and peers hold the times at which VMs were last known to hold the lease and
	// to be live.
	holders, peers map[string]time.Time
}

func newLeaseWatch(now time.Time, keep time.Duration) *leaseWatch {
	return &leaseWatch{started: now, since: now, lastTick: now, keep: keep, holders: map[string]time.Time{}, peers: map[string]time.Time{}}
}

// tick records the holder, which is empty if none is known, and the live daemons.
func (w *leaseWatch) tick(now time.Time, holder string, live []string) {
	for _, vm := range live {
		w.peers[vm] = now
	}
	if holder != "" {
		w.holders[holder] = now
	}
	for _, known := range []map[string]time.Time{w.peers, w.holders} {
		for vm, at := range known {
			if now.Sub(at) > w.keep {
				delete(known, vm)
			}
		}
	}
	if now.Sub(w.lastTick) > maxWatchPause || 2*len(live) < len(w.peers) {
		w.since = now
	}
	w.lastTick = now
}

// answer returns the answer to an inquiry without the closed windows.
func (w *leaseWatch) answer(now time.Time, term int64) *ClosedWindows {
	m := &ClosedWindows{Term: term, Running: now.Sub(w.started), Watched: now.Sub(w.since), Holders: map[string]time.Duration{}}
	for vm, at := range w.holders {
		m.Holders[vm] = now.Sub(at)
	}
	return m
}

// closedSurvey holds the answers to a ClosedInquiry.
type closedSurvey struct {
	term int64
	// daemons is the number of daemons that were live lately, with this one.
	daemons int
	answers map[string]*ClosedWindows
}

// open reports whether no daemon can have closed a window that ended some time ago, apart
// from the windows that the answers contain.
//
// A holder announces its term to all daemons before it closes a window. So at least half
// of the daemons must have watched since the window's end, and all holders that any of
// them has seen since must have answered and still be the same processes.
func (s *closedSurvey) open(sinceEnd time.Duration) bool {
	watchers := 0
	for _, m := range s.answers {
		if m.Watched >= sinceEnd {
			watchers++
		}
		for vm, seen := range m.Holders {
			if seen > sinceEnd {
				continue
			}
			if holder, ok := s.answers[vm]; !ok || holder.Running < sinceEnd {
				return false
			}
		}
	}
	return watchers > 0 && 2*watchers >= s.daemons
}

// watchLease records the current holder and the live daemons.
func (d *duties) watchLease() {
	holder := ""
	if s, ok := d.machine.Observation(); ok && s.Term != hosting.NoOffset {
		holder = s.VM
	}
	d.watch.tick(bootNow(), holder, d.live.IDs())
}

// askClosed asks all live daemons which windows are closed.
func (d *duties) askClosed(term int64) {
	d.survey = &closedSurvey{term: term, daemons: max(len(d.watch.peers), 1), answers: map[string]*ClosedWindows{}}
	for _, vm := range d.live.IDs() {
		if vm != d.vm {
			d.send(vm, &ClosedInquiry{Term: term})
		}
	}
}

// answerClosed answers an inquiry.
func (d *duties) answerClosed(from string, m *ClosedInquiry) {
	out := d.watch.answer(bootNow(), m.Term)
	out.Closed = d.ledger.Noted()
	d.send(from, out)
}

// closedAnswered applies an answer. Answers to inquiries of earlier terms may lack windows
// that were closed since.
func (d *duties) closedAnswered(from string, m *ClosedWindows) {
	d.ledger.NoteClosed(m.Closed)
	if d.survey != nil && d.survey.term == m.Term {
		d.survey.answers[from] = m
	}
}

// restoreClosed completes the loaded ledger with the answers.
func (d *duties) restoreClosed() {
	s := d.survey
	d.survey = nil
	s.answers[d.vm] = d.watch.answer(bootNow(), s.term)
	skipped := d.ledger.Restore(d.clock.Now(), s.open)
	for _, c := range d.ledger.Unreported() {
		d.reportable[c.Window] = true
	}
	fields := []event.Field{event.F("answers", formatInt(int64(len(s.answers)))), event.F("daemons", formatInt(int64(s.daemons)))}
	if skipped > 0 {
		d.events.Record(event.KindFault, "usage_windows_skipped", formatInt(int64(skipped)), fields...)
		return
	}
	d.events.Record(event.KindConfig, "usage_windows_restored", "", fields...)
}
