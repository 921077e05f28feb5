package versionpin

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// holders is the number of other daemons that hold copies of a daemon's streams.
	holders = 2
	// copyInterval is the minimum time between two messages to a holder.
	copyInterval = 20 * time.Millisecond
	// recordCopiesAfter is the time after which a holder records streams in the store that
	// their daemon has not recorded. A daemon in step records its streams within 0.2 s.
	recordCopiesAfter = 500 * time.Millisecond
	// copiesInterval is the time between two checks for such streams.
	copiesInterval = 100 * time.Millisecond
)

var (
	copiesHeld     = metrics.NewCounter("mimosakeel_versionpin_copies_held_total")
	copiesRecorded = metrics.NewCounter("mimosakeel_versionpin_copies_recorded_total")
)

// Copies tells another daemon of streams, so that it can record them in the store if
// their daemon can't: because it is frozen, cut off or dead when a second version appears.
type Copies struct {
	// Begun holds streams that have begun and are not recorded.
	Begun []streamGroup `cbor:"1,keyasint,omitempty"`
	// Recorded holds streams that were begun and are recorded now.
	Recorded []streamGroup `cbor:"2,keyasint,omitempty"`
}

// groupStreams groups streams by service and version.
func groupStreams(list []*stream) []streamGroup {
	var out []streamGroup
	at := map[Version]int{}
	for _, st := range list {
		v := Version{st.key.service, st.version}
		i, ok := at[v]
		if !ok {
			i = len(out)
			at[v] = i
			out = append(out, streamGroup{Service: v.Service, Version: v.Name})
		}
		out[i].Requests = append(out[i].Requests, st.key.request)
	}
	return out
}

// Hold adds a stream of another daemon that is not recorded.
func (s *Streams) Hold(now time.Time, service, request, version string) {
	if added := s.add(now, streamKey{service, request}, version); added != nil {
		s.held[service] = append(s.held[service], added)
	}
}

// Release notes that a stream of another daemon is recorded.
func (s *Streams) Release(now time.Time, service, request string) {
	if st := s.byKey[streamKey{service, request}]; st != nil {
		st.recorded = now
	}
}

// takeHeld moves the streams of other daemons that are due into the list of those that
// are to be recorded.
func (s *Streams) takeHeld(now time.Time, service string) {
	keep := s.held[service][:0]
	for _, st := range s.held[service] {
		switch {
		case !st.recorded.IsZero(), now.Sub(st.at) > s.remembered():
		case now.Sub(st.at) >= recordCopiesAfter:
			copiesRecorded.Inc()
			s.unrecorded[service] = append(s.unrecorded[service], st)
		default:
			keep = append(keep, st)
		}
	}
	if s.held[service] = keep; len(keep) == 0 {
		delete(s.held, service)
	}
}

// dropHeld drops what need not be held any longer.
func (s *Streams) dropHeld(now time.Time, service string) {
	s.held[service] = slices.DeleteFunc(s.held[service], func(st *stream) bool {
		return !st.recorded.IsZero() || now.Sub(st.at) > s.remembered()
	})
}

// Receive applies what another daemon tells of its streams.
func (p *Pins) Receive(m *Copies) {
	p.mu.Lock()
	now := time.Now()
	for _, group := range m.Begun {
		for _, request := range group.Requests {
			p.streams.Hold(now, group.Service, request, group.Version)
			copiesHeld.Inc()
		}
	}
	for _, group := range m.Recorded {
		for _, request := range group.Requests {
			p.streams.Release(now, group.Service, request)
		}
	}
	p.mu.Unlock()
}

// copyStreams tells other daemons of the streams of this one until the context ends. A
// daemon that becomes a holder is told of all that are not recorded.
func (p *Pins) copyStreams(ctx context.Context) {
	told := map[string]bool{}
	for ctx.Err() == nil {
		select {
		case <-p.copyWake:
		case <-time.After(tickInterval): // The holders may have changed.
		case <-ctx.Done():
			return
		}
		now := map[string]bool{}
		p.mu.Lock()
		news := p.streams.takeNews()
		var all []*stream
		for _, list := range p.streams.unrecorded {
			all = append(all, list...)
		}
		p.mu.Unlock()
		for _, holder := range p.Holders(holders) {
			now[holder.Process] = true
			if told[holder.Process] {
				p.tell(holder.VM, news)
				continue
			}
			p.tell(holder.VM, streamNews{begun: all})
		}
		told = now
		sleep(ctx, copyInterval)
	}
}

// tell sends streams to a holder, in messages of limited size.
func (p *Pins) tell(vm string, n streamNews) {
	for part := range slices.Chunk(n.begun, maxBatch) {
		p.Tell(vm, &Copies{Begun: groupStreams(part)})
	}
	for part := range slices.Chunk(n.recorded, maxBatch) {
		p.Tell(vm, &Copies{Recorded: groupStreams(part)})
	}
}

// streamNews holds the streams of this daemon that have begun or were recorded since the
// holders were last told.
type streamNews struct{ begun, recorded []*stream }

// takeNews returns what holders are to be told.
func (s *Streams) takeNews() streamNews {
	out := s.news
	s.news = streamNews{}
	return out
}

// Holder is a process of another daemon that can hold copies.
type Holder struct {
	VM string
	// Process identifies the process, which knows nothing of what earlier ones were told.
	Process string
}
