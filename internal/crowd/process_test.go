package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
)

const (
	// descriptors is the limit of descriptors of each process.
	descriptors = 1000
	// memoryMB is the memory of each host of the document wiring.
	memoryMB = 40
	// rulesMemoryMB limits the data of the process of the rules wiring.
	rulesMemoryMB = 160
	maxBodyBytes  = 1 << 20
	key           = "key-of-the-test"
	callerTimeout = 20 * time.Second
	// retryDelay is the time after which an ordinary caller that is refused comes back.
	retryDelay = 500 * time.Millisecond
	// quietTime is how long a crowd may take to send its part.
	quietTime = 30 * time.Second
	// A process has settled when its memory and descriptors have not changed for settledTime.
	// What has not settled after settleTimeout is checked as it is.
	settledTime   = 500 * time.Millisecond
	settleTimeout = 5 * time.Second
)

// process is a process of the system under test.
type process struct {
	t        testing.TB
	name, ip string
	memoryMB int
	command  *exec.Cmd
	exited   chan struct{}
	log      string
}

// start runs the daemon with lowered limits of descriptors and, if dataMB is not 0, of data.
func start(t testing.TB, name, ip, settings string, memoryMB, dataMB int, dir string) *process {
	t.Helper()
	p := &process{t: t, name: name, ip: ip, memoryMB: memoryMB, exited: make(chan struct{}), log: filepath.Join(dir, name+".log")}
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	limits := fmt.Sprintf("ulimit -n %d && ", descriptors)
	if dataMB > 0 {
		limits += fmt.Sprintf("ulimit -s 256 && ulimit -d %d && ", dataMB<<10)
	}
	p.command = exec.Command("/bin/sh", "-c", limits+`exec "$0" --settings "$1"`, filepath.Join(proctest.Binaries(t), "geraniumturn"), path)
	p.command.Env = []string{"GOMAXPROCS=1"}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // how it ended is in its log
		_ = out.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
	return p
}

// resident returns the resident memory now and at its peak, in bytes, and the number of
// open descriptors.
func (p *process) resident() (now, peak int64, open int) {
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return 0, 0, 0
	}
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(f[1], 10, 64) // other lines are not numbers
		switch f[0] {
		case "VmRSS:":
			now = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	entries, err := os.ReadDir(dir + "fd")
	if err != nil {
		return 0, 0, 0
	}
	return now, peak, len(entries)
}

// settle waits until the process has done what the crowd has sent it, and returns the same
// as resident, with the most descriptors that were open meanwhile.
func (p *process) settle() (now, peak int64, most int) {
	const pollInterval = 50 * time.Millisecond
	var last [2]int64
	changed := time.Now()
	for end := changed.Add(settleTimeout); time.Now().Before(end) && time.Since(changed) < settledTime; time.Sleep(pollInterval) {
		var open int
		now, peak, open = p.resident()
		if state := [2]int64{peak, int64(open)}; state != last {
			last, changed = state, time.Now()
		}
		most = max(most, open)
	}
	return now, peak, most
}

// check fails the test unless the process lives, has stayed within its memory, has
// descriptors left, and one ordinary request is answered. One that is refused for now comes
// back.
func (p *process) check(ordinary func() error) {
	p.t.Helper()
	now, peak, open := p.settle()
	err := ordinary()
	for end := time.Now().Add(callerTimeout); errors.Is(err, errUnavailable) && time.Now().Before(end); err = ordinary() {
		p.t.Logf("%s: an ordinary request: %v", p.name, err)
		time.Sleep(retryDelay)
	}
	select {
	case <-p.exited:
		content, _ := os.ReadFile(p.log)
		p.t.Fatalf("%s has ended: %.300s", p.name, lastFault(string(content)))
	default:
	}
	later, peakLater, openLater := p.settle()
	p.t.Logf("%s: %d MB resident, at most %d MB of %d, %d descriptors of %d; after the request %d MB, at most %d, %d descriptors",
		p.name, now>>20, peak>>20, p.memoryMB, open, descriptors, later>>20, peakLater>>20, openLater)
	if peakLater > int64(p.memoryMB)<<20 {
		p.t.Errorf("%s: %d MB resident at the peak, limit %d", p.name, peakLater>>20, p.memoryMB)
	}
	if most := max(open, openLater); most > descriptors*9/10 {
		p.t.Errorf("%s: %d open descriptors of %d", p.name, most, descriptors)
	}
	if err != nil {
		p.t.Errorf("%s: an ordinary request: %v", p.name, err)
	}
}

func lastFault(log string) string {
	for _, mark := range []string{"fatal error:", "runtime:", "panic:"} {
		if i := strings.Index(log, mark); i >= 0 {
			return log[i:]
		}
	}
	return log[max(0, len(log)-300):]
}

// subnet returns the first three octets of loopback addresses that no other test uses.
func subnet() string {
	return fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
}

// documentHosts is a control host and an entry host whose configuration is a document, with
// one target.
type documentHosts struct {
	t              testing.TB
	control, entry *process
}

