package quarantine

import (
	"sync"
	"time"
)

const (
	// servedMemory is the least time for which a served part is remembered.
	servedMemory = time.Minute
	// maxServed bounds the parts of one generation.
	maxServed = 16 << 10
)

// Served remembers when parts of prompts were last served, for one to two times
// servedMemory. It is safe for concurrent use.
type Served struct {
	mu sync.Mutex
	// current and previous are generations: current becomes previous when it is old
	// or full.
	current, previous map[string]time.Time
	begun             time.Time
}

// NewServed returns an empty memory.
func NewServed() *Served { return &Served{current: map[string]time.Time{}} }

// Add records that a part was served.
func (s *Served) Add(now time.Time, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.current[part] = now
}

// Last returns when a part was last served, or the zero time if that isn't known.
func (s *Served) Last(now time.Time, part string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if at, ok := s.current[part]; ok {
		return at
	}
	return s.previous[part]
}

func (s *Served) advance(now time.Time) {
	if age := now.Sub(s.begun); age >= servedMemory || len(s.current) >= maxServed {
		s.previous = s.current
		if age >= 2*servedMemory {
			s.previous = nil
		}
		s.current, s.begun = map[string]time.Time{}, now
	}
}
