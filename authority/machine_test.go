package authority

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(1, 3000)
	os.Exit(m.Run())
}

// simulation runs several daemons against a store that delays calls and loses
// answers.
type simulation struct {
	now     time.Duration
	records []hosting.KeyedRecord
	// history is the number of restores of the store. Its records before a restore are
	// numbered anew.
	history int64
	down    bool
	events  []delivery
	daemons []*daemon
	// incarnations is the number of restarts.
	incarnations int64
	// gained lists the terms in the order in which daemons started to act.
	gained []int64
	// activity lists which daemon could act at each tick.
	activity []activityRecord
}

type activityRecord struct {
	at     time.Duration
	daemon int
	term   int64
}

type delivery struct {
	at  time.Duration
	run func()
}

type daemon struct {
	id      int
	machine *Machine
	// offset is the difference between the daemon's monotonic clock and the
	// simulated time.
	offset time.Duration
	frozen bool
	// disconnected daemons don't reach the store.
	disconnected bool
	deferred     []func()
}

const testDuration = 3 * time.Second

func newSimulation(n int) *simulation {
	sim := &simulation{}
	for i := range n {
		d := &daemon{id: i, offset: time.Duration(i) * time.Hour}
		d.machine = NewMachine(DefaultConfig(testDuration), fmt.Sprint("vm", i), fmt.Sprint("p", i), int64(i)<<32)
		sim.daemons = append(sim.daemons, d)
		sim.step(d, Rank{Rank: i})
	}
	return sim
}

func (sim *simulation) clock(d *daemon) time.Time {
	return time.Unix(0, 0).Add(sim.now + d.offset)
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.events = append(sim.events, delivery{at: sim.now + delay, run: run})
	slices.SortStableFunc(sim.events, func(a, b delivery) int { return int(a.at - b.at) })
}

// step steps a machine. The events of a frozen daemon are deferred.
func (sim *simulation) step(d *daemon, ev Event) {
	if d.frozen {
		d.deferred = append(d.deferred, func() { sim.step(d, ev) })
		return
	}
	for _, a := range d.machine.Step(sim.clock(d), ev) {
		switch a := a.(type) {
		case Gained:
			sim.gained = append(sim.gained, a.Term)
		case Append:
			sim.append(d, a)
		case ReadTopic:
			sim.read(d, a)
		}
	}
}

// nextCall holds the delays of the next store calls and whether the answers to
// their appends are lost.
var nextCall = struct {
	delay, answerDelay time.Duration
	lost               bool
}{}

// answer delivers the answer to a call, unless the calling process has ended.
func (sim *simulation) answer(d *daemon, machine *Machine, delay time.Duration, ev Event) {
	sim.after(delay, func() {
		if d.machine == machine {
			sim.step(d, ev)
		}
	})
}

func (sim *simulation) append(d *daemon, a Append) {
	machine := d.machine
	lost, answer := nextCall.lost, nextCall.answerDelay
	sim.after(nextCall.delay, func() {
		ev := Appended{Nonce: a.Nonce, Outcome: hosting.OutcomeRefused}
		switch {
		case d.disconnected:
			ev.Outcome = hosting.OutcomeUnknown
		case sim.down:
		case hosting.OffsetIn(a.At) != int64(len(sim.records)):
			ev.Conflict = true
		default:
			sim.records = append(sim.records, a.Record)
			ev.Outcome, ev.Offset = hosting.OutcomeDone, hosting.Position(sim.history, hosting.OffsetIn(a.At))
		}
		if lost {
			ev = Appended{Nonce: a.Nonce, Outcome: hosting.OutcomeUnknown}
		}
		sim.answer(d, machine, answer, ev)
	})
}

func (sim *simulation) read(d *daemon, a ReadTopic) {
	machine := d.machine
	sim.after(nextCall.delay, func() {
		if sim.down || d.disconnected {
			sim.answer(d, machine, nextCall.answerDelay, ReadFailed{})
			return
		}
		from := max(a.From, hosting.Position(sim.history, 0))
		ev := Read{End: hosting.Position(sim.history, int64(len(sim.records)))}
		for i, r := range sim.records {
			if r.Offset = hosting.Position(sim.history, int64(i)); r.Offset >= from {
				ev.Records = append(ev.Records, r)
			}
		}
		sim.answer(d, machine, nextCall.answerDelay, ev)
	})
}

