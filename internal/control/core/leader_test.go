package core

import (
	"math/rand/v2"
	"testing"
	"time"
)

const electedAt = ElectionTimeoutMax

// newLeader returns voter b as leader of term 3 with the members a, b and c. Its first
// entry, at index 2, is synced but not committed.
func newLeader(t *testing.T) *Core {
	t.Helper()
	c := newFollower(2)
	c.Tick(electedAt)
	c.Step(electedAt, Message{Kind: PreVoteResponse, From: "c", To: "b", Term: 3, OK: true})
	syncOutput(c)
	c.Step(electedAt, Message{Kind: VoteResponse, From: "c", To: "b", Term: 3, OK: true})
	syncOutput(c)
	if s := c.Status(); s.Role != Leader || s.LastIndex != 2 || s.Commit != 1 {
		t.Fatalf("no new leader: %+v", s)
	}
	return c
}

func syncOutput(c *Core) Output {
	out := c.Output()
	c.Synced()
	return out
}

// acknowledge delivers a member's response with its last matching index.
func acknowledge(c *Core, from string, index uint64) {
	c.Step(electedAt+time.Millisecond, Message{Kind: AppendResponse, From: from, To: "b", Term: 3, OK: true, Index: index, SentAt: electedAt})
	syncOutput(c)
}

// Guards against a membership change before an entry of the leader's term is
// committed: an uncommitted change of an earlier leader may still be in force on other
// voters.
func TestNoMembershipChangeBeforeOwnCommit(t *testing.T) {
	c := newLeader(t)
	_ = c.Join("a2", "ha")
	c.Step(electedAt, Message{Kind: AppendResponse, From: "a2", To: "b", Term: 3, OK: true, SentAt: electedAt})
	acknowledge(c, "c", 1)
	if s := c.Status(); s.LastIndex != 2 {
		t.Fatalf("entry %d appended before entry 2 was committed: %+v", s.LastIndex, s.Members)
	}
}

// Guards against two membership changes at once, whose majorities need not overlap;
// against a join request that its host did not confirm; and against a learner that is
// promoted before it has the committed entries.
func TestMembershipChangesOneAtATime(t *testing.T) {
	c := newLeader(t)
	acknowledge(c, "c", 2)
	_ = c.Join("a2", "ha")
	syncOutput(c)
	acknowledge(c, "c", 2)
	if s := c.Status(); s.LastIndex != 2 {
		t.Fatalf("a join without an answer changed the membership: %+v", s.Members)
	}
	acknowledge(c, "a2", 0)
	if s := c.Status(); s.LastIndex != 3 || len(s.Members) != 2 {
		t.Fatalf("the old id is not removed first: %+v", s)
	}
	c.Tick(electedAt + HeartbeatInterval)
	if s := c.Status(); s.LastIndex != 3 {
		t.Fatalf("a second change before the first is committed: %+v", s)
	}
	acknowledge(c, "c", 3)
	if s := c.Status(); s.LastIndex != 4 || len(s.Members) != 3 {
		t.Fatalf("no learner: %+v", s)
	}
	acknowledge(c, "c", 4)
	c.Tick(electedAt + 2*HeartbeatInterval)
	if s := c.Status(); s.Commit != 4 || s.LastIndex != 4 {
		t.Fatalf("a learner without entries was promoted: %+v", s)
	}
	acknowledge(c, "a2", 4)
	if s := c.Status(); s.LastIndex != 5 || !c.isVoter("a2") {
		t.Fatalf("the learner is not promoted: %+v", s)
	}
}

// Guards against a vote right after a restart, while a leader may still hold a lease
// that this voter acknowledged before the restart.
func TestNoVoteRightAfterRestart(t *testing.T) {
	for _, kind := range []MessageKind{PreVoteRequest, VoteRequest} {
		c := newFollower(2)
		c.Step(NoVotePeriod-time.Millisecond, Message{Kind: kind, From: "a", To: "b", Term: 3, Index: 1, LogTerm: 1})
		for _, m := range syncOutput(c).AfterSync {
			if m.OK {
				t.Errorf("vote %d within NoVotePeriod", m.Kind)
			}
		}
	}
}

// Guards against voters that wait for the end of a lease that no voter can hold, when
// all start together and one has lost its disk, and against a vote from the host that
// lost the record of its votes.
func TestElectionWithOneLostDisk(t *testing.T) {
	cores := map[string]*Core{}
	members := []Member{{ID: "a", Host: "ha"}, {ID: "b", Host: "hb"}, {ID: "c", Host: "hc"}}
	for i, id := range []string{"a", "b"} {
		cores[id] = New(Config{ID: id, Host: "h" + id, State: HardState{Term: 2}, Base: 1, BaseTerm: 1, Process: uint64(i + 1),
			Snapshot: Snapshot{Index: 1, Term: 1, Members: members}, Rand: rand.New(rand.NewPCG(1, 1))}, 0)
	}
	cores["c"] = New(Config{ID: "new", Host: "hc", Process: 3, Rand: rand.New(rand.NewPCG(1, 1))}, 0) // at the address of c
	const networkDelay = 55 * time.Millisecond
	now := time.Duration(0)
	var arriving []Message
	for cores["a"].Status().Role != Leader {
		if now += networkDelay; now > NoVotePeriod {
			t.Fatalf("no leader after %s", now)
		}
		sent := arriving
		arriving = nil
		for _, m := range sent {
			if to := cores[m.To]; to != nil {
				to.Step(now, m)
			}
		}
		for id, c := range cores {
			c.Tick(now)
			out := c.Output()
			c.Synced()
			for _, m := range append(out.Messages, out.AfterSync...) {
				if id == "c" && m.OK {
					t.Errorf("the host without its disk grants %+v", m)
				}
				arriving = append(arriving, m)
			}
		}
	}
}

