package clock

import "time"

// Millis converts a number of milliseconds to a duration.
func Millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
