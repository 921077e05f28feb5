package gateway

import (
	"encoding/json"

	"github.com/mimosakeel/mimosakeel/backend"
)

// frameAction is what the relay does with a frame.
type frameAction int

const (
	// forwardFrame passes the frame to the client.
	forwardFrame frameAction = iota
	// holdFrame keeps the frame and passes it on when the end marker has been
	// read.
	holdFrame
	// skipFrame ignores a frame that is a normal part of the protocol.
	skipFrame
	// dropFrame drops an unexpected frame and counts it.
	dropFrame
	// responseComplete means that the response is complete.
	responseComplete
	// streamBroken means that the stream can't be continued.
	streamBroken
)

// dropReason is the reason why a frame was dropped.
type dropReason string

const (
	// dropCrossed means that the frame has the id of another request or
	// attempt.
	dropCrossed dropReason = "crossed"
	// dropLate means that the client already has the frame's tokens, or that
	// all choices are finished.
	dropLate dropReason = "late"
	// dropDuplicate means that a frame without tokens repeats the opening
	// frame.
	dropDuplicate dropReason = "duplicate"
	// dropMalformed means that the frame can't be decoded or has content but no
	// position.
	dropMalformed dropReason = "garbage"
)

var dropReasons = []dropReason{dropCrossed, dropLate, dropDuplicate, dropMalformed}

// frameValidator decides which frames of an engine belong to the response.
//
// Invariants: the accepted frames cover the positions below nextPosition
// exactly once and in order; the response is complete only after every choice
// has a finish reason and the end marker was read.
type frameValidator struct {
	// attemptID is the id of the current attempt.
	attemptID string
	// nextPosition is the position of the next token that the client needs.
	nextPosition int
	choices      int
	// finished is the set of the choices that have a finish reason.
	finished map[int]struct{}
	// opened is set by the first accepted frame. Later frames without content
	// and finish reason repeat the opening frame.
	opened bool
	usage  *backend.Usage
}

// beginAttempt starts an attempt that continues at nextPosition.
func (f *frameValidator) beginAttempt(id string) { f.attemptID = id }

// frameDecision is an action with its reason: dropCause for dropFrame,
// retryReason for streamBroken.
type frameDecision struct {
	action      frameAction
	dropCause   dropReason
	retryReason FailureReason
}

// validate decides what to do with a chunk. If a chunk is accepted only for its
// finish reason, validate removes the content that the client already has.
func (f *frameValidator) validate(c *backend.Chunk) frameDecision {
	if c.Done {
		if len(f.finished) >= f.choices {
			return frameDecision{action: responseComplete}
		}
		return frameDecision{action: streamBroken, retryReason: ReasonUnfinished}
	}
	if len(c.Error) > 0 && (c.ID == "" || c.ID == f.attemptID) {
		return frameDecision{action: streamBroken, retryReason: ReasonStatus}
	}
	if c.ID != f.attemptID {
		return frameDecision{action: dropFrame, dropCause: dropCrossed}
	}
	if len(c.Choices) == 0 {
		f.recordUsage(c)
		return frameDecision{action: skipFrame}
	}
	return f.validatePosition(c)
}

// validatePosition compares the chunk's position with nextPosition.
func (f *frameValidator) validatePosition(c *backend.Chunk) frameDecision {
	tokens := c.Tokens
	if tokens == 0 && c.HasContent() {
		tokens = 1
	}
	finish := f.finishes(c)
	if c.Position == nil {
		if tokens > 0 {
			return frameDecision{action: dropFrame, dropCause: dropMalformed}
		}
		return f.validateEmpty(c, finish)
	}
	position := *c.Position
	switch {
	case position > f.nextPosition:
		return frameDecision{action: streamBroken, retryReason: ReasonGap}
	case tokens == 0:
		return f.validateEmpty(c, finish)
	case position+tokens <= f.nextPosition:
		return f.validateRepeated(c, finish)
	case position < f.nextPosition:
		// A chunk can't be split between its tokens.
		return frameDecision{action: streamBroken, retryReason: ReasonGap}
	case f.allFinished():
		return frameDecision{action: dropFrame, dropCause: dropLate}
	}
	f.nextPosition = position + tokens
	return f.accept(c, finish)
}

// validateEmpty decides about a chunk without tokens, which is an opening or
// final one.
func (f *frameValidator) validateEmpty(c *backend.Chunk, finish bool) frameDecision {
	if finish {
		if c.Position == nil && c.Usage != nil && c.Usage.CompletionTokens > f.nextPosition {
			return frameDecision{action: streamBroken, retryReason: ReasonGap}
		}
		return f.accept(c, true)
	}
	if f.opened {
		return frameDecision{action: dropFrame, dropCause: dropDuplicate}
	}
	return f.accept(c, false)
}

// validateRepeated decides about a chunk whose tokens the client already has.
func (f *frameValidator) validateRepeated(c *backend.Chunk, finish bool) frameDecision {
	if !finish {
		return frameDecision{action: dropFrame, dropCause: dropLate}
	}
	empty := ""
	for i := range c.Choices {
		choice := &c.Choices[i]
		choice.Logprobs = nil
		if choice.Delta != nil {
			choice.Delta = json.RawMessage("{}")
		}
		if choice.Text != nil {
			choice.Text = &empty
		}
	}
	return f.accept(c, true)
}

// accept updates the state for a chunk that is part of the response.
func (f *frameValidator) accept(c *backend.Chunk, finish bool) frameDecision {
	f.opened = true
	if !finish {
		return frameDecision{action: forwardFrame}
	}
	f.recordUsage(c)
	if f.finished == nil {
		f.finished = map[int]struct{}{}
	}
	for i := range c.Choices {
		if c.Choices[i].FinishReason != nil {
			f.finished[c.Choices[i].Index] = struct{}{}
		}
	}
	return frameDecision{action: holdFrame}
}

// finishes reports whether the chunk finishes a choice that was not finished
// before.
func (f *frameValidator) finishes(c *backend.Chunk) bool {
	for i := range c.Choices {
		choice := &c.Choices[i]
		_, known := f.finished[choice.Index]
		if choice.FinishReason != nil && !known && choice.Index >= 0 && choice.Index < f.choices {
			return true
		}
	}
	return false
}

func (f *frameValidator) allFinished() bool { return len(f.finished) >= f.choices }

func (f *frameValidator) recordUsage(c *backend.Chunk) {
	if c.Usage != nil {
		f.usage = c.Usage
	}
}
