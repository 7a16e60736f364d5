// Package boottime reads a clock that keeps counting while the host is suspended. The
// monotonic clock of Go stops during a suspension, and wall clocks may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted.
func Now() time.Duration {
	var t unix.Timespec
	// The call fails only if the kernel has no such clock.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
