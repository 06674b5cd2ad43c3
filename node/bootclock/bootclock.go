// Package bootclock reads the clock that counts from the machine's start and does not stop
// while the machine sleeps.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, sleep included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// JumpThreshold is how far wall and boot-time clock may part between two checks.
const JumpThreshold = 250 * time.Millisecond

// Watch notices jumps of the wall clock against the boot-time clock. After one, times
// counted before cannot be trusted: the machine may have been stopped or copied.
type Watch struct {
	boot time.Duration
	wall time.Time
}

// Jumped reports whether the clocks parted since the last call. The first call never does.
func (w *Watch) Jumped(boot time.Duration, wall time.Time) bool {
	wall = wall.Round(0)
	first := w.wall.IsZero()
	parted := wall.Sub(w.wall) - (boot - w.boot)
	w.boot, w.wall = boot, wall
	return !first && (parted > JumpThreshold || parted < -JumpThreshold)
}
