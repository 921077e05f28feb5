package edge

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against negative numbers of crashes, with which nothing would be quarantined
// although the settings seem to ask for it.
func TestNegativeNumbersOfCrashesAreRejected(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "edge.json")
	g.Expect(os.WriteFile(file, []byte(`{"quarantine": {"crashes": -1, "request_crashes": -1}}`), 0o600)).To(Succeed())
	_, err := LoadSettings(file)
	g.Expect(err).To(MatchError(ContainSubstring("quarantine.crashes: must not be negative")))
	g.Expect(err).To(MatchError(ContainSubstring("quarantine.request_crashes: must not be negative")))
}
