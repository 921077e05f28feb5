// Package hlc implements a hybrid logical clock. Its timestamps stay close to the
// wall clock and respect causal order between processes that exchange them.
package hlc

import (
	"cmp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// MaxAhead bounds how far a timestamp of another process may be ahead of the
// local wall clock, so that one VM with a wrong clock doesn't move the clocks of
// all others.
const MaxAhead = 10 * time.Second

// ErrAhead reports a timestamp more than MaxAhead ahead of the wall clock.
var ErrAhead = eris.New("timestamp is too far ahead of the wall clock")

// ErrMalformed reports a text that is not a timestamp.
var ErrMalformed = eris.New("malformed timestamp")

// Timestamp is a point in hybrid logical time. The zero value precedes all others.
type Timestamp struct {
	// WallMs is the Unix time in milliseconds.
	WallMs int64
	// Logical orders timestamps with equal WallMs.
	Logical uint32
}

// Compare returns -1, 0 or 1 if t is before, equal to or after other.
func (t Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(t.WallMs, other.WallMs), cmp.Compare(t.Logical, other.Logical))
}

// Time returns WallMs as a time in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(t.WallMs).UTC() }

// String returns the form WALLMS.LOGICAL.
func (t Timestamp) String() string {
	return strconv.FormatInt(t.WallMs, 10) + "." + strconv.FormatUint(uint64(t.Logical), 10)
}

// MarshalText returns the form that String returns.
func (t Timestamp) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the form WALLMS.LOGICAL. It fails with ErrMalformed.
func (t *Timestamp) UnmarshalText(text []byte) error {
	wall, logical, found := strings.Cut(string(text), ".")
	ms, err := strconv.ParseInt(wall, 10, 64)
	if !found || err != nil || ms < 0 {
		return eris.Wrapf(ErrMalformed, "%q", text)
	}
	count, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return eris.Wrapf(ErrMalformed, "%q", text)
	}
	*t = Timestamp{ms, uint32(count)}
	return nil
}

// Clock returns strictly increasing timestamps. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	mu   sync.Mutex
	last Timestamp
}

// New returns a clock that reads the time from the given wall clock.
func New(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a timestamp after all those that the clock has returned or observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.wall().UnixMilli())
	return c.last
}

// Observe records the timestamp of a received message, so that all later
// timestamps of the clock are after it. It fails with ErrAhead and ignores the
// timestamp if it is too far ahead.
func (c *Clock) Observe(remote Timestamp) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixMilli()
	if remote.WallMs > wall+MaxAhead.Milliseconds() {
		return eris.Wrapf(ErrAhead, "%d ms", remote.WallMs-wall)
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	c.advance(wall)
	return nil
}

// advance moves last forward: to the wall clock if that is ahead of last, else by
// one logical step. The logical part carries over to WallMs when it overflows.
func (c *Clock) advance(wallMs int64) {
	switch {
	case wallMs > c.last.WallMs:
		c.last = Timestamp{WallMs: wallMs}
	case c.last.Logical == ^uint32(0):
		c.last = Timestamp{WallMs: c.last.WallMs + 1}
	default:
		c.last.Logical++
	}
}
