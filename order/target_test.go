package order_test

import (
	"time"

	"github.com/mimosakeel/mimosakeel/internal/sim"
	"github.com/mimosakeel/mimosakeel/order"
)

// fakeTarget simulates an engine or the platform's order interface.
type fakeTarget struct {
	info    order.Target
	added   time.Time
	removed time.Time
	// deduplicates is set if the target ignores orders whose idempotency key it has
	// seen before.
	deduplicates bool
	seen         map[string]bool
	fence        int64
	// lastTerm and lastIntent are the term and the intent's offset of the last order
	// that took effect.
	lastTerm   int64
	lastIntent int64
}

// fleet holds the targets of one run and the intents that were logged.
type fleet struct {
	world   *sim.World
	targets []*fakeTarget
	logged  map[string]loggedIntent
	// idle stops new command requests.
	idle bool
}

type loggedIntent struct {
	order.NewIntent
	offset int64
}

func (f *fleet) add(id string, kind order.TargetKind, checks bool) {
	f.targets = append(f.targets, &fakeTarget{
		info:         order.Target{ID: id, Kind: kind, ChecksFence: checks},
		added:        f.world.Now,
		deduplicates: f.world.Chance(0.5),
		seen:         map[string]bool{},
		lastTerm:     -1, lastIntent: -1, fence: -1,
	})
}

func (f *fleet) find(id string) *fakeTarget {
	for _, t := range f.targets {
		if t.info.ID == id {
			return t
		}
	}
	return nil
}

// listed returns the target list as of an earlier time.
func (f *fleet) listed(asOf time.Time) []order.Target {
	var listed []order.Target
	for _, t := range f.targets {
		if t.added.After(asOf) || (!t.removed.IsZero() && !t.removed.After(asOf)) {
			continue
		}
		listed = append(listed, t.info)
	}
	return listed
}

// send simulates the daemon's sender, which checks the authority right before the
// write. The process may be paused between the check and the write.
func (f *fleet) send(n *sim.Node, a order.Send) {
	answer := func(delay time.Duration, result order.AnswerResult) {
		n.Do(delay, func() { n.Step(order.SendResult{Send: a.Send, Result: result}) })
	}
	if !n.Clock().Before(a.AuthorityEnd) {
		answer(0, order.AnswerNotSent)
		return
	}
	pauses := n.Pauses
	n.DoWithPause(f.world.Delay(time.Millisecond), func() {
		if n.Pauses == pauses {
			f.checkWriter(n, a)
		}
		f.write(n, a, answer)
	})
}

// checkWriter checks requirement P5: no other process may believe that it has
// authority while a process writes.
func (f *fleet) checkWriter(n *sim.Node, a order.Send) {
	for _, holder := range f.world.Holders() {
		if holder != n {
			f.world.Fail("%s writes to %s while %s has authority", n.Self.Incarnation, a.Target.ID, holder.Self.Incarnation)
		}
	}
}

func (f *fleet) write(n *sim.Node, a order.Send, answer func(time.Duration, order.AnswerResult)) {
	if !n.ToTargets {
		answer(sim.MaxWriteDelay, order.AnswerUnknown)
		return
	}
	wire := f.world.WriteDelay()
	f.world.At(wire, func() {
		result := f.receive(n.Self.Incarnation, a)
		if !n.FromTargets || f.world.Chance(0.1) {
			answer(sim.MaxWriteDelay, order.AnswerUnknown)
			return
		}
		answer(0, result)
	})
}

func (f *fleet) receive(sender string, a order.Send) order.AnswerResult {
	t := f.find(a.Target.ID)
	w := f.world
	if !t.removed.IsZero() {
		return order.AnswerUnknown
	}
	if t.info.ChecksFence && a.Fence < t.fence {
		w.Trace("%s refuses %s of %s, fence %d", t.info.ID, a.ID, sender, a.Fence)
		return order.AnswerStale
	}
	t.fence = max(t.fence, a.Fence)
	if a.Command.Name == order.CommandFence {
		return order.AnswerDone
	}
	if w.Chance(0.1) {
		return order.AnswerRefused
	}
	if t.deduplicates && t.seen[a.ID] {
		return order.AnswerDone
	}
	t.seen[a.ID] = true
	w.Trace("%s executes %s of %s, fence %d, checks %v", t.info.ID, a.ID, sender, a.Fence, t.info.ChecksFence)
	f.checkEffect(t, a)
	return order.AnswerDone
}

// checkEffect checks requirements P1 and P3: orders take effect in the order of
// terms and of intents, and each order is an intent in the log.
func (f *fleet) checkEffect(t *fakeTarget, a order.Send) {
	logged, ok := f.logged[a.ID]
	if !ok || logged.Target != a.Target.ID || logged.Command != a.Command {
		f.world.Fail("%s executes %s %+v, which is not logged: %+v", t.info.ID, a.ID, a.Command, logged)
	}
	if a.Fence < t.lastTerm {
		f.world.Fail("%s executes an order of term %d after one of term %d", t.info.ID, a.Fence, t.lastTerm)
	}
	if logged.offset < t.lastIntent {
		f.world.Fail("%s executes intent %s after one at offset %d", t.info.ID, a.ID, t.lastIntent)
	}
	t.lastTerm = a.Fence
	t.lastIntent = logged.offset
}
