// Package lease decides which daemon has authority over a subject's targets.
//
// A lease is stored in the record chain of its subject (package record), so that
// all daemons agree on the term at each offset. State is the lease as folded from
// the chain. Machine is the state machine of one daemon, which may hold the lease
// or be a challenger for it. The machine has no clock and does no I/O: the caller
// passes events in and carries out the returned actions:
//
//	m := lease.NewMachine(lease.Default(), self, chain, &state.Lease)
//	for ev := range events { // one goroutine
//		for _, a := range m.Step(time.Now(), ev) {
//			switch a := a.(type) {
//			case lease.Append:  // start the append, later step with Appended
//			case lease.Gained:  // authority starts
//			case lease.Lost:    // authority has ended
//			case lease.Stopped: // the process may exit
//			}
//		}
//	}
//
// The caller must pass a Tick at least every 100 ms, a Read after each page of
// the log was folded (also an empty one), an Appended for each result of an
// Append, a Rank whenever the set of live daemons changes, a VMList for each new
// VM list, and a Stop before a planned stop. Time values must carry Go's
// monotonic clock reading.
//
// The machines of packages order and usage embed this machine and append their
// records with Submit. Every accepted record of the holder extends its authority.
package lease

import (
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
)

// Config holds the timing parameters of a lease. All daemons must use the same
// Duration, Margin and ClockRate.
type Config struct {
	// Duration is the lease duration, from the time at which the holder sent a
	// record. It includes Margin.
	Duration time.Duration
	// Renewal is the interval at which the holder renews the lease.
	Renewal time.Duration
	// Margin covers writes that are in flight when the authority ends. It must
	// exceed the write deadline plus the network delay.
	Margin time.Duration
	// ClockRate is the maximum rate error of a clock, as a fraction: 0.01 allows
	// a clock to run 1% too fast or too slow.
	ClockRate float64
	// RankDelay is the delay per rank before a claim, a genesis or the answer to
	// an anchor request.
	RankDelay time.Duration
	// DoubtAfter is the time without a response after which an append is in doubt.
	DoubtAfter time.Duration
	// RetryDelay is the delay before the next append after a failed one.
	RetryDelay time.Duration
	// ReadFresh is the maximum age of the last read for a claim, an anchor
	// request or a genesis.
	ReadFresh time.Duration
	// ListLag is the maximum lag of the VM list.
	ListLag time.Duration
	// CheckpointEvery is the interval of the holder's checkpoints, a quarter of
	// the log's retention time.
	CheckpointEvery time.Duration
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		Duration:        6 * time.Second,
		Renewal:         2 * time.Second,
		Margin:          time.Second,
		ClockRate:       0.01,
		RankDelay:       500 * time.Millisecond,
		DoubtAfter:      time.Second,
		RetryDelay:      250 * time.Millisecond,
		ReadFresh:       2 * time.Second,
		ListLag:         30 * time.Second,
		CheckpointEvery: 5 * time.Minute,
	}
}

// Takeover is the time that a challenger waits after it read the holder's last
// record. It allows for a clock that runs too fast by ClockRate.
func (c Config) Takeover() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.ClockRate)) + c.Margin
}

// Identity identifies a process.
type Identity struct {
	// Incarnation is unique per process start.
	Incarnation string
	// VM is the entry VM, which runs at most one process of the system at a time.
	VM string
}

// Event is an input of a Machine.
type Event interface{ leaseEvent() }

type (
	// Tick makes the machine check its timers.
	Tick struct{}
	// Read reports that a page of the log was read and folded. It carries the
	// decisions on the subject's records.
	Read struct{ Decisions []record.Decision }
	// Appended is the result of an Append.
	Appended struct {
		ID string
		// Offset is set with OutcomeDone.
		Offset  int64
		Outcome hosting.Outcome
	}
	// Rank is this daemon's position, from 0, in the rendezvous hashing order of
	// the live daemons. With a negative rank it never claims the lease.
	Rank struct{ Rank int }
	// VMList is a newly fetched VM list, which may lag by Config.ListLag.
	VMList struct{ VMs []string }
	// Stop starts a planned stop: the machine releases the lease, then returns
	// Stopped.
	Stop struct{}
)

func (Tick) leaseEvent()     {}
func (Read) leaseEvent()     {}
func (Appended) leaseEvent() {}
func (Rank) leaseEvent()     {}
func (VMList) leaseEvent()   {}
func (Stop) leaseEvent()     {}

// Action is an output of a Machine.
type Action interface{ LeaseAction() }

type (
	// Append asks for one append to the subject's stream. The caller must not
	// retry it.
	Append struct{ Envelope record.Envelope }
	// Gained reports that authority has started.
	Gained struct{ Term int64 }
	// Lost reports that authority has ended.
	Lost struct{ Term int64 }
	// Stopped reports that a planned stop is complete and the process may exit.
	Stopped struct{}
)

// LeaseAction marks an Action.
func (Append) LeaseAction() {}

// LeaseAction marks an Action.
func (Gained) LeaseAction() {}

// LeaseAction marks an Action.
func (Lost) LeaseAction() {}

// LeaseAction marks an Action.
func (Stopped) LeaseAction() {}

// Authority is the right to write to the subject's targets until End on the local
// clock. The sender checks the clock against End right before each write.
type Authority struct {
	Term int64
	End  time.Time
}
