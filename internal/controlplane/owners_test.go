package controlplane

import (
	"fmt"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

var ownerCandidates = []*syncpb.ControlHost{{Peer: "a", Region: "r0", Control: "10.0.0.1:80"}, {Peer: "b", Region: "r0", Control: "10.0.0.2:80"},
	{Peer: "c", Region: "r1", Control: "10.1.0.1:80"}, {Peer: "old", Region: "r0"}}

// Answers the heartbeats of 3,000 targets that reach any control host: they are spread evenly
// over those of their region, which agree, and stay there.
func TestTargetsStayWithOneControlHost(t *testing.T) {
	count := map[string]int{}
	for i := range 3000 {
		target := fmt.Sprint("i-", i)
		elsewhere := (&Owners{Self: "10.1.0.1:80"}).Choose(0, target, "r0", ownerCandidates)
		count[elsewhere]++
		if again := (&Owners{Self: elsewhere}).Choose(0, target, "r0", ownerCandidates); again != "" {
			t.Fatalf("%s is sent on from its owner to %s", target, again)
		}
	}
	for _, a := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		if count[a] < 1300 || count[a] > 1700 {
			t.Errorf("%d targets at %s", count[a], a)
		}
	}
	o := &Owners{Self: "10.0.0.1:80"}
	if got := o.Choose(0, "i", "r2", ownerCandidates); got != "" {
		t.Errorf("a target of a region without control hosts is sent to %s", got)
	}
	if got := o.Choose(0, "i", "r0", ownerCandidates[:1]); got != "" {
		t.Errorf("a target is sent to %s, which was not heard from", got)
	}
}

// Answers a crowd that finds its owner back: it moves there over some seconds.
func TestCrowdMovesSlowly(t *testing.T) {
	o := &Owners{Self: "10.1.0.1:80"}
	sentOn := func(now time.Duration) (n int) {
		for i := range 500 {
			if o.Choose(now, fmt.Sprint("i-", i), "r0", ownerCandidates) != "" {
				n++
			}
		}
		return n
	}
	if n := sentOn(0); n != namedPerSecond {
		t.Errorf("%d targets are sent on at once", n)
	}
	if n := sentOn(time.Second); n != namedPerSecond {
		t.Errorf("%d targets are sent on in the next second", n)
	}
}

// Answers an owner that control hosts reach and targets do not, as behind a cut or with a
// frozen listener: each detour costs the target a second without an acknowledgement.
func TestTargetThatComesBackStays(t *testing.T) {
	o := &Owners{Self: "10.1.0.1:80"}
	owner := o.Choose(0, "i", "r0", ownerCandidates)
	if owner == "" {
		t.Fatal("no owner is named")
	}
	for at := 2 * time.Second; at < returnPause; at += time.Second {
		if got := o.Choose(at, "i", "r0", ownerCandidates); got != "" {
			t.Fatalf("%s is named again after %v", got, at)
		}
	}
	if got := o.Choose(2*returnPause, "i", "r0", ownerCandidates); got != owner {
		t.Errorf("the owner is %q later, want %s", got, owner)
	}
	if len(o.named) != 1 {
		t.Errorf("%d targets are remembered", len(o.named))
	}
}
