package edge

import (
	_ "embed"
	"reflect"
	"slices"
	"strings"

	"github.com/mimosakeel/mimosakeel/internal/settingsdoc"
)

//go:embed settings.go
var settingsSource string

// DescribeSettings returns the descriptions of all settings, beginning with those
// outside any section.
func DescribeSettings() []settingsdoc.Description {
	all := settingsdoc.Describe(settingsSource, reflect.TypeFor[Settings]())
	slices.SortStableFunc(all, func(a, b settingsdoc.Description) int {
		return sectionOrder(a) - sectionOrder(b)
	})
	return all
}

func sectionOrder(d settingsdoc.Description) int {
	if strings.Contains(d.Name, ".") {
		return 1
	}
	return 0
}

// SettingsReference returns the reference page of all settings as Markdown.
func SettingsReference() string {
	var b strings.Builder
	b.WriteString("# Settings of the edge daemon\n\n")
	b.WriteString("<!-- Written by `go test ./edge -run Reference -update` from the doc comments in edge/settings.go. -->\n\n")
	b.WriteString("`mimosakeel edge` reads its settings from one JSON file with comments and trailing commas, which the\n")
	b.WriteString("users' platform renders from deploy/edge.json. Unknown names are refused. `mimosakeel check -edge FILE`\n")
	b.WriteString("reports all problems with their lines. The sections `retry` and `fleet` also take effect while the\n")
	b.WriteString("daemon runs: on SIGHUP, or within 5 s of a change of the file. Durations are strings such as \"800ms\".\n")
	b.WriteString(settingsdoc.Tables(DescribeSettings()))
	return b.String()
}
