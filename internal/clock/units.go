package clock

import "time"

// Millis is a number of milliseconds as a duration.
func Millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Seconds is a number of seconds as a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
