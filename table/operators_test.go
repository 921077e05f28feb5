package table

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/record"
)

// operator simulates a person who publishes edits, with a separate reader.
type operator struct {
	*reader
	name      string
	publisher *Publisher
	// restartRequest is the offset of the anchor request with which the operator
	// began to restart the chain, or NoOffset.
	restartRequest int64
}

// reader folds the log independently of all other readers, as a daemon does.
type reader struct {
	chain   *record.Chain
	state   *State
	current *Current
	next    int64
	// versions are the versions that current has held, in order.
	versions []int64
}

// simulation holds the log with its concurrent operators and readers.
type simulation struct {
	log       []record.Entry
	first     int64
	inFlight  []record.Envelope
	operators []*operator
	readers   []*reader
	ids       int
	// finished are the publications whose result is known.
	finished []*Publisher
	// tables are the encoded tables of all versions that readers have held.
	tables map[int64][]byte
}

func newReader(first int64) *reader {
	state := NewState()
	return &reader{record.NewChain(Subject, state, first), state, NewCurrent(), first, nil}
}

// fold lets a reader read up to count records. A reader whose position is
// trimmed starts again with an empty state.
func (w *simulation) fold(t *rapid.T, r *reader, count int, observe func(record.Decision)) {
	if r.next < w.first {
		versions, current := r.versions, r.current
		*r = *newReader(w.first)
		r.versions, r.current = versions, current
	}
	for ; count > 0 && r.next < int64(len(w.log)); count-- {
		decisions := r.chain.Apply(w.log[r.next])
		r.next++
		for _, d := range decisions {
			observe(d)
		}
		w.offerSnapshot(t, r)
	}
}

// offerSnapshot updates the reader's current version. It checks that versions only
// grow and that all readers see the same table at the same version.
func (w *simulation) offerSnapshot(t *rapid.T, r *reader) {
	if !r.chain.Anchored() || !r.current.Publish(r.state.InForce()) {
		return
	}
	version := r.current.Load().Version()
	if n := len(r.versions); n > 0 && r.versions[n-1] >= version {
		t.Fatalf("version went from %d to %d", r.versions[n-1], version)
	}
	r.versions = append(r.versions, version)
	content := record.EncodeBody(*r.current.Load().Table())
	if other, known := w.tables[version]; known && !bytes.Equal(other, content) {
		t.Fatalf("two readers have different tables at version %d", version)
	}
	w.tables[version] = content
}

func (w *simulation) append(e record.Envelope) int64 {
	offset := int64(len(w.log))
	w.log = append(w.log, record.Entry{Offset: offset, Envelope: e})
	return offset
}

func (w *simulation) nextID(name string) string {
	w.ids++
	return fmt.Sprintf("%s-%d", name, w.ids)
}

func (o *operator) observe(d record.Decision) {
	if o.publisher != nil {
		o.publisher.Observe(d)
	}
}

func (w *simulation) collectResult(o *operator) {
	if o.publisher != nil && o.publisher.Result() != Publishing {
		w.finished = append(w.finished, o.publisher)
		o.publisher = nil
	}
}

