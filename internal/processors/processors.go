package processors

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"geraniumturn.example/geraniumturn/internal/clock"
)

const (
	// sampleInterval bounds how long a load that starts at once has one processor.
	sampleInterval = 500 * time.Millisecond
	// busyPart of one processor in an interval means that more are needed; half a
	// processor leaves room for a load that grows within the interval.
	busyPart = 0.5
	// quietPart is the use below which one is enough, and quietTime how long it must
	// last, so that a load that comes and goes does not change the number each time.
	quietPart = 0.2
	quietTime = 2 * time.Second
)

// Governor decides how many processors to use. It does no I/O.
type Governor struct {
	all     int
	using   int
	quietAt time.Duration
}

// NewGovernor starts with one of the processors.
func NewGovernor(all int) *Governor { return &Governor{all: all, using: 1} }

// Sample takes the use of the last interval, in processors, and returns how many to
// use from now on.
func (g *Governor) Sample(now time.Duration, used float64) int {
	switch {
	case used >= busyPart:
		g.using, g.quietAt = g.all, now
	case used >= quietPart:
		g.quietAt = now
	case now-g.quietAt >= quietTime:
		g.using = 1
	}
	return g.using
}

// Run applies a governor to this process until ctx ends.
func Run(ctx context.Context) error {
	all := runtime.GOMAXPROCS(0)
	if all == 1 {
		<-ctx.Done()
		return nil
	}
	defer runtime.GOMAXPROCS(all)
	g, using := NewGovernor(all), all
	last, at := time.Duration(0), time.Duration(0)
	for {
		used, err := usage()
		if err != nil {
			return err
		}
		now := clock.SinceBoot()
		if n := g.Sample(now, float64(used-last)/float64(max(1, now-at))); n != using {
			runtime.GOMAXPROCS(n)
			using = n
		}
		last, at = used, now
		if !clock.Sleep(ctx, sampleInterval) {
			return nil
		}
	}
}

// usage is the processor time of this process.
func usage() (time.Duration, error) {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return 0, fmt.Errorf("processors: %w", err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
