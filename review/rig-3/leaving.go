package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/relay"
	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// headerLeaving is in all answers of a server that leaves.
const headerLeaving = "Server-Leaving"

// drainTime is drain_ms of the small sites.
const drainTime = 2 * time.Second

// leavingServer adds the header once the server leaves.
type leavingServer struct {
	next    http.Handler
	leaving atomic.Bool
}

func (l *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	l.next.ServeHTTP(w, r)
}

// playLeaving lets a server leave while the daemon is cut off from the store. The server
// says so in its answers.
func playLeaving(s *system, trouble bool) (bool, error) {
	const servers, perSecond = 4, 150
	cfg := func(i int) standin.ServerConfig {
		return standin.ServerConfig{ID: fmt.Sprint("i-", i), Service: plainService, ProcessingTime: 60 * time.Millisecond}
	}
	at, err := newHost()
	if err != nil {
		return false, err
	}
	defer at.down()
	handler := &leavingServer{}
	leaver, err := s.addServerAt(cfg(0), at, func(inner http.Handler) http.Handler {
		handler.next = inner
		return handler
	})
	if err != nil {
		return false, err
	}
	for i := 1; i < servers; i++ {
		if _, err := s.addServer(cfg(i), nil); err != nil {
			return false, err
		}
	}
	if err := s.startDaemons(1, ""); err != nil {
		return false, err
	}
	d := s.daemons[0]
	time.Sleep(4 * time.Second)

	type sent struct {
		id     string
		at     time.Time
		status int
		err    error
	}
	var mu sync.Mutex
	var all []sent
	var passedOn time.Time
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() {
		tick := time.NewTicker(time.Second / perSecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			kind := "non_idempotent"
			if n%3 == 0 {
				kind = "idempotent"
			}
			clients.Go(func() {
				r := request{id: newID(), path: standin.Path(plainService, kind) + "x", body: "hut 7", allowed: time.Second}
				a := send(context.Background(), d.clients, r, nil)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sent{r.id, a.begin, a.status, a.err})
				if passedOn.IsZero() && a.header.Get(headerLeaving) != "" {
					passedOn = a.end
					s.record.add("%s has passed on the first answer with %s, to %s", d.name, headerLeaving, r.id)
				}
				if kind == "non_idempotent" && a.status != http.StatusOK {
					s.record.add("booking %s ended with status %d, %v", r.id, a.status, a.err)
				}
			})
		}
	})
	time.Sleep(time.Second)
	if trouble {
		s.record.add("%s is cut off from the store", d.name)
		d.store.Set(relay.MuteDown)
	}
	time.Sleep(500 * time.Millisecond)
	leaver.Drain()
	leaver.beat()
	handler.leaving.Store(true)
	s.record.add("%s leaves; the store has accepted its entry", leaver.ID())
	time.Sleep(drainTime + 1500*time.Millisecond)
	arrivals := leaver.Arrivals()
	s.record.add("%s exits", leaver.ID())
	var running []standin.Run
	for _, r := range leaver.Runs() {
		if r.End.IsZero() {
			running = append(running, r)
		}
	}
	leaver.silence()
	at.down()
	s.store.Put(names.Servers, leaver.ID(), nil)
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	if trouble {
		d.store.Heal()
	}
	if passedOn.IsZero() {
		if trouble {
			return false, fmt.Errorf("no answer with %s was passed on", headerLeaving)
		}
		s.record.add("no answer with %s was passed on", headerLeaving)
		return false, nil
	}
	begun := map[string]time.Time{}
	failed := map[string]bool{}
	for _, c := range all {
		begun[c.id] = c.at
		failed[c.id] = c.status != http.StatusOK
	}
	late, cut := 0, 0
	for _, a := range arrivals {
		if after := begun[a.Request].Sub(passedOn); after > drainTime {
			late++
			s.record.add("request %s, sent %.3f s after that, reached %s", a.Request, after.Seconds(), leaver.ID())
		}
	}
	for _, r := range running {
		if failed[r.Request] {
			cut++
			s.record.add("%s exited while it ran %s, which got no answer", leaver.ID(), r.Request)
		}
	}
	s.record.add("%d requests, %d reached %s later than %v after the answer; %d that it ran got no answer", len(all), late, leaver.ID(), drainTime, cut)
	return late > 0, nil
}
