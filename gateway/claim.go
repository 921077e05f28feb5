package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"net/http"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/claim"
)

// Claims decides which of the requests with the same idempotency key runs.
// *claim.Runner implements it.
type Claims interface {
	// Claim blocks until it is decided whether the request runs. The context
	// ends when the response is no longer needed.
	Claim(ctx context.Context, request claim.Request, deadline time.Time) claim.Decision
	// Finish records the outcome of a granted claim. It must not block.
	Finish(token string, outcome claim.Outcome)
}

const maxIdempotencyKeyBytes = 255

// hashForClaim hashes the method, path, query and body that the client sent. A
// claim compares the hash to detect that a key is reused for another request.
// hashForClaim is called before the body is changed for the engine.
func (q *request) hashForClaim(body []byte) {
	if len(q.r.Header.Values(HeaderIdempotencyKey)) == 0 {
		return
	}
	digest := sha256.New()
	for _, part := range []string{q.r.Method, q.r.URL.EscapedPath(), q.r.URL.RawQuery} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	digest.Sum(q.bodyHash[:0])
}

// claimRequest ensures that the requests with the same idempotency key run at
// most once.
func claimRequest(q *request) *Error {
	key, err := singleHeader(q.r.Header, HeaderIdempotencyKey)
	if err != nil || key == "" {
		return err
	}
	if len(key) > maxIdempotencyKeyBytes {
		return invalidRequest(http.StatusBadRequest, "invalid_idempotency_key", HeaderIdempotencyKey, "the idempotency key is too long")
	}
	if q.g.Claims == nil {
		return unavailable("claims_unavailable", "idempotency keys are not available", RunNever)
	}
	decision := q.g.Claims.Claim(q.ctx, claim.Request{
		Key:      claim.Key{Customer: q.customerName(), Hash: sha256.Sum256([]byte(key))},
		BodyHash: q.bodyHash,
	}, q.g.Clock.Now().Add(q.firstByteTimeout))
	return q.applyClaim(decision)
}

// applyClaim starts the recording of a granted request, or returns the recorded
// outcome or an error.
func (q *request) applyClaim(d claim.Decision) *Error {
	switch d.State {
	case claim.Granted:
		q.startRecording(d.Token)
		return nil
	case claim.Replay:
		return q.replay(d.Outcome)
	case claim.Mismatch:
		return invalidRequest(http.StatusUnprocessableEntity, "idempotency_key_reused", HeaderIdempotencyKey,
			"the idempotency key was used with a different request")
	case claim.Refused:
		return unavailable("claim_refused", "the idempotency key could not be claimed in the log", RunNever)
	}
	return &Error{Status: http.StatusConflict, Type: TypeConflict, Code: "outcome_unknown",
		Message: "a request with this idempotency key may have run or is running; its outcome is not known", Run: RunUnknown}
}

// replay sends the recorded outcome, which ends the request.
func (q *request) replay(o claim.Outcome) *Error {
	q.replayed = true
	if o.Body == nil && o.Size > 0 {
		return &Error{Status: http.StatusConflict, Type: TypeConflict, Code: "answer_not_kept", Run: RunDone,
			Message: "the request was run; its answer was not kept (sha256 " + hex.EncodeToString(o.Digest[:]) + ")"}
	}
	h := q.w.Header()
	for name, value := range o.Header {
		h.Set(name, value)
	}
	q.extendWriteDeadline()
	q.headerSent, q.sentStatus = true, o.Status
	q.w.WriteHeader(o.Status)
	_, _ = q.w.Write(o.Body)
	return nil
}

// startRecording keeps a copy of the response for the outcome. The request
// continues after the client has left, so that its outcome becomes known.
func (q *request) startRecording(token string) {
	q.stopClientWatch()
	q.recorder = &recorder{ResponseWriter: q.w, token: token, digest: sha256.New()}
	q.w = q.recorder
}

// recordOutcome reports the outcome of a claimed request, however the request
// ended.
func (q *request) recordOutcome(err *Error) {
	if q.recorder == nil {
		return
	}
	notRun := err != nil && err.Run == RunNever
	cutOff := err != nil && q.headerSent
	q.g.Claims.Finish(q.recorder.token, q.recorder.outcome(notRun, cutOff))
}

// recorder is an http.ResponseWriter that keeps a copy of the response. It
// ignores errors of the client connection, because the recorded response must
// be complete even if the client left.
type recorder struct {
	http.ResponseWriter
	token  string
	status int
	body   []byte
	size   int64
	digest hash.Hash
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

func (r *recorder) Write(p []byte) (int, error) {
	r.size += int64(len(p))
	_, _ = r.digest.Write(p)
	if r.size <= claim.MaxBody {
		r.body = append(r.body, p...)
	} else {
		r.body = nil
	}
	_, _ = r.ResponseWriter.Write(p)
	return len(p), nil
}

// FlushError ignores a client that has left, as Write does.
func (r *recorder) FlushError() error {
	_ = http.NewResponseController(r.ResponseWriter).Flush()
	return nil
}

// recordedHeaders are the response headers that a replay contains.
var recordedHeaders = []string{"Content-Type", "Location", "Etag", "Retry-After", HeaderRun}

func (r *recorder) outcome(notRun, cutOff bool) claim.Outcome {
	if notRun || cutOff {
		return claim.Outcome{NotRun: notRun, Unknown: !notRun}
	}
	o := claim.Outcome{Status: r.status, Header: map[string]string{}, Body: r.body, Size: r.size}
	r.digest.Sum(o.Digest[:0])
	for _, name := range recordedHeaders {
		if value := r.Header().Get(name); value != "" {
			o.Header[name] = strings.ToValidUTF8(value, "?")
		}
	}
	return o
}