func startDocumentHosts(t testing.TB, memory int) *documentHosts {
	t.Helper()
	dir, net := t.TempDir(), subnet()
	d := &documentHosts{t: t}
	settings := func(role, ip string) string {
		return fmt.Sprintf(`name = %q
data_centre = "gijon-a"
region = "asturias"
roles = [%q]
data_dir = %q
configuration = "document"
[security]
private_network = true
[deployment]
address = %q
ports = [7100, 7110]
seeds = ["%s.1:8001"]
found = %v
front = "%[4]s:8000"
ready = "%[4]s:8004"
control = "%[4]s:8001"
directory = "%[4]s:8002"
memory_mb = %[7]d
lost_disks = 0
read_speed = 93.6
[deployment.regions]
gijon-a = "asturias"
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
`, role, role, filepath.Join(dir, role), ip, net, role == "control", memory)
	}
	d.control = start(t, "control", net+".1", settings("control", net+".1"), memory, 0, dir)
	d.entry = start(t, "entry", net+".2", settings("entry", net+".2"), memory, 0, dir)
	d.startTarget()
	proctest.Eventually(t, proctest.StartTimeout, func() error { return d.replace(1) })
	proctest.Eventually(t, proctest.StartTimeout, func() error { return d.call([]byte("b")) })
	return d
}

func (d *documentHosts) configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","path_prefix":"/","kind":"idempotent","timeout_ms":15000,"target_latency_ms":400,"service":"app","max_attempts":1}],
"services":[{"name":"app","health_path":"/health","max_connections":1000}],
"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"w","api_keys":[%q],"rate_per_s":0}]}`, version, d.maxBody(), key)
}

// maxBody is the largest body of a request: that of the users where the memory is theirs.
func (d *documentHosts) maxBody() int {
	if d.entry.memoryMB > memoryMB {
		return 4 << 20
	}
	return maxBodyBytes
}

func (d *documentHosts) replace(version int) error {
	return post("http://"+d.control.ip+":8001/geraniumturn/configuration/replace", []byte(d.configuration(version)), nil)
}

// call sends an ordinary request with a body to the entry host.
func (d *documentHosts) call(body []byte) error {
	return post("http://"+d.entry.ip+":8000/x", body, http.Header{"Authorization": {"Bearer " + key}, "X-Attempt-Id": {"a"}, "X-Deadline-Milliseconds": {"15000"}})
}

// head returns the head of a request of the crowd without its end.
func (d *documentHosts) head(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: c%d\r\nX-Deadline-Milliseconds: 15000\r\n", path, key, rand.Uint64())
}

// largeResponse is the size of a response that the target gives on /large.
const largeResponse = 4 << 20

func targetHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the count of bytes is of no use here
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "s")
	if strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = w.Write(make([]byte, largeResponse)) // fails when the host gives up
		return
	}
	fmt.Fprint(w, "answer")
}

// startTarget starts a target that sends heartbeats until the test ends.
func (d *documentHosts) startTarget() {
	server := httptest.NewServer(http.HandlerFunc(targetHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	born := time.Now().UnixMilli()
	go func() {
		defer close(done)
		for sequence := 1; ctx.Err() == nil; sequence++ {
			body := fmt.Sprintf(`{"service":"app","address":%q,"zone":"gijon-a","version":"v1","slots":1000,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
				strings.TrimPrefix(server.URL, "http://"), sequence, born)
			_ = post("http://"+d.control.ip+":8001/geraniumturn/instances/i-1/heartbeat", []byte(body), nil) // the next one follows
			time.Sleep(200 * time.Millisecond)
		}
	}()
	d.t.Cleanup(func() { cancel(); <-done; server.CloseClientConnections(); server.Close() })
}

// errUnavailable is the error of a request that is refused for now.
var errUnavailable = errors.New("refused for now")

// post sends a request on a connection of its own. It is not sent again.
func post(url string, body []byte, header http.Header) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if header != nil {
		r.Header = header
		r.Host = "a.example"
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusServiceUnavailable {
		return fmt.Errorf("%w: %.100s", errUnavailable, content)
	}
	if err != nil || res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %.100s, %v", res.StatusCode, content, err)
	}
	return nil
}

// rulesHost is one host whose configuration is a rules file, with one target.
type rulesHost struct {
	t testing.TB
	*process
	key string
}

func startRulesHost(t testing.TB) *rulesHost {
	t.Helper()
	f := proctest.Start(t, []proctest.Host{{Name: "gijon-1", DataCentre: "gijon-a", Region: "asturias", Control: true,
		Limits: fmt.Sprintf(`ulimit -n %d && ulimit -s 256 && ulimit -d %d`, descriptors, rulesMemoryMB<<10)}})
	f.Apply(rules)
	h := &rulesHost{t: t, key: f.Grant("ferris")}
	command, exited := f.Process("gijon-1")
	host, _, err := net.SplitHostPort(f.HTTP("gijon-1"))
	if err != nil {
		t.Fatal(err)
	}
	h.process = &process{t: t, name: "gijon-1", ip: host, memoryMB: rulesMemoryMB, command: command, exited: exited, log: f.LogPath("gijon-1")}
	server := httptest.NewServer(http.HandlerFunc(targetHandler))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f.Announce(announcement(strings.TrimPrefix(server.URL, "http://")), "gijon-1")
	proctest.Eventually(t, proctest.StartTimeout, func() error { return h.call([]byte("b")) })
	return h
}

const rules = `workspace ferris rate=10000/s burst=200000 # test
pool registro kind=service # test
route /registro/* pool=registro idempotent=yes class=interactive timeout=60s # test
`

func (h *rulesHost) call(body []byte) error {
	return post("http://"+h.ip+":8080/registro/a", body, http.Header{"Authorization": {"Bearer " + h.key}})
}

func (h *rulesHost) head(path string) string {
	return fmt.Sprintf("POST /registro%s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\n", path, h.key)
}
