package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of the machine.
type Boot struct{}

// Now returns the time since the machine booted, suspensions included.
func (boot Boot) Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The call fails only for a clock id that the kernel does not know, and
		// every kernel since 2.6.39 knows this one.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(at.Nano())
}
