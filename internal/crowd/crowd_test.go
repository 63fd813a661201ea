package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

func announcement(address string) targets.Announcement {
	return targets.Announcement{Name: "registro-1", Address: address, Pool: "registro", DataCentre: "gijon-a", Slots: 1000}
}

// members opens connections of a crowd and runs act on each, at once. The connections stay
// open until the test ends. act ends when it has sent its part; it is not awaited longer than
// quietTime. An error is that of a connection that was refused or closed, which is allowed.
func members(t testing.TB, n int, address string, act func(conn net.Conn)) {
	t.Helper()
	var work sync.WaitGroup
	for range n {
		work.Go(func() {
			conn, err := net.DialTimeout("tcp", address, quietTime)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(quietTime))
			act(conn)
		})
	}
	work.Wait()
}

// send writes text; what is refused or closed is not sent.
func send(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// chunked sends size bytes in chunks of a size, without the last byte and the end.
func chunked(conn net.Conn, head string, size, chunk int) {
	send(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
	one := append([]byte(strconv.FormatInt(int64(chunk), 16)+"\r\n"), append(bytes.Repeat([]byte("b"), chunk), "\r\n"...)...)
	const batchBytes = 64 << 10
	batch := bytes.Repeat(one, max(1, batchBytes/len(one)))
	for left := size - 1; left >= chunk; {
		n := min(left/chunk, max(1, batchBytes/len(one)))
		if _, err := conn.Write(batch[:n*len(one)]); err != nil {
			return
		}
		left -= n * chunk
	}
}

// stated sends a body with its length, without its last byte, in pieces with a pause between.
func stated(conn net.Conn, head string, size, piece int, pause time.Duration) {
	send(conn, head+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n")
	body := bytes.Repeat([]byte("b"), piece)
	for left := size - 1; left > 0; left -= piece {
		if _, err := conn.Write(body[:min(left, piece)]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Load: many chunked bodies in one-byte chunks that stop just short of their end.
func TestSmallChunks(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 850, d.entry.ip+":8000", func(c net.Conn) { chunked(c, d.head("/x"), 5_000, 1) })
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: many chunked bodies of legal size in large chunks that stop just short of their end.
func TestLargeChunks(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 400, d.entry.ip+":8000", func(c net.Conn) { chunked(c, d.head("/x"), maxBodyBytes, 64<<10-1) })
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: bodies far over the limit, announced or just sent, whose senders stay.
func TestOverTheLimit(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 300, d.entry.ip+":8000", func(c net.Conn) { stated(c, d.head("/x"), 64*maxBodyBytes, 64<<10, 0) })
	members(t, 300, d.entry.ip+":8000", func(c net.Conn) { chunked(c, d.head("/x"), 64*maxBodyBytes, 64<<10) })
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: many bodies of legal size at once, whole but for the last byte.
func TestLegalBodiesWhole(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 400, d.entry.ip+":8000", func(c net.Conn) { stated(c, d.head("/x"), maxBodyBytes, maxBodyBytes, 0) })
	d.entry.check(func() error { return d.call(make([]byte, 64<<10)) })
}

// Load: many bodies of legal size at once, piece by piece, that stop before the last byte.
func TestLegalBodiesInPieces(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 400, d.entry.ip+":8000", func(c net.Conn) { stated(c, d.head("/x"), maxBodyBytes, 64<<10, 50*time.Millisecond) })
	d.entry.check(func() error { return d.call(make([]byte, 64<<10)) })
}

// Load: many heads that come byte by byte and never end.
func TestHeadsByteByByte(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 1100, d.entry.ip+":8000", func(c net.Conn) {
		for _, b := range []byte(d.head("/x"))[:40] {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: many large heads that never end.
func TestLargeHeads(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 100, d.entry.ip+":8000", func(c net.Conn) {
		send(c, d.head("/x")+"X-Padding: ")
		piece := string(bytes.Repeat([]byte("a"), 50<<10))
		for range 18 {
			send(c, piece)
		}
	})
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: more idle connections than descriptors.
func TestIdleConnections(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	for _, port := range []string{":8000", ":7100", ":7101", ":8004"} {
		members(t, 1100, d.entry.ip+port, func(net.Conn) {})
	}
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: callers that send requests and never read the responses.
func TestResponsesNotRead(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	members(t, 600, d.entry.ip+":8000", func(c net.Conn) { stated(c, d.head("/large"), 2, 1, 0); send(c, "b") })
	d.entry.check(func() error { return d.call([]byte("b")) })
}

// Load: more connections to the interfaces of a control host than it has descriptors.
func TestControlConnections(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	for _, port := range []string{":8001", ":8002", ":7100"} {
		members(t, 1100, d.control.ip+port, func(net.Conn) {})
	}
	d.control.check(func() error { return d.replace(2) })
}

// Load: many large configurations, with their length and in chunks, that stop just short of
// their end, and large bodies of heartbeats.
func TestControlBodies(t *testing.T) {
	d := startDocumentHosts(t, memoryMB)
	const size = 3 << 20
	head := func(path string) string { return "POST /geraniumturn/" + path + " HTTP/1.1\r\nHost: a.example\r\n" }
	members(t, 40, d.control.ip+":8001", func(c net.Conn) { stated(c, head("configuration/replace"), size, size, 0) })
	members(t, 40, d.control.ip+":8001", func(c net.Conn) { chunked(c, head("configuration/replace"), size, 64<<10) })
	members(t, 400, d.control.ip+":8001", func(c net.Conn) { chunked(c, head("instances/i-2/heartbeat"), 64<<10, 1<<10) })
	d.control.check(func() error { return d.replace(2) })
}

// Guards against limits that a single legal request meets: the largest body, with its length
// and in chunks, on a small machine in calm.
func TestLargestBodyInCalm(t *testing.T) {
	const smallMachineMB = 136
	d := startDocumentHosts(t, smallMachineMB)
	d.entry.check(func() error {
		body := make([]byte, d.maxBody())
		if err := d.call(body); err != nil {
			return fmt.Errorf("with its length: %w", err)
		}
		return postChunked("http://"+d.entry.ip+":8000/x", body, http.Header{"Authorization": {"Bearer " + key}, "X-Attempt-Id": {"a"}, "X-Deadline-Milliseconds": {"15000"}})
	})
}

// Load: in the rules wiring, many large bodies that stop just short of their end.
func TestRulesLargeBodies(t *testing.T) {
	h := startRulesHost(t)
	const size = 8 << 20
	members(t, 40, h.ip+":8080", func(c net.Conn) { chunked(c, h.head("/a"), size, 64<<10-1) })
	members(t, 40, h.ip+":8080", func(c net.Conn) { stated(c, h.head("/a"), size, size, 0) })
	h.check(func() error { return h.call([]byte("b")) })
}

// Load: in the rules wiring, many bodies in one-byte chunks that stop just short of their end,
// and then more idle connections than descriptors.
func TestRulesManyConnections(t *testing.T) {
	h := startRulesHost(t)
	members(t, 850, h.ip+":8080", func(c net.Conn) { chunked(c, h.head("/a"), 5_000, 1) })
	for _, port := range []string{":8080", ":7000"} {
		members(t, 1100, h.ip+port, func(net.Conn) {})
	}
	h.check(func() error { return h.call([]byte("b")) })
}

// Guards against limits that a single legal request meets in the rules wiring.
func TestRulesLargestBodyInCalm(t *testing.T) {
	h := startRulesHost(t)
	h.check(func() error {
		body := make([]byte, 8<<20)
		if err := h.call(body); err != nil {
			return fmt.Errorf("with its length: %w", err)
		}
		return postChunked("http://"+h.ip+":8080/registro/a", body, http.Header{"Authorization": {"Bearer " + h.key}})
	})
}

// postChunked sends a request whose body states no length.
func postChunked(url string, body []byte, header http.Header) error {
	r, err := http.NewRequest(http.MethodPost, url, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	r.Header, r.Host = header, "a.example"
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if content, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %.100s, %v", res.StatusCode, content, err)
	}
	return nil
}
