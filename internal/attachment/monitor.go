package attachment

import (
	"slices"
	"time"
)

const (
	// confirmations is the number of targets to which connections must fail before the
	// host counts as detached. With fewer targets it is all of them.
	confirmations = 8
	// probeInterval is the time between the probes of a detached host. It bounds how long
	// the end of the loss stays unnoticed, and does not depend on the number of targets.
	probeInterval = 250 * time.Millisecond
	// probeStride is the distance between targets that are probed one after the other.
	// Neighbours in the list often fail together. It is a prime number, so that all
	// targets get their turn.
	probeStride = 7919
	// recentSuccess is how long an opened connection shows that the path works, so that
	// a single failure needs no probes.
	recentSuccess = 300 * time.Millisecond
)

// Monitor tracks what new connections to the targets of the region show about the path to
// them. Invariants: the host is detached only while every connection since its last success
// has failed, to confirmations targets or to all of them; one success ends it. It is not
// safe for concurrent use.
type Monitor struct {
	// failed are the addresses to which connections failed since the last success, failedAt
	// the time of the first of these failures.
	failed   map[string]bool
	failedAt time.Duration
	detached bool
	// since is when the host became detached.
	since       time.Duration
	reachedAt   time.Duration
	everReached bool
	nextProbe   time.Duration
	// probes counts the addresses that were considered for a probe.
	probes int
}

// NewMonitor returns the monitor of a host that counts as attached.
func NewMonitor() *Monitor { return &Monitor{failed: map[string]bool{}} }

// Detached reports whether the host reaches no target of its region.
func (m *Monitor) Detached() bool { return m.detached }

// Reached records that a target has answered on a connection that was opened at a time. A
// connection from before the first failure does not count: it may live on while no other
// can be opened. Reached returns how long the host was detached, and whether it was.
func (m *Monitor) Reached(now, openedAt time.Duration) (outage time.Duration, ended bool) {
	if m.Active() && openedAt < m.failedAt {
		return 0, false
	}
	ended = m.detached
	clear(m.failed)
	m.detached, m.reachedAt, m.everReached = false, now, true
	return now - m.since, ended
}

// Failed records that a connection to a target failed. targets are the addresses
// of all targets of the region. It reports whether the host is detached from now on.
func (m *Monitor) Failed(now time.Duration, address string, targets []string) bool {
	if !slices.Contains(targets, address) {
		return false // the target has left
	}
	if !m.Active() {
		m.failedAt = now
	}
	m.failed[address] = true
	if m.detached || m.countFailed(targets) < min(confirmations, len(targets)) {
		return false
	}
	m.detached, m.since, m.nextProbe = true, now, now+probeInterval
	return true
}

func (m *Monitor) countFailed(targets []string) int {
	n := 0
	for _, a := range targets {
		if m.failed[a] {
			n++
		}
	}
	return n
}

// Active reports whether probes may be due: an attempt has failed since the last success.
func (m *Monitor) Active() bool { return len(m.failed) > 0 }

// Probes returns the addresses to which connections should be attempted now. After a
// failure these are enough others of the targets to decide; while the host is detached it
// is one target in each interval.
func (m *Monitor) Probes(now time.Duration, targets []string) []string {
	if len(targets) == 0 {
		clear(m.failed)
		m.detached = false
	}
	if !m.Active() || now < m.nextProbe {
		return nil
	}
	if !m.detached && m.everReached && now-m.reachedAt < recentSuccess {
		return nil
	}
	m.nextProbe = now + probeInterval
	if m.detached {
		return []string{m.nextTarget(targets)}
	}
	wanted := min(confirmations, len(targets)) - m.countFailed(targets)
	var out []string
	for i := 0; i < len(targets) && len(out) < wanted; i++ {
		m.probes++
		if a := targets[m.probes*probeStride%len(targets)]; !m.failed[a] {
			out = append(out, a)
		}
	}
	return out
}

// nextTarget returns the next target in turn. Those that have not failed come first, among
// them targets that were registered since the host became detached.
func (m *Monitor) nextTarget(targets []string) string {
	m.probes++
	for i := range targets {
		if a := targets[(m.probes+i)*probeStride%len(targets)]; !m.failed[a] {
			return a
		}
	}
	return targets[m.probes*probeStride%len(targets)]
}

// ProbeInterval is the time after which Probes may return further addresses.
func (m *Monitor) ProbeInterval() time.Duration { return probeInterval }
