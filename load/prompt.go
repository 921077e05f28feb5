package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
)

const (
	// minPromptTokens leaves room for the part that makes a prompt unique.
	minPromptTokens = 24
	// maxTokensFactor is the ratio of a request's max_tokens to the actual length
	// of the answer, which a client doesn't know beforehand.
	maxTokensFactor = 4
	minMaxTokens    = 64
)

// Request returns the body of a model request. No two arrivals of a workload
// have the same prompt, so that an answer to another request is detected.
func (w Workload) Request(arrival Arrival) *backend.CompletionRequest {
	return &backend.CompletionRequest{
		Model:     w.Model,
		Messages:  []backend.Message{{Role: "user", Content: w.prompt(arrival)}},
		MaxTokens: max(minMaxTokens, maxTokensFactor*arrival.OutputTokens),
		Stream:    !arrival.Unstreamed,
	}
}

func (w Workload) prompt(arrival Arrival) string {
	size := arrival.PromptTokens * backend.BytesPerToken
	var text strings.Builder
	text.Grow(size)
	if arrival.Prefix >= 0 {
		seed := uint64(arrival.Customer)<<32 | uint64(arrival.Prefix)
		fill(&text, w.Seed, seed, w.PrefixTokens*backend.BytesPerToken)
	}
	unique := fmt.Sprintf(" %d-%d ", w.Seed, arrival.Number)
	mark := answer.LengthMark(arrival.OutputTokens)
	text.WriteString(unique)
	fill(&text, w.Seed+1, uint64(arrival.Number), size-text.Len()-len(mark))
	text.WriteString(mark)
	return text.String()
}

// fill appends size bytes of pseudo-random words, determined by the seeds.
func fill(text *strings.Builder, seed1, seed2 uint64, size int) {
	random := rand.New(rand.NewPCG(seed1, seed2))
	for i := range max(0, size) {
		if i%6 == 5 {
			text.WriteByte(' ')
			continue
		}
		text.WriteByte('a' + byte(random.Uint32()%26))
	}
}
