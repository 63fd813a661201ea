package targets

import (
	"errors"
	"slices"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/rules"
)

// Query selects the targets that a request may use.
type Query struct {
	Pool  string
	Model string
	// Prefixes are digests of prompt prefixes of increasing length, shortest first.
	Prefixes []uint64
	// Residency lists the data centres whose targets may be used; empty means all.
	Residency []string
	// Exclude holds the names of the targets that this request has already tried.
	Exclude map[string]bool
}

// Candidate is a target that may get a new request, as input to a load-balancing policy.
type Candidate struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	// Slots is the announced concurrency; Limit is the current limit, which is
	// lower during slow start.
	Slots, Limit int
	// InFlight is the number of requests of this host on the target; Load estimates
	// that of all hosts.
	InFlight, Load int
	// RemoteLoad is Load without InFlight. The newest report in it is RemoteLoadAge
	// old. RemoteLoadMean is its moving average over the last announcements.
	RemoteLoad     int
	RemoteLoadAge  time.Duration
	RemoteLoadMean float64
	// ReportedLoad is the number of running and queued requests in the last
	// announcement, without correction.
	ReportedLoad int
	// FreeKVTokens is the estimated free KV cache in tokens; -1 if not known.
	FreeKVTokens int64
	// CachedPrefixes is how many of the query's prefixes the target has cached, by
	// the prefix index.
	CachedPrefixes int
	// Probe is true for an ejected target that is due for a probe.
	Probe bool
}

// Room returns how many more requests the target can start now.
func (c *Candidate) Room() int { return max(c.Limit-c.Load, 0) }

// Candidates appends the targets that the query selects and that may get a new
// request to out, in order of name.
func (t *Table) Candidates(out []Candidate, now time.Time, q *Query) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.pools[q.Pool] {
		if !r.serves(q) || q.Exclude[r.Name] || !r.available(now) || r.leased(now) {
			continue
		}
		if r.health.ejected && !r.health.probeDue(now) {
			continue
		}
		out = append(out, r.candidate(now, q.Prefixes))
	}
	return out
}

// hasTargetPastSlowStart reports whether any target that the query selects has
// finished its slow start. Slow start shifts requests to such targets. If there is
// none, as after the start of a whole data centre, counting the slow-start limits
// as capacity would refuse requests.
func (t *Table) hasTargetPastSlowStart(now time.Time, q *Query) bool {
	for _, r := range t.pools[q.Pool] {
		pastSlowStart := slowStartLimit(now.Sub(r.slowStartAt), r.Slots) == r.Slots
		if pastSlowStart && r.serves(q) && r.available(now) && !r.health.ejected {
			return true
		}
	}
	return false
}

func (r *record) serves(q *Query) bool {
	return r.Serves(q.Model) && rules.Allows(q.Residency, r.DataCentre)
}

func (r *record) available(now time.Time) bool {
	return !r.Leaving && now.Sub(r.lastHeard) < newWorkLimit
}

func (r *record) leased(now time.Time) bool {
	for _, until := range r.leases {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (r *record) candidate(now time.Time, prefixes []uint64) Candidate {
	c := Candidate{
		Name: r.Name, DataCentre: r.DataCentre, Incarnation: r.Incarnation, Slots: r.Slots,
		Limit: slowStartLimit(now.Sub(r.slowStartAt), r.Slots), InFlight: r.inFlight,
		RemoteLoad: r.remoteLoad(now), RemoteLoadAge: r.remoteLoadAge(now), RemoteLoadMean: r.remoteLoadMean,
		ReportedLoad: r.Running + r.Queued, FreeKVTokens: -1, CachedPrefixes: r.cache.match(prefixes), Probe: r.health.ejected,
	}
	c.Load = c.InFlight + c.RemoteLoad
	if r.reportsKV {
		c.FreeKVTokens = max(r.FreeKVTokens-r.tokensSinceReport, 0)
	}
	return c
}

// load estimates the requests of all hosts that are on the target.
func (r *record) load(now time.Time) int { return r.inFlight + r.remoteLoad(now) }

// remoteLoad returns the in-flight counts of the other hosts plus the announced
// load that no host accounts for. The latter is the minimum over the last three
// announcements, because a single lagging announcement differs from the counts by
// the requests that began or ended in the meantime.
func (r *record) remoteLoad(now time.Time) int {
	return r.peersInFlight(now) + min(r.unattributed[0], r.unattributed[1], r.unattributed[2])
}

func (r *record) remoteLoadAge(now time.Time) time.Duration {
	newest := r.lastHeard.Add(-time.Duration(r.LagMS) * time.Millisecond)
	for _, p := range r.peers {
		if p.receivedAt.After(newest) {
			newest = p.receivedAt
		}
	}
	return now.Sub(newest)
}

// Claim checks that the chosen candidate may still get the request, and returns a
// copy of the target. If the target is ejected, it claims the probe, so that no
// other request becomes a second probe.
func (t *Table) Claim(now time.Time, c *Candidate) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[c.Name]
	if !ok || r.Incarnation != c.Incarnation || r.leased(now) || !r.available(now) {
		return Target{}, false
	}
	if r.health.ejected {
		if !r.health.probeDue(now) {
			return Target{}, false
		}
		r.health.claimedAt = now
	}
	return r.copy(), true
}

// Capacity is the total capacity of a set of targets.
type Capacity struct {
	Targets int
	// Slots is the sum of the concurrency limits, including slow start.
	Slots int
	// Room is the number of requests that can start now.
	Room int
	// Load estimates the requests that all hosts have in flight.
	Load int
}

// Capacity returns the total over the available targets that the query selects.
func (t *Table) Capacity(now time.Time, q *Query) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total Capacity
	anyPastSlowStart := t.hasTargetPastSlowStart(now, q)
	for _, r := range t.pools[q.Pool] {
		if !r.serves(q) || !r.available(now) || r.leased(now) {
			continue
		}
		if r.health.ejected {
			total.Room += r.health.claimedProbeRoom(now)
			continue
		}
		limit, load := r.Slots, r.load(now)
		if anyPastSlowStart {
			limit = slowStartLimit(now.Sub(r.slowStartAt), r.Slots)
		}
		total.Targets++
		total.Slots += limit
		total.Load += load
		total.Room += max(limit-load, 0)
	}
	return total
}

