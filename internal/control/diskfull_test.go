package control_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/proctest"
)

// Guards against control hosts that refuse changes, or leave them unanswered, long after
// their disks have room again: the disks were full one after the other, never two at once.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for _, c := range []struct{ hosts, voters int }{{3, 3}, {6, 5}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			t.Parallel()
			var listeners []net.Listener
			var addresses []string
			for range c.hosts {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
			}
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			t.Cleanup(func() { cancel(); done.Wait() })
			var nodes []*control.Node
			var dirs []string
			for i, l := range listeners {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				transport := peer.New(addresses[i], &clock.HLC{}, nil)
				dir := filepath.Join(t.TempDir(), fmt.Sprint(i))
				n, err := control.NewNode(control.Config{Host: addresses[i], Dir: dir, Dial: transport.Dial, Logger: logger, Metrics: metrics.NewRegistry(),
					InitialVoters: addresses[:3], VoterCount: c.voters, ReopenAfterDiskFailure: true,
					DiscoverVoters: func() (out []control.Voter) {
						for _, a := range addresses {
							out = append(out, control.Voter{Host: a, Address: a})
						}
						return out
					}})
				if err != nil {
					t.Fatal(err)
				}
				n.Register("counter", &counter{})
				if err := transport.Register(n.Service(), controlpb.DRPCControlDescription{}); err != nil {
					t.Fatal(err)
				}
				nodes, dirs = append(nodes, n), append(dirs, dir)
				done.Go(func() { _ = transport.Serve(ctx, l) })
				done.Go(func() {
					if err := n.Run(ctx); err != nil {
						t.Error(err)
					}
					_ = transport.Close()
				})
			}
			change := func(i int, limit time.Duration) error {
				ctx, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				_, err := nodes[i].Propose(ctx, "counter", binary.LittleEndian.AppendUint64(nil, 1))
				return err
			}
			for i := range nodes {
				proctest.Eventually(t, 20*time.Second, func() error { return change(i, 2*time.Second) })
			}
			for i := range nodes {
				// A file in place of the directory makes every attempt to open the log fail.
				if err := control.FailDisk(nodes[i]); err != nil {
					t.Fatal(err)
				}
				if err := os.Rename(dirs[i], dirs[i]+".away"); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(dirs[i], nil, 0o600); err != nil {
					t.Fatal(err)
				}
				answered := 0
				for full := time.Now(); time.Since(full) < 2500*time.Millisecond; {
					if change((i+1)%len(nodes), time.Second) == nil {
						answered++
					}
					time.Sleep(50 * time.Millisecond)
				}
				if answered == 0 {
					t.Errorf("no change was made while the disk of host %d alone was full", i)
				}
				if err := os.Remove(dirs[i]); err != nil {
					t.Fatal(err)
				}
				if err := os.Rename(dirs[i]+".away", dirs[i]); err != nil {
					t.Fatal(err)
				}
				proctest.Eventually(t, 6*time.Second, func() error { return change(i, time.Second) })
			}
			for i := range nodes {
				if err := change(i, 2*time.Second); err != nil {
					t.Errorf("host %d, after all disks had room: %v", i, err)
				}
			}
		})
	}
}
