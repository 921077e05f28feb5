package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNow returns the time of a monotonic clock that starts at the boot of the VM
// and continues while the process or the VM is suspended. If the VM has no such
// clock, it returns the monotonic time since the start of the process.
func bootNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(0, ts.Nano())
}

var processStart = time.Now()
