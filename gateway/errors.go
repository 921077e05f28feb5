package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// HeaderRun is the response header that states whether the request was run; see
// Run.
const HeaderRun = "Mimosakeel-Run"

// Run states whether a backend ran the request.
type Run = backend.Run

// The values of HeaderRun and of the error field "run".
const (
	RunNever   = backend.RunNever
	RunDone    = backend.RunDone
	RunUnknown = backend.RunUnknown
)

// ErrorType is the error class of the OpenAI API.
type ErrorType string

// The error types.
const (
	TypeInvalid    ErrorType = "invalid_request_error"
	TypeAuth       ErrorType = "authentication_error"
	TypePermission ErrorType = "permission_error"
	TypeNotFound   ErrorType = "not_found_error"
	TypeConflict   ErrorType = "conflict_error"
	TypeRateLimit  ErrorType = "rate_limit_error"
	TypeServer     ErrorType = "server_error"
)

// Error is an error response that the gateway itself sends.
type Error struct {
	Status  int
	Type    ErrorType
	Code    string
	Message string
	// Param is the name of the invalid field or header.
	Param      string
	Run        Run
	RetryAfter time.Duration
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Code    string    `json:"code"`
	Param   *string   `json:"param"`
	Run     Run       `json:"run"`
}

func (e *Error) body() []byte {
	fields := errorFields{Message: e.Message, Type: e.Type, Code: e.Code, Run: e.Run}
	if e.Param != "" {
		fields.Param = &e.Param
	}
	data, err := json.Marshal(errorBody{Error: fields})
	if err != nil {
		panic(err)
	}
	return data
}

// write sends the error as the complete response.
func (e *Error) write(w http.ResponseWriter) {
	body := e.body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, so that clients don't retry too early.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func invalidRequest(status int, code, param, message string) *Error {
	return &Error{Status: status, Type: TypeInvalid, Code: code, Param: param, Message: message, Run: RunNever}
}

func unavailable(code, message string, run Run) *Error {
	e := &Error{Status: http.StatusServiceUnavailable, Type: TypeServer, Code: code, Message: message, Run: run}
	if run == RunNever {
		e.RetryAfter = defaultRetryAfter
	}
	return e
}

// defaultRetryAfter is the shortest Retry-After that is sent.
const defaultRetryAfter = time.Second

// refusalError returns the error response for a refusal.
func refusalError(r *Refusal, run Run) *Error {
	kind := TypeServer
	if r.Status == http.StatusTooManyRequests {
		kind = TypeRateLimit
	}
	message := r.Message
	if message == "" {
		message = "the request was refused (" + r.Code + ")"
	}
	return &Error{
		Status:     r.Status,
		Type:       kind,
		Code:       r.Code,
		Message:    message,
		Run:        run,
		RetryAfter: max(r.RetryAfter, defaultRetryAfter),
	}
}
