package sim

import (
	"time"

	"pgregory.net/rapid"
)

// DrawFaultRates draws the random fault rates of a run.
func (w *World) DrawFaultRates(t *rapid.T) {
	rate := rapid.SampledFrom([]float64{0, 0.05, 0.3})
	w.Log.LoseAnswers = rate.Draw(t, "loseAnswers")
	w.Log.DelayRequests = rate.Draw(t, "late")
	w.Log.DuplicateAppends = rate.Draw(t, "double")
	w.Log.LoseRequests = rate.Draw(t, "loseRequests")
	w.PauseRate = rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(t, "pauses")
	w.Log.SlowReads = rate.Draw(t, "slowReads")
}

// InjectFault draws a fault or a repair, applies it and advances the virtual time
// by up to 10 s.
func (w *World) InjectFault(t *rapid.T) {
	n := w.Nodes[rapid.IntRange(0, len(w.Nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 16).Draw(t, "fault") {
	case 0:
		n.Kill()
	case 1, 2:
		if !n.Alive && !n.retired {
			n.Boot()
		}
	case 3:
		n.Retire()
	case 4, 5:
		n.Pause()
	case 6:
		n.Resume()
	case 7:
		n.ToLog = false
	case 8:
		n.FromLog = false
	case 9:
		n.ToTargets = rapid.Bool().Draw(t, "toTargets")
		n.FromTargets = rapid.Bool().Draw(t, "fromTargets")
	case 10:
		w.Log.Up = false
	case 11:
		w.trim(t)
	case 12:
		if len(w.Nodes) < 8 {
			w.AddVM()
		}
	case 13:
		if n.Alive && rapid.Bool().Draw(t, "stop") {
			n.PlannedStop()
		}
	case 14:
		if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
			w.loseHistory()
		}
	default:
		w.Heal()
	}
	w.Advance(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
}

// loseHistory trims the whole log and reboots all running processes that are not
// paused, so that the chain can only continue with a genesis record.
func (w *World) loseHistory() {
	w.Trace("history is lost")
	w.Log.Trim(w.Log.Len())
	for _, n := range w.Nodes {
		if n.Alive && !n.paused {
			n.Kill()
			n.Boot()
		}
	}
}

// trim removes all but the latest 0 to 50 records of the log.
func (w *World) trim(t *rapid.T) {
	// If only a few records are kept, readers miss trimmed records and must
	// restart. Such values are drawn rarely, because each such run ends in a
	// genesis record.
	keep := rapid.SampledFrom([]int64{0, 3, 20, 20, 50, 50, 50}).Draw(t, "keep")
	w.Log.Trim(w.Log.Len() - keep)
}

// Heal ends the outage of the log, all partitions and all pauses.
func (w *World) Heal() {
	w.Trace("heal")
	w.Log.Up = true
	for _, n := range w.Nodes {
		n.ToLog, n.FromLog, n.ToTargets, n.FromTargets = true, true, true, true
		n.Resume()
	}
}

// RecoverWithin ends all faults and starts a process on a new VM. It returns when
// exactly one process holds the authority, and fails the run if that does not
// happen within span.
func (w *World) RecoverWithin(span time.Duration) {
	w.Heal()
	w.Log = Log{world: w, Up: true, records: w.Log.records, first: w.Log.first}
	w.PauseRate = 0
	w.AddVM()
	for end := w.Now.Add(span); w.Now.Before(end); {
		w.Advance(500 * time.Millisecond)
		if len(w.Holders()) == 1 {
			return
		}
	}
	w.Fail("no process holds the authority %v after the end of all faults", span)
}
