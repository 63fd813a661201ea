package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// crowdSize is below the connections that an entry host with 4,100 descriptors takes.
	crowdSize = 1800
	// crowdAddresses is the number of addresses from which the crowd connects.
	crowdAddresses = 90
	// headBytes keeps a head of the crowd below max_header_bytes of the configuration.
	headBytes = 16_000
	crowdTime = 12 * time.Second
)

// heads lets a crowd without keys send heads of many short fields to one entry host while ordinary
// callers use it. The end of the heads does not come. Without trouble they have few fields.
func heads(d *deployment, trouble bool) (bool, error) {
	file := route("r-file", "/registro/", "non_idempotent", "registro", 1)
	file["target_latency_ms"] = 3000
	replicas, err := prepare(d, configuration([]object{file}, []object{plainService("registro")}), time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	entry := d.host("edge-fiji")
	c := &callers{d: d, replicas: replicas, path: "/registro/cifra"}
	c.start(entry, 40, 200, time.Now().Add(4*time.Second+crowdTime))
	time.Sleep(3 * time.Second)
	d.record.note("a crowd of %d connections, trouble %v", crowdSize, trouble)
	var crowd sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for i := range crowdSize {
		crowd.Go(func() { crowdMember(d, entry, i, trouble, until) })
	}
	crowd.Wait()
	c.done.Wait()
	kills, report := d.memoryKills()
	d.record.say("processes:%s", report)
	d.record.say("ordinary callers: %v", c.tally)
	return kills > 0 && c.lost > maxLostRequests, nil
}

// crowdMember sends a head without its last line, and then nothing more.
func crowdMember(d *deployment, entry *host, i int, trouble bool, until time.Time) {
	dialer := net.Dialer{Timeout: 3 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.address(100 + i%crowdAddresses))}}
	conn, err := dialer.Dial("tcp", entry.address(frontPort))
	if err != nil {
		d.record.note("crowd %d: %v", i, err)
		return
	}
	defer conn.Close()
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /registro/cifra HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 5000\r\nContent-Length: 10\r\n", hostName, newID())
	for n := rand.IntN(1 << 20); trouble && head.Len() < headBytes; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	_ = conn.SetDeadline(until)
	n, err := conn.Write(head.Bytes())
	d.record.note("crowd %d sends %d bytes of its head, %v", i, n, err)
	answer := make([]byte, 512)
	n, err = conn.Read(answer)
	line, _, _ := bytes.Cut(answer[:n], []byte("\r\n"))
	d.record.note("crowd %d gets %q, %v", i, line, err)
}
