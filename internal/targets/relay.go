package targets

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

const (
	// BatchInterval is how often load and digests go to each host of the data centre.
	BatchInterval = time.Second
	// urgentRetry is how long after a failure an urgent change is sent again.
	urgentRetry = 250 * time.Millisecond
	// wholeInterval is how often a batch lists all counts of requests in
	// flight; the batches between list only changes.
	wholeInterval = 4 * time.Second
	// maxReports bounds the whole announcements in one message.
	maxReports = 128
	maxRelayed = 4 * MaxTargets
)

// Peers names the other hosts that announcements may be relayed to.
type Peers interface {
	// Local lists the other hosts of this data centre.
	Local() []string
	// In lists the hosts of another data centre.
	In(dataCentre string) []string
}

// Message is a relay message for one host.
type Message struct {
	Host    string
	Request *targetspb.RelayRequest
	// reports maps the names in Request.Reports to their sequence numbers.
	reports  map[string]stamp
	inFlight map[uint32]int
	at       time.Time
	batch    bool
}

type stamp struct{ incarnation, sequence uint64 }

func (s stamp) before(o stamp) bool {
	return s.incarnation < o.incarnation || (s.incarnation == o.incarnation && s.sequence < o.sequence)
}

// Relay decides which announcements go to which host. It does no I/O.
type Relay struct {
	table *Table
	peers Peers

	mu    sync.Mutex
	hosts map[string]*outbox
	stats RelayStats
}

// RelayStats counts messages and bytes.
type RelayStats struct {
	Messages, Failures, Repairs int64
	BytesSent                   int64
}

// outbox is what one host has still to learn.
type outbox struct {
	local bool
	// urgent are the names whose announcement must be confirmed, with the
	// latest state to be confirmed.
	urgent map[string]stamp
	busy   bool
	// retryAt is when urgent changes may be sent again after a failure.
	retryAt   time.Time
	nextBatch time.Time
	lastBatch time.Time
	lastWhole time.Time
	inFlight  map[uint32]int
}

// NewRelay returns the relay of a table.
func NewRelay(table *Table, peers Peers) *Relay {
	return &Relay{table: table, peers: peers, hosts: map[string]*outbox{}}
}

// QueueUrgent queues the last announcement of the target for all hosts of the data
// centre, and for those of its own data centre if it is adopted: they may have
// heard it until a moment ago.
func (r *Relay) QueueUrgent(a *Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range r.peers.Local() {
		r.queue(host, a, true)
	}
	if a.DataCentre != r.table.dataCentre {
		for _, host := range r.peers.In(a.DataCentre) {
			r.queue(host, a, false)
		}
	}
}

func (r *Relay) queue(host string, a *Announcement, local bool) {
	box := r.box(host, local)
	if _, ok := box.urgent[a.Name]; ok || len(box.urgent) < MaxTargets {
		box.urgent[a.Name] = stamp{a.Incarnation, a.Sequence}
	}
}

func (r *Relay) box(host string, local bool) *outbox {
	box, ok := r.hosts[host]
	if !ok {
		box = &outbox{local: local, urgent: map[string]stamp{}, inFlight: map[uint32]int{}}
		r.hosts[host] = box
	}
	return box
}

