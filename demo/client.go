package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
)

// client opens a connection per request. With keep-alive it may dial a connection
// that it never uses, which would delay the planned stop of a daemon by the 5 s
// that net/http waits for the first request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// reply is a response that has been read completely.
type reply struct {
	status int
	header http.Header
	body   string
}

// call sends a request with a key and reads the response. header holds pairs of
// names and values.
func call(ctx context.Context, method, url, secret string, body any, header ...string) (reply, error) {
	response, err := send(ctx, method, url, secret, body, header...)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data)}, err
}

func send(ctx context.Context, method, url, secret string, body any, header ...string) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return client.Do(request)
}

// chatRequest returns a chat request with max_tokens set to tokens.
func chatRequest(text string, tokens int, stream bool) *backend.CompletionRequest {
	return &backend.CompletionRequest{
		Model:     modelName,
		Messages:  []backend.Message{{Role: "user", Content: text}},
		MaxTokens: tokens,
		Stream:    stream,
	}
}

// streamResult is what a client received of a streamed answer.
type streamResult struct {
	text string
	// whole is set if the end marker arrived.
	whole bool
	// failure is the data of an error event.
	failure string
}

// readStream reads server-sent events until the stream ends. onChunk is called
// after every chunk with the number of chunks so far.
func readStream(r io.Reader, onChunk func(chunks int)) streamResult {
	var got streamResult
	lines := bufio.NewScanner(r)
	chunks := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			got.whole = true
			return got
		case strings.HasPrefix(data, `{"error"`):
			got.failure = data
			return got
		}
		got.text += chunkText(data)
		chunks++
		onChunk(chunks)
	}
	return got
}

func chunkText(data string) string {
	var chunk backend.Completion
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// expectedAnswer returns the answer of the stand-in engine to a request. It
// depends on the request alone.
func expectedAnswer(r *backend.CompletionRequest) string {
	a := answer.For(r)
	return a.Text(0, a.Tokens)
}
