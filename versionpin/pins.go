package versionpin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// confirmTimeout bounds the confirmation of a version, and confirmRetry is the first
	// pause after a failed write, which doubles up to maxConfirmRetry.
	confirmTimeout  = 5 * time.Second
	confirmRetry    = 50 * time.Millisecond
	maxConfirmRetry = 500 * time.Millisecond
	// confirmSpreadPerDaemon is the mean time by which each daemon of the fleet delays a
	// confirmation that no request waits for: one of them writes, the others read it.
	confirmSpreadPerDaemon = 2 * time.Millisecond
	maxConfirmSpread       = 500 * time.Millisecond
	// flushInterval is the minimum time between two batches of a daemon, and
	// flushPerDaemon the same for each daemon of the fleet.
	flushInterval  = 100 * time.Millisecond
	flushPerDaemon = 6 * time.Millisecond
	// maxFlushRetry is the longest pause after a failed batch.
	maxFlushRetry = 2 * time.Second
	// flushMargin is the time that a batch takes to reach the store.
	flushMargin = 30 * time.Millisecond
	// lookupTimeout bounds a look-up.
	lookupTimeout = 1500 * time.Millisecond
	// tickInterval is the time between two checks of what is due.
	tickInterval = time.Second
	// writersPerTick is the mean number of daemons that make a change that is due.
	writersPerTick = 3
)

var (
	confirmsWritten = metrics.NewCounter(`mimosakeel_versionpin_confirms_total{result="written"}`)
	confirmsFailed  = metrics.NewCounter(`mimosakeel_versionpin_confirms_total{result="failed"}`)
	batchesWritten  = metrics.NewCounter(`mimosakeel_versionpin_batches_total{result="written"}`)
	batchesFailed   = metrics.NewCounter(`mimosakeel_versionpin_batches_total{result="failed"}`)
	batchBytes      = metrics.NewCounter(`mimosakeel_versionpin_batch_bytes_total`)
	foundInMemory   = metrics.NewCounter(`mimosakeel_versionpin_lookups_total{result="memory"}`)
	foundOnly       = metrics.NewCounter(`mimosakeel_versionpin_lookups_total{result="only_version"}`)
	foundInStore    = metrics.NewCounter(`mimosakeel_versionpin_lookups_total{result="stream"}`)
	lookupsUnknown  = metrics.NewCounter(`mimosakeel_versionpin_lookups_total{result="unknown"}`)
	lookupsFailed   = metrics.NewCounter(`mimosakeel_versionpin_lookups_total{result="failed"}`)
)

// Config holds the interfaces that Pins uses.
type Config struct {
	Topics hosting.Topics
	// VersionTopic lists the versions of each service, and StreamTopic holds the versions
	// of single streams.
	VersionTopic, StreamTopic hosting.Topic
	VM                        string
	Events                    *event.Recorder
	// Daemons returns the number of daemons.
	Daemons func() int
	// Holders returns up to n daemons that hold copies of this one's streams, and Tell
	// sends them a message without blocking.
	Holders func(n int) []Holder
	Tell    func(vm string, m *Copies)
}

// Pins remembers the versions of streams. It implements dispatch.VersionPins and is
// safe for concurrent use. It works while Run runs, with SetVersions and SetServing
// called at least once a second.
type Pins struct {
	Config
	work        context.Context
	stop        context.CancelFunc
	flushWake   chan struct{}
	copyWake    chan struct{}
	versionRead *sharedRead
	streamRead  *sharedRead

	mu       sync.Mutex
	versions *Versions
	streams  *Streams
	// streamsEnd is the offset up to which the topic of streams was read.
	streamsEnd int64
	confirming map[Version]*confirmation
}

// confirmation is a confirmation in progress.
type confirmation struct {
	done chan struct{}
	err  error
}

// New returns Pins that know nothing yet.
func New(cfg Config) *Pins {
	p := &Pins{Config: cfg, flushWake: make(chan struct{}, 1), copyWake: make(chan struct{}, 1), versions: NewVersions(), streams: NewStreams(),
		streamsEnd: hosting.NoOffset, confirming: map[Version]*confirmation{}}
	if p.Holders == nil {
		p.Holders, p.Tell = func(int) []Holder { return nil }, func(string, *Copies) {}
	}
	p.work, p.stop = context.WithCancel(context.Background())
	p.versionRead = &sharedRead{read: p.readVersions, spacing: p.readSpacing}
	p.streamRead = &sharedRead{read: p.readStreams, spacing: p.readSpacing}
	return p
}

// Run keeps the copies of the topics until the context ends.
func (p *Pins) Run(ctx context.Context) {
	defer p.stop()
	var flushing sync.WaitGroup
	flushing.Go(func() { p.flush(ctx) })
	flushing.Go(func() { p.copyStreams(ctx) })
	for ctx.Err() == nil {
		sleep(ctx, tickInterval)
		p.tick(ctx)
	}
	flushing.Wait()
}

