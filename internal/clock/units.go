package clock

import "time"

// maxSpan bounds converted numbers, so that sums and small multiples of durations do not
// overflow.
const maxSpan = 365 * 24 * time.Hour

// Millis converts a number of milliseconds to a duration of at most a year.
func Millis(n float64) time.Duration { return span(n, time.Millisecond) }

// Seconds converts a number of seconds to a duration of at most a year.
func Seconds(n float64) time.Duration { return span(n, time.Second) }

func span(n float64, unit time.Duration) time.Duration {
	return time.Duration(min(max(n*float64(unit), -float64(maxSpan)), float64(maxSpan)))
}
