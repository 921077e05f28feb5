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

// KeyedRecord is a record of a keyed topic. A nil Value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// KeyedPage is the answer to a read of a keyed topic.
type KeyedPage struct {
	// End is the offset that the next record will get.
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
	return fmt.Sprintf("topic %s ends at offset %d", e.Topic, e.End)
}

// Topics is the platform's store of keyed topics, which keeps the newest record of
// each key indefinitely.
type Topics interface {
	// Put appends a record. If at is not NoOffset, the append takes effect only if
	// the topic ends at that offset; otherwise it fails with *ConflictError and
	// OutcomeRefused. After OutcomeUnknown it may still take effect later, under the
	// same condition.
	Put(ctx context.Context, topic Topic, at int64, record KeyedRecord) (offset int64, outcome Outcome, err error)
	// Follow returns the records from an offset on, waiting at most wait for the
	// first one. It fails with *TrimmedError if some were deleted.
	Follow(ctx context.Context, topic Topic, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Records that are written during
	// the call may be missing; following the topic from End finds them.
	Newest(ctx context.Context, topic Topic) (KeyedPage, error)
}
