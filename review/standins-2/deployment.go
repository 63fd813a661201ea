package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the example settings on the users' pages.
const (
	frontPort     = 8221
	readyPort     = 8224
	controlPort   = 8229
	directoryPort = 8220
)

const (
	coreMemoryMB = 280
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 20 * time.Millisecond
)

// deployment is a small deployment on loopback addresses: one control host and one entry host
// in each of three regions.
type deployment struct {
	record        *record
	program, dir  string
	entryMemoryMB int
	regions       []string
	hosts         []*host
	prefix        string // of all its addresses, such as "127.70.3"
	version       int

	mu        sync.Mutex
	started   bool // the first start of the whole system has ended
	closed    bool
	processes sync.WaitGroup
	stop      chan struct{}
	beats     sync.WaitGroup
}

type host struct {
	name, ip, region string
	control          bool
	command          *exec.Cmd
	// killedAt is when the process was killed for its memory, with what it used.
	killedAt []time.Time
	peakMB   int
}

// address returns the address of a port of the host.
func (h *host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

var errNoMemoryFigure = errors.New("no memory figure")

func newDeployment(r *record, program string, entryMemoryMB int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "geraniumturn-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, program: program, dir: dir, entryMemoryMB: entryMemoryMB, regions: []string{"fiji", "nz", "au"}, stop: make(chan struct{})}
	for try := 0; ; try++ {
		d.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		if d.portsFree() {
			break
		}
		if try == 50 {
			return nil, errors.New("no free addresses")
		}
	}
	for i, region := range d.regions {
		d.hosts = append(d.hosts, &host{name: "core-" + region, ip: d.address(10 + i), region: region, control: true},
			&host{name: "edge-" + region, ip: d.address(20 + i), region: region})
	}
	return d, nil
}

func (d *deployment) address(last int) string { return fmt.Sprintf("%s.%d", d.prefix, last) }

func (d *deployment) portsFree() bool {
	for _, last := range []int{10, 11, 12, 20, 21, 22} {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, 7600, 7601, 7602, 9464} {
			l, err := net.Listen("tcp", net.JoinHostPort(d.address(last), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings fills in what deploy/settings.toml.in gets from the users' platform.
func (d *deployment) settings(h *host) string {
	var seeds, zones []string
	for _, o := range d.hosts {
		if o.control {
			seeds = append(seeds, fmt.Sprintf("%q", o.address(controlPort)))
			zones = append(zones, fmt.Sprintf("%q = %q\n", o.region+"-a", o.region))
		}
	}
	role, data, memory := "entry", "", d.entryMemoryMB
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"\"\ndirectory = \"\"\n", h.ip, frontPort, h.ip, readyPort)
	if h.control {
		role, data, memory = "control", filepath.Join(d.dir, h.name), coreMemoryMB
		listen = fmt.Sprintf("front = \"\"\nready = \"\"\ncontrol = \"%s:%d\"\ndirectory = \"%s:%d\"\n", h.ip, controlPort, h.ip, directoryPort)
	}
	return fmt.Sprintf("name = %q\ndata_centre = \"%s-a\"\nregion = %q\nroles = [%q]\ndata_dir = %q\nconfiguration = \"document\"\n", h.name, h.region, h.region, role, data) +
		"[security]\nprivate_network = true\n" +
		fmt.Sprintf("[deployment]\naddress = %q\nports = [7600,7615]\nseeds = [%s]\nfound = %v\n%smetrics_port = 9464\nmemory_mb = %d\nlost_disks = 1\nread_speed = 93.6\n",
			h.ip, strings.Join(seeds, ","), !d.started, listen, memory) +
		"[deployment.regions]\n" + strings.Join(zones, "") +
		"[deployment.bounds]\nrevocation_ms = 5000\nconfiguration_ms = 3000\ngrace_s = 8\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\n" +
		"rate_slack = 110000\ncold_overrun = 1.5\ncold_slack = 3\n"
}

// start starts all processes. Each is started again when it ends, as on the users' platform.
func (d *deployment) start() error {
	for _, h := range d.hosts {
		if err := d.launch(h); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.started = true
	d.mu.Unlock()
	return nil
}

func (d *deployment) launch(h *host) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	path := filepath.Join(d.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(h)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.program)
	c.Env = []string{"GERANIUMTURN_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		_ = out.Close()
		return err
	}
	h.command = c
	ended := make(chan struct{})
	d.processes.Go(func() {
		_ = c.Wait() // how it ended is recorded where it was ended
		_ = out.Close()
		close(ended)
		if d.sleep(restartDelay) {
			d.record.note("%s is started again", h.name)
			if err := d.launch(h); err != nil {
				d.record.note("%s: %v", h.name, err)
			}
		}
	})
	d.processes.Go(func() { d.watchMemory(h, c.Process.Pid, ended) })
	return nil
}

// watchMemory kills a process that uses more than memory_mb, as the users' platform does.
func (d *deployment) watchMemory(h *host, pid int, ended chan struct{}) {
	limit := d.entryMemoryMB
	if h.control {
		limit = coreMemoryMB
	}
	ticker := time.NewTicker(memoryPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		used, err := residentMB(pid)
		if err != nil {
			continue
		}
		d.mu.Lock()
		h.peakMB = max(h.peakMB, used)
		d.mu.Unlock()
		if used > limit {
			d.record.note("%s uses %d MB of %d MB and is killed", h.name, used, limit)
			d.mu.Lock()
			h.killedAt = append(h.killedAt, time.Now())
			d.mu.Unlock()
			_ = syscall.Kill(pid, syscall.SIGKILL)
			<-ended
			return
		}
	}
}

// residentMB is the memory of a process that is in use, in MB.
func residentMB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d", &kb); n == 1 {
			return kb >> 10, nil
		}
	}
	return 0, errNoMemoryFigure
}

// sleep reports false if the deployment is closed meanwhile.
func (d *deployment) sleep(t time.Duration) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(t):
		return true
	}
}

