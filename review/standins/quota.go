package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The rate of the tenant, in tokens, is that of the example in PROTOCOL.md, and its burst is three
// seconds of it.
const (
	quotaRate    = 361_647
	quotaBurst   = 3 * quotaRate
	quotaWindow  = 8 * time.Second
	quotaOverrun = 0.1
	quotaSlack   = 110_000
	quotaCost    = 5_000
	// quotaEdges is the number of edge machines in gijon-a.
	quotaEdges = 8
	// quotaInterval is the time between the requests of the tenant at each edge machine: it
	// asks for more than five times its rate.
	quotaInterval  = 25 * time.Millisecond
	quotaQuietTime = 10 * time.Second
	quotaHotTime   = 9 * time.Second
	graceTime      = 8 * time.Second // grace_s
	restartDelay   = 500 * time.Millisecond
	// restartsAtOnce is how many machines are restarted at a time.
	restartsAtOnce = 3
	// edgeFreezeTime is the length of the freeze of a machine in the site file.
	edgeFreezeTime = 3500 * time.Millisecond
	// configurationDelay is the time from the start of the machines to the first
	// configuration, which comes before traffic starts.
	configurationDelay = 3 * time.Second
)

func quotaConfiguration() string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"t","host":"llegadas.example","path_prefix":"/tabla/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"registro","max_attempts":1}],
"services":[{"name":"registro","health_path":"/health","max_connections":1000,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-w"],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":%d,"burst":%d}]}`, quotaRate, quotaBurst)
}

// quotaLog has the runs of each tenant in the order of their arrival, and when the client
// sent each attempt.
type quotaLog struct {
	mu   sync.Mutex
	runs map[string][]quotaRun
	sent map[string]time.Time
}

type quotaRun struct {
	id string
	at time.Time
}

// most returns the most tokens of a tenant that were both sent and run within a window. It
// is enough to try the windows that begin when a request was sent.
func (l *quotaLog) most(tenant string) (tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs[tenant]
	for _, first := range runs {
		from, n := l.sent[first.id], 0
		for _, r := range runs {
			if sent := l.sent[r.id]; !sent.Before(from) && r.at.Sub(from) < quotaWindow {
				n++
			}
		}
		tokens = max(tokens, float64(n*quotaCost))
	}
	return tokens
}

func (l *quotaLog) recordSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

// runQuota lets a tenant ask for more than its rate, and freezes the edge machine that holds
// its region's part of the rate.
func runQuota(d *deployment, trouble bool) (bool, error) {
	log := &quotaLog{runs: map[string][]quotaRun{}, sent: map[string]time.Time{}}
	for n := 3; n <= quotaEdges; n++ {
		d.machines = append(d.machines, &machine{name: fmt.Sprintf("edge-gijon-a-%d", n), zone: "gijon-a", ip: fmt.Sprintf("%s.%d", d.subnet, 20+n), memoryMB: edgeMemoryMB["gijon-a"]})
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for zone := range regionOf {
		for i := range 2 {
			_, err := d.startReplica(fmt.Sprintf("i-%s-%d", zone, i), zone, "registro", 60, 5*time.Millisecond, func(r *replica, req *http.Request) {
				tenant := req.Header.Get("X-Tenant")
				d.record.add("replica %s runs %s of %s", r.id, req.Header.Get("X-Attempt-Id"), tenant)
				log.mu.Lock()
				defer log.mu.Unlock()
				log.runs[tenant] = append(log.runs[tenant], quotaRun{req.Header.Get("X-Attempt-Id"), time.Now()})
			})
			if err != nil {
				return false, err
			}
		}
	}
	time.Sleep(configurationDelay)
	if _, err := d.order(0, "POST", "/geraniumturn/configuration/replace", quotaConfiguration()); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	if err := d.restartAll(d.edges()); err != nil {
		return false, err
	}
	ask := call{method: "GET", path: "/tabla/1", key: "key-w", tokens: fmt.Sprintf("%d,0", quotaCost), deadline: time.Second, onSend: log.recordSent}
	holder, err := d.findHolder(ask)
	if err != nil {
		return false, err
	}
	d.record.say("%s holds the part of the rate of its region", holder.name)
	time.Sleep(quotaQuietTime)
	hotFrom := time.Now()
	d.startTraffic(func(client *http.Client, m *machine) bool { return send(client, m, ask).status == http.StatusOK }, quotaInterval)
	time.Sleep(2 * time.Second)
	if trouble {
		d.record.say("freeze %s", holder.name)
		holder.signal(syscall.SIGSTOP)
		time.Sleep(edgeFreezeTime)
		holder.signal(syscall.SIGCONT)
		d.record.say("thaw %s", holder.name)
	}
	time.Sleep(quotaHotTime)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverrun) + quotaSlack
	most := log.most("w")
	d.record.say("at most %.0f tokens of the tenant ran within %s, the bound is %.0f; the load took %.0f s", most, quotaWindow, bound, time.Since(hotFrom).Seconds())
	if most < quotaRate*quotaWindow.Seconds()/2 {
		return false, fmt.Errorf("the tenant was hardly served")
	}
	return most > bound, nil
}

// findHolder asks an edge machine of gijon-a for more than the tenant's rate until a refusal
// names the machine that holds the region's part of it.
func (d *deployment) findHolder(ask call) (*machine, error) {
	asked := d.find("edge-gijon-a-1")
	ask.tokens = fmt.Sprintf("%d,0", quotaBurst/4)
	client := newClient()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		a := send(client, asked, ask)
		if a.status != http.StatusTooManyRequests {
			d.record.add("%s: %d %v", asked.name, a.status, a.err)
			continue
		}
		_, after, _ := strings.Cut(a.body, "held by ")
		name, _, _ := strings.Cut(after, " is ")
		if name == "this host" {
			return asked, nil
		}
		return d.find(name), nil
	}
	return nil, fmt.Errorf("no refusal names the holder of the rate")
}

// restartAll restarts machines in planned work, a few at a time.
func (d *deployment) restartAll(machines []*machine) error {
	for i := 0; i < len(machines); i += restartsAtOnce {
		batch := machines[i:min(len(machines), i+restartsAtOnce)]
		errs := make(chan error, len(batch))
		for _, m := range batch {
			go func() { errs <- d.restartGracefully(m) }()
		}
		for range batch {
			if err := <-errs; err != nil {
				return err
			}
		}
	}
	return nil
}

// restartGracefully stops a machine with SIGTERM, as in planned work, and starts it again.
func (d *deployment) restartGracefully(m *machine) error {
	d.record.say("SIGTERM %s", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		m.kill()
	}
	time.Sleep(restartDelay)
	if err := d.start(m); err != nil {
		return err
	}
	return awaitMachineReady(m, 20*time.Second)
}
