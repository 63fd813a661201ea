package quota

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// second is the time in which a bucket refills by its rate, lengthened by the
// drift margin of 1 %.
const second = time.Second * 101 / 100

func tokens(n int64) Amount { return n * TokenUnit }

// Guards against a bucket that exceeds the rate on a clock that is 1 % fast.
func TestRefillAllowsForDrift(t *testing.T) {
	b := NewBucket(Share{tokens(100), tokens(1000)}, 0)
	for now := time.Duration(0); now <= second; now += 7 * time.Millisecond {
		b.Advance(now)
	}
	b.Advance(second)
	if b.Level() != tokens(100) {
		t.Errorf("level after 1.01 s is %d, not one second of the rate", b.Level())
	}
}

// Guards against a refund of a credit that refill has already replaced, which
// would exceed the burst.
func TestRefundIsLimitedByCredit(t *testing.T) {
	b := NewBucket(Share{tokens(100), tokens(100)}, 0)
	b.Advance(second)
	c := b.Reserve(second, tokens(100))
	b.Advance(second + second/2)
	b.Refund(second+second/2, c, tokens(100))
	if b.Level() != tokens(100) || b.Spendable() != tokens(100) {
		t.Errorf("level %d, spendable %d after the refund", b.Level(), b.Spendable())
	}
}

// Guards against a loan request that is delivered twice and granted twice, and
// against an older settlement that arrives after a refund and undoes it.
func TestDuplicateLoanMessages(t *testing.T) {
	b := NewBucket(Share{0, tokens(100)}, 0)
	b.level = tokens(100)
	id := LoanID{"h", 1, 1}
	first := b.Lend(0, id, tokens(60), 0)
	if repeated := b.Lend(0, id, tokens(60), 0); first != tokens(60) || repeated != first || b.Level() != tokens(40) {
		t.Errorf("grants %d and %d, level %d", first, repeated, b.Level())
	}
	b.SettleLoan(0, id, tokens(10))
	b.SettleLoan(0, id, tokens(50)) // an older settlement that arrives late
	b.SettleLoan(0, id, tokens(10))
	if b.Level() != tokens(90) || b.Spendable() != tokens(100) {
		t.Errorf("level %d, spendable %d after the settlements", b.Level(), b.Spendable())
	}
}

func newTestHost(t *testing.T, name string, start time.Duration) *Host {
	t.Helper()
	a := Allocate(Workspace{Name: "w", Rate: 100, Burst: 100}, []Member{{"a", "dc1"}, {"b", "dc2"}})
	h := NewHost(name, "dc1", 1, start)
	h.Apply(start, 1, []*quotapb.Record{{Workspace: "w", Epoch: 1, Changed: 1, Settled: a}})
	return h
}

func borrowRequest(elasticTokens bool, n uint64) *quotapb.BorrowRequest {
	return &quotapb.BorrowRequest{Id: &quotapb.LoanID{Host: "b", Sequence: n}, Workspace: "w", Amount: tokens(10), Elastic: elasticTokens}
}

// Guards against elastic loans from a host without a valid lease, from a leader
// of another term, and before the loans of the previous leader have expired.
func TestElasticNeedsLease(t *testing.T) {
	h := newTestHost(t, "a", 0)
	h.StartElastic(0, 7)
	if out := h.Lend(LenderLoanTTL, borrowRequest(true, 1), 7); out.Granted != 0 {
		t.Errorf("granted %d before the loans of the previous leader have expired", out.Granted)
	}
	late := LenderLoanTTL + 10*second
	if out := h.Lend(late, borrowRequest(true, 2), 0); out.Granted != 0 || !out.NotLeader {
		t.Errorf("loan without a lease: %v", out)
	}
	if out := h.Lend(late, borrowRequest(true, 3), 8); out.Granted != 0 {
		t.Errorf("loan in another term: %v", out)
	}
	if out := h.Lend(late, borrowRequest(true, 4), 7); out.Granted != tokens(10) {
		t.Errorf("loan with the lease: %v", out)
	}
}

// Guards against spending an expired loan in a process that was suspended past
// the expiry and has not run Tick since.
func TestExpiredLoanIsNotSpent(t *testing.T) {
	h := newTestHost(t, "c", 0)
	_, w, _ := h.Reserve(0, "w", tokens(10))
	message := h.TakeMessages()[0]
	h.HandleBorrowResponse(time.Millisecond, message.To, message.Borrow, &quotapb.BorrowResponse{Granted: tokens(10)})
	if w.Reservation == nil {
		t.Fatal("the loan was not used")
	}
	h.Settle(2*time.Millisecond, w.Reservation, 0) // refunds the whole loan
	if r, _, _ := h.Reserve(BorrowerLoanTTL, "w", tokens(10)); r != nil {
		t.Error("an expired loan was spent")
	}
}

