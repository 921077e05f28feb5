// Package settingsdoc generates the settings reference from the doc comments of
// the struct fields that hold the settings. Each comment ends with
// "Unit: u. Default: d.".
package settingsdoc

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
)

// Description describes one setting.
type Description struct {
	// Name is the full name as in error messages, such as lease.duration.
	Name string
	// Text is the doc comment of the field without its unit and default.
	Text    string
	Unit    string
	Default string
}

// Describe returns the settings of a struct in the order of its fields. source
// is the Go source that declares the struct. A field that is a struct is a
// section, whose fields are settings; sections are not nested. Describe panics
// if source is not valid Go.
func Describe(source string, settings reflect.Type) []Description {
	comments := fieldComments(source)
	var all []Description
	for i := range settings.NumField() {
		field := settings.Field(i)
		name := field.Tag.Get("json")
		if field.Type.Kind() != reflect.Struct {
			all = append(all, describe(comments, settings, field, name))
			continue
		}
		for j := range field.Type.NumField() {
			inner := field.Type.Field(j)
			all = append(all, describe(comments, field.Type, inner, name+"."+inner.Tag.Get("json")))
		}
	}
	return all
}

func describe(comments map[string]string, owner reflect.Type, field reflect.StructField, name string) Description {
	d := parseComment(comments[owner.Name()+"."+field.Name], field.Name)
	d.Name = name
	return d
}

// fieldComments returns the doc comment of each struct field, keyed by
// Type.Field.
func fieldComments(source string) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "", source, parser.ParseComments)
	if err != nil {
		panic(err) // The source is embedded in the package that declares it.
	}
	comments := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return false
		}
		for _, field := range structure.Fields.List {
			comments[spec.Name.Name+"."+field.Names[0].Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
		}
		return false
	})
	return comments
}

// parseComment splits "Field is text. Unit: u. Default: d." into text, unit and
// default.
func parseComment(comment, field string) Description {
	text, rest, _ := strings.Cut(comment, " Unit: ")
	unit, value, _ := strings.Cut(rest, ". Default: ")
	text = strings.TrimPrefix(strings.TrimPrefix(text, field+" "), "is ")
	if text != "" {
		text = strings.ToUpper(text[:1]) + text[1:]
	}
	return Description{Text: text, Unit: unit, Default: strings.TrimSuffix(value, ".")}
}

// Tables returns one Markdown table per section, each below a heading. The
// table of the settings outside sections has no heading.
func Tables(all []Description) string {
	var b strings.Builder
	section := "none yet"
	for _, d := range all {
		name, _, inSection := strings.Cut(d.Name, ".")
		if !inSection {
			name = ""
		}
		if name != section {
			section = name
			if name != "" {
				fmt.Fprintf(&b, "\n## %s\n", section)
			}
			b.WriteString("\n| setting | meaning | unit | default |\n|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Text, d.Unit, d.Default)
	}
	return b.String()
}

// CheckDefaults compares the documented defaults with the values in defaults, a
// settings struct. It returns a message for each difference and for each
// setting that lacks a description, a unit or a default.
func CheckDefaults(all []Description, defaults any) (problems []string) {
	values := map[string]string{}
	collect(values, "", reflect.ValueOf(defaults))
	for _, d := range all {
		want := values[d.Name]
		if want == "" {
			want = "none"
		}
		if strings.TrimSuffix(d.Default, ", required") != want {
			problems = append(problems, fmt.Sprintf("%s: documented default %q, actual default %q", d.Name, d.Default, want))
		}
		if d.Text == "" || d.Unit == "" || d.Default == "" {
			problems = append(problems, fmt.Sprintf("%s lacks a description, a unit or a default: %+v", d.Name, d))
		}
	}
	return problems
}

// collect adds the printed value of each setting in v, keyed by its full name.
func collect(values map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("json")
		if v.Field(i).Kind() == reflect.Struct {
			collect(values, name+".", v.Field(i))
			continue
		}
		values[name] = fmt.Sprint(v.Field(i).Interface())
	}
}

// CheckPage fails if the file at path does not hold the text want. If update is
// set, it writes the file instead.
func CheckPage(path, want string, update bool) error {
	if update {
		return os.WriteFile(path, []byte(want), 0o644)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if string(got) != want {
		return fmt.Errorf("%s is outdated: run its test with -update", path)
	}
	return nil
}
