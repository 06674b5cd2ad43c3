package execlog

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot, including time in which the machine was suspended.
// All processes of one machine read the same clock.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
