package daemon

import (
	"errors"

	"github.com/mimosakeel/mimosakeel/record"
)

// fold maintains the fold of one log stream and restarts it when the reader
// restarts. It belongs to the control goroutine.
type fold struct {
	stream *record.Stream
	// newStream returns a new fold that starts at the first readable offset, and
	// binds the state machines to it.
	newStream func(first int64) *record.Stream
	// stopErr is the error of the record in a newer format at which the fold
	// stopped, or nil.
	stopErr error
}

// apply folds a page and returns the decisions. It starts a new fold if the
// reader has restarted, for example because the log was trimmed beyond its
// position. A record in a newer format stops the fold: apply returns this error
// once and the state no longer changes.
func (f *fold) apply(p logPage) ([]record.Decision, error) {
	if f.stream == nil || p.restarted {
		f.stream = f.newStream(p.page.First)
	}
	decisions, err := f.stream.Apply(p.page)
	if errors.Is(err, record.ErrGap) {
		f.stream = f.newStream(p.page.First)
		decisions, err = f.stream.Apply(p.page)
	}
	first := err != nil && f.stopErr == nil
	f.stopErr = err
	if first {
		return decisions, err
	}
	return decisions, nil
}
