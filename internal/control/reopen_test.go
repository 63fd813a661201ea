package control_test

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/proctest"
)

// Guards against a voter that stops for good, or acknowledges commands that it cannot
// write, when its disk fails for some time.
func TestVoterRecoversFromDiskFailure(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dir := filepath.Join(t.TempDir(), "log")
	const self = "127.0.0.1:1"
	n, err := control.NewNode(control.Config{Host: self, Dir: dir, InitialVoters: []string{self}, ReopenAfterDiskFailure: true, Logger: log, Metrics: metrics.NewRegistry(),
		DiscoverVoters: func() []control.Voter { return nil }, Dial: func(string) drpc.Conn { panic("a sole voter dials nobody") }})
	if err != nil {
		t.Fatal(err)
	}
	total := &counter{}
	n.Register("sum", total)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	add := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		_, err := n.Propose(ctx, "sum", []byte{1, 0, 0, 0, 0, 0, 0, 0})
		return err
	}
	if err := add(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	// Closing the file descriptor of the log makes the next write fail at once. A file
	// in place of the directory makes every attempt to reopen the log fail.
	if err := control.FailDisk(n); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(dir, dir+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := add(time.Second); err == nil {
		t.Error("acknowledged without a disk")
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(dir+".away", dir); err != nil {
		t.Fatal(err)
	}
	proctest.Eventually(t, 10*time.Second, func() error { return add(time.Second) })
	if total.total != 2 {
		t.Errorf("the sum is %d, want 2: an entry was lost or counted twice", total.total)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}
