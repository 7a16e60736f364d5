// Package boottime reads a clock that keeps counting while the host is suspended. The
// monotonic clock of the time package stops during a suspension, and wall clocks jump.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including the time during which it was
// suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since version 2.6.39, and a seccomp filter that forbids
		// it also breaks the Go runtime. Any other clock would break leases silently.
		panic(fmt.Sprintf("boottime: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
