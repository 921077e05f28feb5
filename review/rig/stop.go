package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	engineService = "llm"
	// longPrompt and shortPrompt are the sizes of prompts in tokens.
	longPrompt, shortPrompt = 8000, 1460
	// tokensPerMs is the speed at which a prefill engine reads prompts, one at a time.
	// A decode engine takes twice as long.
	tokensPerMs = 56.6
	// generationPause is the time between two generations. The engines can't serve all.
	generationPause = 30 * time.Millisecond
	// budget is the time budget of the generations, as of the short questions of the
	// small deployments.
	budget = 6 * time.Second
	// warmUp is the time of traffic before the stop.
	warmUp = 20 * time.Second
	// newChannelsUntil is the time from SIGTERM after which the platform opens no new
	// channels to the daemon: two readiness checks a second apart have failed.
	newChannelsUntil = 2 * time.Second
	// stopGap is the time between the stops of the two machines. The site file stops
	// machines in turn each 1.0 to 2.0 s.
	stopGap = 2 * time.Second
	// sendUntil is the time from SIGTERM until which the clients send.
	sendUntil = 2400 * time.Millisecond
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	stopGrace = 8 * time.Second
)

// engine is a stand-in of an engine that reads one prompt at a time.
type engine struct {
	*standin.Server
	reading sync.Mutex
	// slowness is the time to read a prompt relative to a prefill engine.
	slowness float64
	proxy    *httputil.ReverseProxy
	mu       sync.Mutex
	// arrived holds the requests that reached the engine.
	arrived map[string]time.Time
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(names.RequestID); id != "" {
		e.mu.Lock()
		e.arrived[id] = time.Now()
		e.mu.Unlock()
		if r.Header.Get(names.KVSource) == "" {
			e.reading.Lock()
			var tokens float64
			_, _ = fmt.Sscanf(r.Header.Get(names.Tokens), "%f,", &tokens)
			time.Sleep(time.Duration(tokens * e.slowness / tokensPerMs * float64(time.Millisecond)))
			e.reading.Unlock()
		}
	}
	e.proxy.ServeHTTP(w, r)
}

func (r *rig) engine(id, stage string) (*engine, error) {
	s, err := standin.StartServer(standin.ServerConfig{
		ID: id, Service: engineService, Zone: zone, Stage: stage, EventInterval: 5 * time.Millisecond, ChecksFence: true, StageSwitch: 3 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, s.Close)
	e := &engine{Server: s, arrived: map[string]time.Time{}}
	e.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Addr()})
	e.proxy.FlushInterval = -1
	e.proxy.ErrorLog = log.New(io.Discard, "", 0)
	addr, err := r.serve(e)
	if err != nil {
		return nil, err
	}
	s.Advertise(addr)
	r.store.Put(names.ServersTopic, s.ID(), s.Entry())
	return e, nil
}

// scheduler sends a request to a daemon and returns the VM that placed it, from the
// daemon's log.
func (r *rig) scheduler(d *daemon) (string, error) {
	time.Sleep(2 * time.Second)
	r.send(d, &call{id: "first", key: "key-acme", path: standin.Path(engineService, "once") + "x", method: http.MethodPost, timeLeft: budget, tokens: "100,5", parts: "aa:10,bb:90"})
	time.Sleep(500 * time.Millisecond)
	data, err := os.ReadFile(d.log)
	if err != nil {
		return "", err
	}
	_, rest, ok := strings.Cut(string(data), "scheduler=")
	if !ok {
		return "", errors.New("the log names no scheduler")
	}
	vm, _, _ := strings.Cut(rest, " ")
	return vm, nil
}

var errNoChannel = errors.New("the platform opens no new channel to the daemon")

