package edge

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

const referencePage = "../docs/settings-edge.md"

var update = flag.Bool("update", false, "write docs/settings-edge.md")

// Guards against a documented default that isn't the real one.
func TestDocumentedDefaultsAreReal(t *testing.T) {
	defaults := map[string]string{}
	var collect func(prefix string, v reflect.Value)
	collect = func(prefix string, v reflect.Value) {
		for i := range v.NumField() {
			name := prefix + v.Type().Field(i).Tag.Get("json")
			if v.Field(i).Kind() == reflect.Struct {
				collect(name+".", v.Field(i))
				continue
			}
			defaults[name] = fmt.Sprint(v.Field(i).Interface())
		}
	}
	collect("", reflect.ValueOf(DefaultSettings()))
	for _, d := range DescribeSettings() {
		want := defaults[d.Name]
		if want == "" {
			want = "none"
		}
		if strings.TrimSuffix(d.Default, ", required") != want {
			t.Errorf("%s: documented %q, real %q", d.Name, d.Default, want)
		}
	}
}

// Guards against a reference page that differs from the program, and against a
// setting without unit or default.
func TestSettingsReferenceIsCurrent(t *testing.T) {
	for _, d := range DescribeSettings() {
		if d.Text == "" || d.Unit == "" || d.Default == "" {
			t.Errorf("%s lacks a description, a unit or a default: %+v", d.Name, d)
		}
	}
	want := SettingsReference()
	if *update {
		if err := os.WriteFile(referencePage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/settings-edge.md is outdated: run go test ./edge -run Reference -update")
	}
}
