package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic clock
// behind time.Since, it includes the time for which the machine was suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("clock: boot time: %v", err)) // every supported Linux has this clock
	}
	return time.Duration(now.Nano())
}
