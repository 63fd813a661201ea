package gateway_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// silentAddress returns an address at which connection attempts hang, because the queue
// of its listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// announceAddresses makes targets known, by id.
func (f *fixture) announceAddresses(addresses map[string]string) {
	now := clock.SinceBoot()
	u := fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1}}
	for id, address := range addresses {
		u.Records = append(u.Records, registry.Record{ID: id, Sequence: 1, Service: "s", DataCentre: "dc", State: registry.Ready, Address: address})
	}
	f.Apply(now, u)
}

// announceHost makes another entry host known that serves forwarded requests.
func (f *fixture) announceHost(t *testing.T, name, region string, host *fixture) {
	t.Helper()
	forward := httptest.NewServer(host.ForwardHandler())
	t.Cleanup(forward.Close)
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, Hosts: []*syncpb.EntryHost{
		{Name: name, Region: region, Forward: strings.TrimPrefix(forward.URL, "http://"), Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 10}}}}}})
}

// detachedHost returns a host that reaches none of its targets.
func detachedHost(t *testing.T, address func(*testing.T) string) *fixture {
	t.Helper()
	f := newFixture(t)
	f.announceAddresses(map[string]string{"t0": address(t), "t1": address(t), "t2": address(t), "t3": address(t)})
	return f
}

// warmUp sends requests for a while, so that the host can find out that it reaches no
// target.
func (f *fixture) warmUp(t *testing.T) {
	t.Helper()
	for range 4 {
		f.call(t, "/open/")
	}
}

// Guards against callers of a host that has lost the path to all its targets: they were
// refused although another host of the region reaches the targets.
func TestDetachedHostUsesPeer(t *testing.T) {
	for name, address := range map[string]func(*testing.T) string{"refused": refusingAddress, "silent": silentAddress} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, success)
			f := detachedHost(t, address)
			f.announceHost(t, "peer", "here", start(t, s, s, s, s))
			f.warmUp(t)
			for i := range 12 {
				began := time.Now()
				got := f.call(t, "/open/")
				if took := time.Since(began); got.status != 200 || took > 250*time.Millisecond {
					t.Errorf("request %d: status %d after %s: %s", i, got.status, took, got.header.Get("Code"))
				}
			}
		})
	}
}
