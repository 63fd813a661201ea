package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// promptBytes keeps the head of a request below max_header_bytes of the configuration.
	promptBytes = 15_500
	// guests is the number of clients of the other tenant.
	guests = 16
	// maxPrompts bounds the requests of the guests.
	maxPrompts = 6000
	guestTime  = 75 * time.Second
)

// prompts lets the clients of one tenant describe their prompts in many parts while ordinary
// callers use other routes. Without trouble each prompt has two parts.
func prompts(d *deployment, trouble bool) (bool, error) {
	last := 50
	for i, region := range d.regions {
		for k := range []int{5, 3, 2}[i] {
			r, err := startReplica(d, fmt.Sprintf("i-model-%s-%d", region, k), "modelo", region, last, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			r.events = 3
			d.register(r)
			last++
		}
	}
	stream := route("r-chat", "/consulta/", "streaming", "modelo", 1)
	file := route("r-file", "/registro/", "non_idempotent", "registro", 1)
	file["target_latency_ms"] = 3000
	replicas, err := prepare(d, configuration([]object{file, stream}, []object{plainService("registro"), engineService("modelo")}), time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(guestTime)
	c := &callers{d: d, replicas: replicas, path: "/registro/cifra"}
	for i, region := range d.regions {
		c.start(d.host("edge-"+region), 20, 200+i, until)
	}
	d.record.note("the guests begin, trouble %v", trouble)
	g := &guestPrompts{d: d, trouble: trouble, until: until, tally: map[string]int{}}
	var all sync.WaitGroup
	for i := range guests {
		all.Go(func() { g.run(d.host("edge-"+d.regions[0]), 210+i) })
	}
	all.Wait()
	c.stopAt(time.Now().Add(2 * time.Second))
	c.done.Wait()
	kills, report := d.memoryKills()
	d.record.say("guests: %d requests, %v", g.sent, g.tally)
	d.record.say("processes:%s", report)
	d.record.say("ordinary callers: %v", c.tally)
	return kills > 0 && c.lost > maxLostRequests, nil
}

type guestPrompts struct {
	d       *deployment
	trouble bool
	until   time.Time

	mu    sync.Mutex
	sent  int
	tally map[string]int
}

// next reports whether another request is to be sent: until an entry host was killed.
func (g *guestPrompts) next() bool {
	kills, _ := g.d.memoryKills()
	g.mu.Lock()
	defer g.mu.Unlock()
	if kills > 0 || g.sent >= maxPrompts || !time.Now().Before(g.until) {
		return false
	}
	g.sent++
	return true
}

func (g *guestPrompts) run(entry *host, lastByte int) {
	var conn net.Conn
	var reader *bufio.Reader
	for g.next() {
		if conn == nil {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(g.d.address(lastByte))}}
			var err error
			if conn, err = dialer.Dial("tcp", entry.address(frontPort)); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		answer := g.send(conn, reader)
		g.mu.Lock()
		g.tally[answer]++
		g.mu.Unlock()
		if answer == "no answer" {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send sends one request with a shared part of 600 tokens and parts of its own.
func (g *guestPrompts) send(conn net.Conn, reader *bufio.Reader) string {
	var prefix bytes.Buffer
	prefix.WriteString("5c1e07a2:600")
	fmt.Fprintf(&prefix, ",%x:0", rand.Uint32())
	for n := 0; g.trouble && prefix.Len() < promptBytes; n++ {
		fmt.Fprintf(&prefix, ",%x:0", n%16)
	}
	id := newID()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second)) // a failure shows in the read
	_, _ = fmt.Fprintf(conn, "POST /consulta/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 600,10\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Milliseconds: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nhi",
		hostName, id, prefix.Bytes(), guestKey)
	res, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		return "no answer"
	}
	return fmt.Sprintf("answered %d", res.StatusCode)
}
