package usage_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/internal/sim"
	"github.com/mimosakeel/mimosakeel/internal/testseed"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/usage"
)

const windowSeconds = 10

var steps int64

func TestMain(m *testing.M) {
	testseed.Fix(41, 20)
	code := m.Run()
	fmt.Printf("machine steps: %d\n", steps)
	os.Exit(code)
}

type machine struct{ *usage.Machine }

func (m machine) Step(now time.Time, ev any) []any {
	var out []any
	for _, a := range m.Machine.Step(now, ev.(usage.Event)) {
		if l, ok := a.(usage.LeaseAction); ok {
			out = append(out, l.Action)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (m machine) Rebind(chain *record.Chain, state record.State) {
	m.Machine.Rebind(chain, state.(*usage.State))
}

func newBilling(t *rapid.T) *billing {
	b := &billing{
		checks:  rapid.Bool().Draw(t, "platformChecks"),
		figures: map[int64]string{},
		added:   map[string]int64{},
		logged:  map[deltaID]delta{},
		closed:  map[int64]int64{},
	}
	b.world = sim.NewWorld(t, rapid.Uint64().Draw(t, "seed"), &steps, b.hooks(), 0)
	for range rapid.IntRange(2, 4).Draw(t, "nodes") {
		b.world.AddVM()
	}
	return b
}

func (b *billing) hooks() sim.Hooks {
	cfg := usage.Default()
	cfg.Lease.CheckpointEvery = 20 * time.Second
	cfg.ChecksFence = b.checks
	return sim.Hooks{
		Subject:  "usage/0",
		NewState: func() record.State { return usage.NewState(windowSeconds) },
		NewMachine: func(n *sim.Node) sim.Machine {
			collector := usage.DefaultCollector()
			collector.MaxSealed, collector.MaxRows, collector.DeltaRows = 5, 6, 4
			n.PackageState = &daemon{
				collector: usage.NewCollector(collector, n.Self.Incarnation, windowSeconds),
				copies:    usage.NewPeerCopies(8),
			}
			return machine{usage.NewMachine(cfg, n.Self, n.Chain, n.State.(*usage.State))}
		},
		WrapLeaseEvent: func(ev lease.Event) any { return usage.LeaseEvent{Event: ev} },
		PerformAction: func(n *sim.Node, a any) {
			if s, ok := a.(usage.Send); ok {
				b.send(n, s)
			}
		},
		Tick:          b.tick,
		RecordDecided: b.observeDecision,
		RecordStored:  b.recordDelta,
		Read: func(n *sim.Node, decisions []record.Decision) {
			if upTo := n.PackageState.(*daemon).collector.ObserveLogged(decisions); upTo > 0 {
				b.confirm(n.Self.Incarnation, upTo)
			}
		},
	}
}

// Guards against a window that is reported with two different sets of figures or
// by two processes that both believe that they hold the lease (requirement P6),
// against usage that is counted twice or lost, and against readers with different
// states. The faults are crashes, pauses, partitions, lost, late or duplicate
// appends and a trimmed log.
func TestUsageUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBilling(t)
		b.world.DrawFaultRates(t)
		for range rapid.IntRange(1, 40).Draw(t, "faults") {
			b.world.InjectFault(t)
		}
		b.world.RecoverWithin(time.Minute)
		b.idle = true
		b.world.Advance(time.Minute)
		b.checkSums()
	})
}

// Guards against a collector whose memory grows without bound while the log is
// unavailable, and against sums that change when it merges windows.
func TestCollectorIsBounded(t *testing.T) {
	cfg := usage.DefaultCollector()
	cfg.MaxRows = 10
	c := usage.NewCollector(cfg, "a", windowSeconds)
	now := time.Unix(1_800_000_000, 0)
	var added, seen int64
	deltas := map[int64]usage.Delta{}
	for i := range 20_000 {
		now = now.Add(100 * time.Millisecond)
		c.Add(now, fmt.Sprint("customer", i%7), "m", usage.Sum{Requests: 1})
		added++
		for _, a := range c.Step(now) {
			deltas[a.Delta.Seq] = a.Delta
		}
		if sealed, rows := c.Unlogged(); sealed > cfg.MaxSealed || rows > cfg.MaxRows {
			t.Fatalf("%d deltas and %d rows wait", sealed, rows)
		}
	}
	for range 2 * cfg.MaxSealed {
		now = now.Add(cfg.Every)
		for _, a := range c.Step(now) {
			deltas[a.Delta.Seq] = a.Delta
			if a.Append {
				body := record.EncodeBody(a.Delta)
				c.ObserveLogged([]record.Decision{{Entry: record.Entry{Envelope: record.Envelope{Kind: usage.KindDelta, Body: body}}}})
			}
		}
	}
	for _, d := range deltas {
		for _, r := range d.Rows {
			seen += r.Sum.Requests
		}
	}
	if seen != added {
		t.Fatalf("%d requests in deltas, %d were added", seen, added)
	}
}
