// Package bootclock reads two clocks of the machine for uses that the monotonic reading of time.Now does not cover: the time
// since boot, which is the same in all processes of the machine, and the wall clock without a monotonic reading. The wall
// clock may be stepped at any time, by any amount, so a process must not measure durations with it. A test of this package
// lists the files that may use the wall clock, each with the reason.
//
// The package has no state; its functions may be called from any goroutine.
package bootclock

import (
	"syscall"
	"time"
	"unsafe"
)

// Wall returns the wall clock's time, without a monotonic reading.
func Wall() time.Time { return time.Now().Round(0) }

const clockBoottime = 7 // CLOCK_BOOTTIME of clock_gettime(2)

// SinceBoot returns the time since the machine booted, including time in suspend. The value is the same in all processes of
// the machine, and steps of the wall clock do not affect it. SinceBoot panics if the system lacks the clock, which Linux has
// had since 2.6.39.
func SinceBoot() time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("bootclock: clock_gettime: " + errno.Error())
	}
	return time.Duration(t.Nano())
}
