// Package testseed fixes the seed of tests that use rapid (property-based
// testing), so that every run of the test command generates the same cases.
package testseed

import (
	"flag"
	"strconv"
)

// Fix sets rapid's seed and number of checks unless they are given on the
// command line, and turns off rapid's fail files. Call it from TestMain; a soak
// run overrides the values with -rapid.seed and -rapid.checks.
func Fix(seed uint64, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set(given, "rapid.seed", strconv.FormatUint(seed, 10))
	set(given, "rapid.checks", strconv.Itoa(checks))
	set(given, "rapid.nofailfile", "true")
}

// set sets a flag that is not given on the command line.
func set(given map[string]bool, name, value string) {
	if given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
