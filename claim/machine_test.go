package claim

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(7, 300)
	setFlagDefault("rapid.steps", "200")
	m.Run()
}

// setFlagDefault sets a flag unless the command line sets it. The default of 30
// steps is too few for a claim to pass through all its states.
func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// check guards against a request that ran although it was not granted, and against
// daemons that read the same records and disagree.
func (s *simulation) check(*rapid.T) {
	for name, state := range s.decided {
		if state != Granted && s.ran[name] {
			s.t.Fatalf("%s was answered %v but ran", name, state)
		}
	}
	seen := map[[2]int64]string{}
	outcomes := map[string]string{}
	for _, d := range s.daemons {
		f := d.machine.fold
		state := foldText(f, outcomes, s.t)
		at := [2]int64{f.first, f.next}
		if other, ok := seen[at]; ok && other != state {
			s.t.Fatalf("daemons disagree at %v:\n%s\n%s", at, other, state)
		}
		seen[at] = state
	}
}

// foldText lists the claims of a fold and checks that their outcomes agree with
// those of other daemons. The text contains neither the order of the claims nor
// their outcomes: a reader that started after a claim was trimmed puts it at the
// position of its outcome, and a reader that sees only a late duplicate of a claim
// does not know its outcome.
func foldText(f *fold, outcomes map[string]string, t *rapid.T) string {
	var lines []string
	for key, entries := range f.keys {
		for _, e := range entries {
			lines = append(lines, fmt.Sprintf("%d %s@%d", key.Hash[0], e.ID, e.lastOffset))
			if e.outcome == nil || e.outcome.Unknown {
				continue
			}
			text := fmt.Sprint(*e.outcome)
			if other, ok := outcomes[e.ID]; ok && other != text {
				t.Fatalf("daemons disagree about the outcome of %s: %s, %s", e.ID, other, text)
			}
			outcomes[e.ID] = text
		}
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}

// advance completes the pending append of every daemon that reaches the log, and
// then lets these daemons read all records.
func (s *simulation) advance(*rapid.T) {
	for _, d := range s.daemons {
		if d.up && d.pending != nil {
			id := d.pending.ID
			s.write(d.pending.Data)
			d.pending = nil
			s.step(d, AppendEnded{ID: id, Result: AppendDone})
		}
	}
	s.now = s.now.Add(200 * time.Millisecond)
	for _, d := range s.daemons {
		if d.up {
			s.readUpTo(d, len(s.log.records))
			s.step(d, Trimmed{First: s.log.first})
			s.step(d, Tick{})
		}
	}
}

// checkKeysAreFree guards against keys that stay blocked by requests that will
// never run. Unless the holder was killed or its outcome is unknown, a new request
// must be granted, replayed or reported as a mismatch.
func (s *simulation) checkKeysAreFree() {
	d := s.daemons[0]
	for key := range byte(3) {
		s.ticket++
		request := Request{Key: Key{Customer: "c"}}
		request.Hash[0] = key
		name := ticketName(d, s.ticket)
		s.asked[name] = request
		s.step(d, Asked{Ticket: s.ticket, Request: request, Deadline: s.now.Add(20 * time.Second)})
		for range 10 {
			s.advance(nil)
		}
		holder := d.machine.fold.holder(request.Key)
		state, decided := s.decided[name]
		lost := holder != nil && (s.dead[holder.Owner] || holder.outcome != nil && holder.outcome.Unknown)
		if (!decided || state > Mismatch) && !lost {
			s.t.Fatalf("key %d is blocked: %v, held by %+v", key, state, holder)
		}
	}
}

// recoverAndCheckDecided guards against requests that are never decided: after all
// faults have ended, every waiting request of a live daemon must get a decision.
func (s *simulation) recoverAndCheckDecided() {
	for _, d := range s.daemons {
		d.up = true
		s.step(d, LogState{Up: true})
	}
	for range 100 {
		s.advance(nil)
	}
	for _, d := range s.daemons {
		for len(d.running) > 0 {
			s.finishAt(d)
		}
	}
	for range 100 {
		s.advance(nil)
	}
	for _, d := range s.daemons {
		if n := len(d.machine.waiters) + len(d.machine.byClaim) + len(d.machine.byKey) + len(d.machine.outcomes); n > 0 {
			s.t.Fatalf("%s has %d undecided requests or unwritten outcomes", d.name, n)
		}
	}
}

// Guards against a second run of a claimed request, a false "not run" and a
// request without a decision, under kills, pauses, partitions, lost responses, and
// delayed and duplicated appends.
func TestRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":            s.check,
			"ask":         s.ask,
			"finish":      s.finish,
			"endAppend":   s.endAppend,
			"deliverLate": s.deliverLate,
			"read":        s.read,
			"readMore":    s.read,
			"partition":   s.partition,
			"kill":        s.kill,
			"suspect":     s.suspect,
			"tick":        s.tick,
			"advance":     s.advance,
			"advanceMore": s.advance,
			"trim":        s.trim,
		})
		s.recoverAndCheckDecided()
		s.checkKeysAreFree()
		s.check(t)
	})
}
