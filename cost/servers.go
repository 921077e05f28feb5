package cost

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadTime is the time constant of the outstanding work in reports: after one second,
	// 8% of it is left. With 1 s, all daemons together send a busy server too much now and
	// then, so that it refuses some.
	loadTime = 400 * time.Millisecond
	// speedTime is the time constant with which the learned speed of a server is
	// forgotten that gets no requests, so that a server that has recovered is tried.
	speedTime = 10 * time.Second
	// speedMemory is the number of observations of all daemons that make up the
	// learned speed of a server. More would delay the discovery of a slow server.
	speedMemory = 24
	// speedPrior is the number of observations as which the assumption counts that a
	// server has the usual speed.
	speedPrior = 2
	// maxSlowness bounds the learned slowness and its inverse.
	maxSlowness = 32
	// maxOpen bounds the requests and the seconds of work that one daemon is believed
	// to have on a server.
	maxOpen = 4096
	// maxServers bounds the servers that are remembered.
	maxServers = 4096
	// forgetAfter is the time without use after which a server is forgotten.
	forgetAfter = time.Minute
)

var maxLog = math.Log(maxSlowness)

// ServerID identifies one incarnation of a server, so that what was learned about it
// does not apply to the one that replaces it.
type ServerID uint64

// IDOf returns the ID of the server that was started at a time in Unix milliseconds.
func IDOf(server string, startedMs int64) ServerID {
	return ServerID(mix(xxhash.Sum64String(server), uint64(startedMs)))
}

// mass is this daemon's part of what all daemons know about a server. A report moves
// half of it to another daemon, so that every daemon soon holds an average (push-sum
// gossip). Nothing is counted twice, and what is lost with a message or a daemon is
// replaced as it fades.
type mass struct {
	// presence is 1 on average over the daemons; the others are relative to it.
	presence float64
	// open and seconds are the outstanding requests and their work, averaged over
	// loadTime.
	open, seconds float64
	// weight is the number of observations of the speed, logSum the sum of their
	// logarithms, and faults the number of failed attempts.
	weight, logSum, faults float64
}

type serverEntry struct {
	mass
	at, used time.Time
	// ownOpen and ownSeconds are the outstanding requests of this daemon, and
	// meanOpen and meanSeconds their averages over loadTime.
	ownOpen               int
	ownSeconds            float64
	meanOpen, meanSeconds float64
}

// prior returns this daemon's part of speedPrior.
func (s *Servers) prior(e *serverEntry) float64 { return speedPrior / s.daemons * min(e.presence, 1) }

// slowLog returns the logarithm of the slowness that all daemons have learned.
func (s *Servers) slowLog(e *serverEntry) float64 {
	return e.logSum / (e.weight + s.prior(e))
}

// Servers learns the speed and the outstanding work of servers and exchanges both with
// other daemons. It isn't safe for concurrent use.
type Servers struct {
	entries map[ServerID]*serverEntry
	// daemons is the number of daemons that share the servers.
	daemons  float64
	rejected uint64
	cursor   []ServerID
}

// NewServers returns an empty table of a single daemon.
func NewServers() *Servers { return &Servers{entries: map[ServerID]*serverEntry{}, daemons: 1} }

// SetDaemons sets the number of daemons that exchange reports, including this one.
func (s *Servers) SetDaemons(n int) { s.daemons = float64(max(n, 1)) }

// Rejected returns the number of observations and report entries that were rejected.
func (s *Servers) Rejected() uint64 { return s.rejected }

// Len returns the number of servers that are remembered.
func (s *Servers) Len() int { return len(s.entries) }

// entry returns the state of a server at a time, or nil if there are too many.
func (s *Servers) entry(now time.Time, id ServerID) *serverEntry {
	e := s.entries[id]
	if e == nil {
		if len(s.entries) >= maxServers {
			return nil
		}
		e = &serverEntry{mass: mass{presence: 1}, at: now}
		s.entries[id] = e
	}
	e.used = now
	e.advance(now)
	return e
}

