package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// idStep is the distance of the IDs of two events. They increase, as the pages say.
const idStep = 3

var idLine = regexp.MustCompile(`(?m)^id: (\d+)$`)

// spacedIDs changes the IDs of a server's events from 1, 2, 3 to 3, 6, 9, and those that
// callers name back.
func spacedIDs(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			r.Header.Set("Last-Event-Id", strconv.Itoa(last/idStep))
		}
		next.ServeHTTP(&spacedWriter{ResponseWriter: w}, r)
	})
}

type spacedWriter struct{ http.ResponseWriter }

func (w *spacedWriter) Write(p []byte) (int, error) {
	out := idLine.ReplaceAllFunc(p, func(line []byte) []byte {
		n, _ := strconv.Atoi(string(bytes.TrimPrefix(line, []byte("id: "))))
		return fmt.Appendf(nil, "id: %d", idStep*n)
	})
	if _, err := w.ResponseWriter.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController flush.
func (w *spacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// playGaps kills a daemon while it passes streams on. Consumers take them up at another
// one.
func playGaps(s *system, trouble bool) (bool, error) {
	const streams, events = 24, 40
	for i, stage := range []string{"prefill", "decode", "decode", "decode"} {
		cfg := standin.ServerConfig{
			ID: fmt.Sprint("i-", i), Service: engineService, Stage: stage, ChecksFence: true,
			ProcessingTime: 10 * time.Millisecond, EventInterval: 60 * time.Millisecond, StageSwitch: 300 * time.Millisecond,
		}
		if _, err := s.addServer(cfg, spacedIDs); err != nil {
			return false, err
		}
	}
	if err := s.startDaemons(3, ""); err != nil {
		return false, err
	}
	// All machines are in touch 3 s after their start.
	time.Sleep(5 * time.Second)
	var begun, tookUp, wentOn, newSent, newBegun atomic.Int64
	var all sync.WaitGroup
	path := standin.Path(engineService, "streaming") + "x"
	tokens := fmt.Sprint("600,", events)
	for range streams {
		all.Go(func() {
			r := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: 6 * time.Second}
			first := r.id
			a := send(context.Background(), s.daemons[0].clients, r, func(n int) {
				if n == 1 {
					begun.Add(1)
				}
			})
			s.record.add("stream %s at %s: status %d, %d events, last %s, whole %t, %v", r.id, s.daemons[0].name, a.status, a.events, a.lastID, a.whole, a.err)
			if a.whole || a.events == 0 {
				return
			}
			tookUp.Add(1)
			left := 6*time.Second - time.Since(a.begin)
			for try := 1; try <= 2; try++ {
				d := s.daemons[try]
				up := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: left, after: a.lastID, resumes: first}
				b := send(context.Background(), d.clients, up, nil)
				s.record.add("take-up %s of %s behind %s at %s: status %d, %d events, last %s, whole %t, %v", up.id, first, a.lastID, d.name, b.status, b.events, b.lastID, b.whole, b.err)
				if b.events > 0 {
					wentOn.Add(1)
					return
				}
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		s.signal(s.daemons[0], syscall.SIGKILL)
	}
	// New streams at the same time, at the machines at which the others are taken up.
	for i := range streams {
		all.Go(func() {
			d := s.daemons[1+i%2]
			newSent.Add(1)
			r := request{id: newID(), path: path, body: "draft", tokens: tokens, allowed: 6 * time.Second}
			a := send(context.Background(), d.clients, r, nil)
			s.record.add("new stream %s at %s: status %d, %d events, whole %t, %v", r.id, d.name, a.status, a.events, a.whole, a.err)
			if a.events > 0 {
				newBegun.Add(1)
			}
		})
	}
	all.Wait()
	for _, sv := range s.servers {
		for _, run := range sv.Runs() {
			s.record.add("server %s ran %s behind event %d", run.Server, run.Request, run.LastEventID)
		}
	}
	s.record.add("%d streams begun, %d taken up, %d went on; %d of %d new ones began", begun.Load(), tookUp.Load(), wentOn.Load(), newBegun.Load(), newSent.Load())
	if begun.Load() < streams || newBegun.Load() < streams/2 || trouble && tookUp.Load() < 12 {
		return false, fmt.Errorf("too few streams to judge")
	}
	share, newShare := float64(wentOn.Load())/float64(max(tookUp.Load(), 1)), float64(newBegun.Load())/float64(newSent.Load())
	return tookUp.Load() >= 12 && share < newShare/2, nil
}
