package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// settleTime is the time in which the system has changed the stages of engines.
const settleTime = 14 * time.Second

// playRoles crashes the only decode engine of a software version, of which two more
// engines serve.
func playRoles(s *system, trouble bool) (bool, error) {
	const streams, events = 60, 60
	engine := func(id, stage, version string) standin.ServerConfig {
		return standin.ServerConfig{
			ID: id, Service: engineService, Stage: stage, Version: version, ChecksFence: true, Zone: zone,
			ProcessingTime: 10 * time.Millisecond, EventInterval: 60 * time.Millisecond, StageSwitch: 300 * time.Millisecond,
		}
	}
	at, err := newHost()
	if err != nil {
		return false, err
	}
	defer at.down()
	// Three engines of v1 and two of v2 start with one stage. The system changes it for
	// some of them.
	crashing, err := s.addServerAt(engine("i-0", "prefill", "v1"), at, nil)
	if err != nil {
		return false, err
	}
	for i, version := range []string{"v2", "v1", "v1", "v2"} {
		if _, err := s.addServer(engine(fmt.Sprint("i-", i+1), "prefill", version), nil); err != nil {
			return false, err
		}
	}
	if err := s.startDaemons(3, ""); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	versions := []string{"v1", "v2", "v1", "v1", "v2"}
	for i, sv := range s.servers {
		s.record.add("%s of %s has the stage %s", sv.ID(), versions[i], sv.Stage())
	}
	if crashing.Stage() != "decode" {
		return false, fmt.Errorf("%s was not chosen to decode", crashing.ID())
	}
	path, tokens := standin.Path(engineService, "streaming")+"x", fmt.Sprint("600,", events)
	var all sync.WaitGroup
	var tookUp, wentOn, newBegun, newSent atomic.Int64
	for i := range streams {
		all.Go(func() {
			d := s.daemons[i%3]
			r := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: 6 * time.Second}
			a := send(context.Background(), d.clients, r, nil)
			s.record.add("stream %s at %s: status %d, %d events, whole %t, %v", r.id, d.name, a.status, a.events, a.whole, a.err)
			if a.whole || a.events == 0 || !strings.Contains(a.body, " of v1\n") {
				return
			}
			tookUp.Add(1)
			for try := 1; try <= 3; try++ {
				time.Sleep(600 * time.Millisecond)
				left := 6*time.Second - time.Since(a.begin)
				if left < 100*time.Millisecond {
					return
				}
				d := s.daemons[(i+try)%3]
				up := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: left, after: a.lastID, resumes: r.id}
				b := send(context.Background(), d.clients, up, nil)
				s.record.add("take-up %s of %s at %s: status %d, %d events, whole %t, retry after %q, %v", up.id, r.id, d.name, b.status, b.events, b.whole, b.header.Get("Retry-After"), b.err)
				if b.events > 0 {
					wentOn.Add(1)
					return
				}
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		s.record.add("%s crashes", crashing.ID())
		crashing.silence()
		at.down()
	}
	for i := range 24 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			d := s.daemons[i%3]
			newSent.Add(1)
			r := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: 6 * time.Second}
			a := send(context.Background(), d.clients, r, nil)
			s.record.add("new stream %s at %s: status %d, %d events, whole %t", r.id, d.name, a.status, a.events, a.whole)
			if a.events > 0 {
				newBegun.Add(1)
			}
		})
	}
	all.Wait()
	for i, sv := range s.servers {
		s.record.add("%s of %s has the stage %s", sv.ID(), versions[i], sv.Stage())
	}
	s.record.add("%d taken up, %d went on; %d of %d new ones began", tookUp.Load(), wentOn.Load(), newBegun.Load(), newSent.Load())
	if trouble && tookUp.Load() < 12 {
		return false, fmt.Errorf("too few streams to judge")
	}
	share, newShare := float64(wentOn.Load())/float64(max(tookUp.Load(), 1)), float64(newBegun.Load())/float64(newSent.Load())
	return tookUp.Load() >= 12 && share < newShare/2, nil
}
