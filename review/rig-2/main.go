// Command rig-2 runs the scripts of the second independent review. Each case starts the
// project's daemons as processes, with the platform's stand-ins in this process, and
// exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases maps the name of a case to its function, which reports whether a rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"misdirected": misdirected,
	"unsigned":    unsigned,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE PROGRAM RECORD")
		return exitNoRun
	}
	record, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "mimosakeel-review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(dir, args[1], record)
	defer w.close()
	w.note("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
