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
	// BatchInterval is the time between two batches, with loads and a digest, to
	// each host of the data centre.
	BatchInterval = time.Second
	// urgentRetryDelay is the delay before an urgent announcement is sent again
	// after a failure.
	urgentRetryDelay = 250 * time.Millisecond
	// fullCountsInterval is the time between two batches that list all in-flight
	// counts; the batches between them list only changed counts.
	fullCountsInterval = 4 * time.Second
	// maxReports limits the complete announcements in one message.
	maxReports = 128
	// maxRelayItems limits the items of a received message.
	maxRelayItems = 4 * MaxTargets
)

// Peers lists the hosts that announcements can be relayed to.
type Peers interface {
	// Local lists the other hosts of this data centre.
	Local() []string
	// In lists the hosts of another data centre.
	In(dataCentre string) []string
}

// Message is a relay message to one host.
type Message struct {
	Host    string
	Request *targetspb.RelayRequest
	// reports maps the target names in Request.Reports to the versions sent.
	reports  map[string]version
	inFlight map[uint32]int
	// leases holds the expiry of each lease in Request.Leases.
	leases  map[uint32]time.Time
	builtAt time.Time
	batch   bool
}

type version struct{ incarnation, sequence uint64 }

func (v version) before(o version) bool {
	return v.incarnation < o.incarnation || (v.incarnation == o.incarnation && v.sequence < o.sequence)
}

// Relay decides which announcements are sent to which host. It does no I/O.
type Relay struct {
	table *Table
	peers Peers

	mu    sync.Mutex
	hosts map[string]*outbox
	stats RelayStats
}

// RelayStats holds the counters of a relay. Repairs counts the announcements that
// are sent again because a digest differed.
type RelayStats struct {
	Messages, Failures, Repairs int64
	BytesSent                   int64
}

// outbox is the state of sending to one host.
type outbox struct {
	local bool
	// urgent maps the targets whose announcement the host has not confirmed yet to
	// the oldest version whose delivery counts as confirmation.
	urgent  map[string]version
	sending bool
	// retryAt is when urgent announcements may be sent again after a failure.
	retryAt        time.Time
	nextBatch      time.Time
	lastBatch      time.Time
	lastFullCounts time.Time
	inFlight       map[uint32]int
}

// NewRelay returns a relay for the table, which is not in use yet. A lease of the table is
// then exclusive only once the other hosts of the data centre have confirmed it.
func NewRelay(table *Table, peers Peers) *Relay {
	table.localPeers = peers.Local
	return &Relay{table: table, peers: peers, hosts: map[string]*outbox{}}
}

// QueueUrgent queues the last announcement of the target for all hosts of this
// data centre. If the target is adopted, it is also queued for the hosts of the
// target's own data centre, because they may have received its announcements until
// shortly before.
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
	box := r.outboxFor(host, local)
	if _, ok := box.urgent[a.Name]; ok || len(box.urgent) < MaxTargets {
		box.urgent[a.Name] = version{a.Incarnation, a.Sequence}
	}
}

func (r *Relay) outboxFor(host string, local bool) *outbox {
	box, ok := r.hosts[host]
	if !ok {
		box = &outbox{local: local, urgent: map[string]version{}, inFlight: map[uint32]int{}}
		r.hosts[host] = box
	}
	return box
}