// run advances the time in ticks of 50 ms and checks the invariants after each.
func (sim *simulation) run(t failer, span time.Duration) {
	const tick = 50 * time.Millisecond
	for end := sim.now + span; sim.now < end; {
		sim.now += tick
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			ev := sim.events[0]
			sim.events = sim.events[1:]
			ev.run()
		}
		for _, d := range sim.daemons {
			if !d.frozen {
				sim.step(d, Tick{})
			}
		}
		sim.check(t)
	}
}

type failer interface {
	Fatalf(format string, args ...any)
}

func (sim *simulation) check(t failer) {
	holder := -1
	for _, d := range sim.daemons {
		term, ok := d.machine.Authority(sim.clock(d))
		if !ok {
			continue
		}
		if holder >= 0 {
			t.Fatalf("at %v daemons %d and %d may both act", sim.now, holder, d.id)
		}
		holder = d.id
		sim.activity = append(sim.activity, activityRecord{at: sim.now, daemon: d.id, term: term})
	}
	for i := 1; i < len(sim.gained); i++ {
		if sim.gained[i] < sim.gained[i-1] {
			t.Fatalf("term %d follows %d", sim.gained[i], sim.gained[i-1])
		}
	}
	sim.checkNoAlternation(t)
}

// checkNoAlternation fails if a daemon acts, then another one, and then the
// first one again, all within the lease duration.
func (sim *simulation) checkNoAlternation(t failer) {
	last := len(sim.activity) - 1
	if last < 0 {
		return
	}
	other := false
	for i := last; i >= 0 && sim.activity[last].at-sim.activity[i].at < testDuration; i-- {
		if sim.activity[i].daemon != sim.activity[last].daemon {
			other = true
		} else if other {
			t.Fatalf("daemon %d acts at %v and %v with another in between", sim.activity[last].daemon, sim.activity[i].at, sim.activity[last].at)
		}
	}
}

// Guards against two daemons that act at the same time, terms that decrease, and
// holders that alternate, while the store is down, is slow or loses answers and
// while daemons freeze.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resetFaults()
		sim := newSimulation(3)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			nextCall.delay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay_ms")) * time.Millisecond
			nextCall.answerDelay = time.Duration(rapid.IntRange(0, 500).Draw(t, "answer_ms")) * time.Millisecond
			nextCall.lost = rapid.IntRange(0, 3).Draw(t, "lost") == 0
			sim.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			for _, d := range sim.daemons {
				freeze := rapid.IntRange(0, 4).Draw(t, "freeze") == 0
				sim.setFrozen(d, freeze)
				d.disconnected = rapid.IntRange(0, 5).Draw(t, "cut") == 0
				if rapid.IntRange(0, 20).Draw(t, "stop") == 0 {
					sim.step(d, Stop{})
				}
			}
			if rapid.Bool().Draw(t, "gossip") {
				sim.gossip(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
			}
			sim.run(t, time.Duration(rapid.IntRange(100, 4000).Draw(t, "span_ms"))*time.Millisecond)
		}
	})
}

// setFrozen freezes or resumes a daemon. A resumed daemon handles the events
// that were deferred while it was frozen.
func (sim *simulation) setFrozen(d *daemon, freeze bool) {
	d.frozen = freeze
	if freeze {
		return
	}
	held := d.deferred
	d.deferred = nil
	for _, run := range held {
		run()
	}
}

// gossip passes an observation and its age on, as daemons do in heartbeats.
func (sim *simulation) gossip(from, to int) {
	s, ok := sim.daemons[from].machine.Observation()
	if !ok || sim.daemons[from].frozen {
		return
	}
	age := sim.clock(sim.daemons[from]).Sub(s.At)
	s.At = sim.clock(sim.daemons[to]).Add(-age)
	sim.step(sim.daemons[to], ObservationReceived{Observation: s})
}

