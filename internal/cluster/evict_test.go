package cluster

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/standin/answer"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// movedTokens is the length of an answer that takes longer to generate than
	// the eviction notice lasts: an engine step takes 6 ms or more.
	movedTokens  = 1500
	movedStreams = 6
	evictNotice  = 5 * time.Second
)

// sumCounter returns the sum of a counter over all daemons and labels.
func (c *Cluster) sumCounter(t *testing.T, name string) int {
	t.Helper()
	pattern := regexp.MustCompile(`(?m)^` + name + `(?:\{[^}]*\})? (\d+)$`)
	sum := 0
	for _, m := range c.Daemons {
		_, page := call(t, m.URL+"/metrics", testSecret, "")
		for _, match := range pattern.FindAllStringSubmatch(page, -1) {
			value, _ := strconv.Atoi(match[1])
			sum += value
		}
	}
	return sum
}

// startRetries is the number of retries of a request that was refused before it
// ran. On a busy machine the scheduler may not answer within 5 ms; the entry
// daemon then uses the fallback, which refuses requests beyond its small share
// of the capacity.
const startRetries = 20

// streamLongAnswer streams an answer of movedTokens tokens and checks that each
// token arrives exactly once. It calls started once text has arrived, possibly
// several times.
func streamLongAnswer(t *testing.T, url, prompt string, started func()) error {
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testSecret), option.WithMaxRetries(startRetries),
		option.WithHeader(gateway.HeaderPriority, string(gateway.Batch)))
	params := chatParams("m")
	params.Messages[0] = openai.UserMessage(prompt)
	params.MaxTokens = openai.Int(movedTokens)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
		if text.Len() > 0 {
			started()
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("%w after %d bytes", err, text.Len())
	}
	expected := answer.For(&backend.CompletionRequest{
		Model: "m", Messages: []backend.Message{{Role: "user", Content: prompt}}, MaxTokens: movedTokens,
	})
	return expected.Check(text.String())
}

// Guards against streams of an evicted engine that fail, or lose or repeat
// tokens, although the eviction notice leaves enough time to move them. For some
// streams the entry daemon also runs the pool's scheduler, for others another
// daemon does.
func TestStreamsMoveBeforeEviction(t *testing.T) {
	c, err := Start(Config{
		Daemons:          2,
		FailureDomains:   []string{"fd-a"},
		EnginesPerDomain: 2,
		CheapPerDomain:   1,
		Model:            "m",
		Version:          "1",
		TimeScale:        1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: testTable()}, "test", "edit-1"); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Daemons {
		await(t, http.StatusOK, m.URL+"/v1/chat/completions", testSecret, chatBody)
	}
	failedBefore := c.sumCounter(t, "mimosakeel_attempts_failed_total")
	var streams, started sync.WaitGroup
	errs := make([]error, movedStreams)
	started.Add(movedStreams)
	for i := range movedStreams {
		streams.Go(func() {
			first := sync.OnceFunc(started.Done)
			defer first()
			errs[i] = streamLongAnswer(t, c.Daemons[i%2].URL, fmt.Sprintf("prompt %d", i), first)
		})
	}
	started.Wait()
	c.Platform.Inject(fault.Fault{Kind: fake.FaultEvict, DelayMs: evictNotice.Milliseconds()})
	streams.Wait()
	for i, err := range errs {
		if err != nil {
			var typed *openai.Error
			if errors.As(err, &typed) {
				t.Errorf("stream %d: code %s: %s", i, typed.Code, typed.Message)
			}
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if moves := c.sumCounter(t, "mimosakeel_stream_moves_total"); moves == 0 {
		t.Error("no stream was moved")
	}
	if failed := c.sumCounter(t, "mimosakeel_attempts_failed_total") - failedBefore; failed != 0 {
		t.Errorf("%d attempts failed", failed)
	}
}
