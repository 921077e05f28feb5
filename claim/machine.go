package claim

import (
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

// Config holds the limits of a Machine. Zero fields get the defaults.
type Config struct {
	// Spacing is the minimum time between two appends; default 100 ms. Together
	// with batching it limits the load on the log.
	Spacing time.Duration
	// ReadBack is the time after which claims and outcomes that were not read back
	// are written again; default 2 s.
	ReadBack time.Duration
	// MaxPending is the maximum number of requests that wait for a decision; default
	// 10,000.
	MaxPending int
	// MaxWait is the maximum time that a request waits, even if its deadline is
	// later; default 1 min. It must be shorter than the log's retention: a claim
	// that was trimmed while its request waited must not be granted.
	MaxWait time.Duration
	// MaxOutcomeBytes is the maximum total size of the bodies of outcomes that wait
	// for the log. Above it, outcomes keep only the digest and the size of the body.
	// Default 4 MiB.
	MaxOutcomeBytes int
}

func (c *Config) setDefaults() {
	if c.Spacing == 0 {
		c.Spacing = 100 * time.Millisecond
	}
	if c.ReadBack == 0 {
		c.ReadBack = 2 * time.Second
	}
	if c.MaxPending == 0 {
		c.MaxPending = 10_000
	}
	if c.MaxWait == 0 {
		c.MaxWait = time.Minute
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = 4 << 20
	}
}

// waiter is a request that waits for a decision.
type waiter struct {
	ticket   uint64
	request  Request
	deadline time.Time
	// claim is the ID of the waiter's own claim, or "" while it only waits for the
	// claim of another request.
	claim string
	// sent is set when the claim may be in the log.
	sent bool
	// resendAt is the time at which the claim is queued again unless it was read
	// back. It is zero while the claim is queued or in an append in progress.
	// Readers ignore a repeated claim.
	resendAt time.Time
}

// pendingOutcome is an outcome that was not read back yet.
type pendingOutcome struct {
	body outcomeBody
	// resendAt is the time at which the outcome is sent again unless it was read
	// back. It is zero while no append of it has ended, and after a refused one.
	resendAt time.Time
}

// Machine decides the requests of one shard for one daemon. It has no clock, does
// no I/O and starts no goroutines.
//
// Invariants:
//   - A request is granted only when its own claim was read back and holds the
//     key, and at most once per claim.
//   - A request with any other decision never runs; its claim is released if it
//     reaches the log.
//   - Every granted claim gets exactly one outcome, which is written repeatedly
//     until it was read back.
type Machine struct {
	config Config
	owner  string
	stream string
	fold   *fold

	logUp    bool
	sequence uint64
	waiters  map[uint64]*waiter
	byClaim  map[string]*waiter
	byKey    map[Key]map[uint64]*waiter
	// running holds the granted claims without an outcome.
	running    map[string]claimBody
	goneOwners map[string]struct{}
	// abandoned holds the sent claims whose requests were decided or cancelled
	// before the claim was read back, and the time of the first Tick after that.
	abandoned map[string]time.Time
	// queuedClaims wait for the next append.
	queuedClaims []claimBody
	outcomes     map[string]*pendingOutcome
	// outcomeOrder lists the keys of outcomes in the order in which they are sent.
	outcomeOrder []string
	outcomeBytes int

	inFlight *pendingAppend
	appendAt time.Time
}

// pendingAppend is an append in progress.
type pendingAppend struct {
	id     string
	claims []claimBody
	// outcomes holds the IDs of the claims whose outcomes are in the record.
	outcomes []string
}

// NewMachine returns the machine of a shard for the incarnation owner, which
// reads the stream from the offset first. The log counts as unreachable until the
// first LogState.
func NewMachine(config Config, owner string, shard int, first int64) *Machine {
	config.setDefaults()
	return &Machine{
		config:     config,
		owner:      owner,
		stream:     Stream(shard),
		fold:       newFold(first),
		waiters:    map[uint64]*waiter{},
		byClaim:    map[string]*waiter{},
		byKey:      map[Key]map[uint64]*waiter{},
		running:    map[string]claimBody{},
		goneOwners: map[string]struct{}{},
		outcomes:   map[string]*pendingOutcome{},

		abandoned: map[string]time.Time{},
	}
}

// Next returns the offset of the next record to fold.
func (m *Machine) Next() int64 { return m.fold.next }

// Stopped reports whether a record of a newer format stopped the fold.
func (m *Machine) Stopped() bool { return m.fold.stopped }

// Idle reports whether every granted request has its outcome in the log.
func (m *Machine) Idle() bool { return len(m.running) == 0 && len(m.outcomes) == 0 }

// Step applies one event.
func (m *Machine) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Asked:
		actions = m.handleAsked(now, e)
	case Cancelled:
		if w := m.waiters[e.Ticket]; w != nil {
			m.removeWaiter(w)
		}
	case Finished:
		m.handleFinished(e)
	case RecordRead:
		actions = m.handleRecord(now, e)
	case Trimmed:
		m.fold.trim(e.First)
		actions = m.decideAll(now)
	case AppendEnded:
		m.handleAppendEnded(now, e)
	case LogState:
		actions = m.handleLogState(e)
	case OwnerGone:
		m.goneOwners[e.Owner] = struct{}{}
		actions = m.decideAll(now)
	case Tick:
		actions = m.handleTick(now)
	}
	return append(actions, m.send(now)...)
}

// maxSectionBytes is the maximum size of the claims of a record, and of its
// outcomes. It leaves room for the envelope.
const maxSectionBytes = (record.MaxRecordBytes - 4<<10) / 2
