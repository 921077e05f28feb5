package main

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// call is one request of a client and its answer.
type call struct {
	id, key, path string
	method        string
	timeLeft      time.Duration
	status        int
	err           error
	sent          time.Time
}

var httpClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request to a daemon and reads the answer.
func (r *rig) send(d *daemon, c *call) {
	if c.method == "" {
		c.method = http.MethodGet
	}
	c.sent = time.Now()
	defer func() {
		r.note("%s sent to %s %.4f s ago: status %d, error %v", c.id, d.vm, time.Since(c.sent).Seconds(), c.status, c.err)
	}()
	req, err := http.NewRequest(c.method, "http://"+d.clients+c.path, nil)
	if err != nil {
		c.err = err
		return
	}
	req.Host = standin.Host
	req.Header.Set(names.RequestID, c.id)
	req.Header.Set(names.TimeLeft, strconv.FormatInt(c.timeLeft.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := httpClient.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status = resp.StatusCode
	_, c.err = io.Copy(io.Discard, resp.Body)
}