// SetServing sets the versions that servers have and the longest time that a stream may
// take. fresh is set if the list of servers is known to be up to date.
func (p *Pins) SetServing(serving map[Version]bool, longestStream time.Duration, fresh bool) {
	p.changeVersions(func(now time.Time) {
		p.versions.LongestStream, p.streams.LongestStream = longestStream, longestStream
		p.versions.SetServing(now, serving, fresh)
	})
}

// confirmServing confirms the versions of servers in the background.
func (p *Pins) confirmServing() {
	p.mu.Lock()
	unconfirmed := p.versions.Unconfirmed()
	for _, v := range unconfirmed {
		if p.confirming[v] == nil {
			p.startConfirming(v, jitter(min(time.Duration(p.Daemons())*confirmSpreadPerDaemon, maxConfirmSpread)))
		}
	}
	p.mu.Unlock()
}

// Confirm implements dispatch.VersionPins.
func (p *Pins) Confirm(ctx context.Context, service, version string) error {
	v := Version{Service: service, Name: version}
	p.mu.Lock()
	if p.versions.Confirmed(v) {
		p.mu.Unlock()
		return nil
	}
	c := p.confirming[v]
	if c == nil {
		c = p.startConfirming(v, 0)
	}
	p.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "confirm version %s of %s", version, service)
	}
}

// startConfirming confirms a version after a delay. The caller holds mu.
func (p *Pins) startConfirming(v Version, delay time.Duration) *confirmation {
	c := &confirmation{done: make(chan struct{})}
	p.confirming[v] = c
	go func() {
		sleep(p.work, delay)
		err := p.confirm(v)
		p.mu.Lock()
		delete(p.confirming, v)
		p.mu.Unlock()
		c.err = err
		close(c.done)
	}()
	return c
}

// confirm makes sure that the topic lists a version.
func (p *Pins) confirm(v Version) error {
	ctx, cancel := context.WithTimeout(p.work, confirmTimeout)
	defer cancel()
	err := eris.New("not tried")
	for pause := confirmRetry; ctx.Err() == nil; pause = min(2*pause, maxConfirmRetry) {
		var confirmed bool
		if confirmed, err = p.tryConfirm(ctx, v); confirmed {
			return nil
		}
		if err != nil {
			confirmsFailed.Inc()
			sleep(ctx, jitter(pause))
		}
	}
	if p.work.Err() == nil {
		p.Events.Record(event.KindFault, "version_not_confirmed", v.Service, event.F("version", v.Name), event.F("error", errorText(err)))
	}
	return eris.Wrapf(err, "confirm version %s of %s", v.Name, v.Service)
}

func (p *Pins) tryConfirm(ctx context.Context, v Version) (bool, error) {
	p.mu.Lock()
	confirmed, unread := p.versions.Confirmed(v), p.versions.End() == hosting.NoOffset
	first, starts := p.versions.StartsEmpty()
	p.mu.Unlock()
	switch {
	case confirmed:
		return true, nil
	case unread:
		return false, p.versionRead.do(ctx, p.work)
	case starts:
		if err := p.write(ctx, first); err != nil {
			return false, err
		}
		return false, p.versionRead.do(ctx, p.work)
	}
	record := versionPut(v, stateServing)
	offset, outcome, err := p.Topics.Put(ctx, p.VersionTopic, hosting.NoOffset, record)
	if outcome != hosting.OutcomeDone {
		return false, eris.Wrapf(err, "write version (%s)", outcome)
	}
	confirmsWritten.Inc()
	p.mu.Lock()
	confirmed = p.versions.Written(time.Now(), record, offset) && p.versions.Confirmed(v)
	p.mu.Unlock()
	p.Events.Record(event.KindConfig, "version_confirmed", v.Service, event.F("version", v.Name), event.F("offset", hosting.FormatPosition(offset)))
	return confirmed, nil
}

// write makes a conditional change of the topic of versions. It succeeds if another
// daemon has changed the topic meanwhile.
func (p *Pins) write(ctx context.Context, w Write) error {
	offset, outcome, err := p.Topics.Put(ctx, p.VersionTopic, w.At, w.Record)
	var conflict *hosting.ConflictError
	switch {
	case outcome == hosting.OutcomeDone:
		p.Events.Record(event.KindConfig, w.What, w.Version.Service, event.F("version", w.Version.Name), event.F("offset", hosting.FormatPosition(offset)))
		return nil
	case eris.As(err, &conflict):
		return nil
	}
	return eris.Wrapf(err, "write %s (%s)", w.What, outcome)
}

