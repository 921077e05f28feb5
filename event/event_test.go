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

// Guards against an event that is written to only one of timeline and log, and
// against log lines that are not in key=value format.
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

// Guards against events that are lost without being counted when a write fails, as
// on a full disk or a closed pipe.
func TestFailedWritesAreCounted(t *testing.T) {
	r := NewRecorder(fixedClock(), "p", failingWriter{}, zerolog.Nop())
	r.Record(KindFault, "x", "")
	r.Close()
	if r.Dropped() == 0 {
		t.Fatal("the failed write was not counted")
	}
}

// Guards against a merge in file order instead of timestamp order, and against a
// malformed line that hides the other lines.
func TestMergeOrdersByTimestampAndSkipsMalformedLines(t *testing.T) {
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

// Guards against a page that lacks rows or events, inserts the text of an event as
// markup, or refers to other files.
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
		t.Error("page contains markup from an event or references to other files")
	}
	checkTags(t, text)
	if err := WriteHTML(io.Discard, nil); err != nil {
		t.Error(err)
	}
}

// checkTags parses the tags of the page with the non-strict XML decoder, which
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

// demoEvents returns example events of a lease takeover.
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

// FuzzDecode guards against timeline lines that crash the decoder and against
// events that change when they are encoded and decoded again.
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
			t.Fatalf("event %+v was decoded as %+v", e, again)
		}
	})
}

// Guards against a log whose volume grows with the load, and against log lines that
// are left out without being reported.
func TestLogIsRateLimitedAndReportsDroppedLines(t *testing.T) {
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
	if written < requestLinesPerSecond || written > 2*requestLinesPerSecond {
		t.Errorf("%d of %d lines were written, the limit is %d per second", written, sent, requestLinesPerSecond)
	}
	if !strings.Contains(log.String(), "what=in_force") {
		t.Error("the line of another kind was dropped together with those about requests")
	}
	if !strings.Contains(log.String(), "what=events_dropped") || int(r.Dropped()) != sent-written {
		t.Errorf("%d lines were reported as dropped, %d are missing", r.Dropped(), sent-written)
	}
}

// blockedWriter blocks each write until the channel is closed.
type blockedWriter chan struct{}

func (w blockedWriter) Write(p []byte) (int, error) { <-w; return len(p), nil }

// Guards against recording that blocks requests when the output is a terminal or
// pipe that is not read.
func TestStuckOutputDoesNotBlockRecording(t *testing.T) {
	blocked := make(blockedWriter)
	lines := NewLineBuffer(blocked)
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
	close(blocked)
	r.Close()
}

// Guards against a client that fills the log with a long request ID or path.
func TestLongValuesAreTruncated(t *testing.T) {
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
