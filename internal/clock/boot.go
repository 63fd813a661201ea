package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the machine started. Unlike time.Since it goes on
// while the machine is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("clock: boot time: %v", err)) // every supported Linux has this clock
	}
	return time.Duration(now.Nano())
}
