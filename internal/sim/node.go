package sim

import (
	"errors"
	"fmt"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// Node is one VM and the process that runs on it. Everything that the process
// does is scheduled with Do, so that a pause or a kill can occur between any two
// actions.
type Node struct {
	*World
	Self    lease.Identity
	Alive   bool
	Machine Machine
	Stream  *record.Stream
	Chain   *record.Chain
	State   record.State
	// ToLog and FromLog report whether requests reach the log and answers come
	// back; ToTargets and FromTargets report the same for the targets.
	ToLog, FromLog, ToTargets, FromTargets bool
	// Pauses counts the pauses. A caller compares it with an earlier value to
	// determine whether a pause occurred in between.
	Pauses int
	// PackageState holds data of the package under test; it is cleared at each
	// boot.
	PackageState any

	boots int
	// clockRate is the speed of the node's clock relative to virtual time, and
	// clockSkew its offset at boot.
	clockRate float64
	clockSkew time.Duration
	bootTime  time.Time
	paused    bool
	// deferred holds the functions that became due during a pause.
	deferred       []func()
	readInProgress bool
	rank           int
	rankSent       bool
	retired        bool
	stopping       bool
	// compared is the offset of the last comparison with other readers.
	compared int64
}

// AddVM adds a new VM to the VM list and starts a process on it.
func (w *World) AddVM() *Node {
	w.nextVM++
	n := &Node{World: w, Self: lease.Identity{VM: fmt.Sprintf("vm%d", w.nextVM)}}
	w.Nodes = append(w.Nodes, n)
	w.vmEvents = append(w.vmEvents, vmEvent{w.Now, n.Self.VM, true})
	n.Boot()
	return n
}

// Boot starts the next incarnation of the process, with a new clock error and
// with all network paths restored.
func (n *Node) Boot() {
	n.boots++
	n.Self.Incarnation = fmt.Sprintf("%s/%d", n.Self.VM, n.boots)
	n.Alive, n.paused, n.stopping = true, false, false
	n.deferred, n.readInProgress, n.rankSent = nil, false, false
	n.ToLog, n.FromLog, n.ToTargets, n.FromTargets = true, true, true, true
	n.clockRate = 1 + (n.Rand.Float64()*2-1)*0.0099
	n.clockSkew = n.Delay(2 * time.Second)
	n.bootTime = n.Now
	n.PackageState = nil
	n.restartReader()
	n.Machine = n.NewMachine(n)
	n.Trace("%s boots", n.Self.Incarnation)
	n.every(100*time.Millisecond, func() { n.Step(n.WrapLeaseEvent(lease.Tick{})) })
	n.every(100*time.Millisecond, n.read)
	n.every(500*time.Millisecond, n.updateRank)
	n.every(2*time.Second, n.listVMs)
	if n.Tick != nil {
		n.every(500*time.Millisecond, func() { n.Tick(n) })
	}
}

// Clock returns the time of the node's own clock.
func (n *Node) Clock() time.Time {
	elapsed := n.Now.Sub(n.bootTime)
	return n.bootTime.Add(n.clockSkew + time.Duration(float64(elapsed)*n.clockRate))
}

// Do runs fn in the process after the delay. If the process is paused then, fn
// runs after the pause; if it was killed or rebooted, fn never runs.
func (n *Node) Do(delay time.Duration, fn func()) {
	boot := n.boots
	n.At(delay, func() {
		switch {
		case !n.Alive || n.boots != boot:
		case n.paused:
			n.deferred = append(n.deferred, fn)
		default:
			fn()
		}
	})
}

// DoWithPause is like Do, but the process may be paused immediately before fn, with
// probability PauseRate and for up to 30 s.
func (n *Node) DoWithPause(delay time.Duration, fn func()) {
	n.Do(delay, func() {
		if !n.Chance(n.PauseRate) {
			fn()
			return
		}
		n.Pause()
		n.deferred = append(n.deferred, fn)
		n.At(n.Delay(30*time.Second), n.Resume)
	})
}

// every runs fn repeatedly in the process, each time after the interval d.
func (n *Node) every(d time.Duration, fn func()) {
	n.Do(d, func() {
		fn()
		n.every(d, fn)
	})
}

// Pause suspends the process until Resume.
func (n *Node) Pause() {
	n.paused = n.Alive
	n.Pauses++
	n.Trace("%s pauses", n.Self.Incarnation)
}

// Resume continues a paused process and runs the deferred functions in order.
func (n *Node) Resume() {
	if !n.Alive || !n.paused {
		return
	}
	n.Trace("%s resumes", n.Self.Incarnation)
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for i, fn := range deferred {
		n.Do(time.Duration(i)*time.Microsecond, fn)
	}
}

// Kill ends the process. Messages that it has already sent still arrive.
func (n *Node) Kill() {
	n.Trace("%s is killed", n.Self.Incarnation)
	n.Alive = false
}

// Retire permanently removes a VM whose process has ended from the VM list.
func (n *Node) Retire() {
	if n.Alive || n.retired {
		return
	}
	n.retired = true
	n.vmEvents = append(n.vmEvents, vmEvent{n.Now, n.Self.VM, false})
}

// Retired reports whether the VM was removed from the VM list.
func (n *Node) Retired() bool { return n.retired }

// PlannedStop releases the lease and then ends the process.
func (n *Node) PlannedStop() {
	n.stopping = true
	n.Do(0, func() { n.Step(n.WrapLeaseEvent(lease.Stop{})) })
}

// Step passes one event to the machine and schedules the returned actions, each
// after a random delay of up to 2 ms during which the process may be paused or
// killed.
func (n *Node) Step(ev any) {
	*n.Steps++
	for _, a := range n.Machine.Step(n.Clock(), ev) {
		n.DoWithPause(n.Delay(2*time.Millisecond), func() { n.performAction(a) })
	}
	n.checkAuthority()
}

// Append sends a record to the log. The machine gets the outcome as
// lease.Appended.
func (n *Node) Append(a lease.Append) { n.Log.append(n, a.Envelope) }

// performAction carries out one action of the machine.
func (n *Node) performAction(a any) {
	switch a := a.(type) {
	case lease.Append:
		n.Append(a)
	case lease.Gained:
		n.Trace("%s gains term %d", n.Self.Incarnation, a.Term)
	case lease.Lost:
		n.Trace("%s loses term %d", n.Self.Incarnation, a.Term)
	case lease.Stopped:
		if n.stopping {
			n.Kill()
		}
	default:
		n.PerformAction(n, a)
	}
}

// restartReader discards the folded state and reads the log again from its first
// retained record.
func (n *Node) restartReader() {
	n.Stream = record.NewStream(n.Log.first, func(subject string) record.State {
		if subject != n.Subject {
			return nil
		}
		n.State = n.NewState()
		return n.State
	})
	n.Chain = n.Stream.Chain(n.Subject)
	n.compared = record.NoOffset
}

// read reads one page of the log, unless a read is in progress or the log can't
// be reached.
func (n *Node) read() {
	if n.readInProgress || !n.ToLog {
		return
	}
	n.readInProgress = true
	n.At(n.Delay(10*time.Millisecond), func() {
		if !n.Log.Up || !n.FromLog {
			n.Do(time.Second, func() { n.readInProgress = false })
			return
		}
		page := n.Log.page(n.Stream.Next())
		delay := n.Delay(10 * time.Millisecond)
		if n.Chance(n.Log.SlowReads) {
			delay = n.Delay(3 * time.Second)
		}
		n.Do(delay, func() {
			n.readInProgress = false
			n.fold(page)
		})
	})
}

// fold applies a page to the chain and passes the decisions to the machine. If
// the records after the last read were trimmed, it restarts the reader.
func (n *Node) fold(page hosting.Page) {
	decisions, err := n.Stream.Apply(page)
	if errors.Is(err, record.ErrGap) {
		n.Trace("%s has a gap in the log: records were trimmed before they were read", n.Self.Incarnation)
		n.restartReader()
		n.Machine.Rebind(n.Chain, n.State)
		return
	}
	if err != nil {
		n.Fail("fold: %v", err)
	}
	n.checkAgreement(n, decisions)
	if n.Read != nil {
		n.Read(n, decisions)
	}
	n.Step(n.WrapLeaseEvent(lease.Read{Decisions: decisions}))
}

// updateRank passes the node's rank to the machine if it has changed. The rank is
// the number of earlier nodes that run and are not paused.
func (n *Node) updateRank() {
	rank := 0
	for _, other := range n.Nodes {
		if other == n {
			break
		}
		if other.Alive && !other.paused {
			rank++
		}
	}
	if n.rankSent && rank == n.rank {
		return
	}
	n.rank, n.rankSent = rank, true
	n.Step(n.WrapLeaseEvent(lease.Rank{Rank: rank}))
}

// listVMs passes a VM list that is up to 20 s old to the machine.
func (n *Node) listVMs() {
	vms := n.vmListAt(n.Now.Add(-n.Delay(20 * time.Second)))
	n.Step(n.WrapLeaseEvent(lease.VMList{VMs: vms}))
}
