package pool

import "github.com/mimosakeel/mimosakeel/hosting"

// FilterUp drops runners that are starting, leaving, changing, draining, down or
// timed out (see Config.RunnerTimeout).
type FilterUp struct{}

// Keep implements Filter.
func (FilterUp) Keep(_ *View, c *Candidate) bool {
	return c.Up && !c.Info.Changing && c.Info.State == hosting.ServerLive
}

// Static implements Filter.
func (FilterUp) Static() bool { return true }
