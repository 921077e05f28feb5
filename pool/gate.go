package pool

import "sync/atomic"

// Gate bounds the outstanding requests of a daemon. It refuses a request before
// any work is spent on queueing or messages. It is safe for concurrent use.
type Gate struct {
	count atomic.Int64
	bound int64
}

// NewGate returns a gate that admits at most bound requests at a time.
func NewGate(bound int) *Gate { return &Gate{bound: int64(bound)} }

// Enter reports whether a request is admitted. If it is, call Leave when the
// request ends.
func (g *Gate) Enter() bool {
	if g.count.Add(1) > g.bound {
		g.count.Add(-1)
		return false
	}
	return true
}

// Leave ends an admitted request.
func (g *Gate) Leave() { g.count.Add(-1) }

// Outstanding returns the number of admitted requests that haven't ended.
func (g *Gate) Outstanding() int { return int(g.count.Load()) }
