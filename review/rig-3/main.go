package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns whether the rule was broken, and an error if the case could
// not run. trouble is false for the run without the disruption.
type play func(s *system, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"deadly": playDeadly,
	"gaps":   playGaps,
	"reborn": playReborn,
	"usage":  playUsage,
	"roles":  playRoles,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		return exitNotRun
	}
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := &record{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := playOnce(rec, cases[os.Args[1]], trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	rec.add("result %d, trouble %t", code, trouble)
	if err := file.Close(); err != nil {
		return exitNotRun
	}
	return code
}

// longest is the time after which a case is given up.
const longest = 100 * time.Second

func playOnce(rec *record, p play, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, errors.Join(errors.New("start the stand-ins"), err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := p(s, trouble)
		ended <- result{broken, err}
	}()
	select {
	case r := <-ended:
		return r.broken, r.err
	case got := <-signals:
		return false, fmt.Errorf("ended by %v", got)
	case <-time.After(longest):
		return false, fmt.Errorf("not done after %v", longest)
	}
}
