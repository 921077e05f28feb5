package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// firstBody is the size up to which a buffer for a body is allocated at once. Larger
// ones grow as bytes arrive.
const firstBody = 64 << 10

// The errors of Body.
var (
	// ErrTooLarge: the body is larger than the limit.
	ErrTooLarge = errors.New("ingress: body is too large")
	// ErrBusy: clients take too much memory; the body may be sent again later.
	ErrBusy = errBusy
	// ErrTimeout: the body did not arrive before the deadline.
	ErrTimeout = errors.New("ingress: body did not arrive in time")
)

// RetryAfter is the time after which a request that failed with ErrBusy may be sent
// again.
const RetryAfter = retryAfter * time.Second

// Body reads the whole body of a request of at most limit bytes, 0 for no limit, until a
// deadline. Its memory is charged to the connection of the request until the request
// ends. After an error, the connection must be closed with the answer.
func Body(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c != nil {
		c.bodyDeadline.Store(deadline.UnixNano())
		defer c.bodyDeadline.Store(0)
	}
	most := limit + 1 // One more than allowed shows that the body is too large.
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	size := int64(firstBody)
	if r.ContentLength < 0 {
		size = 512 // As io.ReadAll begins.
	}
	var body []byte
	for limit <= 0 || int64(len(body)) < most {
		if len(body) == cap(body) {
			if limit > 0 || r.ContentLength > 0 {
				size = min(size, most)
			}
			if c != nil && !c.gate.charge(c, size-int64(cap(body))) {
				c.gate.counters.count(reasonBodyMemory)
				return nil, ErrBusy
			}
			body = append(make([]byte, 0, size), body...)
			size *= 2
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return checked(r, body, limit)
		}
		if err != nil {
			return nil, readError(c, err)
		}
		if r.ContentLength > 0 && int64(len(body)) == r.ContentLength {
			return body, nil
		}
	}
	return nil, ErrTooLarge
}

// checked returns a body that has ended if its size is right.
func checked(r *http.Request, body []byte, limit int64) ([]byte, error) {
	switch {
	case limit > 0 && int64(len(body)) > limit:
		return nil, ErrTooLarge
	case int64(len(body)) < r.ContentLength:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

func readError(c *Conn, err error) error {
	if c != nil && c.expired.Load() {
		c.gate.counters.count(reasonBodyTime)
		return ErrTimeout
	}
	return err
}

// Hold charges the memory of an answer to the connection of its request until the
// request ends. It never fails, because the request has run; new requests have less
// memory meanwhile.
func Hold(ctx context.Context, n int64) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.add(n) && c.gate.used.Load() > c.gate.budget {
		c.gate.relieve(c)
	}
}
