package proctest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// CPU returns the processor time that a host's process has used, from the
// scheduler's nanosecond counters of its threads.
func (f *Fleet) CPU(name string) time.Duration {
	f.t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", f.process(name).cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		f.t.Fatalf("no threads of %s in /proc: %v", name, err)
	}
	var sum time.Duration
	for _, task := range tasks {
		data, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		ns, err := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
		if err != nil {
			f.t.Fatal(err)
		}
		sum += time.Duration(ns)
	}
	return sum
}
