package fleet

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// Guards against a model load that interrupts requests. A load report with 0
// streams may predate the drain, and requests may have arrived since.
func TestChangeWaitsForAReportThatShowsTheDrain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New(DefaultConfig())
	engines := []Engine{
		{ID: "e1", Class: hosting.ClassOnDemand, State: hosting.ServerLive, Role: backend.RoleMixed, Model: "m", Version: "1"},
		{ID: "e2", Class: hosting.ClassOnDemand, State: hosting.ServerLive, Role: backend.RoleMixed, Model: "m", Version: "1"},
	}
	f.Step(now, ModelsChanged{Models: []Model{{Name: "m", Version: "2", Bytes: 1}}})
	f.Step(now, LimitsChanged{OnDemandMax: 2})
	var drain *WantCommand
	for range 600 {
		now = now.Add(time.Second)
		f.Step(now, EnginesListed{Engines: engines})
		drain = findCommand(f.Step(now, Tick{}), backend.CommandDrain)
		if drain != nil {
			break
		}
	}
	if drain == nil {
		t.Fatal("no drain command for the new version within 600 s")
	}
	if c := findCommand(f.Step(now, CommandDone{Target: drain.Target, Seq: drain.Seq, Done: true}), backend.CommandLoad); c != nil {
		t.Errorf("load command after the drain although the last report predates it")
	}
	f.Step(now, EnginesListed{Engines: engines})
	if c := findCommand(f.Step(now, Tick{}), backend.CommandLoad); c != nil {
		t.Errorf("load command after a report that doesn't show the drain")
	}
	for i := range engines {
		engines[i].Drained = engines[i].ID == drain.Target
	}
	f.Step(now, EnginesListed{Engines: engines})
	if c := findCommand(f.Step(now, Tick{}), backend.CommandLoad); c == nil {
		t.Error("no load command after the engine is drained")
	}
}

// Guards against lowering the server order while a drained engine still has a
// running request: its drain was accepted but has not completed.
func TestFewerServersAreOrderedOnlyAfterTheDrain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New(DefaultConfig())
	engines := []Engine{
		{ID: "e1", Class: hosting.ClassOnDemand, State: hosting.ServerLive, Role: backend.RoleMixed, Model: "m", Version: "1", Streams: 1},
		{ID: "e2", Class: hosting.ClassOnDemand, State: hosting.ServerLive, Role: backend.RoleMixed, Model: "m", Version: "1", Streams: 1},
	}
	f.Step(now, ModelsChanged{Models: []Model{{Name: "m", Version: "1", Bytes: 1}}})
	f.Step(now, LimitsChanged{OnDemandMax: 2})
	ordered, drained := 2, ""
	run := func(seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			f.Step(now, EnginesListed{Engines: engines})
			actions := f.Step(now, Tick{})
			for _, a := range actions {
				if w, ok := a.(WantServers); ok {
					ordered = w.OnDemand
				}
			}
			drain := findCommand(actions, backend.CommandDrain)
			if drain == nil {
				continue
			}
			drained = drain.Target
			f.Step(now, CommandDone{Target: drain.Target, Seq: drain.Seq, Done: true})
			for i := range engines {
				engines[i].Drained = engines[i].Drained || engines[i].ID == drain.Target
			}
		}
	}
	run(3600)
	if drained == "" || ordered != 2 {
		t.Fatalf("%d servers ordered while engine %q still has a request, want 2", ordered, drained)
	}
	for i := range engines {
		if engines[i].ID == drained {
			engines[i].Streams = 0
		}
	}
	run(60)
	if ordered != 1 {
		t.Errorf("%d servers ordered after the drain, want 1", ordered)
	}
}

func findCommand(actions []Action, command backend.Command) *WantCommand {
	for _, a := range actions {
		if c, ok := a.(WantCommand); ok && c.Command == command {
			return &c
		}
	}
	return nil
}
