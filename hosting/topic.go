package hosting

import (
	"context"
	"fmt"
	"time"
)

// Topic names one partition of a topic in the platform's store.
type Topic struct {
	Name string
	Part int
}

// String returns the topic as logged.
func (t Topic) String() string { return fmt.Sprintf("%s/%d", t.Name, t.Part) }

// A position is the place of a record in a keyed topic: the number of the store's
// history in the high bits, and the offset in that history in the low ones. If the
// store continues from an older copy of its records, a new history begins, in which
// offsets are given out again. Every position of a history is above those of all
// earlier ones. All offsets of this file are positions.
const (
	offsetBits = 36
	// MaxHistory keeps positions below 2^53: fencing tokens are positions, and some
	// receivers decode numbers as floating point.
	MaxHistory = 1<<(53-offsetBits) - 1
)

// Position returns the position of an offset in a history.
func Position(history, offset int64) int64 { return history<<offsetBits | offset }

// History returns the history of a position. That of NoOffset is below all others.
func History(position int64) int64 { return position >> offsetBits }

// OffsetIn returns the offset of a position in its history.
func OffsetIn(position int64) int64 { return position & (1<<offsetBits - 1) }

// FormatPosition returns a position as HISTORY:OFFSET.
func FormatPosition(position int64) string {
	if position == NoOffset {
		return "none"
	}
	return fmt.Sprintf("%d:%d", History(position), OffsetIn(position))
}

// KeyedRecord is a record of a keyed topic. A nil Value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// KeyedPage is the answer to a read of a keyed topic.
type KeyedPage struct {
	// End is the offset from which on the topic is to be read further.
	End int64
	// Records are in offset order.
	Records []KeyedRecord
}

// ConflictError reports a conditional append at an offset that isn't the
// topic's end.
type ConflictError struct {
	Topic Topic
	End   int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s ends at %s", e.Topic, FormatPosition(e.End))
}

// HistoryError reports a position of an earlier history of the store.
type HistoryError struct {
	Topic Topic
	// History is the store's present history.
	History int64
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("topic %s: the position is from before the store continued from an older copy (history %d)", e.Topic, e.History)
}

// Topics is the platform's store of keyed topics, which keeps the newest record of
// each key indefinitely.
type Topics interface {
	// Put appends a record. If at is not NoOffset, the append takes effect only if
	// the topic ends at that offset; otherwise it fails with *ConflictError and
	// OutcomeRefused. After OutcomeUnknown it may still take effect later, under the
	// same condition. If a new history has begun meanwhile, the append may take effect
	// at the same offset of that history, so that the result differs from at.
	Put(ctx context.Context, topic Topic, at int64, record KeyedRecord) (offset int64, outcome Outcome, err error)
	// Follow returns the records from an offset on, waiting at most wait for the
	// first one. It fails with *TrimmedError if some were deleted, and with
	// *HistoryError if the offset is from an earlier history.
	Follow(ctx context.Context, topic Topic, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Records that are written during
	// the call may be missing; following the topic from End finds them.
	Newest(ctx context.Context, topic Topic) (KeyedPage, error)
}