// advance lets the entry fade until now.
func (e *serverEntry) advance(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	e.at = now
	keep := math.Exp(-elapsed.Seconds() / loadTime.Seconds())
	e.presence = e.presence*keep + 1 - keep
	e.open = e.open*keep + float64(e.ownOpen)*(1-keep)
	e.seconds = e.seconds*keep + e.ownSeconds*(1-keep)
	e.meanOpen = e.meanOpen*keep + float64(e.ownOpen)*(1-keep)
	e.meanSeconds = e.meanSeconds*keep + e.ownSeconds*(1-keep)
	e.fadeSpeed(math.Exp(-elapsed.Seconds() / speedTime.Seconds()))
}

// Begin records that this daemon has sent a server work, in seconds at the usual speed.
func (s *Servers) Begin(now time.Time, id ServerID, seconds float64) {
	if e := s.entry(now, id); e != nil {
		e.ownOpen++
		e.ownSeconds += seconds
	}
}

// End records that the work of a Begin has ended.
func (s *Servers) End(now time.Time, id ServerID, seconds float64) {
	e := s.entry(now, id)
	if e == nil || e.ownOpen == 0 {
		return
	}
	e.ownOpen--
	e.ownSeconds = max(e.ownSeconds-seconds, 0)
	if e.ownOpen == 0 {
		e.ownSeconds = 0
	}
}

// Observe records that work took a server a multiple of the usual time.
func (s *Servers) Observe(now time.Time, id ServerID, ratio float64) {
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) || ratio <= 0 {
		s.rejected++
		return
	}
	e := s.entry(now, id)
	if e == nil {
		return
	}
	logRatio := min(max(math.Log(ratio), -maxLog), maxLog)
	e.weight++
	e.logSum += logRatio
	s.limitMemory(e)
}

// Fault records a failed attempt on a server.
func (s *Servers) Fault(now time.Time, id ServerID) {
	if e := s.entry(now, id); e != nil {
		e.faults++
		s.limitMemory(e)
	}
}

// limitMemory reduces the weight of earlier observations once all daemons together
// have more than speedMemory of them.
func (s *Servers) limitMemory(e *serverEntry) {
	e.limit(s.share(e.presence))
}

// share returns the weight that a daemon's part of the memory may have. At least one
// observation fits, however many daemons there are.
func (s *Servers) share(presence float64) float64 {
	return max(speedMemory*max(presence, 1)/s.daemons, 1)
}

// limit reduces the weight of the observations to a bound.
func (m *mass) limit(bound float64) {
	if total := m.weight + m.faults; total > bound {
		m.fadeSpeed(bound / total)
	}
}

func (m *mass) fadeSpeed(keep float64) {
	m.weight *= keep
	m.logSum *= keep
	m.faults *= keep
}

// Load is what is known about a server.
type Load struct {
	// Slowness is the time that the server takes, relative to the usual time.
	Slowness float64
	// Open and Seconds are the outstanding requests of all daemons and their work at
	// the usual speed.
	Open, Seconds float64
	// FaultRate is the share of failed attempts.
	FaultRate float64
	// Observations is the number of observations of all daemons.
	Observations float64
}

// Load returns what is known about a server: the exact counts of this daemon, and the
// others' from reports.
func (s *Servers) Load(now time.Time, id ServerID) Load {
	e := s.entries[id]
	if e == nil {
		return Load{Slowness: 1}
	}
	e.advance(now)
	prior := s.prior(e)
	others := s.daemons / max(e.presence, minPresence)
	return Load{
		Slowness:     math.Exp(s.slowLog(e)),
		Open:         float64(e.ownOpen) + max(e.open*others-e.meanOpen, 0)*(1-1/s.daemons),
		Seconds:      e.ownSeconds + max(e.seconds*others-e.meanSeconds, 0)*(1-1/s.daemons),
		FaultRate:    e.faults / (e.weight + e.faults + prior),
		Observations: e.weight * s.daemons,
	}
}

// minPresence bounds the factor by which an average is scaled up.
const minPresence = 0.05

// Forget drops servers that were not used for a minute.
func (s *Servers) Forget(now time.Time) {
	for id, e := range s.entries {
		if e.ownOpen == 0 && now.Sub(e.used) > forgetAfter {
			delete(s.entries, id)
		}
	}
}
