package proctest

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Memory returns the resident memory of a host's process, in bytes.
func (f *Fleet) Memory(name string) int64 {
	f.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process(name).cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			if err != nil {
				f.t.Fatal(err)
			}
			return kib << 10
		}
	}
	f.t.Fatal("no VmRSS in /proc")
	return 0
}

// CPU returns the processor time that a host's process has used.
func (f *Fleet) CPU(name string) time.Duration {
	f.t.Helper()
	pid := f.process(name).cmd.Process.Pid
	threads := threadTimes(f.t, pid)
	if len(threads) == 0 {
		f.t.Fatalf("no threads of %s in /proc", name)
	}
	var used time.Duration
	for _, times := range threads {
		used += times.run
	}
	return used
}

// ProcessorWaits is how long threads have waited for a processor: those of this process,
// and the kernel threads that deliver packets.
type ProcessorWaits struct{ own, kernel map[string]threadTime }

// threadTime is how long a thread has run, and how long it has waited for a processor.
type threadTime struct{ run, wait time.Duration }

// ReadProcessorWaits reads the waits until now.
func ReadProcessorWaits(t testing.TB) ProcessorWaits {
	t.Helper()
	out := ProcessorWaits{own: threadTimes(t, os.Getpid()), kernel: map[string]threadTime{}}
	names, err := filepath.Glob("/proc/[0-9]*/comm")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range names {
		name, err := os.ReadFile(path)
		if err != nil || !strings.HasPrefix(string(name), "ksoftirqd/") {
			continue // the process has ended, or is another one
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err != nil {
			t.Fatal(err)
		}
		maps.Copy(out.kernel, threadTimes(t, pid))
	}
	return out
}

// LongestSince returns the longest wait since an earlier reading: of one thread of this
// process, and of one kernel thread. Waits of several threads at the same time do not add
// up.
func (w ProcessorWaits) LongestSince(before ProcessorWaits) time.Duration {
	return longestSince(w.own, before.own) + longestSince(w.kernel, before.kernel)
}

func longestSince(now, before map[string]threadTime) (longest time.Duration) {
	for thread, times := range now {
		longest = max(longest, times.wait-before[thread].wait)
	}
	return longest
}

// threadTimes returns the times of the threads of a process, from the scheduler's
// nanosecond counters.
func threadTimes(t testing.TB, pid int) map[string]threadTime {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]threadTime{}
	for _, task := range tasks {
		data, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		var times threadTime
		if _, err := fmt.Sscan(string(data), &times.run, &times.wait); err != nil {
			t.Fatal(err)
		}
		out[task] = times
	}
	return out
}
