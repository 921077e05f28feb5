package fleet

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// changeKind is the kind of an engine's change.
type changeKind uint8

const (
	changeRole changeKind = iota
	changeModel
	// changeLoad loads a model onto an engine that has none.
	changeLoad
	changeAdapter
	changeWithdraw
	// changeUndrain only returns a drained engine to service.
	changeUndrain
)

// changePhase is the current step of a change.
type changePhase uint8

const (
	phaseDrain changePhase = iota
	phaseApply
	phaseUndrain
	// phaseDrained is the final phase of a withdrawal.
	phaseDrained
)

// change is the running change of one engine: drain it, wait until its streams
// have ended or moved, apply the change, and undrain it.
type change struct {
	kind  changeKind
	phase changePhase
	// previousModel is the engine's model at the start of the change.
	previousModel string
	role          backend.Role
	model         string
	version       string
	adapter       string
	// phaseStart is when the current phase began, commandSentAt when its command
	// was last sent.
	phaseStart, commandSentAt time.Time
	// commandSucceeded is set when the phase's command has been carried out.
	commandSucceeded bool
	// seq identifies the last command.
	seq uint64
}

// beginChange starts a change. Adapter loads and loads onto engines without a
// model need no drain.
func (f *Fleet) beginChange(now time.Time, e *engine, c *change) {
	c.previousModel = e.Model
	c.phase = phaseDrain
	switch {
	case c.kind == changeUndrain:
		c.phase = phaseUndrain
	case c.kind == changeAdapter, c.kind == changeLoad:
		c.phase = phaseApply
	}
	e.change = c
	f.enterPhase(now, e, c.phase)
}

func (f *Fleet) enterPhase(now time.Time, e *engine, next changePhase) {
	c := e.change
	c.phase, c.phaseStart, c.commandSucceeded = next, now, false
	if next != phaseDrained {
		f.sendCommand(now, e)
	}
}

// sendCommand outputs the command of the current phase.
func (f *Fleet) sendCommand(now time.Time, e *engine) {
	c := e.change
	c.commandSentAt = now
	want := WantCommand{Target: e.ID, Command: backend.CommandDrain}
	switch c.phase {
	case phaseUndrain:
		want.Command = backend.CommandUndrain
	case phaseApply:
		want.Model, want.Version, want.Adapter = c.model, c.version, c.adapter
		want.Command = backend.CommandLoad
		if c.kind == changeRole {
			want = WantCommand{Target: e.ID, Command: backend.CommandSetRole, Role: c.role}
		}
	}
	f.lastSeq++
	c.seq = f.lastSeq
	want.Seq = c.seq
	f.emit(want)
}

func (f *Fleet) commandDone(now time.Time, ev *CommandDone) {
	e := f.engines[ev.Target]
	if e == nil || e.change == nil || e.change.seq != ev.Seq {
		return
	}
	if ev.Done {
		e.change.commandSucceeded = true
		f.advanceChange(now, e)
		return
	}
	switch {
	case e.change.phase == phaseUndrain:
		// advanceChange sends the command again after CommandTimeout.
	case e.change.kind == changeAdapter, e.change.kind == changeLoad:
		e.change = nil
	default:
		f.enterPhase(now, e, phaseUndrain)
	}
}

// advanceChange moves a change to its next phase when the current one is
// complete, and handles timeouts.
func (f *Fleet) advanceChange(now time.Time, e *engine) {
	c := e.change
	if c == nil {
		if e.Drained && e.State == hosting.ServerLive {
			// An earlier lease holder drained the engine.
			f.beginChange(now, e, &change{kind: changeUndrain})
		}
		return
	}
	if e.State != hosting.ServerLive {
		e.change = nil
		return
	}
	switch {
	case c.phase == phaseDrain && c.commandSucceeded && e.Drained && e.Streams == 0:
		// Load reports lag. A stream count of 0 from before the drain doesn't cover
		// requests that arrived since, so only a report that shows the drain counts.
		if c.kind == changeWithdraw {
			f.enterPhase(now, e, phaseDrained)
			return
		}
		f.enterPhase(now, e, phaseApply)
	case c.phase == phaseDrain && c.kind != changeWithdraw && now.Sub(c.phaseStart) >= f.cfg.DrainTimeout:
		f.enterPhase(now, e, phaseUndrain)
	case c.phase == phaseApply && c.commandSucceeded:
		f.recordApplied(now, e)
	case c.phase == phaseUndrain && c.commandSucceeded:
		e.change = nil
		e.Drained = false
	case c.phase != phaseDrained && !c.commandSucceeded && now.Sub(c.commandSentAt) >= f.cfg.CommandTimeout:
		f.sendCommand(now, e)
	}
}

// recordApplied applies the result of a change to the local state until the next
// engine list reports it.
func (f *Fleet) recordApplied(now time.Time, e *engine) {
	c := e.change
	switch c.kind {
	case changeRole:
		e.Role = c.role
	case changeLoad:
		e.Model, e.Version = c.model, c.version
		if !e.Drained {
			e.change = nil
			return
		}
	case changeModel:
		e.Model, e.Version = c.model, c.version
	case changeAdapter:
		e.Adapters = append(e.Adapters, c.adapter)
		e.change = nil
		return
	}
	f.enterPhase(now, e, phaseUndrain)
}
