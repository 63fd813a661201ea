package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainBound = 3 * time.Second // drain_ms
	// coreRestartDelay is how long the killed core machine is down. The longest for_s of
	// after_ack_kill in the site file is 3 s.
	coreRestartDelay = time.Second
	// lingerTime is how long the replica goes on serving after its departure was
	// acknowledged: drain_ms and then some seconds.
	lingerTime = 14 * time.Second
)

// deregister announces the departure of a replica to a core machine, and stops its
// heartbeats. The replica goes on serving.
func (r *replica) deregister(core *machine) (time.Time, error) {
	r.stopBeats()
	res, err := operatorClient.Post("http://"+core.controlAddress()+"/geraniumturn/instances/"+r.id+"/deregister", "application/json", strings.NewReader(fmt.Sprintf(`{"born":%d}`, r.born)))
	if err != nil {
		return time.Time{}, err
	}
	acknowledged := time.Now()
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		return time.Time{}, fmt.Errorf("%s answered the departure of %s with %d", core.name, r.id, res.StatusCode)
	}
	return acknowledged, nil
}

// runDeparture lets the only replica of a service in one region leave, and kills the core
// machine that has just acknowledged it.
func runDeparture(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	arrived := map[string][]time.Time{}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for zone := range regionOf {
		_, err := d.startReplica("i-"+zone, zone, "registro", 6, 20*time.Millisecond, func(r *replica, req *http.Request) {
			d.record.add("replica %s runs %s", r.id, req.Header.Get("X-Attempt-Id"))
			mu.Lock()
			defer mu.Unlock()
			arrived[r.id] = append(arrived[r.id], time.Now())
		})
		if err != nil {
			return false, err
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
	}, 60*time.Millisecond)
	time.Sleep(6 * time.Second)
	core := d.find("core-gijon-a-1")
	var leaving *replica
	for _, r := range d.replicas {
		if r.zone == core.zone {
			leaving = r
		}
	}
	acknowledged, err := leaving.deregister(core)
	if err != nil {
		return false, err
	}
	from := acknowledged.Add(drainBound)
	if trouble {
		core.kill()
		d.record.say("%s acknowledged the departure of %s and was killed %d ms later", core.name, leaving.id, time.Since(acknowledged).Milliseconds())
		time.Sleep(coreRestartDelay)
		if err := d.start(core); err != nil {
			return false, err
		}
		from = time.Now().Add(contactTime + 300*time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(lingerTime)))
	leaving.close()
	mu.Lock()
	defer mu.Unlock()
	late, before := 0, 0
	var last time.Time
	for _, at := range arrived[leaving.id] {
		if at.Before(acknowledged) {
			before++
		}
		if at.After(from) {
			late++
		}
		last = at
	}
	d.record.say("%d requests reached %s before it left, and %d later than %.1f s after the acknowledgement, the last after %.1f s", before, leaving.id, late, from.Sub(acknowledged).Seconds(), last.Sub(acknowledged).Seconds())
	if before < 50 || served() < 200 {
		return false, fmt.Errorf("too few requests were served")
	}
	return late > 0, nil
}
