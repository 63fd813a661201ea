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

// replica is a sound replica that serves one request at a time on each connection. The trials
// make it lose answers.
type replica struct {
	id, service, region, address string
	record                       *record
	work                         time.Duration
	// events is the number of events of an answer; 0 for an answer with a length.
	events int
	// losesAnswer tells whether a request runs and its connection is reset instead of an answer;
	// nil for never.
	losesAnswer func(r *http.Request) bool

	mu   sync.Mutex
	runs map[string]int // by attempt id
}

func startReplica(d *deployment, id, service, region string, last int, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", d.address(last)+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, region: region, address: l.Addr().String(), record: d.record, work: work, runs: map[string]int{}}
	go func() {
		<-d.stop
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the deployment is closed
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(c, request) {
			return
		}
	}
}

// answer reports whether the connection stays open.
func (r *replica) answer(c net.Conn, request *http.Request) bool {
	if request.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		return err == nil
	}
	id := request.Header.Get("X-Attempt-Id")
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return err == nil
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	if r.events == 0 {
		r.record.note("%s (%s) runs %s %s %s", r.id, r.service, id, request.Method, request.RequestURI)
	}
	time.Sleep(r.work)
	if r.losesAnswer != nil && r.losesAnswer(request) {
		r.record.note("%s has run %s and its connection is reset", r.id, id)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: run.%s.%s\r\n", id, r.id, id)
	body, kind := "filed by "+r.service+"\n", "text/plain"
	if r.events > 0 {
		body, kind = "", "text/event-stream"
		for i := range r.events {
			body += fmt.Sprintf("id: %d\ndata: word\n\n", i+1)
		}
	}
	_, err := fmt.Fprintf(c, "%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", head, kind, len(body), body)
	return err == nil
}

// ran returns how often a request has run.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
