package sim

import (
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// Log is the simulated log stream.
type Log struct {
	world *World
	// Up is false during an outage: appends are refused and reads fail.
	Up      bool
	records [][]byte
	// first is the offset of the first record that is not trimmed.
	first int64
	// The fault rates are probabilities, SlowReads per read and the others per
	// append: the answer is lost, the request is lost, the request takes up to
	// 15 s, the record is stored twice, the read takes up to 3 s.
	LoseAnswers, LoseRequests, DelayRequests, DuplicateAppends, SlowReads float64
}

// Len returns the offset of the next record to be appended.
func (l *Log) Len() int64 { return int64(len(l.records)) }

// Trim removes the records with offsets below first.
func (l *Log) Trim(first int64) { l.first = max(l.first, min(first, l.Len())) }

// page returns up to 64 records, starting at offset from.
func (l *Log) page(from int64) hosting.Page {
	p := hosting.Page{First: l.first, Next: l.Len()}
	for o := max(from, l.first); o < l.Len() && len(p.Records) < 64; o++ {
		p.Records = append(p.Records, hosting.Record{Offset: o, Data: l.records[o]})
	}
	return p
}

// append sends a record from a node to the log and the outcome back to the node,
// with the delays and losses of the run.
func (l *Log) append(n *Node, e record.Envelope) {
	w := l.world
	answer := func(offset int64, outcome hosting.Outcome, delay time.Duration) {
		ev := lease.Appended{ID: e.ID, Offset: offset, Outcome: outcome}
		n.Do(delay, func() { n.Step(w.WrapLeaseEvent(ev)) })
	}
	if !n.ToLog || w.Chance(l.LoseRequests) {
		answer(0, hosting.OutcomeUnknown, 800*time.Millisecond)
		return
	}
	delay := w.Delay(20 * time.Millisecond)
	if w.Chance(l.DelayRequests) {
		delay = w.Delay(15 * time.Second)
	}
	if w.Chance(l.DuplicateAppends) {
		w.At(delay+w.Delay(3*time.Second), func() { l.store(n, e) })
	}
	w.At(delay, func() {
		offset, ok := l.store(n, e)
		switch {
		case !n.FromLog || w.Chance(l.LoseAnswers):
			answer(0, hosting.OutcomeUnknown, w.Delay(time.Second))
		case !ok:
			answer(0, hosting.OutcomeRefused, w.Delay(10*time.Millisecond))
		default:
			answer(offset, hosting.OutcomeDone, w.Delay(10*time.Millisecond))
		}
	})
}

// store appends a record to the log and returns its offset. It returns false
// during an outage.
func (l *Log) store(n *Node, e record.Envelope) (int64, bool) {
	if !l.Up {
		return 0, false
	}
	l.records = append(l.records, record.Encode(e))
	l.world.Trace("log[%d] = %s by %s prev %d seen %d id %s", l.Len()-1, e.Kind, e.Author, e.Prev, e.Seen, e.ID)
	if l.world.RecordStored != nil {
		l.world.RecordStored(record.Entry{Offset: l.Len() - 1, Envelope: e})
	}
	return l.Len() - 1, true
}
