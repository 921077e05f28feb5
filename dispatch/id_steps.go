package dispatch

import "sync"

const (
	// enoughSteps is the number of steps from which on a larger one counts as lost events.
	enoughSteps = 8
	// maxStepVersions bounds the versions whose steps are remembered.
	maxStepVersions = 1024
)

// idSteps summarizes the differences between the IDs of consecutive events.
type idSteps struct {
	count   int
	largest uint64
}

func (s *idSteps) add(step uint64) {
	s.count++
	s.largest = max(s.largest, step)
}

// judge judges the step to the first event of a continuation, which is larger than 1.
func (s *idSteps) judge(step uint64) stepVerdict {
	switch {
	case step <= s.largest:
		return stepFollows
	case s.count < enoughSteps:
		return stepUnknown
	}
	return stepLost
}

// EventSteps remembers the steps between event IDs for each software version of each
// service. It is safe for concurrent use; a nil *EventSteps remembers nothing.
type EventSteps struct {
	mu       sync.Mutex
	versions map[softwareVersion]idSteps
}

type softwareVersion struct{ service, version string }

// NewEventSteps returns an empty memory.
func NewEventSteps() *EventSteps {
	return &EventSteps{versions: map[softwareVersion]idSteps{}}
}

func (e *EventSteps) learn(service, version string, seen idSteps) {
	if e == nil || seen.count == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := softwareVersion{service, version}
	known, ok := e.versions[key]
	if !ok && len(e.versions) >= maxStepVersions {
		clear(e.versions)
	}
	known.count = min(known.count+seen.count, enoughSteps)
	known.largest = max(known.largest, seen.largest)
	e.versions[key] = known
}

func (e *EventSteps) of(service, version string) idSteps {
	if e == nil {
		return idSteps{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[softwareVersion{service, version}]
}
