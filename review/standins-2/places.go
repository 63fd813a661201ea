package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleClients are more than the connections that an entry host with 136 MB takes.
	idleClients = 1700
	// idleLimit is idle_timeout_ms of the configuration, contact is contact_ms.
	idleLimit = 15 * time.Second
	contact   = 6 * time.Second
	// tryTime is the span in which new clients try.
	tryTime    = contact + time.Second
	newClients = 10
)

// places lets clients without keys connect to one entry host, each from an address of its own. Each
// gets its answer, 401, and stays idle for longer than the configuration allows. Then new
// clients try to connect. Without trouble the first clients close their connections once they
// have their answer.
func places(d *deployment, trouble bool) (bool, error) {
	if _, err := prepare(d, configuration([]object{route("r-file", "/registro/", "non_idempotent", "registro", 1)}, []object{plainService("registro")}), 30*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	entry := d.host("edge-fiji")
	if status, err := fileOnce(entry, "/registro/cifra", newID()); status != http.StatusOK {
		return false, fmt.Errorf("the deployment does not serve: %d, %w", status, err)
	}
	d.record.note("%d clients connect, trouble %v", idleClients, trouble)
	tally := &count{}
	leave := make(chan struct{})
	var idle, answered sync.WaitGroup
	for i := range idleClients {
		answered.Add(1)
		idle.Go(func() { idleClient(entry, i, trouble, tally, &answered, leave) })
		time.Sleep(time.Millisecond)
	}
	answered.Wait()
	d.record.say("idle clients: %v", tally.all())
	time.Sleep(idleLimit + time.Second)
	d.record.note("new clients try")
	tries, began := &count{}, time.Now()
	var all sync.WaitGroup
	for range newClients {
		all.Go(func() {
			for time.Since(began) < tryTime {
				status, err := fileOnce(entry, "/registro/cifra", newID())
				d.record.note("a new client gets %d, %v", status, err)
				if err != nil {
					tries.add("no answer")
				} else {
					tries.add(fmt.Sprintf("answered %d", status))
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	ready := &count{}
	for time.Since(began) < tryTime {
		ready.add(fmt.Sprint(readiness(entry)))
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	close(leave)
	idle.Wait()
	d.record.say("readiness: %v; tries of %d new clients in %v: %v", ready.all(), newClients, tryTime, tries.all())
	none := len(tries.all()) == 1 && tries.all()["no answer"] > 0
	return none && len(ready.all()) == 1 && ready.all()["200"] > 0, nil
}

// readiness is the status of the readiness check of an entry host.
func readiness(entry *host) int {
	res, err := operator.Get("http://" + entry.address(readyPort) + "/geraniumturn/ready")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// idleClient sends one request and then nothing more until leave is closed.
func idleClient(entry *host, i int, stays bool, tally *count, answered *sync.WaitGroup, leave chan struct{}) {
	outcome := "no answer"
	done := func() {
		tally.add(outcome)
		answered.Done()
	}
	dialer := net.Dialer{Timeout: 3 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 60, byte(i/250), byte(1+i%250))}}
	conn, err := dialer.Dial("tcp", entry.address(frontPort))
	if err != nil {
		done()
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // a failure shows in the read
	_, _ = fmt.Fprintf(conn, "GET /registro/cifra HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 5000\r\n\r\n", hostName, newID())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err == nil {
		outcome = fmt.Sprintf("answered %d", res.StatusCode)
	}
	done()
	if err == nil && stays {
		<-leave
	}
}

// count counts outcomes. It is safe for concurrent use.
type count struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *count) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[what]++
}

func (c *count) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.n {
		out[k] = v
	}
	return out
}
