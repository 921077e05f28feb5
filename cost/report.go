package cost

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// entryBytes is the size of a server in a report: its ID and six numbers.
	entryBytes = 8 + 6*4
	// MaxReportServers bounds the servers in one report.
	MaxReportServers = 8
	// minReportWeight is the weight up to which the observations in a report always
	// count: half of one.
	minReportWeight = 0.5
	// negligible is the amount below which a server is left out of reports.
	negligible = 1e-3
)

// Report moves half of what is known about up to MaxReportServers servers into a report
// to one other daemon, which passes it to Merge. More servers are reported in turn. It
// returns nil if there is nothing to report.
func (s *Servers) Report(now time.Time) []byte {
	if len(s.cursor) == 0 {
		for id, e := range s.entries {
			e.advance(now)
			if e.open+e.weight+e.faults > negligible {
				s.cursor = append(s.cursor, id)
			}
		}
	}
	n := min(len(s.cursor), MaxReportServers)
	if n == 0 {
		return nil
	}
	out := make([]byte, 0, n*entryBytes)
	for _, id := range s.cursor[:n] {
		e := s.entries[id]
		if e == nil {
			continue
		}
		e.advance(now)
		out = binary.LittleEndian.AppendUint64(out, uint64(id))
		for _, v := range []*float64{&e.presence, &e.open, &e.seconds, &e.weight, &e.logSum, &e.faults} {
			*v /= 2
			out = binary.LittleEndian.AppendUint32(out, math.Float32bits(float32(*v)))
		}
	}
	s.cursor = s.cursor[n:]
	return out
}

// Merge adds a report of another daemon and returns the number of its entries that are
// malformed, which it leaves out.
func (s *Servers) Merge(now time.Time, report []byte) (bad int) {
	if len(report)%entryBytes != 0 || len(report) > MaxReportServers*entryBytes {
		s.rejected++
		return 1
	}
	for ; len(report) > 0; report = report[entryBytes:] {
		var v [6]float64
		for i := range v {
			v[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(report[8+4*i:])))
		}
		m := mass{presence: v[0], open: v[1], seconds: v[2], weight: v[3], logSum: v[4], faults: v[5]}
		if !m.plausible() {
			s.rejected++
			bad++
			continue
		}
		// A daemon whose figures are wrong has no more weight than any other.
		m.limit(max(2*speedMemory/s.daemons, minReportWeight))
		if e := s.entry(now, ServerID(binary.LittleEndian.Uint64(report))); e != nil {
			e.presence += m.presence
			e.open += m.open
			e.seconds += m.seconds
			e.weight += m.weight
			e.logSum += m.logSum
			e.faults += m.faults
			s.limitMemory(e)
		}
	}
	return bad
}

// plausible reports whether a daemon may have sent the mass. Comparisons with a NaN are
// false.
func (m *mass) plausible() bool {
	within := func(v, bound float64) bool { return v >= 0 && v <= bound }
	return within(m.presence, maxPresence) && within(m.open, maxOpen) && within(m.seconds, maxOpen) &&
		within(m.weight, speedMemory*maxPresence) && within(m.faults, speedMemory*maxPresence) &&
		math.Abs(m.logSum) <= maxLog*m.weight+negligible
}

// maxPresence bounds the presence in a report. The average is 1.
const maxPresence = 8
