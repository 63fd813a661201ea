package core

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newFollower(term uint64) *Core {
	return New(Config{ID: "b", Host: "hb", State: HardState{Term: term}, Base: 1, BaseTerm: 1,
		Snapshot: Snapshot{Index: 1, Term: 1, Members: []Member{{ID: "a", Host: "ha"}, {ID: "b", Host: "hb"}, {ID: "c", Host: "hc"}}},
		Rand:     rand.New(rand.NewPCG(1, 1))}, 0)
}

// Guards against a lease that is derived from the response to a heartbeat of an
// earlier term: the leader may have restarted since, so that the echoed send time
// belongs to another clock.
func TestAnswerToOldTermEchoesNoSendTime(t *testing.T) {
	c := newFollower(3)
	c.Step(time.Second, Message{Kind: AppendRequest, From: "a", To: "b", Term: 2, SentAt: time.Hour})
	out := c.Output()
	if len(out.AfterSync) != 1 || out.AfterSync[0].Kind == AppendResponse || out.AfterSync[0].Term != 3 {
		t.Fatalf("answer to a leader of an old term: %+v", out.AfterSync)
	}
}

// Guards against two leaders in one term, of which the second would replace
// entries of the first.
func TestSecondLeaderOfATermPanics(t *testing.T) {
	c := newFollower(2)
	c.Step(time.Second, Message{Kind: AppendRequest, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1})
	defer func() {
		if recover() == nil {
			t.Fatal("a second leader of term 2 was accepted")
		}
	}()
	c.Step(time.Second, Message{Kind: AppendRequest, From: "c", To: "b", Term: 2, Index: 1, LogTerm: 1})
}

// Guards against a vote for a request that is addressed to the id that this host had
// before it lost its disk.
func TestMessageForAnotherIDIsDropped(t *testing.T) {
	c := newFollower(2)
	c.Step(time.Hour, Message{Kind: VoteRequest, From: "a", To: "b-old", Term: 9, Index: 9, LogTerm: 9})
	if out := c.Output(); !out.Empty() {
		t.Fatalf("answered a message for another id: %+v", out)
	}
}

// Guards against a second vote in one term after a restart: the vote must be
// among the records to sync.
func TestVoteSurvivesRestart(t *testing.T) {
	c := newFollower(2)
	c.Step(NoVotePeriod, Message{Kind: VoteRequest, From: "a", To: "b", Term: 3, Index: 1, LogTerm: 1})
	out := c.Output()
	if out.State == nil || len(out.AfterSync) != 1 || !out.AfterSync[0].OK {
		t.Fatalf("vote: %+v", out)
	}
	c = New(Config{ID: "b", Host: "hb", State: *out.State, Snapshot: c.Snapshot(), Base: 1, BaseTerm: 1, Rand: rand.New(rand.NewPCG(1, 1))}, 0)
	c.Step(NoVotePeriod, Message{Kind: VoteRequest, From: "c", To: "b", Term: 3, Index: 1, LogTerm: 1})
	for _, m := range c.Output().AfterSync {
		if m.OK {
			t.Fatalf("second vote in term 3: %+v", m)
		}
	}
}

// Guards against a leader that commits an entry of an earlier term because a majority
// stores it: a later leader could still replace that entry.
func TestEntryOfOlderTermIsNotCommittedByCount(t *testing.T) {
	c := newFollower(2)
	c.Step(0, Message{Kind: AppendRequest, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand}}})
	c.Output()
	c.Synced()
	c.Tick(ElectionTimeoutMax)
	c.Step(ElectionTimeoutMax, Message{Kind: PreVoteResponse, From: "c", To: "b", Term: 3, OK: true})
	c.Output()
	c.Synced()
	c.Step(ElectionTimeoutMax, Message{Kind: VoteResponse, From: "c", To: "b", Term: 3, OK: true})
	c.Output()
	c.Synced()
	if s := c.Status(); s.Role != Leader || s.LastIndex != 3 {
		t.Fatalf("no leader with an entry of its term: %+v", s)
	}
	c.Step(ElectionTimeoutMax, Message{Kind: AppendResponse, From: "c", To: "b", Term: 3, OK: true, Index: 2, SentAt: ElectionTimeoutMax})
	if s := c.Status(); s.Commit != 1 {
		t.Fatalf("commit index %d from an entry of term 2", s.Commit)
	}
	c.Step(ElectionTimeoutMax, Message{Kind: AppendResponse, From: "c", To: "b", Term: 3, OK: true, Index: 3, SentAt: ElectionTimeoutMax})
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit index %d after an entry of the own term", s.Commit)
	}
}
