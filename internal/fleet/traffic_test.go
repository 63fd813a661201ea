package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against publication traffic above the budget of 5 KB/s per host: the bytes
// that a host sends for a change must not grow with the number of hosts. With -v, the
// test prints the figures.
func TestTrafficPerChange(t *testing.T) {
	for _, hosts := range []int{4, 8, 16, 32, 64} {
		m := NewMachine()
		applyRulesRevision(t, m, 0)
		var nodes []TreeNode
		publishers := map[string]*Publisher{}
		for i := range hosts {
			node := TreeNode{Name: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%4)}
			nodes = append(nodes, node)
			publishers[node.Name] = &Publisher{Self: node.Name, Replica: NewReplica()}
			if _, err := publishers[node.Name].Replica.Merge(m.Since(0)); err != nil {
				t.Fatal(err)
			}
		}
		applyRulesRevision(t, m, 1)
		sent := map[string]int{}
		queue, err := publishers["h0"].PublishCommitted(m, true, nodes)
		from := "h0"
		pending := [][]OutgoingPush{queue}
		senders := []string{from}
		for len(pending) > 0 && err == nil {
			var next []OutgoingPush
			from, pending, senders, queue = senders[0], pending[1:], senders[1:], pending[0]
			for _, o := range queue {
				sent[from] += proto.Size(o.Push)
				if next, _, err = publishers[o.To].HandlePush(o.Push, nodes); err != nil {
					t.Fatal(err)
				}
				pending, senders = append(pending, next), append(senders, o.To)
			}
		}
		total, maxPerHost := 0, 0
		for name, p := range publishers {
			if p.Replica.View().Index != m.Index() {
				t.Errorf("%s was not reached", name)
			}
			total, maxPerHost = total+sent[name], max(maxPerHost, sent[name])
		}
		t.Logf("%d hosts: %d bytes per host for a change of one line, at most %d from one host", hosts, total/hosts, maxPerHost)
		if maxPerHost > 1500 {
			t.Errorf("%d bytes from one host", maxPerHost)
		}
	}
}
