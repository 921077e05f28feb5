// Package strictjson decodes JSON with comments into structs. It rejects
// unknown, duplicate and null members, and reports all problems of a file at
// once, each with its line and the full name of the member.
package strictjson

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxBytes bounds the size of a decoded file. A table of 9,300 customers takes
// about 4 MB.
const MaxBytes = 64 << 20

// maxDepth bounds the nesting depth of a file, because the parser is recursive.
const maxDepth = 32

// Problem is one error in a file.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the line is unknown.
	Line int
	// Name is the full name of the member, such as lease.duration or
	// customers[acme].weight. It is empty if the problem belongs to no member,
	// as for a syntax error.
	Name    string
	Message string
}

// Error returns the problem in the form "file:line: name: message".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Name != "" {
		fmt.Fprintf(&b, ": %s", p.Name)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	return b.String()
}

// Problems are the problems of a file in the order of their lines.
type Problems []Problem

// Error returns one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// position holds the line of a member and its full name as shown in messages.
type position struct {
	line  int
	label string
}

// Document is a decoded file together with the positions of its members and the
// problems found so far.
type Document struct {
	file string
	data []byte
	// newlines holds the offsets of all line ends in data.
	newlines []int
	// positions holds the position of each member in the file, keyed by its path.
	// The path of the root is "".
	positions map[string]position
	problems  Problems
}

// Decode parses data and stores it in target, a pointer to a struct. Fields that
// the file doesn't set keep their values, so target can hold defaults. Supported
// field types are string, bool, int, int64, float64, time.Duration,
// encoding.TextUnmarshaler, structs and slices. Errors are reported as problems
// of the returned document; file is the name that they show.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, data: data, positions: map[string]position{}}
	d.indexLines()
	if len(data) > MaxBytes {
		d.Report("", "%d bytes exceed the limit of %d", len(data), MaxBytes)
		return d
	}
	if depthExceeds(data, maxDepth) {
		d.Report("", "nested deeper than %d levels", maxDepth)
		return d
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.syntaxError(err)
		return d
	}
	d.decode(value, target)
	return d
}

// Parsed reports whether the file was parsed, so that its members can be
// validated. It may still have problems.
func (d *Document) Parsed() bool {
	_, ok := d.positions[""]
	return ok
}

// Report adds a problem about the member at path, in which array elements are
// written as [index]. A member that is missing in the file is reported at the
// line of the object that should hold it.
func (d *Document) Report(path, format string, args ...any) {
	at := d.locate(path)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Name: at.label, Message: fmt.Sprintf(format, args...),
	})
}

// Problems returns all problems in the order of their lines.
func (d *Document) Problems() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return d.problems
}

// locate returns the position of the member at path. If the file lacks the
// member, it returns the line of the closest parent in the file and appends the
// missing part of the path to the parent's label.
func (d *Document) locate(path string) position {
	rest := ""
	for at := path; ; {
		if found, ok := d.positions[at]; ok {
			return position{found.line, strings.TrimPrefix(found.label+rest, ".")}
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			return position{1, path}
		}
		rest = at[cut:] + rest
		at = at[:cut]
	}
}

// indexLines records the offsets of all line ends.
func (d *Document) indexLines() {
	for i, c := range d.data {
		if c == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
}

// line returns the line number of an offset, counted from 1.
func (d *Document) line(offset int) int {
	index, _ := slices.BinarySearch(d.newlines, offset)
	return index + 1
}

// syntaxError reports a parser error. The line is taken out of the error text,
// which starts with "line N, column M: ".
func (d *Document) syntaxError(err error) {
	line := 0
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d,", &line); n == 1 {
		_, text, _ = strings.Cut(text, ": ")
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Message: text})
}

// depthExceeds reports whether the brackets outside strings and comments are
// nested deeper than limit.
func depthExceeds(data []byte, limit int) bool {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			depth++
			if depth > limit {
				return true
			}
		case ']', '}':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
	}
	return false
}

// skipString returns the offset of the closing quote of the string at start, or
// the end of the data.
func skipString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// skipComment returns the offset of the last byte of the comment at start, start
// if there is no comment, or the end of the data.
func skipComment(data []byte, start int) int {
	rest := data[start:]
	end := []byte(nil)
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		end = []byte("*/")
	default:
		return start
	}
	length := bytes.Index(rest[2:], end)
	if length < 0 {
		return len(data)
	}
	return start + 2 + length + len(end) - 1
}
