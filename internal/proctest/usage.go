package proctest

import (
	"fmt"
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
	used, _ := threadTimes(f.t, f.process(name).cmd.Process.Pid)
	return used
}

// ProcessorWait returns how long the threads of this process, and the kernel threads that
// deliver packets, have waited for a processor.
func ProcessorWait(t testing.TB) time.Duration {
	t.Helper()
	_, sum := threadTimes(t, os.Getpid())
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
		_, waited := threadTimes(t, pid)
		sum += waited
	}
	return sum
}

// threadTimes returns how long the threads of a process have run and how long they have
// waited for a processor, from the scheduler's nanosecond counters.
func threadTimes(t testing.TB, pid int) (run, wait time.Duration) {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("no threads of process %d in /proc: %v", pid, err)
	}
	for _, task := range tasks {
		data, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(data), &ran, &waited); err != nil {
			t.Fatal(err)
		}
		run, wait = run+ran, wait+waited
	}
	return run, wait
}