// drawEdit returns an edit of one to three customers, sometimes with 250 limits
// in addition, so that it needs more than one part.
func drawEdit(t *rapid.T) Edit {
	var e Edit
	weight := rapid.Float64Range(1, 9).Draw(t, "weight")
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 3, rapid.ID).Draw(t, "rows")
	for _, i := range names {
		c := makeTable(6, 1).Customers[i]
		c.Weight, c.Models = weight, nil
		if rapid.Bool().Draw(t, "set") {
			e.Set.Customers = append(e.Set.Customers, c)
		} else {
			e.Delete = append(e.Delete, c.id())
		}
	}
	for i := range rapid.SampledFrom([]int{0, 0, 0, 250}).Draw(t, "limits") {
		e.Set.Limits = append(e.Set.Limits, Limit{FailureDomain: fmt.Sprintf("fd-%d", i), OnDemandMax: int(weight)})
	}
	return e
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	anyOperator := func(t *rapid.T) *operator { return rapid.SampledFrom(w.operators).Draw(t, "operator") }
	anyReader := func(t *rapid.T) *reader { return rapid.SampledFrom(w.readers).Draw(t, "reader") }
	return map[string]func(*rapid.T){
		"startEdit": func(t *rapid.T) {
			w.start(t, anyOperator(t))
		},
		"send": func(t *rapid.T) {
			o := anyOperator(t)
			if o.publisher == nil {
				t.Skip("idle")
			}
			if e, more := o.publisher.Next(); more {
				w.inFlight = append(w.inFlight, e)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.inFlight) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "index")
			w.append(w.inFlight[i])
			if !rapid.Bool().Draw(t, "again later") {
				w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			}
		},
		"loseAppend": func(t *rapid.T) {
			if len(w.inFlight) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "index")
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
		},
		"operatorReads": func(t *rapid.T) {
			w.read(t, anyOperator(t), rapid.IntRange(1, 20).Draw(t, "count"))
		},
		"daemonReads": func(t *rapid.T) {
			w.fold(t, anyReader(t), rapid.IntRange(1, 20).Draw(t, "count"), func(record.Decision) {})
		},
		"checkpoint": func(t *rapid.T) {
			w.checkpoint(anyReader(t), rapid.Bool().Draw(t, "late"))
		},
		"publish": func(t *rapid.T) {
			w.publish(t, anyOperator(t))
		},
		"faultyClient": func(t *rapid.T) {
			w.publishUnchecked(t, anyOperator(t))
		},
		"trim": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
				t.Skip("kept")
			}
			w.first = rapid.Int64Range(w.first, int64(len(w.log))).Draw(t, "first")
		},
		"lateReader": func(t *rapid.T) {
			if len(w.readers) < 8 {
				w.readers = append(w.readers, newReader(w.first))
			}
		},
		"restart": func(t *rapid.T) {
			o := anyOperator(t)
			if o.chain.Anchored() {
				t.Skip("nothing to restart")
			}
			if o.restartRequest == record.NoOffset {
				o.restartRequest = w.append(AnchorRequest(o.name, w.nextID(o.name)))
				return
			}
			w.inFlight = append(w.inFlight, Genesis(o.name, w.nextID(o.name), o.restartRequest, 0))
			o.restartRequest = record.NoOffset
		},
	}
}

// publish starts an edit and appends up to three of its parts without loss.
func (w *simulation) publish(t *rapid.T, o *operator) {
	w.read(t, o, len(w.log))
	w.start(t, o)
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		if o.publisher == nil {
			return
		}
		if e, more := o.publisher.Next(); more {
			w.append(e)
		}
		w.read(t, o, len(w.log))
	}
}

// publishUnchecked appends an edit as a faulty client may do: it names the head as
// its predecessor but possibly an outdated base version, and its result is not
// validated.
func (w *simulation) publishUnchecked(t *rapid.T, o *operator) {
	if !o.chain.Anchored() {
		t.Skip("not anchored")
	}
	base := rapid.Int64Range(record.NoOffset, o.state.Version()).Draw(t, "base")
	if rapid.Bool().Draw(t, "current base") {
		base = o.state.Version()
	}
	id := w.nextID(o.name)
	edit := drawEdit(t)
	body := EditBody{Edit: id, Base: base, Parts: 1, Force: rapid.Bool().Draw(t, "force"), Set: edit.Set, Delete: edit.Delete}
	body.Set.Limits = nil
	w.append(record.Envelope{
		Format: record.Format, ID: id, Kind: KindEdit, Subject: Subject, Author: o.name,
		Prev: o.chain.Head(), Seen: o.chain.Seen(), Body: record.EncodeBody(body),
	})
}

