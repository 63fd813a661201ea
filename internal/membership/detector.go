package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

const (
	// ProbePeriod is the interval at which a host probes the next host of its data
	// centre. Delegates also probe another data centre at this interval.
	ProbePeriod = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspected host can refute the suspicion before it
	// is marked dead.
	SuspicionTimeout = 3 * time.Second

	// An unanswered probe is followed by indirect probes after directTimeout, and the
	// host is suspected after probeTimeout. The remote values apply between data
	// centres: a round trip between regions takes 110 ms, and opening a connection takes
	// the same again.
	directTimeout       = 200 * time.Millisecond
	probeTimeout        = 500 * time.Millisecond
	remoteDirectTimeout = 500 * time.Millisecond
	remoteProbeTimeout  = 1200 * time.Millisecond
	// indirectProbes is the number of hosts that are asked to probe a host which does not
	// answer.
	indirectProbes = 2
	// delegatesPerDataCentre is the number of hosts of each data centre that probe other
	// data centres.
	delegatesPerDataCentre = 2

	// reconnectPeriod is the interval at which one random host that is marked dead is
	// pinged, so that the end of a network partition is detected.
	reconnectPeriod = time.Second
	// pauseThreshold is the time between two ticks above which this process counts as
	// having been paused. Its outstanding probes are no evidence of a failure then.
	pauseThreshold = time.Second
	// syncPeriod plus syncPeriodPerHost for each known host is the minimum time between
	// two exchanges of the whole member table that a host starts. A record has about 80
	// bytes, so a host sends at most 4 KB/s for them.
	syncPeriod        = 2 * time.Second
	syncPeriodPerHost = 20 * time.Millisecond
	// relayTimeout is how long the state of a probe on behalf of another host is kept.
	relayTimeout = 3 * time.Second

	// maxRecords and maxRecordBytes limit the records in one message.
	maxRecords     = 12
	maxRecordBytes = 1200
	// retransmitMultiplier times the binary logarithm of the number of hosts is the number
	// of messages that carry each changed record.
	retransmitMultiplier = 4
	// maxHosts limits the table in case of a faulty peer. The largest planned fleet has
	// 410 hosts.
	maxHosts      = 4096
	maxFieldBytes = 256
	// maxIncarnation is far below the largest uint64, so that any accepted record can be
	// refuted with a higher incarnation.
	maxIncarnation = 1 << 62
	// extraProbesPerDataCentre limits the additional probes of a data centre where at least
	// delegatesPerDataCentre hosts are suspected or dead.
	extraProbesPerDataCentre = 4
)

// Beacon is the version of the sender's state that is piggybacked on each message.
type Beacon struct {
	// Index is the index of the published state in force on the sender.
	Index uint64
	// Withdrawals is the digest of the withdrawals that are not published yet.
	Withdrawals uint64
}

// Host is a member of the fleet as reported to other components.
type Host struct {
	Name, DataCentre, Region string
	// HTTP and Peer are addresses in the form IP:port.
	HTTP, Peer string
	Draining   bool
	// Suspect is set if the host did not answer probes and can still refute the suspicion.
	Suspect     bool
	Dead        bool
	Incarnation uint64
	// Beacon is from the host's last message to this host. It is zero if there was none.
	Beacon Beacon
}

// Envelope is a message to send with the name and the address of its destination.
type Envelope struct {
	To      string
	Address string
	Message *pb.Message
}

type member struct {
	record *pb.Record
	// peer and http are the addresses from the settings. If set, they override those of
	// the record.
	peer, http  string
	suspectedAt time.Duration
	beacon      Beacon
}

// probe is a ping whose acknowledgement is outstanding.
type probe struct {
	target       string
	started      time.Duration
	indirectSent bool
}

// relay is a probe on behalf of another host. The acknowledgement is forwarded to the
// requester under the sequence number of its request.
type relay struct {
	requester string
	sequence  uint64
	target    string
	started   time.Duration
}

// update is a changed record with the number of messages that have carried it.
type update struct {
	record        *pb.Record
	transmissions int
}

