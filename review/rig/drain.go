package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	daemons = 6
	servers = 4
	// drainBound is drain_ms of the small deployments.
	drainBound = 2 * time.Second
	// quietTime is the time from the loss of the machines to the removal of the
	// server's entry, and darkTime the one to the machines' return; the site file has
	// up to 3.5 s.
	quietTime = 2800 * time.Millisecond
	darkTime  = 3200 * time.Millisecond
	// lingerTime is the time for which the server goes on serving after its removal.
	lingerTime = 15 * time.Second
	// clientPause is the time between two requests to one daemon.
	clientPause = 40 * time.Millisecond
)

// drainCase removes the entry of a server that goes on serving for a while. With the
// trouble, the machines of the two daemons that read the list of servers have lost
// power 2.8 s before, and are back 0.4 s later. Rule DRAIN is broken if requests that
// the other daemons pass on reach the server later than drain_ms after the removal.
func drainCase(r *rig) (bool, error) {
	r.operator.Plain = []string{plainService}
	r.operator.Keys = map[string][]string{"acme": {"key-acme"}}
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
	reads := &readers{topic: names.ServersTopic, reads: map[string]time.Time{}, silent: map[string]bool{}}
	var all []*daemon
	byName := map[string]*daemon{}
	for i := range daemons {
		vm := fmt.Sprint("vm-", i)
		store, err := r.serve(reads.handler(vm, r.store))
		if err != nil {
			return false, err
		}
		d, err := r.start(vm, zone, store, cloud, "5s")
		if err != nil {
			return false, err
		}
		all, byName[vm] = append(all, d), d
	}
	traffic := r.startTraffic(all)
	defer traffic.stop()
	time.Sleep(6 * time.Second)
	lost, err := reads.await(10 * time.Second)
	if err != nil {
		return false, err
	}
	r.note("the list of servers is read by %v", lost)
	begin := time.Now()
	if r.trouble {
		for _, vm := range lost {
			byName[vm].signal(syscall.SIGKILL)
			r.note("%s has lost power", vm)
		}
	}
	time.Sleep(time.Until(begin.Add(quietTime)))
	leaver := desk[0]
	r.store.Put(names.ServersTopic, leaver.ID(), nil)
	removed := time.Now()
	r.note("the store has accepted the removal of %s at %s", leaver.ID(), leaver.Addr())
	time.Sleep(time.Until(begin.Add(darkTime)))
	if r.trouble {
		for _, vm := range lost {
			if err := r.restart(byName[vm]); err != nil {
				return false, err
			}
			r.note("%s is back and ready", vm)
		}
	}
	time.Sleep(time.Until(removed.Add(lingerTime)))
	traffic.stop()
	disturbed := map[string]bool{}
	if r.trouble {
		for _, vm := range lost {
			disturbed[vm] = true
		}
	}
	late := 0
	last := map[string]time.Duration{}
	runs := r.noteRuns(desk)
	for _, run := range runs {
		vm := traffic.daemonOf(run.Request)
		after := run.Begin.Sub(removed)
		if run.Server != leaver.ID() || after <= drainBound || disturbed[vm] {
			continue
		}
		late++
		last[vm] = max(last[vm], after)
	}
	for _, d := range all {
		if after, ok := last[d.vm]; ok {
			r.note("%s, which was never disturbed, sent its last request there %.3f s after the removal", d.vm, after.Seconds())
		}
	}
	r.note("%d runs in all, %d on %s later than %v after its removal, from undisturbed daemons", len(runs), late, leaver.ID(), drainBound)
	if len(runs) == 0 {
		return false, errors.New("no request ran")
	}
	return late > 0, nil
}

// traffic are the clients of a case.
type traffic struct {
	done chan struct{}
	once sync.Once
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent map[string]string
}

// startTraffic sends idempotent requests to each daemon until stop.
func (r *rig) startTraffic(all []*daemon) *traffic {
	t := &traffic{done: make(chan struct{}), sent: map[string]string{}}
	for _, d := range all {
		t.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-t.done:
					return
				case <-time.After(clientPause):
				}
				c := &call{id: fmt.Sprintf("%s.%05d", d.vm, n), key: "key-acme", path: standin.Path(plainService, "idempotent") + "x", timeLeft: time.Second}
				t.mu.Lock()
				t.sent[c.id] = d.vm
				t.mu.Unlock()
				r.send(d, c)
			}
		})
	}
	return t
}

func (t *traffic) stop() {
	t.once.Do(func() { close(t.done) })
	t.wg.Wait()
}

// daemonOf returns the daemon to which a request was sent.
func (t *traffic) daemonOf(request string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent[request]
}
