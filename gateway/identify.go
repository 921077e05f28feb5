package gateway

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
)

// identify finds the customer that owns the request's key. It registers the
// request before the lookup, so that a withdrawal in between ends the request.
func identify(q *request) *Error {
	secret, err := clientKey(q.r.Header)
	if err != nil {
		return err
	}
	if secret == "" {
		return &Error{Status: http.StatusUnauthorized, Type: TypeAuth, Code: "missing_key",
			Message: "an API key is required", Run: RunNever}
	}
	if !q.g.Freshness.MayServeKeyed() {
		return unavailable("key_state_unknown", "this daemon can't tell at the moment whether keys are valid", RunNever)
	}
	q.keyHash = sha256.Sum256([]byte(secret))
	q.atEnd(q.g.sessions.add(q.keyHash, q.abort))
	q.customer = q.g.Directory.Customer(q.keyHash)
	if q.customer == nil {
		return &Error{Status: http.StatusUnauthorized, Type: TypeAuth, Code: "invalid_key",
			Message: "the API key is not valid", Run: RunNever}
	}
	return nil
}

// checkAuthorization returns an error if the request's key may no longer be
// used. It is called before each attempt: the request may have waited for a
// long time since identify, and if the process was paused meanwhile, it noticed
// neither a withdrawal of the key nor the loss of the log.
func (q *request) checkAuthorization() *Error {
	switch {
	case q.customer == nil:
		return nil
	case !q.g.Freshness.MayServeKeyed():
		return unavailable("key_state_unknown", "this daemon can't tell at the moment whether keys are valid", q.runState())
	case q.g.Directory.Customer(q.keyHash) == nil:
		return &Error{Status: http.StatusUnauthorized, Type: TypeAuth, Code: "key_withdrawn",
			Message: "the key was withdrawn", Run: q.runState()}
	}
	return nil
}

// checkKey calls checkAuthorization immediately before the first byte of an
// attempt is written.
func (q *request) checkKey() error {
	if err := q.checkAuthorization(); err != nil {
		return errKeyNotUsable
	}
	return nil
}

// errKeyNotUsable prevents an attempt from being written.
var errKeyNotUsable = errors.New("the key may not be used any more")

// clientKey returns the request's API key, or "". It refuses headers that
// contain different keys, because each component on the path could choose
// another one.
func clientKey(h http.Header) (string, *Error) {
	key := ""
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		value, err := singleHeader(h, name)
		if err != nil {
			return "", err
		}
		if name == "Authorization" {
			if value, err = bearerToken(value); err != nil {
				return "", err
			}
		}
		if value == "" {
			continue
		}
		if key != "" && key != value {
			return "", invalidRequest(http.StatusBadRequest, "conflicting_keys", name, "headers carry different API keys")
		}
		key = value
	}
	return key, nil
}

func bearerToken(value string) (string, *Error) {
	if value == "" {
		return "", nil
	}
	scheme, token, found := strings.Cut(value, " ")
	token = strings.TrimSpace(token)
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", &Error{Status: http.StatusUnauthorized, Type: TypeAuth, Code: "invalid_authorization",
			Param: "Authorization", Message: "Authorization must be a Bearer token", Run: RunNever}
	}
	return token, nil
}
