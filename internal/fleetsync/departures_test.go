package fleetsync_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// fullDisk is a DepartureStore that fails while full is set.
type fullDisk struct{ full, saves atomic.Int64 }

func (d *fullDisk) Save([]registry.Record) error {
	if d.full.Load() > 0 {
		return errors.New("disk full")
	}
	d.saves.Add(1)
	return nil
}

func runServer(t *testing.T, s *fleetsync.Server, seeds ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx, func() []string { return seeds })
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against a control host that says it has stored a departure before its disk has it,
// and against one whose disk is full and that never stores it.
func TestRelayedDepartureIsStoredFirst(t *testing.T) {
	s, address := startControlHost(t)
	disk := &fullDisk{}
	disk.full.Store(1)
	s.Departures, s.OnDepartureError = disk, func(error) {}
	runServer(t, s)
	transport := peer.New("other", &clock.HLC{}, nil)
	t.Cleanup(func() { _ = transport.Close() })
	relay := func() error {
		_, err := syncpb.NewDRPCSyncClient(transport.Dial(address)).Relay(context.Background(), &syncpb.RelayRequest{Store: true,
			Targets: []*syncpb.Target{{Id: "t", Born: 1, State: uint32(registry.Left)}}})
		return err
	}
	if err := relay(); err == nil {
		t.Error("a departure counts as stored on a full disk")
	}
	if records, _ := s.Targets.Departures(0); len(records) != 1 {
		t.Errorf("departures %v", records)
	}
	disk.full.Store(0)
	if err := relay(); err != nil || disk.saves.Load() != 1 {
		t.Errorf("%v, stored %d times", err, disk.saves.Load())
	}
	if err := relay(); err != nil || disk.saves.Load() != 1 {
		t.Errorf("told again: %v, stored %d times", err, disk.saves.Load())
	}
}

// Guards against a departure whose acknowledgement waits for a control host that does not
// respond, and against one that is acknowledged although no other host has it.
func TestDepartureDoesNotWaitForSilentHost(t *testing.T) {
	one, oneAddress := startControlHost(t)
	two, twoAddress := startControlHost(t)
	three, threeAddress := startControlHost(t)
	toTwo, err := proctest.NewRelay("127.0.0.1:0", twoAddress)
	if err != nil {
		t.Fatal(err)
	}
	toThree, err := proctest.NewRelay("127.0.0.1:0", threeAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(toTwo.Close)
	t.Cleanup(toThree.Close)
	two.Self, three.Self = &syncpb.ControlHost{Peer: toTwo.Address(), Region: "here"}, &syncpb.ControlHost{Peer: toThree.Address(), Region: "here"}
	runServer(t, two)
	runServer(t, three)
	one.LostDisks, one.Leadership = 1, membersLog{[]string{oneAddress, toTwo.Address(), toThree.Address()}}
	one.Init()
	runServer(t, one, toTwo.Address(), toThree.Address())
	toThree.Blackhole(false)
	now := clock.SinceBoot()
	one.Targets.Deregister(now, "t", 1)
	if err := one.AwaitDeparture(context.Background(), "t"); err != nil {
		t.Errorf("one other host responds: %v", err)
	}
	toTwo.Blackhole(false)
	one.Targets.Deregister(now, "u", 1)
	if err := one.AwaitDeparture(context.Background(), "u"); !errors.Is(err, fleetsync.ErrDepartureNotHeld) {
		t.Errorf("no other host responds: %v", err)
	}
	if took := clock.SinceBoot() - now; took > 2*time.Second {
		t.Errorf("refused after %v", took)
	}
	toThree.Heal()
	for end := time.Now().Add(5 * time.Second); one.AwaitDeparture(context.Background(), "u") != nil; {
		if time.Now().After(end) {
			t.Fatal("not acknowledged after another host responds again")
		}
	}
}

// membersLog is a Leadership of which some hosts are members.
type membersLog struct{ hosts []string }

func (membersLog) Lease() (uint64, bool)           { return 1, true }
func (membersLog) LeaderHost() string              { return "" }
func (membersLog) StateAge() (time.Duration, bool) { return 0, true }
func (l membersLog) MemberHosts() []string         { return l.hosts }
