package versionpin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// readTimeout bounds one read of a topic.
	readTimeout = time.Second
	// minReadSpacing is the minimum time between two shared reads of a topic, and
	// readSpacingPerDaemon the same for each daemon, so that clients that invent request
	// IDs can't use up the calls that the store allows.
	minReadSpacing       = 20 * time.Millisecond
	readSpacingPerDaemon = 3 * time.Millisecond
	// wholePageBytes is the size of a page below which the store has not truncated it.
	wholePageBytes = 512 << 10
)

// sharedRead lets concurrent callers share reads. A caller never shares one that began
// before its call, so that it sees all that the store had acknowledged by then.
type sharedRead struct {
	read    func(ctx context.Context) error
	spacing func() time.Duration

	mu sync.Mutex
	// next is the read that has not begun.
	next    *readCall
	running bool
	began   time.Time
}

type readCall struct {
	done chan struct{}
	err  error
}

// do waits for a read that begins during the call.
func (s *sharedRead) do(ctx, work context.Context) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &readCall{done: make(chan struct{})}
	}
	call := s.next
	if !s.running {
		s.running = true
		go s.run(work)
	}
	s.mu.Unlock()
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "read the topic")
	}
}

func (s *sharedRead) run(work context.Context) {
	for {
		s.mu.Lock()
		if s.next == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		began := s.began
		s.mu.Unlock()
		sleep(work, s.spacing()-time.Since(began))
		s.mu.Lock()
		call := s.next
		s.next, s.began = nil, time.Now()
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(work, readTimeout)
		call.err = s.read(ctx)
		cancel()
		close(call.done)
	}
}

func (p *Pins) readSpacing() time.Duration {
	return max(minReadSpacing, time.Duration(p.Daemons())*readSpacingPerDaemon)
}

// readVersions reads the topic of versions up to its end.
func (p *Pins) readVersions(ctx context.Context) error {
	p.mu.Lock()
	end := p.versions.End()
	p.mu.Unlock()
	if end != hosting.NoOffset {
		page, err := p.Topics.Follow(ctx, p.VersionTopic, end, 0)
		var trimmed *hosting.TrimmedError
		var lost *hosting.HistoryError
		switch {
		case err == nil:
			p.changeVersions(func(now time.Time) { p.versions.Apply(now, page) })
			return nil
		case errors.As(err, &lost):
			p.changeVersions(func(now time.Time) { p.versions.Lost(now, lost.History) })
		case !errors.As(err, &trimmed):
			return err
		}
	}
	begin := time.Now()
	page, err := p.Topics.Newest(ctx, p.VersionTopic)
	if err != nil {
		return err
	}
	p.SetVersions(page, begin)
	return nil
}

// SetVersions passes on a copy of the topic of versions that was up to date at a time.
func (p *Pins) SetVersions(page hosting.KeyedPage, at time.Time) {
	p.changeVersions(func(now time.Time) { p.versions.Replace(now, page, at) })
}

// changeVersions changes what is known of versions, and starts the work that follows.
func (p *Pins) changeVersions(change func(now time.Time)) {
	p.mu.Lock()
	change(time.Now())
	p.mu.Unlock()
	wake(p.flushWake)
	p.confirmServing()
}

// readStreams reads the topic of streams up to its end, from the oldest record that the
// store has and that this daemon has not read.
func (p *Pins) readStreams(ctx context.Context) error {
	p.mu.Lock()
	from, history := p.streamsEnd, p.versions.History()
	p.mu.Unlock()
	if hosting.History(from) != history {
		from = hosting.Position(history, 0)
	}
	for {
		page, err := p.Topics.Follow(ctx, p.StreamTopic, from, 0)
		var trimmed *hosting.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		size := 0
		for _, r := range page.Records {
			size += len(r.Key) + len(r.Value)
			p.applyBatch(r)
		}
		from = page.End
		p.mu.Lock()
		p.streamsEnd = from
		p.mu.Unlock()
		if size < wholePageBytes {
			return nil
		}
	}
}

func (p *Pins) applyBatch(r hosting.KeyedRecord) {
	batch, err := decodeBatch(r.Value)
	if err != nil {
		p.Events.Record(event.KindFault, "streams_unreadable", r.Key, event.F("error", err.Error()))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, group := range batch.Groups {
		for _, request := range group.Requests {
			p.streams.Read(now, group.Service, request, group.Version)
		}
	}
}