// Detector is the failure detector of one host: a SWIM-style gossip protocol with
// direct and indirect probes, suspicion and incarnation numbers. Messages and the time
// are its input, messages to send are its output. Times are durations since an
// arbitrary fixed start. A Detector is not safe for concurrent use.
type Detector struct {
	self       *member
	members    map[string]*member
	updates    map[string]*update
	probes     map[uint64]*probe
	relays     map[uint64]*relay
	probeOrder []string
	sequence   uint64
	digest     uint64
	beacon     Beacon
	random     *rand.Rand

	lastTick, nextProbe, nextReconnect, lastSync time.Duration
	ticked                                       bool
	version                                      uint64
}

// NewDetector returns a detector for the host. Hosts from the settings count as alive
// until they are detected as dead. Their addresses from the settings take precedence
// over those in records.
func NewDetector(self Host, settings []Host, seed uint64) *Detector {
	d := &Detector{
		members: map[string]*member{}, updates: map[string]*update{}, probes: map[uint64]*probe{}, relays: map[uint64]*relay{},
		random: rand.New(rand.NewPCG(seed, 0)), lastSync: -time.Hour,
	}
	for _, h := range settings {
		if h.Name != self.Name {
			d.members[h.Name] = &member{record: recordOf(h), peer: h.Peer, http: h.HTTP}
		}
	}
	d.self = &member{record: recordOf(self)}
	d.members[self.Name] = d.self
	for _, m := range d.members {
		d.digest ^= recordHash(m.record)
	}
	d.enqueueUpdate(d.self.record)
	return d
}

func recordOf(h Host) *pb.Record {
	return &pb.Record{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, Http: h.HTTP, Peer: h.Peer,
		Draining: h.Draining, Incarnation: h.Incarnation}
}

// recordHash hashes the part of a record that converges on all hosts. Suspicion is
// left out because it is transient.
func recordHash(r *pb.Record) uint64 {
	state := byte(0)
	if r.Status == pb.Status_DEAD {
		state = 1
	}
	if r.Draining {
		state |= 2
	}
	var buffer [9]byte
	for i := range 8 {
		buffer[i] = byte(r.Incarnation >> (8 * i))
	}
	buffer[8] = state
	return xxhash.Sum64(append([]byte(r.Name), buffer[:]...))
}

// SetBeacon sets the version of this host's state that is piggybacked on messages.
func (d *Detector) SetBeacon(b Beacon) { d.beacon = b }

// SetDraining sets whether this host is draining. The change is sent at once to the
// hosts of its data centre and to the delegates of the other data centres.
func (d *Detector) SetDraining(draining bool) []Envelope {
	if d.self.record.Draining == draining {
		return nil
	}
	next := proto.CloneOf(d.self.record)
	next.Draining = draining
	next.Incarnation++
	d.setRecord(d.self, next)
	var out []Envelope
	for _, name := range d.localPeers() {
		out = append(out, d.ping(name))
	}
	for _, dataCentre := range d.remoteDataCentres() {
		for _, name := range d.delegates(dataCentre) {
			out = append(out, d.ping(name))
		}
	}
	return out
}

// Tick advances the time and runs the timers. Call it at least every 100 ms.
func (d *Detector) Tick(now time.Duration) []Envelope {
	if !d.ticked {
		d.ticked = true
		d.lastTick, d.nextProbe, d.nextReconnect = now, now, now
		return append(d.join(now), d.Tick(now)...)
	}
	if gap := now - d.lastTick; gap > pauseThreshold {
		d.compensateForPause(gap)
	}
	d.lastTick = now
	out := d.expireProbes(now)
	d.expireSuspicions(now)
	if now >= d.nextProbe {
		d.nextProbe = now + ProbePeriod
		out = append(out, d.startProbes(now)...)
	}
	if now >= d.nextReconnect {
		d.nextReconnect = now + reconnectPeriod
		out = append(out, d.reconnect()...)
	}
	return out
}

// join requests the whole member table from up to three random hosts.
func (d *Detector) join(now time.Duration) []Envelope {
	names := d.livePeers()
	d.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var out []Envelope
	for _, name := range names[:min(len(names), 3)] {
		out = append(out, d.sync(now, name))
	}
	return out
}

