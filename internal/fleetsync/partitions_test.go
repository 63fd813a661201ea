package fleetsync

import (
	"context"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// termLeader is a Leadership of which this host leads in a term, unless it is 0.
type termLeader struct {
	alwaysLeader
	term uint64
}

func (l *termLeader) Lease() (uint64, bool) { return l.term, l.term > 0 }

func newPartitionServer(term uint64) (*Server, *termLeader) {
	l := &termLeader{term: term}
	s := &Server{Leadership: l, Presence: NewPresence(), Targets: registry.NewTable(), Document: document.NewMachine()}
	s.Init()
	return s, l
}

func exchangePartitions(t *testing.T, s *Server, h *syncpb.EntryHost, held uint64) *syncpb.ExchangeResponse {
	t.Helper()
	out, err := s.Exchange(context.Background(), &syncpb.ExchangeRequest{Host: h, Partitions: held})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func entryHost(name string, started int64) *syncpb.EntryHost {
	return &syncpb.EntryHost{Name: name, Region: "r", Started: started, PaceLease: true}
}

const everyPartition = ^uint64(0)

// Guards against a leader that grants what other hosts may still hold: after a change of the
// term, and while a host of an earlier build computes its part by itself.
func TestLeaderKeepsPartitionsOfOthers(t *testing.T) {
	s, leader := newPartitionServer(1)
	if out := exchangePartitions(t, s, entryHost("a", 1), everyPartition); !out.GetGranted() || out.GetPartitions() != everyPartition {
		t.Errorf("a new leader does not renew: %v", out)
	}
	if out := exchangePartitions(t, s, entryHost("b", 1), 0); !out.GetGranted() || out.GetPartitions() != 0 {
		t.Errorf("a new leader grants what another host holds: %v", out)
	}
	if out := exchangePartitions(t, s, entryHost("a", 2), 0); out.GetPartitions() != 0 {
		t.Errorf("a new process of the host is granted what the one before may have used: %v", out)
	}
	leader.term = 3
	if out := exchangePartitions(t, s, entryHost("a", 1), 0); out.GetPartitions() != 0 {
		t.Errorf("the partitions of an earlier term are granted: %v", out)
	}
	earlier := entryHost("old", 1)
	earlier.PaceLease = false
	exchangePartitions(t, s, earlier, 0)
	if out := exchangePartitions(t, s, entryHost("c", 1), 1); out.GetPartitions() != 0 {
		t.Errorf("granted beside a host of an earlier build: %v", out)
	}
}

// Guards against a follower that passes the grant of a process on to the next process of the
// same host, and against grants that a relay loses.
func TestGrantIsForOneProcess(t *testing.T) {
	leader, _ := newPartitionServer(1)
	follower, _ := newPartitionServer(0)
	exchangePartitions(t, follower, entryHost("a", 1), everyPartition)
	out, err := leader.Relay(context.Background(), &syncpb.RelayRequest{Demands: follower.dueDemands(follower.startedAt+10*time.Millisecond, "leader")})
	if err != nil || len(out.GetGrants()) != 1 {
		t.Fatalf("grants %v, %v", out.GetGrants(), err)
	}
	granted := out.GetGrants()[0]
	if shares.PartitionSet(granted.GetPartitions()).Len() != shares.Partitions {
		t.Fatalf("the leader grants %v", granted)
	}
	follower.grants["a"] = &hostGrants{granted, follower.startedAt}
	if out := exchangePartitions(t, follower, entryHost("a", 1), everyPartition); !out.GetGranted() || out.GetPartitions() != everyPartition {
		t.Errorf("the process gets %v", out)
	}
	if out := exchangePartitions(t, follower, entryHost("a", 2), 0); out.GetPartitions() != 0 {
		t.Errorf("its successor gets %v", out)
	}
}