// tick makes the changes that are due. Each daemon takes its turn at random, so that
// they seldom conflict.
func (p *Pins) tick(ctx context.Context) {
	p.mu.Lock()
	due := p.versions.Due(time.Now())
	p.mu.Unlock()
	if len(due) == 0 || rand.N(max(p.Daemons(), 1)) >= writersPerTick {
		return
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := p.write(call, due[0]); err != nil {
		p.Events.Record(event.KindFault, "versions_not_written", due[0].Version.Service, event.F("what", due[0].What), event.F("error", err.Error()))
	}
}

// Pin implements dispatch.VersionPins.
func (p *Pins) Pin(service, request, version string) {
	p.mu.Lock()
	p.streams.Pin(time.Now(), service, request, version)
	several := !p.versions.Single(service)
	p.mu.Unlock()
	wake(p.copyWake)
	if several {
		wake(p.flushWake)
	}
}

// wake wakes the goroutine that waits for a channel of capacity 1.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *Pins) flushSpacing() time.Duration {
	return max(flushInterval, time.Duration(p.Daemons())*flushPerDaemon)
}

// flush records the streams of services with several versions in the store. A batch is
// written at once if the last one is old enough.
func (p *Pins) flush(ctx context.Context) {
	failed, pause := false, time.Duration(0)
	for ctx.Err() == nil {
		p.mu.Lock()
		pending, idle := p.streams.Pending(p.needsRecord), tickInterval // Streams may be due again.
		if p.streams.Holding(p.needsRecord) {
			idle = copiesInterval
		}
		p.mu.Unlock()
		if !pending {
			select {
			case <-p.flushWake:
			case <-time.After(idle):
			case <-ctx.Done():
			}
		}
		began := time.Now()
		err := p.writeBatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failed {
			failed = err != nil
			if failed {
				p.Events.Record(event.KindFault, "streams_not_recorded", p.StreamTopic.String(), event.F("error", err.Error()))
			} else {
				p.Events.Record(event.KindConfig, "streams_recorded", p.StreamTopic.String())
			}
		}
		if err == nil {
			pause = p.flushSpacing()
			sleep(ctx, pause-time.Since(began))
			continue
		}
		pause = min(max(2*pause, flushInterval), maxFlushRetry)
		sleep(ctx, jitter(pause))
	}
}

// needsRecord reports whether streams of a service are recorded. The caller holds mu.
func (p *Pins) needsRecord(service string) bool { return !p.versions.Single(service) }

// writeBatch records the streams that need it.
func (p *Pins) writeBatch(ctx context.Context) error {
	p.mu.Lock()
	batch, taken := p.streams.Batch(time.Now(), p.needsRecord)
	p.mu.Unlock()
	if len(taken) == 0 {
		return nil
	}
	value := encode(batch)
	_, outcome, err := p.Topics.Put(ctx, p.StreamTopic, hosting.NoOffset, hosting.KeyedRecord{Key: p.VM, Value: value})
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome != hosting.OutcomeDone {
		batchesFailed.Inc()
		p.streams.NotRecorded(taken)
		return eris.Wrapf(err, "record %d streams (%s)", len(taken), outcome)
	}
	batchesWritten.Inc()
	batchBytes.Add(len(value))
	p.streams.Recorded(time.Now(), taken)
	wake(p.copyWake)
	return nil
}

// errUnknown reports a stream of which no version is known.
var errUnknown = eris.New("no record of the stream's version")

// Lookup implements dispatch.VersionPins.
func (p *Pins) Lookup(ctx context.Context, service, request string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if version, known, err := p.remembered(service, request); known {
		foundInMemory.Inc()
		return version, err
	}
	if err := p.versionRead.do(ctx, p.work); err != nil {
		lookupsFailed.Inc()
		return "", eris.Wrapf(err, "look up the version of stream %s of %s", request, service)
	}
	p.mu.Lock()
	version, only := p.versions.Only(service)
	if only {
		p.streams.Pin(time.Now(), service, request, version)
	}
	p.mu.Unlock()
	if only {
		foundOnly.Inc()
		return version, nil
	}
	// The client may be faster than the record of its stream.
	for _, wait := range []time.Duration{0, p.flushSpacing() + flushMargin} {
		sleep(ctx, wait)
		if err := p.streamRead.do(ctx, p.work); err != nil {
			lookupsFailed.Inc()
			return "", eris.Wrapf(err, "look up the version of stream %s of %s", request, service)
		}
		if version, known, err := p.remembered(service, request); known {
			foundInStore.Inc()
			return version, err
		}
	}
	lookupsUnknown.Inc()
	return "", errUnknown
}

// remembered returns what is known of a stream without the store.
func (p *Pins) remembered(service, request string) (version string, known bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams.Lookup(service, request)
}

// jitter returns a random time around d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
