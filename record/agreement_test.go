package record

import (
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(11, 2000)
	os.Exit(m.Run())
}

// listState is a State that holds the offsets of the accepted records and of
// the distinct unchained ones.
type listState struct {
	Accepted []int64
	Noted    map[string]int64
}

func (s *listState) Apply(e Entry) bool {
	if string(e.Body) == "forbidden" {
		return false
	}
	s.Accepted = append(s.Accepted, e.Offset)
	return true
}

func (s *listState) Snapshot() []byte { return EncodeBody(*s) }

func (s *listState) Restore(data []byte) error {
	var restored listState
	if err := DecodeBody(data, &restored); err != nil {
		return err
	}
	*s = restored
	return nil
}

func (s *listState) Reset(Entry) { *s = listState{} }

func (s *listState) Unchained(kind Kind) bool { return kind == "note" }

func (s *listState) ApplyUnchained(e Entry) {
	if s.Noted == nil {
		s.Noted = map[string]int64{}
	}
	if _, ok := s.Noted[e.ID]; !ok {
		s.Noted[e.ID] = e.Offset
	}
}

// reader folds one subject at its own pace.
type reader struct {
	name   string
	stream *Stream
	chain  *Chain
}

// world simulates a log with delayed, duplicated and lost appends, and its
// readers.
type world struct {
	t        *rapid.T
	log      [][]byte
	first    int64
	inFlight []Envelope
	readers  []*reader
	seq      int
	verdicts map[int64]Verdict
	states   map[int64]string
	// successors maps an offset to the accepted record that follows it.
	successors map[int64]int64
}

func (w *world) addReader() {
	r := &reader{name: fmt.Sprint("r", len(w.readers))}
	r.stream = NewStream(w.first, func(string) State { return &listState{} })
	r.chain = r.stream.Chain("s")
	w.readers = append(w.readers, r)
}

// read folds up to n records and compares each decision and each state with
// those of all other readers at the same offset.
func (w *world) read(r *reader, n int) {
	for ; n > 0 && r.stream.Next() < int64(len(w.log)); n-- {
		next := r.stream.Next()
		if next < w.first {
			r.stream = NewStream(w.first, func(string) State { return &listState{} })
			r.chain = r.stream.Chain("s")
			continue
		}
		decisions, err := r.stream.Apply(hosting.Page{Records: []hosting.Record{{Offset: next, Data: w.log[next]}}})
		if err != nil {
			w.t.Fatal(err)
		}
		for _, d := range decisions {
			w.compareVerdict(r, d)
		}
		w.compareState(r, next)
	}
}

func (w *world) compareVerdict(r *reader, d Decision) {
	if d.Verdict == Pending {
		return
	}
	if known, ok := w.verdicts[d.Entry.Offset]; ok && known != d.Verdict {
		w.t.Fatalf("%s decided %v on offset %d (%s), another reader %v", r.name, d.Verdict, d.Entry.Offset, d.Entry.Kind, known)
	}
	w.verdicts[d.Entry.Offset] = d.Verdict
	if d.Verdict != Accepted || d.Entry.Kind == KindGenesis {
		return
	}
	if other, ok := w.successors[d.Entry.Prev]; ok && other != d.Entry.Offset {
		w.t.Fatalf("offsets %d and %d are both accepted after %d", other, d.Entry.Offset, d.Entry.Prev)
	}
	w.successors[d.Entry.Prev] = d.Entry.Offset
}

func (w *world) compareState(r *reader, offset int64) {
	if !r.chain.Anchored() {
		return
	}
	state := fmt.Sprintf("head %d maxSeen %d state %x", r.chain.head, r.chain.maxSeen, r.chain.state.Snapshot())
	if known, ok := w.states[offset]; ok && known != state {
		w.t.Fatalf("%s at offset %d: %s\nanother reader: %s", r.name, offset, state, known)
	}
	w.states[offset] = state
}

func (w *world) id() string { w.seq++; return fmt.Sprint("id", w.seq) }

