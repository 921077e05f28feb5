package backend

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockTokens is the size of a block in the prefix cache in tokens.
	PrefixBlockTokens = 64
	// BytesPerToken is the assumed length of a token, for estimates where no
	// tokenizer is available.
	BytesPerToken = 4
)

// EstimateTokens returns the estimated number of tokens in n bytes of text, at
// least 1 for a text that is not empty.
func EstimateTokens(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// PromptText returns the prompt of the request as one text, in the order in which
// the engine processes it. The hashes of the prefix cache are computed over it.
func (r *CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	size := 0
	for _, m := range r.Messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range r.Messages {
		text = append(text, m.Role...)
		text = append(text, ':')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return string(text)
}

// PrefixBlocks returns one hash per complete block of the prompt. Each hash covers
// the model and the prompt from its start to the end of the block, so that
// equal hashes mean equal prefixes.
func PrefixBlocks(model, prompt string) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	count := len(prompt) / blockBytes
	blocks := make([]uint64, 0, count)
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	for i := range count {
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
