package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime is the time since the machine started. Unlike the monotonic clock it
// counts the time in which the machine was suspended, so that what was granted
// for a time is seen to have run out.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
