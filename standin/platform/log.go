package platform

import (
	"context"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// maxPageBytes is the size in bytes at which a page of records ends early. It
// keeps the base64 encoding of the page below the limit of the clients.
const maxPageBytes = 8 << 20

// stream is one stream of the log.
type stream struct {
	// first is the offset of the first record that readers can get.
	first   int64
	records []storedRecord
	// trimmed are the trimmed records, if keep is set.
	trimmed []storedRecord
	keep    bool
	// appended is closed and replaced at each append, to wake waiting reads.
	appended chan struct{}
}

// storedRecord is a log record with the time of its append.
type storedRecord struct {
	data []byte
	at   time.Time
}

// next returns the offset of the next append.
func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// logStore stores the streams of the log service. It is safe for concurrent
// use.
type logStore struct {
	mu            sync.Mutex
	streams       map[string]*stream
	retainRecords int
	retainFor     time.Duration
	keepTrimmed   bool
	// quit makes waiting reads return when it is closed.
	quit chan struct{}
}

func newLogStore(config Config) *logStore {
	return &logStore{
		streams:       map[string]*stream{},
		retainRecords: config.RetainRecords,
		retainFor:     config.RetainFor,
		keepTrimmed:   config.KeepTrimmed,
		quit:          make(chan struct{}),
	}
}

// stream returns a stream and creates it if necessary. The caller holds the
// lock.
func (l *logStore) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{}), keep: l.keepTrimmed}
		l.streams[name] = s
	}
	return s
}

// append stores a record and returns its offset.
func (l *logStore) append(name string, data []byte, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, storedRecord{data: data, at: now})
	l.applyRetention(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// applyRetention trims the records that exceed the retention limits. The caller
// holds the lock.
func (l *logStore) applyRetention(s *stream, now time.Time) {
	drop := 0
	if l.retainRecords > 0 {
		drop = max(0, len(s.records)-l.retainRecords)
	}
	for l.retainFor > 0 && drop < len(s.records) && now.Sub(s.records[drop].at) > l.retainFor {
		drop++
	}
	s.trimFirst(drop)
}

// trimFirst trims the first drop records.
func (s *stream) trimFirst(drop int) {
	drop = min(drop, len(s.records))
	if s.keep {
		s.trimmed = append(s.trimmed, s.records[:drop]...)
	}
	s.first += int64(drop)
	s.records = s.records[drop:]
}

// trim trims the records below an offset. An empty name means all streams.
func (l *logStore) trim(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.streams {
		if (name == "" || name == key) && below > s.first {
			s.trimFirst(int(below - s.first))
		}
	}
}

// HistoryRecord is a log record with the time of its append.
type HistoryRecord struct {
	hosting.Record
	AtMs int64 `json:"at_ms"`
}

// history returns all stored records of a stream, including the trimmed ones
// that were kept.
func (l *logStore) history(name string) []HistoryRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	all := append(append([]storedRecord{}, s.trimmed...), s.records...)
	offset := s.first - int64(len(s.trimmed))
	records := make([]HistoryRecord, 0, len(all))
	for i, record := range all {
		records = append(records, HistoryRecord{
			Record: hosting.Record{Offset: offset + int64(i), Data: record.data},
			AtMs:   record.at.UnixMilli(),
		})
	}
	return records
}

// read returns a page of records from an offset. If there are none yet, it
// waits for an append for at most the given time and may return an empty page.
// If the offset is trimmed, the page has no records and First > from.
func (l *logStore) read(ctx context.Context, name string, from int64, limit int, wait time.Duration) hosting.Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended := l.page(name, from, limit)
		if page.First > from || len(page.Records) > 0 {
			return page
		}
		select {
		case <-appended:
		case <-timer.C:
			return page
		case <-ctx.Done():
			return page
		case <-l.quit:
			return page
		}
	}
}

// page returns the available records from an offset and the channel that the
// next append closes.
func (l *logStore) page(name string, from int64, limit int) (hosting.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.applyRetention(s, time.Now())
	page := hosting.Page{First: s.first, Next: s.next(), Records: []hosting.Record{}}
	if from < s.first {
		return page, s.appended
	}
	size := 0
	for offset := from; offset < s.next() && len(page.Records) < limit && size < maxPageBytes; offset++ {
		data := s.records[offset-s.first].data
		page.Records = append(page.Records, hosting.Record{Offset: offset, Data: data})
		size += len(data)
	}
	return page, s.appended
}
