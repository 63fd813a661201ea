package fleet

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// Guards against edits that produce a different text than the operator sent.
func TestEditsReproduceText(t *testing.T) {
	line := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", ""})
	text := rapid.Map(rapid.SliceOfN(line, 0, 30), func(l []string) string { return strings.Join(l, "\n") })
	rapid.Check(t, func(t *rapid.T) {
		before, after := text.Draw(t, "before"), text.Draw(t, "after")
		got, err := applyEdits(before, diffLines(before, after))
		if err != nil || got != after {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against edits as large as the file when two distant lines change.
func TestEditsAreSmall(t *testing.T) {
	lines := strings.Split(rulesWithWorkspaces(2400, 0), "\n")
	before := strings.Join(lines, "\n")
	lines[3], lines[2000] = lines[3]+" x", "new"
	edits := diffLines(before, strings.Join(lines, "\n"))
	if size := proto.Size(&fleetpb.RulesChange{Edits: edits}); len(edits) != 2 || size > 300 {
		t.Errorf("%d edits, %d bytes", len(edits), size)
	}
}

// Guards against a stored state that is lost at a restart, or loaded although the file
// is damaged.
func TestStore(t *testing.T) {
	store, err := OpenStore(t.TempDir() + "/fleet")
	if err != nil {
		t.Fatal(err)
	}
	if state, err := store.Load(); state != nil || err != nil {
		t.Fatalf("Load from an empty directory: got %v, %v", state, err)
	}
	want := &fleetpb.State{Index: 7, Revision: 2, Rules: "x", Withdrawn: []string{"a"}}
	if err := store.Save(want); err != nil {
		t.Fatal(err)
	}
	if got, err := store.Load(); err != nil || !proto.Equal(got, want) {
		t.Fatalf("got %v, %v", got, err)
	}
	data, err := os.ReadFile(store.Path())
	if err != nil {
		t.Fatal(err)
	}
	for offset := range data {
		damaged := append([]byte(nil), data...)
		damaged[offset] ^= 1
		if _, err := decodeState(damaged); err == nil {
			t.Errorf("a flipped bit in byte %d is not detected", offset)
		}
		if _, err := decodeState(data[:offset]); err == nil {
			t.Errorf("truncation at byte %d is not detected", offset)
		}
	}
	if err := os.WriteFile(store.Path(), data[:len(data)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Load(); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), store.Path()) {
		t.Errorf("got %v", err)
	}
}

// Guards against a snapshot without the cached answers, after which a resent command
// would be applied again.
func TestSnapshotKeepsAnswers(t *testing.T) {
	m := NewMachine()
	command := func(text string) []byte {
		data, err := proto.Marshal(&fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{RequestId: "r", Text: text, Operator: "o"}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	first := string(m.Apply(3, command("# a\n")))
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if repeated := string(restored.Apply(4, command("# a\n"))); repeated != first {
		t.Error("a resent command gets a different result after the restore")
	}
	var other fleetpb.Result
	if err := proto.Unmarshal(restored.Apply(5, command("# b\n")), &other); err != nil || other.Reason != ReasonRequestIDReused {
		t.Errorf("different content with the same request id: got %v, %v", &other, err)
	}
}

// Guards against hosts that are not in the push tree, or receive a change twice.
func TestChildrenReachAllOnce(t *testing.T) {
	var hosts []TreeNode
	for i := range 410 {
		hosts = append(hosts, TreeNode{Name: string(rune('a'+i%10)) + strings.Repeat("x", i/10), DataCentre: string(rune('a' + i%10))})
	}
	origin := hosts[17].Name
	reached, level, depth := map[string]int{origin: 1}, []string{origin}, 0
	for len(level) > 0 {
		var next []string
		for _, name := range level {
			children := Children(origin, name, hosts)
			if len(children) > FanOut {
				t.Fatalf("%s pushes to %d hosts", name, len(children))
			}
			for _, c := range children {
				reached[c]++
				next = append(next, c)
			}
		}
		if level = next; len(level) > 0 {
			depth++
		}
	}
	for _, h := range hosts {
		if reached[h.Name] != 1 {
			t.Errorf("%s is reached %d times", h.Name, reached[h.Name])
		}
	}
	if depth > 6 {
		t.Errorf("the tree has depth %d", depth)
	}
}

// Guards against hosts that receive a change only by a later pull because their parent
// in the push tree is down. The parent's parent must push to them instead.
func TestChildrenOfFailedHostsAreReached(t *testing.T) {
	m := NewMachine()
	applyRulesRevision(t, m, 0)
	var nodes []TreeNode
	hosts := map[string]*Publisher{}
	for i := range 40 {
		node := TreeNode{Name: fmt.Sprintf("h%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
		nodes = append(nodes, node)
		hosts[node.Name] = &Publisher{Self: node.Name, Replica: NewReplica()}
		if _, err := hosts[node.Name].Replica.Merge(m.Since(0)); err != nil {
			t.Fatal(err)
		}
	}
	down := map[string]bool{}
	for _, name := range Children("h00", "h00", nodes)[:2] {
		down[name] = true
		down[Children("h00", name, nodes)[0]] = true
	}
	applyRulesRevision(t, m, 1)
	queue, err := hosts["h00"].PublishCommitted(m, true, nodes)
	senders := make([]string, len(queue))
	for i := range senders {
		senders[i] = "h00"
	}
	for len(queue) > 0 && err == nil {
		o, from := queue[0], senders[0]
		queue, senders = queue[1:], senders[1:]
		var next []OutgoingPush
		sender := o.To
		if down[o.To] {
			next, sender = hosts[from].HandlePushFailure(o, nodes), from
		} else {
			next, _, err = hosts[o.To].HandlePush(o.Push, nodes)
		}
		for _, n := range next {
			queue, senders = append(queue, n), append(senders, sender)
		}
	}
	if err != nil || len(down) != 4 {
		t.Fatal(err, down)
	}
	for name, h := range hosts {
		if !down[name] && h.Replica.View().Index != m.Index() {
			t.Errorf("%s was not reached", name)
		}
	}
}

// Guards against messages from other hosts that crash a host or revert its state.
func FuzzMerge(f *testing.F) {
	m := NewMachine()
	command, err := proto.Marshal(&fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{RequestId: "r", Text: "# a\n", Operator: "o"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(command)
	m.Apply(3, command)
	for _, in := range []*fleetpb.PullResponse{m.Since(0), {State: m.State()}} {
		data, err := proto.Marshal(in)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		replica := NewReplica()
		var in fleetpb.PullResponse
		if proto.Unmarshal(data, &in) == nil {
			for range 2 {
				before := replica.View()
				if _, err := replica.Merge(&in); err != nil && replica.View() != before {
					t.Error("a rejected message changed the state")
				}
				if replica.View().Index < before.Index {
					t.Error("the index decreased")
				}
			}
			replica.Since(replica.View().Index - 1)
		}
		machine := NewMachine()
		machine.Apply(1, data)
		machine.Apply(2, data)
		if machine.Restore(data) == nil {
			machine.Apply(machine.Index()+1, data)
		}
		_, _ = decodeState(data)
	})
}
