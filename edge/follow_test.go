package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// memoryTopics is a keyed topic in memory whose records can be trimmed and whose
// calls can fail.
type memoryTopics struct {
	mu      sync.Mutex
	records []hosting.KeyedRecord
	first   int64
	// history is the history of all positions.
	history int64
	down    bool
	// refused is the number of reads that have failed because down is set.
	refused int
	changed chan struct{}
}

var errDown = errors.New("down")

func newMemoryTopics() *memoryTopics { return &memoryTopics{changed: make(chan struct{})} }

func (m *memoryTopics) put(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, hosting.KeyedRecord{Key: key, Value: []byte("v"), Offset: int64(len(m.records))})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryTopics) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// end returns the position behind the last record. The caller holds the mutex.
func (m *memoryTopics) end() int64 { return hosting.Position(m.history, int64(len(m.records))) }

func (m *memoryTopics) Put(_ context.Context, topic hosting.Topic, at int64, r hosting.KeyedRecord) (int64, hosting.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.end()
	switch {
	case m.down:
		return 0, hosting.OutcomeRefused, errDown
	case at != hosting.NoOffset && at != end:
		return 0, hosting.OutcomeRefused, &hosting.ConflictError{Topic: topic, End: end}
	}
	r.Offset = end
	m.records = append(m.records, r)
	close(m.changed)
	m.changed = make(chan struct{})
	return end, hosting.OutcomeDone, nil
}

func (m *memoryTopics) Follow(ctx context.Context, topic hosting.Topic, from int64, wait time.Duration) (hosting.KeyedPage, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		changed, end := m.changed, m.end()
		records, first, down := m.records, m.first, m.down
		if down {
			m.refused++
		}
		m.mu.Unlock()
		switch {
		case down:
			return hosting.KeyedPage{}, errDown
		case from < first:
			return hosting.KeyedPage{}, &hosting.TrimmedError{Stream: topic.String(), First: first}
		case from < end:
			return hosting.KeyedPage{End: end, Records: records[hosting.OffsetIn(from):]}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return hosting.KeyedPage{End: end}, nil
		case <-ctx.Done():
			return hosting.KeyedPage{}, ctx.Err()
		}
	}
}

func (m *memoryTopics) Newest(context.Context, hosting.Topic) (hosting.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		m.refused++
		return hosting.KeyedPage{}, errDown
	}
	return hosting.KeyedPage{End: m.end(), Records: m.records}, nil
}

// Guards against records that are lost or late when the store fails, when it
// trims its history, or when a record arrives while no read is open. Also guards
// against reading records again that peers have delivered.
func TestFollowerDeliversEveryRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topics := newMemoryTopics()
		topics.put("before")
		events := event.NewRecorder(hlc.New(time.Now), "test", nil, zerolog.Nop())
		seen := map[string]bool{}
		f := newFollower(topics, hosting.Topic{Name: "t"}, events, func(page hosting.KeyedPage, _ bool) {
			for _, r := range page.Records {
				seen[r.Key] = true
			}
		})
		f.setEnabled(true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.run(ctx); close(done) }()

		expect := func(key string, within time.Duration) {
			t.Helper()
			time.Sleep(within)
			synctest.Wait()
			if !seen[key] {
				t.Fatalf("record %q was not delivered within %v", key, within)
			}
		}
		expect("before", time.Millisecond)
		topics.put("live")
		expect("live", time.Millisecond)
		topics.set(func() { topics.down = true })
		time.Sleep(5 * time.Second)
		topics.put("while down")
		topics.set(func() { topics.down = false })
		expect("while down", 2*followRetry)
		topics.set(func() { topics.first = int64(len(topics.records)) + 1 })
		topics.put("trimmed")
		expect("trimmed", followWait+2*followRetry)
		f.setEnabled(false)
		time.Sleep(2 * followWait)
		f.setKnownEnd(int64(len(topics.records)) + 1)
		topics.put("known from a peer")
		f.setEnabled(true)
		topics.put("after that")
		expect("after that", time.Millisecond)
		if seen["known from a peer"] {
			t.Error("the follower read a record again that a peer had delivered")
		}
		cancel()
		<-done
		events.Close()
	})
}

