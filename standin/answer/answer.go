// Package answer computes the text that a stand-in engine generates for a
// request. The text depends only on the request, so a client can verify that
// the answer it received is complete and belongs to its request.
package answer

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/rotisserie/eris"
)

const (
	// DefaultTokens is the length of an answer if neither the prompt nor
	// max_tokens sets one.
	DefaultTokens = 64
	// TokenBytes is the length of one token's text in bytes.
	TokenBytes = backend.BytesPerToken
	// alphabet has 32 characters, so five bits of a hash select one.
	alphabet = "abcdefghijklmnopqrstuvwxyz234567"

	lengthOpen  = "<tokens="
	lengthClose = ">"
)

// Finish reasons of an answer: FinishStop at its natural length, FinishLength
// if max_tokens cut it short or was its only length limit.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Answer is the expected answer to one request: its length in tokens and its
// finish reason. The text is computed on demand.
type Answer struct {
	seed   uint64
	Tokens int
	Finish string
}

// LengthMark returns the marker that sets the natural length of the answer when
// it stands at the end of a prompt. The marker is ordinary prompt text, so a
// scheduler doesn't know the length in advance.
func LengthMark(tokens int) string {
	return lengthOpen + strconv.Itoa(tokens) + lengthClose
}

// For returns the answer to a request. It depends on the model, the prompt and
// max_tokens; sampling parameters and streaming don't change it.
func For(request *backend.CompletionRequest) Answer {
	prompt := request.PromptText()
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	result := Answer{seed: digest.Sum64(), Tokens: DefaultTokens, Finish: FinishStop}
	if natural, ok := parseLengthMark(prompt); ok {
		result.Tokens = natural
	} else if request.MaxTokens > 0 {
		result.Tokens, result.Finish = request.MaxTokens, FinishLength
	}
	if request.MaxTokens > 0 && request.MaxTokens < result.Tokens {
		result.Tokens, result.Finish = request.MaxTokens, FinishLength
	}
	return result
}

// parseLengthMark returns the natural length that the last length mark of a
// prompt sets.
func parseLengthMark(prompt string) (int, bool) {
	start := strings.LastIndex(prompt, lengthOpen)
	if start < 0 {
		return 0, false
	}
	digits, _, found := strings.Cut(prompt[start+len(lengthOpen):], lengthClose)
	tokens, err := strconv.Atoi(digits)
	if !found || err != nil || tokens < 1 {
		return 0, false
	}
	return tokens, true
}

// Text returns the text of count tokens, starting at position from.
func (a Answer) Text(from, count int) string {
	text := make([]byte, 0, count*TokenBytes)
	for i := from; i < from+count; i++ {
		text = append(text, a.token(i)...)
	}
	return string(text)
}

func (a Answer) token(position int) []byte {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], a.seed)
	binary.LittleEndian.PutUint64(input[8:], uint64(position))
	sum := xxhash.Sum64(input[:])
	token := make([]byte, TokenBytes)
	for i := range TokenBytes - 1 {
		token[i] = alphabet[(sum>>(5*i))&31]
	}
	token[TokenBytes-1] = ' '
	return token
}

// Check compares a received text with the whole answer. The error names the
// first token that is missing or different.
func (a Answer) Check(text string) error {
	want := a.Text(0, a.Tokens)
	if text == want {
		return nil
	}
	common := 0
	for common < min(len(text), len(want)) && text[common] == want[common] {
		common++
	}
	if common == len(text) {
		return eris.Errorf("answer is cut off after %d of %d tokens", common/TokenBytes, a.Tokens)
	}
	return eris.Errorf("answer differs from token %d of %d on", common/TokenBytes, a.Tokens)
}
