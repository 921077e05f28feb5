package versionpin

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxStreams bounds the streams that a daemon remembers.
	maxStreams = 1 << 16
	// minRemembered is the shortest time for which a stream is remembered. Records of
	// streams stay in the store for at least as long.
	minRemembered = 20 * time.Second
	// maxRequestID bounds the length of the request IDs that are remembered.
	maxRequestID = 64
	// maxBatch bounds the request IDs of one record. The store accepts records of 256 KB.
	maxBatch = 1000
	// recordAgainAfter is the age of a record after which the stream is recorded again
	// if it may still run. The store keeps a record for at least 20 s.
	recordAgainAfter = 12 * time.Second
)

// errAmbiguous reports a request ID under which streams began at several versions.
var errAmbiguous = eris.New("streams of several versions began under this request ID")

type streamKey struct{ service, request string }

// stream is a stream whose version is known.
type stream struct {
	key     streamKey
	version string
	// ambiguous is set if streams of several versions began under the same ID.
	ambiguous bool
	at        time.Time
	// recorded is the time at which the stream was last recorded in the store.
	recorded time.Time
}

// Streams holds the versions of streams, those of this daemon and those read from the
// store. It is not safe for concurrent use.
type Streams struct {
	// LongestStream is the longest time that a stream may take.
	LongestStream time.Duration

	byKey map[streamKey]*stream
	// order holds all streams, oldest first.
	order []*stream
	// unrecorded holds the streams of each service that are not in the store.
	unrecorded map[string][]*stream
	// recorded holds the streams of this daemon that are, in the order of their records.
	recorded []*stream
	// held holds the streams of other daemons that are not known to be in the store.
	held map[string][]*stream
	// news holds what other daemons are to be told.
	news streamNews
}

// NewStreams returns an empty set.
func NewStreams() *Streams {
	return &Streams{byKey: map[streamKey]*stream{}, unrecorded: map[string][]*stream{}, held: map[string][]*stream{}}
}

// Pin adds a stream of this daemon.
func (s *Streams) Pin(now time.Time, service, request, version string) {
	key := streamKey{service, request}
	added := s.add(now, key, version)
	if known := s.byKey[key]; added == nil && known != nil && known.version != version {
		// Others must learn that the ID is ambiguous.
		added = &stream{key: key, version: version, at: now}
	}
	if added != nil {
		s.unrecorded[service] = append(s.unrecorded[service], added)
		if len(s.news.begun) < maxStreams {
			s.news.begun = append(s.news.begun, added)
		}
	}
}

// Read adds a stream that the store has a record of.
func (s *Streams) Read(now time.Time, service, request, version string) {
	s.add(now, streamKey{service, request}, version)
}

func (s *Streams) add(now time.Time, key streamKey, version string) *stream {
	if key.request == "" || len(key.request) > maxRequestID {
		return nil
	}
	if known := s.byKey[key]; known != nil {
		known.ambiguous = known.ambiguous || known.version != version
		return nil
	}
	s.expire(now)
	added := &stream{key: key, version: version, at: now}
	s.byKey[key] = added
	s.order = append(s.order, added)
	return added
}

// remembered returns the time for which streams are remembered: a client may take one
// up as late as it ends.
func (s *Streams) remembered() time.Duration { return max(2*s.LongestStream, minRemembered) }

func (s *Streams) expire(now time.Time) {
	for len(s.order) > 0 && (len(s.order) >= maxStreams || now.Sub(s.order[0].at) > s.remembered()) {
		delete(s.byKey, s.order[0].key)
		s.order = s.order[1:]
	}
}

// Lookup returns the version at which a stream began. known is set if there is a record
// of the stream, also if it is ambiguous.
func (s *Streams) Lookup(service, request string) (version string, known bool, err error) {
	found := s.byKey[streamKey{service, request}]
	switch {
	case found == nil:
		return "", false, nil
	case found.ambiguous:
		return "", true, errAmbiguous
	}
	return found.version, true, nil
}

// Batch returns the streams that are to be recorded, of the services for which needed
// returns true. Recorded or NotRecorded must be called with them.
func (s *Streams) Batch(now time.Time, needed func(service string) bool) (streamBatch, []*stream) {
	s.recordAgain(now)
	for service := range s.held {
		if needed(service) {
			s.takeHeld(now, service)
		} else {
			s.dropHeld(now, service)
		}
	}
	var taken []*stream
	for service, list := range s.unrecorded {
		list = s.current(now, list)
		if !needed(service) {
			s.unrecorded[service] = list
			continue
		}
		n := min(len(list), maxBatch-len(taken))
		taken = append(taken, list[:n]...)
		if s.unrecorded[service] = list[n:]; n == len(list) {
			delete(s.unrecorded, service)
		}
	}
	return streamBatch{Groups: groupStreams(taken)}, taken
}

// Pending reports whether streams of a service for which needed returns true are not
// recorded.
func (s *Streams) Pending(needed func(service string) bool) bool {
	for service := range s.unrecorded {
		if needed(service) {
			return true
		}
	}
	return false
}

// Recorded notes that the record of a batch was acknowledged.
func (s *Streams) Recorded(now time.Time, taken []*stream) {
	for _, st := range taken {
		st.recorded = now
	}
	s.recorded = append(s.recorded, taken...)
	if len(s.news.recorded) < maxStreams {
		s.news.recorded = append(s.news.recorded, taken...)
	}
}

// Holding reports whether streams of other daemons of a service for which needed returns
// true may be due to be recorded.
func (s *Streams) Holding(needed func(service string) bool) bool {
	for service := range s.held {
		if needed(service) {
			return true
		}
	}
	return false
}

// NotRecorded notes that the record of a batch was not acknowledged.
func (s *Streams) NotRecorded(taken []*stream) {
	for _, st := range taken {
		s.unrecorded[st.key.service] = append(s.unrecorded[st.key.service], st)
	}
}

// current returns the streams that are still remembered.
func (s *Streams) current(now time.Time, list []*stream) []*stream {
	out := list[:0]
	for _, st := range list {
		if now.Sub(st.at) <= s.remembered() {
			out = append(out, st)
		}
	}
	return out
}

// recordAgain selects the streams whose record the store may drop while they still run.
func (s *Streams) recordAgain(now time.Time) {
	for len(s.recorded) > 0 && now.Sub(s.recorded[0].recorded) >= recordAgainAfter {
		st := s.recorded[0]
		s.recorded = s.recorded[1:]
		if now.Sub(st.at) <= s.LongestStream {
			s.unrecorded[st.key.service] = append(s.unrecorded[st.key.service], st)
		}
	}
}