// write creates one record that follows the protocol and puts it in flight.
func (w *world) write(r *reader) {
	if !r.chain.Anchored() {
		w.writeUnanchored(r)
		return
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "kind") {
	case 0:
		w.inFlight = append(w.inFlight, r.chain.Checkpoint(r.name, w.id, rapid.SampledFrom([]int{8, 1 << 20}).Draw(w.t, "partBytes"))...)
	case 1:
		w.inFlight = append(w.inFlight, r.chain.Envelope("note", r.name, w.id(), nil))
	default:
		body := rapid.SampledFrom([]string{"", "forbidden"}).Draw(w.t, "body")
		w.inFlight = append(w.inFlight, r.chain.Envelope("k", r.name, w.id(), []byte(body)))
	}
}

func (w *world) writeUnanchored(r *reader) {
	request := r.chain.lastRequest
	if request == NoOffset || !r.chain.GenesisAllowed(request) || rapid.Bool().Draw(w.t, "again") {
		w.inFlight = append(w.inFlight, r.chain.Envelope(KindAnchorRequest, r.name, w.id(), nil))
		return
	}
	w.inFlight = append(w.inFlight, r.chain.Envelope(KindGenesis, r.name, w.id(), EncodeBody(GenesisBody{Request: request})))
}

// deliver appends a random one of the records in flight, which may stay in
// flight to be appended again.
func (w *world) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "which")
	w.log = append(w.log, Encode(w.inFlight[i]))
	if !rapid.Bool().Draw(w.t, "doubled") {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
}

// Guards against readers that disagree: readers that saw every record, that
// started late or that lost records to trimming must reach the same verdicts
// and the same state at each offset.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, verdicts: map[int64]Verdict{}, states: map[int64]string{}, successors: map[int64]int64{}}
		w.addReader()
		w.addReader()
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.step()
		}
		for _, r := range w.readers {
			w.read(r, len(w.log))
		}
	})
}

func (w *world) step() {
	r := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(w.t, "reader")]
	switch rapid.IntRange(0, 11).Draw(w.t, "action") {
	case 0:
		if len(w.readers) < 6 {
			w.addReader()
		}
	case 1:
		if len(w.log) > 0 && rapid.IntRange(0, 3).Draw(w.t, "trim") == 0 {
			w.first = max(w.first, rapid.Int64Range(0, int64(len(w.log))).Draw(w.t, "first"))
		}
	case 2:
		if len(w.inFlight) > 0 {
			w.inFlight = w.inFlight[:len(w.inFlight)-1]
		}
	case 3, 4, 5:
		w.write(r)
	case 6, 7, 8:
		w.deliver()
	default:
		w.read(r, rapid.IntRange(1, 10).Draw(w.t, "n"))
	}
}

// Guards against a lost checkpoint when two authors answer the same anchor
// request with interleaved parts and an append is duplicated.
func TestInterleavedCheckpointParts(t *testing.T) {
	s := NewChain("s", &listState{}, 0)
	s.Advance(7)
	id := func() string { return "id" }
	var both []Envelope
	a, b := s.Checkpoint("a", id, 2), s.Checkpoint("b", id, 2)
	for i := range a {
		both = append(both, a[i], b[i], a[i])
	}
	late := NewChain("s", &listState{}, 7)
	for i, e := range both {
		late.Apply(Entry{Offset: int64(7 + i), Envelope: e})
	}
	if len(a) < 2 || !late.Anchored() {
		t.Fatalf("not anchored by %d interleaved parts", len(a))
	}
}

// Guards against a chained record that closes an anchor request, which only a
// checkpoint can answer.
func TestRenewalDoesNotAnswerAnchorRequest(t *testing.T) {
	c := NewChain("s", &listState{}, 0)
	c.Apply(Entry{Offset: 0, Envelope: Envelope{Kind: KindAnchorRequest, Prev: NoOffset, Seen: NoOffset}})
	c.Apply(Entry{Offset: 1, Envelope: Envelope{Kind: "k", Prev: NoOffset, Seen: 0}})
	if c.OpenRequest() != 0 {
		t.Fatalf("open request: %d", c.OpenRequest())
	}
}
