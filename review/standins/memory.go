package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	uploadBytes = 4 << 20 // max_body_bytes of the configuration
	// uploadTime is how long a client takes to send its body. All clients of a burst together
	// stay below the 1,500 Mbit/s of a machine's link.
	uploadTime = 3 * time.Second
	// usualUploads is the number of clients at each edge machine, and burstFactor that of a
	// burst in the site file, which takes burstTime.
	usualUploads = 40
	burstFactor  = 2.5
	burstTime    = 10 * time.Second
	memoryPoll   = 20 * time.Millisecond
	// The rule: on a tenth of the machines, two at least, three ends each.
	faultMachines = 2
	faultEnds     = 3
)

const uploadConfiguration = `{"version":1,"routes":[{"name":"t","host":"llegadas.example","path_prefix":"/foto/","kind":"idempotent","timeout_ms":12000,"target_latency_ms":6000,"priority":0,"service":"registro","max_attempts":1}],
"services":[{"name":"registro","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-w"],"priority":1,"rate_per_s":0,"burst":0}]}`

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// memoryGuard kills processes that use more memory than their machine has, and restarts
// them, as the platform does.
type memoryGuard struct {
	d          *deployment
	mu         sync.Mutex
	ends, peak map[string]int
}

func (g *memoryGuard) watch(m *machine) {
	for {
		select {
		case <-g.d.stop:
			return
		case <-time.After(memoryPoll):
		}
		mb := residentMB(m.pid())
		g.mu.Lock()
		g.peak[m.name] = max(g.peak[m.name], mb)
		g.mu.Unlock()
		if mb <= m.memoryMB {
			continue
		}
		g.d.record.say("%s uses %d MB of %d and is killed", m.name, mb, m.memoryMB)
		m.kill()
		g.mu.Lock()
		g.ends[m.name]++
		g.mu.Unlock()
		time.Sleep(restartDelay)
		if err := g.d.start(m); err != nil {
			g.d.record.say("%v", err)
			return
		}
	}
}

// upload sends one request whose body takes uploadTime. It reports whether it was served.
func (d *deployment) upload(m *machine) bool {
	id := newAttemptID()
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	const parts = 40
	part := bytes.Repeat([]byte("x"), uploadBytes/parts)
	fmt.Fprintf(conn, "POST /foto/1 HTTP/1.1\r\nHost: llegadas.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 12000\r\nAuthorization: Bearer key-w\r\nContent-Length: %d\r\n\r\n", id, parts*len(part))
	began := time.Now()
	for i := range parts {
		if _, err := conn.Write(part); err != nil {
			d.record.add("client %s at %s: %v", id, m.name, err)
			return false
		}
		time.Sleep(time.Until(began.Add(uploadTime * time.Duration(i+1) / parts)))
	}
	buffer := make([]byte, 512)
	n, err := conn.Read(buffer)
	status, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
	d.record.add("client %s at %s: %s %v", id, m.name, status, err)
	return strings.HasPrefix(status, "HTTP/1.1 200")
}

// runMemory lets many clients send bodies of the size that the configuration allows.
func runMemory(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	for zone := range regionOf {
		for i := range 3 {
			if _, err := d.startReplica(fmt.Sprintf("i-%s-%d", zone, i), zone, "registro", 30, 15*time.Millisecond, func(r *replica, req *http.Request) {
				d.record.add("replica %s runs %s", r.id, req.Header.Get("X-Attempt-Id"))
			}); err != nil {
				return false, err
			}
		}
	}
	if _, err := d.order(0, "POST", "/geraniumturn/configuration/replace", uploadConfiguration); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	guard := &memoryGuard{d: d, ends: map[string]int{}, peak: map[string]int{}}
	for _, m := range d.edges() {
		go guard.watch(m)
	}
	time.Sleep(3 * time.Second)
	served := d.uploadAll(usualUploads, burstTime, true)
	d.record.say("%d uploads were served at the usual load", served)
	if served < 100 {
		return false, fmt.Errorf("too few uploads were served")
	}
	if trouble {
		served = d.uploadAll(int(usualUploads*burstFactor), burstTime, false)
		d.record.say("%d uploads were served in the burst", served)
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	machines := 0
	for _, n := range guard.ends {
		if n >= faultEnds {
			machines++
		}
	}
	d.record.say("processes ended for their memory: %v; most memory in MB: %v", guard.ends, guard.peak)
	return machines >= faultMachines, nil
}

// uploadAll lets clients at each edge machine send uploads, one after the other, for a time.
// They begin one by one or all at once. It returns how many uploads were served.
func (d *deployment) uploadAll(clients int, duration time.Duration, spread bool) (served int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for _, m := range d.edges() {
		for i := range clients {
			all.Go(func() {
				if spread {
					time.Sleep(uploadTime * time.Duration(i) / time.Duration(clients))
				}
				for time.Now().Before(end) {
					if d.upload(m) {
						mu.Lock()
						served++
						mu.Unlock()
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	all.Wait()
	return served
}
