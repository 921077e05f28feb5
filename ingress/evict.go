package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minVictimAge protects requests that have just begun. Clients are 1 ms away and the
	// shortest objective is 150 ms; a sound client sends its request within that time.
	minVictimAge = 500 * time.Millisecond
	// minRate is the progress in bytes per second below which a connection may be
	// closed for the memory that it takes: at it, 32 KB take the longest time that a
	// route allows today, 8 s.
	minRate = 4096
	// minIdleAge protects connections whose client is about to send its next request.
	minIdleAge = time.Second
)

// candidate is a connection that may be closed for the sake of others.
type candidate struct {
	conn  *Conn
	phase phase
	// extra is the memory that it takes beyond that of an idle connection.
	extra int64
	// age is the time since the connection began to wait for its client, stalled that
	// since the last byte.
	age, stalled time.Duration
	// rate is the recent progress in bytes per second.
	rate float64
	// unread is set if the client doesn't read its answer.
	unread bool
}

// memoryVictims chooses the connections to be closed when clients together need more
// memory than there is: many heads or bodies that stop short of their end, trickle, or
// answers that nobody reads. Those that make the least progress come first, until they
// free the need. A connection whose request was read and runs is never among them.
func memoryVictims(all []candidate, need int64) []*Conn {
	all = slices.DeleteFunc(all, func(c candidate) bool {
		switch {
		case c.extra <= 0:
			return true
		case c.phase == phaseServe:
			return !c.unread
		case c.phase != phaseHead && c.phase != phaseBody:
			return true
		}
		return c.age < minVictimAge || c.stalled < minVictimAge && c.rate >= minRate
	})
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.stalled, a.stalled), cmp.Compare(a.rate, b.rate))
	})
	var out []*Conn
	for _, c := range all {
		if need <= 0 {
			break
		}
		need -= c.extra
		out = append(out, c.conn)
	}
	return out
}

// slotVictims chooses up to n connections to be closed when there are as many as
// allowed: first those that have never sent anything, then those that stall in the
// middle of a request, then idle ones, each beginning with the longest time.
func slotVictims(all []candidate, n int) []*Conn {
	order := map[phase]int{phaseRefused: 0, phaseNew: 1, phaseHead: 2, phaseBody: 2, phaseServe: 2, phaseIdle: 3}
	all = slices.DeleteFunc(all, func(c candidate) bool {
		switch c.phase {
		case phaseNew:
			return c.age < minVictimAge
		case phaseHead, phaseBody:
			return c.age < minVictimAge || c.stalled < minVictimAge && c.rate >= minRate
		case phaseIdle:
			return c.age < minIdleAge
		case phaseServe:
			return !c.unread
		}
		return c.phase != phaseRefused
	})
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(order[a.phase], order[b.phase]), cmp.Compare(b.stalled, a.stalled))
	})
	var out []*Conn
	for _, c := range all[:min(n, len(all))] {
		out = append(out, c.conn)
	}
	return out
}
