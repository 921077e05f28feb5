package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	shortAnswer = 24
	longAnswer  = 300
	// faultAfter is the number of chunks after which a step injects its fault.
	faultAfter = 10
)

func (s *session) publishTable(ctx context.Context) (string, error) {
	rows := table.Table{
		Customers: []table.Customer{customer("office", officeSecret), customer("clerk", clerkSecret)},
		Models:    []table.Model{{Name: modelName, Version: "1", WeightBytes: 1 << 30}},
		Services:  []table.Service{{Name: "stamps", Backends: []string{"stamps"}, MethodsIdempotent: []string{"GET"}}},
		Limits:    []table.Limit{{FailureDomain: "fd-a", OnDemandMax: 2}, {FailureDomain: "fd-b", OnDemandMax: 2}},
	}
	if _, err := s.publish(ctx, table.Edit{Set: rows}); err != nil {
		return "", err
	}
	took, err := s.waitForAll(ctx, officeSecret, http.StatusOK)
	if err != nil {
		return "", err
	}
	for i := range s.cluster.Daemons {
		if err := s.waitUntilServing(ctx, i); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("active on all daemons %s after it was accepted", took.Round(time.Millisecond)), nil
}

// waitUntilServing waits until a daemon answers model requests, for which it must
// know the engines.
func (s *session) waitUntilServing(ctx context.Context, i int) error {
	for {
		r, err := call(ctx, http.MethodPost, s.url(i)+"/v1/chat/completions", officeSecret, chatRequest("ready?", 1, false))
		if err == nil && r.status == http.StatusOK {
			return nil
		}
		if err := pause(ctx); err != nil {
			return eris.Wrapf(err, "daemon %d does not serve: status %d %s", i+1, r.status, r.body)
		}
	}
}

func (s *session) wholeAnswer(ctx context.Context) (string, error) {
	request := chatRequest("Which huts are free in Nairobi?", shortAnswer, false)
	r, err := call(ctx, http.MethodPost, s.url(0)+"/v1/chat/completions", officeSecret, request)
	if err != nil {
		return "", err
	}
	var answer backend.Completion
	if err := json.Unmarshal([]byte(r.body), &answer); err != nil {
		return "", eris.Wrapf(err, "answer %s", r.body)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].Message == nil || answer.Choices[0].Message.Content != expectedAnswer(request) {
		return "", eris.Errorf("answer is incomplete or wrong: %s", r.body)
	}
	return fmt.Sprintf("%d prompt tokens and %d answer tokens; the answer is complete", answer.Usage.PromptTokens, answer.Usage.CompletionTokens), nil
}

// stream sends a streamed request through daemon i and reads the answer. onChunk
// is called after every chunk with the number of chunks so far.
func (s *session) stream(ctx context.Context, i int, request *backend.CompletionRequest, onChunk func(int)) (streamResult, error) {
	response, err := send(ctx, http.MethodPost, s.url(i)+"/v1/chat/completions", clerkSecret, request)
	if err != nil {
		return streamResult{}, err
	}
	defer response.Body.Close()
	return readStream(response.Body, onChunk), nil
}

func checkWhole(got streamResult, request *backend.CompletionRequest) error {
	if !got.whole || got.text != expectedAnswer(request) {
		return eris.Errorf("stream is incomplete or wrong: %d bytes, end marker %t, error %s", len(got.text), got.whole, got.failure)
	}
	return nil
}

func (s *session) streamedAnswer(ctx context.Context) (string, error) {
	request := chatRequest("Draft an allocation note for hut 12.", shortAnswer, true)
	chunks := 0
	got, err := s.stream(ctx, 1, request, func(n int) { chunks = n })
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d chunks, complete, with the end marker", chunks), checkWhole(got, request)
}

func (s *session) readService(ctx context.Context) (string, error) {
	r, err := call(ctx, http.MethodGet, s.url(2)+"/services/stamps/status/door-7", officeSecret, nil)
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", eris.Errorf("status %d: %s", r.status, r.body)
	}
	return r.body, nil
}

