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

// NewCheckpointer returns the keeper of a daemon. author is the daemon's incarnation,
// interval the time between regular checkpoints.
func NewCheckpointer(author string, interval time.Duration) *Checkpointer {
	return &Checkpointer{author: author, interval: interval, rank: -1}
}

// Bind sets the chain that the caller folds. The caller must call it at the
// start and whenever it folds the stream again with a new chain.
func (k *Checkpointer) Bind(chain *record.Chain) { k.chain = chain }

// SetRank sets the daemon's position in the rendezvous order of the live
// daemons, from 0; -1 if it has none, in which case it writes no checkpoints.
func (k *Checkpointer) SetRank(rank int) { k.rank = rank }

// Observe handles one decision of the chain: it notes when an anchor request or
// a checkpoint was read.
func (k *Checkpointer) Observe(now time.Time, d record.Decision) {
	switch d.Entry.Kind {
	case record.KindAnchorRequest:
		k.requestReadAt = now
	case record.KindCheckpoint:
		k.checkpointReadAt = now
	}
}

// Tick returns the records to append now. The caller calls it after each read
// that reached the end of the stream.
func (k *Checkpointer) Tick(now time.Time) []record.Envelope {
	if k.chain == nil {
		return nil
	}
	if !k.chain.Anchored() {
		return k.requestCheckpoint(now)
	}
	if k.checkpointReadAt.IsZero() {
		k.checkpointReadAt = now
	}
	if !k.checkpointDue(now) {
		return nil
	}
	k.wroteAt = now
	return k.chain.Checkpoint(k.author, k.newID, checkpointPartBytes)
}

// checkpointDue reports whether this daemon should write a checkpoint now. The
// daemon of rank 0 writes it first. Each further rank waits longer and writes it
// only if no earlier rank has.
func (k *Checkpointer) checkpointDue(now time.Time) bool {
	if k.rank < 0 || now.Sub(k.wroteAt) < checkpointRetry {
		return false
	}
	delay := time.Duration(k.rank) * answerRankDelay
	if k.chain.OpenRequest() != record.NoOffset {
		return now.Sub(k.requestReadAt) >= delay
	}
	empty := k.chain.Head() == record.NoOffset
	return !empty && now.Sub(k.checkpointReadAt) >= k.interval+delay
}

// requestCheckpoint returns an anchor request, but at most one per anchorRetry.
func (k *Checkpointer) requestCheckpoint(now time.Time) []record.Envelope {
	if now.Sub(k.requestedAt) < anchorRetry {
		return nil
	}
	k.requestedAt = now
	return []record.Envelope{AnchorRequest(k.author, k.newID())}
}

func (k *Checkpointer) newID() string {
	k.sequence++
	return fmt.Sprintf("%s/%s/%d", k.author, Subject, k.sequence)
}