// Tick returns the messages that are due, at most one in flight per host. The
// caller must call Done for each when its call ends.
func (r *Relay) Tick(now time.Time) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := r.peers.Local()
	for _, host := range local {
		r.outboxFor(host, true)
	}
	var out []Message
	for host, box := range r.hosts {
		if box.local && !slices.Contains(local, host) || !box.local && len(box.urgent) == 0 {
			if !box.sending {
				delete(r.hosts, host)
			}
			continue
		}
		batch := box.local && !now.Before(box.nextBatch)
		if box.sending || (!batch && (len(box.urgent) == 0 || now.Before(box.retryAt))) {
			continue
		}
		m := r.buildMessage(now, host, box, batch)
		if batch || len(m.Request.Reports) > 0 {
			box.sending = true
			r.stats.Messages++
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// buildMessage builds the message for a host. The caller holds r.mu.
func (r *Relay) buildMessage(now time.Time, host string, box *outbox, batch bool) Message {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{Host: host, Request: &targetspb.RelayRequest{Leases: t.ownLeases(now)}, reports: map[string]version{}, builtAt: now, batch: batch}
	m.leases = make(map[uint32]time.Time, len(m.Request.Leases))
	for _, l := range m.Request.Leases {
		m.leases[l.Id] = t.byID[l.Id].leases[t.host]
	}
	for name := range box.urgent {
		rec, ok := t.targets[name]
		if !ok || now.Sub(rec.lastHeard) >= SilenceLimit {
			delete(box.urgent, name) // silent: every host stops using it without a message
			continue
		}
		if len(m.reports) < maxReports {
			m.addReport(now, rec)
		}
	}
	if !batch {
		return m
	}
	box.nextBatch = now.Add(BatchInterval)
	m.Request.Digest = t.digest(now)
	m.Request.WholeInFlight = now.Sub(box.lastFullCounts) >= fullCountsInterval
	m.inFlight = map[uint32]int{}
	for _, rec := range t.byID {
		m.addCountAndLoad(now, rec, box)
	}
	return m
}

// ownLeases lists the leases of this host. The caller holds t.mu.
func (t *Table) ownLeases(now time.Time) []*targetspb.Lease {
	var out []*targetspb.Lease
	for id, rec := range t.byID {
		if until, ok := rec.leases[t.host]; ok && now.Before(until) {
			out = append(out, &targetspb.Lease{Id: id, RemainingMs: milliseconds(until.Sub(now))})
		}
	}
	return out
}

func (m *Message) addReport(now time.Time, rec *record) {
	data, err := json.Marshal(&rec.Announcement)
	if err != nil {
		return
	}
	m.reports[rec.Name] = version{rec.Incarnation, rec.Sequence}
	m.Request.Reports = append(m.Request.Reports, &targetspb.Report{Announcement: data, AgeMs: milliseconds(now.Sub(rec.lastHeard))})
}

func (m *Message) addCountAndLoad(now time.Time, rec *record, box *outbox) {
	if rec.inFlight > 0 {
		m.inFlight[rec.id] = rec.inFlight
	}
	if m.Request.WholeInFlight && rec.inFlight > 0 || box.inFlight[rec.id] != rec.inFlight {
		m.Request.InFlight = append(m.Request.InFlight, &targetspb.InFlight{Id: rec.id, Count: uint32(rec.inFlight)})
	}
	if _, reported := m.reports[rec.Name]; reported || !rec.direct || !rec.lastHeard.After(box.lastBatch) {
		return
	}
	m.Request.Loads = append(m.Request.Loads, &targetspb.Load{
		Id: rec.id, Sequence: rec.Sequence, AgeMs: milliseconds(now.Sub(rec.lastHeard)), Running: uint32(rec.Running),
		Queued: uint32(rec.Queued), FreeKvTokens: rec.FreeKVTokens, LagMs: uint32(rec.LagMS), State: uint32(rec.state),
	})
}

// milliseconds rounds up, so that a relayed age is never too low.
func milliseconds(d time.Duration) uint32 {
	return uint32(min((max(d, 0)+time.Millisecond-1)/time.Millisecond, 1<<31))
}

// digest combines the state digests of the targets that are not silent. It is never
// zero, which stands for no digest.
func (t *Table) digest(now time.Time) uint64 {
	sum := uint64(1)
	for _, rec := range t.byID {
		if now.Sub(rec.lastHeard) < SilenceLimit {
			sum ^= rec.state
		}
	}
	return max(sum, 1)
}

// Done records the end of a message. A nil response means that it failed.
func (r *Relay) Done(now time.Time, m Message, response *targetspb.RelayResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	box, ok := r.hosts[m.Host]
	if !ok {
		return
	}
	box.sending = false
	if response == nil {
		r.stats.Failures++
		box.retryAt = now.Add(urgentRetryDelay)
		box.lastFullCounts = time.Time{} // the host may have missed changed counts
		return
	}
	for name, delivered := range m.reports {
		if queued, ok := box.urgent[name]; ok && !delivered.before(queued) {
			delete(box.urgent, name)
		}
	}
	if m.batch {
		box.lastBatch, box.inFlight = m.builtAt, m.inFlight
		if m.Request.WholeInFlight {
			box.lastFullCounts = m.builtAt
		}
	}
	r.table.confirmLeases(now, m, response)
	if response.Differs {
		r.repair(now, box, response.Known)
	}
}

// confirmLeases records that the receiver of a message knows the leases in it, and which
// leases it held itself at that time.
func (t *Table) confirmLeases(now time.Time, m Message, response *targetspb.RelayResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(response.Leases) <= maxRelayItems {
		// A lease that is missing may be newer than the response.
		t.addLeases(now, m.Host, response.Leases)
	}
	for id, until := range m.leases {
		if rec, ok := t.byID[id]; ok && rec.leases[t.host].Equal(until) {
			rec.leaseKnownBy[m.Host] = true
		}
	}
}

// repair queues the announcements of the targets of which the other host has no or an
// older version.
func (r *Relay) repair(now time.Time, box *outbox, known []*targetspb.Known) {
	peerKnown := make(map[uint32]*targetspb.Known, len(known))
	for _, k := range known {
		peerKnown[k.Id] = k
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, rec := range t.byID {
		k := peerKnown[id]
		own := version{rec.Incarnation, rec.Sequence}
		if now.Sub(rec.lastHeard) >= SilenceLimit || (k != nil && k.State == uint32(rec.state)) {
			continue
		}
		if k == nil || (version{k.Incarnation, k.Sequence}).before(own) {
			box.urgent[rec.Name] = own
			r.stats.Repairs++
		}
	}
}

// ForceBatch makes the next Tick send a batch, which includes the leases of this
// host, to every host of the data centre.
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

// AddBytesSent adds the size of a sent message to the counters.
func (r *Relay) AddBytesSent(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.BytesSent += int64(bytes)
}

// Receive applies a relay message of another host. If an announcement in it is
// malformed, Receive applies the other parts and returns an error.
func (t *Table) Receive(now time.Time, sender string, m *targetspb.RelayRequest) (*targetspb.RelayResponse, error) {
	if sender == "" || sender == t.host || len(m.Reports)+len(m.Loads)+len(m.InFlight)+len(m.Leases) > maxRelayItems {
		return nil, ErrInvalid
	}
	var reportErr error
	for _, report := range m.Reports {
		if err := t.receiveReport(now, report); err != nil {
			reportErr = err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range m.Loads {
		t.receiveLoad(now, load)
	}
	t.receiveCounts(now, sender, m)
	t.receiveLeases(now, sender, m.Leases)
	if reportErr != nil {
		return nil, reportErr
	}
	response := &targetspb.RelayResponse{Leases: t.ownLeases(now)}
	if m.Digest != 0 && m.Digest != t.digest(now) {
		response.Differs, response.Known = true, t.knownTargets(now)
	}
	return response, nil
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

func (t *Table) receiveCounts(now time.Time, sender string, m *targetspb.RelayRequest) {
	if m.WholeInFlight {
		for _, rec := range t.byID {
			delete(rec.peers, sender)
		}
	}
	for _, c := range m.InFlight {
		rec, ok := t.byID[c.Id]
		if !ok || c.Count > maxSlots {
			continue
		}
		if rec.peers == nil {
			rec.peers = map[string]peerCount{}
		}
		if _, known := rec.peers[sender]; known || len(rec.peers) < maxPeerHosts {
			rec.peers[sender] = peerCount{int(c.Count), now}
		}
	}
	if len(m.InFlight) > 0 {
		t.notify()
	}
}

// receiveLeases replaces the leases of the sender.
func (t *Table) receiveLeases(now time.Time, sender string, leases []*targetspb.Lease) {
	for _, rec := range t.byID {
		delete(rec.leases, sender)
	}
	t.addLeases(now, sender, leases)
}

func (t *Table) addLeases(now time.Time, sender string, leases []*targetspb.Lease) {
	for _, l := range leases {
		rec, ok := t.byID[l.Id]
		if !ok {
			continue
		}
		if rec.leases == nil {
			rec.leases = map[string]time.Time{}
		}
		if len(rec.leases) < maxPeerHosts {
			rec.leases[sender] = now.Add(min(time.Duration(l.RemainingMs)*time.Millisecond, MaxLease))
		}
	}
}

func (t *Table) knownTargets(now time.Time) []*targetspb.Known {
	var out []*targetspb.Known
	for id, rec := range t.byID {
		if now.Sub(rec.lastHeard) < SilenceLimit {
			out = append(out, &targetspb.Known{Id: id, Incarnation: rec.Incarnation, Sequence: rec.Sequence, State: uint32(rec.state)})
		}
	}
	return out
}
