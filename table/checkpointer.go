package table

import (
	"fmt"
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

const (
	// anchorRetry is the shortest time between two anchor requests of one daemon.
	anchorRetry = 2 * time.Second
	// answerRankDelay is the delay per rank before a daemon answers an anchor
	// request, so that usually only one daemon answers.
	answerRankDelay = 300 * time.Millisecond
	// checkpointRetry is the shortest time between two checkpoints of one daemon.
	checkpointRetry = 3 * time.Second
	// checkpointPartBytes is the size of one part of a checkpoint. It leaves room
	// for the envelope in a record and for the message in which daemons relay
	// records to each other.
	checkpointPartBytes = 256 << 10
)

// Checkpointer keeps the config chain readable for daemons that start on a trimmed
// log. It requests a checkpoint while its own chain is not anchored, answers the
// requests of other daemons with a checkpoint, and writes checkpoints at regular
// intervals. It never restarts the chain.
type Checkpointer struct {
	author   string
	interval time.Duration
	chain    *record.Chain
	rank     int
	sequence int

	requestedAt      time.Time
	wroteAt          time.Time
	requestReadAt    time.Time
	checkpointReadAt time.Time
}

// NewCheckpointer returns the checkpointer of a daemon. author is the daemon's
// incarnation, interval the time between regular checkpoints.
func NewCheckpointer(author string, interval time.Duration) *Checkpointer {
	return &Checkpointer{author: author, interval: interval, rank: -1}
}

// Bind sets the chain that the caller folds. The caller must call it at the
// start and whenever it folds the stream again with a new chain.
func (c *Checkpointer) Bind(chain *record.Chain) { c.chain = chain }

// SetRank sets the daemon's position in the rendezvous order of the live
// daemons, from 0; -1 if it has none, in which case it writes no checkpoints.
func (c *Checkpointer) SetRank(rank int) { c.rank = rank }

// Observe handles one decision of the chain: it notes when an anchor request or
// a checkpoint was read.
func (c *Checkpointer) Observe(now time.Time, d record.Decision) {
	switch d.Entry.Kind {
	case record.KindAnchorRequest:
		c.requestReadAt = now
	case record.KindCheckpoint:
		c.checkpointReadAt = now
	}
}

// Tick returns the records to append now. The caller calls it after each read
// that reached the end of the stream.
func (c *Checkpointer) Tick(now time.Time) []record.Envelope {
	if c.chain == nil {
		return nil
	}
	if !c.chain.Anchored() {
		return c.requestCheckpoint(now)
	}
	if c.checkpointReadAt.IsZero() {
		c.checkpointReadAt = now
	}
	if !c.checkpointDue(now) {
		return nil
	}
	c.wroteAt = now
	return c.chain.Checkpoint(c.author, c.newID, checkpointPartBytes)
}

// checkpointDue reports whether this daemon should write a checkpoint now. The
// daemon of rank 0 writes it first. Each further rank waits longer and writes it
// only if no earlier rank has.
func (c *Checkpointer) checkpointDue(now time.Time) bool {
	if c.rank < 0 || now.Sub(c.wroteAt) < checkpointRetry {
		return false
	}
	delay := time.Duration(c.rank) * answerRankDelay
	if c.chain.OpenRequest() != record.NoOffset {
		return now.Sub(c.requestReadAt) >= delay
	}
	empty := c.chain.Head() == record.NoOffset
	return !empty && now.Sub(c.checkpointReadAt) >= c.interval+delay
}

// requestCheckpoint returns an anchor request, but at most one per anchorRetry.
func (c *Checkpointer) requestCheckpoint(now time.Time) []record.Envelope {
	if now.Sub(c.requestedAt) < anchorRetry {
		return nil
	}
	c.requestedAt = now
	return []record.Envelope{AnchorRequest(c.author, c.newID())}
}

func (c *Checkpointer) newID() string {
	c.sequence++
	return fmt.Sprintf("%s/%s/%d", c.author, Subject, c.sequence)
}
