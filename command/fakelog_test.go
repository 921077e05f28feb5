package command_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
)

// fakeLog is an in-memory log that can lose answers and records.
type fakeLog struct {
	mu      sync.Mutex
	first   int64
	records []hosting.Record
	// loseAnswers is the number of the next appends that store the record but
	// return an error, loseRecords the number of those that don't store it.
	loseAnswers, loseRecords int
	// beforeAppend runs once, before the next append.
	beforeAppend func()
	// afterAppend runs after each append with the stored envelope.
	afterAppend func(record.Entry)
}

var errLost = errors.New("connection reset")

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, hosting.Outcome, error) {
	if hook := l.beforeAppend; hook != nil {
		l.beforeAppend = nil
		hook()
	}
	if l.loseRecords > 0 {
		l.loseRecords--
		return hosting.NoOffset, hosting.OutcomeUnknown, errLost
	}
	offset := l.store(data)
	if l.afterAppend != nil {
		envelope, err := record.Decode(data)
		if err != nil {
			panic(err)
		}
		l.afterAppend(record.Entry{Offset: offset, Envelope: envelope})
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return hosting.NoOffset, hosting.OutcomeUnknown, errLost
	}
	return offset, hosting.OutcomeDone, nil
}

func (l *fakeLog) store(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, hosting.Record{Offset: offset, Data: data})
	return offset
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (hosting.Page, error) {
	page, err := l.page(stream, from, limit)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return page, ctx.Err()
}

func (l *fakeLog) page(stream string, from int64, limit int) (hosting.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.first + int64(len(l.records))
	if from < l.first {
		return hosting.Page{}, &hosting.TrimmedError{Stream: stream, First: l.first}
	}
	page := hosting.Page{First: l.first, Next: next}
	if from < next {
		rest := l.records[from-l.first:]
		page.Records = rest[:min(limit, len(rest))]
	}
	return page, nil
}

// trim drops all records.
func (l *fakeLog) trim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first += int64(len(l.records))
	l.records = nil
}