// stopCase stops a daemon with SIGTERM while the engines have more work than they can
// do, as they have all the time. Rule LOST is broken if a request that the daemon has
// read, and not passed on to an engine, ends without an answer later than
// loss_slack_ms after it was sent, inside its time budget.
func stopCase(r *rig) (bool, error) {
	r.operator.Engines = []string{engineService}
	r.operator.Keys = map[string][]string{"acme": {"key-acme"}, "bolt": {"key-bolt"}}
	r.operator.TimeoutMs = budget.Milliseconds()
	r.operator.Write()
	store, err := r.serve(r.store)
	if err != nil {
		return false, err
	}
	cloud, err := r.serve(r.cloud)
	if err != nil {
		return false, err
	}
	var engines []*engine
	for i, stage := range []string{"prefill", "decode"} {
		e, err := r.engine(fmt.Sprint("i-", i), stage)
		if err != nil {
			return false, err
		}
		e.slowness = float64(i + 1)
		engines = append(engines, e)
	}
	var all []*daemon
	for i := range 3 {
		d, err := r.start(fmt.Sprint("vm-", i), zone, store, cloud, "5s")
		if err != nil {
			return false, err
		}
		all = append(all, d)
	}
	scheduler, err := r.scheduler(all[0])
	if err != nil {
		return false, err
	}
	var stopped, second *daemon
	for _, d := range all {
		if d.vm == scheduler {
			second = d
		} else {
			stopped = d
		}
	}
	if second == nil {
		return false, fmt.Errorf("%q schedules the engines", scheduler)
	}
	r.note("%s schedules the engines and will be stopped %v after %s", second.vm, stopGap, stopped.vm)
	// noChannelAfter is the Unix time in nanoseconds after which the platform opens no
	// new channels to the daemon that stops; 0 for never.
	var noChannelAfter atomic.Int64
	dialer := &net.Dialer{}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if at := noChannelAfter.Load(); at != 0 && addr == stopped.clients && time.Now().UnixNano() > at {
				return nil, errNoChannel
			}
			return dialer.DialContext(ctx, network, addr)
		}}}
	var mu sync.Mutex
	var calls []*call
	var wg sync.WaitGroup
	send := func(n int) {
		tokens := longPrompt
		if n%5 == 0 {
			tokens = shortPrompt
		}
		c := &call{
			id: fmt.Sprintf("g%05d", n), key: "key-acme", path: standin.Path(engineService, "once") + "x", method: http.MethodPost,
			timeLeft: budget, tokens: fmt.Sprintf("%d,5", tokens), parts: fmt.Sprintf("aa:10,%x:%d", n, tokens-10), client: client,
		}
		mu.Lock()
		calls = append(calls, c)
		mu.Unlock()
		wg.Go(func() { r.send(stopped, c) })
	}
	// The clients of the daemon hold channels from earlier requests.
	for n := range 200 {
		send(90_000 + n)
	}
	begin := time.Now()
	var stop time.Time
	secondStopped := false
	for n := 0; ; n++ {
		send(n)
		time.Sleep(generationPause)
		if stop.IsZero() && time.Since(begin) > warmUp {
			stop = time.Now()
			if r.trouble {
				noChannelAfter.Store(stop.Add(newChannelsUntil).UnixNano())
				stopped.signal(syscall.SIGTERM)
				r.note("%s got SIGTERM", stopped.vm)
			}
		}
		if !stop.IsZero() && time.Since(stop) > stopGap && !secondStopped {
			secondStopped = true
			if r.trouble {
				second.signal(syscall.SIGTERM)
				r.note("%s got SIGTERM", second.vm)
			}
		}
		if !stop.IsZero() && time.Since(stop) > sendUntil {
			break
		}
	}
	wg.Wait()
	r.note("all calls have ended")
	var servers []*standin.Server
	for _, e := range engines {
		servers = append(servers, e.Server)
	}
	r.noteRuns(servers)
	served, refused, lost := 0, 0, 0
	for _, c := range calls {
		passedOn := false
		for _, e := range engines {
			e.mu.Lock()
			at, ok := e.arrived[c.id]
			e.mu.Unlock()
			if ok {
				passedOn = true
				r.note("%s reached engine %s at %.4f s", c.id, e.ID(), at.Sub(r.begin).Seconds())
			}
		}
		took := c.ended.Sub(c.sent)
		switch {
		case c.status == http.StatusOK && c.err == nil:
			served++
		case c.status == http.StatusServiceUnavailable:
			refused++
		case c.status == 0 && c.err != nil && c.wrote && !passedOn && took > lossSlack && took < budget && c.sent.After(stop) && c.ended.Before(stop.Add(stopGrace)):
			lost++
			r.note("%s was sent %.3f s after SIGTERM, reached no engine, and its channel ended without an answer %.3f s later: %v", c.id, c.sent.Sub(stop).Seconds(), took.Seconds(), c.err)
		}
	}
	r.note("%d requests: %d served, %d refused, %d lost", len(calls), served, refused, lost)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return lost > 0, nil
}
