package metering

import (
	"slices"
	"sync"
	"time"
)

// maxOffsetAge is the age after which a peer's clock offset is ignored.
const maxOffsetAge = 5 * time.Second

// Clock estimates the true time from the wall clocks of all daemons. Wall clocks
// may jump, but the median of their offsets from this process's monotonic clock
// is stable while most of them are right. It is safe for concurrent use.
type Clock struct {
	monotonic func() time.Time
	wall      func() time.Time

	mu    sync.Mutex
	peers map[string]peerOffset
	// offset is the current median.
	offset      time.Duration
	offsetKnown bool
}

// peerOffset is the offset of a peer's wall clock from the monotonic clock.
type peerOffset struct {
	value      time.Duration
	observedAt time.Time
}

// NewClock returns a clock. monotonic must continue while the process is
// suspended.
func NewClock(monotonic, wall func() time.Time) *Clock {
	return &Clock{monotonic: monotonic, wall: wall, peers: map[string]peerOffset{}}
}

// Observe records the reading of a peer's wall clock.
func (c *Clock) Observe(peer string, wall time.Time) {
	now := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = peerOffset{value: wall.Sub(now), observedAt: now}
	c.updateOffset(now)
}

// updateOffset sets the offset to the median over all daemons, including this
// one.
func (c *Clock) updateOffset(now time.Time) {
	values := []time.Duration{c.wall().Sub(now)}
	for peer, o := range c.peers {
		if now.Sub(o.observedAt) > maxOffsetAge {
			delete(c.peers, peer)
			continue
		}
		values = append(values, o.value)
	}
	slices.Sort(values)
	// This is the lower median: of two daemons, the earlier time is used.
	c.offset, c.offsetKnown = values[(len(values)-1)/2], true
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	now := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.offsetKnown {
		c.updateOffset(now)
	}
	return now.Add(c.offset)
}
