package edge

import (
	"math"
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

// Guards against a daemon that is killed for its memory because the limit of the VM is
// lost, and against one that collects garbage without end because it has none.
func TestMemoryLimitFollowsTheVM(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Settings{}).MemoryLimit()).To(Equal(int64(math.MaxInt64)))
	g.Expect((&Settings{MemoryMB: 184}).MemoryLimit()).To(BeNumerically("~", 114e6, 1e6))
	g.Expect((&Settings{MemoryMB: 1e300}).MemoryLimit()).To(BeNumerically(">", 0))
	_, err := ParseSettings("edge.json", []byte(`{"memory_mb": -1}`))
	g.Expect(err).To(MatchError(ContainSubstring("memory_mb: must not be negative")))
}
