package intake

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Class tells who connects to a listener. Each has places of its own.
type Class int

// The classes.
const (
	// Callers send requests or look for a host.
	Callers Class = iota
	// Hosts are the other hosts.
	Hosts
	// Operators are operators, targets, and who reads readiness or metrics.
	Operators
	classes
)

func (c Class) String() string { return [classes]string{"callers", "hosts", "operators"}[c] }

const (
	// CollectorFraction of the memory is the soft limit of the garbage collector. The
	// remainder is for the program, socket buffers, and garbage between two collections.
	CollectorFraction = 0.6
	// accountFraction of the memory is for what others make the process hold. What is below
	// CollectorFraction is the state of the process itself.
	accountFraction = 0.36
	// responseFraction of the memory, within the bounds below, is for parts of responses that
	// are kept beyond what each request may keep.
	responseFraction                   = 0.04
	minResponseBytes, maxResponseBytes = 1 << 20, 8 << 20
	// bodyFraction of the account is for bodies. The rest is kept for connections and small
	// requests, and callerFraction leaves a part of that to other classes.
	bodyFraction, callerFraction = 0.75, 0.9

	// reservedDescriptors are not for connections.
	reservedDescriptors = 200
	// callerConnectionMemory is the part of the account that connections of callers may use.
	callerConnectionMemory = 0.6

	// hostRequestFraction of the requests in progress is kept for forwarded ones.
	hostRequestFraction = 0.15

	// connectionBytes and requestBytes are what a connection and its request take at least:
	// goroutines, buffers of the HTTP server, and the first buffers of body and response.
	connectionBytes, requestBytes = 20 << 10, 44 << 10
)

// Shares are the parts of the descriptors, without those of the process itself, that the
// connections of each class, and the requests in progress, may use. A request may need a
// second descriptor, for the connection to its target.
type Shares struct {
	Connections [classes]float64
	Requests    float64
}

var (
	// EntryShares are those of a host that sends requests to targets.
	EntryShares = Shares{Connections: [classes]float64{Callers: 0.5, Hosts: 0.2, Operators: 0.06}, Requests: 0.24}
	// ControlShares are those of a host that does not. Each host of the deployment has several
	// connections to it.
	ControlShares = Shares{Connections: [classes]float64{Callers: 0.15, Hosts: 0.55, Operators: 0.25}, Requests: 1}
)

// Limits are the limits of a process.
type Limits struct {
	// Memory is the memory of the machine that the process may use, in bytes.
	Memory int64
	// Account is the part of it for what others make the process hold.
	Account int64
	// Responses is the memory for parts of responses.
	Responses int64
	// Connections is the number of connections of each class, Requests that of the requests in
	// progress that callers may add to, and HostRequests the further ones that other hosts may
	// forward.
	Connections  [classes]int
	Requests     int
	HostRequests int
}

// LimitsFor returns the limits for a memory in bytes and a number of descriptors.
// connections is the number of connections of callers; 0 means what both allow.
func LimitsFor(memory int64, descriptors, connections int, shares Shares) Limits {
	part := func(of float64) int64 { return int64(of * float64(memory)) }
	l := Limits{Memory: memory, Account: part(accountFraction), Responses: min(max(part(responseFraction), minResponseBytes), maxResponseBytes)}
	free := float64(descriptors - min(reservedDescriptors, descriptors/2))
	if connections == 0 {
		connections = int(min(shares.Connections[Callers]*free, callerConnectionMemory*float64(l.Account)/connectionBytes))
	}
	l.Connections = [classes]int{max(1, connections), max(1, int(shares.Connections[Hosts]*free)), max(1, int(shares.Connections[Operators]*free))}
	requests := int(shares.Requests * free)
	l.HostRequests = max(1, int(hostRequestFraction*float64(requests)))
	l.Requests = max(1, requests-l.HostRequests)
	return l
}

// Descriptors returns the number of descriptors that the process may have open.
func Descriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("intake: limit of descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// dataFraction of the limit of data may be in use: the limit also counts what the runtime has
// given back to the system and keeps mapped.
const dataFraction = 0.5

const (
	memoryFile  = "/proc/meminfo"
	controlFile = "/sys/fs/cgroup/memory.max"
)

// MachineMemory returns the memory that the process may use, in bytes: that of the machine or
// less, if a control group or the limit of the process's data allows less.
func MachineMemory() (int64, error) {
	file, err := os.Open(memoryFile)
	if err != nil {
		return 0, fmt.Errorf("intake: memory of the machine: %w", err)
	}
	defer file.Close()
	memory := int64(0)
	for lines := bufio.NewScanner(file); memory == 0 && lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(text + " ?")[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("intake: %s: %w", memoryFile, err)
			}
			memory = kib << 10
		}
	}
	if memory == 0 {
		return 0, fmt.Errorf("intake: no memory in %s", memoryFile)
	}
	// Without such a file, or with "max" in it, there is no limit of a control group.
	if text, err := os.ReadFile(controlFile); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
			memory = min(memory, limit)
		}
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_DATA, &limit); err != nil {
		return 0, fmt.Errorf("intake: limit of data: %w", err)
	}
	if data := dataFraction * float64(limit.Cur); data < float64(memory) {
		memory = int64(data)
	}
	return memory, nil
}
