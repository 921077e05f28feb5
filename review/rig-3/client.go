package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

// request is one consumer attempt.
type request struct {
	id      string
	path    string
	body    string
	tokens  string
	allowed time.Duration
	after   string
	resumes string
	// parts describes the prompt; a common one if empty.
	parts string
}

// answer is what the consumer saw.
type answer struct {
	status int
	header http.Header
	body   string
	// lastID is the ID of the last complete event and first the time of the first one.
	lastID string
	events int
	whole  bool
	err    error
	begin  time.Time
	end    time.Time
}

var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("r%07x", requestNumber.Add(1)) }

// send sends a request on a new channel and reads its answer. onEvent may be nil.
func send(ctx context.Context, addr string, r request, onEvent func(n int)) (a answer) {
	a.begin = time.Now()
	defer func() { a.end = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, r.allowed)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = standin.Host
	req.Header.Set("Authorization", "Bearer "+customerKey)
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.TimeLeft, strconv.FormatInt(r.allowed.Milliseconds(), 10))
	if r.tokens != "" {
		req.Header.Set(names.Tokens, r.tokens)
		req.Header.Set(names.Model, "m")
		req.Header.Set(names.Parts, cmp.Or(r.parts, "aa:500,"+r.id+":100"))
	}
	if r.after != "" {
		req.Header.Set("Last-Event-Id", r.after)
		req.Header.Set("Resumes", r.resumes)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	if r.tokens == "" || resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		a.body, a.err, a.whole = string(text), err, err == nil
		return a
	}
	reader, event, id := bufio.NewReader(resp.Body), strings.Builder{}, ""
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			a.err, a.whole = err, err == io.EOF && event.Len() == 0
			if a.whole {
				a.err = nil
			}
			return a
		}
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
		if strings.TrimSpace(line) == "" {
			a.body += event.String()
			event.Reset()
			a.lastID = id
			a.events++
			if onEvent != nil {
				onEvent(a.events)
			}
		}
	}
}
