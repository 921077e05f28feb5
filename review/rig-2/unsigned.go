package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// unsignedEach is one in 50: the share of spoilt answers of the platform's garble.
const unsignedEach = 50

// unsigned lets an engine leave its signature out of one in 50 answers. MIXED is broken
// if a consumer gets a success without a signature.
func unsigned(w *world, trouble bool) (bool, error) {
	w.operator.Engines, w.operator.Plain = []string{engineService}, []string{plainService}
	w.operator.Write()
	for i, stage := range []string{"prefill", "prefill", "decode", "decode"} {
		_, err := w.addServer(standin.ServerConfig{
			ID: fmt.Sprint("i-", i), Service: engineService, Stage: stage, ProcessingTime: promptTime, EventInterval: tokenTime,
		})
		if err != nil {
			return false, err
		}
	}
	e, err := w.startEngine("i-spoils")
	if err != nil {
		return false, err
	}
	if err := w.startDaemons(2); err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(2*time.Second, func() { e.beginFault(0, unsignedEach) })
	}
	calls := w.load(60, 10*time.Second, "streaming", 10)
	if err := e.checkShare(); err != nil {
		return false, err
	}
	served, broken := 0, false
	for _, c := range calls {
		w.note("%v", c)
		if c.status == http.StatusOK && c.whole {
			served++
		}
		if c.status >= 200 && c.status < 300 && !c.signed {
			broken = true
			w.note("MIXED: a success without the server's signature: %v", c)
		}
	}
	w.note("%d requests, %d served", len(calls), served)
	return broken, nil
}