// Guards against a snapshot that removes acknowledged entries after its index.
func TestLateSnapshotKeepsLaterEntries(t *testing.T) {
	c := newFollower(2)
	c.Step(0, Message{Kind: AppendRequest, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}})
	syncOutput(c)
	c.Step(0, Message{Kind: SnapshotRequest, From: "a", To: "b", Term: 2, Snapshot: &Snapshot{Index: 3, Term: 2, Members: c.Members()}})
	if s := c.Status(); s.LastIndex != 4 || s.Commit != 3 {
		t.Fatalf("log ends at %d, commit index %d; want 4 and 3", s.LastIndex, s.Commit)
	}
}

// Guards against a follower that commits entries in its log that do not yet match the
// leader's log.
func TestCommitOnlyMatchingEntries(t *testing.T) {
	c := New(Config{ID: "b", Host: "hb", State: HardState{Term: 2}, Base: 1, BaseTerm: 1, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
		Snapshot: newFollower(1).Snapshot(), Rand: rand.New(rand.NewPCG(1, 1))}, 0)
	c.Step(0, Message{Kind: AppendRequest, From: "a", To: "b", Term: 3, Index: 1, LogTerm: 1, Commit: 3})
	if s := c.Status(); s.Commit != 1 {
		t.Fatalf("commit index %d, while only entry 1 is known to match", s.Commit)
	}
}

// Guards against a commit that counts the leader's own entry before it is synced.
func TestLeaderCountsItselfOnlyAfterSync(t *testing.T) {
	c := newLeader(t)
	acknowledge(c, "c", 2)
	if _, _, err := c.Propose(electedAt+time.Millisecond, []byte("x")); err != nil {
		t.Fatal(err)
	}
	c.Step(electedAt+time.Millisecond, Message{Kind: AppendResponse, From: "c", To: "b", Term: 3, OK: true, Index: 3, SentAt: electedAt})
	if s := c.Status(); s.Commit != 2 {
		t.Fatalf("commit index %d with one synced copy of entry 3", s.Commit)
	}
	syncOutput(c)
	if s := c.Status(); s.Commit != 3 {
		t.Fatalf("commit index %d after the sync", s.Commit)
	}
}

// Guards against a permanently failed voter that stays a member, so that the failure of
// another one stops the log; and against a voter that is removed in a short outage or
// without a learner that can replace it.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	c := newLeader(t)
	c.voterCount = 3
	now := electedAt
	voters := func() (out []string) {
		for _, m := range c.Members() {
			if !m.Learner {
				out = append(out, m.ID)
			}
		}
		return out
	}
	answer := func(ids ...string) {
		now += HeartbeatInterval
		c.Tick(now)
		for range 3 {
			for _, id := range ids {
				c.Step(now, Message{Kind: AppendResponse, From: id, To: "b", Term: 3, OK: true, Index: c.Status().LastIndex, SentAt: now - time.Millisecond})
				syncOutput(c)
			}
		}
	}
	for now < electedAt+2*voterReplaceDelay {
		answer("c")
	}
	if got := voters(); len(got) != 3 {
		t.Fatalf("voters %v: one was removed although no learner can replace it", got)
	}
	_ = c.Join("d", "hd")
	answer("c", "d")
	for range 5 {
		_ = c.Join("d", "hd")
		answer("c", "d")
	}
	if got := voters(); len(got) != 3 || got[0] != "b" || got[1] != "c" || got[2] != "d" {
		t.Fatalf("voters %v, want b, c and d", got)
	}
}

// Guards against a resigning leader that keeps its lease, and against voters that
// refuse their vote in the election that it requested.
func TestResign(t *testing.T) {
	c := newLeader(t)
	acknowledge(c, "c", 2)
	c.Resign(electedAt + 2*time.Millisecond)
	if _, _, ok := c.Lease(); ok || c.Status().Role == Leader {
		t.Fatal("still leads with a lease")
	}
	out := syncOutput(c)
	if len(out.Messages) == 0 || out.Messages[len(out.Messages)-1].Kind != TransferRequest || out.Messages[len(out.Messages)-1].To != "c" {
		t.Fatalf("messages %+v", out.Messages)
	}
	successor := newFollower(3)
	successor.leader, successor.termLeader, successor.leaderContactAt = "a", "a", electedAt
	successor.Step(electedAt, Message{Kind: TransferRequest, From: "a", To: "b", Term: 3})
	for _, m := range syncOutput(successor).AfterSync {
		if m.Kind != VoteRequest || m.Term != 4 || !m.OK {
			t.Errorf("message %+v, want a vote request for term 4 with OK set", m)
		}
	}
	voter := newFollower(3)
	voter.leaderContactAt = electedAt
	voter.Step(electedAt+time.Millisecond, Message{Kind: VoteRequest, From: "a", To: "b", Term: 4, Index: 9, LogTerm: 3, OK: true})
	granted := syncOutput(voter).AfterSync
	if len(granted) != 1 || !granted[0].OK {
		t.Errorf("responses %+v: a voter with recent contact to the old leader refuses its successor", granted)
	}
}
