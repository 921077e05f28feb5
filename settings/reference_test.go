package settings

import (
	"flag"
	"testing"

	"github.com/mimosakeel/mimosakeel/internal/settingsdoc"
)

const referencePage = "../docs/settings.md"

var update = flag.Bool("update", false, "write the reference page")

// Guards against a documented default that differs from the code, and against a
// setting without a description, unit or default.
func TestDocumentedDefaultsMatchTheCode(t *testing.T) {
	for _, problem := range settingsdoc.CheckDefaults(Describe(), Default()) {
		t.Error(problem)
	}
}

// Guards against a reference page that is out of date with the doc comments.
func TestReferencePageIsCurrent(t *testing.T) {
	if err := settingsdoc.CheckPage(referencePage, Reference(), *update); err != nil {
		t.Fatal(err)
	}
}
