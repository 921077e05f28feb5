// Package freshness decides whether a daemon may serve requests that need a
// key. A daemon with an outdated table could accept a withdrawn key. It therefore
// serves such requests only while it has a recent proof that it has folded the
// config stream to its end, or while most of the listed VMs, its own included,
// report that they can't reach the log and none reports that it can.
package freshness

import (
	"slices"
	"time"
)

// LogReachability states whether a daemon can read the log.
type LogReachability int

// The values of LogReachability.
const (
	// ReachabilityUnknown means that no read succeeded within the bound and none
	// has failed since the last success.
	ReachabilityUnknown LogReachability = iota
	// Reachable means that a read succeeded within the bound.
	Reachable
	// Unreachable means that no read succeeded within the bound and one has failed
	// since the last success.
	Unreachable
)

// String returns the value as logged.
func (r LogReachability) String() string {
	return [...]string{"unknown", "reachable", "unreachable"}[r]
}

// Statement is the part of a heartbeat that reports what a daemon knows about the
// config stream.
type Statement struct {
	// Next is the highest end of the config stream that the daemon knows of. The
	// end of a stream is the offset of its next record.
	Next int64
	// ProofNext is the end of the config stream according to the daemon's newest
	// proof. Every record accepted earlier than ProofAge ago has a lower offset.
	ProofNext int64
	// ProofAge is negative if the daemon has no proof.
	ProofAge time.Duration
	Log      LogReachability
}

// Event is an input of Tracker.Step.
type Event interface{ isEvent() }

// ReadDone reports a successful read of the config stream.
type ReadDone struct {
	// Sent is the local time immediately before the request was sent.
	Sent time.Time
	// Next is the end of the stream according to the answer.
	Next int64
}

// ReadFailed reports a read that failed or timed out.
type ReadFailed struct {
	Sent time.Time
}

// PeerAnswered reports the receipt of a peer's statement.
type PeerAnswered struct {
	VM string
	// Echo is the local send time of a heartbeat that the peer had received before
	// it made the statement. The statement is therefore newer than Echo, however
	// long it was in transit.
	Echo      time.Time
	Statement Statement
}

// Applied reports that the daemon has folded the config stream up to and
// including offset Next-1. It must not be reported before the chain is anchored.
type Applied struct {
	Next int64
}

// Listed reports the ids of the live VMs in the VM list.
type Listed struct {
	VMs []string
}

func (ReadDone) isEvent()     {}
func (ReadFailed) isEvent()   {}
func (PeerAnswered) isEvent() {}
func (Applied) isEvent()      {}
func (Listed) isEvent()       {}

// Mode states whether requests that need a key are served, and why.
type Mode string

// The modes.
const (
	// ModeFresh serves, because the daemon has folded the stream up to an end that
	// a recent proof confirms.
	ModeFresh Mode = "fresh"
	// ModeOutage serves, because a majority of the listed VMs can't reach the log.
	ModeOutage Mode = "outage"
	// ModeStale refuses, because the table may be outdated.
	ModeStale Mode = "stale"
)

// Action is an output of Tracker.Step.
type Action interface{ isAction() }

// ModeChanged reports that the mode differs from that after the previous step.
type ModeChanged struct {
	From, To Mode
}

func (ModeChanged) isAction() {}

// Permit is the permission to serve requests that need a key. Goroutines that
// handle requests compare it with the current time, so that it also expires while
// the control goroutine is delayed.
type Permit struct {
	Mode Mode
	// Until is the last moment at which the permission is valid; zero for
	// ModeStale.
	Until time.Time
}

// Allows reports whether requests that need a key may be served now.
func (p Permit) Allows(now time.Time) bool {
	return p.Mode != ModeStale && !now.After(p.Until)
}

// proof states that the config stream ended at next at some moment not before at.
// Every record accepted before at therefore has an offset below next.
type proof struct {
	at   time.Time
	next int64
}

// peerAnswer is the log reachability that a peer reported in its newest
// statement.
type peerAnswer struct {
	echo time.Time
	log  LogReachability
}

// Tracker tracks what the daemon knows about the end of the config stream. It
// uses no clock and does no I/O.
//
// Invariant: usable is the newest proof received with next <= applied, apart from
// proofs dropped because of maxProofs.
type Tracker struct {
	self  string
	bound time.Duration
	// applied is the end of the part of the stream that the daemon has folded.
	applied int64
	// highest is the highest end of the stream known from any source.
	highest int64
	usable  proof
	// newest is the newest proof, used in statements.
	newest proof
	// proofs are those whose next is above applied. Each becomes usable once the
	// daemon has folded the stream up to its next.
	proofs     []proof
	lastRead   time.Time
	lastFailed time.Time
	listed     []string
	answers    map[string]peerAnswer
	mode       Mode
}

// maxProofs bounds Tracker.proofs, which grows while the daemon folds a backlog.
const maxProofs = 64

// New returns the tracker of the daemon on VM self. bound is the setting
// config.withdrawal_bound: the longest time for which a proof or a peer's
// statement is valid.
func New(self string, bound time.Duration) *Tracker {
	return &Tracker{self: self, bound: bound, answers: map[string]peerAnswer{}, mode: ModeStale}
}

