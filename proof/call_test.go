package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
	"github.com/mimosakeel/mimosakeel/standin/app"
)

// build returns the HTTP request of a call.
func (c *call) build(ctx context.Context) (*http.Request, error) {
	method, path, body := http.MethodPost, "", ""
	switch c.kind {
	case kindStream, kindUnstreamed:
		data, err := json.Marshal(c.completion())
		if err != nil {
			return nil, err
		}
		path, body = "/v1/chat/completions", string(data)
	case kindStamp, kindKeyed:
		path, body = "/services/"+service+c.servicePath(), c.serviceBody()
	case kindStatus:
		method, path = http.MethodGet, "/services/"+service+c.servicePath()
	case kindOpen:
		method, path = http.MethodGet, "/services/"+openService+c.servicePath()
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.idemKey != "" {
		request.Header.Set("Idempotency-Key", c.idemKey)
	}
	if c.batch {
		request.Header.Set("Mimosakeel-Priority", "batch")
	}
	// A load balancer's session cookie must not reach a backend server either.
	request.Header.Set("Cookie", "session="+c.key)
	request.GetBody = nil
	return request, nil
}

func (c *call) completion() *backend.CompletionRequest {
	return &backend.CompletionRequest{
		Model: model, MaxTokens: c.tokens, Stream: c.kind == kindStream,
		Messages: []backend.Message{{Role: "user", Content: c.marker + strings.Repeat(" word", len(c.marker)*4)}},
	}
}

func (c *call) servicePath() string {
	if c.kind == kindStamp || c.kind == kindKeyed {
		return "/stamps"
	}
	return "/status/" + strings.TrimSuffix(c.marker, ";")
}

func (c *call) serviceBody() string {
	if c.kind == kindStamp || c.kind == kindKeyed {
		return fmt.Sprintf(`{"mark":%q}`, c.marker)
	}
	return ""
}

// send performs the call and sets its outcome.
func (c *call) send(ctx context.Context, client *http.Client) {
	request, err := c.build(ctx)
	if err != nil {
		c.outcome, c.detail = outcomeWrong, err.Error()
		return
	}
	response, err := client.Do(request)
	if err != nil {
		c.outcome, c.detail = outcomeBroken, err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			c.outcome = outcomeNotSent
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status, c.run = response.StatusCode, response.Header.Get("Mimosakeel-Run")
	if response.StatusCode/100 != 2 {
		c.readError(response.Body)
		return
	}
	switch c.kind {
	case kindStream:
		c.readStream(response.Body)
	case kindUnstreamed:
		c.readWhole(response.Body)
	default:
		c.readService(request.Method, response.Body)
	}
}

type errorAnswer struct {
	Error *struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// readError reads an error answer. An incomplete or malformed one makes the outcome
// outcomeBroken.
func (c *call) readError(body io.Reader) {
	data, err := io.ReadAll(body)
	var answer errorAnswer
	if err != nil || json.Unmarshal(data, &answer) != nil || answer.Error == nil {
		c.outcome, c.detail = outcomeBroken, fmt.Sprintf("status %d: %s", c.status, data)
		return
	}
	c.outcome, c.code = outcomeRefused, answer.Error.Code
	if c.run != answer.Error.Run {
		c.outcome, c.detail = outcomeWrong, fmt.Sprintf("the header states run %q, the body %q", c.run, answer.Error.Run)
	}
}

// readStream reads a streamed completion up to [DONE].
func (c *call) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	text, done, finished := "", false, false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var failed errorAnswer
		if json.Unmarshal([]byte(data), &failed) == nil && failed.Error != nil {
			c.outcome, c.code, c.run, c.detail = outcomeBroken, failed.Error.Code, failed.Error.Run, "error in the stream"
			return
		}
		var chunk backend.Completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			c.outcome, c.detail = outcomeWrong, "chunk: "+err.Error()
			return
		}
		if c.requestID == "" {
			c.requestID = chunk.ID
		}
		if chunk.ID != c.requestID {
			c.outcome, c.detail = outcomeWrong, "chunk of request "+chunk.ID
			return
		}
		for _, choice := range chunk.Choices {
			if choice.Delta != nil {
				text += choice.Delta.Content
			}
			finished = finished || choice.FinishReason != nil
		}
	}
	if err := lines.Err(); err != nil || !done {
		c.outcome, c.detail = outcomeBroken, fmt.Sprint("stream ended early: ", err)
		return
	}
	c.checkText(text, finished)
}

// checkText compares a complete answer with the text that the request determines.
func (c *call) checkText(text string, finished bool) {
	c.outcome = outcomeComplete
	if err := answer.For(c.completion()).Check(text); err != nil || !finished {
		c.outcome, c.detail = outcomeWrong, fmt.Sprint(err, ", finished ", finished)
	}
}

func (c *call) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		c.outcome, c.detail = outcomeBroken, err.Error()
		return
	}
	var got backend.Completion
	if err := json.Unmarshal(data, &got); err != nil || len(got.Choices) != 1 || got.Choices[0].Message == nil {
		c.outcome, c.detail = outcomeWrong, fmt.Sprintf("%v: %s", err, data)
		return
	}
	c.requestID = got.ID
	c.checkText(got.Choices[0].Message.Content, got.Choices[0].FinishReason != nil)
}

func (c *call) readService(method string, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		c.outcome, c.detail = outcomeBroken, err.Error()
		return
	}
	var got app.Answer
	if err := json.Unmarshal(data, &got); err != nil {
		c.outcome, c.detail = outcomeWrong, fmt.Sprintf("%v: %s", err, data)
		return
	}
	c.outcome, c.requestID, c.stamp = outcomeComplete, got.RequestID, got.Stamp
	if want := app.Digest(method, c.servicePath(), []byte(c.serviceBody())); got.Digest != want {
		c.outcome, c.detail = outcomeWrong, fmt.Sprintf("digest %s, want %s", got.Digest, want)
	}
}
