package proctest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/ctl"
	"geraniumturn.example/geraniumturn/internal/quota"
	"geraniumturn.example/geraniumturn/internal/standin"
)

const (
	// StartTimeout bounds how long a host may take from its start to its first answer.
	StartTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond

	// Each host has an IP address of its own, so that all hosts can use the same ports. The
	// ports are below the ephemeral range, so that the port of a relay, which the system
	// chooses, never collides with them.
	httpPort = ":8080"
	peerPort = ":7000"

	operatorToken = "operator-token-of-the-test"
	// AnnounceToken is the bearer token of target announcements in every test fleet.
	AnnounceToken = "announce-token-of-the-test"
	digestKey     = "digest-key-of-the-test-fleet"
)

// Host describes one host of a test fleet.
type Host struct {
	Name       string
	DataCentre string
	Region     string
	// Control gives the host the control role and a data directory.
	Control bool
	// Disk gives the host a data directory without the control role.
	Disk bool
	// ExtraSettings holds TOML tables that are appended to the host's settings file.
	ExtraSettings string
	// Limits holds shell commands that lower the limits of the process before it starts.
	Limits string
}

// ExampleHosts returns the hosts that examples/cantabrico.rules is written for: four
// hosts in three data centres, three of them voters of the control log.
func ExampleHosts() []Host {
	return []Host{
		{Name: "gijon-1", DataCentre: "gijon-a", Region: "asturias", Control: true},
		{Name: "gijon-2", DataCentre: "gijon-a", Region: "asturias"},
		{Name: "santander-1", DataCentre: "santander-a", Region: "cantabria", Control: true},
		{Name: "bilbao-1", DataCentre: "bilbao-a", Region: "euskadi", Control: true},
	}
}

// Fleet is a set of running hosts.
type Fleet struct {
	t     testing.TB
	dir   string
	hosts []*process
	// relays holds, under "FROM>TO", the relay for peer connections that FROM opens to TO.
	relays map[string]*Relay
}

type process struct {
	Host
	ip, http, peer string
	cmd            *exec.Cmd
	exited         chan struct{}
	exitErr        error
	stderr         *os.File
}

var buildOnce struct {
	sync.Once
	dir string
	err error
}

// Binaries builds both programs once per test process and returns their directory.
func Binaries(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		buildOnce.dir, buildOnce.err = os.MkdirTemp("", "geraniumturn-bin-")
		if buildOnce.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", buildOnce.dir+"/", "geraniumturn.example/geraniumturn/cmd/...")
		if out, err := cmd.CombinedOutput(); err != nil {
			buildOnce.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if buildOnce.err != nil {
		t.Fatal(buildOnce.err)
	}
	return buildOnce.dir
}

var nextLoopback struct {
	sync.Mutex
	n int
}

// loopbackAddress returns a loopback IP address that no other fleet uses. The process
// id selects a range of 1,250 addresses for each test process.
func loopbackAddress() string {
	nextLoopback.Lock()
	defer nextLoopback.Unlock()
	nextLoopback.n++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 5*(pid/250%50)+nextLoopback.n/250%5, 1+nextLoopback.n%250)
}

// Start builds the binaries, starts all hosts, waits until they answer and initialises
// the control log. When the test ends, the hosts are stopped and their files removed.
func Start(t testing.TB, hosts []Host) *Fleet {
	t.Helper()
	f := &Fleet{t: t, dir: t.TempDir(), relays: map[string]*Relay{}}
	for _, h := range hosts {
		ip := loopbackAddress()
		f.hosts = append(f.hosts, &process{Host: h, ip: ip, http: ip + httpPort, peer: ip + peerPort})
	}
	f.startRelays()
	f.writeFiles()
	t.Cleanup(f.stopAll)
	for _, p := range f.hosts {
		f.Launch(p.Name)
	}
	for _, p := range f.hosts {
		f.AwaitHealthy(p.Name)
	}
	f.initialise()
	return f
}

