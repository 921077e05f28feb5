package event

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/hlc"
)

func fixedClock() *hlc.Clock {
	return hlc.New(func() time.Time { return time.UnixMilli(1_700_000_000_000) })
}

// Guards against an event that is written to only one of time line and log, and
// against log lines that aren't key=value.
func TestRecorderWritesTimeLineAndLog(t *testing.T) {
	var lines, log bytes.Buffer
	logger, err := NewLogger(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(fixedClock(), "vm-1.a", &lines, logger)
	r.Record(KindLease, "acquired", "orders/fd-a", F("term", "12"), F("reason", `holder "gone"`))
	r.Close()
	r.Record(KindLease, "late", "")
	events, problems := Merge(Source{"a", &lines})
	if len(problems) > 0 || len(events) != 1 || r.Dropped() != 1 {
		t.Fatalf("events %v, problems %v, dropped %d", events, problems, r.Dropped())
	}
	if got, want := events[0].Describe(), `acquired orders/fd-a reason=holder "gone" term=12`; got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
	want := `level=info at=1700000000000.0 process=vm-1.a kind=lease what=acquired id=orders/fd-a term=12 reason="holder \"gone\"" time=`
	if !strings.HasPrefix(log.String(), want) || strings.Count(log.String(), "\n") != 1 {
		t.Fatalf("got  %s\nwant %s", log.String(), want)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("full") }

// Guards against a full disk or a closed pipe that loses events unnoticed.
func TestFailedWritesAreCounted(t *testing.T) {
	r := NewRecorder(fixedClock(), "p", failingWriter{}, zerolog.Nop())
	r.Record(KindFault, "x", "")
	r.Close()
	if r.Dropped() == 0 {
		t.Fatal("not counted")
	}
}

// Guards against a merge that follows file order instead of cause and effect,
// and against one broken line that hides the rest.
func TestMergeOrdersByTimestampAndSkipsBrokenLines(t *testing.T) {
	line := func(ms int64, logical uint32, process string) string {
		return string(Encode(Event{At: hlc.Timestamp{WallMs: ms, Logical: logical}, Process: process, Kind: KindOrder, What: "sent"})) + "\n"
	}
	a := line(10, 0, "a") + line(12, 1, "a") + `{"at":"13.0","proc`
	b := line(11, 0, "b") + "\n" + line(12, 0, "b")
	events, problems := Merge(Source{"a.log", strings.NewReader(a)}, Source{"b.log", strings.NewReader(b)})
	var order []string
	for _, e := range events {
		order = append(order, e.Process+e.At.String())
	}
	if want := []string{"a10.0", "b11.0", "b12.0", "a12.1"}; !reflect.DeepEqual(order, want) {
		t.Fatalf("got %v", order)
	}
	if len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), "a.log:3: ") || !errors.Is(problems[0], ErrMalformed) {
		t.Fatalf("problems %v", problems)
	}
}

// Guards against a page that misses rows or events, runs text from an event as
// markup, or loads other files.
func TestHTMLPageIsCompleteAndSelfContained(t *testing.T) {
	var b bytes.Buffer
	events := demoEvents()
	if err := WriteHTML(&b, events); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, kind := range Kinds {
		if !strings.Contains(text, `name="kind" value="`+string(kind)+`"`) {
			t.Errorf("no filter for %s", kind)
		}
	}
	if got := strings.Count(text, `<tr class="event"`); got != len(events) {
		t.Errorf("%d rows", got)
	}
	if got := strings.Count(text, `<circle class="event"`); got != len(events) {
		t.Errorf("%d marks", got)
	}
	if strings.Contains(text, "<b>bold") || strings.Contains(text, "src=") || strings.Contains(text, "href=") || strings.Contains(text, "ZgotmplZ") {
		t.Error("page has foreign markup or references")
	}
	checkTags(t, text)
	if err := WriteHTML(io.Discard, nil); err != nil {
		t.Error(err)
	}
}

