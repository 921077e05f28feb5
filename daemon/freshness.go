package daemon

import (
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/freshness"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

// keptHeartbeats is the number of own heartbeats whose send times are kept.
// They give a lower bound for the time of the statements of peers.
const keptHeartbeats = 64

// freshnessGate implements gateway.Freshness. Traffic goroutines compare the
// end of the permit with their own clock, so that it also expires if the
// control goroutine is blocked.
type freshnessGate struct {
	permit atomic.Pointer[freshness.Permit]
	// current is the table in force. Before the first table no key is known, and a
	// client with a valid key must not be told that its key is invalid.
	current *table.Current
}

// MayServeKeyed implements gateway.Freshness.
func (g *freshnessGate) MayServeKeyed() bool {
	p := g.permit.Load()
	known := g.current.Load().Version() != record.NoOffset
	return known && p != nil && p.Allows(time.Now())
}

// directRead is the result of a read of the config stream that did not go
// through a peer.
type directRead struct {
	sent time.Time
	next int64
	err  error
}

// freshnessController passes events to the freshness tracker. It belongs to the
// control goroutine.
type freshnessController struct {
	tracker *freshness.Tracker
	gate    *freshnessGate
	events  *Recorder
	// sent holds the send times of the last own heartbeats, indexed by Seq modulo
	// keptHeartbeats.
	sent [keptHeartbeats]time.Time
	seq  uint64
	// lastSeq holds the Seq of the last heartbeat from each peer.
	lastSeq map[string]uint64
}

func newFreshnessController(self string, bound time.Duration, g *freshnessGate, events *Recorder) *freshnessController {
	return &freshnessController{tracker: freshness.New(self, bound), gate: g, events: events, lastSeq: map[string]uint64{}}
}

func (f *freshnessController) handle(now time.Time, ev any) bool {
	switch ev := ev.(type) {
	case directRead:
		f.read(now, ev)
	case vmsListed:
		f.step(now, freshness.Listed{VMs: liveVMs(ev.vms)})
	case peerMessage:
		if beat, ok := ev.message.(*Heartbeat); ok {
			f.heartbeat(now, ev.from, beat)
			return true
		}
		return false
	default:
		return false
	}
	return true
}

func (f *freshnessController) read(now time.Time, r directRead) {
	if r.err != nil {
		f.step(now, freshness.ReadFailed{Sent: r.sent})
		return
	}
	f.step(now, freshness.ReadDone{Sent: r.sent, Next: r.next})
}

// heartbeat passes on the statement of a peer. It ignores a statement that
// echoes none of the kept own heartbeats, because its age is unknown.
func (f *freshnessController) heartbeat(now time.Time, from string, m *Heartbeat) {
	f.lastSeq[from] = m.Seq
	if m.Echo == 0 || m.Echo > f.seq || f.seq-m.Echo >= keptHeartbeats {
		return
	}
	echo := f.sent[m.Echo%keptHeartbeats]
	f.step(now, freshness.PeerAnswered{VM: from, Echo: echo, Statement: m.Statement})
}

// beginRound starts a round of heartbeats and returns its number and the
// statement to send.
func (f *freshnessController) beginRound(now time.Time) (seq uint64, statement freshness.Statement) {
	f.seq++
	f.sent[f.seq%keptHeartbeats] = now
	return f.seq, f.tracker.Statement(now)
}

// applied reports the end of the folded config stream to the tracker.
func (f *freshnessController) applied(now time.Time, next int64) {
	f.step(now, freshness.Applied{Next: next})
}

func (f *freshnessController) step(now time.Time, ev freshness.Event) {
	for _, action := range f.tracker.Step(now, ev) {
		if changed, ok := action.(freshness.ModeChanged); ok {
			f.events.freshness(changed)
		}
	}
	permit := f.tracker.Permit(now)
	f.gate.permit.Store(&permit)
}

func (f *freshnessController) tick(now time.Time) {
	permit := f.tracker.Permit(now)
	f.gate.permit.Store(&permit)
}

func (*freshnessController) membership(time.Time, *member.Set, *member.Set) {}

func liveVMs(vms []hosting.VM) []string {
	var ids []string
	for _, vm := range vms {
		if vm.State == hosting.VMLive {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}
