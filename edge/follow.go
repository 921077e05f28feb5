package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// followWait is the maximum wait of one long-poll read of a topic. It bounds the
	// time for which a stalled connection hides a change.
	followWait = 800 * time.Millisecond
	// quarantineWait is followWait for quarantines, of which daemons also tell each
	// other, and for versions, which are also read when they matter.
	quarantineWait = 8 * time.Second
	// followRetry is the mean pause after a failed read.
	followRetry = 200 * time.Millisecond
	// failedReadsPerSecond bounds the failed reads of a topic by all daemons together.
	// While a store refuses calls, more of them don't show its return sooner: the first
	// daemon that can read tells the others.
	failedReadsPerSecond = 50
	// maxFollowRetry bounds the mean pause of a daemon between failed reads. A daemon
	// without connections to others depends on its own reads.
	maxFollowRetry = 1500 * time.Millisecond
	// serverReadSpacing is the minimum time between two reads of the list of servers by
	// one daemon. Each server writes its entry about once a second, and a read returns
	// with the first new record, so that reads without a pause return one record each.
	// Leaving servers need to be known within the seconds of their drain time.
	serverReadSpacing = 100 * time.Millisecond
	// followTimeout is the time beyond followWait after which a read fails.
	followTimeout = 700 * time.Millisecond
)

// follower reads a keyed topic while it is enabled and passes the records on in
// the order of their offsets.
type follower struct {
	topics hosting.Topics
	topic  hosting.Topic
	events *event.Recorder
	// wait is the maximum wait of one read.
	wait time.Duration
	// spacing is the minimum time between the starts of two reads.
	spacing time.Duration
	// onPage receives each page. If reset is set, the page holds the newest record
	// of each key, which happens at the start and after records were trimmed.
	// Otherwise it holds the records that follow the known ones, possibly none.
	onPage func(page hosting.KeyedPage, reset bool)

	enabled atomic.Bool
	wake    chan struct{}
	// knownEnd is the end offset of the known records, including those from peers.
	knownEnd atomic.Int64
	// retryLimit is the mean pause in nanoseconds up to which the pause after failed
	// reads grows.
	retryLimit atomic.Int64
	// trimmed is set if the store no longer has the records from knownEnd on.
	trimmed bool
	failed  bool
}

// readRetryLimit returns the mean pause up to which one of n daemons increases its pause
// after failed reads of a topic. The readers of a topic keep to the shortest one.
func readRetryLimit(reader bool, n int) time.Duration {
	if reader {
		return followRetry
	}
	return min(max(followRetry, time.Duration(n)*time.Second/failedReadsPerSecond), maxFollowRetry)
}

func newFollower(topics hosting.Topics, topic hosting.Topic, events *event.Recorder, onPage func(hosting.KeyedPage, bool)) *follower {
	f := &follower{topics: topics, topic: topic, events: events, wait: followWait, onPage: onPage, wake: make(chan struct{}, 1)}
	f.knownEnd.Store(hosting.NoOffset)
	f.retryLimit.Store(int64(followRetry))
	return f
}

// setEnabled starts or stops the reading. A read in progress is not interrupted.
func (f *follower) setEnabled(enabled bool) {
	if f.enabled.Swap(enabled) == enabled || !enabled {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// setKnownEnd sets the offset from which the next read continues.
func (f *follower) setKnownEnd(end int64) { f.knownEnd.Store(end) }

func (f *follower) run(ctx context.Context) {
	// The first read, and those after a failure, don't wait for new records: their
	// answer shows that the store can be read and that there are none.
	wait, pause := time.Duration(0), followRetry
	for ctx.Err() == nil {
		if !f.enabled.Load() {
			wait = 0
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		begin := time.Now()
		err := f.readOnce(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		f.recordTransition(err)
		if err == nil {
			wait, pause = f.wait, followRetry
			sleep(ctx, f.spacing-time.Since(begin))
			continue
		}
		wait = 0
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, time.Duration(f.retryLimit.Load()))
	}
}

// readOnce makes one read of the topic that waits at most the given time for new
// records.
func (f *follower) readOnce(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+followTimeout)
	defer cancel()
	from := f.knownEnd.Load()
	if from == hosting.NoOffset || f.trimmed {
		page, err := f.topics.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.events.Record(event.KindConfig, "topic_read_anew", f.topic.String(), event.F("known_end", hosting.FormatPosition(from)),
			event.F("end", hosting.FormatPosition(page.End)), event.F("records", formatInt(int64(len(page.Records)))))
		if page.End < from {
			return eris.Errorf("%s ends at %s, before the known end %s", f.topic, hosting.FormatPosition(page.End), hosting.FormatPosition(from))
		}
		f.setKnownEnd(page.End)
		f.trimmed = false
		f.onPage(page, true)
		return nil
	}
	page, err := f.topics.Follow(ctx, f.topic, from, wait)
	var trimmed *hosting.TrimmedError
	var lost *hosting.HistoryError
	if errors.As(err, &trimmed) || errors.As(err, &lost) {
		f.trimmed = true
		return nil
	}
	if err != nil {
		return err
	}
	if page.End < from {
		// The answer lags behind the known records and holds nothing new.
		return nil
	}
	f.setKnownEnd(page.End)
	f.onPage(page, false)
	return nil
}

// recordTransition records an event when reads start to fail and when they
// succeed again.
func (f *follower) recordTransition(err error) {
	if (err != nil) == f.failed {
		return
	}
	f.failed = err != nil
	if f.failed {
		f.events.Record(event.KindFault, "topic_lost", f.topic.String(), event.F("error", err.Error()))
		return
	}
	f.events.Record(event.KindConfig, "topic_regained", f.topic.String())
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