// checkTags parses the page's tags with the non-strict XML decoder, which
// reports tags that are closed in the wrong order.
func checkTags(t *testing.T, text string) {
	t.Helper()
	script := strings.Index(text, "<script>")
	end := strings.Index(text, "</script>")
	decoder := xml.NewDecoder(strings.NewReader(text[:script] + text[end+len("</script>"):]))
	decoder.Strict = false
	decoder.AutoClose = []string{"meta", "input"}
	decoder.Entity = xml.HTMLEntity
	for {
		_, err := decoder.Token()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// demoEvents are the made-up events of a lease takeover.
func demoEvents() []Event {
	at := func(ms int64) hlc.Timestamp { return hlc.Timestamp{WallMs: 1_700_000_000_000 + ms} }
	return []Event{
		{at(0), "vm-1.a", KindLease, "acquired", "orders/fd-a", []Field{{"term", "12"}}},
		{at(400), "vm-1.a", KindOrder, "sent", "13/0", []Field{{"target", "engine-3"}}},
		{at(900), "vm-2.b", KindRequest, "done", "r-1", []Field{{"customer", "<b>bold</b>"}}},
		{at(1500), "vm-2.b", KindConfig, "in_force", "77", nil},
		{at(2100), "vm-2.b", KindFault, "log_unreachable", "", nil},
		{at(8100), "vm-2.b", KindLease, "acquired", "orders/fd-a", []Field{{"term", "20"}}},
	}
}

// Guards against time line lines that crash the reader or change when they are
// written again.
func FuzzDecode(f *testing.F) {
	for _, e := range demoEvents() {
		f.Add(Encode(e))
	}
	f.Add([]byte(`{"at":"-1.0","process":"p","kind":"fault","what":"x"}`))
	f.Add([]byte(`{"at":"1.0","process":"p","kind":"fault","what":"x","fields":{"a":"\ud800"}}{}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := Decode(line)
		if err != nil {
			return
		}
		again, err := Decode(Encode(e))
		if err != nil {
			if len(Encode(e)) > MaxLineBytes {
				return
			}
			t.Fatal(err)
		}
		if !reflect.DeepEqual(e, again) {
			t.Fatalf("%+v became %+v", e, again)
		}
	})
}

// Guards against a log whose volume grows with the load, and against lines that
// are left out without a word.
func TestLogIsBoundedAndSaysWhatIsMissing(t *testing.T) {
	var log bytes.Buffer
	lines := NewLineBuffer(&log)
	logger, err := NewLogger(lines, "info")
	if err != nil {
		t.Fatal(err)
	}
	r := NewBufferedRecorder(fixedClock(), "p", lines, logger)
	const sent = 3000
	for range sent {
		r.Record(KindRequest, "placed", "r")
	}
	r.Record(KindConfig, "in_force", "7")
	r.Close()
	written := strings.Count(log.String(), "what=placed")
	if written < requestLines || written > 2*requestLines {
		t.Errorf("%d of %d lines were written, %d a second are allowed", written, sent, requestLines)
	}
	if !strings.Contains(log.String(), "what=in_force") {
		t.Error("lines about requests crowd out the others")
	}
	if !strings.Contains(log.String(), "what=events_dropped") || int(r.Dropped()) != sent-written {
		t.Errorf("%d dropped of %d missing lines", r.Dropped(), sent-written)
	}
}

// stuckWriter blocks until it is released.
type stuckWriter chan struct{}

func (w stuckWriter) Write(p []byte) (int, error) { <-w; return len(p), nil }

// Guards against a terminal or pipe that nobody reads and that holds requests
// up.
func TestStuckOutputDoesNotBlockRecording(t *testing.T) {
	stuck := make(stuckWriter)
	lines := NewLineBuffer(stuck)
	logger, err := NewLogger(lines, "info")
	if err != nil {
		t.Fatal(err)
	}
	r := NewBufferedRecorder(fixedClock(), "p", lines, logger)
	begin := time.Now()
	for range 3 * queueLength {
		r.Record(KindRequest, "placed", "r")
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("recording took %v", took)
	}
	if r.Dropped() == 0 {
		t.Error("nothing was counted as dropped")
	}
	close(stuck)
	r.Close()
}

// Guards against a client that fills the log with one request's id.
func TestLongValuesAreCut(t *testing.T) {
	var log bytes.Buffer
	logger, err := NewLogger(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(fixedClock(), "p", nil, logger)
	r.Record(KindRequest, "turned_away", strings.Repeat("x", 1<<20), F("path", strings.Repeat("y", 1<<20)))
	r.Close()
	if log.Len() > 4*maxValueBytes {
		t.Errorf("the line has %d bytes", log.Len())
	}
}
