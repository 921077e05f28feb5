package strictjson

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *Document) decode(root hujson.Value, target any) {
	d.positions[""] = position{line: d.line(root.StartOffset)}
	d.value(root, reflect.ValueOf(target).Elem(), "")
}

// value stores one JSON value in target, or reports a problem if its type or
// range doesn't fit.
func (d *Document) value(v hujson.Value, target reflect.Value, path string) {
	switch {
	case target.Type() == durationType:
		d.duration(v, target, path)
	case target.Addr().Type().Implements(textType):
		d.text(v, target, path)
	case target.Kind() == reflect.Struct:
		d.object(v, target, path)
	case target.Kind() == reflect.Slice:
		d.array(v, target, path)
	default:
		d.scalar(v, target, path)
	}
}

func (d *Document) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(path, "an object", v)
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		first := !seen[name]
		seen[name] = true
		if first {
			d.positions[memberPath] = d.memberPosition(path, name, member.Name.StartOffset)
		}
		index, known := fields[name]
		switch {
		case !known:
			d.reportAt(member.Name, path, name, "unknown name")
		case !first:
			d.reportAt(member.Name, path, name, "given twice")
		default:
			d.value(member.Value, target.Field(index), memberPath)
		}
	}
}

func (d *Document) memberPosition(path, name string, offset int) position {
	label := strings.TrimPrefix(d.positions[path].label+"."+printable(name), ".")
	return position{line: d.line(offset), label: label}
}

func (d *Document) reportAt(at hujson.Value, path, name, message string) {
	where := d.memberPosition(path, name, at.StartOffset)
	d.problems = append(d.problems, Problem{File: d.file, Line: where.line, Name: where.label, Message: message})
}

func (d *Document) array(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(path, "an array", v)
		return
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		label := fmt.Sprintf("%s[%s]", d.positions[path].label, elementLabel(element, i))
		d.positions[elementPath] = position{line: d.line(element.StartOffset), label: label}
		d.value(element, items.Index(i), elementPath)
	}
	target.Set(items)
}

// elementLabel returns the label of an array element in messages: the value of
// its member "name" or "failure_domain", or its index if it has neither.
func elementLabel(element hujson.Value, index int) string {
	object, ok := element.Value.(*hujson.Object)
	if !ok {
		return strconv.Itoa(index)
	}
	for _, member := range object.Members {
		literal, isLiteral := member.Value.Value.(hujson.Literal)
		key := member.Name.Value.(hujson.Literal).String()
		isName := key == "name" || key == "failure_domain"
		if isName && isLiteral && literal.Kind() == '"' && literal.String() != "" {
			return printable(literal.String())
		}
	}
	return strconv.Itoa(index)
}

func (d *Document) duration(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(path, `a duration such as "2s"`, v)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.Report(path, `%q is not a duration such as "2s" or "500ms"`, literal.String())
		return
	}
	target.SetInt(int64(parsed))
}

func (d *Document) text(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(path, "a string", v)
		return
	}
	err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(literal.String()))
	if err != nil {
		d.Report(path, "%s", err.Error())
	}
}

func (d *Document) scalar(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.mismatch(path, scalarName(target.Kind()), v)
		return
	}
	kind := literal.Kind()
	switch {
	case target.Kind() == reflect.String && kind == '"':
		target.SetString(literal.String())
	case target.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		target.SetBool(literal.Bool())
	case target.CanInt() && kind == '0':
		d.integer(literal, target, path)
	case target.CanFloat() && kind == '0':
		d.float(literal, target, path)
	default:
		d.mismatch(path, scalarName(target.Kind()), v)
	}
}

func (d *Document) integer(literal hujson.Literal, target reflect.Value, path string) {
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if err != nil {
		d.Report(path, "%s is not a whole number in range", string(literal))
		return
	}
	target.SetInt(n)
}

func (d *Document) float(literal hujson.Literal, target reflect.Value, path string) {
	f, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		d.Report(path, "%s is not a number in range", string(literal))
		return
	}
	target.SetFloat(f)
}

func (d *Document) mismatch(path, want string, v hujson.Value) {
	d.Report(path, "must be %s, not %s", want, kindName(v.Value.Kind()))
}

func scalarName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

// fieldsOf returns the index of each struct field, keyed by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// printable returns a name for use in a message. It quotes names that contain
// special characters or the separators of a path.
func printable(name string) string {
	quoted := strconv.Quote(name)
	if quoted == `"`+name+`"` && !strings.ContainsAny(name, " .[]") {
		return name
	}
	return quoted
}
