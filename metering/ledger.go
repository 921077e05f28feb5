package metering

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Config holds the durations of usage windows.
type Config struct {
	// Length is the length of a window.
	Length time.Duration
	// Grace is the time from the end of a window until it is closed, in which
	// counts from other daemons arrive.
	Grace time.Duration
	// Due is the time from the end of a window until its report is due.
	Due time.Duration
}

// Closed is a window whose counts are final.
type Closed struct {
	Window   Window `json:"window" cbor:"1,keyasint"`
	Counts   Counts `json:"counts" cbor:"2,keyasint"`
	Reported bool   `json:"reported,omitempty" cbor:"3,keyasint,omitempty"`
}

const (
	// draftDelay is the time from the end of a window until its counts are
	// stored as a draft. It exceeds the 0.25 s between two deliveries of a
	// daemon.
	draftDelay = 400 * time.Millisecond
	// maxStored bounds the size in bytes of a stored ledger that contains the
	// counts of open windows. The platform accepts records of up to 256 KiB.
	maxStored = 128 << 10
)

// Ledger collects the counts of all daemons and closes windows. It has no clock
// and no I/O and is not safe for concurrent use.
//
// Invariant: the counts of a closed window never change.
type Ledger struct {
	cfg Config
	// counts holds the highest counts received, by process. Counts only grow, so
	// repeated and reordered deliveries have no effect.
	counts map[string]map[Window]Counts
	closed []Closed
	// noted holds the windows that this or another holder has closed and stored since
	// this daemon learns of them, by window. They remain closed if the store loses them.
	noted map[Window]Closed
	// nextToClose is the next window to close, or 0 if it isn't known yet.
	nextToClose Window
	// lastDraft is the newest window whose counts were stored as a draft.
	lastDraft Window
}

