package settings

import (
	"flag"
	"testing"

	"github.com/mimosakeel/mimosakeel/internal/settingsdoc"
)

const referencePage = "../docs/settings.md"

var update = flag.Bool("update", false, "write the reference page")

// Guards against a documented default that isn't the real one, and against a
// setting without description, unit or default.
func TestDocumentedDefaultsAreReal(t *testing.T) {
	for _, problem := range settingsdoc.CheckDefaults(Describe(), Default()) {
		t.Error(problem)
	}
}

// Guards against a reference page that differs from the program.
func TestReferencePageIsCurrent(t *testing.T) {
	if err := settingsdoc.CheckPage(referencePage, Reference(), *update); err != nil {
		t.Fatal(err)
	}
}
