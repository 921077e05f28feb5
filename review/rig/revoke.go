package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	// grownDaemons is the number of daemons after machines were added to eight.
	grownDaemons = 12
	// turnedAway is the time for which the store doesn't answer the two daemons. The
	// site file has up to 9 s.
	turnedAway = 9 * time.Second
	// withdrawals keys are withdrawn, one each withdrawalGap, as in a quick succession
	// of configurations (0.33 s for 4 s in the site file).
	withdrawals   = 12
	withdrawalGap = 330 * time.Millisecond
	// configBound is config_apply_ms of the small deployments.
	configBound = 2 * time.Second
	// probeTime is the time after the bound in which withdrawn keys are tried.
	probeTime = 600 * time.Millisecond
)

// revokeCase withdraws keys while the store doesn't answer the two daemons that read
// the configuration for the others. Rule CONFIG is broken if a request with a withdrawn
// key that is sent to another daemon later than config_apply_ms after the ack runs.
func revokeCase(r *rig) (bool, error) {
	var keys []string
	for i := range withdrawals {
		keys = append(keys, fmt.Sprint("key-acme-", i))
	}
	r.operator.Plain = []string{plainService}
	r.operator.Keys = map[string][]string{"acme": slices.Clone(keys), "bolt": {"key-bolt"}}
	r.operator.Write()
	cloud, err := r.serve(r.cloud)
	if err != nil {
		return false, err
	}
	var desk []*standin.Server
	for i := range servers {
		s, err := r.server(standin.ServerConfig{ID: fmt.Sprint("i-", i), Service: plainService, Zone: zone, ProcessingTime: 5 * time.Millisecond})
		if err != nil {
			return false, err
		}
		desk = append(desk, s)
	}
	reads := &readers{topic: names.OperatorTopic, reads: map[string]time.Time{}, silent: map[string]bool{}}
	var all []*daemon
	for i := range grownDaemons {
		vm := fmt.Sprint("vm-", i)
		store, err := r.serve(reads.handler(vm, r.store))
		if err != nil {
			return false, err
		}
		d, err := r.start(vm, zone, store, cloud, "5s")
		if err != nil {
			return false, err
		}
		all = append(all, d)
	}
	time.Sleep(6 * time.Second)
	away, err := reads.await(10 * time.Second)
	if err != nil {
		return false, err
	}
	r.note("the configuration is read by %v", away)
	if r.trouble {
		reads.silence(away, true)
		r.note("the store answers %v no longer", away)
		time.AfterFunc(turnedAway, func() { reads.silence(away, false) })
	}
	var mu sync.Mutex
	var late []*call
	var wg sync.WaitGroup
	for i, key := range keys {
		time.Sleep(withdrawalGap)
		r.operator.Keys["acme"] = slices.Clone(keys[i+1:])
		r.operator.Write()
		ack := time.Now()
		r.note("the store has accepted version %d, which withdraws %s", r.operator.Version(), key)
		wg.Go(func() {
			time.Sleep(time.Until(ack.Add(configBound + 5*time.Millisecond)))
			for n := 0; time.Since(ack) < configBound+probeTime; n++ {
				d := all[n%len(all)]
				if slices.Contains(away, d.vm) {
					continue
				}
				c := &call{id: fmt.Sprintf("w%02d.%04d", i, n), key: key, path: standin.Path(plainService, "idempotent") + "x", timeLeft: time.Second}
				r.send(d, c)
				if c.status != http.StatusUnauthorized {
					r.note("%s with withdrawn %s was sent to %s %.3f s after the ack: status %d", c.id, key, d.vm, c.sent.Sub(ack).Seconds(), c.status)
				}
				mu.Lock()
				late = append(late, c)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, run := range r.noteRuns(desk) {
		ran[run.Request] = true
	}
	broken := 0
	for _, c := range late {
		if ran[c.id] {
			broken++
		}
	}
	// A key that is still in the configuration must work.
	c := &call{id: "last", key: "key-bolt", path: standin.Path(plainService, "idempotent") + "x", timeLeft: time.Second}
	r.send(all[0], c)
	if c.status != http.StatusOK {
		return false, errors.New("a valid key is not served")
	}
	r.note("%d requests with withdrawn keys, sent later than %v after the ack, %d of them ran", len(late), configBound, broken)
	return broken > 0, nil
}
