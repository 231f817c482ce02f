// Package clock reads a steady clock that also counts the time during which the
// machine was suspended. Leases need it: the runtime's monotonic clock stands
// still in a suspension, while other processes go on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// Now returns a time that never steps back and counts suspensions. Differences
// between two results are exact; the absolute value is near the time of day at
// the start of the process.
func Now() time.Time { return startWall.Add(sinceBoot() - startBoot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
