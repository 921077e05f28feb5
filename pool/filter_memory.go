package pool

// FilterMemory drops runners whose KV memory is too small for the request even
// when idle.
type FilterMemory struct{}

// Keep implements Filter.
func (FilterMemory) Keep(v *View, c *Candidate) bool {
	return float64(v.KV) <= v.Config.KVFill*float64(c.Memory)
}

// Static implements Filter.
func (FilterMemory) Static() bool { return true }
