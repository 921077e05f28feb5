package pool

// FilterLimit drops runners that have named a limit on requests and have got as many.
type FilterLimit struct{}

// Keep implements Filter.
func (FilterLimit) Keep(_ *View, c *Candidate) bool { return c.LimitWait == 0 }

// Static implements Filter.
func (FilterLimit) Static() bool { return false }
