package proctest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of process times in /proc, which Linux fixes at 100 Hz.
const clockTick = 10 * time.Millisecond

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
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.process(name).cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	// The fields after the command name, which is in parentheses, begin with the
	// state as field 3; user and system time are fields 14 and 15.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			f.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}