// Guards against a store that counts as unavailable although it answers: a daemon that
// begins to read a topic, or whose reads have failed, must not wait for a new record
// before it knows that there is none.
func TestFirstReadAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topics := newMemoryTopics()
		topics.put("known")
		events := event.NewRecorder(hlc.New(time.Now), "test", nil, zerolog.Nop())
		var last atomic.Int64
		f := newFollower(topics, hosting.Topic{Name: "t"}, events, func(hosting.KeyedPage, bool) { last.Store(time.Now().UnixNano()) })
		f.setKnownEnd(1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.run(ctx); close(done) }()
		expectAnswer := func(what string, within time.Duration) {
			t.Helper()
			begin := time.Now()
			time.Sleep(within)
			synctest.Wait()
			if last.Load() < begin.UnixNano() {
				t.Errorf("no answer within %v of %s", within, what)
			}
		}
		f.setEnabled(true)
		expectAnswer("the start", time.Millisecond)
		f.setEnabled(false)
		time.Sleep(2 * followWait)
		f.setEnabled(true)
		expectAnswer("the next start", time.Millisecond)
		topics.set(func() { topics.down = true })
		time.Sleep(2 * followWait)
		topics.set(func() { topics.down = false })
		expectAnswer("the end of an outage", 2*followRetry)
		cancel()
		<-done
		events.Close()
	})
}

// Guards against a store that is kept busy by refused calls: each of many daemons
// repeated a failed read five times a second. The first daemon must still notice the
// store's return as soon as a single one would.
func TestManyDaemonsRepeatFailedReadsSlowly(t *testing.T) {
	const daemons, outage = 65, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		topics := newMemoryTopics()
		topics.down = true
		events := event.NewRecorder(hlc.New(time.Now), "test", nil, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var answered atomic.Int64
		for i := range daemons {
			f := newFollower(topics, hosting.Topic{Name: "t"}, events, func(hosting.KeyedPage, bool) { answered.Add(1) })
			f.retryLimit.Store(int64(readRetryLimit(i < readersPerTopic, daemons)))
			f.setEnabled(true)
			running.Go(func() { f.run(ctx) })
		}
		time.Sleep(outage)
		const growth = 5 // Failed reads of a daemon before its pause has grown.
		readers := readersPerTopic * int(outage/followRetry)
		refused := 0
		topics.set(func() { refused, topics.down = topics.refused, false })
		if limit := failedReadsPerSecond*int(outage.Seconds()) + growth*daemons + readers; refused > limit {
			t.Errorf("%d reads were refused within %v, want at most %d", refused, outage, limit)
		}
		time.Sleep(2 * followRetry)
		synctest.Wait()
		if answered.Load() == 0 {
			t.Errorf("no daemon noticed the store's return within %v", 2*followRetry)
		}
		cancel()
		running.Wait()
		events.Close()
	})
}

// Guards against a call to the store for each record: with a server's entry every 20 ms,
// reads returned one record each. All records must still arrive within the spacing.
func TestSpacedReadsReturnSeveralRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topics := newMemoryTopics()
		events := event.NewRecorder(hlc.New(time.Now), "test", nil, zerolog.Nop())
		var reads, records atomic.Int64
		f := newFollower(topics, hosting.Topic{Name: "t"}, events, func(page hosting.KeyedPage, _ bool) {
			reads.Add(1)
			records.Add(int64(len(page.Records)))
		})
		f.spacing = serverReadSpacing
		f.setEnabled(true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.run(ctx); close(done) }()
		for range 50 {
			topics.put("server")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(serverReadSpacing)
		synctest.Wait()
		if reads.Load() > 12 || records.Load() != 50 {
			t.Errorf("%d reads returned %d of 50 records in 1.1 s, want at most 12 reads", reads.Load(), records.Load())
		}
		cancel()
		<-done
		events.Close()
	})
}
