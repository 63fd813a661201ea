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
	// ProbePeriod is the time between two probes of a host.
	ProbePeriod = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspected host may refute before it is dead.
	SuspicionTimeout = 3 * time.Second

	// directTimeout is when indirect probes start; probeTimeout is when the
	// host becomes suspected. Between regions a round trip takes 110 ms, and
	// opening a connection takes as long again.
	directTimeout     = 200 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
	farDirectTimeout  = 500 * time.Millisecond
	farProbeTimeout   = 1200 * time.Millisecond
	indirectProbes    = 2
	delegatesPerPlace = 2

	// reconnectPeriod is the time between two probes of hosts believed dead,
	// by which a healed partition is found.
	reconnectPeriod = time.Second
	// pauseLimit is the time between two ticks from which this process counts
	// as paused: its outstanding probes prove nothing then.
	pauseLimit = time.Second
	// syncPeriod plus syncPeriodPerHost for each known host bounds how often a
	// differing table is exchanged: a record has about 80 bytes, so that a host
	// sends at most 4 KB/s for it.
	syncPeriod        = 2 * time.Second
	syncPeriodPerHost = 20 * time.Millisecond
	// relayLimit is how long a probe on behalf of another host is remembered.
	relayLimit = 3 * time.Second

	// maxRecords and maxRecordBytes bound the changes in one message.
	maxRecords     = 12
	maxRecordBytes = 1200
	// retransmit times the logarithm of the number of hosts is how often a
	// change is sent.
	retransmit = 4
	// maxHosts bounds the table against a faulty peer; the target size is 410.
	maxHosts      = 4096
	maxFieldBytes = 256
	// maxIncarnation leaves room to refute any record that is accepted.
	maxIncarnation = 1 << 62
	lostPlaceBurst = 4
)

// Beacon is what each message says about the sender's published state.
type Beacon struct {
	// Index of the published state in force.
	Index uint64
	// Withdrawals is the digest of withdrawals that are not published yet.
	Withdrawals uint64
}

// Host is a member as other components see it.
type Host struct {
	Name, DataCentre, Region string
	// HTTP and Peer are addresses, IP:port.
	HTTP, Peer string
	Draining   bool
	// Suspect hosts did not answer but may still refute.
	Suspect     bool
	Dead        bool
	Incarnation uint64
	// Beacon is what the host last told this host; zero when it did not.
	Beacon Beacon
}

// Envelope is a message to a host.
type Envelope struct {
	To      string
	Address string
	Message *pb.Message
}

type member struct {
	record *pb.Record
	// peer and http override the record's addresses when the settings give them.
	peer, http  string
	suspectedAt time.Duration
	beacon      Beacon
}

type probe struct {
	target   string
	started  time.Duration
	indirect bool
}

type relay struct {
	requester string
	sequence  uint64
	target    string
	started   time.Duration
}

type news struct {
	record *pb.Record
	sent   int
}

// Detector is the failure detector of one host. Events and time are its input,
// messages to send are its output. Times count from any fixed start.
type Detector struct {
	self     *member
	members  map[string]*member
	queue    map[string]*news
	probes   map[uint64]*probe
	relays   map[uint64]*relay
	order    []string
	sequence uint64
	digest   uint64
	beacon   Beacon
	random   *rand.Rand

	lastTick, nextProbe, nextReconnect, lastSync time.Duration
	ticked                                       bool
	version                                      uint64
}

// NewDetector returns a detector for the host. Hosts from the settings count as
// alive until they are found dead, and their addresses stay as given.
func NewDetector(self Host, settings []Host, seed uint64) *Detector {
	d := &Detector{
		members: map[string]*member{}, queue: map[string]*news{}, probes: map[uint64]*probe{}, relays: map[uint64]*relay{},
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
		d.digest ^= hash(m.record)
	}
	d.announce(d.self.record)
	return d
}

func recordOf(h Host) *pb.Record {
	return &pb.Record{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, Http: h.HTTP, Peer: h.Peer,
		Draining: h.Draining, Incarnation: h.Incarnation}
}

