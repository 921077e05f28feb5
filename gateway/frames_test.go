package gateway

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(3, 2000)
	m.Run()
}

// responseFrames returns the frames of a correct engine from a position on,
// split into chunks of random size.
func responseFrames(t *rapid.T, id string, from, total int) []*backend.Chunk {
	var frames []*backend.Chunk
	if rapid.Bool().Draw(t, "opening frame") {
		frames = append(frames, testChunk(id, from, 0, nil))
	}
	stop := "stop"
	for at := from; at < total; {
		n := min(rapid.IntRange(1, 3).Draw(t, "tokens"), total-at)
		frames = append(frames, testChunk(id, at, n, nil))
		at += n
	}
	last := testChunk(id, total, 0, &stop)
	last.Usage = &backend.Usage{CompletionTokens: total}
	if rapid.Bool().Draw(t, "final frame without position") {
		last.Position = nil
	}
	if n := len(frames); n > 0 && frames[n-1].Tokens > 0 && rapid.Bool().Draw(t, "finish with the last token") {
		frames[n-1].Choices[0].FinishReason = &stop
		return append(frames, &backend.Chunk{Done: true})
	}
	return append(frames, last, &backend.Chunk{Done: true})
}

func testChunk(id string, at, n int, finish *string) *backend.Chunk {
	text := ""
	for i := range n {
		text += fmt.Sprintf("t%d ", at+i)
	}
	return &backend.Chunk{ID: id, Position: &at, Tokens: n, Choices: []backend.ChunkChoice{{Text: &text, FinishReason: finish}}}
}

// injectFaults loses, repeats and moves frames and inserts frames of other
// attempts.
func injectFaults(t *rapid.T, frames, foreign []*backend.Chunk) []*backend.Chunk {
	var result []*backend.Chunk
	for _, frame := range frames {
		switch rapid.IntRange(0, 11).Draw(t, "fault") {
		case 0:
		case 1:
			result = append(result, cloneChunk(frame), cloneChunk(frame))
		case 2:
			at := rapid.IntRange(0, len(result)).Draw(t, "moved to")
			result = append(result[:at], append([]*backend.Chunk{cloneChunk(frame)}, result[at:]...)...)
		case 3:
			other := foreign[rapid.IntRange(0, len(foreign)-1).Draw(t, "foreign frame")]
			if !other.Done {
				result = append(result, cloneChunk(other))
			}
			result = append(result, cloneChunk(frame))
		default:
			result = append(result, cloneChunk(frame))
		}
	}
	return result
}

func cloneChunk(c *backend.Chunk) *backend.Chunk {
	clone := *c
	clone.Choices = append([]backend.ChunkChoice(nil), c.Choices...)
	return &clone
}

// Guards against accepting a response with lost, repeated or foreign tokens as
// complete. The frames of several attempts are lost, repeated, moved or mixed
// with those of other attempts.
func TestAcceptedFramesFormWholeResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 12).Draw(t, "length")
		want := ""
		for i := range total {
			want += fmt.Sprintf("t%d ", i)
		}
		validator := frameValidator{choices: 1}
		foreign := responseFrames(t, "other", 0, total+3)
		text, held, ended := "", "", false
		for attempt := 1; attempt <= 4 && !ended; attempt++ {
			validator.beginAttempt(fmt.Sprint("a", attempt))
			frames := responseFrames(t, validator.attemptID, validator.nextPosition, total)
			received := frames
			if attempt < 4 {
				received = injectFaults(t, frames, foreign)
			}
			foreign = append(foreign, frames...)
			broke := false
			for _, frame := range received {
				r := validator.validate(frame)
				switch r.action {
				case forwardFrame:
					text += *frame.Choices[0].Text
				case holdFrame:
					held += *frame.Choices[0].Text
				case responseComplete:
					ended = true
				case streamBroken:
					broke = true
				}
				if ended || broke {
					break
				}
			}
			if len(text+held) > len(want) || (text+held) != want[:len(text+held)] {
				t.Fatalf("client received %q, want a prefix of %q", text+held, want)
			}
		}
		if !ended || text+held != want {
			t.Fatalf("complete=%t, client received %q, want %q", ended, text+held, want)
		}
	})
}
