package usage_test

import (
	"fmt"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/sim"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/usage"
)

type deltaID struct {
	incarnation string
	seq         int64
}

// delta is the first record of a delta in the log.
type delta struct {
	offset   int64
	requests int64
}

// daemon holds the parts of a simulated process other than the machine.
type daemon struct {
	collector *usage.Collector
	copies    *usage.PeerCopies
	seq       int
}

// billing simulates the platform's usage interface and records what one run has
// counted, independently of the code under test.
type billing struct {
	world *sim.World
	// checks states that the interface refuses reports with a fencing token below
	// fence, the highest one received.
	checks bool
	fence  int64
	// lastTerm is the lease term of the last report that was accepted.
	lastTerm int64
	// figures are the figures accepted per window.
	figures map[int64]string
	// added are the requests passed to the collector per incarnation.
	added map[string]int64
	// logged are the distinct deltas in the log; closed are the requests per
	// accepted close record, by its offset.
	logged map[deltaID]delta
	closed map[int64]int64
	// genesis states that a genesis was accepted, so that usage may be missing.
	genesis bool
	// idle is set at the end of a run. From then on no usage is added and no live
	// process is wrongly considered dead.
	idle bool
}

// tick adds usage, reports the live incarnations and executes the collector's
// actions.
func (b *billing) tick(n *sim.Node) {
	d := n.PackageState.(*daemon)
	if !b.idle {
		customer := fmt.Sprint("c", b.world.Rand.IntN(4))
		d.collector.Add(n.Clock(), customer, "m", usage.Sum{Requests: 1, TokensOut: b.world.Rand.Int64N(9)})
		b.added[n.Self.Incarnation]++
	}
	var live []string
	for _, other := range b.world.Nodes {
		if other.Alive {
			live = append(live, other.Self.Incarnation)
		}
	}
	if !b.idle && b.world.Chance(0.1) {
		live = live[:len(live)-1] // A slow process is wrongly considered dead.
	}
	n.Step(usage.Live{Incarnations: append([]string{}, live...)})
	for _, a := range d.collector.Step(n.Clock()) {
		if a.Copy {
			b.copyToPeer(n, a.Delta)
		}
		if a.Append {
			b.appendDelta(n, a.Delta)
		}
	}
	b.adopt(n)
}

func (b *billing) appendDelta(n *sim.Node, delta usage.Delta) {
	d := n.PackageState.(*daemon)
	d.seq++
	id := fmt.Sprintf("%s/delta/%d", n.Self.Incarnation, d.seq)
	e := n.Chain.Envelope(usage.KindDelta, n.Self.Incarnation, id, record.EncodeBody(delta))
	n.Do(0, func() { n.Append(lease.Append{Envelope: e}) })
}

func (b *billing) copyToPeer(n *sim.Node, delta usage.Delta) {
	peer := b.world.Nodes[b.world.Rand.IntN(len(b.world.Nodes))]
	if peer != n && peer.Alive && !b.world.Chance(0.2) {
		peer.Do(b.world.Delay(time.Second), func() { peer.PackageState.(*daemon).copies.Store(delta) })
	}
}

func (b *billing) confirm(incarnation string, upTo int64) {
	for _, peer := range b.world.Nodes {
		if peer.Alive && !b.world.Chance(0.2) {
			peer.Do(b.world.Delay(time.Second), func() { peer.PackageState.(*daemon).copies.Confirm(incarnation, upTo) })
		}
	}
}

// adopt appends the copies of processes that have ended, and at random also of
// processes that are wrongly considered dead.
func (b *billing) adopt(n *sim.Node) {
	for _, other := range b.world.Nodes {
		if other.Alive && !b.world.Chance(0.01) {
			continue
		}
		for _, delta := range n.PackageState.(*daemon).copies.Adopt(other.Self.Incarnation) {
			b.appendDelta(n, delta)
		}
	}
}

