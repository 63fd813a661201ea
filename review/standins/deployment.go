package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of both roles, as in deploy/system.toml.
const program = "target/geraniumturn"

// machine is one process of the system.
type machine struct {
	name, zone, ip string
	control        bool
	memoryMB       int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (m *machine) controlAddress() string { return m.ip + ":8001" }
func (m *machine) front() string          { return m.ip + ":8000" }
func (m *machine) ready() string          { return m.ip + ":8004" }

// regionOf maps the zones of the small deployment to their regions.
var regionOf = map[string]string{"gijon-a": "asturias", "santander-a": "cantabria", "bilbao-a": "euskadi"}

// edgeMemoryMB is the memory of the edge machines of llegadas-norte.
var edgeMemoryMB = map[string]int{"gijon-a": 414, "santander-a": 804, "bilbao-a": 544}

// deployment is a small deployment: three core machines and four edge machines in three
// zones, each of which is a region.
type deployment struct {
	dir      string
	subnet   string
	machines []*machine
	first    bool // the first start, with empty disks
	record   *record
	replicas []*replica
	stop     chan struct{}

	startMu sync.Mutex // held while a process is started
	closed  bool
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec, first: true, stop: make(chan struct{})}
	for {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), rand.Intn(250))
		l, err := net.Listen("tcp", d.subnet+".1:8001")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	zones := []string{"gijon-a", "santander-a", "bilbao-a"}
	for i, z := range zones {
		d.machines = append(d.machines, &machine{name: "core-" + z + "-1", zone: z, ip: fmt.Sprintf("%s.%d", d.subnet, 1+i), control: true, memoryMB: 280})
	}
	for i, z := range append(zones, "gijon-a") {
		n := 1 + i/3
		d.machines = append(d.machines, &machine{name: fmt.Sprintf("edge-%s-%d", z, n), zone: z, ip: fmt.Sprintf("%s.%d", d.subnet, 11+i), memoryMB: edgeMemoryMB[z]})
	}
	return d, nil
}

func (d *deployment) find(name string) *machine {
	for _, m := range d.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

func (d *deployment) cores() (out []*machine) {
	for _, m := range d.machines {
		if m.control {
			out = append(out, m)
		}
	}
	return out
}

func (d *deployment) edges() (out []*machine) {
	for _, m := range d.machines {
		if !m.control {
			out = append(out, m)
		}
	}
	return out
}

// settings fills in deploy/settings.toml.in as the platform does.
func (d *deployment) settings(m *machine) string {
	var seeds []string
	for _, c := range d.cores() {
		seeds = append(seeds, fmt.Sprintf("%q", c.controlAddress()))
	}
	role, dataDir, listen := "entry", "", fmt.Sprintf("front = %q\nready = %q\ncontrol = \"\"\ndirectory = \"\"", m.front(), m.ready())
	if m.control {
		role, dataDir = "control", filepath.Join(d.dir, m.name)
		listen = fmt.Sprintf("front = \"\"\nready = \"\"\ncontrol = %q\ndirectory = %q", m.controlAddress(), m.ip+":8002")
	}
	return fmt.Sprintf(`name = %q
data_centre = %q
region = %q
roles = [%q]
data_dir = %q
configuration = "document"
[security]
private_network = true
[deployment]
address = %q
ports = [7600,7615]
seeds = [%s]
found = %v
%s
metrics_port = 9464
memory_mb = %d
lost_disks = 1
read_speed = 93.6
[deployment.regions]
"gijon-a" = "asturias"
"santander-a" = "cantabria"
"bilbao-a" = "euskadi"
[deployment.bounds]
revocation_ms = 5000
configuration_ms = 3000
grace_s = 8
directory_ttl_s = 5
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
rate_slack = 110000
cold_overrun = 1.5
cold_slack = 3
`, m.name, m.zone, regionOf[m.zone], role, dataDir, m.ip, strings.Join(seeds, ","), d.first, listen, m.memoryMB)
}

// start starts the process of a machine.
func (d *deployment) start(m *machine) error {
	d.startMu.Lock()
	defer d.startMu.Unlock()
	if d.closed {
		return errors.New("the case has ended")
	}
	path := filepath.Join(d.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program)
	c.Env = []string{"GERANIUMTURN_BOOT=" + path, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = c, exited
	m.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	d.first = false
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, exited := m.command, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

// close ends all processes of the deployment.
func (d *deployment) close() {
	close(d.stop)
	d.startMu.Lock()
	d.closed = true
	d.startMu.Unlock()
	for _, m := range d.machines {
		m.kill()
	}
	for _, r := range d.replicas {
		r.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(d.dir, keep)
	}
	_ = os.RemoveAll(d.dir)
}

// operatorClient waits a second for a response, on a new connection for each call.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends an order of the operator to core machines in turn, beginning with the given
// one, until one acknowledges it. It returns the time of the acknowledgement.
func (d *deployment) order(first int, method, path, body string) (time.Time, error) {
	cores := d.cores()
	deadline := time.Now().Add(20 * time.Second)
	for i := first; time.Now().Before(deadline); i++ {
		c := cores[i%len(cores)]
		req, err := http.NewRequest(method, "http://"+c.controlAddress()+path, bytes.NewReader([]byte(body)))
		if err != nil {
			return time.Time{}, err
		}
		req.Header.Set("Content-Type", "application/json")
		sent := time.Now()
		res, err := operatorClient.Do(req)
		if err != nil {
			d.record.add("operator %s %s at %s: no response after %d ms", method, path, c.name, time.Since(sent).Milliseconds())
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		d.record.add("operator %s %s at %s: %d", method, path, c.name, res.StatusCode)
		if res.StatusCode/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no acknowledgement of %s", path)
}

// awaitReady waits until all edge machines are ready.
func (d *deployment) awaitReady() error {
	for _, m := range d.edges() {
		if err := awaitMachineReady(m, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func awaitMachineReady(m *machine, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := operatorClient.Get("http://" + m.ready() + "/geraniumturn/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}
