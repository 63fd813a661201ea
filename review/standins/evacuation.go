package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	evacuationBound = 5 * time.Second // evacuation_ms
	contactTime     = 5 * time.Second // contact_ms
	// freezeTime is within the longest freeze of a core machine in the site file, 7.6 s.
	freezeTime  = 6500 * time.Millisecond
	observeTime = 4 * time.Second
)

// evacuatedZones are evacuated together; the third zone serves meanwhile.
var evacuatedZones = []string{"bilbao-a", "santander-a"}

const tableConfiguration = `{"version":1,"routes":[{"name":"t","host":"llegadas.example","path_prefix":"/tabla/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"registro","max_attempts":2}],
"services":[{"name":"registro","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-w"],"priority":1,"rate_per_s":0,"burst":0}]}`

// evacuationLog has what reached the replicas of the evacuated zone.
type evacuationLog struct {
	mu      sync.Mutex
	arrived []time.Time
}

func (l *evacuationLog) between(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrived {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// runEvacuation evacuates a zone, takes that back while a core machine is frozen, and
// evacuates the zone again. Each core machine is the frozen one in turn.
func runEvacuation(d *deployment, trouble bool) (bool, error) {
	log := &evacuationLog{}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for zone := range regionOf {
		for i := range 2 {
			_, err := d.startReplica(fmt.Sprintf("i-%s-%d", zone, i), zone, "registro", 6, 20*time.Millisecond, func(r *replica, req *http.Request) {
				d.record.add("replica %s runs %s", r.id, req.Header.Get("X-Attempt-Id"))
				if slices.Contains(evacuatedZones, r.zone) {
					log.mu.Lock()
					defer log.mu.Unlock()
					log.arrived = append(log.arrived, time.Now())
				}
			})
			if err != nil {
				return false, err
			}
		}
	}
	if _, err := d.order(0, "POST", "/geraniumturn/configuration/replace", tableConfiguration); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	served := d.startTraffic(func(client *http.Client, m *machine) bool {
		return send(client, m, call{method: "GET", path: "/tabla/1", key: "key-w", deadline: 4 * time.Second}).status == http.StatusOK
	}, 40*time.Millisecond)
	time.Sleep(4 * time.Second)
	if log.between(time.Time{}, time.Now()) == 0 {
		return false, fmt.Errorf("no request reached the zones before their evacuation")
	}
	isBroken := false
	for frozen := range d.cores() {
		late, err := d.evacuateTwice(frozen, trouble, log)
		if err != nil {
			return false, err
		}
		isBroken = isBroken || late > 0
	}
	if n := served(); n < 1000 {
		return false, fmt.Errorf("only %d requests were served", n)
	}
	return isBroken, nil
}

// evacuateTwice returns how many requests reached the zone while its second evacuation was
// in force for longer than the bound and all machines were in touch.
func (d *deployment) evacuateTwice(frozen int, trouble bool, log *evacuationLog) (int, error) {
	core := d.cores()[frozen]
	if _, err := d.orderZones(frozen+1, "begin"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	thaw := time.Now().Add(freezeTime)
	if trouble {
		d.record.say("freeze %s", core.name)
		core.signal(syscall.SIGSTOP)
	}
	if _, err := d.orderZones(frozen, "finish"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	acknowledged, err := d.orderZones(frozen+1, "begin")
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(thaw))
	if trouble {
		d.record.say("thaw %s", core.name)
		core.signal(syscall.SIGCONT)
	}
	from := thaw.Add(contactTime + 200*time.Millisecond)
	if bound := acknowledged.Add(evacuationBound); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from.Add(observeTime)))
	late := log.between(from, time.Now())
	d.record.say("%s frozen: %d requests reached an evacuated zone later than %.1f s after the acknowledgement", core.name, late, from.Sub(acknowledged).Seconds())
	if _, err := d.orderZones(frozen+1, "finish"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	return late, nil
}

// orderZones sends an order for each of the evacuated zones at once. It returns the time of
// the last acknowledgement.
func (d *deployment) orderZones(first int, order string) (time.Time, error) {
	type outcome struct {
		at  time.Time
		err error
	}
	outcomes := make(chan outcome)
	for _, z := range evacuatedZones {
		go func() {
			at, err := d.order(first, "POST", "/geraniumturn/evacuation/"+z+"/"+order, "")
			outcomes <- outcome{at, err}
		}()
	}
	var last time.Time
	var err error
	for range evacuatedZones {
		o := <-outcomes
		err = errors.Join(err, o.err)
		if o.at.After(last) {
			last = o.at
		}
	}
	return last, err
}

// startTraffic calls send for each edge machine in turn, at an interval, until the
// deployment is closed. The function that it returns tells how many calls were served.
func (d *deployment) startTraffic(send func(*http.Client, *machine) bool, interval time.Duration) (served func() int) {
	var mu sync.Mutex
	n := 0
	for _, m := range d.edges() {
		client := newClient()
		go func() {
			for {
				select {
				case <-d.stop:
					return
				case <-time.After(interval):
				}
				go func() {
					if send(client, m) {
						mu.Lock()
						defer mu.Unlock()
						n++
					}
				}()
			}
		}()
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}