// initialise runs geraniumctl init, and repeats it while a voter cannot be reached.
// ErrInitialised counts as success, since an earlier attempt may have succeeded.
func (f *Fleet) initialise() {
	f.t.Helper()
	Eventually(f.t, StartTimeout, func() error {
		var out strings.Builder
		err := f.Tool(&out).Init(context.Background())
		if err != nil && strings.Contains(err.Error(), control.ErrInitialised.Error()) {
			return nil
		}
		return err
	})
}

func (f *Fleet) startRelays() {
	for _, from := range f.hosts {
		for _, to := range f.hosts {
			if from == to {
				continue
			}
			r, err := NewRelay(from.ip+":0", to.peer)
			if err != nil {
				f.t.Fatal(err)
			}
			f.relays[from.Name+">"+to.Name] = r
		}
	}
}

func (f *Fleet) writeFiles() {
	for name, content := range map[string]string{"operator": operatorToken, "announce": AnnounceToken, "digest": digestKey} {
		f.writeFile(name, content)
	}
	for _, p := range f.hosts {
		f.writeFile(p.Name+".toml", f.settings(p))
	}
}

func (f *Fleet) writeFile(name, content string) {
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) settings(p *process) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("name = %q", p.Name)
	line("data_centre = %q", p.DataCentre)
	line("region = %q", p.Region)
	if p.Control {
		line(`roles = ["entry", "control"]`)
	}
	if p.Control || p.Disk {
		line("data_dir = %q", f.DataDir(p.Name))
	}
	line("[listen]\nhttp = %q\npeer = %q", p.http, p.peer)
	line("[control]\nvoters = [%s]", strings.Join(f.voters(), ", "))
	line("[security]\noperator_token_file = %q\nannounce_token_file = %q\ndigest_key_file = %q\nallow_plaintext_peers = true",
		f.dir+"/operator", f.dir+"/announce", f.dir+"/digest")
	for _, o := range f.hosts {
		if o != p {
			line("[[hosts]]\nname = %q\ndata_centre = %q\nregion = %q\nhttp = %q\npeer = %q",
				o.Name, o.DataCentre, o.Region, o.http, f.relays[p.Name+">"+o.Name].Address())
		}
	}
	line("%s", p.ExtraSettings)
	return b.String()
}

func (f *Fleet) voters() []string {
	var out []string
	for _, p := range f.hosts {
		if p.Control {
			out = append(out, fmt.Sprintf("%q", p.Name))
		}
	}
	return out
}

func (f *Fleet) process(name string) *process {
	f.t.Helper()
	for _, p := range f.hosts {
		if p.Name == name {
			return p
		}
	}
	f.t.Fatalf("no host %s", name)
	return nil
}

// DataDir returns the path of the host's data directory.
func (f *Fleet) DataDir(name string) string { return filepath.Join(f.dir, name) }

// HTTP returns the host's address for callers and operators.
func (f *Fleet) HTTP(name string) string { return f.process(name).http }

// OperatorToken returns the bearer token of operators in every test fleet.
func OperatorToken() string { return operatorToken }

// Names returns the names of all hosts.
func (f *Fleet) Names() []string {
	var out []string
	for _, p := range f.hosts {
		out = append(out, p.Name)
	}
	return out
}

// Stop kills all hosts before the test ends.
func (f *Fleet) Stop() { f.stopAll() }

// Addresses returns the HTTP addresses of all hosts.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, p := range f.hosts {
		out = append(out, p.http)
	}
	return out
}

// Launch starts the process of a host that is not running.
func (f *Fleet) Launch(name string) {
	f.t.Helper()
	p := f.process(name)
	stderr, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(Binaries(f.t), "geraniumturn"), "--settings", filepath.Join(f.dir, name+".toml"))
	if p.Limits != "" {
		cmd = exec.Command("/bin/sh", append([]string{"-c", p.Limits + ` && exec "$0" "$@"`}, cmd.Args...)...)
	}
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stderr = cmd, exited, stderr
	go func() {
		p.exitErr = cmd.Wait()
		_ = stderr.Close()
		close(exited)
	}()
}