// Guards against a confirmation from a former leader: it would let other shares
// grow while the current leader still grants by the old allocation.
func TestFormerLeaderCannotConfirm(t *testing.T) {
	m := NewMachine()
	index := uint64(0)
	apply := func(c *quotapb.Command) {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		index++
		m.Apply(index, data)
	}
	set := func(burst int64) {
		apply(&quotapb.Command{Kind: &quotapb.Command_Set{Set: &quotapb.Set{Hosts: []string{"a"}, Wanted: []*quotapb.Wanted{{
			Workspace: "w", Allocation: &quotapb.Allocation{Rate: tokens(1), Burst: tokens(burst)}}}}}})
	}
	set(100)
	apply(&quotapb.Command{Kind: &quotapb.Command_StartElastic{StartElastic: &quotapb.StartElastic{Term: 2}}})
	set(50)
	confirm := func(term uint64) bool {
		apply(&quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{Term: term,
			Confirmed: []*quotapb.Confirmed{{Workspace: "w", Epoch: 3}}}}})
		_, records := m.ChangedSince(0)
		return records[0].Next == nil
	}
	if confirm(1) {
		t.Error("a confirmation of term 1 counted in term 2")
	}
	if !confirm(2) {
		t.Error("the confirmation of term 2 did not count")
	}
}

// Guards against state that is missing from a snapshot.
func TestSnapshot(t *testing.T) {
	s := randomSimulation(5)
	s.run(10 * time.Second)
	data, err := s.reference.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	restoredData, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var a, b quotapb.Snapshot
	if proto.Unmarshal(data, &a) != nil || proto.Unmarshal(restoredData, &b) != nil || !proto.Equal(&a, &b) {
		t.Error("the restored machine differs")
	}
}

// Guards against a host that was removed, started again and still spends by the
// old allocation while the shares of other hosts already grow.
func TestRestartedHostMustConfirm(t *testing.T) {
	m := NewMachine()
	index := uint64(0)
	apply := func(c *quotapb.Command) {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		index++
		m.Apply(index, data)
	}
	workspace := Workspace{Name: "w", Rate: 100, Burst: 100}
	set := func(asOf uint64, members ...Member) {
		c := m.ReconcileCommand(1, asOf, members, []Workspace{workspace}, 10)
		apply(&quotapb.Command{Kind: &quotapb.Command_Set{Set: c}})
	}
	join := func(host string) {
		apply(&quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: host}}})
	}
	pending := func() []string {
		_, records := m.ChangedSince(0)
		return records[0].Pending
	}
	join("a")
	join("b")
	set(index, Member{"a", "dc1"}, Member{"b", "dc2"})
	removalIndex := index
	join("b") // after the leader has observed the removal
	set(removalIndex, Member{"a", "dc1"})
	if got := pending(); len(got) != 1 || got[0] != "b" {
		t.Errorf("pending %v, want the host that started again", got)
	}
	set(index, Member{"a", "dc1"}, Member{"c", "dc3"}) // removed after its last start
	if got := pending(); len(got) == 1 && got[0] == "b" {
		t.Error("a removed host still blocks the allocation")
	}
}

// Guards against an allocation of a former leader that takes effect over a newer one: its
// list lacks a host that has returned, which would not have to confirm the decrease of its
// share to zero, so that the shares in use add up to more than the rate.
func TestLateAllocation(t *testing.T) {
	m, index := NewMachine(), uint64(0)
	encode := func(c *quotapb.Command) []byte {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	propose := func(c *quotapb.Command) error {
		if err := m.Admit(nil, encode(c)); err != nil {
			return err
		}
		index++
		m.Apply(index, encode(c))
		return nil
	}
	mustPropose := func(c *quotapb.Command) {
		t.Helper()
		if err := propose(c); err != nil {
			t.Fatal(err)
		}
	}
	workspaces := []Workspace{{Name: "w", Rate: 100, Burst: 100}}
	compute := func(hosts ...string) *quotapb.Command {
		var members []Member
		for _, h := range hosts {
			members = append(members, Member{h, "dc-" + h})
		}
		return &quotapb.Command{Kind: &quotapb.Command_Set{Set: m.ReconcileCommand(1, index, members, workspaces, 10)}}
	}
	record := func() *quotapb.Record {
		_, records := m.ChangedSince(0)
		return records[0]
	}
	confirmAll := func() {
		for r := record(); len(r.Pending) > 0; r = record() {
			mustPropose(&quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{Host: r.Pending[0], Confirmed: []*quotapb.Confirmed{{Workspace: "w", Epoch: r.Epoch}}}}})
		}
	}
	for _, h := range []string{"a", "b"} {
		mustPropose(&quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: h}}})
	}
	mustPropose(compute("a"))
	confirmAll()
	late := compute("a", "c")
	mustPropose(compute("a", "b"))
	confirmAll()
	if err := propose(late); err == nil {
		t.Errorf("the late allocation was applied; pending %v, hosts that run: a, b", record().Pending)
	}
	mustPropose(compute("a", "c"))
	if m.Admit([][]byte{encode(compute("a"))}, encode(compute("a"))) == nil {
		t.Error("an allocation behind one that is not applied was admitted")
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if restored.Admit(nil, encode(late)) == nil || restored.Admit(nil, encode(compute("a"))) != nil {
		t.Error("a snapshot loses the position of the last allocation")
	}
}
