package lease_test

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
)

var steps int64

func TestMain(m *testing.M) {
	testseed.Fix(23, 200)
	code := m.Run()
	fmt.Printf("machine steps: %d\n", steps)
	os.Exit(code)
}

// leaseOnlyState is the state of a subject that has only a lease.
type leaseOnlyState struct{ lease lease.State }

func (s *leaseOnlyState) Apply(e record.Entry) bool { return s.lease.Apply(e) }
func (s *leaseOnlyState) Snapshot() []byte          { return record.EncodeBody(s.lease) }
func (s *leaseOnlyState) Reset(e record.Entry)      { s.lease.Reset(e) }
func (s *leaseOnlyState) Restore(data []byte) error {
	restored := lease.NewState()
	if err := record.DecodeBody(data, &restored); err != nil {
		return err
	}
	s.lease = restored
	return nil
}

type machine struct{ *lease.Machine }

func (m machine) Step(now time.Time, ev any) []any {
	var out []any
	for _, a := range m.Machine.Step(now, ev.(lease.Event)) {
		out = append(out, a)
	}
	return out
}

func (m machine) Rebind(chain *record.Chain, state record.State) {
	m.Machine.Rebind(chain, &state.(*leaseOnlyState).lease)
}

var hooks = sim.Hooks{
	Subject:  "orders/x",
	NewState: func() record.State { return &leaseOnlyState{lease.NewState()} },
	NewMachine: func(n *sim.Node) sim.Machine {
		cfg := lease.Default()
		cfg.CheckpointEvery = 20 * time.Second
		return machine{lease.NewMachine(cfg, n.Self, n.Chain, &n.State.(*leaseOnlyState).lease)}
	},
	WrapLeaseEvent: func(ev lease.Event) any { return ev },
}

// Guards against two processes that both believe that they hold the lease,
// against terms that decrease, and against readers that disagree on the lease
// (requirements P3 and P5). After all faults have ended, a process must get the lease.
func TestLeaseUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := sim.NewWorld(t, rapid.Uint64().Draw(t, "seed"), &steps, hooks, rapid.IntRange(2, 4).Draw(t, "nodes"))
		w.DrawFaultRates(t)
		for range rapid.IntRange(1, 40).Draw(t, "faults") {
			w.InjectFault(t)
		}
		w.RecoverWithin(time.Minute)
	})
}
