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
	// filings is the number of requests of the trial.
	filings = 150
	// The replicas that lose answers are half of all. They lose at most lostShare of the answers
	// to the requests that they run, for lostTime.
	lostShare = 0.05
	lostTime  = 4 * time.Second
)

// paths sends requests whose path has an encoded slash: by the prefix of the path they belong to
// a route that is not idempotent. Some replicas lose some answers; without trouble none does.
func paths(d *deployment, trouble bool) (bool, error) {
	replicas, err := prepare(d, configuration([]object{route("r-file", "/registro/", "non_idempotent", "registro", 1), route("r-read", "/registro/tabla/", "idempotent", "registro", 2)},
		[]object{plainService("registro")}), 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if trouble {
		loss := &lostAnswers{}
		for _, r := range replicas {
			r.losesAnswer = loss.next
		}
	}
	// A second replica in each region, which loses no answer.
	for i, region := range d.regions {
		r, err := startReplica(d, "i-filing-2-"+region, "registro", region, 44+i, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
		d.register(r)
	}
	time.Sleep(3 * time.Second)
	twice := 0
	for i := range filings {
		id := newID()
		path := fmt.Sprintf("/registro/tabla%%2F2026-%02d", i%12+1)
		entry := d.host("edge-" + d.regions[i%len(d.regions)])
		status, err := fileOnce(entry, path, id)
		ran := 0
		for _, r := range replicas {
			ran += r.ran(id)
		}
		d.record.note("%s POST %s sent once to %s gets %d, %v, and has run %d times", id, path, entry.name, status, err, ran)
		if ran > 1 {
			twice++
		}
	}
	d.record.say("%d of %d requests that are not idempotent ran more than once", twice, filings)
	return twice > 0, nil
}

// lostAnswers decides which answers are lost.
type lostAnswers struct {
	mu        sync.Mutex
	ran, lost int
	began     time.Time // at the first lost answer
}

func (l *lostAnswers) next(*http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran++
	if float64(l.lost+1) > lostShare*float64(l.ran) || l.lost > 0 && time.Since(l.began) > lostTime {
		return false
	}
	if l.lost++; l.lost == 1 {
		l.began = time.Now()
	}
	return true
}

// fileOnce sends one request on a connection of its own.
func fileOnce(entry *host, path, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", entry.address(frontPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, hostName, id, deskKey); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
