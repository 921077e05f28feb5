package usage

import (
	"cmp"
	"slices"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// The kinds of usage records.
const (
	// KindDelta carries a Delta. It is unchained, because all daemons append deltas
	// concurrently.
	KindDelta record.Kind = "delta"
	// KindClose logs the figures of a window before they are reported.
	KindClose record.Kind = "close"
	// KindReported states that the platform has confirmed the report of a window.
	KindReported record.Kind = "reported"
)

// Horizon is the number of closed windows for which late usage is counted. Older
// usage is dropped, because the fold may have forgotten which deltas of that
// daemon it has counted. With windows of 60 s this is one day.
const Horizon = 1440

// Sum is an amount of usage.
type Sum struct {
	Requests  int64 `cbor:"1,keyasint,omitempty"`
	TokensIn  int64 `cbor:"2,keyasint,omitempty"`
	TokensOut int64 `cbor:"3,keyasint,omitempty"`
}

func (s Sum) add(o Sum) Sum {
	return Sum{s.Requests + o.Requests, s.TokensIn + o.TokensIn, s.TokensOut + o.TokensOut}
}

// Row is the usage of one resource by one customer in one window.
type Row struct {
	Customer string `cbor:"1,keyasint"`
	Resource string `cbor:"2,keyasint"`
	// Window is the Unix time in seconds at which the window starts.
	Window int64 `cbor:"3,keyasint"`
	Sum    Sum   `cbor:"4,keyasint"`
}

// Delta is one numbered batch of the usage of a daemon.
type Delta struct {
	Incarnation string `cbor:"1,keyasint"`
	// Seq numbers the deltas of the incarnation from 1 without gaps.
	Seq int64 `cbor:"2,keyasint"`
	// Watermark is the start of a window. Deltas with a higher Seq have no rows for
	// earlier windows, and this delta has no rows for later windows.
	Watermark int64 `cbor:"3,keyasint"`
	Rows      []Row `cbor:"4,keyasint"`
}

// CloseBody is the body of a close record.
type CloseBody struct {
	Term    int64                 `cbor:"1,keyasint"`
	Window  int64                 `cbor:"2,keyasint"`
	Figures []hosting.UsageFigure `cbor:"3,keyasint"`
}

// ReportedBody is the body of a reported record.
type ReportedBody struct {
	Term   int64 `cbor:"1,keyasint"`
	Window int64 `cbor:"2,keyasint"`
}

// Report holds the figures of a closed window as logged.
type Report struct {
	Window  int64                 `cbor:"1,keyasint"`
	Figures []hosting.UsageFigure `cbor:"2,keyasint"`
}

// countedDeltas records which deltas of one incarnation have been counted and the
// highest watermark among them.
type countedDeltas struct {
	// Low is the highest number up to which all deltas were counted. Above are the
	// numbers of the counted deltas beyond it, sorted.
	Low       int64   `cbor:"1,keyasint"`
	Above     []int64 `cbor:"2,keyasint"`
	Watermark int64   `cbor:"3,keyasint"`
}

// State is the folded state: the lease, the usage that is in no closed window yet,
// and the reports that the platform has not confirmed. It implements
// record.UnchainedState.
//
// Invariant: the sum of all counted rows equals the sum of the figures of all
// closed windows plus Pending.
type State struct {
	Lease lease.State
	// Size is the length of a window in seconds.
	Size int64
	// Next is the window to close next, or 0 before the first close.
	Next int64
	// From is the first window that may be closed after a genesis, or 0 if there was
	// none.
	From int64
	// Reports are the logged reports that the platform has not confirmed.
	Reports []Report
	// Dropped counts the requests in rows that came too late, see Horizon.
	Dropped int64
	// pending is the counted usage that is in no closed window.
	pending map[rowKey]Sum
	// sources are the counted deltas by incarnation.
	sources map[string]countedDeltas
}

type rowKey struct {
	window             int64
	customer, resource string
}

func compareKeys(a, b rowKey) int {
	return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.customer, b.customer), cmp.Compare(a.resource, b.resource))
}

// NewState returns the empty state for windows of size seconds. All daemons
// must use the same size.
func NewState(size int64) *State {
	return &State{Lease: lease.NewState(), Size: size, pending: map[rowKey]Sum{}, sources: map[string]countedDeltas{}}
}

// Unchained implements record.UnchainedState.
func (s *State) Unchained(kind record.Kind) bool { return kind == KindDelta }

// ApplyUnchained implements record.UnchainedState. It counts each delta once and
// ignores malformed ones.
func (s *State) ApplyUnchained(e record.Entry) {
	var d Delta
	if record.DecodeBody(e.Body, &d) != nil || d.Seq < 1 || d.Incarnation == "" {
		return
	}
	beyond := func(r Row) bool { return r.Window > d.Watermark }
	if slices.ContainsFunc(d.Rows, beyond) || d.Watermark < s.oldestCounted() {
		return
	}
	if !s.markCounted(d) {
		return
	}
	for _, r := range d.Rows {
		if r.Window < s.oldestCounted() {
			s.Dropped += r.Sum.Requests
			continue
		}
		key := rowKey{r.Window, r.Customer, r.Resource}
		s.pending[key] = s.pending[key].add(r.Sum)
	}
}

// oldestCounted returns the first window for which usage is counted.
func (s *State) oldestCounted() int64 { return max(s.From, s.Next-Horizon*s.Size) }

