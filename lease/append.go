package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
)

// attempt is an append whose record has not been read back yet.
type attempt struct {
	id     string
	prev   int64
	sent   time.Time
	offset int64
	// done is set once the log has confirmed the append at offset.
	done bool
}

// appender tracks the chained appends of one machine. An append whose response
// is lost is in doubt: its record may still enter the log at any time. Another
// append with the same predecessor is safe, because only one of the two records
// is accepted.
type appender struct {
	prefix   string
	seq      int
	inFlight *attempt
	inDoubt  []attempt
	lastSent time.Time
	retryAt  time.Time
}

func newAppender(incarnation, subject string) appender {
	return appender{prefix: incarnation + "/" + subject}
}

func (a *appender) newID() string {
	a.seq++
	return fmt.Sprintf("%s/%d", a.prefix, a.seq)
}

// ready reports whether a chained append may start: none is in flight, and the
// delay after a failed one is over.
func (a *appender) ready(now time.Time, chain *record.Chain) bool {
	if a.inFlight != nil && a.inFlight.done && chain.Seen() >= a.inFlight.offset {
		a.inFlight = nil
	}
	return a.inFlight == nil && !now.Before(a.retryAt)
}

func (a *appender) markSent(now time.Time, e record.Envelope) {
	a.inFlight = &attempt{id: e.ID, prev: e.Prev, sent: now}
	a.lastSent = now
}

func (a *appender) handleResponse(now time.Time, ev Appended, retryDelay time.Duration) {
	if a.inFlight == nil || a.inFlight.id != ev.ID {
		return
	}
	switch ev.Outcome {
	case hosting.OutcomeDone:
		a.inFlight.done = true
		a.inFlight.offset = ev.Offset
	case hosting.OutcomeRefused:
		a.inFlight = nil
		a.retryAt = now.Add(retryDelay)
	default:
		a.markInDoubt()
		a.retryAt = now.Add(retryDelay)
	}
}

func (a *appender) markInDoubt() {
	a.inDoubt = append(a.inDoubt, *a.inFlight)
	a.inFlight = nil
}

// expire marks an append without a response as in doubt.
func (a *appender) expire(now time.Time, after time.Duration) {
	if a.inFlight != nil && !a.inFlight.done && now.Sub(a.inFlight.sent) >= after {
		a.markInDoubt()
	}
}

// readBack returns the time at which the append with the ID was sent, and whether
// it is one of this machine's. It then forgets the append, so that of a
// duplicated record only the first copy counts.
func (a *appender) readBack(id string) (sent time.Time, own bool) {
	if a.inFlight != nil && a.inFlight.id == id {
		sent = a.inFlight.sent
		a.inFlight = nil
		return sent, true
	}
	i := slices.IndexFunc(a.inDoubt, func(d attempt) bool { return d.id == id })
	if i < 0 {
		return time.Time{}, false
	}
	sent = a.inDoubt[i].sent
	a.inDoubt = slices.Delete(a.inDoubt, i, i+1)
	return sent, true
}

// prune forgets appends in doubt whose predecessor is no longer the head, because
// their records can only be stale.
func (a *appender) prune(chain *record.Chain) {
	if !chain.Anchored() {
		return
	}
	a.inDoubt = slices.DeleteFunc(a.inDoubt, func(d attempt) bool { return d.prev != chain.Head() })
}
