package event

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/mimosakeel/mimosakeel/hlc"
)

const (
	// queueLength is the maximum number of events that are queued for a slow file or
	// terminal. Further events are dropped and counted, so that recording never
	// delays a request.
	queueLength = 4096
	// requestLinesPerSecond is the maximum rate of log lines about requests: two lines
	// for each of 100 requests per second.
	requestLinesPerSecond = 200
	// otherLinesPerSecond is the maximum rate of all other log lines. The lines of a
	// starting daemon that learns of 300 backend servers at once fit into one second.
	otherLinesPerSecond = 400
	// flushInterval is the time for which log lines are buffered before they are
	// written together. A killed process loses the lines of that time.
	flushInterval = 100 * time.Millisecond
)

var droppedTotal = metrics.NewCounter("mimosakeel_events_dropped_total")

// Recorder writes the events of one process to its timeline and its log. It is
// safe for concurrent use.
type Recorder struct {
	clock   *hlc.Clock
	process string
	out     io.Writer
	logger  zerolog.Logger
	// buffer holds log lines until they are flushed; nil for a logger that writes
	// each line immediately.
	buffer  *LineBuffer
	queue   chan Event
	dropped atomic.Int64
	done    chan struct{}
	// requests limits the rate of log lines about requests, others that of all other
	// log lines.
	requests, others *rate.Limiter
	// closeMu guards closed. It is held for reading while an event is queued, so that
	// Close does not close the queue at the same time.
	closeMu sync.RWMutex
	closed  bool
}

// NewRecorder starts a recorder that writes its timeline to out; if out is nil, it
// writes none.
func NewRecorder(clock *hlc.Clock, process string, out io.Writer, logger zerolog.Logger) *Recorder {
	return startRecorder(clock, process, out, logger, nil)
}

// NewBufferedRecorder starts a recorder without a timeline whose logger writes to
// lines. It flushes lines within about flushInterval.
func NewBufferedRecorder(clock *hlc.Clock, process string, lines *LineBuffer, logger zerolog.Logger) *Recorder {
	return startRecorder(clock, process, nil, logger, lines)
}

func startRecorder(clock *hlc.Clock, process string, out io.Writer, logger zerolog.Logger, lines *LineBuffer) *Recorder {
	r := &Recorder{
		clock:    clock,
		process:  process,
		out:      out,
		logger:   logger,
		buffer:   lines,
		queue:    make(chan Event, queueLength),
		done:     make(chan struct{}),
		requests: rate.NewLimiter(requestLinesPerSecond, requestLinesPerSecond),
		others:   rate.NewLimiter(otherLinesPerSecond, otherLinesPerSecond),
	}
	go r.write()
	return r
}

// Record queues an event and does not wait for its output. It drops the event if
// the queue is full or the recorder is closed. A nil Recorder records nothing.
func (r *Recorder) Record(kind Kind, what, id string, fields ...Field) {
	if r == nil {
		return
	}
	r.closeMu.RLock()
	defer r.closeMu.RUnlock()
	if r.closed {
		r.drop()
		return
	}
	e := Event{At: r.clock.Now(), Process: r.process, Kind: kind, What: what, ID: id, Fields: fields}
	select {
	case r.queue <- e:
	default:
		r.drop()
	}
}

// drop counts an event that was not queued, a log line above the rate limit, or a
// failed write.
func (r *Recorder) drop() {
	r.dropped.Add(1)
	droppedTotal.Inc()
}

// Dropped returns the number of writes that were dropped: events that were not
// queued, log lines above the rate limit, and failed writes.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the queued events and stops the recorder. Later events are
// dropped.
func (r *Recorder) Close() {
	r.closeMu.Lock()
	first := !r.closed
	r.closed = true
	r.closeMu.Unlock()
	if first {
		close(r.queue)
	}
	<-r.done
}

// write writes the queued events until the queue is closed.
func (r *Recorder) write() {
	defer close(r.done)
	reported := int64(0)
	for e := range r.queue {
		r.writeEvent(e)
		if r.buffer != nil {
			time.Sleep(flushInterval)
			r.writeQueued()
		}
		if dropped := r.dropped.Load(); dropped > reported && len(r.queue) == 0 {
			reported = dropped
			r.reportDropped(dropped)
		}
		if r.buffer != nil && r.buffer.Flush() != nil {
			r.drop()
		}
	}
}

// writeQueued writes the events that are in the queue at the time of the call.
func (r *Recorder) writeQueued() {
	for range len(r.queue) {
		e, ok := <-r.queue
		if !ok {
			return
		}
		r.writeEvent(e)
	}
}

// reportDropped records how many events and lines were dropped since the start.
// The rate limits of the log do not apply to it.
func (r *Recorder) reportDropped(dropped int64) {
	e := Event{
		At:      r.clock.Now(),
		Process: r.process,
		Kind:    KindFault,
		What:    "events_dropped",
		Fields:  []Field{F("dropped", strconv.FormatInt(dropped, 10))},
	}
	r.log(e)
	r.writeTimeline(e)
}

// writeEvent writes an event to the log, within its rate limit, and to the
// timeline.
func (r *Recorder) writeEvent(e Event) {
	limiter := r.others
	if e.Kind == KindRequest {
		limiter = r.requests
	}
	if limiter.Allow() {
		r.log(e)
	} else {
		r.drop()
	}
	r.writeTimeline(e)
}

func (r *Recorder) writeTimeline(e Event) {
	if r.out == nil {
		return
	}
	line := append(Encode(e), '\n')
	if _, err := r.out.Write(line); err != nil {
		r.drop()
	}
}

// maxValueBytes is the length to which the ID and the fields of a log line are
// truncated: clients choose the request ID and the path, which may be as long as
// the limit on request headers permits.
const maxValueBytes = 512

// truncate limits a value to maxValueBytes.
func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}

func (r *Recorder) log(e Event) {
	line := r.logger.Info()
	if e.Kind == KindFault {
		line = r.logger.Warn()
	}
	line = line.Str("at", e.At.String()).Str("process", e.Process).Str("kind", string(e.Kind)).Str("what", e.What)
	if e.ID != "" {
		line = line.Str("id", truncate(e.ID))
	}
	for _, f := range e.Fields {
		line = line.Str(f.Key, truncate(f.Value))
	}
	line.Send()
}
