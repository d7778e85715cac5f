package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine booted. Unlike the monotonic clock,
// it includes the time during which the machine was suspended, so that leases
// and other time-limited grants are seen to have expired after a suspension.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
