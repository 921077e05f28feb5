package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// host serves a backend server at a fixed address and may restart it there.
type host struct {
	addr string
	mu   sync.Mutex
	web  *http.Server
}

func newHost() (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	return &host{addr: listener.Addr().String()}, nil
}

// up serves a handler at the address.
func (h *host) up(handler http.Handler) error {
	listener, err := net.Listen("tcp", h.addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.web = &http.Server{Handler: handler}
	go func(web *http.Server) { _ = web.Serve(listener) }(h.web) // Ends with down.
	return nil
}

// down ends the server and its connections, as a crash does.
func (h *host) down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.web != nil {
		_ = h.web.Close()
	}
}

const (
	// lapseAfter is the silence after which the store drops the entry of a server: three
	// intervals between two writes.
	lapseAfter = 3 * beatInterval
	// rebornAfter is the time after which a crashed server is back.
	rebornAfter = 1 * time.Second
	// retryPause is the time after which a consumer takes a broken stream up.
	retryPause = 1200 * time.Millisecond
	// cutFor is the length of the partition, the default of the pages for such entries.
	cutFor = 5 * time.Second
)

// playReborn restarts the last server of an old software version behind a partition from
// the store. It comes back under its ID with the new version that the others have.
func playReborn(s *system, trouble bool) (bool, error) {
	const streams, events = 40, 70
	engine := func(id, stage, version string) standin.ServerConfig {
		return standin.ServerConfig{
			ID: id, Service: engineService, Stage: stage, Version: version, ChecksFence: true, Zone: zone,
			ProcessingTime: 10 * time.Millisecond, EventInterval: 60 * time.Millisecond, StageSwitch: 300 * time.Millisecond,
		}
	}
	for i, stage := range []string{"prefill", "decode", "decode", "decode"} {
		if _, err := s.addServer(engine(fmt.Sprint("i-new-", i), stage, "v2"), nil); err != nil {
			return false, err
		}
	}
	const oldID = "i-old"
	at, err := newHost()
	if err != nil {
		return false, err
	}
	defer at.down()
	old, err := s.addServerAt(engine(oldID, "decode", "v1"), at, nil)
	if err != nil {
		return false, err
	}
	if err := s.startDaemons(3, ""); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	path := standin.Path(engineService, "streaming") + "x"
	tokens := fmt.Sprint("600,", events)
	var all sync.WaitGroup
	var mu sync.Mutex
	mixed, takenUp, begunOld := 0, 0, 0
	for i := range streams {
		all.Go(func() {
			d := s.daemons[i%len(s.daemons)]
			r := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: 6 * time.Second}
			a := send(context.Background(), d.clients, r, nil)
			body, last, whole := a.body, a.lastID, a.whole
			s.record.add("stream %s at %s: status %d, %d events, last %s, whole %t, %v", r.id, d.name, a.status, a.events, a.lastID, a.whole, a.err)
			if !whole && last != "" {
				// The consumer retries once.
				time.Sleep(retryPause)
				left := 6*time.Second - time.Since(a.begin)
				d := s.daemons[(i+1)%len(s.daemons)]
				up := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: left, after: last, resumes: r.id}
				b := send(context.Background(), d.clients, up, nil)
				s.record.add("take-up %s of %s behind %s at %s: status %d, %d events, last %s, whole %t, retry after %q, %v",
					up.id, r.id, last, d.name, b.status, b.events, b.lastID, b.whole, b.header.Get("Retry-After"), b.err)
				body += b.body
			}
			v1, v2 := strings.Contains(body, " of v1\n"), strings.Contains(body, " of v2\n")
			mu.Lock()
			defer mu.Unlock()
			if v1 {
				begunOld++
			}
			if !a.whole && a.events > 0 {
				takenUp++
			}
			if v1 && v2 {
				mixed++
				s.record.add("stream %s holds events of v1 and v2", r.id)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		s.record.add("%s is cut off from the store and crashes", oldID)
		old.silence()
		at.down()
		time.AfterFunc(lapseAfter, func() {
			s.record.add("the store drops the entry of %s", oldID)
			s.store.Put(names.Servers, oldID, nil)
		})
		time.Sleep(rebornAfter)
		next, err := standin.StartServer(engine(oldID, "decode", "v2"))
		if err != nil {
			return false, err
		}
		defer next.Close()
		next.Advertise(at.addr)
		if err := at.up(next); err != nil {
			return false, err
		}
		s.record.add("%s starts again, with v2", oldID)
		time.Sleep(cutFor - rebornAfter)
		s.record.add("the cut ends, %s writes its entry", oldID)
		s.store.Put(names.Servers, oldID, next.Entry())
		for _, run := range next.Runs() {
			s.record.add("%s (v2) ran %s behind event %d", oldID, run.Request, run.LastEventID)
		}
	}
	all.Wait()
	s.record.add("%d streams held events of v1, %d were taken up, %d hold events of both versions; more than 2 break the rule", begunOld, takenUp, mixed)
	if begunOld < 3 {
		return false, fmt.Errorf("only %d streams began at the old version", begunOld)
	}
	return mixed > 2, nil
}
