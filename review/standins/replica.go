package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a sound replica of the platform: it echoes the attempt id, signs its
// responses, answers 421 to requests for another replica, and sends heartbeats.
type replica struct {
	id, zone, service string
	address           string
	born              int64
	slots             int
	work              time.Duration
	// onRun is called when the replica begins to run a request.
	onRun func(r *replica, req *http.Request)

	d        *deployment
	server   *http.Server
	sequence atomic.Uint64
	done     chan struct{} // closed when the heartbeats end
	once     sync.Once
}

func (d *deployment) startReplica(id, zone, service string, slots int, work time.Duration, onRun func(*replica, *http.Request)) (*replica, error) {
	l, err := net.Listen("tcp", d.subnet+".100:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, zone: zone, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work, onRun: onRun, d: d, done: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }()
	go r.beat()
	d.replicas = append(d.replicas, r)
	return r, nil
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
	if req.Header.Get("X-Target-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.onRun(r, req)
	time.Sleep(r.work)
	w.Header().Set("X-Response-Signature", "signed-by-"+r.id)
	fmt.Fprintf(w, "%s read %d bytes", r.id, len(body))
}

// beat sends heartbeats to the core machines: to one until it fails, then to the next.
func (r *replica) beat() {
	cores := r.d.cores()
	at := 0
	for i, c := range cores {
		if c.zone == r.zone {
			at = i
		}
	}
	for {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			r.service, r.address, r.zone, r.slots, r.sequence.Add(1), r.born)
		for range cores {
			res, err := operatorClient.Post("http://"+cores[at%len(cores)].controlAddress()+"/geraniumturn/instances/"+r.id+"/heartbeat", "application/json", strings.NewReader(body))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode/100 == 2 {
					break
				}
			}
			at++
		}
		select {
		case <-r.done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// stopBeats ends the heartbeats.
func (r *replica) stopBeats() { r.once.Do(func() { close(r.done) }) }

// close ends the replica.
func (r *replica) close() {
	r.stopBeats()
	_ = r.server.Close()
}