// restart replaces a daemon by a process that knows nothing.
func (sim *simulation) restart(d *daemon) {
	d.deferred, d.frozen = nil, false
	sim.incarnations++
	d.machine = NewMachine(DefaultConfig(testDuration), fmt.Sprint("vm", d.id), fmt.Sprint("p", d.id, "-", sim.incarnations), sim.incarnations<<40)
	sim.step(d, Rank{Rank: d.id})
}

// Guards against two daemons that act at the same time, and terms that decrease, when
// the store continues from an older copy: claims, renewals and releases are lost, or
// are in the topic again.
func TestAtMostOneHolderWhenTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resetFaults()
		sim := newSimulation(3)
		sim.run(t, time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			nextCall.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay_ms")) * time.Millisecond
			nextCall.answerDelay = time.Duration(rapid.IntRange(0, 500).Draw(t, "answer_ms")) * time.Millisecond
			nextCall.lost = rapid.IntRange(0, 5).Draw(t, "lost") == 0
			for _, d := range sim.daemons {
				sim.setFrozen(d, rapid.IntRange(0, 6).Draw(t, "freeze") == 0)
				d.disconnected = rapid.IntRange(0, 6).Draw(t, "cut") == 0
				switch rapid.IntRange(0, 12).Draw(t, "process") {
				case 0:
					sim.step(d, Stop{})
				case 1:
					sim.restart(d)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				lost := rapid.IntRange(0, 12).Draw(t, "lost_records")
				sim.records = sim.records[:max(1, len(sim.records)-lost)]
				sim.history++
			}
			if rapid.Bool().Draw(t, "gossip") {
				sim.gossip(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
			}
			sim.run(t, time.Duration(rapid.IntRange(100, 4000).Draw(t, "span_ms"))*time.Millisecond)
		}
	})
}

// Guards against a release or a claim in an older copy of the topic that counts
// although a later holder, whose records the store has lost, still acts.
func TestCopiedReleaseIsNotTrusted(t *testing.T) {
	resetFaults()
	sim := newSimulation(3)
	sim.run(t, 2*time.Second)
	sim.step(sim.daemons[0], Stop{})
	sim.run(t, 200*time.Millisecond)
	released := len(sim.records)
	sim.gossip(0, 1)
	sim.run(t, 500*time.Millisecond)
	if _, ok := sim.daemons[1].machine.Authority(sim.clock(sim.daemons[1])); !ok {
		t.Fatal("daemon 1 has no authority after the release")
	}
	sim.daemons[1].disconnected = true
	sim.records, sim.history = sim.records[:released], sim.history+1
	sim.restart(sim.daemons[0])
	sim.run(t, testDuration)
	sim.run(t, testDuration)
	if _, ok := sim.daemons[0].machine.Authority(sim.clock(sim.daemons[0])); !ok {
		t.Fatal("daemon 0 has no authority after the lease of daemon 1 has expired")
	}
}

// Guards against a restarted holder that acts again within the lease duration after
// another daemon has acted in between.
func TestRestartedHolderDoesNotAlternate(t *testing.T) {
	resetFaults()
	sim := newSimulation(2)
	sim.run(t, 2*time.Second)
	sim.step(sim.daemons[0], Stop{})
	sim.run(t, 200*time.Millisecond)
	sim.gossip(0, 1)
	sim.restart(sim.daemons[0])
	sim.daemons[0].disconnected = true
	sim.run(t, time.Second)
	if _, ok := sim.daemons[1].machine.Authority(sim.clock(sim.daemons[1])); !ok {
		t.Fatal("daemon 1 has no authority after the release")
	}
	sim.step(sim.daemons[1], Stop{})
	sim.run(t, 200*time.Millisecond)
	sim.daemons[0].disconnected = false
	sim.run(t, 2*testDuration)
	if _, ok := sim.daemons[0].machine.Authority(sim.clock(sim.daemons[0])); !ok {
		t.Fatal("daemon 0 did not regain the authority")
	}
}

func resetFaults() {
	nextCall.delay, nextCall.answerDelay, nextCall.lost = 5*time.Millisecond, 5*time.Millisecond, false
}

