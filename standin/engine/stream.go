package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/answer"
)

// stream is a request in progress. The lock of the server guards the fields
// below ready.
type stream struct {
	// key identifies the request in the core.
	key     string
	id      string
	chat    bool
	request backend.CompletionRequest
	answer  answer.Answer
	// promptTokens is the length of the prompt in tokens.
	promptTokens int
	// resumeFrom is the position of the first token that the client asked for.
	resumeFrom int
	// auditIndex is the index of the request's audit entry.
	auditIndex int
	// ready signals that there is output to send or that the state has changed.
	ready chan struct{}

	// pendingFrom and pendingCount are the position and number of the generated
	// tokens that are not yet sent.
	pendingFrom, pendingCount int
	// foreignFrames are frames of other requests that FaultMisroutedFrame sends on
	// this stream.
	foreignFrames [][]byte
	ended         bool
	aborted       bool
	canceled      bool
	cached        int
}

// add applies an event of the core to the stream. The caller holds the server's
// lock.
func (st *stream) add(event Event) {
	switch event.Kind {
	case EventTokens:
		if st.pendingCount == 0 {
			st.pendingFrom = event.Position
		}
		st.pendingCount += event.Count
	case EventDone:
		st.ended = true
		st.cached = event.CachedTokens
	case EventAborted:
		st.aborted = true
	}
	st.notify()
}

func (st *stream) notify() {
	select {
	case st.ready <- struct{}{}:
	default:
	}
}

// complete handles a completion request of the chat or the text completion route.
func (s *Server) complete(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		st, reason := s.submit(r, chat)
		if reason != "" {
			status := statusOf(RefusedError(reason))
			if reason == codeMalformed {
				status = http.StatusBadRequest
			}
			writeError(w, status, reason)
			return
		}
		if st == nil {
			return
		}
		defer s.finish(st)
		if st.request.Stream {
			newFrameWriter(s, st, w).run(r)
			return
		}
		s.respondWhole(w, r, st)
	}
}

// submit reads a request and submits it to the core. A nil stream comes with
// the error code of a refusal, or with an empty one if the request must stay
// unanswered (FaultHang).
func (s *Server) submit(r *http.Request, chat bool) (*stream, string) {
	st := &stream{chat: chat, ready: make(chan struct{}, 1)}
	resumeFrom, err := intHeader(r, backend.HeaderResumeFrom)
	if json.NewDecoder(r.Body).Decode(&st.request) != nil || err != nil || resumeFrom < 0 {
		return nil, codeMalformed
	}
	prompt := st.request.PromptText()
	st.id = r.Header.Get(backend.HeaderRequestID)
	st.answer = answer.For(&st.request)
	st.promptTokens = max(1, backend.EstimateTokens(len(prompt)))
	st.resumeFrom = resumeFrom
	entry := RequestEntry{
		RequestID:    st.id,
		Customer:     r.Header.Get(backend.HeaderCustomer),
		Model:        st.request.Model,
		Priority:     r.Header.Get(backend.HeaderPriority),
		ResumeFrom:   resumeFrom,
		PromptTokens: st.promptTokens,
		Prompt:       prompt[:min(len(prompt), auditedPromptBytes)],
		Outcome:      OutcomeRunning,
	}
	if _, hit := s.faults.Take(FaultHang, st.id); hit {
		s.audit.addRequest(r, entry)
		<-r.Context().Done()
		return nil, ""
	}
	core := Request{
		Model:        st.request.Model,
		PromptTokens: st.promptTokens,
		OutputTokens: st.answer.Tokens,
		ResumeFrom:   min(resumeFrom, st.answer.Tokens),
		Blocks:       backend.PrefixBlocks(st.request.Model, prompt),
		Priority:     priorityOf(r),
	}
	if reason := s.submitToCore(st, core); reason != "" {
		entry.Outcome, entry.Reason = OutcomeRefused, reason
		s.audit.addRequest(r, entry)
		return nil, reason
	}
	st.auditIndex = s.audit.addRequest(r, entry)
	s.wakeLoop()
	return st, ""
}

