package event

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Source is the timeline or the log of one or more processes.
type Source struct {
	// Name identifies the source in errors.
	Name   string
	Reader io.Reader
}

// Merge reads the events of all sources, which consist of JSON lines or log lines,
// and returns them in the order of their timestamps. A line that can't be decoded,
// such as the truncated last line of a killed process, is skipped and reported in
// problems as NAME:LINE: reason. A clock that went back is reported as well.
func Merge(sources ...Source) (events []Event, problems []error) {
	for _, s := range sources {
		read, failed := readLines(s)
		events = append(events, read...)
		problems = append(problems, failed...)
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return events, problems
}

// readLines reads the events of one source in the order of its lines.
func readLines(s Source) (events []Event, problems []error) {
	scanner := bufio.NewScanner(s.Reader)
	scanner.Buffer(nil, MaxLineBytes+1)
	line := 0
	latest := map[string]time.Time{}
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		read, failed := readLine(text)
		for _, e := range read {
			if back := latest[e.Process].Sub(e.At.Time()); back > 0 {
				failed = append(failed, eris.Errorf("the clock of %s went back by %s", e.Process, back))
			}
			latest[e.Process] = e.At.Time()
		}
		events = append(events, read...)
		for _, err := range failed {
			problems = append(problems, fmt.Errorf("%s:%d: %w", s.Name, line, err))
		}
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, eris.Wrapf(err, "%s:%d", s.Name, line+1))
	}
	return events, problems
}

// readLine decodes the events of one line of text.
func readLine(text []byte) (events []Event, problems []error) {
	pieces, log := splitLine(text)
	for _, piece := range pieces {
		decode := Decode
		if log {
			decode = DecodeLog
		}
		e, err := decode(piece)
		if err != nil {
			problems = append(problems, eris.Wrapf(err, "%q", excerpt(piece)))
			continue
		}
		events = append(events, e)
	}
	return events, problems
}

// timeLayout is the format of wall clock times, with milliseconds.
const timeLayout = "15:04:05.000"

// WriteText writes one line per event: time, process, kind, name, ID and fields.
func WriteText(w io.Writer, events []Event) error {
	width := 0
	for _, e := range events {
		width = max(width, len(e.Process))
	}
	for _, e := range events {
		_, err := fmt.Fprintf(w, "%s  %-*s  %-7s  %s\n", e.At.Time().Format(timeLayout), width, e.Process, e.Kind, e.Describe())
		if err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}
	return nil
}

// Describe returns the name, ID and fields of the event on one line.
func (e Event) Describe() string {
	parts := []string{e.What}
	if e.ID != "" {
		parts = append(parts, e.ID)
	}
	for _, f := range e.Fields {
		parts = append(parts, f.Key+"="+f.Value)
	}
	return strings.NewReplacer("\n", " ", "\r", " ").Replace(strings.Join(parts, " "))
}

// span returns the time from the first to the last event, at least 1 ms.
func span(events []Event) time.Duration {
	if len(events) == 0 {
		return time.Millisecond
	}
	length := events[len(events)-1].At.WallMs - events[0].At.WallMs
	return max(time.Duration(length)*time.Millisecond, time.Millisecond)
}