// Tick returns the messages that are due. At most one is under way per host.
// Report the end of each by Done.
func (r *Relay) Tick(now time.Time) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := r.peers.Local()
	for _, host := range local {
		r.box(host, true)
	}
	var out []Message
	for host, box := range r.hosts {
		if box.local && !slices.Contains(local, host) || !box.local && len(box.urgent) == 0 {
			if !box.busy {
				delete(r.hosts, host)
			}
			continue
		}
		batch := box.local && !now.Before(box.nextBatch)
		if box.busy || (!batch && (len(box.urgent) == 0 || now.Before(box.retryAt))) {
			continue
		}
		m := r.message(now, host, box, batch)
		if batch || len(m.Request.Reports) > 0 {
			box.busy = true
			r.stats.Messages++
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// message builds a message under r.mu.
func (r *Relay) message(now time.Time, host string, box *outbox, batch bool) Message {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{Host: host, Request: &targetspb.RelayRequest{}, reports: map[string]stamp{}, at: now, batch: batch}
	for name := range box.urgent {
		rec, ok := t.targets[name]
		if !ok || now.Sub(rec.heard) >= SilenceLimit {
			delete(box.urgent, name) // silent: every host gives it up by itself
			continue
		}
		if len(m.reports) < maxReports {
			m.addReport(now, rec)
		}
	}
	for id, rec := range t.byID {
		if until, ok := rec.leases[t.host]; ok && now.Before(until) {
			m.Request.Leases = append(m.Request.Leases, &targetspb.Lease{Id: id, RemainingMs: milliseconds(until.Sub(now))})
		}
	}
	if !batch {
		return m
	}
	box.nextBatch = now.Add(BatchInterval)
	m.Request.Digest = t.digest(now)
	m.Request.WholeInFlight = now.Sub(box.lastWhole) >= wholeInterval
	m.inFlight = map[uint32]int{}
	for _, rec := range t.byID {
		m.addBatch(now, rec, box)
	}
	return m
}

func (m *Message) addReport(now time.Time, rec *record) {
	data, err := json.Marshal(&rec.Announcement)
	if err != nil {
		return
	}
	m.reports[rec.Name] = stamp{rec.Incarnation, rec.Sequence}
	m.Request.Reports = append(m.Request.Reports, &targetspb.Report{Announcement: data, AgeMs: milliseconds(now.Sub(rec.heard))})
}

func (m *Message) addBatch(now time.Time, rec *record, box *outbox) {
	if rec.inFlight > 0 {
		m.inFlight[rec.id] = rec.inFlight
	}
	if m.Request.WholeInFlight && rec.inFlight > 0 || box.inFlight[rec.id] != rec.inFlight {
		m.Request.InFlight = append(m.Request.InFlight, &targetspb.InFlight{Id: rec.id, Count: uint32(rec.inFlight)})
	}
	if _, whole := m.reports[rec.Name]; whole || !rec.direct || !rec.heard.After(box.lastBatch) {
		return
	}
	m.Request.Loads = append(m.Request.Loads, &targetspb.Load{
		Id: rec.id, Sequence: rec.Sequence, AgeMs: milliseconds(now.Sub(rec.heard)), Running: uint32(rec.Running),
		Queued: uint32(rec.Queued), FreeKvTokens: rec.FreeKVTokens, LagMs: uint32(rec.LagMS), State: uint32(rec.state),
	})
}

// milliseconds rounds up, so that an age is never stated as less than it is.
func milliseconds(d time.Duration) uint32 {
	return uint32(min((max(d, 0)+time.Millisecond-1)/time.Millisecond, 1<<31))
}

// digest covers the targets that were heard, without their load.
func (t *Table) digest(now time.Time) uint64 {
	sum := uint64(1)
	for _, rec := range t.byID {
		if now.Sub(rec.heard) < SilenceLimit {
			sum ^= rec.state
		}
	}
	return max(sum, 1)
}

// Done takes the end of a message. A nil response means that it failed.
func (r *Relay) Done(now time.Time, m Message, response *targetspb.RelayResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	box, ok := r.hosts[m.Host]
	if !ok {
		return
	}
	box.busy = false
	if response == nil {
		r.stats.Failures++
		box.retryAt = now.Add(urgentRetry)
		box.lastWhole = time.Time{} // the host may have missed a count
		return
	}
	for name, sent := range m.reports {
		if want, ok := box.urgent[name]; ok && !sent.before(want) {
			delete(box.urgent, name)
		}
	}
	if m.batch {
		box.lastBatch, box.inFlight = m.at, m.inFlight
		if m.Request.WholeInFlight {
			box.lastWhole = m.at
		}
	}
	if response.Differs {
		r.repair(now, box, response.Known)
	}
}

// repair queues what the other host lacks or knows in an older state.
func (r *Relay) repair(now time.Time, box *outbox, known []*targetspb.Known) {
	theirs := make(map[uint32]*targetspb.Known, len(known))
	for _, k := range known {
		theirs[k.Id] = k
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, rec := range t.byID {
		k := theirs[id]
		mine := stamp{rec.Incarnation, rec.Sequence}
		if now.Sub(rec.heard) >= SilenceLimit || (k != nil && k.State == uint32(rec.state)) {
			continue
		}
		if k == nil || (stamp{k.Incarnation, k.Sequence}).before(mine) {
			box.urgent[rec.Name] = mine
			r.stats.Repairs++
		}
	}
}

// ForceBatch makes the next Tick send a batch to every host, which also carries the
// leases that this host holds.
func (r *Relay) ForceBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, box := range r.hosts {
		box.nextBatch = time.Time{}
	}
}

// Stats returns the counters.
func (r *Relay) Stats() RelayStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// AddBytesSent counts bytes of a message.
func (r *Relay) AddBytesSent(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.BytesSent += int64(bytes)
}

// Receive takes a message of another host. Malformed parts are refused after
// the others were taken.
func (t *Table) Receive(now time.Time, from string, m *targetspb.RelayRequest) (*targetspb.RelayResponse, error) {
	if from == "" || from == t.host || len(m.Reports)+len(m.Loads)+len(m.InFlight)+len(m.Leases) > maxRelayed {
		return nil, ErrInvalid
	}
	var failed error
	for _, report := range m.Reports {
		if err := t.receiveReport(now, report); err != nil {
			failed = err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range m.Loads {
		t.receiveLoad(now, load)
	}
	t.receiveCounts(now, from, m)
	t.receiveLeases(now, from, m.Leases)
	if failed != nil {
		return nil, failed
	}
	if m.Digest == 0 || m.Digest == t.digest(now) {
		return &targetspb.RelayResponse{}, nil
	}
	return &targetspb.RelayResponse{Differs: true, Known: t.known(now)}, nil
}

func (t *Table) receiveReport(now time.Time, report *targetspb.Report) error {
	a, err := DecodeAnnouncement(report.Announcement)
	if err != nil {
		return err
	}
	age := time.Duration(report.AgeMs) * time.Millisecond
	if age >= SilenceLimit && !a.Leaving {
		return nil
	}
	if _, err := t.announce(now, a, age, false); err != nil && !errors.Is(err, ErrStale) && !errors.Is(err, ErrFull) {
		return err
	}
	return nil
}

func (t *Table) receiveLoad(now time.Time, l *targetspb.Load) {
	rec, ok := t.byID[l.Id]
	if !ok || uint32(rec.state) != l.State || l.Sequence <= rec.Sequence {
		return
	}
	if !validLoad(int(l.Running), int(l.Queued), l.FreeKvTokens, int64(l.LagMs)) || l.AgeMs >= uint32(SilenceLimit/time.Millisecond) {
		return
	}
	a := rec.Announcement
	a.Sequence, a.Running, a.Queued = l.Sequence, int(l.Running), int(l.Queued)
	a.FreeKVTokens, a.LagMS = l.FreeKvTokens, int64(l.LagMs)
	t.update(now, now.Add(-time.Duration(l.AgeMs)*time.Millisecond), rec, a, false)
}

func (t *Table) receiveCounts(now time.Time, from string, m *targetspb.RelayRequest) {
	if m.WholeInFlight {
		for _, rec := range t.byID {
			delete(rec.peers, from)
		}
	}
	for _, c := range m.InFlight {
		rec, ok := t.byID[c.Id]
		if !ok || c.Count > maxSlots {
			continue
		}
		if rec.peers == nil {
			rec.peers = map[string]peerLoad{}
		}
		if _, known := rec.peers[from]; known || len(rec.peers) < maxPeerHosts {
			rec.peers[from] = peerLoad{int(c.Count), now}
		}
	}
	if len(m.InFlight) > 0 {
		t.notify()
	}
}

func (t *Table) receiveLeases(now time.Time, from string, leases []*targetspb.Lease) {
	for _, rec := range t.byID {
		delete(rec.leases, from)
	}
	for _, l := range leases {
		rec, ok := t.byID[l.Id]
		if !ok {
			continue
		}
		if rec.leases == nil {
			rec.leases = map[string]time.Time{}
		}
		if len(rec.leases) < maxPeerHosts {
			rec.leases[from] = now.Add(min(time.Duration(l.RemainingMs)*time.Millisecond, MaxLease))
		}
	}
}

func (t *Table) known(now time.Time) []*targetspb.Known {
	var out []*targetspb.Known
	for id, rec := range t.byID {
		if now.Sub(rec.heard) < SilenceLimit {
			out = append(out, &targetspb.Known{Id: id, Incarnation: rec.Incarnation, Sequence: rec.Sequence, State: uint32(rec.state)})
		}
	}
	return out
}
