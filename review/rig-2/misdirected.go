package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	// restarts is the number of restarts of the engine in one run.
	restarts = 4
	// downTime is the time for which the engine is down. Its entry expires after three
	// intervals of 1.2 s between its reports.
	downTime   = 2 * time.Second
	expiryTime = 3600 * time.Millisecond
	// restartInterval is the time between two restarts.
	restartInterval = 12 * time.Second
)

// misdirected restarts an engine under a new ID while generations that must run once at
// most are sent. The engine repeats one answer 421 to a request for its earlier lifetime
// at the point where the next answer is expected. TWICE is broken if a request then runs
// on two engines, REFUSED if one that has run is refused.
func misdirected(w *world, trouble bool) (bool, error) {
	w.operator.Engines, w.operator.Plain = []string{engineService}, []string{plainService}
	w.operator.Write()
	var sound []*standin.Server
	for i, stage := range []string{"prefill", "prefill", "decode", "decode"} {
		s, err := w.addServer(standin.ServerConfig{
			ID: fmt.Sprint("i-", i), Service: engineService, Stage: stage, ProcessingTime: promptTime, EventInterval: tokenTime,
		})
		if err != nil {
			return false, err
		}
		sound = append(sound, s)
	}
	e, err := w.startEngine("i-restarts-0")
	if err != nil {
		return false, err
	}
	if err := w.startDaemons(2); err != nil {
		return false, err
	}
	done := make(chan error, 1)
	go func() {
		if trouble {
			done <- w.restartOften(e)
			return
		}
		done <- nil
	}()
	calls := w.load(50, restarts*restartInterval+2*time.Second, "once", 10)
	if err := errors.Join(<-done, e.checkShare()); err != nil {
		return false, err
	}
	return w.judgeRuns(calls, e, sound), nil
}

func (w *world) restartOften(e *engine) error {
	for i := range restarts {
		begin := time.Now()
		time.Sleep(3 * time.Second)
		old := e.name()
		w.note("engine %s crashes", old)
		e.crash()
		crashed := time.Now()
		time.Sleep(downTime)
		e.beginFault(1, 0)
		if err := e.start(fmt.Sprint("i-restarts-", i+1)); err != nil {
			return err
		}
		time.Sleep(time.Until(crashed.Add(expiryTime)))
		w.note("the entry of %s expires", old)
		w.store.Put(w.names.Servers, old, nil)
		time.Sleep(time.Until(begin.Add(restartInterval)))
	}
	return nil
}

// judgeRuns reports whether a request ran twice, or was refused although it had run.
func (w *world) judgeRuns(calls []call, e *engine, sound []*standin.Server) bool {
	runs := map[string][]string{}
	for _, r := range standin.AllRuns(sound) {
		runs[r.Request] = append(runs[r.Request], r.Server)
	}
	served, broken := 0, false
	for _, c := range calls {
		for range e.runsOf(c.id) {
			runs[c.id] = append(runs[c.id], e.address)
		}
		w.note("%v; ran on %v", c, runs[c.id])
		if c.status == http.StatusOK && c.whole {
			served++
		}
		if len(runs[c.id]) > 1 {
			broken = true
			w.note("TWICE: %v; it must run once at most and ran on %v", c, runs[c.id])
		}
		if len(runs[c.id]) > 0 && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) {
			broken = true
			w.note("REFUSED: %v; it ran on %v", c, runs[c.id])
		}
	}
	w.note("%d requests, %d served", len(calls), served)
	return broken
}
