package attachment_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/attachment"
)

func addresses(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("a", i))
	}
	return out
}

// Guards against a host that keeps trying targets it does not reach, and against one that
// takes the crash of a few targets for the loss of its path.
func TestMonitor(t *testing.T) {
	for _, c := range []struct {
		name     string
		targets  int
		failed   []string
		detached bool
	}{
		{"one of many", 8, []string{"a0"}, false},
		{"one of many, again and again", 8, []string{"a0", "a0", "a0", "a0"}, false},
		{"seven of many", 20, addresses(7), false},
		{"eight of many", 20, addresses(8), true},
		{"all but one", 8, addresses(7), false},
		{"the only target", 1, []string{"a0"}, true},
		{"one of two", 2, []string{"a0"}, false},
		{"both", 2, []string{"a0", "a1"}, true},
		{"targets that have left", 8, []string{"x", "y", "z"}, false},
		{"no targets", 0, []string{"a0"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := attachment.NewMonitor()
			for i, a := range c.failed {
				m.Failed(time.Duration(i), a, addresses(c.targets))
			}
			if m.Detached() != c.detached {
				t.Errorf("detached %v, want %v", m.Detached(), c.detached)
			}
			if m.Reached(time.Second, time.Second); m.Detached() || m.Active() {
				t.Error("detached after a success")
			}
		})
	}
}

// Guards against a loss that is found late or whose end is found late, and against probes
// that grow with the number of targets. Hosts with 1 to 600 targets, of which some have
// crashed, lose their path and regain it at random times.
func TestMonitorFindsLossAndEnd(t *testing.T) {
	const step, dialTimeout = 10 * time.Millisecond, 300 * time.Millisecond
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		targets := addresses([]int{1, 2, 3, 5, 60, 600}[r.IntN(6)])
		crashed := map[string]bool{}
		for _, a := range targets[:len(targets)/3] {
			crashed[a] = r.IntN(2) == 0
		}
		lostAt := time.Duration(1+r.IntN(5)) * time.Second
		foundAt := lostAt + time.Duration(2+r.IntN(12))*time.Second
		m := attachment.NewMonitor()
		type outcome struct {
			at      time.Duration
			address string
			failed  bool
		}
		var pending []outcome
		dial := func(now time.Duration, a string) {
			o := outcome{now + time.Millisecond, a, crashed[a]}
			if now >= lostAt && now < foundAt {
				o = outcome{now + dialTimeout, a, true}
			}
			pending = append(pending, o)
		}
		var detachedAt, attachedAt time.Duration
		probes := 0
		for now := time.Duration(0); now < foundAt+3*time.Second; now += step {
			if !m.Detached() && r.IntN(10) == 0 { // a request that needs a connection
				dial(now, targets[r.IntN(len(targets))])
			}
			for _, a := range m.Probes(now, targets) {
				probes++
				dial(now, a)
			}
			var later []outcome
			for _, o := range pending {
				switch {
				case o.at > now:
					later = append(later, o)
				case o.failed:
					m.Failed(now, o.address, targets)
				default:
					m.Reached(now, now)
				}
			}
			pending = later
			if now >= lostAt && now < foundAt && m.Detached() && detachedAt == 0 {
				detachedAt = now
			}
			if now >= foundAt && !m.Detached() && attachedAt == 0 {
				attachedAt = now
			}
		}
		// A loss is found after the failure of a request's connection and of the probes.
		if limit := lostAt + 1500*time.Millisecond; detachedAt == 0 || detachedAt > limit {
			t.Errorf("seed %d, %d targets: path lost at %s, found at %s", seed, len(targets), lostAt, detachedAt)
		}
		// Up to a third of the targets have crashed, so several probes may be needed.
		if limit := foundAt + 2*time.Second; len(targets) > 5 && (attachedAt == 0 || attachedAt > limit) {
			t.Errorf("seed %d, %d targets: path regained at %s, found at %s", seed, len(targets), foundAt, attachedAt)
		}
		if limit := 5 * int((foundAt+3*time.Second)/time.Second) * 3; probes > limit {
			t.Errorf("seed %d, %d targets: %d probes in %s", seed, len(targets), probes, foundAt+3*time.Second)
		}
	}
}

// Guards against a host that counts as detached, and forwards its requests, although some
// targets of its region accept connections. Requests use open connections to these, so
// that only connections to the crashed ones are attempted.
func TestCrashedTargetsAreNotALostPath(t *testing.T) {
	const step = 10 * time.Millisecond
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		targets := addresses(2 + r.IntN(7))
		crashed := map[string]bool{}
		for _, i := range r.Perm(len(targets))[:1+r.IntN(len(targets)-1)] {
			crashed[targets[i]] = true
		}
		m := attachment.NewMonitor()
		connect := func(now time.Duration, a string) {
			if !crashed[a] {
				m.Reached(now, now)
			} else if m.Failed(now, a, targets) {
				t.Fatalf("seed %d: detached at %s, %d of %d targets have crashed", seed, now, len(crashed), len(targets))
			}
		}
		for now := time.Duration(0); now < 10*time.Second; now += step {
			if a := targets[r.IntN(len(targets))]; crashed[a] && r.IntN(20) == 0 {
				connect(now, a)
			}
			for _, a := range m.Probes(now, targets) {
				connect(now, a)
			}
		}
	}
}

// Guards against a detached host that finds its path late after all targets have been
// replaced, because it goes on trying the others first.
func TestReplacedTargetIsProbedFirst(t *testing.T) {
	targets := addresses(60)
	m := attachment.NewMonitor()
	now := time.Duration(0)
	probe := func() []string {
		now += m.ProbeInterval()
		return m.Probes(now, targets)
	}
	for _, a := range targets {
		m.Failed(now, a, targets)
	}
	for range 10 {
		for _, a := range probe() {
			m.Failed(now, a, targets)
		}
	}
	targets = append(targets, "new")
	if got := probe(); len(got) != 1 || got[0] != "new" {
		t.Errorf("probe of %v, want the new target", got)
	}
}
