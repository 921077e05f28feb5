package pool

import "slices"

// FilterAvoid drops the runners on which earlier attempts failed.
type FilterAvoid struct{}

// Keep implements Filter.
func (FilterAvoid) Keep(v *View, c *Candidate) bool {
	return !slices.Contains(v.Request.Avoid, c.Info.ID)
}

// Static implements Filter.
func (FilterAvoid) Static() bool { return true }
