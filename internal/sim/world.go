// Package sim is a deterministic simulation that runs state machines in virtual
// time against one simulated log. It injects kills, pauses, partitions, lost
// requests and answers, delayed and duplicate appends, outages and trimming, and
// checks that all readers of the log make the same decisions.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// MaxWriteDelay bounds the time from the start of a write to its arrival at the
// target: the write deadline of 500 ms plus the network delay.
const MaxWriteDelay = 900 * time.Millisecond

// TB is the part of testing.TB that the simulation uses.
type TB interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// Machine is a state machine under test.
type Machine interface {
	// Step processes one event and returns the actions to carry out.
	Step(now time.Time, ev any) []any
	// Rebind replaces the chain and the state after the reader was restarted.
	Rebind(chain *record.Chain, state record.State)
	// Authority returns the authority that the machine holds, if any.
	Authority(now time.Time) (lease.Authority, bool)
}

// Hooks connect the simulation to the package under test. PerformAction is needed
// only if the machine has actions besides those of package lease; the hooks below
// it are optional.
type Hooks struct {
	Subject    string
	NewState   func() record.State
	NewMachine func(n *Node) Machine
	// WrapLeaseEvent converts a lease event into an event of the machine.
	WrapLeaseEvent func(ev lease.Event) any
	// PerformAction carries out an action that is not one of package lease.
	PerformAction func(n *Node, action any)
	// Tick runs on each node every 500 ms while the process is not paused.
	Tick func(n *Node)
	// RecordDecided is called for each decided record, once per reader.
	RecordDecided func(n *Node, d record.Decision)
	// RecordStored is called once for each record when it is stored in the log.
	RecordStored func(e record.Entry)
	// Read is called with the decisions of each read, before the machine gets
	// them.
	Read func(n *Node, decisions []record.Decision)
}

// World is one simulation run.
type World struct {
	TB
	Hooks
	Rand  *rand.Rand
	Now   time.Time
	Log   Log
	Nodes []*Node
	// Steps counts the machine steps of all runs that share it.
	Steps *int64

	queue  queue
	seq    int
	nextVM int
	// verdicts and states hold, per log offset, the verdict of the first reader
	// and the state after the record. All other readers must agree with them.
	verdicts map[int64]record.Verdict
	states   map[int64]string
	// vmEvents is the history of the VM list, oldest event first.
	vmEvents []vmEvent
	// PauseRate is the probability of a pause before an action.
	PauseRate float64
	// MaxTerm is the highest term that had authority.
	MaxTerm int64
	// trace holds the latest trace lines, which Fail prints.
	trace []string
}

// vmEvent is the addition of a VM to the VM list or its removal.
type vmEvent struct {
	at     time.Time
	vm     string
	listed bool
}

// NewWorld starts a run with n nodes. The seed fixes all random choices of the
// simulation.
func NewWorld(tb TB, seed uint64, steps *int64, hooks Hooks, n int) *World {
	w := &World{
		TB:       tb,
		Hooks:    hooks,
		Rand:     rand.New(rand.NewPCG(seed, 1)),
		Now:      time.Unix(1_800_000_000, 0),
		Steps:    steps,
		verdicts: map[int64]record.Verdict{},
		states:   map[int64]string{},
		MaxTerm:  record.NoOffset,
	}
	w.Log = Log{world: w, Up: true}
	for range n {
		w.AddVM()
	}
	return w
}

// Fail prints the last 60 trace lines and fails the test.
func (w *World) Fail(format string, args ...any) {
	for _, line := range w.trace[max(0, len(w.trace)-60):] {
		w.Logf("%s", line)
	}
	w.Fatalf("%s", fmt.Sprintf(format, args...))
}

// Trace adds a line with the virtual time, in seconds, to the trace. At least the
// latest 1,000 lines are kept.
func (w *World) Trace(format string, args ...any) {
	if len(w.trace) > 2000 {
		w.trace = append([]string(nil), w.trace[1000:]...)
	}
	elapsed := w.Now.Sub(time.Unix(1_800_000_000, 0))
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", elapsed.Seconds())+fmt.Sprintf(format, args...))
}

