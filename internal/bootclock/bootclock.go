// Package bootclock reads the two clocks of the machine that time.Now's monotonic reading can't replace: the time since boot,
// which all processes of the machine read alike, and the bare wall clock. The wall clock may be stepped at any time, by any
// span, so nothing that a process measures by itself may rest on it: a test of this package lists the files that use it, each
// with its reason.
//
// The package has no state; its functions may be called from any goroutine.
package bootclock

import (
	"syscall"
	"time"
	"unsafe"
)

// Wall returns the wall clock's reading, without a monotonic one.
func Wall() time.Time { return time.Now().Round(0) }

const clockBoottime = 7 // CLOCK_BOOTTIME of clock_gettime(2)

// SinceBoot returns the time since the machine was booted, time asleep included. All processes of the machine read the same,
// and no step of the wall clock moves it. It panics if the system has no such clock; Linux has had it since 2.6.39.
func SinceBoot() time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("bootclock: clock_gettime: " + errno.Error())
	}
	return time.Duration(t.Nano())
}
