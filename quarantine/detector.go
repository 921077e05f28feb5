// Package quarantine finds the parts of prompts and the whole requests that crash
// backend servers. It makes the decisions only: others collect the reports, spread the results and
// withhold the requests.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashMemory is the time for which a crash counts.
	CrashMemory = 10 * time.Minute
	// sameMoment is the time within which crashes count as one: servers that end at
	// the same moment were evicted or lost power together.
	sameMoment = 50 * time.Millisecond
	// servedFactor multiplies the number of crashes that are needed against a part
	// that was served shortly before them.
	servedFactor = 3
	// flowingWeight is the weight of a crash if the answers to all requests with a part
	// were under way.
	flowingWeight = 0.25
	// maxCrashes and maxSuspects bound the memory of the detector.
	maxCrashes  = 512
	maxSuspects = 512
)

// Suspect is a part of a prompt, or a whole request, that a server had when it ended.
type Suspect struct {
	// Part is the key of the part or request.
	Part string `cbor:"1,keyasint"`
	// Depth is the index of the part in its prompt.
	Depth int `cbor:"2,keyasint"`
	// Flowing is set if the answer to the request was well under way. It is then less
	// likely that the request ended the server.
	Flowing bool `cbor:"3,keyasint,omitempty"`
	// Request is set for a whole request.
	Request bool `cbor:"4,keyasint,omitempty"`
}

// Crash is the end of a server that had requests.
type Crash struct {
	// Server identifies one run of the server's process.
	Server   string
	Suspects []Suspect
}

// Detector decides which parts crash servers. It looks for the fewest parts that
// explain all crashes, because the requests that ran beside the one that crashed a
// server are suspects too. It isn't safe for concurrent use.
type Detector struct {
	// crashes is the number of crashes needed against a part, and requestCrashes the one
	// against a whole request; 0 finds none.
	crashes, requestCrashes int
	log                     []crash
	// served holds when a suspect was last served.
	served map[string]time.Time
	// quarantinedBefore holds the parts that were quarantined before. A single crash
	// suffices for them.
	quarantinedBefore map[string]bool
}

type crash struct {
	server string
	at     time.Time
	parts  map[string]suspicion
	// explained is set once a quarantined part explains the crash, and byRequest once a
	// whole request does, whose parts remain suspect.
	explained, byRequest bool
}

// suspicion sums up the requests with a part that a server had when it ended. flowing
// is set if the answers to all of them were under way, request for a whole request.
type suspicion struct {
	depth   int
	flowing bool
	request bool
}

// weight returns how much a crash counts against the part.
func (s suspicion) weight() float64 {
	if s.flowing {
		return flowingWeight
	}
	return 1
}

// NewDetector returns a detector that needs a number of crashes to accuse a part, and
// another one to accuse a whole request.
func NewDetector(crashes, requestCrashes int) *Detector {
	return &Detector{crashes: crashes, requestCrashes: requestCrashes, served: map[string]time.Time{}, quarantinedBefore: map[string]bool{}}
}

// Crashed records a crash. Reports of several daemons on the same server add up.
func (d *Detector) Crashed(when time.Time, c Crash) {
	at := slices.IndexFunc(d.log, func(known crash) bool { return known.server == c.Server })
	if at < 0 {
		if len(d.log) == maxCrashes {
			d.log = slices.Delete(d.log, 0, 1)
		}
		d.log = append(d.log, crash{server: c.Server, at: when, parts: map[string]suspicion{}})
		slices.SortStableFunc(d.log, func(a, b crash) int { return a.at.Compare(b.at) })
		at = slices.IndexFunc(d.log, func(known crash) bool { return known.server == c.Server })
	}
	parts := d.log[at].parts
	for _, s := range c.Suspects {
		known, ok := parts[s.Part]
		switch {
		case ok:
			parts[s.Part] = suspicion{max(known.depth, s.Depth), known.flowing && s.Flowing, s.Request}
		case len(parts) < maxSuspects:
			parts[s.Part] = suspicion{s.Depth, s.Flowing, s.Request}
		}
	}
}