// AwaitHealthy waits until the host answers /healthz.
func (f *Fleet) AwaitHealthy(name string) {
	f.t.Helper()
	p := f.process(name)
	Eventually(f.t, StartTimeout, func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited: %v\n%s", name, p.exitErr, f.Log(name))
		default:
		}
		response, err := http.Get("http://" + p.http + "/healthz")
		if err != nil {
			return err
		}
		return response.Body.Close()
	})
}

// Log returns everything that the host's processes have written to standard error.
func (f *Fleet) Log(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
	return string(data)
}

// LogPath returns the file with what Log returns.
func (f *Fleet) LogPath(name string) string { return filepath.Join(f.dir, name+".log") }

// Process returns the running process of a host, and a channel that is closed when it ends.
func (f *Fleet) Process(name string) (*exec.Cmd, chan struct{}) {
	p := f.process(name)
	return p.cmd, p.exited
}

// Kill sends SIGKILL to the host's process and waits for its exit.
func (f *Fleet) Kill(name string) { f.signalAndWait(name, syscall.SIGKILL) }

// Terminate sends SIGTERM to the host's process, waits for its exit and returns the
// exit error, which is nil for exit code 0.
func (f *Fleet) Terminate(name string) error {
	f.signalAndWait(name, syscall.SIGTERM)
	return f.process(name).exitErr
}

// Signal sends a signal such as SIGSTOP or SIGCONT. After SIGSTOP it waits until every
// thread has stopped, because a thread that still runs may answer a request.
func (f *Fleet) Signal(name string, signal syscall.Signal) {
	f.t.Helper()
	process := f.process(name).cmd.Process
	if err := process.Signal(signal); err != nil {
		f.t.Fatal(err)
	}
	if signal == syscall.SIGSTOP {
		Eventually(f.t, StartTimeout, func() error { return checkStopped(process.Pid) })
	}
}

// checkStopped returns an error while any thread of the process is still running.
func checkStopped(pid int) error {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return fmt.Errorf("no threads of process %d: %w", pid, err)
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		// The state follows the thread name, which is in parentheses.
		if afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:]); !strings.HasPrefix(afterName, " T") {
			return fmt.Errorf("%s: state%.2s", path, afterName)
		}
	}
	return nil
}

func (f *Fleet) signalAndWait(name string, signal syscall.Signal) {
	f.t.Helper()
	p := f.process(name)
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.t.Fatal(err)
	}
	<-p.exited
}

// RemoveData deletes the data directory of a stopped host.
func (f *Fleet) RemoveData(name string) {
	f.t.Helper()
	if err := os.RemoveAll(f.DataDir(name)); err != nil {
		f.t.Fatal(err)
	}
}

// Isolate cuts the peer connections between the named hosts and all others.
func (f *Fleet) Isolate(names ...string) {
	isolated := map[string]bool{}
	for _, n := range names {
		isolated[n] = true
	}
	f.eachRelay(func(from, to string, r *Relay) {
		if isolated[from] != isolated[to] {
			r.Cut()
		}
	})
}

// CutLink cuts the peer connections between two hosts.
func (f *Fleet) CutLink(a, b string) { f.eachRelayBetween(a, b, (*Relay).Cut) }

// HealLink restores the peer connections between two hosts.
func (f *Fleet) HealLink(a, b string) { f.eachRelayBetween(a, b, (*Relay).Heal) }

func (f *Fleet) eachRelayBetween(a, b string, do func(*Relay)) {
	f.eachRelay(func(from, to string, r *Relay) {
		if (from == a && to == b) || (from == b && to == a) {
			do(r)
		}
	})
}

// Heal restores all peer connections.
func (f *Fleet) Heal() { f.eachRelay(func(_, _ string, r *Relay) { r.Heal() }) }

