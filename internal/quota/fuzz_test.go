package quota

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// Guards against a command or snapshot that makes a voter panic, since all voters
// would then panic at the same log index.
func FuzzMachine(f *testing.F) {
	for _, c := range []*quotapb.Command{
		{Kind: &quotapb.Command_Set{Set: &quotapb.Set{Hosts: []string{"a"}, Wanted: []*quotapb.Wanted{{Workspace: "w",
			Allocation: Allocate(Workspace{Name: "w", Rate: 5, Burst: 9}, []Member{{"a", "x"}})}}}}},
		{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{Confirmed: []*quotapb.Confirmed{{Workspace: "w"}}}}},
		{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: "a"}}},
	} {
		data, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m := NewMachine()
		m.Apply(1, first)
		m.Apply(2, second)
		index, records := m.ChangedSince(0)
		h := NewHost("a", "x", 1, 0)
		h.Apply(0, index, records)
		h.Tick(time.Minute)
		h.Confirmations(time.Minute, 1)
		if restored := NewMachine(); restored.Restore(second) == nil {
			restored.Apply(3, first)
		}
	})
}

// Guards against a message from another host that makes this host panic or
// violates the bucket invariant, which the bucket checks itself.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&quotapb.BorrowRequest{Workspace: "w", Amount: TokenUnit, Id: &quotapb.LoanID{Host: "b"}},
		&quotapb.SettleRequest{Settlements: []*quotapb.Settlement{{Workspace: "w", Spent: 1, Id: &quotapb.LoanID{Host: "b"}}}},
		&quotapb.ReadResponse{Index: 3, Records: []*quotapb.Record{{Workspace: "w", Changed: 3}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := NewHost("a", "dc1", 1, 0)
		a := Allocate(Workspace{Name: "w", Rate: 100, Burst: 100}, []Member{{"a", "dc1"}, {"b", "dc2"}})
		h.Apply(0, 1, []*quotapb.Record{{Workspace: "w", Epoch: 1, Changed: 1, Settled: a}})
		h.StartElastic(0, 1)
		var in quotapb.BorrowRequest
		if proto.Unmarshal(data, &in) == nil {
			h.Lend(time.Minute, &in, 1)
			in.Elastic = !in.Elastic
			h.Lend(time.Minute, &in, 1)
		}
		var settle quotapb.SettleRequest
		if proto.Unmarshal(data, &settle) == nil {
			h.HandleSettlements(time.Minute, &settle)
		}
		var answer quotapb.BorrowResponse
		if proto.Unmarshal(data, &answer) == nil {
			h.Reserve(time.Minute, "w", tokens(30))
			for _, m := range h.TakeMessages() {
				h.HandleBorrowResponse(time.Minute, m.To, m.Borrow, &answer)
			}
		}
		var read quotapb.ReadResponse
		if proto.Unmarshal(data, &read) == nil {
			h.Apply(time.Minute, read.Index, read.Records)
		}
		h.Tick(2 * time.Minute)
	})
}