// hash covers what all hosts must agree on in the end. Suspicion is left out,
// because it passes.
func hash(r *pb.Record) uint64 {
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

// SetBeacon sets what messages say about this host's published state.
func (d *Detector) SetBeacon(b Beacon) { d.beacon = b }

// SetDraining announces that this host drains, or that it no longer does, at
// once to the hosts of its data centre and to the delegates elsewhere.
func (d *Detector) SetDraining(draining bool) []Envelope {
	if d.self.record.Draining == draining {
		return nil
	}
	next := proto.CloneOf(d.self.record)
	next.Draining = draining
	next.Incarnation++
	d.set(d.self, next)
	var out []Envelope
	for _, name := range d.near() {
		out = append(out, d.ping(name))
	}
	for _, place := range d.otherPlaces() {
		for _, name := range d.delegates(place) {
			out = append(out, d.ping(name))
		}
	}
	return out
}

// Tick advances time. Call it every 100 ms or less.
func (d *Detector) Tick(now time.Duration) []Envelope {
	if !d.ticked {
		d.ticked = true
		d.lastTick, d.nextProbe, d.nextReconnect = now, now, now
		return append(d.join(now), d.Tick(now)...)
	}
	if gap := now - d.lastTick; gap > pauseLimit {
		d.resume(gap)
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

// join asks some hosts for their whole table.
func (d *Detector) join(now time.Duration) []Envelope {
	names := d.live()
	d.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var out []Envelope
	for _, name := range names[:min(len(names), 3)] {
		out = append(out, d.sync(now, name))
	}
	return out
}

// resume forgives what a pause of this process made of others.
func (d *Detector) resume(gap time.Duration) {
	clear(d.probes)
	for _, m := range d.members {
		if m.record.Status == pb.Status_SUSPECT {
			m.suspectedAt += gap
		}
	}
}

func (d *Detector) timeouts(target string) (direct, whole time.Duration) {
	if m := d.members[target]; m != nil && m.record.DataCentre != d.self.record.DataCentre {
		return farDirectTimeout, farProbeTimeout
	}
	return directTimeout, probeTimeout
}

func (d *Detector) expireProbes(now time.Duration) []Envelope {
	var out []Envelope
	for _, sequence := range sortedKeys(d.probes) {
		p := d.probes[sequence]
		direct, whole := d.timeouts(p.target)
		if !p.indirect && now-p.started >= direct {
			out = append(out, d.askOthers(sequence, p)...)
		}
		if now-p.started >= whole {
			delete(d.probes, sequence)
			out = append(out, d.suspect(now, p.target)...)
		}
	}
	for sequence, r := range d.relays {
		if now-r.started > relayLimit {
			delete(d.relays, sequence)
		}
	}
	return out
}

// SendFailed tells that a message could not be delivered, so that indirect probes
// need not wait for the timeout.
func (d *Detector) SendFailed(sequence uint64) []Envelope {
	p := d.probes[sequence]
	if p == nil || p.indirect {
		return nil
	}
	return d.askOthers(sequence, p)
}

func (d *Detector) askOthers(sequence uint64, p *probe) []Envelope {
	p.indirect = true
	helpers := d.near()
	if len(helpers) < indirectProbes+1 {
		helpers = d.live()
	}
	helpers = slices.DeleteFunc(helpers, func(n string) bool { return n == p.target })
	d.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var out []Envelope
	for _, name := range helpers[:min(len(helpers), indirectProbes)] {
		m := d.message(pb.Kind_PING_REQ, name)
		m.Sequence, m.Target = sequence, p.target
		out = append(out, d.to(name, m))
	}
	return out
}

// suspect marks a host and gives it a chance to refute at once.
func (d *Detector) suspect(now time.Duration, name string) []Envelope {
	m := d.members[name]
	if m == nil || m == d.self || m.record.Status == pb.Status_DEAD {
		return nil
	}
	if m.record.Status == pb.Status_ALIVE {
		next := proto.CloneOf(m.record)
		next.Status = pb.Status_SUSPECT
		m.suspectedAt = now
		d.set(m, next)
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
		d.set(d.members[name], next)
	}
}

func (d *Detector) startProbes(now time.Duration) []Envelope {
	var out []Envelope
	if name := d.nextNear(); name != "" {
		out = append(out, d.probe(now, name))
	}
	if !slices.Contains(d.delegates(d.self.record.DataCentre), d.self.record.Name) {
		return out
	}
	places := d.otherPlaces()
	if len(places) == 0 {
		return out
	}
	place := places[d.random.IntN(len(places))]
	if names := d.delegates(place); len(names) > 0 {
		out = append(out, d.probe(now, names[d.random.IntN(len(names))]))
	}
	return append(out, d.probeLost(now)...)
}

// probeLost probes more hosts of a data centre where several do not answer,
// because no delegate may be left there.
func (d *Detector) probeLost(now time.Duration) []Envelope {
	troubled := map[string]int{}
	for _, m := range d.members {
		if m.record.Status != pb.Status_ALIVE && m.record.DataCentre != d.self.record.DataCentre {
			troubled[m.record.DataCentre]++
		}
	}
	var out []Envelope
	for _, place := range sortedKeys(troubled) {
		if troubled[place] < delegatesPerPlace {
			continue
		}
		healthy := d.healthy(place)
		d.random.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
		for _, name := range healthy[:min(len(healthy), lostPlaceBurst)] {
			out = append(out, d.probe(now, name))
		}
	}
	return out
}

// nextNear returns the next host of this data centre in a random order that
// visits each once before it repeats, which bounds the time to detection.
func (d *Detector) nextNear() string {
	for range 2 {
		for len(d.order) > 0 {
			name := d.order[0]
			d.order = d.order[1:]
			if m := d.members[name]; m != nil && m.record.Status != pb.Status_DEAD {
				return name
			}
		}
		d.order = d.near()
		d.random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return ""
}

// reconnect probes one host believed dead.
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

func (d *Detector) probe(now time.Duration, name string) Envelope {
	s := d.ping(name)
	d.probes[s.Message.Sequence] = &probe{target: name, started: now}
	return s
}

func (d *Detector) ping(name string) Envelope {
	d.sequence++
	m := d.message(pb.Kind_PING, name)
	m.Sequence = d.sequence
	return d.to(name, m)
}

func (d *Detector) sync(now time.Duration, name string) Envelope {
	d.lastSync = now
	return d.to(name, d.whole(pb.Kind_SYNC))
}

func (d *Detector) whole(kind pb.Kind) *pb.Message {
	m := d.header(kind)
	for _, name := range sortedKeys(d.members) {
		if d.members[name] != d.self {
			m.Records = append(m.Records, d.members[name].record)
		}
	}
	return m
}

func (d *Detector) header(kind pb.Kind) *pb.Message {
	return &pb.Message{Kind: kind, Sender: d.self.record, Index: d.beacon.Index, Withdrawals: d.beacon.Withdrawals, Table: d.digest}
}

// message carries the changes that were sent least often. What this host holds
// against the receiver comes first, so that the receiver can refute it.
func (d *Detector) message(kind pb.Kind, to string) *pb.Message {
	m := d.header(kind)
	size := 0
	if held := d.members[to]; held != nil && held.record.Status != pb.Status_ALIVE {
		m.Records = append(m.Records, held.record)
		size = proto.Size(held.record)
	}
	names := sortedKeys(d.queue)
	slices.SortStableFunc(names, func(a, b string) int { return d.queue[a].sent - d.queue[b].sent })
	limit := retransmit * bits.Len(uint(len(d.members)))
	for _, name := range names {
		n := d.queue[name]
		size += proto.Size(n.record)
		if len(m.Records) >= maxRecords || size > maxRecordBytes {
			break
		}
		if name != to {
			m.Records = append(m.Records, n.record)
		}
		if n.sent++; n.sent >= limit {
			delete(d.queue, name)
		}
	}
	return m
}

func (d *Detector) to(name string, m *pb.Message) Envelope {
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

// Receive handles a message and returns the messages to send. The reply to the
// sender, if any, is the first.
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
		return nil // the table is full
	}
	m.beacon = Beacon{in.GetIndex(), in.GetWithdrawals()}
	out := d.answer(now, from, in)
	if returned := wasDead && m.record.Status == pb.Status_ALIVE; returned || in.GetTable() != d.digest {
		if now-d.lastSync >= d.syncInterval() && in.Kind != pb.Kind_SYNC && in.Kind != pb.Kind_SYNC_REPLY {
			out = append(out, d.sync(now, from))
		}
	}
	return out
}

func (d *Detector) syncInterval() time.Duration {
	return syncPeriod + time.Duration(len(d.members))*syncPeriodPerHost
}

func (d *Detector) answer(now time.Duration, from string, in *pb.Message) []Envelope {
	switch in.Kind {
	case pb.Kind_PING:
		m := d.message(pb.Kind_ACK, from)
		m.Sequence, m.Target = in.Sequence, d.self.record.Name
		return []Envelope{d.to(from, m)}
	case pb.Kind_PING_REQ:
		if t := d.members[in.GetTarget()]; t == nil || t == d.self {
			return nil
		}
		s := d.ping(in.Target)
		d.relays[s.Message.Sequence] = &relay{requester: from, sequence: in.Sequence, target: in.Target, started: now}
		return []Envelope{s}
	case pb.Kind_ACK:
		return d.acked(in)
	case pb.Kind_SYNC:
		return []Envelope{d.to(from, d.whole(pb.Kind_SYNC_REPLY))}
	}
	return nil
}

func (d *Detector) acked(in *pb.Message) []Envelope {
	if p := d.probes[in.Sequence]; p != nil && p.target == in.GetTarget() {
		delete(d.probes, in.Sequence)
		return nil
	}
	r := d.relays[in.Sequence]
	if r == nil || r.target != in.GetTarget() {
		return nil
	}
	delete(d.relays, in.Sequence)
	m := d.message(pb.Kind_ACK, r.requester)
	m.Sequence, m.Target = r.sequence, r.target
	return []Envelope{d.to(r.requester, m)}
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

// merge takes a record that supersedes the one held.
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
		d.digest ^= hash(m.record)
	} else if !supersedes(r, m.record) {
		return
	}
	if r.Incarnation < m.record.Incarnation {
		panic("membership: incarnation of " + r.Name + " went back")
	}
	if r.Status == pb.Status_SUSPECT {
		m.suspectedAt = now
	}
	d.set(m, proto.CloneOf(r))
}

func supersedes(r, held *pb.Record) bool {
	if r.Incarnation != held.Incarnation {
		return r.Incarnation > held.Incarnation
	}
	return r.Status > held.Status
}

// refute answers a record about this host that is not its own.
func (d *Detector) refute(r *pb.Record) {
	own := d.self.record
	if r.Incarnation < own.Incarnation || (r.Incarnation == own.Incarnation && r.Status == pb.Status_ALIVE) {
		return
	}
	next := proto.CloneOf(own)
	next.Incarnation = r.Incarnation + 1
	d.set(d.self, next)
}

func (d *Detector) set(m *member, next *pb.Record) {
	d.digest ^= hash(m.record) ^ hash(next)
	m.record = next
	d.announce(next)
}

func (d *Detector) announce(r *pb.Record) {
	d.version++
	d.queue[r.Name] = &news{record: r}
}

// Version changes whenever a record changes.
func (d *Detector) Version() uint64 { return d.version }

// near lists the other hosts of this data centre that are not dead, by name.
func (d *Detector) near() []string {
	var out []string
	for name, m := range d.members {
		if m != d.self && m.record.Status != pb.Status_DEAD && m.record.DataCentre == d.self.record.DataCentre {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// live lists the other hosts that are not dead, by name.
func (d *Detector) live() []string {
	var out []string
	for name, m := range d.members {
		if m != d.self && m.record.Status != pb.Status_DEAD {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// otherPlaces lists the other data centres by name.
func (d *Detector) otherPlaces() []string {
	var out []string
	for _, m := range d.members {
		if dc := m.record.DataCentre; dc != d.self.record.DataCentre && !slices.Contains(out, dc) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// delegates are the live hosts of a data centre with the lowest names. A
// suspected host is no delegate, so that the next one takes over at once.
func (d *Detector) delegates(dataCentre string) []string {
	names := d.healthy(dataCentre)
	return names[:min(len(names), delegatesPerPlace)]
}

// healthy lists the hosts of a data centre that are not even suspected, by name.
func (d *Detector) healthy(dataCentre string) []string {
	var out []string
	for name, m := range d.members {
		if m.record.DataCentre == dataCentre && m.record.Status == pb.Status_ALIVE {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Hosts lists all known hosts, this one included, by name.
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