// DelayBetweenDataCentres adds a one-way delay to peer traffic between data centres.
func (f *Fleet) DelayBetweenDataCentres(d time.Duration) {
	f.eachRelay(func(from, to string, r *Relay) {
		if f.process(from).DataCentre != f.process(to).DataCentre {
			r.Delay(d)
		}
	})
}

func (f *Fleet) eachRelay(do func(from, to string, r *Relay)) {
	for key, r := range f.relays {
		from, to, _ := strings.Cut(key, ">")
		do(from, to, r)
	}
}

// Admin returns a client of the admin API of the named hosts, or of all hosts if none
// is named.
func (f *Fleet) Admin(names ...string) *ctl.AdminClient {
	addresses := f.Addresses()
	if len(names) > 0 {
		addresses = nil
		for _, n := range names {
			addresses = append(addresses, f.HTTP(n))
		}
	}
	return &ctl.AdminClient{Hosts: addresses, Token: operatorToken}
}

// Tool returns a geraniumctl that runs its commands in this process, calls the named
// hosts (all if none is named) and writes its output to out.
func (f *Fleet) Tool(out *strings.Builder, names ...string) *ctl.Tool {
	return &ctl.Tool{Admin: f.Admin(names...), Operator: "test", Out: out}
}

// Apply applies the rules and waits until they are in force on all hosts.
func (f *Fleet) Apply(rules string) {
	f.t.Helper()
	f.writeFile("rules", rules)
	Eventually(f.t, StartTimeout, func() error {
		var out strings.Builder
		return f.Tool(&out).Apply(context.Background(), filepath.Join(f.dir, "rules"), 0, "", true)
	})
}

// Grant creates a caller key for the workspace and returns it when all hosts accept
// the key and hold their share of the workspace's rate.
func (f *Fleet) Grant(workspace string) string {
	f.t.Helper()
	var out strings.Builder
	if err := f.Tool(&out).Grant(context.Background(), workspace, true); err != nil {
		f.t.Fatal(err)
	}
	for _, p := range f.hosts {
		Eventually(f.t, StartTimeout, func() error { return f.checkShare(p, workspace) })
	}
	return strings.TrimSpace(out.String())
}

func (f *Fleet) checkShare(p *process, workspace string) error {
	var reports []quota.WorkspaceReport
	if err := f.Admin(p.Name).Call(context.Background(), http.MethodGet, "/admin/v1/quota", nil, &reports); err != nil {
		return err
	}
	for _, w := range reports {
		if w.Workspace == workspace && !w.Changing {
			return nil
		}
	}
	return fmt.Errorf("%s has no share of the rate of workspace %s", p.Name, workspace)
}

// StartTarget starts a simulated target that announces itself to the named hosts.
// Name, data centre and pool must be set in the config.
func (f *Fleet) StartTarget(config standin.Config, announceTo ...string) *standin.Target {
	f.t.Helper()
	config.Token = AnnounceToken
	if config.Listen == "" {
		config.Listen = loopbackAddress() + ":0"
	}
	if config.Slots == 0 {
		config.Slots = 8
	}
	for _, name := range announceTo {
		config.AnnounceTo = append(config.AnnounceTo, f.HTTP(name))
	}
	target, err := standin.Start(config)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() {
		cancel()
		target.Close()
	})
	go target.Run(ctx)
	return target
}

func (f *Fleet) stopAll() {
	for _, p := range f.hosts {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	for _, r := range f.relays {
		r.Close()
	}
	if f.t.Failed() {
		for _, p := range f.hosts {
			f.t.Logf("log of %s:\n%s", p.Name, f.Log(p.Name))
		}
	}
}

// Eventually repeats the check until it returns nil. It fails the test when the check
// still returns an error after the limit.
func Eventually(t testing.TB, limit time.Duration, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %v", limit, err)
		}
		time.Sleep(pollInterval)
	}
}
