package pool

// FilterRole drops runners whose role excludes the stage.
type FilterRole struct{}

// Keep implements Filter.
func (FilterRole) Keep(v *View, c *Candidate) bool { return v.Stage.allowsRole(c.Info.Role, v.Config) }

// Static implements Filter.
func (FilterRole) Static() bool { return true }
