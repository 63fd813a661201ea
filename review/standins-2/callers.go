package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// callers are ordinary clients, each on a connection that it keeps. They file one request after
// the other on a route that is not idempotent, and do not send one again.
type callers struct {
	d        *deployment
	replicas []*replica
	path     string

	mu     sync.Mutex
	ending time.Time // zero until stopAt
	tally  map[string]int
	lost   int
	done   sync.WaitGroup
}

// stopAt ends the callers at a time if that is earlier than they would end.
func (c *callers) stopAt(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = t
}

func (c *callers) running(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Before(until) && (c.ending.IsZero() || now.Before(c.ending))
}

func (c *callers) start(entry *host, n, lastByte int, until time.Time) {
	for range n {
		c.done.Go(func() { c.run(entry, lastByte, until) })
	}
}

func (c *callers) run(entry *host, lastByte int, until time.Time) {
	var conn net.Conn
	var reader *bufio.Reader
	for requests := 0; c.running(until); {
		if conn == nil {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.d.address(lastByte))}}
			var err error
			if conn, err = dialer.Dial("tcp", entry.address(frontPort)); err != nil {
				c.count("no connection")
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader, requests = bufio.NewReader(conn), 0
		}
		requests++
		id := newID()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", c.path, hostName, id, deskKey)
		sentAt := time.Now()
		_ = conn.SetReadDeadline(sentAt.Add(6 * time.Second)) // a failure shows in the read
		var res *http.Response
		if err == nil {
			res, err = http.ReadResponse(reader, nil)
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(res.Body)
		}
		switch {
		case err == nil:
			c.count(fmt.Sprintf("answered %d", res.StatusCode))
			c.d.record.note("%s gets %d from %s: %s", id, res.StatusCode, entry.name, bytes.TrimSpace(body))
			if wait, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); wait > 0 {
				time.Sleep(min(time.Duration(wait*float64(time.Second)), maxRetryAfter))
			}
		default:
			c.recordLoss(id, entry, requests > 1, sentAt, err)
		}
		if err != nil || res.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// recordLoss counts a request that got no answer. It counts as lost if it came on a kept
// connection and was passed on to a replica, which is sound.
func (c *callers) recordLoss(id string, entry *host, kept bool, sentAt time.Time, err error) {
	ran := 0
	for _, r := range c.replicas {
		ran += r.ran(id)
	}
	c.d.record.note("%s gets no answer from %s after %d ms, kept connection %v, passed on %v: %v", id, entry.name, time.Since(sentAt).Milliseconds(), kept, ran > 0, err)
	if kept && ran > 0 {
		c.mu.Lock()
		c.lost++
		c.mu.Unlock()
		c.count("passed on and not answered")
		return
	}
	c.count("not answered, not passed on or on a new connection")
}

func (c *callers) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tally == nil {
		c.tally = map[string]int{}
	}
	c.tally[what]++
}

// maxRetryAfter is a third of the time that a caller has.
const maxRetryAfter = 5 * time.Second / 3

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
