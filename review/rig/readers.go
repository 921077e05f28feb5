package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// readPause is longer than the pause between two reads of a daemon that reads a topic
// for the others.
const readPause = 1200 * time.Millisecond

// readers notes which daemons read a topic, and may silence the store for some daemons.
type readers struct {
	topic string

	mu sync.Mutex
	// reads holds the time of the last read by daemon.
	reads map[string]time.Time
	// silent holds the daemons that get no answers from the store.
	silent map[string]bool
}

// handler passes the calls of one daemon on to the store.
func (l *readers) handler(vm string, store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		l.mu.Lock()
		if q.Get("topic") == l.topic && q.Has("from") {
			l.reads[vm] = time.Now()
		}
		silent := l.silent[vm]
		l.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})
}

// since returns the daemons that have read the topic since a time.
func (l *readers) since(t time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for vm, at := range l.reads {
		if at.After(t) {
			out = append(out, vm)
		}
	}
	sort.Strings(out)
	return out
}

// await waits until two daemons read the topic and returns them.
func (l *readers) await(within time.Duration) ([]string, error) {
	var out []string
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if out = l.since(time.Now().Add(-readPause)); len(out) == 2 {
			return out, nil
		}
	}
	return nil, fmt.Errorf("%d daemons read %s", len(out), l.topic)
}

// silence sets whether the store answers some daemons.
func (l *readers) silence(vms []string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, vm := range vms {
		l.silent[vm] = silent
	}
}
