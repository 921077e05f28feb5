package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	// deadlyPart is the part of a prompt that crashes engines.
	deadlyPart = "bad0"
	// backAfter is the time after which a crashed engine is back, under another ID.
	backAfter = 2 * time.Second
	// contactTime is contact_ms of the small sites.
	contactTime = 3 * time.Second
	// countedCrashes is the number of crashes after which the rule binds, and allowedLater
	// the number of requests that may reach engines later than contactTime after it.
	countedCrashes, allowedLater = 5, 3
	soundPerSecond               = 30
	deadlyEvery                  = 400 * time.Millisecond
	deadlyFor                    = 14 * time.Second
)

// playDeadly sends requests with one part of the prompt that crashes each engine that
// begins to answer it, beside sound ones.
func playDeadly(s *system, trouble bool) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	number := 0
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var addDecoder func() error
	addDecoder = func() error {
		mu.Lock()
		number++
		id := fmt.Sprint("i-d", number)
		mu.Unlock()
		var sv *server
		ready := make(chan struct{})
		cfg := standin.ServerConfig{
			ID: id, Service: engineService, Stage: "decode", ChecksFence: true, ProcessingTime: 15 * time.Millisecond,
			EventInterval: 20 * time.Millisecond, StageSwitch: 300 * time.Millisecond, CrashingPart: deadlyPart,
		}
		cfg.OnCrash = func() {
			<-ready
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			s.record.add("%s crashes, the %d. crash", id, n)
			sv.silence()
			time.AfterFunc(backAfter, func() {
				if ctx.Err() == nil {
					_ = addDecoder() // The engines that are left suffice.
				}
			})
			time.AfterFunc(lapseAfter, func() { s.store.Put(names.Servers, id, nil) })
		}
		var err error
		sv, err = s.addServer(cfg, nil)
		close(ready)
		return err
	}
	for i := range 3 {
		cfg := standin.ServerConfig{ID: fmt.Sprint("i-p", i), Service: engineService, Stage: "prefill", ChecksFence: true, ProcessingTime: 5 * time.Millisecond, StageSwitch: 300 * time.Millisecond}
		if _, err := s.addServer(cfg, nil); err != nil {
			return false, err
		}
	}
	for range 6 {
		if err := addDecoder(); err != nil {
			return false, err
		}
	}
	if err := s.startDaemons(3, ""); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	path := standin.Path(engineService, "streaming") + "x"
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	sound, lost := 0, 0
	load := func(every time.Duration, parts func(n int) string, seen func(r request, a answer)) {
		clients.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				clients.Go(func() {
					r := request{id: newID(), path: path, body: fmt.Sprint("draft ", n), tokens: "600,12", allowed: 3 * time.Second, parts: parts(n)}
					a := send(ctx, s.daemons[n%len(s.daemons)].clients, r, nil)
					if ctx.Err() == nil {
						seen(r, a)
					}
				})
			}
		})
	}
	load(time.Second/soundPerSecond, func(n int) string { return fmt.Sprintf("aa:500,s%d:50", n%7) }, func(_ request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		sound++
		if !a.whole || a.status != 200 {
			lost++
		}
	})
	time.Sleep(time.Second)
	if trouble {
		load(deadlyEvery, func(n int) string { return fmt.Sprintf("aa:500,%s:40,q%d:50", deadlyPart, n) }, func(request, answer) {})
	}
	time.Sleep(deadlyFor)
	stop()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.record.add("%d engines ended; %d sound requests, %d of them not served as a whole", len(crashes), sound, lost)
	if !trouble {
		return false, nil
	}
	if len(crashes) < countedCrashes {
		s.record.add("fewer than %d crashes", countedCrashes)
		return false, nil
	}
	bound := crashes[countedCrashes-1].Add(contactTime)
	later := map[string]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.servers {
		for _, a := range sv.Arrivals() {
			if strings.Contains(a.Parts, deadlyPart+":") && a.At.After(bound) {
				later[a.Request] = true
			}
		}
	}
	s.record.add("%d requests with the part reached engines later than %v after the %d. crash; more than %d break the rule", len(later), contactTime, countedCrashes, allowedLater)
	return len(later) > allowedLater, nil
}
