package record

// Verdict is the decision of a chain about a record.
type Verdict int

// The verdicts.
const (
	// Accepted means that the record became the head and changed the state.
	Accepted Verdict = iota
	// Stale means that the record's predecessor is not the head, or that a
	// genesis is invalid or no longer allowed.
	Stale
	// Rejected means that the record is invalid, or that it named the head but
	// State.Apply refused it.
	Rejected
	// Noted means that the record never moves the head: a checkpoint, an anchor
	// request or an unchained record.
	Noted
	// Pending means that the record was buffered until the chain is anchored.
	Pending
)

// String returns the verdict's name as logged.
func (v Verdict) String() string {
	return [...]string{"accepted", "stale", "rejected", "noted", "pending"}[v]
}

// State is the state of one subject, folded from its accepted records.
type State interface {
	// Apply applies an entry that names the head as its predecessor. It returns
	// false, and changes nothing, if the rules of the subject forbid the record.
	// The result must depend only on the state and the entry.
	Apply(e Entry) bool
	// Snapshot returns the full state in a deterministic encoding.
	Snapshot() []byte
	// Restore replaces the state by a snapshot. On error nothing changes.
	Restore(snapshot []byte) error
	// Reset empties the state after a genesis record at the entry's offset.
	Reset(e Entry)
}

// UnchainedState is a State that also folds records without a predecessor, for
// example the usage deltas that all daemons append concurrently. Such records
// never move the head and do not prove that their author is anchored.
type UnchainedState interface {
	State
	// Unchained reports whether records of this kind have no predecessor.
	Unchained(kind Kind) bool
	// ApplyUnchained folds an unchained record. It must ignore duplicates.
	ApplyUnchained(e Entry)
}

// Decision is the verdict on one entry. Entries that were buffered before the
// chain was anchored are decided when it is, so one call may return several
// decisions.
type Decision struct {
	Entry   Entry
	Verdict Verdict
}

// Chain folds the records of one subject.
//
// Invariants: head and state depend only on the log up to next-1; no record is
// accepted before the chain is anchored.
type Chain struct {
	subject  string
	state    State
	head     int64
	next     int64
	first    int64
	anchored bool
	// maxSeen is the highest Seen of any record that only an anchored author can
	// have written, or the offset of the last accepted genesis. Whether a genesis
	// is accepted depends on it, so it is part of the folded state and of
	// checkpoints.
	maxSeen int64
	// lastRequest is the offset of the last anchor request.
	lastRequest int64
	// lastAnswered is the highest Seen of any complete checkpoint, or the offset
	// of the last accepted genesis. Anchor requests up to it are answered.
	lastAnswered int64
	buffer       []Entry
	// lastPendingGenesis is the offset of the last buffered genesis, which can be
	// decided only once the chain is anchored.
	lastPendingGenesis int64
	parts              partBuffer
}

// NewChain returns a chain for a reader whose first readable offset is first.
// A chain that starts at offset 0 is anchored from the start, with the empty
// state.
func NewChain(subject string, state State, first int64) *Chain {
	return &Chain{
		subject:            subject,
		state:              state,
		head:               NoOffset,
		next:               first,
		first:              first,
		anchored:           first == 0,
		maxSeen:            NoOffset,
		lastRequest:        NoOffset,
		lastAnswered:       NoOffset,
		lastPendingGenesis: NoOffset,
	}
}

// Subject returns the chain's subject.
func (c *Chain) Subject() string { return c.subject }

// Head returns the offset of the last accepted record, or NoOffset.
func (c *Chain) Head() int64 { return c.head }

// Anchored reports whether the chain knows its head and state.
func (c *Chain) Anchored() bool { return c.anchored }

// Seen returns the highest offset that the chain has folded.
func (c *Chain) Seen() int64 { return c.next - 1 }

// OpenRequest returns the offset of the last anchor request if no complete
// checkpoint has answered it, or NoOffset. A renewal is not an answer: it proves
// that its author is anchored but leaves the requesting reader unanchored.
func (c *Chain) OpenRequest() int64 {
	if c.lastRequest > c.lastAnswered {
		return c.lastRequest
	}
	return NoOffset
}

// GenesisAllowed reports whether a genesis that names the request would be
// accepted if it were the next record.
func (c *Chain) GenesisAllowed(request int64) bool {
	return request >= c.first && c.maxSeen < request && c.lastPendingGenesis <= request
}

// Advance marks all offsets below next as read. Those that were not passed to
// Apply hold no record of this subject.
func (c *Chain) Advance(next int64) {
	c.next = max(c.next, next)
}

// Apply folds one entry. Entries must come in offset order; an offset that was
// already folded is ignored.
func (c *Chain) Apply(e Entry) []Decision {
	if e.Offset < c.next {
		return nil
	}
	c.next = e.Offset + 1
	if e.Seen >= e.Offset {
		// An author cannot have read its own record before writing it. Taking
		// this value into maxSeen would block every later genesis.
		return []Decision{{e, Rejected}}
	}
	if e.Kind == KindAnchorRequest {
		c.lastRequest = e.Offset
		return []Decision{{e, Noted}}
	}
	if c.anchored {
		return []Decision{{e, c.decide(e)}}
	}
	return c.applyUnanchored(e)
}

func (c *Chain) decide(e Entry) Verdict {
	switch e.Kind {
	case KindCheckpoint:
		c.raiseMaxSeen(e)
		if _, complete := c.parts.add(e); complete {
			c.lastAnswered = max(c.lastAnswered, e.Seen)
		}
		return Noted
	case KindGenesis:
		return c.decideGenesis(e)
	}
	if u, ok := c.state.(UnchainedState); ok && u.Unchained(e.Kind) {
		u.ApplyUnchained(e)
		return Noted
	}
	c.raiseMaxSeen(e)
	if e.Prev != c.head {
		return Stale
	}
	if !c.state.Apply(e) {
		return Rejected
	}
	c.head = e.Offset
	return Accepted
}