// markCounted records the number of a delta and reports whether it is new.
func (s *State) markCounted(d Delta) bool {
	src := s.sources[d.Incarnation]
	i, seen := slices.BinarySearch(src.Above, d.Seq)
	if seen || d.Seq <= src.Low {
		return false
	}
	src.Above = slices.Insert(slices.Clone(src.Above), i, d.Seq)
	for len(src.Above) > 0 && src.Above[0] == src.Low+1 {
		src.Low++
		src.Above = src.Above[1:]
	}
	src.Watermark = max(src.Watermark, d.Watermark)
	s.sources[d.Incarnation] = src
	return true
}

// Apply implements record.State.
func (s *State) Apply(e record.Entry) bool {
	switch {
	case lease.IsLeaseKind(e.Kind):
		return s.Lease.Apply(e)
	case e.Kind == KindClose:
		return s.closeWindow(e)
	case e.Kind == KindReported:
		return s.confirm(e)
	}
	return false
}

// confirm removes a report that the platform has confirmed.
func (s *State) confirm(e record.Entry) bool {
	var body ReportedBody
	if record.DecodeBody(e.Body, &body) != nil || !s.Lease.HeldBy(e.Author, body.Term) {
		return false
	}
	i := slices.IndexFunc(s.Reports, func(r Report) bool { return r.Window == body.Window })
	if i < 0 {
		return false
	}
	s.Reports = slices.Delete(slices.Clone(s.Reports), i, i+1)
	return true
}

// closeWindow moves the figures of a close record from the pending usage to a
// report. It also forgets incarnations whose watermark is beyond the horizon.
func (s *State) closeWindow(e record.Entry) bool {
	var body CloseBody
	if record.DecodeBody(e.Body, &body) != nil || !s.Lease.HeldBy(e.Author, body.Term) {
		return false
	}
	if body.Window%s.Size != 0 || body.Window < s.From || (s.Next != 0 && body.Window != s.Next) {
		return false
	}
	if !s.withinPending(body) {
		return false
	}
	for _, f := range body.Figures {
		s.subtract(body.Window, f)
	}
	s.Next = body.Window + s.Size
	s.Reports = append(slices.Clone(s.Reports), Report{Window: body.Window, Figures: body.Figures})
	for id, src := range s.sources {
		if src.Watermark < s.oldestCounted() {
			delete(s.sources, id)
		}
	}
	return true
}

// withinPending reports whether no figure exceeds the pending usage. Figures may be
// lower: deltas that entered the log after the author of the close record had read
// it stay pending.
func (s *State) withinPending(body CloseBody) bool {
	have := map[rowKey]hosting.UsageFigure{}
	for _, f := range s.Figures(body.Window) {
		have[rowKey{0, f.Customer, f.Resource}] = f
	}
	for _, f := range body.Figures {
		key := rowKey{0, f.Customer, f.Resource}
		h := have[key]
		if f.Requests > h.Requests || f.TokensIn > h.TokensIn || f.TokensOut > h.TokensOut {
			return false
		}
		delete(have, key) // Makes a second figure with the same key exceed it.
	}
	return true
}

// Figures returns all pending usage up to and including a window, summed per
// customer and resource. Requests of earlier windows are also counted in Late,
// because those windows are already closed.
func (s *State) Figures(window int64) []hosting.UsageFigure {
	var figures []hosting.UsageFigure
	index := map[rowKey]int{}
	for _, k := range s.keys() {
		if k.window > window {
			break
		}
		group := rowKey{0, k.customer, k.resource}
		i, ok := index[group]
		if !ok {
			i = len(figures)
			index[group] = i
			figures = append(figures, hosting.UsageFigure{Customer: k.customer, Resource: k.resource})
		}
		sum := s.pending[k]
		figures[i].Requests += sum.Requests
		figures[i].TokensIn += sum.TokensIn
		figures[i].TokensOut += sum.TokensOut
		if k.window < window {
			figures[i].Late += sum.Requests
		}
	}
	return figures
}

// subtract subtracts a figure from the pending usage, starting with the oldest
// window.
func (s *State) subtract(window int64, f hosting.UsageFigure) {
	left := Sum{f.Requests, f.TokensIn, f.TokensOut}
	for _, k := range s.keys() {
		if k.window > window || k.customer != f.Customer || k.resource != f.Resource {
			continue
		}
		have := s.pending[k]
		part := Sum{min(have.Requests, left.Requests), min(have.TokensIn, left.TokensIn), min(have.TokensOut, left.TokensOut)}
		left = left.add(Sum{-part.Requests, -part.TokensIn, -part.TokensOut})
		rest := have.add(Sum{-part.Requests, -part.TokensIn, -part.TokensOut})
		s.pending[k] = rest
		if rest == (Sum{}) {
			delete(s.pending, k)
		}
	}
}

// keys returns the keys of the pending usage in order.
func (s *State) keys() []rowKey {
	keys := make([]rowKey, 0, len(s.pending))
	for k := range s.pending {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Pending returns the total of the counted usage that is in no closed window.
func (s *State) Pending() Sum {
	var total Sum
	for _, sum := range s.pending {
		total = total.add(sum)
	}
	return total
}

// PastWindow reports whether the watermark of an incarnation is past a window, so
// that its later deltas have no usage for the window.
func (s *State) PastWindow(incarnation string, window int64) bool {
	return s.sources[incarnation].Watermark > window
}
