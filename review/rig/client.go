package main

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// call is one request of a client and its answer.
type call struct {
	id, key, path string
	method        string
	timeLeft      time.Duration
	// tokens and parts describe a prompt; empty for none.
	tokens, parts string
	// client is the client of the platform to use; nil for the usual one.
	client *http.Client
	status int
	err    error
	sent   time.Time
	// ended is the time of the answer's head or of the error.
	ended time.Time
	// wrote is set once the whole request was written, kept if that was on a channel
	// that had served requests before.
	wrote, kept bool
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
	if c.tokens != "" {
		req.Header.Set(names.Tokens, c.tokens)
		req.Header.Set(names.Model, "m")
		req.Header.Set(names.PromptParts, c.parts)
	}
	client := httpClient
	if c.client != nil {
		client = c.client
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { c.kept = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) { c.wrote = info.Err == nil },
	}))
	resp, err := client.Do(req)
	c.ended = time.Now()
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status = resp.StatusCode
	_, c.err = io.Copy(io.Discard, resp.Body)
	c.ended = time.Now()
}
