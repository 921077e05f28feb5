package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// call is a request of a consumer and what came of it.
type call struct {
	id     string
	begin  time.Duration
	status int
	signed bool
	// whole is set if the body was read to its end.
	whole bool
	body  string
	err   error
}

// stream sends a generation to a daemon on the route of a kind and reads the answer.
func (w *world) stream(client *http.Client, d *daemon, kind string, events int) call {
	c := call{id: w.nextRequest(), begin: time.Since(w.begin)}
	request, err := http.NewRequest(http.MethodPost, "http://"+d.clients+standin.Path(engineService, kind)+"x", strings.NewReader("body of "+c.id))
	if err != nil {
		c.err = err
		return c
	}
	request.Host = standin.Host
	request.Header.Set(w.names.Request, c.id)
	request.Header.Set(w.names.Deadline, fmt.Sprint(requestTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(w.names.Tokens, fmt.Sprint("600,", events))
	request.Header.Set(w.names.Model, "m")
	request.Header.Set(w.names.Parts, "aa:500,"+c.id+":100")
	response, err := client.Do(request)
	if err != nil {
		c.err = err
		return c
	}
	defer response.Body.Close()
	c.status, c.signed = response.StatusCode, response.Header.Get(w.names.Signature) != ""
	body, err := io.ReadAll(response.Body)
	c.body, c.err, c.whole = string(body), err, err == nil
	return c
}

// load sends generations at a rate to all daemons in turn until the time has passed, and
// returns them once all have ended. Each consumer keeps its channels.
func (w *world) load(rate int, length time.Duration, kind string, events int) []call {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var (
		mu    sync.Mutex
		calls []call
		group sync.WaitGroup
	)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	end := time.After(length)
	for i := 0; ; i++ {
		select {
		case <-end:
			group.Wait()
			return calls
		case <-tick.C:
		}
		group.Go(func() {
			c := w.stream(client, w.daemons[i%len(w.daemons)], kind, events)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
}

func (c call) String() string {
	text := fmt.Sprintf("request %s sent at %.3f s: status %d, signature %t, whole %t, %d bytes", c.id, c.begin.Seconds(), c.status, c.signed, c.whole, len(c.body))
	if c.err != nil {
		text += ", error " + c.err.Error()
	}
	return text
}
