package settings

import (
	_ "embed"
	"reflect"
	"strings"

	"github.com/mimosakeel/mimosakeel/internal/settingsdoc"
)

//go:embed fields.go
var fieldsSource string

// Describe returns the descriptions of all settings in the order of the struct
// fields. It takes them from the doc comments.
func Describe() []settingsdoc.Description {
	return settingsdoc.Describe(fieldsSource, reflect.TypeFor[Settings]())
}

// Reference returns the reference page of all settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("<!-- Written by `go test ./settings -run Reference -update` from the doc comments in settings/fields.go. -->\n\n")
	b.WriteString("A daemon of `mimosakeel serve` reads its settings once, at the start, from one JSON file with comments\n")
	b.WriteString("and trailing commas. Unknown names are refused. `mimosakeel check FILE` reports all problems with their\n")
	b.WriteString("lines. Durations are strings such as \"500ms\", \"2s\" or \"1m30s\". An example is examples/mimosakeel.json.\n")
	b.WriteString("The settings of `mimosakeel edge` are in [settings-edge.md](settings-edge.md).\n")
	b.WriteString(settingsdoc.Tables(Describe()))
	return b.String()
}
