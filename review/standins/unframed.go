package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents   = 50
	streamInterval = 160 * time.Millisecond // 8 s a stream, below the deadline of 12 s
	streamClients  = 10                     // at each edge machine
	streamsFor     = 24 * time.Second
	// lostAllowance is the number of requests that the rule excuses.
	lostAllowance = 3
)

const streamConfiguration = `{"version":1,"routes":[{"name":"t","host":"llegadas.example","path_prefix":"/tabla/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"modelo","max_attempts":2},
{"name":"s","host":"llegadas.example","path_prefix":"/resumen/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"priority":0,"service":"modelo","max_attempts":2,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"modelo","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-w"],"priority":1,"rate_per_s":0,"burst":0}]}`

// streamReplica is a replica whose streams have no length and end with their connection. It
// shuts down as a sound server does: it closes its listener, completes its streams and exits.
type streamReplica struct {
	*replica
	listener net.Listener
	open     sync.WaitGroup
	mu       sync.Mutex
	idle     map[net.Conn]bool // connections that wait for a request
	leaving  bool
	complete map[string]bool // attempts whose whole answer was written and closed in order
}

func (d *deployment) startStreamReplica(zone string) (*streamReplica, error) {
	l, err := net.Listen("tcp", d.subnet+".100:0")
	if err != nil {
		return nil, err
	}
	s := &streamReplica{listener: l, idle: map[net.Conn]bool{}, complete: map[string]bool{}}
	s.replica = &replica{id: "i-" + zone, zone: zone, service: "modelo", address: l.Addr().String(), born: time.Now().UnixMilli(), slots: 64, d: d, done: make(chan struct{}), server: &http.Server{}}
	d.replicas = append(d.replicas, s.replica)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serveConn(conn)
		}
	}()
	go s.beat()
	return s, nil
}

func (s *streamReplica) serveConn(conn net.Conn) {
	defer s.open.Done()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if !s.setIdle(conn, true) {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.setIdle(conn, false)
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		id := req.Header.Get("X-Attempt-Id")
		if req.Header.Get("X-Target-Instance") != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		s.d.record.add("replica %s runs %s", s.id, id)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\n", id, s.id)
		if !strings.HasPrefix(req.URL.Path, "/resumen/") {
			fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
			continue
		}
		fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", head)
		for i := range streamEvents {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", i+1, i+1); err != nil {
				s.d.record.add("replica %s: %s broke off: %v", s.id, id, err)
				return
			}
			time.Sleep(streamInterval)
		}
		s.mu.Lock()
		s.complete[id] = true
		s.mu.Unlock()
		s.d.record.add("replica %s: %s is complete", s.id, id)
		return
	}
}

// setIdle records whether a connection waits for a request. It reports false if the replica
// is shutting down.
func (s *streamReplica) setIdle(conn net.Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		s.idle[conn] = true
	} else {
		delete(s.idle, conn)
	}
	return !s.leaving
}

// closeIdle closes the connections that wait for a request.
func (s *streamReplica) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.idle {
		_ = c.Close()
	}
}

// leave reports that the replica is draining, serves on for drain_ms and a little longer,
// and then shuts down.
func (s *streamReplica) leave(core *machine) error {
	s.stopBeats()
	post := func(call, body string) error {
		res, err := operatorClient.Post("http://"+core.controlAddress()+"/geraniumturn/instances/"+s.id+"/"+call, "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		_ = res.Body.Close()
		if res.StatusCode/100 != 2 {
			return fmt.Errorf("%s: %d", call, res.StatusCode)
		}
		return nil
	}
	err := post("heartbeat", fmt.Sprintf(`{"service":"modelo","address":%q,"zone":%q,"version":"v1","slots":64,"state":"draining","cold_remaining_ms":0,"sequence":%d,"born":%d}`, s.address, s.zone, s.sequence.Add(1), s.born))
	if err != nil {
		return err
	}
	s.d.record.say("%s is draining", s.id)
	time.Sleep(drainBound + 500*time.Millisecond)
	err = post("deregister", fmt.Sprintf(`{"born":%d}`, s.born))
	_ = s.listener.Close()
	s.closeIdle()
	s.d.record.say("%s has closed its listener and completes its streams", s.id)
	s.open.Wait()
	s.d.record.say("%s has exited", s.id)
	return err
}

// runUnframed lets a replica with open streams leave in order.
func runUnframed(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	var replicas []*streamReplica
	for _, zone := range []string{"gijon-a", "santander-a", "bilbao-a"} {
		s, err := d.startStreamReplica(zone)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, s)
	}
	if _, err := d.order(0, "POST", "/geraniumturn/configuration/replace", streamConfiguration); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	var clients sync.WaitGroup
	whole, cut := 0, map[string]string{}
	end := time.Now().Add(streamsFor)
	for _, m := range d.edges() {
		for i := range streamClients {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 800 * time.Millisecond)
				for time.Now().Before(end.Add(-9 * time.Second)) {
					id, events, err := d.readStream(m)
					mu.Lock()
					if err == nil {
						whole++
					} else if events > 0 {
						cut[id] = fmt.Sprintf("%s: %d events, then %v", m.name, events, err)
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(9 * time.Second)
	// Planned work: the settings of all edge machines have changed.
	for _, m := range d.edges() {
		d.record.add("SIGHUP %s", m.name)
		m.signal(syscall.SIGHUP)
	}
	if trouble {
		if err := replicas[0].leave(d.find("core-gijon-a-1")); err != nil {
			return false, err
		}
	}
	clients.Wait()
	lost := 0
	for id, what := range cut {
		answered := false
		for _, s := range replicas {
			s.mu.Lock()
			answered = answered || s.complete[id]
			s.mu.Unlock()
		}
		if answered {
			lost++
		}
		d.record.add("cut %s: %s, the replica's answer was whole: %v", id, what, answered)
	}
	d.record.say("%d streams were whole; %d whole streams of a sound replica ended with a closed connection, %d are excused", whole, lost, lostAllowance)
	if whole < 20 {
		return false, errors.New("too few streams were served")
	}
	return lost > lostAllowance, nil
}

// readStream sends a short request and then one for a stream on the same connection. It
// returns the attempt's id and the number of events, and an error if the stream did not end
// in order.
func (d *deployment) readStream(m *machine) (id string, events int, err error) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	if a := send(client, m, call{method: "GET", path: "/tabla/1", key: "key-w", deadline: 4 * time.Second}); a.status != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
		return a.id, 0, fmt.Errorf("the first request got %d, %v", a.status, a.err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	id = newAttemptID()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.front()+"/resumen/1", strings.NewReader("body"))
	if err != nil {
		return id, 0, err
	}
	req.GetBody = nil
	req.Host = "llegadas.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", "12000")
	req.Header.Set("Authorization", "Bearer key-w")
	res, err := client.Do(req)
	if err != nil {
		return id, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
		return id, 0, fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	if lines.Err() == nil && events < streamEvents {
		return id, events, errors.New("it ended as complete before its last event")
	}
	return id, events, lines.Err()
}
