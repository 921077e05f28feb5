// Package proof runs daemons, engines, plain services and a stand-in for the platform
// as separate processes, injects faults into them and their links, and checks the
// guarantees P1 to P12 against the stand-ins' audit records.
package proof

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
)

var (
	roundsFlag = flag.Int("rounds", 0, "number of fault rounds; 0 runs the small set")
	seedFlag   = flag.Uint64("seed", 1, "seed of the faults and of the traffic")
	onlyFlag   = flag.String("only", "", "run only rounds with this fault")
	keepFlag   = flag.Bool("keep", false, "keep the directory with logs and settings")
)

// binaries holds the paths of the programs under test, which are built once, and
// their directory.
var binaries struct{ dir, daemon, standin string }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !*keepFlag {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	binaries.dir = dir
	for name, target := range map[string]*string{"mimosakeel": &binaries.daemon, "mimosakeel-standin": &binaries.standin} {
		*target = filepath.Join(dir, name)
		build := exec.Command("go", "build", "-o", *target, "github.com/mimosakeel/mimosakeel/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		endChildren()
		os.Exit(1)
	}()
	defer endChildren()
	return m.Run()
}
