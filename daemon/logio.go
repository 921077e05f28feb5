package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// readWait is the time for which a read of the log waits for a record. It is
	// well below the default withdrawal bound, because a read proves the head of
	// the log only as of the time at which it was sent.
	readWait = 500 * time.Millisecond
	// readTimeout limits one read, including a read through a peer, so that a
	// silent connection to the log is detected.
	readTimeout = 3 * time.Second
	// readLimit is the maximum number of records of one page.
	readLimit = 512
	// readRetryDelay is the delay before the next read after a failed one.
	readRetryDelay = 200 * time.Millisecond
	// appendTimeout limits one append. The outcome of an append that reaches it is
	// unknown.
	appendTimeout = 2 * time.Second
	// appendQueue is the maximum number of appends of one stream that wait for the
	// log.
	appendQueue = 1024
)

// logPage is a successful read of a stream.
type logPage struct {
	stream string
	// sent is the local time just before the read was sent.
	sent time.Time
	// restarted is true if the reader starts anew at page.First, because it had no
	// position yet or its position was trimmed.
	restarted bool
	page      hosting.Page
}

var readsFailed = metrics.NewCounter("mimosakeel_log_reads_failed_total")

// tailer reads one stream from its start and passes every page to emit.
type tailer struct {
	log    hosting.Log
	stream string
	wait   time.Duration
	emit   func(any)
	// events receives an event when reads start to fail and when they succeed again.
	events  *Recorder
	next    int64
	started bool
	failing bool
}

func (t *tailer) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		t.recordTransition(err)
		if err != nil {
			sleep(ctx, readRetryDelay)
		}
	}
}

// recordTransition counts failed reads, and records only the first of consecutive
// ones and the first that succeeds again.
func (t *tailer) recordTransition(err error) {
	if err != nil {
		readsFailed.Inc()
	}
	if failing := err != nil; failing != t.failing {
		t.failing = failing
		t.events.stream(t.stream, err)
	}
}

// readOnce reads one page. A trimmed position is not an error: the next read
// starts at the first remaining offset.
func (t *tailer) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	page, err := t.log.Read(ctx, t.stream, t.next, readLimit, t.wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		t.next = trimmed.First
		t.started = false
		return nil
	}
	if err != nil {
		return err
	}
	t.emit(logPage{stream: t.stream, sent: sent, restarted: !t.started, page: page})
	t.started = true
	if n := len(page.Records); n > 0 {
		t.next = page.Records[n-1].Offset + 1
	}
	return nil
}

// appendRequest is one record to append.
type appendRequest struct {
	id   string
	data []byte
	// done is called with the result on the appender's goroutine.
	done func(appendResult)
}

// appendResult is the platform's answer to an append.
type appendResult struct {
	stream  string
	id      string
	offset  int64
	outcome hosting.Outcome
	err     error
}

// appender appends the records of one stream, one at a time and in order.
type appender struct {
	log    hosting.Log
	stream string
	queue  chan appendRequest
}

func newAppender(log hosting.Log, stream string) *appender {
	return &appender{log: log, stream: stream, queue: make(chan appendRequest, appendQueue)}
}

// submit queues an append. It returns false if the queue is full; the record is
// then certainly not appended.
func (a *appender) submit(r appendRequest) bool {
	select {
	case a.queue <- r:
		return true
	default:
		return false
	}
}

func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.queue:
			r.done(a.append(ctx, r))
		}
	}
}

func (a *appender) append(ctx context.Context, r appendRequest) appendResult {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, outcome, err := a.log.Append(ctx, a.stream, r.data)
	return appendResult{stream: a.stream, id: r.id, offset: offset, outcome: outcome, err: err}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
