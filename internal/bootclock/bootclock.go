// Package bootclock reads the clocks of the machine that time.Now's monotonic reading does not stand for. The wall clock may be
// stepped at any time, by any span, so nothing that a process measures by itself may rest on it: a test of this package
// names the files that use it, each with its reason.
package bootclock

import (
	"syscall"
	"time"
	"unsafe"
)

// Wall is the wall clock's reading, without a monotonic one.
func Wall() time.Time { return time.Now().Round(0) }

const clockBoottime = 7 // CLOCK_BOOTTIME of clock_gettime(2)

// SinceBoot is the time since the machine was started. All processes of the machine read the same, and no step of the wall
// clock moves it.
func SinceBoot() time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("systime: clock_gettime: " + errno.Error()) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