// Step handles an event and returns the change of the mode, if any. The caller
// must also call Permit after each step, because the end of the permission may
// have moved to an earlier time without a change of the mode.
func (t *Tracker) Step(now time.Time, ev Event) []Action {
	switch e := ev.(type) {
	case ReadDone:
		t.lastRead = later(t.lastRead, e.Sent)
		t.addProof(proof{e.Sent, e.Next})
	case ReadFailed:
		t.lastFailed = later(t.lastFailed, e.Sent)
	case PeerAnswered:
		t.peerAnswered(e)
	case Applied:
		t.apply(e.Next)
	case Listed:
		t.listed = slices.Compact(slices.Sorted(slices.Values(e.VMs)))
	}
	return t.changeMode(t.Permit(now).Mode)
}

func (t *Tracker) changeMode(mode Mode) []Action {
	if mode == t.mode {
		return nil
	}
	changed := ModeChanged{t.mode, mode}
	t.mode = mode
	return []Action{changed}
}

func (t *Tracker) peerAnswered(e PeerAnswered) {
	t.highest = max(t.highest, e.Statement.Next)
	if e.Statement.ProofAge >= 0 {
		t.addProof(proof{e.Echo.Add(-e.Statement.ProofAge), e.Statement.ProofNext})
	}
	if old, known := t.answers[e.VM]; known && old.echo.After(e.Echo) {
		return
	}
	t.answers[e.VM] = peerAnswer{e.Echo, e.Statement.Log}
}

// addProof adds a proof and drops those that it makes redundant: no newer ones
// whose next is not lower.
func (t *Tracker) addProof(p proof) {
	t.highest = max(t.highest, p.next)
	if p.at.After(t.newest.at) {
		t.newest = p
	}
	if p.next <= t.applied {
		t.updateUsable(p)
		return
	}
	t.proofs = slices.DeleteFunc(t.proofs, func(old proof) bool {
		return !old.at.After(p.at) && old.next >= p.next
	})
	t.proofs = append(t.proofs, p)
	if len(t.proofs) > maxProofs {
		t.proofs = t.proofs[1:]
	}
}

func (t *Tracker) updateUsable(p proof) {
	if p.at.After(t.usable.at) {
		t.usable = p
	}
}

func (t *Tracker) apply(next int64) {
	t.applied = max(t.applied, next)
	t.highest = max(t.highest, next)
	t.proofs = slices.DeleteFunc(t.proofs, func(p proof) bool {
		if p.next > t.applied {
			return false
		}
		t.updateUsable(p)
		return true
	})
}

// Statement returns the statement to send to the peers now.
func (t *Tracker) Statement(now time.Time) Statement {
	s := Statement{Next: t.highest, ProofAge: -1, Log: t.logReachability(now)}
	if !t.newest.at.IsZero() {
		s.ProofNext = t.newest.next
		s.ProofAge = max(0, now.Sub(t.newest.at))
	}
	return s
}

// logReachability returns the daemon's own access to the log. A failed read
// doesn't make the log unreachable while the last success is within the bound.
func (t *Tracker) logReachability(now time.Time) LogReachability {
	switch {
	case !t.lastRead.IsZero() && now.Sub(t.lastRead) <= t.bound:
		return Reachable
	case t.lastFailed.After(t.lastRead):
		return Unreachable
	default:
		return ReachabilityUnknown
	}
}

// Permit returns the permission that is valid now.
func (t *Tracker) Permit(now time.Time) Permit {
	fresh := Permit{ModeFresh, t.usable.at.Add(t.bound)}
	if !t.usable.at.IsZero() && fresh.Allows(now) {
		return fresh
	}
	return t.outagePermit(now)
}

// outagePermit returns a permission of ModeOutage if the daemon knows of no record
// that it hasn't folded and has folded at least one, more than half of the listed
// VMs, itself included, have reported within the bound that they can't reach the
// log, and no VM has reported within the bound that it can. Otherwise it returns
// one of ModeStale.
func (t *Tracker) outagePermit(now time.Time) Permit {
	stale := Permit{Mode: ModeStale}
	if t.logReachability(now) != Unreachable || t.highest > t.applied || t.applied == 0 {
		return stale
	}
	var confirmed []time.Time
	if slices.Contains(t.listed, t.self) {
		confirmed = append(confirmed, now)
	}
	for vm, a := range t.answers {
		recent := now.Sub(a.echo) <= t.bound
		switch {
		case vm == t.self || !recent:
		case a.log == Reachable:
			return stale
		case a.log == Unreachable && slices.Contains(t.listed, vm):
			confirmed = append(confirmed, a.echo)
		}
	}
	needed := len(t.listed)/2 + 1
	if len(confirmed) < needed {
		return stale
	}
	slices.SortFunc(confirmed, func(a, b time.Time) int { return b.Compare(a) })
	return Permit{ModeOutage, confirmed[needed-1].Add(t.bound)}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