// compensateForPause discards the outstanding probes and extends running suspicions by
// the length of a pause of this process, during which it could not receive answers.
func (d *Detector) compensateForPause(gap time.Duration) {
	clear(d.probes)
	for _, m := range d.members {
		if m.record.Status == pb.Status_SUSPECT {
			m.suspectedAt += gap
		}
	}
}

// timeouts returns when an unanswered probe is followed by indirect probes, and when its
// target is suspected.
func (d *Detector) timeouts(target string) (direct, total time.Duration) {
	if m := d.members[target]; m != nil && m.record.DataCentre != d.self.record.DataCentre {
		return remoteDirectTimeout, remoteProbeTimeout
	}
	return directTimeout, probeTimeout
}

func (d *Detector) expireProbes(now time.Duration) []Envelope {
	var out []Envelope
	for _, sequence := range sortedKeys(d.probes) {
		p := d.probes[sequence]
		direct, total := d.timeouts(p.target)
		if !p.indirectSent && now-p.started >= direct {
			out = append(out, d.sendIndirectProbes(sequence, p)...)
		}
		if now-p.started >= total {
			delete(d.probes, sequence)
			out = append(out, d.suspect(now, p.target)...)
		}
	}
	for sequence, r := range d.relays {
		if now-r.started > relayTimeout {
			delete(d.relays, sequence)
		}
	}
	return out
}

// SendFailed reports that the message with the sequence number could not be delivered.
// If it is an outstanding probe, indirect probes start without waiting for
// directTimeout.
func (d *Detector) SendFailed(sequence uint64) []Envelope {
	p := d.probes[sequence]
	if p == nil || p.indirectSent {
		return nil
	}
	return d.sendIndirectProbes(sequence, p)
}

// sendIndirectProbes asks hosts of this data centre to probe the target. If there are too
// few, hosts of other data centres are asked as well.
func (d *Detector) sendIndirectProbes(sequence uint64, p *probe) []Envelope {
	p.indirectSent = true
	intermediaries := d.localPeers()
	if len(intermediaries) < indirectProbes+1 {
		intermediaries = d.livePeers()
	}
	intermediaries = slices.DeleteFunc(intermediaries, func(n string) bool { return n == p.target })
	d.random.Shuffle(len(intermediaries), func(i, j int) { intermediaries[i], intermediaries[j] = intermediaries[j], intermediaries[i] })
	var out []Envelope
	for _, name := range intermediaries[:min(len(intermediaries), indirectProbes)] {
		m := d.messageWithUpdates(pb.Kind_PING_REQ, name)
		m.Sequence, m.Target = sequence, p.target
		out = append(out, d.envelope(name, m))
	}
	return out
}

// suspect marks a host as suspected and pings it. The ping carries the suspicion, so that
// a live host refutes it at once.
func (d *Detector) suspect(now time.Duration, name string) []Envelope {
	m := d.members[name]
	if m == nil || m == d.self || m.record.Status == pb.Status_DEAD {
		return nil
	}
	if m.record.Status == pb.Status_ALIVE {
		next := proto.CloneOf(m.record)
		next.Status = pb.Status_SUSPECT
		m.suspectedAt = now
		d.setRecord(m, next)
	}
	return []Envelope{d.ping(name)}
}

