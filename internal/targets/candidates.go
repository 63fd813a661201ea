package targets

import (
	"errors"
	"slices"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/rules"
)

// Query says which targets a request may use.
type Query struct {
	Pool  string
	Model string
	// Prefixes are digests of growing prompt prefixes, shortest first.
	Prefixes []uint64
	// Residency lists the data centres whose targets may be used; empty means all.
	Residency []string
	// Exclude names targets that were tried before.
	Exclude map[string]bool
}

// Candidate is a target that may get new work, as a policy sees it.
type Candidate struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	// Slots is what the target announced; Limit is lower during slow start.
	Slots, Limit int
	// InFlight is what this host has in flight; Load estimates what all hosts have.
	InFlight, Load int
	// RemoteLoad is the part of Load that is not InFlight, as of RemoteLoadAge ago;
	// RemoteLoadMean is its average over the last reports.
	RemoteLoad     int
	RemoteLoadAge  time.Duration
	RemoteLoadMean float64
	// ReportedLoad is the last announced load, uncorrected.
	ReportedLoad int
	// FreeKVTokens is the estimated free cache room in tokens; -1 when not known.
	FreeKVTokens int64
	// CachedPrefixes is how many of the query's prefixes the target is believed to hold.
	CachedPrefixes int
	// Probe is true when an ejected target is due for its single request.
	Probe bool
}

// Room is how many more requests the target can start now.
func (c *Candidate) Room() int { return max(c.Limit-c.Load, 0) }

// Candidates appends the targets that the query may use, in order of name.
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

// anyWarm reports whether a target that the query may use is past its slow
// start. Slow start shifts work to such targets; without any, counting only
// its limits as room would refuse work after the start of a whole data centre.
func (t *Table) anyWarm(now time.Time, q *Query) bool {
	for _, r := range t.pools[q.Pool] {
		warm := slowStartLimit(now.Sub(r.slowFrom), r.Slots) == r.Slots
		if warm && r.serves(q) && r.available(now) && !r.health.ejected {
			return true
		}
	}
	return false
}

func (r *record) serves(q *Query) bool {
	return r.Serves(q.Model) && rules.Allows(q.Residency, r.DataCentre)
}

func (r *record) available(now time.Time) bool {
	return !r.Leaving && now.Sub(r.heard) < workLimit
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
		Limit: slowStartLimit(now.Sub(r.slowFrom), r.Slots), InFlight: r.inFlight,
		RemoteLoad: r.others(now), RemoteLoadAge: r.othersAge(now), RemoteLoadMean: r.othersMean,
		ReportedLoad: r.Running + r.Queued, FreeKVTokens: -1, CachedPrefixes: r.cache.match(prefixes), Probe: r.health.ejected,
	}
	c.Load = c.InFlight + c.RemoteLoad
	if r.hasKV {
		c.FreeKVTokens = max(r.FreeKVTokens-r.tokensSince, 0)
	}
	return c
}

// load estimates the requests of all hosts on the target.
func (r *record) load(now time.Time) int { return r.inFlight + r.others(now) }

// others is what the other hosts report, and reported load that no host
// claims. The latter is the least of three reports, because a single lagging
// report differs from the counts by the requests that came and went meanwhile.
func (r *record) others(now time.Time) int {
	return r.peerLoad(now) + min(r.unexplained[0], r.unexplained[1], r.unexplained[2])
}

func (r *record) othersAge(now time.Time) time.Duration {
	last := r.heard.Add(-time.Duration(r.LagMS) * time.Millisecond)
	for _, p := range r.peers {
		if p.heard.After(last) {
			last = p.heard
		}
	}
	return now.Sub(last)
}

// Claim notes that the candidate was chosen. It fails when the target may not
// get the request any more. A probe is claimed so that no second one begins.
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
		r.health.claimed = now
	}
	return r.copy(), true
}

// Capacity is what the targets of a pool can do together.
type Capacity struct {
	Targets int
	// Slots counts the slots that may be used now, with slow start.
	Slots int
	// Room is how many requests can start now.
	Room int
	// Load estimates the requests in flight of all hosts.
	Load int
}

// Capacity sums up the available targets that the query may use.
func (t *Table) Capacity(now time.Time, q *Query) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Capacity
	warm := t.anyWarm(now, q)
	for _, r := range t.pools[q.Pool] {
		if !r.serves(q) || !r.available(now) || r.leased(now) {
			continue
		}
		if r.health.ejected {
			sum.Room += r.health.claimedRoom(now)
			continue
		}
		limit, load := r.Slots, r.load(now)
		if warm {
			limit = slowStartLimit(now.Sub(r.slowFrom), r.Slots)
		}
		sum.Targets++
		sum.Slots += limit
		sum.Load += load
		sum.Room += max(limit-load, 0)
	}
	return sum
}

// ErrNoLease means that no target can be leased now.
var ErrNoLease = errors.New("targets: no target can be leased")

// MaxLease bounds an exclusive lease, so that a lost release frees the target.
const MaxLease = 5 * time.Minute

// Lease keeps new work of all hosts away from one target.
type Lease struct {
	table *Table
	// Target is the leased target.
	Target Target
	until  time.Time
}

// Lease takes an exclusive lease of the least loaded target that the query may
// use. This host starts no other work there; the relay tells the other hosts
// of the data centre. Wait for Exclusive before the request is sent.
func (t *Table) Lease(now time.Time, q *Query, length time.Duration) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *record
	for _, r := range t.pools[q.Pool] {
		if !r.serves(q) || q.Exclude[r.Name] || !r.available(now) || r.leased(now) || r.health.ejected {
			continue
		}
		if best == nil || r.load(now) < best.load(now) {
			best = r
		}
	}
	if best == nil {
		return nil, ErrNoLease
	}
	if best.leases == nil {
		best.leases = map[string]time.Time{}
	}
	until := now.Add(min(length, MaxLease))
	best.leases[t.host] = until
	t.notify()
	return &Lease{table: t, Target: best.copy(), until: until}, nil
}

// Exclusive reports whether no other request is known to run on the target. When
// two hosts leased it at the same time, the one with the lower name has it.
func (l *Lease) Exclusive(now time.Time) bool {
	t := l.table
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

// ServiceName names a pool and a model of it; the model is empty for plain services.
type ServiceName struct{ Pool, Model string }

// Services lists what the known targets serve, in order.
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
