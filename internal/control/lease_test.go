package control_test

import (
	"context"
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/control"
)

// slowCounter signals the first Apply and blocks every Apply until released.
type slowCounter struct {
	counter
	applying chan struct{} // buffered
	released chan struct{}
}

func (c *slowCounter) Apply(index uint64, command []byte) []byte {
	select {
	case c.applying <- struct{}{}:
	default:
	}
	<-c.released
	return c.counter.Apply(index, command)
}

// Guards against a stale read: a new leader that holds the lease reports its state as
// current while its machines are still applying the entries of earlier terms.
func TestNewLeaderIsCurrentOnlyAfterApplying(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dir := filepath.Join(t.TempDir(), "log")
	const self = "127.0.0.1:1"
	start := func(m control.Machine) (*control.Node, func()) {
		n, err := control.NewNode(control.Config{Host: self, Dir: dir, InitialVoters: []string{self}, Logger: log, Metrics: metrics.NewRegistry(),
			DiscoverVoters: func() []control.Voter { return nil }, Dial: func(string) drpc.Conn { panic("a sole voter dials nobody") }})
		if err != nil {
			t.Fatal(err)
		}
		n.Register("sum", m)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		return n, func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
	await := func(n *control.Node, limit time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return n.AwaitCurrent(ctx)
	}
	n, stop := start(&counter{})
	for range 3 {
		if _, err := n.Propose(context.Background(), "sum", incrementCommand()); err != nil {
			t.Fatal(err)
		}
	}
	stop()

	slow := &slowCounter{applying: make(chan struct{}, 1), released: make(chan struct{})}
	n, stop = start(slow)
	defer stop()
	<-slow.applying
	if _, ok := n.Lease(); ok {
		t.Error("the lease is published before the entries are applied")
	}
	if age, ok := n.StateAge(); ok {
		t.Errorf("reports a state age of %s before the entries are applied", age)
	}
	if await(n, 100*time.Millisecond) {
		t.Error("reports the state as current before the entries are applied")
	}
	close(slow.released)
	if !await(n, 5*time.Second) || slow.total != 3 {
		t.Errorf("current state of 3 increments not reached: %d", slow.total)
	}
}