// send delivers a report to the platform, as the daemon does.
func (b *billing) send(n *sim.Node, a usage.Send) {
	answer := func(delay time.Duration, done bool) {
		n.Do(delay, func() { n.Step(usage.SendResult{Send: a.Send, Done: done}) })
	}
	if !n.Clock().Before(a.AuthorityEnd) {
		answer(0, false)
		return
	}
	pauses := n.Pauses
	n.DoWithPause(b.world.Delay(time.Millisecond), func() {
		for _, holder := range b.world.Holders() {
			if holder != n && n.Pauses == pauses {
				b.world.Fail("%s reports while %s holds the authority", n.Self.Incarnation, holder.Self.Incarnation)
			}
		}
		if !n.ToTargets {
			answer(sim.MaxWriteDelay, false)
			return
		}
		b.world.At(b.world.WriteDelay(), func() {
			done := b.receive(n.Self.Incarnation, a)
			lost := !n.FromTargets || b.world.Chance(0.1)
			answer(sim.MaxWriteDelay, done && !lost)
		})
	})
}

// receive is the platform's handling of a report. It checks requirement P6: one set
// of figures per window, and no report of an older term after one of a newer term.
func (b *billing) receive(sender string, a usage.Send) bool {
	figures := fmt.Sprintf("%+v", a.Report.Figures)
	if b.checks && a.Report.Fence < b.fence {
		return false
	}
	b.fence = max(b.fence, a.Report.Fence)
	b.world.Trace("platform accepts window %d from %s, term %d: %s", a.Report.Window, sender, a.Report.Fence, figures)
	if known, ok := b.figures[a.Report.Window]; ok && known != figures {
		b.world.Fail("window %d is reported as %s and as %s", a.Report.Window, known, figures)
	}
	b.figures[a.Report.Window] = figures
	if a.Report.Fence < b.lastTerm {
		b.world.Fail("a report of term %d is accepted after one of term %d", a.Report.Fence, b.lastTerm)
	}
	b.lastTerm = a.Report.Fence
	return true
}

// observeDecision records the requests of accepted close records and whether a
// genesis was accepted.
func (b *billing) observeDecision(_ *sim.Node, d record.Decision) {
	switch {
	case d.Entry.Kind == record.KindGenesis && d.Verdict == record.Accepted:
		b.genesis = true
	case d.Entry.Kind == usage.KindClose && d.Verdict == record.Accepted:
		var body usage.CloseBody
		b.decode(d.Entry, &body)
		b.closed[d.Entry.Offset] = 0
		for _, f := range body.Figures {
			b.closed[d.Entry.Offset] += f.Requests
		}
	}
}

// recordDelta is called for each record that enters the log. It records the first
// record of each delta.
func (b *billing) recordDelta(e record.Entry) {
	if e.Kind != usage.KindDelta {
		return
	}
	var body usage.Delta
	b.decode(e, &body)
	id := deltaID{body.Incarnation, body.Seq}
	if first, ok := b.logged[id]; ok && first.offset <= e.Offset {
		return
	}
	d := delta{offset: e.Offset}
	for _, r := range body.Rows {
		d.requests += r.Sum.Requests
	}
	b.logged[id] = d
}

func (b *billing) decode(e record.Entry, body any) {
	if err := record.DecodeBody(e.Body, body); err != nil {
		b.world.Fail("record %d does not decode: %v", e.Offset, err)
	}
}

// checkSums compares the usage in the log with the sum of closed, pending and
// dropped usage, and the usage of each live process with its deltas.
func (b *billing) checkSums() {
	holders := b.world.Holders()
	if len(holders) != 1 {
		b.world.Fail("%d processes hold the lease after the faults have ended", len(holders))
	}
	state := holders[0].State.(*usage.State)
	var logged, closed int64
	byIncarnation := map[string]int64{}
	for id, d := range b.logged {
		byIncarnation[id.incarnation] += d.requests
		if d.offset <= holders[0].Chain.Seen() {
			logged += d.requests
		}
	}
	for _, requests := range b.closed {
		closed += requests
	}
	counted := closed + state.Pending().Requests + state.Dropped
	// A genesis loses usage that was not reported. No usage may be counted twice.
	if counted > logged || (!b.genesis && counted != logged) {
		b.world.Fail("deltas in the log have %d requests, but closed, pending and dropped usage has %d", logged, counted)
	}
	for _, n := range b.world.Nodes {
		id := n.Self.Incarnation
		if n.Alive && byIncarnation[id] != b.added[id] {
			b.world.Fail("%s has counted %d requests, its deltas have %d", id, b.added[id], byIncarnation[id])
		}
	}
	old := b.world.Now.Unix() - 6*windowSeconds
	if state.Next < old && len(state.Reports) < usage.Default().MaxUnconfirmed {
		b.world.Fail("window %d is not closed at %d", state.Next, b.world.Now.Unix())
	}
}
