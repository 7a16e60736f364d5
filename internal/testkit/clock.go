package testkit

import (
	"time"
	"unsafe"
)

// JumpTimeOfDay returns a time whose time of day has jumped by whole seconds and whose
// reading of the steady clock has not, as time.Now does after the clock was set. Nothing
// in the library makes such a time; the first word of a time with both readings holds
// the seconds of the day above 30 bits of nanoseconds.
func JumpTimeOfDay(t time.Time, jump time.Duration) time.Time {
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(jump/time.Second) << nanosecondBits)
	return t
}