// expire forgets crashes that no longer count, and when their suspects were served.
func (d *Detector) expire(now time.Time) {
	d.log = slices.DeleteFunc(d.log, func(c crash) bool { return now.Sub(c.at) > CrashMemory })
	maps.DeleteFunc(d.served, func(part string, _ time.Time) bool {
		return !slices.ContainsFunc(d.log, func(c crash) bool { _, ok := c.parts[part]; return ok })
	})
}

// Served records that a server answered a request with a part completely. A part
// that no crash names is ignored.
func (d *Detector) Served(part string, at time.Time) {
	suspected := slices.ContainsFunc(d.log, func(c crash) bool { _, ok := c.parts[part]; return ok })
	if suspected && at.After(d.served[part]) {
		d.served[part] = at
	}
}

// Quarantined records that a part is or was quarantined.
func (d *Detector) Quarantined(part string) { d.quarantinedBefore[part] = true }

// Explained records that a part is the cause of the crashes that name it. They then
// accuse no other part. Crashes that a whole request explains accuse no other request.
func (d *Detector) Explained(part string) {
	for i := range d.log {
		if s, ok := d.log[i].parts[part]; ok {
			d.log[i].explained = d.log[i].explained || !s.request
			d.log[i].byRequest = d.log[i].byRequest || s.request
		}
	}
}

// Forget drops the memory of an earlier quarantine.
func (d *Detector) Forget(part string) { delete(d.quarantinedBefore, part) }

// Suspected returns the parts that enough crashes accuse. Most of them may have
// been beside the cause: Culprit decides once it is known when they were last served.
func (d *Detector) Suspected(now time.Time) []string {
	d.expire(now)
	var out []string
	for part, e := range d.evidence() {
		if d.enough(part, e) {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return out
}

// Culprit returns the next part to quarantine, or false if there is none. It is
// the part that explains most crashes, among equals the deepest, which the
// fewest sound requests share.
func (d *Detector) Culprit(now time.Time) (string, bool) {
	d.expire(now)
	all := d.evidence()
	maps.DeleteFunc(all, func(part string, e evidence) bool { return !d.enough(part, e) })
	if len(all) == 0 {
		return "", false
	}
	return slices.MaxFunc(slices.Sorted(maps.Keys(all)), func(a, b string) int {
		return cmp.Or(compareBool(d.quarantinedBefore[a], d.quarantinedBefore[b]), cmp.Compare(all[a].count, all[b].count), cmp.Compare(all[a].depth, all[b].depth))
	}), true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// evidence sums up the crashes after a part was last served.
type evidence struct {
	// count is the number of crashes; those with flowing answers count as a part of one.
	count float64
	last  time.Time
	depth int
	// request is set for a whole request.
	request bool
}

func (d *Detector) evidence() map[string]evidence {
	out := map[string]evidence{}
	for _, c := range d.log {
		if c.explained {
			continue
		}
		for part, s := range c.parts {
			if s.request && c.byRequest {
				continue
			}
			e := out[part]
			e.depth, e.request = max(e.depth, s.depth), s.request
			// A failed attempt at a whole request may end the next server at once.
			if c.at.After(d.served[part]) && (e.count == 0 || s.request || c.at.Sub(e.last) >= sameMoment) {
				e.count += s.weight()
				e.last = c.at
			}
			out[part] = e
		}
	}
	return out
}

// enough reports whether the evidence against a part suffices.
func (d *Detector) enough(part string, e evidence) bool {
	need := d.crashes
	if e.request {
		need = d.requestCrashes
	}
	switch {
	case need == 0:
		return false
	case d.quarantinedBefore[part]:
		need = 1
	case !d.served[part].IsZero():
		need *= servedFactor
	}
	return e.count >= float64(need)
}