// storedLedger is the stored form of a ledger.
type storedLedger struct {
	Closed []Closed `json:"closed"`
	// Next is the next window to close. It exceeds the windows that were skipped because
	// an earlier holder may have closed them.
	Next Window `json:"next_to_close,omitempty"`
	// Open holds the counts of the windows that are not closed, by process.
	Open map[string]map[Window]Counts `json:"open,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, counts: map[string]map[Window]Counts{}, noted: map[Window]Closed{}}
}

// NoteClosed records windows that a holder has closed and stored. The counts that were
// noted first are kept.
func (l *Ledger) NoteClosed(closed []Closed) {
	for _, c := range closed {
		if _, known := l.noted[c.Window]; !known {
			l.noted[c.Window] = c
		}
	}
	if len(l.noted) > keptWindows {
		newest := slices.Max(slices.Collect(maps.Keys(l.noted)))
		maps.DeleteFunc(l.noted, func(w Window, _ Closed) bool { return w < newest-keptWindows })
	}
}

// Noted returns the windows that this or another holder has closed and stored, as far as
// this daemon knows, in ascending order.
func (l *Ledger) Noted() []Closed {
	var out []Closed
	for _, w := range slices.Sorted(maps.Keys(l.noted)) {
		out = append(out, l.noted[w])
	}
	return out
}

// Merge adds the counts of a process. Of two counts for the same window and
// customer, the higher one is kept.
func (l *Ledger) Merge(process string, windows map[Window]Counts) {
	known := l.counts[process]
	if known == nil {
		known = map[Window]Counts{}
		l.counts[process] = known
	}
	for w, counts := range windows {
		if known[w] == nil {
			known[w] = Counts{}
		}
		for customer, n := range counts {
			known[w][customer] = max(known[w][customer], n)
		}
	}
}

// Load decodes the stored ledger of the previous holder, replaces the closed windows and
// merges the counts of the open ones. A ledger that was stored before the store continued
// from an older copy must be completed with Restore before windows are closed.
func (l *Ledger) Load(body []byte) error {
	var s storedLedger
	if err := json.Unmarshal(body, &s); err != nil {
		return eris.Wrap(err, "decode usage ledger")
	}
	l.closed = s.Closed
	l.nextToClose = s.Next
	for _, c := range s.Closed {
		l.nextToClose = max(l.nextToClose, c.Window+1)
	}
	l.NoteClosed(s.Closed)
	for process, windows := range s.Open {
		l.Merge(process, windows)
	}
	return nil
}

// Reset forgets the closed windows, because the store holds no ledger. It must be
// completed with Restore before windows are closed.
func (l *Ledger) Reset() {
	l.closed, l.nextToClose = nil, 0
}

// Restore adds the noted windows to the closed ones after the store may have lost records.
// Of the other windows that have ended by the given true time, it skips those that any
// holder may have closed: open reports for the time since the end of a window that none
// has. It returns the number of skipped windows whose reports aren't overdue.
func (l *Ledger) Restore(now time.Time, open func(sinceEnd time.Duration) bool) (skipped int) {
	for _, c := range l.Noted() {
		if !slices.ContainsFunc(l.closed, func(have Closed) bool { return have.Window == c.Window }) {
			l.closed = append(l.closed, c)
		}
		l.nextToClose = max(l.nextToClose, c.Window+1)
	}
	l.nextToClose = max(l.nextToClose, WindowAt(now.Add(-l.cfg.Due), l.cfg.Length))
	for current := WindowAt(now, l.cfg.Length); l.nextToClose < current; l.nextToClose++ {
		if open(now.Sub(l.nextToClose.End(l.cfg.Length))) {
			break
		}
		skipped++
	}
	return skipped
}

// Encode returns the stored form of the ledger. It omits the counts of open
// windows if the result would exceed maxStored.
func (l *Ledger) Encode() []byte {
	s := storedLedger{Closed: l.closed, Next: l.nextToClose, Open: l.Open()}
	body, err := json.Marshal(s)
	if err == nil && len(body) > maxStored {
		body, err = json.Marshal(storedLedger{Closed: l.closed, Next: l.nextToClose})
	}
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return body
}

// Begin makes the window that contains the given true time the next to close, if
// none is known yet.
func (l *Ledger) Begin(now time.Time) {
	if l.nextToClose == 0 {
		l.nextToClose = WindowAt(now, l.cfg.Length)
	}
}

// Open returns a copy of the counts of the windows that are not closed, by
// process.
func (l *Ledger) Open() map[string]map[Window]Counts {
	out := map[string]map[Window]Counts{}
	for process, windows := range l.counts {
		for w, counts := range windows {
			if w < l.nextToClose {
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

// NeedsDraft reports whether the counts of a window that has ended should be stored
// before it is closed. It returns true once per window. If all daemons are killed
// at the same time, only the stored counts remain.
func (l *Ledger) NeedsDraft(now time.Time) bool {
	ended := WindowAt(now.Add(-draftDelay), l.cfg.Length) - 1
	if l.nextToClose == 0 || ended < l.nextToClose || ended <= l.lastDraft {
		return false
	}
	l.lastDraft = ended
	return true
}

// Close closes the windows whose grace period has passed at the given true time
// and reports whether there were any.
func (l *Ledger) Close(now time.Time) bool {
	l.Begin(now)
	current := WindowAt(now, l.cfg.Length)
	// Windows whose report is overdue are skipped.
	overdue := WindowAt(now.Add(-l.cfg.Due), l.cfg.Length)
	l.nextToClose = max(l.nextToClose, overdue)
	anyClosed := false
	for l.nextToClose < current && !now.Before(l.nextToClose.End(l.cfg.Length).Add(l.cfg.Grace)) {
		l.closed = append(l.closed, Closed{Window: l.nextToClose, Counts: l.sum(l.nextToClose)})
		l.nextToClose++
		anyClosed = true
	}
	l.prune(current)
	return anyClosed
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
	l.closed = slices.DeleteFunc(l.closed, func(c Closed) bool { return c.Window < current-keptWindows })
	maps.DeleteFunc(l.noted, func(w Window, _ Closed) bool { return w < current-keptWindows })
	for process, windows := range l.counts {
		maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w < current-keptWindows })
		if len(windows) == 0 {
			delete(l.counts, process)
		}
	}
}

// Unreported returns the closed windows whose report isn't confirmed.
func (l *Ledger) Unreported() []Closed {
	var out []Closed
	for _, c := range l.closed {
		if !c.Reported {
			out = append(out, c)
		}
	}
	return out
}

// Confirm records that the report of a window was accepted.
func (l *Ledger) Confirm(w Window) {
	for i := range l.closed {
		if l.closed[i].Window == w {
			l.closed[i].Reported = true
		}
	}
}
