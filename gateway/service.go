package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/mimosakeel/mimosakeel/backend"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read
	// completely before the client receives any of it, so that an idempotent
	// call can be retried if the response breaks off.
	maxBufferedResponse = 64 << 10
	// relayBufferBytes is the size of the buffer for larger responses.
	relayBufferBytes = 16 << 10
)

// bufferResponse reads the response completely if its length is known and at
// most maxBufferedResponse.
func (s *serviceCall) bufferResponse() *backend.CallError {
	length := s.response.ContentLength
	s.isBuffered = false
	if length < 0 || length > maxBufferedResponse {
		return nil
	}
	body, err := io.ReadAll(s.response.Body)
	if err != nil {
		s.response.Close()
		return &backend.CallError{Failure: backend.FailureBroken, Written: true, Err: err}
	}
	s.bufferedBody, s.isBuffered = body, true
	return nil
}

// relayService sends the backend's response to the client.
func (q *request) relayService() *Error {
	s := q.service
	defer s.response.Close()
	q.mayHaveRun = true
	q.meetDeadline()
	q.sendServiceHeader()
	var err error
	if s.isBuffered {
		q.extendWriteDeadline()
		_, err = q.w.Write(s.bufferedBody)
	} else {
		err = q.streamServiceResponse()
	}
	if err == nil {
		q.releaseGrant("")
		return nil
	}
	q.releaseGrant(ReasonBroken)
	if ended := q.contextError(); ended != nil {
		return ended
	}
	return &Error{Status: http.StatusBadGateway, Type: TypeServer, Code: "backend_failed",
		Message: "the answer broke off", Run: RunUnknown}
}

func (q *request) sendServiceHeader() {
	h := q.w.Header()
	for name, values := range q.service.response.Header {
		h[name] = values
	}
	h.Set(HeaderRun, string(RunDone))
	q.headerSent, q.sentStatus = true, q.service.response.Status
	q.w.WriteHeader(q.sentStatus)
}

// streamServiceResponse forwards a large or streamed response as its data
// arrives. The context ends the read when the client leaves or the key is
// withdrawn.
func (q *request) streamServiceResponse() error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := q.service.response.Body.Read(buffer)
		if n > 0 {
			q.extendWriteDeadline()
			if _, writeErr := q.w.Write(buffer[:n]); writeErr != nil {
				q.cancel(errClientLeft)
				return writeErr
			}
			if flushErr := q.control.Flush(); flushErr != nil {
				q.cancel(errClientLeft)
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
