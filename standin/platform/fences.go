package platform

import (
	"reflect"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// fenceChecker checks the calls of one interface: it refuses stale fencing
// tokens and detects repeated idempotency keys.
type fenceChecker struct {
	mu sync.Mutex
	// highest is the highest accepted fencing token by subject, which is a failure
	// domain for orders and empty for usage reports.
	highest map[string]int64
	// seen is the content of the accepted calls by idempotency key.
	seen map[string]any
}

func newFenceChecker() *fenceChecker {
	return &fenceChecker{highest: map[string]int64{}, seen: map[string]any{}}
}

// admit returns the result for a call and the highest fencing token before it.
// The fencing token is checked first: a call with a stale token is refused even
// if it repeats an accepted one. A known key with equal content is a duplicate,
// with other content a conflict.
func (c *fenceChecker) admit(subject, key string, content any, fence int64, ignoreFence bool) (result string, highest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest = c.highest[subject]
	if fence < highest && !ignoreFence {
		return ResultStale, highest
	}
	c.highest[subject] = max(highest, fence)
	if earlier, known := c.seen[key]; known {
		if reflect.DeepEqual(earlier, content) {
			return ResultDuplicate, highest
		}
		return ResultConflict, highest
	}
	c.seen[key] = content
	return ResultAccepted, highest
}

// vmList holds the versions of the VM list and shows the one that was current a
// fixed lag ago.
type vmList struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []vmVersion
}

type vmVersion struct {
	since time.Time
	vms   []hosting.VM
}

func newVMList(lag time.Duration, initial []hosting.VM) *vmList {
	// The zero time of the initial version makes it visible immediately.
	return &vmList{lag: lag, versions: []vmVersion{{vms: initial}}}
}

func (v *vmList) set(vms []hosting.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions = append(v.versions, vmVersion{since: time.Now(), vms: vms})
}

func (v *vmList) list() []hosting.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := time.Now().Add(-v.lag)
	for len(v.versions) > 1 && !v.versions[1].since.After(limit) {
		v.versions = v.versions[1:]
	}
	return append([]hosting.VM{}, v.versions[0].vms...)
}
