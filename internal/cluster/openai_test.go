package cluster

import (
	"errors"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// limitedSecret is the key of a customer with a burst of one request.
	limitedSecret = "secret-of-limited"
	clientTokens  = 5
)

// startForClients starts a cluster with one daemon, waits until it serves
// requests and returns a function that creates clients of the daemon.
func startForClients(t *testing.T) (newClient func(secret string) openai.Client) {
	t.Helper()
	c := startCluster(t, 1)
	limited := testTable().Customers[0]
	limited.Name, limited.Keys = "limited", []table.KeyHash{table.HashKey(limitedSecret)}
	limited.RequestsPerSecond, limited.Burst = 0.1, 1
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: table.Table{Customers: []table.Customer{limited}}}, "test", "edit-2"); err != nil {
		t.Fatal(err)
	}
	url := c.Daemons[0].URL
	await(t, http.StatusOK, url+"/v1/models", limitedSecret, "")
	await(t, http.StatusOK, url+"/v1/chat/completions", testSecret, chatBody)
	return func(secret string) openai.Client {
		return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(secret), option.WithMaxRetries(0))
	}
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(clientTokens),
	}
}

// Guards against answers that OpenAI's client library can't parse.
func TestOpenAIClientReadsAnswers(t *testing.T) {
	g := NewWithT(t)
	client := startForClients(t)(testSecret)

	whole, err := client.Chat.Completions.New(t.Context(), chatParams("m"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Choices).To(HaveLen(1))
	g.Expect(whole.Choices[0].Message.Content).NotTo(BeEmpty())
	g.Expect(whole.Choices[0].FinishReason).To(Equal("length"))
	g.Expect(whole.Usage.CompletionTokens).To(BeEquivalentTo(clientTokens))
	g.Expect(whole.Usage.TotalTokens).To(Equal(whole.Usage.PromptTokens + clientTokens))

	params := chatParams("m")
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		g.Expect(collected.AddChunk(stream.Current())).To(BeTrue())
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(collected.Choices).To(HaveLen(1))
	g.Expect(collected.Choices[0].Message.Role).To(BeEquivalentTo("assistant"))
	g.Expect(collected.Choices[0].Message.Content).To(Equal(whole.Choices[0].Message.Content))
	g.Expect(collected.Choices[0].FinishReason).To(Equal("length"))
	g.Expect(collected.Usage.CompletionTokens).To(BeEquivalentTo(clientTokens))
	g.Expect(collected.Usage.PromptTokens).To(Equal(whole.Usage.PromptTokens))

	plain, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "m",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens: openai.Int(clientTokens),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(plain.Choices).To(HaveLen(1))
	g.Expect(plain.Choices[0].Text).NotTo(BeEmpty())
	g.Expect(plain.Usage.CompletionTokens).To(BeEquivalentTo(clientTokens))

	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data).To(HaveLen(1))
	g.Expect(models.Data[0].ID).To(Equal("m"))
}

// Guards against error answers that OpenAI's client library can't parse, or whose
// status, type or code does not identify the error.
func TestOpenAIClientReadsErrors(t *testing.T) {
	newClient := startForClients(t)
	ask := func(secret, model string) *openai.Error {
		t.Helper()
		client := newClient(secret)
		_, err := client.Chat.Completions.New(t.Context(), chatParams(model))
		var typed *openai.Error
		if err != nil && !errors.As(err, &typed) {
			t.Fatalf("error %v is not an *openai.Error", err)
		}
		return typed
	}
	expect := func(got *openai.Error, status int, kind, code string) {
		t.Helper()
		g := NewWithT(t)
		g.Expect(got).NotTo(BeNil())
		g.Expect([]any{got.StatusCode, got.Type, got.Code}).To(Equal([]any{status, kind, code}))
		g.Expect(got.Message).NotTo(BeEmpty())
	}
	expect(ask("wrong", "m"), http.StatusUnauthorized, "authentication_error", "invalid_key")
	expect(ask(testSecret, "unknown"), http.StatusNotFound, "not_found_error", "model_not_found")

	var refused *openai.Error
	for range 3 {
		if refused = ask(limitedSecret, "m"); refused != nil {
			break
		}
	}
	expect(refused, http.StatusTooManyRequests, "rate_limit_error", "rate_limited")
	seconds, err := strconv.Atoi(refused.Response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		t.Errorf("Retry-After %q: %v", refused.Response.Header.Get("Retry-After"), err)
	}

	client := newClient(testSecret)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("unknown"))
	if stream.Next() {
		t.Error("the stream for an unknown model returned a chunk")
	}
	var typed *openai.Error
	if !errors.As(stream.Err(), &typed) {
		t.Fatalf("error %v is not an *openai.Error", stream.Err())
	}
	expect(typed, http.StatusNotFound, "not_found_error", "model_not_found")
}
