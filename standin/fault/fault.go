// Package fault implements fault injection for the stand-ins: the set of active
// faults, which tests change through POST /faults, and a listener whose open
// connections can be frozen or reset.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// KindClear is the fault kind that removes all active faults.
const KindClear = "clear"

// Fault is one injected fault. Each stand-in defines the kinds that it
// supports.
type Fault struct {
	Kind string `json:"kind"`
	// Target limits the fault to one target, such as a route, log stream,
	// request ID or failure domain; empty means all.
	Target string `json:"target,omitempty"`
	// Skip is the number of matching calls that the fault leaves alone before it
	// takes effect.
	Skip int `json:"skip,omitempty"`
	// Count is the number of calls that the fault affects; 0 means no limit.
	Count int `json:"count,omitempty"`
	// ForMs is the time in milliseconds after which the fault ends; 0 means no
	// limit.
	ForMs int64 `json:"for_ms,omitempty"`
	// DelayMs is a delay in milliseconds, for the kinds that use one.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Value is a parameter whose meaning depends on the kind.
	Value float64 `json:"value,omitempty"`
}

// Delay returns DelayMs as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// activeFault is a fault in effect, with its remaining Skip and its end time.
type activeFault struct {
	Fault
	// until is the time at which the fault ends; zero means no limit.
	until time.Time
	// hits is the number of calls that the fault has affected.
	hits int
}

// Set holds the active faults of a stand-in. The zero value is ready for use.
// It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	faults []*activeFault
	// ApplyImmediate, if set, is called for each added fault. It returns true if
	// it has applied the fault immediately; such a fault is not added to the set.
	ApplyImmediate func(Fault) bool
}

// Add activates a fault. KindClear removes all active faults.
func (s *Set) Add(f Fault) {
	if f.Kind != KindClear && s.ApplyImmediate != nil && s.ApplyImmediate(f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Kind == KindClear {
		s.faults = nil
		return
	}
	added := &activeFault{Fault: f}
	if f.ForMs > 0 {
		added.until = time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	}
	s.faults = append(s.faults, added)
}

// Take reports whether an active fault of the given kind affects a call to the
// target, and returns that fault. It uses up one call of the fault's Skip or
// Count.
func (s *Set) Take(kind, target string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for i, f := range s.faults {
		if f.Kind != kind || (f.Target != "" && f.Target != target) {
			continue
		}
		if f.Skip > 0 {
			f.Skip--
			continue
		}
		f.hits++
		if f.Count > 0 && f.hits >= f.Count {
			s.faults = append(s.faults[:i], s.faults[i+1:]...)
		}
		return f.Fault, true
	}
	return Fault{}, false
}

// expire removes the faults whose time has ended. The caller holds the lock.
func (s *Set) expire(now time.Time) {
	kept := s.faults[:0]
	for _, f := range s.faults {
		if f.until.IsZero() || now.Before(f.until) {
			kept = append(kept, f)
		}
	}
	s.faults = kept
}

// List returns the active faults.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	list := make([]Fault, 0, len(s.faults))
	for _, f := range s.faults {
		list = append(list, f.Fault)
	}
	return list
}

// ServeHTTP adds the fault in the body of a POST request. It answers every
// valid request with the list of active faults.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Fault
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f)
		if err != nil || f.Kind == "" {
			http.Error(w, `{"error":"malformed fault"}`, http.StatusBadRequest)
			return
		}
		s.Add(f)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.List())
}
