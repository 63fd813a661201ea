package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards the budget of 5 KB/s per node: the bytes of a change must not grow
// with the fleet. Run it with -v for the figures.
func TestTrafficPerChange(t *testing.T) {
	for _, hosts := range []int{4, 8, 16, 32, 64} {
		m := NewMachine()
		apply(t, m, 0)
		var places []TreeNode
		publishers := map[string]*Publisher{}
		for i := range hosts {
			p := TreeNode{Name: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%4)}
			places = append(places, p)
			publishers[p.Name] = &Publisher{Self: p.Name, Replica: NewReplica()}
			if _, err := publishers[p.Name].Replica.Merge(m.Since(0)); err != nil {
				t.Fatal(err)
			}
		}
		apply(t, m, 1)
		sent := map[string]int{}
		queue, err := publishers["h0"].PublishCommitted(m, true, places)
		from := "h0"
		pending := [][]OutgoingPush{queue}
		senders := []string{from}
		for len(pending) > 0 && err == nil {
			var next []OutgoingPush
			from, pending, senders, queue = senders[0], pending[1:], senders[1:], pending[0]
			for _, o := range queue {
				sent[from] += proto.Size(o.Push)
				if next, _, err = publishers[o.To].HandlePush(o.Push, places); err != nil {
					t.Fatal(err)
				}
				pending, senders = append(pending, next), append(senders, o.To)
			}
		}
		total, most := 0, 0
		for name, p := range publishers {
			if p.Replica.View().Index != m.Index() {
				t.Errorf("%s was not reached", name)
			}
			total, most = total+sent[name], max(most, sent[name])
		}
		t.Logf("%d hosts: %d bytes per host for a change of one line, at most %d from one host", hosts, total/hosts, most)
		if most > 1500 {
			t.Errorf("%d bytes from one host", most)
		}
	}
}
