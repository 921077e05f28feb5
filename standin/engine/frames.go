package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/standin/answer"
)

// frameWriter sends one streamed answer as server-sent events (frames) and
// applies the injected faults.
type frameWriter struct {
	server  *Server
	stream  *stream
	w       http.ResponseWriter
	control *http.ResponseController
	// id is the request ID that the frames carry.
	id string
	// lateFrame is a frame to send a second time after the next one.
	lateFrame []byte
}

func newFrameWriter(s *Server, st *stream, w http.ResponseWriter) *frameWriter {
	id := st.id
	if _, hit := s.faults.Take(FaultWrongID, st.id); hit {
		id = foreignID(id)
	}
	return &frameWriter{server: s, stream: st, w: w, control: http.NewResponseController(w), id: id}
}

// run sends frames until the answer is complete or the client disconnects. If
// the request is aborted or canceled, or the engine stops, it breaks the
// connection.
func (f *frameWriter) run(r *http.Request) {
	f.w.Header().Set("Content-Type", "text/event-stream")
	f.w.Header().Set("Cache-Control", "no-store")
	f.w.WriteHeader(http.StatusOK)
	f.flush()
	heartbeat := time.NewTicker(f.server.config.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-f.stream.ready:
			if f.send(f.server.takeOutput(f.stream)) {
				return
			}
		case <-heartbeat.C:
			f.write([]byte(": hb\n\n"))
			f.flush()
		case <-r.Context().Done():
			return
		case <-f.server.quit:
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes the pending output and returns true after the last frame.
func (f *frameWriter) send(p pendingOutput) bool {
	for _, frame := range p.foreignFrames {
		f.write(frame)
	}
	if p.count > 0 {
		f.sendTokens(p.from, p.count)
	}
	if p.aborted || p.canceled {
		panic(http.ErrAbortHandler)
	}
	if p.ended {
		f.sendEnd()
	}
	f.flush()
	return p.ended
}

// sendTokens sends a frame with count tokens from a position.
func (f *frameWriter) sendTokens(from, count int) {
	body := f.stream.completion(from, count, true)
	body.ID = f.id
	frame := encode(body)
	server, id := f.server, f.stream.id
	if _, hit := server.faults.Take(FaultCutStream, id); hit {
		panic(http.ErrAbortHandler)
	}
	if _, hit := server.faults.Take(FaultGarbageFrame, id); hit {
		f.write([]byte("data: {\"id\":\"\x00\xff garbage\n\n"))
	}
	repeated := f.lateFrame
	f.lateFrame = nil
	defer func() { f.write(repeated) }()
	if _, hit := server.faults.Take(FaultDropFrame, id); hit {
		return
	}
	if _, hit := server.faults.Take(FaultMisroutedFrame, id); hit {
		f.misroute(frame, from, count)
		return
	}
	f.write(frame)
	if _, hit := server.faults.Take(FaultDuplicateFrame, id); hit {
		f.write(frame)
	}
	if _, hit := server.faults.Take(FaultLateFrame, id); hit {
		f.lateFrame = frame
	}
}

// misroute applies FaultMisroutedFrame: it delivers a frame to another open stream.
// If there is none, it sends a frame of a request that doesn't exist and then
// the frame itself on this stream.
func (f *frameWriter) misroute(frame []byte, from, count int) {
	f.server.mu.Lock()
	for _, other := range f.server.streams {
		if other != f.stream && other.request.Stream && !other.ended {
			other.foreignFrames = append(other.foreignFrames, frame)
			other.notify()
			f.server.mu.Unlock()
			return
		}
	}
	f.server.mu.Unlock()
	foreign := &stream{id: foreignID(f.stream.id), chat: f.stream.chat, request: f.stream.request}
	foreign.request.Prompt += "foreign"
	foreign.answer = answer.For(&foreign.request)
	f.write(encode(foreign.completion(from, count, true)))
	f.write(frame)
}

// sendEnd sends the final frame and the end marker.
func (f *frameWriter) sendEnd() {
	if _, hit := f.server.faults.Take(FaultNoEnd, f.stream.id); hit {
		return
	}
	f.write(f.lateFrame)
	body := f.stream.completion(f.stream.answer.Tokens, 0, true)
	body.ID = f.id
	body.Choices[0].FinishReason = &f.stream.answer.Finish
	body.Usage = f.stream.usage()
	f.write(encode(body))
	f.write([]byte("data: [DONE]\n\n"))
}

// encode returns a server-sent event with a JSON body.
func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		// Unreachable: all bodies are plain structs, which always encode.
		panic(err)
	}
	frame := append([]byte("data: "), data...)
	return append(frame, "\n\n"...)
}

func (f *frameWriter) write(data []byte) { _, _ = f.w.Write(data) }

func (f *frameWriter) flush() { _ = f.control.Flush() }