func (w *simulation) start(t *rapid.T, o *operator) {
	if o.publisher != nil {
		return
	}
	edit, base := drawEdit(t), o.state.Version()
	p, err := NewPublisher(o.chain, o.state, edit, base, o.name, w.nextID(o.name), rapid.Bool().Draw(t, "force"))
	if err == nil {
		o.publisher = p
	}
}

// read lets an operator read up to count records. An operator whose position is
// trimmed can't learn the result of its publication any more.
func (w *simulation) read(t *rapid.T, o *operator, count int) {
	if o.next < w.first {
		o.publisher = nil
	}
	w.fold(t, o.reader, count, o.observe)
	w.collectResult(o)
}

// checkpoint appends the state of an anchored reader as a checkpoint of two parts.
func (w *simulation) checkpoint(r *reader, late bool) {
	if !r.chain.Anchored() {
		return
	}
	snapshot := r.state.Snapshot()
	author := w.nextID("daemon")
	for part, body := range [][]byte{snapshot[:len(snapshot)/2], snapshot[len(snapshot)/2:]} {
		e := record.Envelope{
			Format: record.Format, ID: fmt.Sprint(author, "/", part), Kind: record.KindCheckpoint, Subject: Subject,
			Prev: r.chain.Head(), Seen: r.chain.Seen(), Author: author, Part: part, Parts: 2, Body: body,
		}
		if late {
			w.inFlight = append(w.inFlight, e)
		} else {
			w.append(e)
		}
	}
}

// Guards against edits that are lost, reverted or applied in part, and against a
// wrong result reported to an operator. These can come about when operators
// publish concurrently, answers get lost, appends are delayed or duplicated, and
// the log is trimmed.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{tables: map[int64][]byte{}, readers: []*reader{newReader(0), newReader(0)}}
		for i := range 3 {
			w.operators = append(w.operators, &operator{reader: newReader(0), name: fmt.Sprintf("op%d", i), restartRequest: record.NoOffset})
		}
		t.Repeat(w.actions())
		w.finishPublications(t)
		w.check(t)
	})
}

// finishPublications continues the pending publications until their result is
// known and lets all readers read to the end of the log.
func (w *simulation) finishPublications(t *rapid.T) {
	for _, o := range w.operators {
		w.read(t, o, len(w.log))
		for o.publisher != nil {
			if e, more := o.publisher.Next(); more {
				w.append(e)
			}
			w.read(t, o, len(w.log))
		}
	}
	allReaders := w.readers
	for _, o := range w.operators {
		allReaders = append(allReaders, o.reader)
	}
	for _, r := range allReaders {
		w.fold(t, r, len(w.log), func(record.Decision) {})
	}
}

// check compares all readers and all finished publications with the oracle.
func (w *simulation) check(t *rapid.T) {
	want := runOracle(w.log)
	allReaders := w.readers
	for _, o := range w.operators {
		allReaders = append(allReaders, o.reader)
	}
	for i, r := range allReaders {
		if !r.chain.Anchored() {
			continue
		}
		if r.state.Version() != want.version || r.chain.Head() != want.head {
			t.Fatalf("reader %d: version %d head %d, oracle %d %d", i, r.state.Version(), r.chain.Head(), want.version, want.head)
		}
		if got := oracleRows(*r.state.Table()); !equalRows(got, want.rows) {
			t.Fatalf("reader %d has %d rows that differ from the oracle's %d", i, len(got), len(want.rows))
		}
		for _, version := range r.versions {
			if want.accepted[version] == "" {
				t.Fatalf("reader %d had version %d, which the oracle never accepted", i, version)
			}
		}
	}
	for _, p := range w.finished {
		id := p.parts[0].Edit
		accepted := p.Result() == Published
		if accepted && want.accepted[p.Version()] != id {
			t.Fatalf("edit %s was reported as version %d, which is edit %q in the oracle", id, p.Version(), want.accepted[p.Version()])
		}
		if !accepted && want.edits[id] {
			t.Fatalf("edit %s was reported as %v, but the oracle accepted it", id, p.Result())
		}
	}
}
