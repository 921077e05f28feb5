package metering

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Config holds the times of windows.
type Config struct {
	// Length is the length of a window.
	Length time.Duration
	// Grace is the time from a window's end until it is closed: counts of other
	// daemons arrive within it.
	Grace time.Duration
	// Due is the time from a window's end until its report is due.
	Due time.Duration
}

// Closed is a window whose figures are fixed.
type Closed struct {
	Window   Window `json:"window"`
	Counts   Counts `json:"counts"`
	Reported bool   `json:"reported,omitempty"`
}

const (
	// draftDelay is the time from the end of a window until its counts are
	// drafted: daemons deliver theirs every 0.25 s.
	draftDelay = 400 * time.Millisecond
	// maxStored bounds the ledger with the counts of open windows in bytes; the
	// users' platform takes records of 256 KiB.
	maxStored = 128 << 10
)

// Ledger collects the counts of all daemons and closes windows. It has no clock
// and no I/O and isn't safe for concurrent use.
//
// Invariant: a closed window's figures never change.
type Ledger struct {
	cfg Config
	// counts holds the highest counts heard, by process. Counts only rise, so
	// repeated and reordered deliveries change nothing.
	counts map[string]map[Window]Counts
	closed []Closed
	// next is the next window to close; 0 before the first one is known.
	next Window
	// drafted is the newest window whose counts were drafted.
	drafted Window
}

// stored is the form of a ledger in the store.
type stored struct {
	Closed []Closed `json:"closed"`
	// Open holds the counts of the windows that are not closed, by process.
	Open map[string]map[Window]Counts `json:"open,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, counts: map[string]map[Window]Counts{}}
}

// Merge takes the counts of a process.
func (l *Ledger) Merge(process string, windows map[Window]Counts) {
	own := l.counts[process]
	if own == nil {
		own = map[Window]Counts{}
		l.counts[process] = own
	}
	for w, counts := range windows {
		if own[w] == nil {
			own[w] = Counts{}
		}
		for customer, n := range counts {
			own[w][customer] = max(own[w][customer], n)
		}
	}
}

// Load takes the ledger that stands in the store, which is that of the holder
// before.
func (l *Ledger) Load(body []byte) error {
	var s stored
	if err := json.Unmarshal(body, &s); err != nil {
		return eris.Wrap(err, "decode usage ledger")
	}
	l.closed = s.Closed
	l.next = 0
	for _, c := range s.Closed {
		l.next = max(l.next, c.Window+1)
	}
	for process, windows := range s.Open {
		l.Merge(process, windows)
	}
	return nil
}

// Encode returns the ledger for the store: the closed windows, and the counts of
// the others as far as they fit.
func (l *Ledger) Encode() []byte {
	s := stored{Closed: l.closed, Open: l.Open()}
	body, err := json.Marshal(s)
	if err == nil && len(body) > maxStored {
		body, err = json.Marshal(stored{Closed: l.closed})
	}
	if err != nil {
		panic(err) // Plain strings and numbers always have an encoding.
	}
	return body
}

// Begin makes the window that is open at the true time the first one to close,
// unless an earlier one is known.
func (l *Ledger) Begin(now time.Time) {
	if l.next == 0 {
		l.next = WindowAt(now, l.cfg.Length)
	}
}

// Open returns a copy of the counts of the windows that are not closed, by
// process.
func (l *Ledger) Open() map[string]map[Window]Counts {
	out := map[string]map[Window]Counts{}
	for process, windows := range l.counts {
		for w, counts := range windows {
			if w < l.next {
				continue
			}
			if out[process] == nil {
				out[process] = map[Window]Counts{}
			}
			out[process][w] = maps.Clone(counts)
		}
	}
	return out
}

// Draft reports whether the counts of a window that has ended are to be written
// before it is closed, once for each window: if all daemons are killed at once,
// only what is written is left.
func (l *Ledger) Draft(now time.Time) bool {
	ended := WindowAt(now.Add(-draftDelay), l.cfg.Length) - 1
	if l.next == 0 || ended < l.next || ended <= l.drafted {
		return false
	}
	l.drafted = ended
	return true
}

// Close closes the windows whose grace has passed at the true time, and reports
// whether there were any.
func (l *Ledger) Close(now time.Time) bool {
	l.Begin(now)
	current := WindowAt(now, l.cfg.Length)
	// Windows whose report can't come in time any more are passed over.
	overdue := WindowAt(now.Add(-l.cfg.Due), l.cfg.Length)
	l.next = max(l.next, overdue)
	any := false
	for l.next < current && !now.Before(l.next.End(l.cfg.Length).Add(l.cfg.Grace)) {
		l.closed = append(l.closed, Closed{Window: l.next, Counts: l.sum(l.next)})
		l.next++
		any = true
	}
	l.prune(current)
	return any
}

func (l *Ledger) sum(w Window) Counts {
	total := Counts{}
	for _, windows := range l.counts {
		for customer, n := range windows[w] {
			total[customer] += n
		}
	}
	return total
}

func (l *Ledger) prune(current Window) {
	l.closed = slices.DeleteFunc(l.closed, func(c Closed) bool { return c.Window < current-kept })
	for process, windows := range l.counts {
		maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w < current-kept })
		if len(windows) == 0 {
			delete(l.counts, process)
		}
	}
}

// Unreported returns the closed windows without a confirmed report.
func (l *Ledger) Unreported() []Closed {
	var out []Closed
	for _, c := range l.closed {
		if !c.Reported {
			out = append(out, c)
		}
	}
	return out
}

// Confirm notes that a window's report was accepted.
func (l *Ledger) Confirm(w Window) {
	for i := range l.closed {
		if l.closed[i].Window == w {
			l.closed[i].Reported = true
		}
	}
}
