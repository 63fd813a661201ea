package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// repeater is a target that answers the first request on each connection. Once it has read
// the next one on that connection, it writes a response to an earlier request again, and
// then runs the request.
type repeater struct {
	net.Listener
	response string
	repeats  int
	mu       sync.Mutex
	ran      []string // ids of the requests that it ran
	reused   bool     // the latest one came on a connection that was used before
}

func newRepeater(t *testing.T, response string, repeats int) *repeater {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &repeater{Listener: l, response: response, repeats: repeats}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c)
		}
	}()
	return r
}

func (r *repeater) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		r.mu.Lock()
		r.ran, r.reused = append(r.ran, id), !first
		r.mu.Unlock()
		if !first {
			_, _ = io.WriteString(c, strings.Repeat(r.response, r.repeats))
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: sig\r\nId: "+id+"\r\nContent-Length: 5\r\n\r\nwhole")
	}
}

func (r *repeater) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ran := range r.ran {
		if ran == id {
			return true
		}
	}
	return false
}

// usedAgain reports whether the latest request came on a connection that was used before.
func (r *repeater) usedAgain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reused
}

// useRepeater makes the repeater the preferred target and the other one the last resort.
func (f *fixture) useRepeater(r *repeater, other *target) {
	now := clock.SinceBoot()
	u := fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1}}
	u.Records = []registry.Record{{ID: "repeater", Sequence: 1, Service: "s", DataCentre: "dc", State: registry.Ready, Address: r.Addr().String()},
		{ID: "other", Sequence: 1, Service: "s", DataCentre: "dc", State: registry.Ready, Address: strings.TrimPrefix(other.URL, "http://"), Silent: true}}
	f.Apply(now, u)
}

// Guards against a rejection or an error of an earlier request that a target writes once
// more and that counts as the answer to the next request on the connection: its caller
// would be told "not run", or it would run at a second target.
func TestRepeatedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		repeats  int
		served   bool // the repeat is recognised, so that the response of the target follows
	}{
		"rejection with id":              {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: earlier\r\nContent-Length: 0\r\n\r\n", 1, true},
		"rejection with id, three times": {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: earlier\r\nContent-Length: 0\r\n\r\n", 3, true},
		"rejection with id, many times":  {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: earlier\r\nContent-Length: 0\r\n\r\n", 50, false},
		"rejection without id":           {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 1, false},
		"rejection without id, chunked":  {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 1, false},
		"rejection without id, twice":    {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 2, false},
		"misdirected without id":         {"HTTP/1.1 421 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 1, false},
		"signed error without id":        {"HTTP/1.1 500 No\r\nSigned: sig\r\nContent-Length: 5\r\n\r\nother", 1, false},
		"error without id":               {"HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n", 1, false},
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %v", name, forwarded), func(t *testing.T) {
				var faulty *repeater
				var other *target
				var started time.Time
				var got result
				// A connection is not used again if its writing goroutine has not ended in time.
				for try := 0; faulty == nil || !faulty.usedAgain(); try++ {
					if try == 5 {
						t.Fatal("no connection is used again")
					}
					faulty, other = newRepeater(t, c.response, c.repeats), newTarget(t, success)
					f := newFixture(t)
					f.useRepeater(faulty, other)
					if forwarded {
						f = forwardTo(t, f)
					}
					if got := f.call(t, "/safe/", "Id", "first"); got.status != 200 || !faulty.hasRun("first") {
						t.Fatalf("the first request: %+v", got)
					}
					started = time.Now()
					got = f.call(t, "/once/", "Id", "second")
				}
				if !faulty.hasRun("second") {
					t.Fatalf("the request went elsewhere: %+v", got)
				}
				if c.served && (got.status != 200 || got.body != "whole" || got.err != nil) || !c.served && (got.status == 200 || got.body == "other") {
					t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
				}
				if got.header.Get("Ran") == "not_run" {
					t.Error("refused with not_run, although the target ran the request")
				}
				for _, r := range other.requests {
					if r.Header.Get("Id") == "second" {
						t.Error("the request ran at a second target")
					}
				}
				if took := time.Since(started); took > time.Second {
					t.Errorf("answered after %s", took)
				}
			})
		}
	}
}
