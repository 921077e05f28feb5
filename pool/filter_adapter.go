package pool

import "slices"

// FilterAdapter drops runners without the request's adapter.
type FilterAdapter struct{}

// Keep implements Filter.
func (FilterAdapter) Keep(v *View, c *Candidate) bool {
	return v.Request.Adapter == "" || slices.Contains(c.Info.Adapters, v.Request.Adapter)
}

// Static implements Filter.
func (FilterAdapter) Static() bool { return true }
