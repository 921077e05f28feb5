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
	// queueLength bounds the events that wait for a slow file or terminal. Beyond
	// it events are dropped and counted, so that recording never delays a request.
	queueLength = 4096
	// requestLines is the number of log lines about requests per second: two for
	// each of 100 requests.
	requestLines = 200
	// otherLines is the number of all other log lines per second. The start of a
	// daemon that learns 300 backend servers at once fits into one second.
	otherLines = 400
	// flushInterval is the time for which log lines are collected before they are
	// written at once; a killed process loses the lines of that time.
	flushInterval = 100 * time.Millisecond
)

var droppedTotal = metrics.NewCounter("mimosakeel_events_dropped_total")

// Recorder writes the events of one process to its time line and its log. It is
// safe for concurrent use.
type Recorder struct {
	clock   *hlc.Clock
	process string
	out     io.Writer
	logger  zerolog.Logger
	// collect gathers log lines until flush writes them; nil for a logger that
	// writes each line itself.
	collect *LineBuffer
	queue   chan Event
	dropped atomic.Int64
	done    chan struct{}
	// requests and others bound the lines of the log.
	requests, others *rate.Limiter
	// closing is held for reading while an event is queued.
	closing sync.RWMutex
	closed  bool
}

// NewRecorder starts a recorder. out may be nil to write no time line.
func NewRecorder(clock *hlc.Clock, process string, out io.Writer, logger zerolog.Logger) *Recorder {
	return startRecorder(clock, process, out, logger, nil)
}

// NewBufferedRecorder starts a recorder without a time line whose logger writes
// to lines. Lines reach the output of the buffer within 0.1 s.
func NewBufferedRecorder(clock *hlc.Clock, process string, lines *LineBuffer, logger zerolog.Logger) *Recorder {
	return startRecorder(clock, process, nil, logger, lines)
}

func startRecorder(clock *hlc.Clock, process string, out io.Writer, logger zerolog.Logger, lines *LineBuffer) *Recorder {
	r := &Recorder{
		clock:    clock,
		process:  process,
		out:      out,
		logger:   logger,
		collect:  lines,
		queue:    make(chan Event, queueLength),
		done:     make(chan struct{}),
		requests: rate.NewLimiter(requestLines, requestLines),
		others:   rate.NewLimiter(otherLines, otherLines),
	}
	go r.write()
	return r
}

// Record records an event without waiting for its output. A nil Recorder
// records nothing.
func (r *Recorder) Record(kind Kind, what, id string, fields ...Field) {
	if r == nil {
		return
	}
	r.closing.RLock()
	defer r.closing.RUnlock()
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

func (r *Recorder) drop() {
	r.dropped.Add(1)
	droppedTotal.Inc()
}

// Dropped returns the number of events that weren't written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the queued events and stops the recorder. Later events are
// dropped.
func (r *Recorder) Close() {
	r.closing.Lock()
	first := !r.closed
	r.closed = true
	r.closing.Unlock()
	if first {
		close(r.queue)
	}
	<-r.done
}

func (r *Recorder) write() {
	defer close(r.done)
	reported := int64(0)
	for e := range r.queue {
		r.writeEvent(e)
		if r.collect != nil {
			time.Sleep(flushInterval)
			r.writeQueued()
		}
		if dropped := r.dropped.Load(); dropped > reported && len(r.queue) == 0 {
			reported = dropped
			r.reportDropped(dropped)
		}
		if r.collect != nil && r.collect.Flush() != nil {
			r.drop()
		}
	}
}

// writeQueued writes what is queued now.
func (r *Recorder) writeQueued() {
	for range len(r.queue) {
		e, ok := <-r.queue
		if !ok {
			return
		}
		r.writeEvent(e)
	}
}

// reportDropped tells how many events are missing since the start, whatever the
// bound of the log.
func (r *Recorder) reportDropped(dropped int64) {
	e := Event{
		At:      r.clock.Now(),
		Process: r.process,
		Kind:    KindFault,
		What:    "events_dropped",
		Fields:  []Field{F("dropped", strconv.FormatInt(dropped, 10))},
	}
	r.log(e)
	r.writeTimeLine(e)
}

func (r *Recorder) writeEvent(e Event) {
	lines := r.others
	if e.Kind == KindRequest {
		lines = r.requests
	}
	if lines.Allow() {
		r.log(e)
	} else {
		r.drop()
	}
	r.writeTimeLine(e)
}

func (r *Recorder) writeTimeLine(e Event) {
	if r.out == nil {
		return
	}
	line := append(Encode(e), '\n')
	if _, err := r.out.Write(line); err != nil {
		r.drop()
	}
}

// maxValueBytes bounds one value of a log line: clients choose the request's id
// and path, which may be as long as their headers may.
const maxValueBytes = 512

func cut(value string) string {
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
		line = line.Str("id", cut(e.ID))
	}
	for _, f := range e.Fields {
		line = line.Str(f.Key, cut(f.Value))
	}
	line.Send()
}
