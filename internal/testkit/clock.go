package testkit

import (
	"time"
	"unsafe"
)

// ShiftWallClock returns t with its wall clock reading shifted by the whole seconds of
// jump and its monotonic reading unchanged, as time.Now returns it after the wall clock
// was set. The time package cannot construct such a time. In a time with both readings,
// the first word holds the wall seconds above 30 bits of nanoseconds.
func ShiftWallClock(t time.Time, jump time.Duration) time.Time {
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(jump/time.Second) << nanosecondBits)
	return t
}
