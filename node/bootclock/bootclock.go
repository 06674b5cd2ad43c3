// Package bootclock reads the monotonic clock that counts from the machine's start and goes on
// while the machine sleeps.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, including time asleep. It panics if the clock
// cannot be read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("cannot read the boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// JumpThreshold is the difference up to which the wall clock and the boot-time clock may advance
// unequally between two checks.
const JumpThreshold = 250 * time.Millisecond

// JumpDetector detects jumps of the wall clock relative to the boot-time clock. After a jump,
// durations measured across it are unreliable: the machine may have been paused or copied.
type JumpDetector struct {
	boot time.Duration
	wall time.Time
}

// Jumped reports whether the clocks advanced by more than JumpThreshold unequally since the last
// call. The first call returns false.
func (d *JumpDetector) Jumped(boot time.Duration, wall time.Time) bool {
	wall = wall.Round(0)
	isFirst := d.wall.IsZero()
	difference := wall.Sub(d.wall) - (boot - d.boot)
	d.boot, d.wall = boot, wall
	return !isFirst && (difference > JumpThreshold || difference < -JumpThreshold)
}
