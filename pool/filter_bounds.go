package pool

// FilterBounds drops runners that are at one of their bounds: open tickets, KV
// memory, prefill wait or time between tokens. An idle runner always passes.
// Batch work beyond Config.BatchFloor may use only Config.BatchFill of each bound,
// so that there is room for arriving interactive work.
type FilterBounds struct{}

// Keep implements Filter.
func (FilterBounds) Keep(v *View, c *Candidate) bool {
	if c.Open == 0 || !v.Config.Queueing {
		return true
	}
	fill := 1.0
	if v.Request.Priority == Batch && !v.UnderBatchFloor && v.Config.Priorities {
		fill = v.Config.BatchFill
	}
	if float64(c.Open+1) > fill*float64(v.Config.MaxOpen) {
		return false
	}
	if float64(c.KV+v.KV) > fill*v.Config.KVFill*float64(c.Memory) {
		return false
	}
	if v.Stage != StageDecode && c.Wait > fill*v.PrefillWait {
		return false
	}
	return v.Stage == StagePrefill || c.BetweenTokens <= fill*v.BetweenTokens
}

// Static implements Filter.
func (FilterBounds) Static() bool { return false }
