package pool

// FilterVersion drops runners of other software versions than the required one. Streams
// and KV caches of two versions do not fit together.
type FilterVersion struct{}

// Keep implements Filter.
func (FilterVersion) Keep(v *View, c *Candidate) bool {
	return v.Request.Version == "" || c.Info.Version == v.Request.Version
}

// Static implements Filter.
func (FilterVersion) Static() bool { return true }