// Chance returns true with probability p.
func (w *World) Chance(p float64) bool { return w.Rand.Float64() < p }

// Delay returns a random duration from 0 to d.
func (w *World) Delay(d time.Duration) time.Duration {
	return time.Duration(w.Rand.Int64N(int64(d) + 1))
}

// WriteDelay returns a random delay of one write to a target. 70 % of the delays
// are at most 20 ms, the others up to MaxWriteDelay, so that writes may be
// reordered.
func (w *World) WriteDelay() time.Duration {
	if w.Chance(0.7) {
		return w.Delay(20 * time.Millisecond)
	}
	return w.Delay(MaxWriteDelay)
}

// scheduledCall is a function that is scheduled for a time. seq keeps the order of calls
// with equal times.
type scheduledCall struct {
	at  time.Time
	seq int
	fn  func()
}

// queue is a heap of scheduled calls, earliest first.
type queue []scheduledCall

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// At runs fn after the delay, in virtual time. It does not depend on any node.
func (w *World) At(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, scheduledCall{w.Now.Add(delay), w.seq, fn})
}

// Advance moves the virtual time forward by d and runs the calls that are due.
func (w *World) Advance(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduledCall)
		w.Now = next.at
		next.fn()
	}
	w.Now = end
}

// Holders returns the live nodes, paused ones included, whose machines currently
// claim to hold the authority.
func (w *World) Holders() []*Node {
	var holders []*Node
	for _, n := range w.Nodes {
		if !n.Alive {
			continue
		}
		if _, ok := n.Machine.Authority(n.Clock()); ok {
			holders = append(holders, n)
		}
	}
	return holders
}

// checkAuthority checks the safety properties P3, P5 and P6: at most one process
// claims the authority at any time, and the lease terms never decrease.
func (w *World) checkAuthority() {
	holders := w.Holders()
	if len(holders) > 1 {
		w.Fail("%s and %s both hold the authority", holders[0].Self.Incarnation, holders[1].Self.Incarnation)
	}
	for _, n := range holders {
		a, _ := n.Machine.Authority(n.Clock())
		if a.Term < w.MaxTerm {
			w.Fail("%s has authority with term %d after term %d", n.Self.Incarnation, a.Term, w.MaxTerm)
		}
		w.MaxTerm = a.Term
	}
}

// vmListAt returns the VM list as of the given time.
func (w *World) vmListAt(asOf time.Time) []string {
	last := map[string]bool{}
	var vms []string
	for _, e := range w.vmEvents {
		if e.at.After(asOf) {
			break
		}
		last[e.vm] = e.listed
	}
	for _, e := range w.vmEvents {
		if last[e.vm] {
			vms = append(vms, e.vm)
			last[e.vm] = false
		}
	}
	return vms
}

// checkAgreement fails the run if two readers disagree on the verdict of a record
// or on the state after the same offset.
func (w *World) checkAgreement(n *Node, decisions []record.Decision) {
	for _, d := range decisions {
		if d.Verdict == record.Pending {
			continue
		}
		if known, ok := w.verdicts[d.Entry.Offset]; ok && known != d.Verdict {
			w.Fail("%s decided %v for offset %d (%s), another reader %v",
				n.Self.Incarnation, d.Verdict, d.Entry.Offset, d.Entry.Kind, known)
		}
		w.verdicts[d.Entry.Offset] = d.Verdict
		if w.RecordDecided != nil {
			w.RecordDecided(n, d)
		}
	}
	if !n.Chain.Anchored() || n.compared == n.Chain.Seen() {
		return
	}
	n.compared = n.Chain.Seen()
	state := fmt.Sprintf("%d %x", n.Chain.Head(), n.State.Snapshot())
	if known, ok := w.states[n.Chain.Seen()]; ok && known != state {
		w.Fail("%s has a different state at offset %d:\n%s\n%s", n.Self.Incarnation, n.Chain.Seen(), state, known)
	}
	w.states[n.Chain.Seen()] = state
}
