// Package metering counts the requests of each customer per usage window of
// estimated true time, and decides when a window is closed and reported.
//
// Each daemon counts its own requests in a Counter and sends its counts to other
// daemons. The daemon with the authority collects them in a Ledger and closes the
// windows. The counts of a closed window are stored before they are reported, so
// that a successor reports the same ones.
package metering

import (
	"sync"
	"time"
)

// Window is the number of a usage window. Window k begins k window lengths after
// the Unix epoch.
type Window int64

// WindowAt returns the window that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// Start returns the start of the window.
func (w Window) Start(length time.Duration) time.Time {
	return time.Unix(0, int64(w)*int64(length))
}

// End returns the end of the window.
func (w Window) End(length time.Duration) time.Time { return (w + 1).Start(length) }

// Counts is the number of requests by customer.
type Counts map[string]int64

// keptWindows is the number of past windows whose counts are kept. A report is
// due within fewer windows.
const keptWindows = 6

// Counter counts the requests of one daemon. It is safe for concurrent use.
type Counter struct {
	length time.Duration

	mu      sync.Mutex
	windows map[Window]Counts
	changed bool
}

// NewCounter returns an empty counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[Window]Counts{}}
}

// CountRequest counts a request that began to run at the given true time.
func (c *Counter) CountRequest(customer string, at time.Time) {
	w := WindowAt(at, c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = Counts{}
		c.windows[w] = counts
		c.prune(w)
	}
	counts[customer]++
	c.changed = true
}

func (c *Counter) prune(newest Window) {
	for w := range c.windows {
		if w < newest-keptWindows {
			delete(c.windows, w)
		}
	}
}

// Take returns a copy of the counts from window since on, and whether any counts
// changed since the last call.
func (c *Counter) Take(since Window) (counts map[Window]Counts, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Window]Counts{}
	for w, own := range c.windows {
		if w < since {
			continue
		}
		clone := make(Counts, len(own))
		for customer, n := range own {
			clone[customer] = n
		}
		out[w] = clone
	}
	changed = c.changed
	c.changed = false
	return out, changed
}