func (d *Detector) expireSuspicions(now time.Duration) {
	var expired []string
	for name, m := range d.members {
		if m.record.Status == pb.Status_SUSPECT && now-m.suspectedAt >= SuspicionTimeout {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		next := proto.CloneOf(d.members[name].record)
		next.Status = pb.Status_DEAD
		d.setRecord(d.members[name], next)
	}
}

// startProbes probes the next host of this data centre. Delegates also probe a random
// delegate of a random other data centre.
func (d *Detector) startProbes(now time.Duration) []Envelope {
	var out []Envelope
	if name := d.nextLocalHost(); name != "" {
		out = append(out, d.probe(now, name))
	}
	if !slices.Contains(d.delegates(d.self.record.DataCentre), d.self.record.Name) {
		return out
	}
	dataCentres := d.remoteDataCentres()
	if len(dataCentres) == 0 {
		return out
	}
	dataCentre := dataCentres[d.random.IntN(len(dataCentres))]
	if names := d.delegates(dataCentre); len(names) > 0 {
		out = append(out, d.probe(now, names[d.random.IntN(len(names))]))
	}
	return append(out, d.probeFailingDataCentres(now)...)
}

// probeFailingDataCentres probes additional hosts of each other data centre where at least
// delegatesPerDataCentre hosts are suspected or dead, because all delegates there may have
// failed.
func (d *Detector) probeFailingDataCentres(now time.Duration) []Envelope {
	failing := map[string]int{}
	for _, m := range d.members {
		if m.record.Status != pb.Status_ALIVE && m.record.DataCentre != d.self.record.DataCentre {
			failing[m.record.DataCentre]++
		}
	}
	var out []Envelope
	for _, dataCentre := range sortedKeys(failing) {
		if failing[dataCentre] < delegatesPerDataCentre {
			continue
		}
		healthy := d.unsuspectedHosts(dataCentre)
		d.random.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
		for _, name := range healthy[:min(len(healthy), extraProbesPerDataCentre)] {
			out = append(out, d.probe(now, name))
		}
	}
	return out
}

// nextLocalHost returns the next host of this data centre in a random order that visits
// each host once before it repeats. This bounds the time to detection.
func (d *Detector) nextLocalHost() string {
	for range 2 {
		for len(d.probeOrder) > 0 {
			name := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			if m := d.members[name]; m != nil && m.record.Status != pb.Status_DEAD {
				return name
			}
		}
		d.probeOrder = d.localPeers()
		d.random.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	return ""
}

// reconnect pings a random host that is marked dead. Unlike a probe, the ping has no
// timeout.
func (d *Detector) reconnect() []Envelope {
	var dead []string
	for name, m := range d.members {
		if m.record.Status == pb.Status_DEAD {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	return []Envelope{d.ping(dead[d.random.IntN(len(dead))])}
}

// probe pings a host and records the outstanding acknowledgement.
func (d *Detector) probe(now time.Duration, name string) Envelope {
	e := d.ping(name)
	d.probes[e.Message.Sequence] = &probe{target: name, started: now}
	return e
}

func (d *Detector) ping(name string) Envelope {
	d.sequence++
	m := d.messageWithUpdates(pb.Kind_PING, name)
	m.Sequence = d.sequence
	return d.envelope(name, m)
}

// sync sends the whole member table to a host and requests its table.
func (d *Detector) sync(now time.Duration, name string) Envelope {
	d.lastSync = now
	return d.envelope(name, d.tableMessage(pb.Kind_SYNC))
}

func (d *Detector) tableMessage(kind pb.Kind) *pb.Message {
	m := d.newMessage(kind)
	for _, name := range sortedKeys(d.members) {
		if d.members[name] != d.self {
			m.Records = append(m.Records, d.members[name].record)
		}
	}
	return m
}

func (d *Detector) newMessage(kind pb.Kind) *pb.Message {
	return &pb.Message{Kind: kind, Sender: d.self.record, Index: d.beacon.Index, Withdrawals: d.beacon.Withdrawals, Table: d.digest}
}

// messageWithUpdates returns a message with the updates that were sent least often. If the
// receiver is suspected or dead in the table, its own record comes first, so that it can
// refute it.
func (d *Detector) messageWithUpdates(kind pb.Kind, to string) *pb.Message {
	m := d.newMessage(kind)
	size := 0
	if receiver := d.members[to]; receiver != nil && receiver.record.Status != pb.Status_ALIVE {
		m.Records = append(m.Records, receiver.record)
		size = proto.Size(receiver.record)
	}
	names := sortedKeys(d.updates)
	slices.SortStableFunc(names, func(a, b string) int { return d.updates[a].transmissions - d.updates[b].transmissions })
	limit := retransmitMultiplier * bits.Len(uint(len(d.members)))
	for _, name := range names {
		u := d.updates[name]
		size += proto.Size(u.record)
		if len(m.Records) >= maxRecords || size > maxRecordBytes {
			break
		}
		if name != to {
			m.Records = append(m.Records, u.record)
		}
		if u.transmissions++; u.transmissions >= limit {
			delete(d.updates, name)
		}
	}
	return m
}

func (d *Detector) envelope(name string, m *pb.Message) Envelope {
	return Envelope{To: name, Address: d.address(name), Message: m}
}

func (d *Detector) address(name string) string {
	m := d.members[name]
	switch {
	case m == nil:
		return ""
	case m.peer != "":
		return m.peer
	}
	return m.record.Peer
}

// Receive handles a message and returns the messages to send. The reply to the sender, if
// any, comes first.
func (d *Detector) Receive(now time.Duration, in *pb.Message) []Envelope {
	from := in.GetSender().GetName()
	if !validRecord(in.GetSender()) || from == d.self.record.Name {
		return nil
	}
	wasDead := d.members[from] == nil || d.members[from].record.Status == pb.Status_DEAD
	d.merge(now, in.Sender)
	for _, r := range in.GetRecords() {
		if validRecord(r) {
			d.merge(now, r)
		}
	}
	m := d.members[from]
	if m == nil {
		return nil // the member table is full
	}
	m.beacon = Beacon{in.GetIndex(), in.GetWithdrawals()}
	out := d.respond(now, from, in)
	if recovered := wasDead && m.record.Status == pb.Status_ALIVE; recovered || in.GetTable() != d.digest {
		if now-d.lastSync >= d.syncInterval() && in.Kind != pb.Kind_SYNC && in.Kind != pb.Kind_SYNC_REPLY {
			out = append(out, d.sync(now, from))
		}
	}
	return out
}

// syncInterval is the minimum time between two table exchanges that this host starts.
func (d *Detector) syncInterval() time.Duration {
	return syncPeriod + time.Duration(len(d.members))*syncPeriodPerHost
}

// respond returns the answer to a message, or the probe that it requests.
func (d *Detector) respond(now time.Duration, from string, in *pb.Message) []Envelope {
	switch in.Kind {
	case pb.Kind_PING:
		m := d.messageWithUpdates(pb.Kind_ACK, from)
		m.Sequence, m.Target = in.Sequence, d.self.record.Name
		return []Envelope{d.envelope(from, m)}
	case pb.Kind_PING_REQ:
		if t := d.members[in.GetTarget()]; t == nil || t == d.self {
			return nil
		}
		e := d.ping(in.Target)
		d.relays[e.Message.Sequence] = &relay{requester: from, sequence: in.Sequence, target: in.Target, started: now}
		return []Envelope{e}
	case pb.Kind_ACK:
		return d.handleAck(in)
	case pb.Kind_SYNC:
		return []Envelope{d.envelope(from, d.tableMessage(pb.Kind_SYNC_REPLY))}
	}
	return nil
}

// handleAck completes a probe, or forwards the acknowledgement of a relayed probe to its
// requester.
func (d *Detector) handleAck(in *pb.Message) []Envelope {
	if p := d.probes[in.Sequence]; p != nil && p.target == in.GetTarget() {
		delete(d.probes, in.Sequence)
		return nil
	}
	r := d.relays[in.Sequence]
	if r == nil || r.target != in.GetTarget() {
		return nil
	}
	delete(d.relays, in.Sequence)
	m := d.messageWithUpdates(pb.Kind_ACK, r.requester)
	m.Sequence, m.Target = r.sequence, r.target
	return []Envelope{d.envelope(r.requester, m)}
}

func validRecord(r *pb.Record) bool {
	if r.GetName() == "" || r.GetDataCentre() == "" || r.Status < pb.Status_ALIVE || r.Status > pb.Status_DEAD || r.Incarnation > maxIncarnation {
		return false
	}
	for _, field := range []string{r.Name, r.DataCentre, r.Region, r.Http, r.Peer} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	return true
}

// merge stores a record if it supersedes the current one. Records about this host are
// passed to refute instead.
func (d *Detector) merge(now time.Duration, r *pb.Record) {
	if r.Name == d.self.record.Name {
		d.refute(r)
		return
	}
	m := d.members[r.Name]
	if m == nil {
		if len(d.members) >= maxHosts {
			return
		}
		m = &member{record: &pb.Record{Name: r.Name}}
		d.members[r.Name] = m
		d.digest ^= recordHash(m.record)
	} else if !supersedes(r, m.record) {
		return
	}
	if r.Incarnation < m.record.Incarnation {
		panic("membership: incarnation of " + r.Name + " decreased")
	}
	if r.Status == pb.Status_SUSPECT {
		m.suspectedAt = now
	}
	d.setRecord(m, proto.CloneOf(r))
}

func supersedes(r, current *pb.Record) bool {
	if r.Incarnation != current.Incarnation {
		return r.Incarnation > current.Incarnation
	}
	return r.Status > current.Status
}

// refute announces this host's own record with a higher incarnation if r would override it:
// r marks this host as suspected or dead, or is its record from before a restart.
func (d *Detector) refute(r *pb.Record) {
	own := d.self.record
	if r.Incarnation < own.Incarnation || (r.Incarnation == own.Incarnation && r.Status == pb.Status_ALIVE) {
		return
	}
	next := proto.CloneOf(own)
	next.Incarnation = r.Incarnation + 1
	d.setRecord(d.self, next)
}

func (d *Detector) setRecord(m *member, next *pb.Record) {
	d.digest ^= recordHash(m.record) ^ recordHash(next)
	m.record = next
	d.enqueueUpdate(next)
}

func (d *Detector) enqueueUpdate(r *pb.Record) {
	d.version++
	d.updates[r.Name] = &update{record: r}
}

// Version increases with each change of a record.
func (d *Detector) Version() uint64 { return d.version }

// localPeers lists the names of the other hosts of this data centre that are not dead, in
// order.
func (d *Detector) localPeers() []string {
	var out []string
	for name, m := range d.members {
		if m != d.self && m.record.Status != pb.Status_DEAD && m.record.DataCentre == d.self.record.DataCentre {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// livePeers lists the names of all other hosts that are not dead, in order.
func (d *Detector) livePeers() []string {
	var out []string
	for name, m := range d.members {
		if m != d.self && m.record.Status != pb.Status_DEAD {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// remoteDataCentres lists the names of the other data centres, in order.
func (d *Detector) remoteDataCentres() []string {
	var out []string
	for _, m := range d.members {
		if dc := m.record.DataCentre; dc != d.self.record.DataCentre && !slices.Contains(out, dc) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// delegates lists the hosts of a data centre that probe and are probed between data
// centres: the first unsuspected hosts by name. If one is suspected, the next host takes
// over at once.
func (d *Detector) delegates(dataCentre string) []string {
	names := d.unsuspectedHosts(dataCentre)
	return names[:min(len(names), delegatesPerDataCentre)]
}

// unsuspectedHosts lists the names of the hosts of a data centre, this one included, that
// are neither suspected nor dead, in order.
func (d *Detector) unsuspectedHosts(dataCentre string) []string {
	var out []string
	for name, m := range d.members {
		if m.record.DataCentre == dataCentre && m.record.Status == pb.Status_ALIVE {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Hosts lists all known hosts, this one included, ordered by name.
func (d *Detector) Hosts() []Host {
	out := make([]Host, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, d.host(m))
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (d *Detector) host(m *member) Host {
	r := m.record
	h := Host{Name: r.Name, DataCentre: r.DataCentre, Region: r.Region, HTTP: r.Http, Peer: r.Peer, Draining: r.Draining,
		Suspect: r.Status == pb.Status_SUSPECT, Dead: r.Status == pb.Status_DEAD, Incarnation: r.Incarnation, Beacon: m.beacon}
	if m.peer != "" {
		h.Peer = m.peer
	}
	if m.http != "" {
		h.HTTP = m.http
	}
	if m == d.self {
		h.Beacon = d.beacon
	}
	return h
}

func sortedKeys[K uint64 | string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