// submitToCore submits a request to the core and registers its stream. It
// returns the error code if the request is refused.
func (s *Server) submitToCore(st *stream, request Request) (reason string) {
	if _, hit := s.faults.Take(FaultRefuse, st.id); hit {
		return string(RefusedBusy)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.id == "" {
		st.id = s.uniqueKey("anonymous")
	}
	st.key = s.uniqueKey(st.id)
	request.Key = st.key
	err := s.core.Submit(s.now(), request)
	var refused RefusedError
	if errors.As(err, &refused) {
		return string(refused)
	}
	s.streams[st.key] = st
	return ""
}

// finish removes a request and records its outcome in the audit.
func (s *Server) finish(st *stream) {
	s.mu.Lock()
	removed := s.core.Cancel(s.now(), st.key)
	delete(s.streams, st.key)
	outcome := OutcomeCanceled
	if st.ended {
		outcome = OutcomeDone
	} else if st.aborted {
		outcome = OutcomeAborted
	}
	cached := st.cached
	s.mu.Unlock()
	if removed {
		s.wakeLoop()
	}
	s.audit.updateRequest(st.auditIndex, func(e *RequestEntry) { e.Outcome, e.Cached = outcome, cached })
}

// pendingOutput is the output that a stream has to send, with its state.
type pendingOutput struct {
	from, count              int
	foreignFrames            [][]byte
	ended, aborted, canceled bool
}

// takeOutput removes and returns the pending output of a stream.
func (s *Server) takeOutput(st *stream) pendingOutput {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pendingOutput{st.pendingFrom, st.pendingCount, st.foreignFrames, st.ended, st.aborted, st.canceled}
	st.pendingCount, st.foreignFrames = 0, nil
	if p.count > 0 {
		s.audit.updateRequest(st.auditIndex, func(e *RequestEntry) { e.Tokens += p.count })
	}
	return p
}

// respondWhole sends the complete answer in one response, without streaming.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, st *stream) {
	for {
		select {
		case <-st.ready:
		case <-r.Context().Done():
			return
		case <-s.quit:
			panic(http.ErrAbortHandler)
		}
		p := s.takeOutput(st)
		if p.aborted || p.canceled {
			panic(http.ErrAbortHandler)
		}
		if !p.ended {
			continue
		}
		body := st.completion(st.resumeFrom, st.answer.Tokens-st.resumeFrom, false)
		body.Choices[0].FinishReason = &st.answer.Finish
		body.Usage = st.usage()
		if _, hit := s.faults.Take(FaultWrongID, st.id); hit {
			body.ID = foreignID(st.id)
		}
		writeJSON(w, http.StatusOK, body)
		return
	}
}

func (st *stream) usage() *backend.Usage {
	return &backend.Usage{
		PromptTokens:     st.promptTokens,
		CompletionTokens: st.answer.Tokens,
		TotalTokens:      st.promptTokens + st.answer.Tokens,
	}
}

// completion returns an answer, or a chunk of a streamed one, with count tokens
// from a position.
func (st *stream) completion(from, count int, chunk bool) backend.Completion {
	text := st.answer.Text(from, max(0, count))
	body := backend.Completion{
		ID:       st.id,
		Created:  time.Now().Unix(),
		Model:    st.request.Model,
		Position: &from,
		Tokens:   max(0, count),
	}
	choice := backend.Choice{}
	message := &backend.Message{Role: "assistant", Content: text}
	switch {
	case st.chat && chunk:
		body.Object, choice.Delta = "chat.completion.chunk", message
	case st.chat:
		body.Object, choice.Message = "chat.completion", message
	default:
		body.Object, choice.Text = "text_completion", text
	}
	body.Choices = []backend.Choice{choice}
	return body
}

// foreignID returns the ID that faults use for a request that doesn't exist.
func foreignID(id string) string { return "foreign-" + id }

// cancel cancels all requests with the given ID and answers with their number.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	found := 0
	s.mu.Lock()
	for _, st := range s.streams {
		if st.id == id && !st.ended {
			found++
			st.canceled = true
			s.core.Cancel(s.now(), st.key)
			st.notify()
		}
	}
	s.mu.Unlock()
	s.wakeLoop()
	writeJSON(w, http.StatusOK, map[string]int{"canceled": found})
}

// intHeader returns the integer value of a header, or 0 if it is missing.
func intHeader(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", name, err)
	}
	return value, nil
}
