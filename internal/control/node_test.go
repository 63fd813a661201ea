package control_test

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/proctest"
)

var measure = flag.Bool("measure", false, "print the measured figures of the replicated log")

// counter is a machine that adds the numbers of its commands.
type counter struct {
	mu    sync.Mutex
	total uint64
}

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += binary.LittleEndian.Uint64(command)
	return binary.LittleEndian.AppendUint64(nil, c.total)
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, c.total), nil
}

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = binary.LittleEndian.Uint64(data)
	return nil
}

// member is a voter in this process, with a relay to each other one.
type member struct {
	name      string
	node      *control.Node
	config    control.Config
	transport *peer.Transport
	cancel    context.CancelFunc
	done      sync.WaitGroup
	relays    map[string]*proctest.Relay
}

type cluster struct {
	t       testing.TB
	members []*member
}

// newCluster starts voters in this process that reach each other through relays.
func newCluster(t testing.TB, dir string, voters int) *cluster {
	c := &cluster{t: t}
	t.Cleanup(c.stop)
	var listeners []net.Listener
	for range voters {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for i := range voters {
		c.members = append(c.members, c.start(filepath.Join(dir, fmt.Sprint(i)), i, listeners))
	}
	return c
}

func (c *cluster) start(dir string, i int, listeners []net.Listener) *member {
	m := &member{name: fmt.Sprintf("h%d", i), relays: map[string]*proctest.Relay{}}
	m.transport = peer.New(m.name, &clock.HLC{}, nil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m.config = control.Config{Host: m.name, Dir: dir, Dial: m.transport.Dial, Logger: logger, Metrics: metrics.NewRegistry()}
	for j, l := range listeners {
		address := l.Addr().String()
		if j != i {
			r, err := proctest.NewRelay("127.0.0.1:0", address)
			if err != nil {
				c.t.Fatal(err)
			}
			name := fmt.Sprintf("h%d", j)
			m.relays[name], address = r, r.Address()
		}
		m.config.Voters = append(m.config.Voters, control.Voter{Host: fmt.Sprintf("h%d", j), Address: address})
	}
	node, err := control.NewNode(m.config)
	if err != nil {
		c.t.Fatal(err)
	}
	m.node = node
	node.Register("counter", &counter{})
	if err := m.transport.Register(node.Service(), controlpb.DRPCControlDescription{}); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { _ = m.transport.Serve(ctx, listeners[i]) })
	m.done.Go(func() {
		if err := node.Run(ctx); err != nil {
			c.t.Error(err)
		}
	})
	return m
}

func (c *cluster) stop() {
	for _, m := range c.members {
		m.cancel()
		_ = m.transport.Close()
	}
	for _, m := range c.members {
		m.done.Wait()
		for _, r := range m.relays {
			r.Close()
		}
	}
}

func (c *cluster) init() {
	c.t.Helper()
	if _, err := control.Initialise(c.t.Context(), c.members[0].config); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) eachRelay(do func(from, to string, r *proctest.Relay)) {
	for _, m := range c.members {
		for to, r := range m.relays {
			do(m.name, to, r)
		}
	}
}

func (c *cluster) leader() *member {
	c.t.Helper()
	var out *member
	proctest.Eventually(c.t, 15*time.Second, func() error {
		for _, m := range c.members {
			if _, ok := m.node.Lease(); ok {
				out = m
				return nil
			}
		}
		return errors.New("no lease")
	})
	return out
}

func incrementCommand() []byte { return binary.LittleEndian.AppendUint64(nil, 1) }

// Guards against errors that do not let a remote caller distinguish a command that was
// certainly not appended from one that may be committed later, and against a command
// for an unknown machine that stops the voters.
func TestErrorsOfRemoteProposals(t *testing.T) {
	// go-metrics runs one goroutine for all meters of the process.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
	c := newCluster(t, t.TempDir(), 3)
	defer c.stop()
	c.init()
	leader := c.leader()
	transport := peer.New("edge", &clock.HLC{}, nil)
	defer transport.Close()
	config := control.Config{Host: "edge", Dial: transport.Dial, Voters: []control.Voter{leader.config.Voters[slices.Index(c.members, leader)]}}
	remote := control.NewRemote(config)
	propose := func(machine string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := remote.Propose(ctx, machine, incrementCommand())
		return err
	}
	if err := propose("counter", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := propose("no such machine", 10*time.Second); !errors.Is(err, control.ErrUnknownMachine) {
		t.Errorf("unknown machine: %v", err)
	}
	c.eachRelay(func(_, _ string, r *proctest.Relay) { r.Cut() })
	// The lease is still valid, so this command is appended but cannot commit.
	if err := propose("counter", 20*time.Second); !errors.Is(err, control.ErrUncertain) {
		t.Errorf("in the lease, without a majority: %v, want ErrUncertain", err)
	}
	if err := propose("counter", 20*time.Second); !errors.Is(err, control.ErrNoQuorum) {
		t.Errorf("after the lease: %v, want ErrNoQuorum", err)
	}
	c.eachRelay(func(_, _ string, r *proctest.Relay) { r.Heal() })
	proctest.Eventually(t, 20*time.Second, func() error { return propose("counter", 10*time.Second) })
}

// Guards against a follower that lags far behind and never receives the snapshot, and
// against commands that are lost or applied twice because of a snapshot.
func TestFollowerFarBehindReceivesSnapshot(t *testing.T) {
	c := newCluster(t, t.TempDir(), 3)
	c.init()
	leader := c.leader()
	lagging := c.members[(slices.Index(c.members, leader)+1)%3]
	c.eachRelay(func(from, to string, r *proctest.Relay) {
		if from == lagging.name || to == lagging.name {
			r.Cut()
		}
	})
	const count = 6000
	proposeMany(t, leader.node, count, 64)
	c.eachRelay(func(_, _ string, r *proctest.Relay) { r.Heal() })
	proctest.Eventually(t, 30*time.Second, func() error {
		if got, want := lagging.node.Report().Commit, leader.node.Report().Commit; got < want {
			return fmt.Errorf("commit index %d of %d", got, want)
		}
		return nil
	})
	result, err := lagging.node.Propose(t.Context(), "counter", incrementCommand())
	if err != nil || binary.LittleEndian.Uint64(result) != count+1 {
		t.Errorf("count %x, %v, want %d", result, err, count+1)
	}
}

// proposeMany proposes count increments from several goroutines.
func proposeMany(t testing.TB, n *control.Node, count, parallel int) {
	t.Helper()
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for range count / parallel {
				if _, err := n.Propose(context.Background(), "counter", incrementCommand()); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	workers.Wait()
	for range count % parallel {
		if _, err := n.Propose(context.Background(), "counter", incrementCommand()); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a restart after many entries that loses some of them. It prints the
// time to the first result; with -measure also after 50,000 entries.
func TestRecoveryAfterManyEntries(t *testing.T) {
	counts := []int{500}
	if *measure {
		counts = append(counts, 50_000)
	}
	for _, count := range counts {
		dir := t.TempDir()
		c := newCluster(t, dir, 1)
		c.init()
		proposeMany(t, c.leader().node, count, 128)
		c.stop()
		start := time.Now()
		c = newCluster(t, dir, 1)
		result, err := c.members[0].node.Propose(t.Context(), "counter", incrementCommand())
		if err != nil || binary.LittleEndian.Uint64(result) != uint64(count)+1 {
			t.Fatalf("count %x, %v, want %d", result, err, count+1)
		}
		t.Logf("one voter answers %v after a restart with %d entries", time.Since(start).Round(time.Microsecond), count)
	}
}

// TestMeasureCommit prints commit latencies on loopback and with a one-way delay of
// 55 ms. It runs only with -measure.
func TestMeasureCommit(t *testing.T) {
	if !*measure {
		t.Log("prints figures; run with -measure")
		return
	}
	for _, delay := range []time.Duration{0, 55 * time.Millisecond} {
		c := newCluster(t, t.TempDir(), 3)
		c.init()
		leader := c.leader()
		c.eachRelay(func(_, _ string, r *proctest.Relay) { r.Delay(delay) })
		proposeMany(t, leader.node, 20, 1)
		var times []time.Duration
		for range 100 {
			start := time.Now()
			if _, err := leader.node.Propose(t.Context(), "counter", incrementCommand()); err != nil {
				t.Fatal(err)
			}
			times = append(times, time.Since(start))
		}
		slices.Sort(times)
		start := time.Now()
		proposeMany(t, leader.node, 2000, 100)
		t.Logf("delay %v: commit median %v, 95%% %v, largest %v; 2000 commits by 100 callers in %v", delay,
			times[50].Round(10*time.Microsecond), times[95].Round(10*time.Microsecond), times[99].Round(10*time.Microsecond),
			time.Since(start).Round(time.Millisecond))
		c.stop()
	}
}

// Guards against a connection between two voters that loses all data without a reset
// and stays in use: heartbeats of the leader, or the responses of the follower, would
// be lost for as long as the connection exists.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, fromLeader := range map[string]bool{"from the leader": true, "from the follower": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, t.TempDir(), 3)
			c.init()
			leader := c.leader()
			follower := c.members[(slices.Index(c.members, leader)+1)%3]
			relay := leader.relays[follower.name]
			if !fromLeader {
				relay = follower.relays[leader.name]
			}
			relay.Blackhole(false)
			time.Sleep(500 * time.Millisecond) // two heartbeats are lost
			relay.Heal()
			proctest.Eventually(t, 3*time.Second, func() error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if !follower.node.AwaitCurrent(ctx) {
					return errors.New("the follower is not current")
				}
				return nil
			})
		})
	}
}
