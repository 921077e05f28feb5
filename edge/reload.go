package edge

import (
	"context"
	"time"

	"github.com/mimosakeel/mimosakeel/event"
)

// reloadInterval is the interval at which the settings file is read, because it
// may change without a signal.
const reloadInterval = 5 * time.Second

// Reload applies the settings that may change while the daemon runs: the sections
// retry and fleet. It records an event that shows whether other settings differ,
// which take effect only after a restart.
func (d *Daemon) Reload(s Settings) {
	old := d.Settings
	fixed := old
	fixed.Retry, fixed.Fleet = s.Retry, s.Fleet
	d.budget.set(s.Retry)
	d.control.emit(controlTask{run: func(time.Time) { d.control.fleet.settings = s.Fleet }})
	d.Events.Record(event.KindConfig, "settings_reloaded", d.control.incarnation,
		event.F("restart_needed", formatBool(fixed != s)))
}

// WatchSettings reloads the settings when a signal arrives or the file has
// changed, until the context ends. load reads the file. If it fails, the current
// settings stay in force.
func (d *Daemon) WatchSettings(ctx context.Context, signals <-chan struct{}, load func() (Settings, error)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last := d.Settings
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-tick.C:
		}
		s, err := load()
		if err != nil {
			d.Events.Record(event.KindFault, "settings_not_reloaded", d.control.incarnation, event.F("error", err.Error()))
			continue
		}
		if asked || s != last {
			last = s
			d.Reload(s)
		}
	}
}
