package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	plainService = "desk"
	zone         = "zone-a"
)

// usageCase plays requests of two customers while the usage windows last 2.5 s, or 5 s
// without the trouble. Rule ONE is broken if the platform accepts two reports for one
// window with different counts.
func usageCase(r *rig) (bool, error) {
	r.operator.Plain = []string{plainService}
	r.operator.Keys = map[string][]string{"acme": {"key-acme"}, "bolt": {"key-bolt"}}
	r.operator.Write()
	window := "5s"
	if r.trouble {
		window = "2.5s"
	}
	store, err := r.serve(r.store)
	if err != nil {
		return false, err
	}
	cloud, err := r.serve(r.cloud)
	if err != nil {
		return false, err
	}
	var desk []*standin.Server
	for i := range 2 {
		s, err := r.server(standin.ServerConfig{ID: fmt.Sprint("i-", i), Service: plainService, Zone: zone, ProcessingTime: 5 * time.Millisecond})
		if err != nil {
			return false, err
		}
		desk = append(desk, s)
	}
	var daemons []*daemon
	for i := range 2 {
		d, err := r.start(fmt.Sprint("vm-", i), zone, store, cloud, window)
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	r.note("usage windows last %s", window)
	served := 0
	for n, end := 0, time.Now().Add(45*time.Second); time.Now().Before(end); n++ {
		c := &call{id: fmt.Sprintf("u%05d", n), key: "key-acme", path: standin.Path(plainService, "idempotent") + "x", timeLeft: time.Second}
		if n%3 == 0 {
			c.key = "key-bolt"
		}
		r.send(daemons[n%len(daemons)], c)
		if c.status == 200 {
			served++
		}
		// The rate changes, so that windows differ.
		time.Sleep(time.Duration(20+10*(n/100%5)) * time.Millisecond)
	}
	r.noteRuns(desk)
	reports := r.cloud.Reports()
	for _, w := range slices.Sorted(maps.Keys(reports)) {
		r.note("last accepted report of window %d: %v", w, reports[w].Counts)
	}
	if served == 0 || len(reports) < 3 {
		return false, fmt.Errorf("%d requests served, %d windows reported", served, len(reports))
	}
	broken := r.cloud.Violations()
	for _, text := range broken {
		r.note("violation: %s", text)
	}
	return len(broken) > 0, nil
}
