package versionpin

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// fakeFault is what goes wrong with calls to a fakeStore.
type fakeFault int

const (
	faultNone fakeFault = iota
	faultDown
	// faultLost appends without an answer, and faultLate also does so seconds later.
	faultLost
	faultLate
)

var errFault = errors.New("the store gives no answer")

// keepRecords is the time for which a fakeStore keeps records that are not the newest
// ones of their keys.
const keepRecords = 20 * time.Second

type fakeRecord struct {
	key   string
	value []byte
	at    time.Time
}

// fakeStore is the platform's store. It can continue from an older copy.
type fakeStore struct {
	mu      sync.Mutex
	topics  map[hosting.Topic][]fakeRecord
	changed chan struct{}
	history int64
	fault   fakeFault
	// cut holds the VMs whose calls fail.
	cut map[string]bool
	// latePolls is the VM whose waiting reads are answered a second late.
	latePolls string
	fakeCounts
}

// fakeCounts counts calls that don't wait for records, and the bytes of the values.
type fakeCounts struct{ writes, reads, written, read int }

func newFakeStore() *fakeStore {
	return &fakeStore{topics: map[hosting.Topic][]fakeRecord{}, changed: make(chan struct{}), history: 1, cut: map[string]bool{}}
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) copyTopics() map[hosting.Topic][]fakeRecord {
	out := maps.Clone(s.topics)
	for topic, records := range out {
		out[topic] = slices.Clone(records)
	}
	return out
}

// storeClient is the connection of a VM to a fakeStore. It implements hosting.Topics.
type storeClient struct {
	*fakeStore
	vm string
}

// begin is the start of a call. It returns the fault that the call meets.
func (c storeClient) begin(ctx context.Context) (fakeFault, error) {
	time.Sleep(time.Duration(1+rand.IntN(4)) * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[c.vm] || c.fault == faultDown {
		return faultDown, errFault
	}
	return c.fault, ctx.Err()
}

func (c storeClient) Put(ctx context.Context, topic hosting.Topic, at int64, r hosting.KeyedRecord) (int64, hosting.Outcome, error) {
	fault, err := c.begin(ctx)
	switch {
	case err != nil:
		return 0, hosting.OutcomeUnknown, err
	case fault == faultLate:
		time.AfterFunc(time.Duration(rand.IntN(3000))*time.Millisecond, func() { _, _, _ = c.put(topic, at, r) })
		return 0, hosting.OutcomeUnknown, errFault
	}
	offset, outcome, err := c.put(topic, at, r)
	if fault == faultLost && rand.IntN(2) == 0 {
		return 0, hosting.OutcomeUnknown, errFault
	}
	return offset, outcome, err
}

func (c storeClient) put(topic hosting.Topic, at int64, r hosting.KeyedRecord) (int64, hosting.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.written += len(r.Value)
	end := int64(len(c.topics[topic]))
	if at != hosting.NoOffset && hosting.OffsetIn(at) != end {
		return 0, hosting.OutcomeRefused, &hosting.ConflictError{Topic: topic, End: hosting.Position(c.history, end)}
	}
	c.topics[topic] = append(c.topics[topic], fakeRecord{key: r.Key, value: r.Value, at: time.Now()})
	close(c.changed)
	c.changed = make(chan struct{})
	return hosting.Position(c.history, end), hosting.OutcomeDone, nil
}

func (c storeClient) Follow(ctx context.Context, topic hosting.Topic, from int64, wait time.Duration) (hosting.KeyedPage, error) {
	if _, err := c.begin(ctx); err != nil {
		return hosting.KeyedPage{}, err
	}
	timeout, late := time.After(wait), time.Duration(rand.IntN(300)-200)*time.Millisecond
	c.set(func() {
		if wait == 0 {
			c.reads++
		}
		if c.latePolls == c.vm {
			late = time.Second
		}
	})
	for {
		c.mu.Lock()
		changed, history, records := c.changed, c.history, c.topics[topic]
		c.mu.Unlock()
		end := int64(len(records))
		kept := time.Now().Add(-keepRecords)
		first := int64(sort.Search(len(records), func(i int) bool { return records[i].at.After(kept) }))
		offset := hosting.OffsetIn(from)
		switch {
		case hosting.History(from) != history:
			return hosting.KeyedPage{}, &hosting.HistoryError{Topic: topic, History: history}
		case offset < first:
			return hosting.KeyedPage{}, &hosting.TrimmedError{Stream: topic.String(), First: hosting.Position(history, first)}
		case offset < end && wait > 0 && late > 0:
			time.Sleep(late)
			late = 0
			continue
		case offset < end:
			out := page(history, offset, records[offset:])
			c.set(func() {
				for _, r := range out.Records {
					c.read += len(r.Value)
				}
			})
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page(history, offset, nil), nil
		case <-ctx.Done():
			return hosting.KeyedPage{}, ctx.Err()
		}
	}
}

func page(history, from int64, records []fakeRecord) hosting.KeyedPage {
	out := hosting.KeyedPage{End: hosting.Position(history, from+int64(len(records)))}
	for i, r := range records {
		out.Records = append(out.Records, hosting.KeyedRecord{Key: r.key, Value: r.value, Offset: hosting.Position(history, from+int64(i))})
	}
	return out
}

func (c storeClient) Newest(ctx context.Context, topic hosting.Topic) (hosting.KeyedPage, error) {
	if _, err := c.begin(ctx); err != nil {
		return hosting.KeyedPage{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	out := hosting.KeyedPage{End: hosting.Position(c.history, int64(len(c.topics[topic])))}
	newest := map[string]hosting.KeyedRecord{}
	for i, r := range c.topics[topic] {
		newest[r.key] = hosting.KeyedRecord{Key: r.key, Value: r.value, Offset: hosting.Position(c.history, int64(i))}
	}
	for _, r := range newest {
		if r.Value != nil {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}