func (s *session) stampOnce(ctx context.Context) (string, error) {
	var bodies []string
	for i := range 2 {
		r, err := call(ctx, http.MethodPost, s.url(i)+"/services/stamps/stamps", officeSecret, map[string]int{"door": 7}, "Idempotency-Key", "door-7")
		if err != nil {
			return "", err
		}
		bodies = append(bodies, strings.TrimSpace(r.body))
	}
	runs := 0
	for _, run := range s.cluster.App.Audit() {
		if run.Stamp > 0 {
			runs++
		}
		if len(run.Leaked) > 0 {
			return "", eris.Errorf("the service received headers that must not reach it: %v", run.Leaked)
		}
	}
	if runs != 1 || bodies[0] != bodies[1] {
		return "", eris.Errorf("expected one run and equal answers, got %d runs and answers %q", runs, bodies)
	}
	return "the service ran it once, both daemons returned the same answer, and the service didn't receive the key", nil
}

func (s *session) addCustomer(ctx context.Context) (string, error) {
	accepted, err := s.publish(ctx, table.Edit{Set: table.Table{Customers: []table.Customer{customer("late", lateSecret)}}})
	if err != nil {
		return "", err
	}
	took, err := s.waitForAll(ctx, lateSecret, http.StatusOK)
	return fmt.Sprintf("accepted in %s, active on all daemons %s later", accepted.Round(time.Millisecond), took.Round(time.Millisecond)), err
}

func (s *session) withdrawKey(ctx context.Context) (string, error) {
	request := chatRequest("A long review.", longAnswer, true)
	response, err := send(ctx, http.MethodPost, s.url(0)+"/v1/chat/completions", lateSecret, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	row := customer("late", "another secret")
	var start time.Time
	var editErr error
	got := readStream(response.Body, func(chunks int) {
		if chunks != faultAfter {
			return
		}
		start = time.Now()
		_, editErr = s.publish(ctx, table.Edit{Set: table.Table{Customers: []table.Customer{row}}})
	})
	ended := time.Since(start)
	if editErr != nil {
		return "", editErr
	}
	if got.whole || !strings.Contains(got.failure, "withdrawn") {
		return "", eris.Errorf("the stream didn't end with the withdrawal: end marker %t, error %s", got.whole, got.failure)
	}
	if _, err := s.waitForAll(ctx, lateSecret, http.StatusUnauthorized); err != nil {
		return "", err
	}
	return fmt.Sprintf("the stream ended %s after the edit was sent, with a typed error; all daemons refuse the key", ended.Round(time.Millisecond)), nil
}

func (s *session) killEngine(ctx context.Context) (string, error) {
	request := chatRequest("Compare the facades of two doors.", longAnswer, true)
	killed := ""
	var killErr error
	got, err := s.stream(ctx, 1, request, func(chunks int) {
		if chunks == faultAfter {
			killed, killErr = s.killBusyEngine(ctx)
		}
	})
	if err != nil {
		return "", err
	}
	if killErr != nil {
		return "", killErr
	}
	return "engine " + killed + " crashed; the stream continued on another engine and is complete", checkWhole(got, request)
}

// killBusyEngine crashes the engine that runs the stream. It polls the load of the
// engines, because a load report may lag behind the stream.
func (s *session) killBusyEngine(ctx context.Context) (string, error) {
	servers, err := s.cluster.Servers(ctx)
	if err != nil {
		return "", err
	}
	engines := backend.NewEngines(nil)
	defer engines.Close()
	for {
		if server, ok := s.busyEngine(ctx, engines, servers); ok {
			// The engine may stop before it answers.
			_, _ = call(ctx, http.MethodPost, server.URL+"/faults", "", fault.Fault{Kind: engine.FaultCrash})
			return server.ID, nil
		}
		if err := pause(ctx); err != nil {
			return "", eris.Wrap(err, "no engine reports a running request")
		}
	}
}

func (s *session) busyEngine(ctx context.Context, engines *backend.Engines, servers []hosting.Server) (hosting.Server, bool) {
	for _, server := range servers {
		if server.Kind != hosting.KindEngine {
			continue
		}
		if load, err := engines.Load(ctx, server.URL); err == nil && load.Running > 0 {
			return server, true
		}
	}
	return hosting.Server{}, false
}

func (s *session) stopDaemon(ctx context.Context) (string, error) {
	request := chatRequest("Summarise the dossier.", longAnswer, true)
	stopped := make(chan error, 1)
	got, err := s.stream(ctx, 2, request, func(chunks int) {
		if chunks == faultAfter {
			go func() { stopped <- s.cluster.StopDaemon(2) }()
		}
	})
	if err != nil {
		return "", err
	}
	if err := checkWhole(got, request); err != nil {
		return "", err
	}
	return "its stream was completed, then it released its leases and exited", <-stopped
}