func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	for _, h := range d.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill() // it may have ended
		}
	}
	d.mu.Unlock()
	close(d.stop)
	d.processes.Wait()
	d.beats.Wait()
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) host(name string) *host {
	for _, h := range d.hosts {
		if h.name == name {
			return h
		}
	}
	panic("no host " + name)
}

// memoryKills returns how often each host was killed for its memory, and the peaks.
func (d *deployment) memoryKills() (kills int, report string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		kills += len(h.killedAt)
		report += fmt.Sprintf(" %s: peak %d MB, killed %d times;", h.name, h.peakMB, len(h.killedAt))
	}
	return kills, report
}

var operator = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func post(address, path string, body []byte) (int, error) {
	res, err := operator.Post("http://"+address+path, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

type object = map[string]any

// replace sends a configuration to one control host after the other until it is acknowledged.
func (d *deployment) replace(c object) error {
	d.version += 3
	c["version"] = d.version
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for i := range 60 {
		h := d.hosts[2*(i%len(d.regions))]
		status, err := post(h.address(controlPort), "/geraniumturn/configuration/replace", body)
		if status == http.StatusOK {
			d.record.note("configuration %d is acknowledged", d.version)
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("configuration refused: %v", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no acknowledgement of the configuration")
}

func configuration(routes, services []object) object {
	return object{"routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{
			{"name": "desk", "api_keys": []string{deskKey}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 400000, "burst": 400000, "home_regions": []string{}},
			{"name": "guest", "api_keys": []string{guestKey}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 400000, "burst": 400000, "home_regions": []string{}},
		}}
}

// deskKey is the key of the ordinary callers, guestKey that of another tenant.
const deskKey, guestKey = "n2ctnfzs989anu6wsjnb", "i9n73hh2b9wu3fexd9dn"

func route(name, prefix, kind, service string, attempts int) object {
	return object{"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 800, "priority": 1,
		"service": service, "max_attempts": attempts, "public": false, "session_affinity": false, "resumable": false, "target_gap_ms": 300, "home_regions": []string{}}
}

const hostName = "ficu95.example"

func plainService(name string) object {
	return object{"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "warmup_s": 0.0, "cold_per_s": 0.0}
}

func engineService(name string) object {
	s := plainService(name)
	s["engine"] = object{"slots": 64, "cache_tokens": 262515, "per_token_bytes": 35136, "bandwidth_mbps": 1100000.0, "moves": true, "backups": true, "stride": 6,
		"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []object{{"name": "m"}}}
	return s
}

// register sends the heartbeats of a replica until the deployment is closed.
func (d *deployment) register(r *replica) {
	born := time.Now().UnixMilli()
	d.beats.Go(func() {
		for sequence := 1; ; sequence++ {
			body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"%s-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
				r.service, r.address, r.region, sequence, born)
			for i := range d.regions {
				h := d.hosts[2*((sequence+i)%len(d.regions))]
				if status, _ := post(h.address(controlPort), "/geraniumturn/instances/"+r.id+"/heartbeat", body); status == http.StatusOK {
					break
				}
			}
			if !d.sleep(1200 * time.Millisecond) {
				return
			}
		}
	})
}
