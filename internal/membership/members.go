package membership

import (
	"sync"
	"time"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

// Members wraps a Detector for concurrent use and answers queries of other components.
type Members struct {
	mu       sync.Mutex
	detector *Detector
	start    time.Time
	// hosts and byName cache the list of hosts at the detector's version.
	version uint64
	hosts   []Host
	byName  map[string]int
}

// New returns a Members whose time starts now.
func New(self Host, settings []Host, seed uint64) *Members {
	return &Members{detector: NewDetector(self, settings, seed), start: time.Now()}
}

func (m *Members) now() time.Duration { return time.Since(m.start) }

// Tick sets the beacon, advances the detector to the current time and returns the messages
// to send. See Detector.Tick.
func (m *Members) Tick(b Beacon) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.SetBeacon(b)
	return m.detector.Tick(m.now())
}

// Receive handles a message and returns the messages to send. See Detector.Receive.
func (m *Members) Receive(in *pb.Message) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Receive(m.now(), in)
}

// SendFailed reports that the message with the sequence number was not delivered, and
// returns the messages to send.
func (m *Members) SendFailed(sequence uint64) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.SendFailed(sequence)
}

// SetDraining sets whether this host is draining, and returns the messages that announce
// it.
func (m *Members) SetDraining(draining bool) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.SetDraining(draining)
}

// All lists every known host ordered by name, this one and dead ones included. The caller
// must not change the list. Beacons in it may be out of date; HostWithNewerState reads the
// current ones.
func (m *Members) All() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshCache()
	return m.hosts
}

// refreshCache rebuilds the list of hosts if a record has changed. The caller holds mu.
func (m *Members) refreshCache() {
	if m.hosts != nil && m.version == m.detector.Version() {
		return
	}
	m.version, m.hosts = m.detector.Version(), m.detector.Hosts()
	m.byName = make(map[string]int, len(m.hosts))
	for i, h := range m.hosts {
		m.byName[h.Name] = i
	}
}

// Lookup returns the known host with the name. Its beacon may be out of date.
func (m *Members) Lookup(name string) (Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshCache()
	i, ok := m.byName[name]
	if !ok {
		return Host{}, false
	}
	return m.hosts[i], true
}

// Live lists the hosts of a data centre that are not dead, this one included, ordered by
// name. An empty data centre means all of them.
func (m *Members) Live(dataCentre string) []Host {
	var out []Host
	for _, h := range m.All() {
		if !h.Dead && (dataCentre == "" || h.DataCentre == dataCentre) {
			out = append(out, h)
		}
	}
	return out
}

// Draining reports whether the host announced that it accepts no new requests.
func (m *Members) Draining(name string) bool {
	h, ok := m.Lookup(name)
	return ok && h.Draining
}

// HostWithNewerState returns a live host whose last message had a higher index than the
// given one. It prefers hosts of the data centre, and then the highest index. Hosts in
// exclude are left out.
func (m *Members) HostWithNewerState(index uint64, dataCentre string, exclude map[string]bool) (Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Host
	for _, h := range m.detector.members {
		if h == m.detector.self || h.record.Status == pb.Status_DEAD || h.beacon.Index <= index || exclude[h.record.Name] {
			continue
		}
		candidate := m.detector.host(h)
		if best.Name == "" || preferredOver(candidate, best, dataCentre) {
			best = candidate
		}
	}
	return best, best.Name != ""
}

// preferredOver reports whether HostWithNewerState prefers a over b.
func preferredOver(a, b Host, dataCentre string) bool {
	if local := a.DataCentre == dataCentre; local != (b.DataCentre == dataCentre) {
		return local
	}
	if a.Beacon.Index != b.Beacon.Index {
		return a.Beacon.Index > b.Beacon.Index
	}
	return a.Name < b.Name
}