// Guards against a first holder that waits for the expiry of a lease that no
// daemon held, and against a successor that takes much longer than the lease duration.
func TestTakeoverWithinLeaseDuration(t *testing.T) {
	resetFaults()
	sim := newSimulation(3)
	sim.run(t, time.Second)
	if term, ok := sim.daemons[0].machine.Authority(sim.clock(sim.daemons[0])); !ok || term != 0 {
		t.Fatalf("daemon 0 has no authority after 1 s: term %d", term)
	}
	sim.run(t, 5*time.Second)
	sim.gossip(0, 1)
	sim.gossip(0, 2)
	sim.daemons[0].frozen = true
	sim.run(t, testDuration+time.Second)
	if _, ok := sim.daemons[1].machine.Authority(sim.clock(sim.daemons[1])); !ok {
		t.Fatalf("daemon 1 has no authority %v after daemon 0 froze", testDuration+time.Second)
	}
}

// Guards against a planned stop that does not release the authority, so that the
// successor must wait until the lease expires.
func TestReleaseHandsOver(t *testing.T) {
	resetFaults()
	sim := newSimulation(2)
	sim.run(t, 2*time.Second)
	sim.step(sim.daemons[0], Stop{})
	sim.run(t, 200*time.Millisecond)
	sim.gossip(0, 1)
	sim.run(t, time.Second)
	if _, ok := sim.daemons[1].machine.Authority(sim.clock(sim.daemons[1])); !ok {
		t.Fatalf("daemon 1 has no authority 1 s after the release")
	}
}

// Guards against a submitted record that is lost or appended twice when the
// store loses the answer to its append.
func TestSubmittedRecordSurvivesLostAnswer(t *testing.T) {
	resetFaults()
	sim := newSimulation(1)
	sim.run(t, time.Second)
	nextCall.lost = true
	sim.daemons[0].machine.Submit("usage", []byte(`{"n":1}`))
	sim.step(sim.daemons[0], Tick{})
	resetFaults()
	sim.run(t, time.Second)
	count := 0
	for _, r := range sim.records {
		if r.Key == "usage" {
			count++
		}
	}
	if count != 1 {
		t.Fatalf("the topic holds the record %d times, want once", count)
	}
}

// Guards against a holder that acts again within the lease duration after
// another daemon has acted in between. The second holder releases early, so the
// first one regains the authority at once.
func TestRegainedAuthorityWaitsForCooldown(t *testing.T) {
	resetFaults()
	sim := newSimulation(2)
	sim.run(t, 2*time.Second)
	sim.daemons[0].disconnected = true
	sim.gossip(0, 1)
	sim.run(t, testDuration+500*time.Millisecond)
	if _, ok := sim.daemons[1].machine.Authority(sim.clock(sim.daemons[1])); !ok {
		t.Fatalf("daemon 1 has no authority after daemon 0 was cut off")
	}
	sim.step(sim.daemons[1], Stop{})
	sim.daemons[0].disconnected = false
	sim.run(t, 100*time.Millisecond)
	sim.gossip(1, 0)
	sim.run(t, 2*testDuration)
	if _, ok := sim.daemons[0].machine.Authority(sim.clock(sim.daemons[0])); !ok {
		t.Fatalf("daemon 0 did not regain the authority")
	}
}

// Guards against log lines about a lost lease that don't name its term: the term
// has ended already when a conflict shows that another daemon has it.
func TestLostNamesTheTermThatEnded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMachine(DefaultConfig(testDuration), "vm", "p", 0)
	m.Step(now, Rank{})
	claim := m.Step(now, Read{End: 7})[0].(Append)
	actions := m.Step(now, Appended{Nonce: claim.Nonce, Offset: 7, Outcome: hosting.OutcomeDone})
	if len(actions) != 1 || actions[0] != (Gained{Term: 7}) {
		t.Fatalf("actions %v, want Gained", actions)
	}
	now = now.Add(testDuration / 2)
	renewal := m.Step(now, Tick{})[0].(Append)
	actions = m.Step(now, Appended{Nonce: renewal.Nonce, Outcome: hosting.OutcomeRefused, Conflict: true})
	if !slices.Contains(actions, Action(Lost{Term: 7})) {
		t.Fatalf("actions %v, want Lost of term 7", actions)
	}
}
