package fleetsync

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// Answers hundreds of hosts of which one in a region holds a rate: the others tell that they
// have released it while something may still be reserved for them, and no longer.
func TestReleasedRatesAreNotToldForEver(t *testing.T) {
	var host releasedRates
	s, _ := newPartitionServer(0)
	for at := time.Duration(0); at < 4*releaseRetention; at += 100 * time.Millisecond {
		isHeld := at >= 2*releaseRetention && at < 2*releaseRetention+time.Second
		in := &syncpb.ExchangeRequest{Demands: []*syncpb.Demand{{Workspace: "w", Released: !isHeld}, {Workspace: "other", PerSecond: 1}}}
		host.trim(at, in)
		want := at <= releaseRetention || at >= 2*releaseRetention && at < 3*releaseRetention+time.Second
		if got := len(in.GetDemands()) == 2; got != want {
			t.Fatalf("after %v: told %v, want %v", at, got, want)
		}
		s.recordDemands(at, &syncpb.HostDemands{Host: "e", Demands: in.GetDemands()})
		if got := len(s.demands["e"].unreleased(at)) == 2; got != want {
			t.Fatalf("after %v: relayed %v, want %v", at, got, want)
		}
	}
}

// Guards against reports without a demand that are relayed to the leader with each round, and
// against a leader that is told late of a demand, of a host, or after it was elected.
func TestDemandsAreRelayedOnce(t *testing.T) {
	s, _ := newPartitionServer(0)
	report := func(at time.Duration, perSecond float64) {
		s.recordDemands(at, &syncpb.HostDemands{Host: "e", Started: 1, Partitions: 3, Demands: []*syncpb.Demand{{Workspace: "w", PerSecond: perSecond, Released: perSecond == 0}}})
	}
	due := func(at time.Duration, leader string) bool { return len(s.dueDemands(at, leader)) == 1 }
	report(0, 0)
	if !due(0, "a") || due(10, "a") {
		t.Error("a new host is not relayed at once, or twice")
	}
	if !due(20, "b") {
		t.Error("a new leader is not told")
	}
	s.demandsLost(relayMessage{request: &syncpb.RelayRequest{Demands: []*syncpb.HostDemands{{Host: "e"}}}})
	if !due(30, "b") {
		t.Error("a lost message is not told again")
	}
	now := releaseRetention + time.Second
	report(now, 0)
	due(now, "b")
	report(now+relayInterval, 0)
	if due(now+relayInterval, "b") {
		t.Error("a report without news is relayed with each round")
	}
	report(now+idleDemandInterval, 0)
	if !due(now+idleDemandInterval, "b") {
		t.Error("the lease of partitions is not renewed")
	}
	report(now+idleDemandInterval+relayInterval, 5)
	if !due(now+idleDemandInterval+relayInterval, "b") {
		t.Error("a demand waits")
	}
	if !due(now+idleDemandInterval+2*relayInterval, "b") {
		t.Error("a demand is relayed once, though the leader may be able to grant more by now")
	}
}