// ErrNoLease means that no target is available for an exclusive lease.
var ErrNoLease = errors.New("targets: no target can be leased")

// MaxLease is the longest exclusive lease, so that a lease is freed even if its
// release is lost.
const MaxLease = 5 * time.Minute

// Lease is an exclusive lease on one target: no host starts other requests on it.
type Lease struct {
	table *Table
	// Target is the leased target.
	Target Target
	until  time.Time
}

// Lease takes an exclusive lease on the least loaded target that the query
// selects. This host starts no other requests on it; the relay sends the lease to
// the other hosts of the data centre. The caller must wait until Exclusive returns
// true before it sends the request.
func (t *Table) Lease(now time.Time, q *Query, length time.Duration) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leastLoaded *record
	for _, r := range t.pools[q.Pool] {
		if !r.serves(q) || q.Exclude[r.Name] || !r.available(now) || r.leased(now) || r.health.ejected {
			continue
		}
		if leastLoaded == nil || r.load(now) < leastLoaded.load(now) {
			leastLoaded = r
		}
	}
	if leastLoaded == nil {
		return nil, ErrNoLease
	}
	if leastLoaded.leases == nil {
		leastLoaded.leases = map[string]time.Time{}
	}
	until := now.Add(min(length, MaxLease))
	leastLoaded.leases[t.host] = until
	leastLoaded.leaseKnownBy = map[string]bool{}
	t.notify()
	return &Lease{table: t, Target: leastLoaded.copy(), until: until}, nil
}

// Exclusive reports whether the lease is valid, the other hosts of the data centre know
// it, and no other request is known to run on the target. If two hosts leased the target
// at the same time, the host with the lower name gets it.
func (l *Lease) Exclusive(now time.Time) bool {
	t := l.table
	peers := t.localPeers()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[l.Target.Name]
	if !ok || r.Incarnation != l.Target.Incarnation || !now.Before(l.until) {
		return false
	}
	for host, until := range r.leases {
		if host < t.host && now.Before(until) {
			return false
		}
	}
	for _, host := range peers {
		if !r.leaseKnownBy[host] {
			return false // it may have leased the target too
		}
	}
	return r.load(now) == 0
}

// Release ends the lease.
func (l *Lease) Release() {
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.targets[l.Target.Name]; ok && r.leases[t.host].Equal(l.until) {
		delete(r.leases, t.host)
		t.notify()
	}
}

// ServiceName is a pool and one of its models; the model is empty for plain services.
type ServiceName struct{ Pool, Model string }

// Services lists the pools and models that the known targets serve, sorted.
func (t *Table) Services() []ServiceName {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[ServiceName]bool{}
	for pool, records := range t.pools {
		for _, r := range records {
			if len(r.Models) == 0 {
				seen[ServiceName{pool, ""}] = true
			}
			for _, m := range r.Models {
				seen[ServiceName{pool, m}] = true
			}
		}
	}
	out := make([]ServiceName, 0, len(seen))
	for s := range seen {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b ServiceName) int {
		if c := strings.Compare(a.Pool, b.Pool); c != 0 {
			return c
		}
		return strings.Compare(a.Model, b.Model)
	})
	return out
}
