package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// recovery is recovery_s of the settings.
	recovery = 12 * time.Second
	// phaseRequests is the number of requests before and after the final fault.
	phaseRequests = 60
)

// strangers lets another writer send one heartbeat for the address of each filing replica, with a
// service that the configuration does not have. Then all processes are killed and start again, as
// in a final fault. Without trouble there is only the final fault.
func strangers(d *deployment, trouble bool) (bool, error) {
	replicas, err := prepare(d, configuration([]object{route("r-file", "/registro/", "non_idempotent", "registro", 1)}, []object{plainService("registro")}), 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	before := d.served("before the final fault")
	if trouble {
		for i, r := range replicas {
			body := fmt.Appendf(nil, `{"service":"unknown7a","address":%q,"zone":"%s-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, r.address, r.region, time.Now().UnixMilli())
			status, err := post(d.hosts[2*i].address(controlPort), "/geraniumturn/instances/i-stranger-"+r.region+"/heartbeat", body)
			d.record.note("another writer's heartbeat for the address of %s gets %d, %v: %s", r.id, status, err, body)
		}
		time.Sleep(2 * time.Second)
		d.served("after the heartbeats of the other writer")
	}
	d.record.note("all processes are killed")
	d.mu.Lock()
	for _, h := range d.hosts {
		_ = syscall.Kill(h.command.Process.Pid, syscall.SIGKILL)
	}
	d.mu.Unlock()
	time.Sleep(restartDelay + recovery + time.Second)
	after := d.served("later than recovery_s after all processes are back")
	return 4*before >= phaseRequests && 4*after < phaseRequests, nil
}

// served sends requests to all entry hosts in turn and returns how many are served.
func (d *deployment) served(when string) (n int) {
	for i := range phaseRequests {
		entry, id := d.host("edge-"+d.regions[i%len(d.regions)]), newID()
		status, err := fileOnce(entry, "/registro/cifra", id)
		d.record.note("%s sent to %s gets %d, %v", id, entry.name, status, err)
		if status == http.StatusOK {
			n++
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.record.say("%s: %d of %d requests served", when, n, phaseRequests)
	return n
}
