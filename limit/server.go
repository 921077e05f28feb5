package limit

import (
	"time"
)

const (
	// serverMemory is the time for which a server's limit holds unless it is named
	// again, plus the time of renewals requests at the limit. The daemon that gets the
	// first answer without a limit may not have heard of it before.
	serverMemory = 2 * time.Second
	renewals     = 3
	// exclusion is the time for which an excluded server gets no requests.
	exclusion = 5 * time.Second
	// lowestServerRate is the rate at which a server that takes no requests is asked
	// again.
	lowestServerRate = 0.05
)

// Server is a limit on the requests per second that a backend server has named. The
// zero value is no limit. At most rate*T + max(rate, 1) requests are allowed in any
// time T. It isn't safe for concurrent use.
type Server struct {
	bucket bucket
	rate   float64
	until  time.Time
}

// Set sets the limit. A new limit begins without credit for past time.
func (s *Server) Set(now time.Time, rate float64) {
	if !s.Active(now) {
		s.bucket = bucket{at: now}
	}
	s.fill(now)
	s.rate = max(rate, lowestServerRate)
	s.until = now.Add(serverMemory + time.Duration(renewals/s.rate*float64(time.Second)))
}

// Exclude forbids all requests for some seconds.
func (s *Server) Exclude(now time.Time) {
	s.bucket, s.rate, s.until = bucket{at: now}, 0, now.Add(exclusion)
}

// Lift removes the limit.
func (s *Server) Lift() { *s = Server{} }

// Wait returns the time until the next request is allowed.
func (s *Server) Wait(now time.Time) time.Duration {
	switch {
	case !s.Active(now):
		return 0
	case s.rate == 0:
		return s.until.Sub(now)
	}
	s.fill(now)
	return s.bucket.timeUntil(1, s.rate)
}

// Take counts a request.
func (s *Server) Take(now time.Time) {
	if s.Active(now) {
		s.fill(now)
		s.bucket.level--
	}
}

// Active reports whether there is a limit.
func (s *Server) Active(now time.Time) bool { return now.Before(s.until) }

func (s *Server) fill(now time.Time) { s.bucket.fill(now, s.rate, max(s.rate, 1)) }
