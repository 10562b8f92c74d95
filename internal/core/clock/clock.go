package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the boot-time clock of the machine, CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since the machine booted, including suspensions.
func (boot Boot) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for a clock ID that the kernel does not support, and
		// every kernel since 2.6.39 supports this one.
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
