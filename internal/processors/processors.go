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
	// sampleInterval is the time between samples of the CPU use. It bounds how long a
	// load that starts suddenly is limited to one processor.
	sampleInterval = 500 * time.Millisecond
	// busyThreshold is the CPU use, in processors, from which all processors are used.
	// Half a processor leaves room for a load that grows within the interval.
	busyThreshold = 0.5
	// idleThreshold is the CPU use, in processors, below which one processor is enough.
	// The use must stay below it for idleTime, so that an intermittent load does not
	// change the number at each pause.
	idleThreshold = 0.2
	idleTime      = 2 * time.Second
)

// Governor decides how many processors to use. It does no I/O.
type Governor struct {
	maxProcs     int
	procs        int
	lastActiveAt time.Duration // last sample at or above idleThreshold
}

// NewGovernor returns a governor that starts with one processor and uses at most
// maxProcs.
func NewGovernor(maxProcs int) *Governor { return &Governor{maxProcs: maxProcs, procs: 1} }

// Sample takes the CPU use of the last interval, in processors, and returns the number
// of processors to use from now on.
func (g *Governor) Sample(now time.Duration, used float64) int {
	switch {
	case used >= busyThreshold:
		g.procs, g.lastActiveAt = g.maxProcs, now
	case used >= idleThreshold:
		g.lastActiveAt = now
	case now-g.lastActiveAt >= idleTime:
		g.procs = 1
	}
	return g.procs
}

// Run sets GOMAXPROCS of this process by a governor until ctx ends, and then restores
// the original value.
func Run(ctx context.Context) error {
	maxProcs := runtime.GOMAXPROCS(0)
	if maxProcs == 1 {
		<-ctx.Done()
		return nil
	}
	defer runtime.GOMAXPROCS(maxProcs)
	g, procs := NewGovernor(maxProcs), maxProcs
	lastCPU, lastAt := time.Duration(0), time.Duration(0)
	for {
		cpu, err := cpuTime()
		if err != nil {
			return err
		}
		now := clock.SinceBoot()
		if n := g.Sample(now, float64(cpu-lastCPU)/float64(max(1, now-lastAt))); n != procs {
			runtime.GOMAXPROCS(n)
			procs = n
		}
		lastCPU, lastAt = cpu, now
		if !clock.Sleep(ctx, sampleInterval) {
			return nil
		}
	}
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() (time.Duration, error) {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return 0, fmt.Errorf("processors: read CPU time: %w", err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
