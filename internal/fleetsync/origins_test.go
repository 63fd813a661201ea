package fleetsync_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// runRelay relays from a control host until the test ends.
func runRelay(t *testing.T, s *fleetsync.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx, func() []string { return nil }) }()
	t.Cleanup(func() { cancel(); <-done })
}

func awaitOrigin(t *testing.T, what string, s *fleetsync.Server, key origins.Key) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if out, err := s.FindOrigin(context.Background(), &syncpb.OriginRequest{Key: uint64(key)}); err == nil && out.GetFound() && out.GetSoftware() == "v1" {
			return
		}
	}
	t.Fatalf("%s does not know the origin", what)
}

// Guards against an origin that is lost with the entry host where the stream began: each
// control host must know it, also one of another region, and a process of a control host
// that starts later.
func TestOriginsReachAllControlHosts(t *testing.T) {
	near, nearAddress := startControlHost(t)
	far, farAddress, stopFar := startProcess(t, "127.0.0.1:0", 7)
	near.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: nearAddress, Region: "here"}, true)
	near.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: farAddress, Region: "there"}, true)
	runRelay(t, near)
	c := startClient(t, true, nearAddress)
	key := origins.KeyOf("w", "a")
	c.origins.Record(clock.SinceBoot(), key, origins.Origin{Service: "s", Software: "v1"})
	awaitOrigin(t, "the control host of the region", near, key)
	awaitOrigin(t, "a control host of another region", far, key)
	stopFar()
	far, _, stopFar = startProcess(t, farAddress, 8)
	t.Cleanup(stopFar)
	awaitOrigin(t, "a restarted control host", far, key)
}

// Guards against a restarted control host that gets only the origins of later streams
// from the entry hosts of its region.
func TestRestartedControlHostGetsOrigins(t *testing.T) {
	_, address, stop := startProcess(t, "127.0.0.1:0", 7)
	c := startClient(t, true, address)
	key := origins.KeyOf("w", "a")
	c.origins.Record(clock.SinceBoot(), key, origins.Origin{Service: "s", Software: "v1"})
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool { return u.GetTable() == 7 })
	stop()
	s, _, stop := startProcess(t, address, 8)
	t.Cleanup(stop)
	awaitOrigin(t, "the restarted control host", s, key)
}

// Guards against the conclusion that a service has had one version only while a control
// host does not respond, has not run for long enough, or knows of another version.
func TestFindOriginIsCompleteOnlyWithAllControlHosts(t *testing.T) {
	first, firstAddress := startControlHost(t)
	second, secondAddress := startControlHost(t)
	for i, s := range []*fleetsync.Server{first, second} {
		s.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: fmt.Sprint("t", i), Sequence: 1, Service: "s", Address: fmt.Sprint("10.0.0.1:", 80+i), DataCentre: "dc", Software: "v1", State: registry.Ready})
	}
	ask := func(window time.Duration, seeds ...string) fleetsync.OriginAnswer {
		c := startClient(t, true, seeds...)
		c.awaitUpdate(t, 3*time.Second, func(fleetsync.Update) bool { return true })
		return c.FindOrigin(context.Background(), 1, "s", window)
	}
	time.Sleep(20 * time.Millisecond)
	const window = 10 * time.Millisecond
	if got := ask(window, firstAddress, secondAddress); !got.Complete || fmt.Sprint(got.Versions) != "[v1]" {
		t.Errorf("one version: %+v", got)
	}
	if got := ask(time.Hour, firstAddress, secondAddress); got.Complete {
		t.Errorf("within an hour: %+v", got)
	}
	if got := ask(window, firstAddress, "127.0.0.1:1"); got.Complete {
		t.Errorf("without a response of one control host: %+v", got)
	}
	second.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: "new", Sequence: 1, Service: "s", Address: "10.0.0.2:80", DataCentre: "dc", Software: "v2", State: registry.Ready})
	if got := ask(window, firstAddress, secondAddress); fmt.Sprint(got.Versions) != "[v1 v2]" {
		t.Errorf("two versions: %+v", got)
	}
}
