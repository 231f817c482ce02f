// Package clock provides a monotonic clock that keeps running while the machine
// is suspended. Leases need it: Go's own monotonic clock stops during a
// suspension, while processes on other machines go on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// Now returns a time that never goes backwards and that includes suspensions.
// The difference between two results is the elapsed time. The absolute value is
// only approximate: it starts at the time of day at which the process started
// and does not follow later changes of the system time.
func Now() time.Time { return startWall.Add(sinceBoot() - startBoot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists in every supported kernel.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
