package bench

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

var capacityFlag = flag.Bool("capacity", false, "measure the cost per host, workspace and target instead of a short check")

// Resource budget of an idle host in a fleet of the planned size.
const (
	budgetCPUCores           = 0.012
	budgetMemoryBytes        = 64 << 20
	budgetSentBytesPerSecond = 5000
)

// idleUsage is the resource usage of hosts without request traffic.
type idleUsage struct {
	// The CPU values are in cores, the sent values in bytes per second and the memory
	// values in bytes. Mean is the mean over the hosts, Max the highest value of a host.
	cpuMean, cpuMax   float64
	sentMean, sentMax float64
	memoryMean        int64
	memoryMax         int64
}

func (r idleUsage) String() string {
	return fmt.Sprintf("| %.2f %% / %.2f %% | %.0f / %.0f | %.1f / %.1f |", 100*r.cpuMean, 100*r.cpuMax, r.sentMean, r.sentMax,
		float64(r.memoryMean)/(1<<20), float64(r.memoryMax)/(1<<20))
}

// TestControlProcessorTime guards against an idle host that exceeds its CPU budget.
func TestControlProcessorTime(t *testing.T) {
	r := measureIdle(t, startHosts(t, 4, 2), 8*time.Second)
	if r.cpuMax > budgetCPUCores {
		t.Errorf("an idle host uses %.2f %% of a core, more than %.1f %%", 100*r.cpuMax, 100*budgetCPUCores)
	}
}

// TestControlBytesAndMemory guards against an idle host that exceeds its budget of
// bytes sent or of memory.
func TestControlBytesAndMemory(t *testing.T) {
	r := measureIdle(t, startHosts(t, 4, 2), 4*time.Second)
	t.Logf("4 idle hosts: cpu, bytes/s, MiB (mean / highest) %s", r)
	if r.sentMax > budgetSentBytesPerSecond || r.memoryMax > budgetMemoryBytes {
		t.Errorf("an idle host exceeds the budget of %d bytes/s and %d MiB", budgetSentBytesPerSecond, budgetMemoryBytes>>20)
	}
}

// TestCapacity measures the control-plane overhead of an idle host as a function of
// the number of hosts, workspaces and targets. It does nothing without -capacity.
func TestCapacity(t *testing.T) {
	if !*capacityFlag {
		return
	}
	t.Log("hosts in 3 to 10 data centres: | hosts | cpu | bytes/s sent | MiB | (mean / highest)")
	for _, n := range []int{4, 8, 16, 32} {
		f := startHosts(t, n, min(10, max(3, n/3)))
		t.Logf("| %d %s", n, measureIdle(t, f, 10*time.Second))
		f.Stop()
	}
	t.Log("8 hosts: | workspaces | cpu | bytes/s sent | MiB | change in force (ms)")
	f := startHosts(t, 8, 3)
	for _, n := range []int{100, 400, 1200, 2400} {
		f.Apply(workspaceRules(n))
		before := time.Now()
		f.Apply(workspaceRules(n) + "# changed\nworkspace extra rate=1/s burst=1 # test\n")
		inForce := time.Since(before)
		t.Logf("| %d %s %d |", n, measureIdle(t, f, 10*time.Second), inForce.Milliseconds())
	}
	f.Stop()
	t.Log("4 hosts in 2 data centres: | targets | cpu | bytes/s sent | MiB |")
	f = startHosts(t, 4, 2)
	started := 0
	for _, n := range []int{10, 60, 300, 600} {
		for ; started < n; started++ {
			dc := started % 2
			f.StartTarget(standin.Config{Name: fmt.Sprint("t", started), DataCentre: fmt.Sprint("dc", dc), Pool: "llegadas",
				Models: []string{fmt.Sprint("m", started%27)}}, fmt.Sprint("h", dc+2*(started/2%2)))
		}
		t.Logf("| %d %s", n, measureIdle(t, f, 10*time.Second))
	}
	f.Stop()
}

// startHosts starts n hosts, spread evenly over the data centres. Three of them have
// the control role, or one if there are fewer than three data centres.
func startHosts(t *testing.T, n, centres int) *proctest.Fleet {
	var hosts []proctest.Host
	voters := 3
	if centres < 3 {
		voters = 1
	}
	for i := range n {
		dc := i % centres
		hosts = append(hosts, proctest.Host{Name: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", dc),
			Region: fmt.Sprint("r", dc%4), Control: i < voters})
	}
	f := proctest.Start(t, hosts)
	f.Apply(workspaceRules(5))
	return f
}

func workspaceRules(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "workspace w%d rate=1000/s burst=100000 weight=2 # requester %d, ticket %d\n", i, i%40, i)
	}
	b.WriteString("pool llegadas kind=engine # test\nroute /v1/completions idempotent=yes # test\n")
	for i := range 27 {
		fmt.Fprintf(&b, "model m%d pool=llegadas # test\n", i)
	}
	return b.String()
}

// measureIdle waits for the end of start-up and measures the usage over the window.
func measureIdle(t *testing.T, f *proctest.Fleet, window time.Duration) idleUsage {
	t.Helper()
	timer := time.NewTimer(3 * time.Second) // the elections and the first exchange are over by then
	<-timer.C
	type reading struct {
		cpu  time.Duration
		sent int64
	}
	read := func(name string) reading {
		return reading{f.CPU(name), gaugeValue(t, f.HTTP(name), "peer.bytes_sent")}
	}
	before := map[string]reading{}
	for _, name := range f.Names() {
		before[name] = read(name)
	}
	start := time.Now()
	timer.Reset(window)
	<-timer.C
	seconds := time.Since(start).Seconds()
	var r idleUsage
	n := float64(len(before))
	for name, b := range before {
		now := read(name)
		cpu := (now.cpu - b.cpu).Seconds() / seconds
		sent := float64(now.sent-b.sent) / seconds
		memory := f.Memory(name)
		r.cpuMean, r.cpuMax = r.cpuMean+cpu/n, max(r.cpuMax, cpu)
		r.sentMean, r.sentMax = r.sentMean+sent/n, max(r.sentMax, sent)
		r.memoryMean, r.memoryMax = r.memoryMean+memory/int64(n), max(r.memoryMax, memory)
	}
	return r
}

func gaugeValue(t *testing.T, address, name string) int64 {
	t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		t.Fatal(err)
	}
	return int64(metrics[name].Value)
}
