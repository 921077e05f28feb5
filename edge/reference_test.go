package edge

import (
	"flag"
	"testing"

	"github.com/mimosakeel/mimosakeel/internal/settingsdoc"
)

const referencePage = "../docs/settings-edge.md"

var update = flag.Bool("update", false, "write the reference page")

// Guards against a documented default that differs from the real one, and
// against a setting without a description, unit or default.
func TestDocumentedDefaultsAreReal(t *testing.T) {
	for _, problem := range settingsdoc.CheckDefaults(DescribeSettings(), DefaultSettings()) {
		t.Error(problem)
	}
}

// Guards against a reference page that no longer matches the doc comments of the
// settings.
func TestReferencePageIsCurrent(t *testing.T) {
	if err := settingsdoc.CheckPage(referencePage, SettingsReference(), *update); err != nil {
		t.Fatal(err)
	}
}
