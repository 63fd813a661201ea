package fleet

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

const (
	benchWorkspaces = 2400
	benchKeys       = 5000
)

func rulesWithWorkspaces(workspaces, round int) string {
	var b strings.Builder
	for i := range workspaces {
		rate := 100
		if i == round%workspaces {
			rate = 101 + round
		}
		fmt.Fprintf(&b, "workspace space-%d rate=%d/s burst=4000 residency=any home=dc-%d  # Operator %d, ticket %d\n", i, rate, i%10, i%7, i)
	}
	return b.String()
}

func marshal(tb testing.TB, c *fleetpb.Command) []byte {
	tb.Helper()
	data, err := proto.Marshal(c)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// machineAtTargetSize returns a machine with the target number of workspaces and
// several thousand keys.
func machineAtTargetSize(tb testing.TB) *Machine {
	tb.Helper()
	m := NewMachine()
	applyRulesRevision(tb, m, 0)
	for i := range benchKeys {
		m.Apply(m.Index()+1, marshal(tb, &fleetpb.Command{Kind: &fleetpb.Command_GrantKey{GrantKey: &fleetpb.GrantKey{
			RequestId: fmt.Sprintf("g%d", i), KeyId: fmt.Sprintf("%016x", i), Workspace: "space-1", SecretHash: make([]byte, 32), Operator: "Operator 3"}}}))
	}
	return m
}

func applyRulesRevision(tb testing.TB, m *Machine, round int) {
	tb.Helper()
	command := marshal(tb, &fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{
		BaseRevision: m.State().Revision, RequestId: fmt.Sprintf("r%d-%d", m.Index(), round), Text: rulesWithWorkspaces(benchWorkspaces, round), Operator: "Operator 3"}}})
	before := m.Index()
	if m.Apply(before+1, command); m.Index() == before {
		tb.Fatal("change was rejected")
	}
}

// BenchmarkMachineRules measures the CPU time of a voter for a change of one line.
func BenchmarkMachineRules(b *testing.B) {
	m := machineAtTargetSize(b)
	for i := 0; b.Loop(); i++ {
		applyRulesRevision(b, m, i+1)
	}
}

// BenchmarkMachineGrant measures the CPU time of a voter for a new key.
func BenchmarkMachineGrant(b *testing.B) {
	m := machineAtTargetSize(b)
	for i := 0; b.Loop(); i++ {
		m.Apply(m.Index()+1, marshal(b, &fleetpb.Command{Kind: &fleetpb.Command_GrantKey{GrantKey: &fleetpb.GrantKey{
			RequestId: fmt.Sprintf("b%d", i), KeyId: fmt.Sprintf("b%d", i), Workspace: "space-1", SecretHash: make([]byte, 32)}}}))
	}
}

func benchmarkReplica(b *testing.B, store StateStore) {
	m, replica := machineAtTargetSize(b), NewReplica()
	replica.PersistTo(store)
	if _, err := replica.Merge(m.Since(0)); err != nil {
		b.Fatal(err)
	}
	i, bytes := 0, 0
	for b.Loop() {
		b.StopTimer()
		i++
		applyRulesRevision(b, m, i)
		update := m.Since(replica.View().Index)
		bytes += proto.Size(update)
		b.StartTimer()
		if installed, err := replica.Merge(update); !installed || err != nil {
			b.Fatal(installed, err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(i), "bytes/change")
	b.ReportMetric(float64(proto.Size(m.State())), "bytes/state")
}

// BenchmarkReplicaRules measures the CPU time of a host without a disk for a change of
// one line.
func BenchmarkReplicaRules(b *testing.B) { benchmarkReplica(b, nil) }

// BenchmarkReplicaRulesStored also measures the synced write of the state to disk.
func BenchmarkReplicaRulesStored(b *testing.B) {
	store, err := OpenStore(b.TempDir() + "/fleet")
	if err != nil {
		b.Fatal(err)
	}
	benchmarkReplica(b, store)
}
