package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
)

// maxLineBytes limits one line of a streamed answer.
const maxLineBytes = 1 << 20

// streamReader reads one streamed answer, records its token times and checks
// its text.
type streamReader struct {
	want          backend.CompletionRequest
	planned       time.Time
	result        *Result
	patienceTimer *time.Timer
	cancel        func()
	// onLine is called for each line, to restart the idle timeout.
	onLine func()

	text            strings.Builder
	id              string
	last            time.Time
	sawFinishReason bool
	sawDone         bool
	problem         string
}

// read reads the stream to its end and sets the outcome.
func (s *streamReader) read(ctx context.Context, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4<<10), maxLineBytes)
	for !s.sawDone && lines.Scan() {
		s.onLine()
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			s.sawDone = true
			break
		}
		s.handleChunk([]byte(data))
		if after := s.result.Arrival.LeaveAfter; after > 0 && s.result.Tokens >= after {
			s.cancel()
			s.result.Outcome = OutcomeLeftReading
			return
		}
	}
	s.setOutcome(ctx, lines.Err())
}

// streamEvent is the data of one server-sent event: a chunk of the answer or an
// error.
type streamEvent struct {
	backend.Completion
	Error *struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (s *streamReader) handleChunk(data []byte) {
	now := time.Now()
	var chunk streamEvent
	if err := json.Unmarshal(data, &chunk); err != nil {
		s.recordProblem("frame is not JSON")
		return
	}
	if failed := chunk.Error; failed != nil {
		s.result.Code, s.result.Run = failed.Code, failed.Run
		s.recordProblem("error amid the answer: " + failed.Code)
		return
	}
	if s.id == "" {
		s.id = chunk.ID
	}
	if chunk.ID != s.id {
		s.recordProblem("frame of another request")
	}
	if len(chunk.Choices) == 0 {
		return
	}
	choice := chunk.Choices[0]
	text := choice.Text
	if choice.Delta != nil {
		text += choice.Delta.Content
	}
	if choice.FinishReason != nil {
		s.sawFinishReason = true
	}
	if text != "" {
		s.recordTokens(text, now)
	}
}

// recordTokens records the arrival time of the tokens of one chunk. The gaps
// between tokens of the same chunk are 0.
func (s *streamReader) recordTokens(text string, now time.Time) {
	count := max(1, len(text)/answer.TokenBytes)
	if s.last.IsZero() {
		if !stopTimer(s.patienceTimer) {
			return
		}
		s.result.FirstToken = now.Sub(s.planned)
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.last))
	}
	for range count - 1 {
		s.result.Gaps = append(s.result.Gaps, 0)
	}
	s.last = now
	s.result.Tokens += count
	s.text.WriteString(text)
}

func (s *streamReader) recordProblem(problem string) {
	if s.problem == "" {
		s.problem = problem
	}
}

// setOutcome sets the outcome at the end of the stream.
func (s *streamReader) setOutcome(ctx context.Context, err error) {
	result := s.result
	left := !stopTimer(s.patienceTimer) && s.last.IsZero() && errors.Is(ctx.Err(), context.Canceled)
	wrong := answer.For(&s.want).Check(s.text.String())
	switch {
	case errors.Is(context.Cause(ctx), errIdleTimeout):
		result.Outcome, result.Problem = OutcomeCut, errIdleTimeout.Error()
	case left:
		result.Outcome = OutcomeLeftWaiting
	case err != nil:
		result.Outcome, result.Problem = OutcomeCut, errorText(err)
	case !s.sawDone || !s.sawFinishReason:
		s.recordProblem("no end marker")
		result.Outcome, result.Problem = OutcomeCut, s.problem
	case s.problem != "":
		result.Outcome, result.Problem = OutcomeWrong, s.problem
	case wrong != nil:
		result.Outcome, result.Problem = OutcomeWrong, wrong.Error()
	default:
		result.Outcome = OutcomeWhole
	}
}
